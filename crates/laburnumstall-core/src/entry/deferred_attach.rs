//! Deferred attachment of callers that have received more of an answer than this owner holds.
//!
//! After a network partition, two daemons may own a request until they reach each other. The
//! one that continued from an older copy then yields. A caller that has received more events
//! than this owner holds waits for it to yield, and is not refused for a diverged stream.

use std::time::Duration;

use crate::entry::Entry;
use crate::ids::{CustomerId, RequestId};
use crate::message::{CallerRef, Position};
use crate::units::Timestamp;

/// Time that a caller waits for the owner that holds its events. Of two owners that can reach
/// each other, one yields within a few heartbeats.
const DEFER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A caller whose position is past the end of this daemon's record of the answer.
#[derive(Debug, Clone)]
pub(super) struct DeferredAttach {
    from: CallerRef,
    id: RequestId,
    customer: CustomerId,
    position: Position,
    until: Timestamp,
}

impl Entry {
    /// Defers a caller that is ahead of an owned request; returns whether it was deferred.
    pub(super) fn defer_attach(
        &mut self,
        now: Timestamp,
        from: &CallerRef,
        id: &RequestId,
        customer: &CustomerId,
        position: Option<Position>,
    ) -> bool {
        let Some(position) = position.filter(|position| self.is_ahead(id, *position)) else {
            return false;
        };
        self.deferred_attaches.push(DeferredAttach {
            from: from.clone(),
            id: id.clone(),
            customer: customer.clone(),
            position,
            until: now.after(DEFER_TIMEOUT),
        });
        true
    }

    /// Attaches deferred callers whose request has caught up or changed owner, and those whose
    /// wait has timed out.
    pub(super) fn tick_deferred_attaches(&mut self, now: Timestamp) {
        for deferred in std::mem::take(&mut self.deferred_attaches) {
            let is_disconnected = deferred.from.daemon == self.own
                && !self.callers.contains_key(&deferred.from.caller);
            if is_disconnected {
                continue;
            }
            if deferred.until > now && self.is_ahead(&deferred.id, deferred.position) {
                self.deferred_attaches.push(deferred);
                continue;
            }
            let position = Some(deferred.position);
            self.attach_now(now, deferred.from, deferred.id, deferred.customer, position);
        }
    }

    /// Removes the deferred attachments of a caller that has disconnected.
    pub(super) fn cancel_deferred_attaches(&mut self, from: &CallerRef) {
        self.deferred_attaches
            .retain(|deferred| deferred.from != *from);
    }

    fn is_ahead(&self, id: &RequestId, position: Position) -> bool {
        self.owned.get(id).is_some_and(|owned| {
            !owned.is_done() && position.index.0 > owned.record.events.len() as u64
        })
    }
}
