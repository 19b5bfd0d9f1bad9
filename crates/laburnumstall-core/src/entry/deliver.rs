//! Delivery to callers, directly or through the daemon that they are connected to.

use crate::entry::Entry;
use crate::entry::owned::Subscriber;
use crate::error::Refusal;
use crate::ids::{CallerId, RequestId};
use crate::message::{CallerRef, Delivery, Message};
use crate::units::Timestamp;

impl Entry {
    pub(super) fn local_ref(&self, caller: CallerId) -> CallerRef {
        CallerRef {
            daemon: self.own.clone(),
            caller,
        }
    }

    /// Delivers to each attached caller the committed events that it does not have yet.
    pub(super) fn deliver(&mut self, now: Timestamp, id: &RequestId) {
        let Some(owned) = self.owned.get_mut(id) else {
            return;
        };
        if !owned.is_accepted() {
            return;
        }
        let committed = owned.committed();
        let is_acceptance_final =
            owned.record.request.idempotent || owned.has_claim || committed > 0;
        let mut out = Vec::new();
        for subscriber in &mut owned.subscribers {
            if !subscriber.is_notified && is_acceptance_final {
                subscriber.is_notified = true;
                out.push((subscriber.caller.clone(), owned.record.acceptance()));
            }
            let events = &owned.record.events[..committed];
            out.extend(next_events(subscriber, events));
        }
        let has_all_events = |subscriber: &Subscriber| {
            subscriber.position.index.0 == owned.record.events.len() as u64
        };
        owned.was_delivered |= owned.is_done() && owned.subscribers.iter().any(has_all_events);
        for (to, delivery) in out {
            self.deliver_to(now, &to, delivery);
        }
    }

    /// Sends a delivery to one caller, directly or through its daemon.
    pub(super) fn deliver_to(&mut self, now: Timestamp, to: &CallerRef, delivery: Delivery) {
        if to.daemon != self.own {
            let caller = to.caller;
            self.send(&to.daemon, Message::Deliver { caller, delivery });
            return;
        }
        self.deliver_local(now, to.caller, delivery);
    }

    pub(super) fn refuse_caller(&mut self, now: Timestamp, to: &CallerRef, refusal: Refusal) {
        self.deliver_to(now, to, Delivery::Refused(refusal));
        if to.daemon == self.own {
            self.callers.remove(&to.caller);
        }
    }
}

fn next_events(
    subscriber: &mut Subscriber,
    events: &[crate::request::AnswerEvent],
) -> Option<(CallerRef, Delivery)> {
    let from = subscriber.position;
    let next = events.get(from.index.0 as usize..)?;
    if next.is_empty() {
        return None;
    }
    subscriber.position = from.after(next);
    let events = next.to_vec();
    Some((subscriber.caller.clone(), Delivery::Events { from, events }))
}
