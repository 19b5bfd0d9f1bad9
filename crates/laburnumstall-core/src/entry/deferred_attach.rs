//! Callers that have more of an answer than the daemon that says it owns the request.
//!
//! After a cut two daemons may own a request until they meet. The one that went by an older
//! copy gives way, so a caller that is ahead of it waits for that instead of being told
//! that its stream has diverged.

use std::time::Duration;

use crate::entry::Entry;
use crate::ids::{CustomerId, RequestId};
use crate::message::{CallerRef, Position};
use crate::units::Timestamp;

/// Time that a caller waits for the owner that has its events: some heartbeats, after which
/// two owners that can reach each other have met.
const DEFER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A caller whose position lies behind the end of the answer that is held here.
#[derive(Debug, Clone)]
pub(super) struct DeferredAttach {
    from: CallerRef,
    id: RequestId,
    customer: CustomerId,
    position: Position,
    until: Timestamp,
}

impl Entry {
    /// Lets a caller wait if it is ahead of a request that runs here; returns whether it does.
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

    /// Attaches early callers whose request went on, here or at another owner, and those
    /// whose wait is over.
    pub(super) fn tick_deferred_attaches(&mut self, now: Timestamp) {
        for early in std::mem::take(&mut self.deferred_attaches) {
            let is_gone =
                early.from.daemon == self.own && !self.callers.contains_key(&early.from.caller);
            if is_gone {
                continue;
            }
            if early.until > now && self.is_ahead(&early.id, early.position) {
                self.deferred_attaches.push(early);
                continue;
            }
            let position = Some(early.position);
            self.attach_now(now, early.from, early.id, early.customer, position);
        }
    }

    /// Forgets an early caller that has left.
    pub(super) fn cancel_deferred_attaches(&mut self, from: &CallerRef) {
        self.deferred_attaches.retain(|early| early.from != *from);
    }

    fn is_ahead(&self, id: &RequestId, position: Position) -> bool {
        self.owned.get(id).is_some_and(|owned| {
            !owned.is_done() && position.index.0 > owned.record.events.len() as u64
        })
    }
}
