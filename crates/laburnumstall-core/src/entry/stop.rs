//! Stopping: a planned stop finishes its requests, a reclaim hands them over.
//!
//! In both cases the daemon leaves the directory at once and forwards new requests. A planned
//! stop ends when every request is finished and the callers' directory answers have expired.
//! A reclaim asks each standby to take over, and ends before the notice expires.

use std::time::Duration;

use crate::decision::DecisionKind;
use crate::entry::Entry;
use crate::entry::action::Action;
use crate::entry::owned::{OwnedRequest, Phase};
use crate::ids::RequestId;
use crate::message::{HandoverCaller, Message};
use crate::units::Timestamp;

/// Time before the notice ends at which unfinished non-idempotent requests are handed over.
const FINAL_HANDOVER_MARGIN: Duration = Duration::from_millis(700);

/// Time before the end of the notice at which the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(200);

/// Time after which an unanswered handover is repeated.
const HANDOVER_RETRY_PERIOD: Duration = Duration::from_millis(400);

/// Time for which a daemon still answers its peers after its goodbye.
const LINGER: Duration = Duration::from_millis(300);

/// State of a stopping daemon.
#[derive(Debug, Clone)]
pub(super) struct Stopping {
    since: Timestamp,
    deadline: Option<Timestamp>,
    goodbye_at: Option<Timestamp>,
    has_exited: bool,
}

impl Entry {
    pub(super) fn on_stop(&mut self, now: Timestamp, deadline: Option<Timestamp>) {
        let is_reclaim = deadline.is_some();
        match &mut self.stopping {
            Some(stopping) if stopping.deadline.is_some() || !is_reclaim => return,
            Some(stopping) => stopping.deadline = deadline,
            None => {
                self.stopping = Some(Stopping {
                    since: now,
                    deadline,
                    goodbye_at: None,
                    has_exited: false,
                });
            }
        }
        let reason = if is_reclaim { "reclaim" } else { "planned" };
        let decision = self
            .decision(now, DecisionKind::Stop, "leave", reason)
            .with("owned", self.owned.len())
            .with("copies", self.copies.len())
            .with("deadline", deadline.unwrap_or(Timestamp::NEVER));
        self.journal.record(decision);
        self.membership.set_leaving();
        self.register_soon();
        let heartbeat = self.heartbeat();
        self.send_to_all(&heartbeat);
        if is_reclaim {
            self.hand_over_all(now);
        }
    }

    /// Starts handing over all requests, the costliest to lose first.
    fn hand_over_all(&mut self, now: Timestamp) {
        let mut ids: Vec<RequestId> = self.owned.keys().cloned().collect();
        ids.sort_by_key(|id| self.owned.get(id).map(cost_of_loss));
        ids.reverse();
        for id in ids {
            let is_accepted = self.owned.get(&id).is_some_and(OwnedRequest::is_accepted);
            if !is_accepted {
                self.forward_unaccepted(now, &id);
                continue;
            }
            self.hand_over_if_reclaimed(now, &id);
        }
    }

    /// Forwards a request that is not accepted yet.
    fn forward_unaccepted(&mut self, now: Timestamp, id: &RequestId) {
        let Some(owned) = self.owned.get(id) else {
            return;
        };
        let request = owned.record.request.clone();
        let Some(peer) = self.forward_target(&request) else {
            return;
        };
        let Some(owned) = self.remove_owned(id) else {
            return;
        };
        if let Some(reservation) = owned.reservation {
            let used = crate::units::Tokens(0);
            self.limits.settle(now, reservation, used);
        }
        for holder in owned.standby.iter().map(|standby| &standby.daemon) {
            self.send_drop(id, holder);
        }
        for subscriber in owned.subscribers {
            if subscriber.caller.daemon == self.own {
                self.forward(
                    now,
                    subscriber.caller.caller,
                    request.clone(),
                    &peer,
                    "leaving",
                );
            }
        }
    }

    /// Asks the standby to take over if this daemon is being reclaimed and the standby holds
    /// the request.
    pub(super) fn hand_over_if_reclaimed(&mut self, now: Timestamp, id: &RequestId) {
        if !self.is_reclaimed() || self.hand_over_undispatched(now, id) {
            return;
        }
        let Some(owned) = self.owned.get(id) else {
            return;
        };
        let must_stay = !self.is_safe_to_retry(&owned.record.request) && !owned.is_done();
        if must_stay && !self.is_final_handover_due(now) {
            return;
        }
        self.hand_over(now, id);
    }

    /// Hands over a request that was not dispatched, after releasing its claim. Returns
    /// whether the handover has begun.
    pub(super) fn hand_over_undispatched(&mut self, now: Timestamp, id: &RequestId) -> bool {
        if !self.is_reclaimed() {
            return false;
        }
        let Some(owned) = self.owned.get(id) else {
            return false;
        };
        if owned.is_dispatched || owned.is_done() {
            return false;
        }
        if owned.record.request.idempotent {
            self.hand_over(now, id);
        } else if owned.has_claim || owned.phase == Phase::Claiming {
            self.release_claim(now, id);
        }
        true
    }

    /// Hands over an undispatched request after its claim was released.
    pub(super) fn on_claim_released(&mut self, now: Timestamp, id: &RequestId) {
        let is_waiting = self
            .owned
            .get(id)
            .is_some_and(|owned| !owned.is_done() && !owned.is_dispatched);
        if is_waiting && self.is_reclaimed() {
            self.hand_over(now, id);
        }
    }

    fn hand_over(&mut self, now: Timestamp, id: &RequestId) {
        let Some(owned) = self.owned.get_mut(id) else {
            return;
        };
        let Some(standby) = &owned.standby else {
            return;
        };
        let is_in_progress = owned
            .handed_over_at
            .is_some_and(|at| now.since(at) < HANDOVER_RETRY_PERIOD);
        if is_in_progress || standby.acked.is_none() {
            return;
        }
        owned.handed_over_at = Some(now);
        let to = standby.daemon.clone();
        let epoch = owned.record.epoch;
        let events = owned.record.events.len();
        let callers = owned.subscribers.iter().map(|subscriber| HandoverCaller {
            caller: subscriber.caller.clone(),
            position: subscriber.position,
        });
        let callers = callers.collect();
        let decision = self
            .decision(now, DecisionKind::TakeOver, "hand-over", "reclaim")
            .with("request", id)
            .with("to", &to)
            .with("events", events);
        self.journal.record(decision);
        let id = id.clone();
        self.send(&to, Message::HandOver { id, epoch, callers });
    }

    fn is_reclaimed(&self) -> bool {
        let stopping = self.stopping.as_ref();
        stopping.is_some_and(|stopping| stopping.deadline.is_some())
    }

    fn is_final_handover_due(&self, now: Timestamp) -> bool {
        let deadline = self.stopping.as_ref().and_then(|s| s.deadline);
        deadline.is_some_and(|deadline| now.after(FINAL_HANDOVER_MARGIN) >= deadline)
    }

    pub(super) fn tick_stop(&mut self, now: Timestamp) {
        let Some(stopping) = self.stopping.clone() else {
            return;
        };
        if stopping.has_exited {
            return;
        }
        if stopping.deadline.is_some() {
            let ids: Vec<RequestId> = self.owned.keys().cloned().collect();
            for id in ids {
                self.hand_over_if_reclaimed(now, &id);
            }
        }
        match stopping.goodbye_at {
            None if self.is_finished(now, &stopping) => self.send_goodbye(now),
            Some(at) if now.since(at) >= LINGER => self.exit(now),
            _ => {}
        }
    }

    fn is_finished(&self, now: Timestamp, stopping: &Stopping) -> bool {
        let is_settled = |owned: &OwnedRequest| owned.is_done() && owned.is_delivered();
        let is_empty = self.owned.values().all(is_settled) && self.callers.is_empty();
        match stopping.deadline {
            Some(deadline) => is_empty || now.after(EXIT_MARGIN + LINGER) >= deadline,
            None => is_empty && now.since(stopping.since) >= self.settings.directory_max_age,
        }
    }

    fn send_goodbye(&mut self, now: Timestamp) {
        let unfinished = self.owned.values().filter(|owned| !owned.is_done());
        let decision = self
            .decision(now, DecisionKind::Stop, "goodbye", "finished")
            .with("unfinished", unfinished.count())
            .with("callers", self.callers.len());
        self.journal.record(decision);
        self.send_to_all(&Message::Goodbye);
        if let Some(lease) = self.registry.lease() {
            let call = crate::store::StoreCall::Revoke { lease };
            self.call_store(now, crate::entry::state::CallPurpose::Deregister, call);
        }
        if let Some(stopping) = &mut self.stopping {
            stopping.goodbye_at = Some(now);
        }
    }

    fn exit(&mut self, now: Timestamp) {
        let decision = self.decision(now, DecisionKind::Stop, "exit", "finished");
        self.journal.record(decision);
        self.actions.push(Action::Exit);
        if let Some(stopping) = &mut self.stopping {
            stopping.has_exited = true;
        }
    }
}

/// Returns the cost of losing a request: its processed tokens, or the maximum for one that is
/// claimed but not dispatched.
fn cost_of_loss(owned: &OwnedRequest) -> u64 {
    let processed = owned.record.generated().plus(owned.record.request.prompt);
    let holds_claim = owned.has_claim && !owned.is_dispatched;
    if holds_claim { u64::MAX } else { processed.0 }
}
