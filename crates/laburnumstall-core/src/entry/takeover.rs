//! Takeover of a request by its standby, and yielding by the replaced owner.
//!
//! Each takeover increments the request's epoch. A former owner that is still alive learns of
//! it when a standby refuses its next events, and moves its callers to the new owner.

use std::time::Duration;

use crate::decision::DecisionKind;
use crate::entry::Entry;
use crate::entry::action::Action;
use crate::entry::owned::{OwnedRequest, Phase, Subscriber};
use crate::entry::state::RequestKey;
use crate::ids::{AttemptId, DaemonId, Epoch, RequestId};
use crate::message::{CopyRefusal, Delivery, HandoverCaller, Message, RequestRecord};
use crate::units::Timestamp;

/// Time that a new standby has to acknowledge before the request continues without a copy.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(500);

/// Attempt numbers reserved for each epoch, so that two owners never use the same one.
pub(super) const ATTEMPTS_PER_EPOCH: u32 = 1_000;

impl Entry {
    /// Makes this daemon the owner of a request whose copy it holds.
    pub(super) fn take_over(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        callers: Vec<HandoverCaller>,
        reason: &str,
    ) {
        let Some(copy) = self.copies.remove(id) else {
            return;
        };
        let former = copy.record.owner.clone();
        let owned = self.owned_from_copy(now, copy.record, callers);
        let decision = self
            .decision(now, DecisionKind::TakeOver, "take-over", reason)
            .with("request", id)
            .with("former", former)
            .with("epoch", owned.record.epoch)
            .with("events", owned.record.events.len());
        self.journal.record(decision);
        if let Some(request_key) = RequestKey::of(&owned.record) {
            self.keys.insert(request_key, id.clone());
        }
        self.owned.insert(id.clone(), owned);
        self.active.insert(id.clone());
        self.assign_standby(now, id);
        self.attach_waiting_callers(now, id);
    }

    fn owned_from_copy(
        &self,
        now: Timestamp,
        mut record: RequestRecord,
        callers: Vec<HandoverCaller>,
    ) -> OwnedRequest {
        record.epoch = Epoch(record.epoch.0 + 1);
        record.owner = self.own.clone();
        let floor = record.epoch.0 as u32 * ATTEMPTS_PER_EPOCH;
        record.attempts = record.attempts.max(floor);
        let subscribers = callers.into_iter().map(|handed| Subscriber {
            caller: handed.caller,
            position: handed.position,
            is_notified: true,
        });
        let phase = if record.is_done() {
            Phase::Done { at: now }
        } else {
            let until = now.after(REPLICATION_TIMEOUT);
            Phase::Replicating { until }
        };
        OwnedRequest {
            may_have_run: true,
            ..OwnedRequest::new(record, phase, subscribers.collect())
        }
    }

    /// Assigns a standby to a taken-over request before it continues.
    fn assign_standby(&mut self, now: Timestamp, id: &RequestId) {
        let zone = self.settings.member.zone.clone();
        let next = self.membership.standby(id.lookup_hash, &zone, &[]);
        match next.map(|member| member.id.clone()) {
            Some(next) => self.send_copy(now, id, next),
            None => {
                let is_done = self.owned.get(id).is_some_and(OwnedRequest::is_done);
                if !is_done {
                    self.start_or_resume(now, id);
                }
                self.deliver(now, id);
            }
        }
    }

    /// Takes over a request that its leaving owner hands over.
    pub(super) fn on_hand_over(
        &mut self,
        now: Timestamp,
        from: &DaemonId,
        id: &RequestId,
        epoch: Epoch,
        callers: Vec<HandoverCaller>,
    ) {
        if let Some(owned) = self.owned.get(id) {
            let epoch = owned.record.epoch;
            let id = id.clone();
            self.send(from, Message::TakenOver { id, epoch });
            return;
        }
        let has_copy = self
            .copies
            .get(id)
            .is_some_and(|copy| copy.record.epoch == epoch);
        if !has_copy || self.stopping.is_some() {
            let refusal = if has_copy {
                CopyRefusal::Leaving
            } else {
                CopyRefusal::Incomplete
            };
            let id = id.clone();
            self.send(from, Message::CopyRefused { id, epoch, refusal });
            return;
        }
        self.take_over(now, id, callers, "handed-over");
        let epoch = Epoch(epoch.0 + 1);
        self.send(
            from,
            Message::TakenOver {
                id: id.clone(),
                epoch,
            },
        );
    }

    /// Yields to a peer that owns the request in a later epoch, or notifies a peer whose epoch is
    /// older.
    pub(super) fn on_taken_over(
        &mut self,
        now: Timestamp,
        from: &DaemonId,
        id: &RequestId,
        epoch: Epoch,
    ) {
        let Some(owned) = self.owned.get(id) else {
            return;
        };
        let own_epoch = owned.record.epoch;
        if own_epoch < epoch {
            self.yield_ownership(now, id, from, epoch);
        } else if own_epoch > epoch {
            // The peer took over from a dropped copy, or by a handover sent before the drop.
            let id = id.clone();
            self.send(
                from,
                Message::TakenOver {
                    id,
                    epoch: own_epoch,
                },
            );
        }
    }

    /// Yields a request to its new owner and moves its callers to that daemon.
    pub(super) fn yield_ownership(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        owner: &DaemonId,
        epoch: Epoch,
    ) {
        self.abandon_attempt(now, id);
        let Some(owned) = self.remove_owned(id) else {
            return;
        };
        if owned.is_dispatched && !owned.record.request.idempotent {
            let deadline = owned.record.request.deadline;
            self.dispatched.insert(id.clone(), deadline);
        }
        let decision = self
            .decision(now, DecisionKind::TakeOver, "give-way", "superseded")
            .with("request", id)
            .with("owner", owner)
            .with("epoch", epoch);
        self.journal.record(decision);
        if let Some(reservation) = owned.reservation {
            let used = owned.record.request.prompt.plus(owned.record.generated());
            self.limits.settle(now, reservation, used);
        }
        let customer = owned.record.request.customer.clone();
        for subscriber in owned.subscribers {
            if subscriber.caller.daemon != self.own {
                let owner = owner.clone();
                self.deliver_to(now, &subscriber.caller, Delivery::Moved { owner });
                continue;
            }
            let caller = subscriber.caller.caller;
            let position = Some(subscriber.position);
            self.attach_at_owner(now, caller, id.clone(), owner, customer.clone(), position);
        }
    }

    /// Stops reading an attempt without cancelling it; the new owner resumes its stream.
    fn abandon_attempt(&mut self, now: Timestamp, id: &RequestId) {
        let Some(running) = self.owned.get(id).and_then(OwnedRequest::running) else {
            return;
        };
        let location = running.location.clone();
        let attempt = AttemptId {
            request: id.clone(),
            number: location.attempt,
        };
        self.attempt_ended(now, id, &location);
        self.actions.push(Action::Abandon { attempt });
    }
}
