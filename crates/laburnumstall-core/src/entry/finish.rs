//! Completion of requests and retention of their answers.

use std::time::Duration;

use crate::decision::DecisionKind;
use crate::entry::Entry;
use crate::entry::accept::qualify_not_run;
use crate::entry::action::Action;
use crate::entry::owned::{OwnedRequest, Phase};
use crate::entry::state::RequestKey;
use crate::error::{ErrorKind, Execution, Refusal};
use crate::ids::RequestId;
use crate::message::Message;
use crate::request::AnswerEvent;
use crate::units::Timestamp;

/// Retention of the answer to a request without a key, once a caller has received all of it.
const DELIVERED_RETENTION: Duration = Duration::from_secs(15);

/// Retention of an answer for callers that reconnect.
pub(super) const ANSWER_RETENTION: Duration = Duration::from_secs(120);

impl Entry {
    /// Ends a request without a complete answer.
    pub(super) fn fail(&mut self, now: Timestamp, id: &RequestId, refusal: Refusal) {
        let Some(owned) = self.owned.get_mut(id) else {
            return;
        };
        if owned.is_done() {
            return;
        }
        let refusal = correct_not_run(owned, refusal);
        owned.record.events.push(AnswerEvent::Failed(refusal));
        self.finish(now, id);
    }

    /// Ends a request whose answer is complete or has failed.
    pub(super) fn finish(&mut self, now: Timestamp, id: &RequestId) {
        let Some(owned) = self.owned.get_mut(id) else {
            return;
        };
        owned.phase = Phase::Done { at: now };
        self.queue_check_at = now;
        let fingerprint = owned.record.request.fingerprint();
        let reservation = owned.reservation.take();
        let has_unused_claim = owned.has_claim && !owned.is_dispatched;
        let used = owned.record.request.prompt.plus(owned.record.generated());
        let has_answer = matches!(owned.record.events.last(), Some(AnswerEvent::End { .. }));
        let location = owned.record.location.clone();
        if let Some(location) = location {
            self.attempt_ended(now, id, &location);
        }
        if let Some(reservation) = reservation {
            self.limits.settle(now, reservation, used);
        }
        if has_answer {
            self.quarantine.on_survived(now, fingerprint);
        }
        if has_unused_claim {
            self.release_claim(now, id);
        }
        self.record_finish(now, id);
        self.replicate(now, id);
        self.deliver(now, id);
    }

    fn record_finish(&mut self, now: Timestamp, id: &RequestId) {
        let Some(owned) = self.owned.get(id) else {
            return;
        };
        let record = &owned.record;
        let (choice, reason) = match record.events.last() {
            Some(AnswerEvent::Failed(refusal)) => ("failed", refusal.kind.name()),
            _ => ("answered", "whole"),
        };
        let decision = self
            .decision(now, DecisionKind::Finish, choice, reason)
            .with("request", id)
            .with("service", &record.request.service)
            .with("epoch", record.epoch)
            .with("attempts", record.attempts)
            .with("events", record.events.len())
            .with("generated", record.generated())
            .with("elapsed_us", now.since(record.accepted_at).as_micros());
        self.journal.record(decision);
    }

    /// Cancels the in-flight attempt at its endpoint.
    pub(super) fn cancel_attempt(&mut self, id: &RequestId) {
        let Some(running) = self.owned.get(id).and_then(OwnedRequest::running) else {
            return;
        };
        let attempt = crate::ids::AttemptId {
            request: id.clone(),
            number: running.location.attempt,
        };
        let address = running.location.address;
        self.actions.push(Action::Cancel { attempt, address });
    }

    /// Removes an owned request and all references to it.
    pub(super) fn remove_owned(&mut self, id: &RequestId) -> Option<OwnedRequest> {
        let owned = self.owned.remove(id)?;
        self.remove_key(id, RequestKey::of(&owned.record));
        self.active.remove(id);
        Some(owned)
    }

    pub(super) fn remove_key(&mut self, id: &RequestId, request_key: Option<RequestKey>) {
        if let Some(request_key) = request_key
            && self.keys.get(&request_key) == Some(id)
        {
            self.keys.remove(&request_key);
        }
    }

    /// Removes a finished request whose retention has ended.
    pub(super) fn expire_done(&mut self, now: Timestamp, id: &RequestId) {
        let is_expired = self.owned.get(id).is_some_and(|owned| match owned.phase {
            Phase::Done { at } => now.since(at) >= retention_of(owned),
            _ => false,
        });
        if !is_expired {
            return;
        }
        let Some(owned) = self.remove_owned(id) else {
            return;
        };
        if let Some(standby) = owned.standby {
            let epoch = owned.record.epoch;
            self.send(
                &standby.daemon,
                Message::Drop {
                    id: id.clone(),
                    epoch,
                },
            );
        }
    }

    /// Fails a request whose deadline has passed.
    pub(super) fn check_deadline(&mut self, now: Timestamp, id: &RequestId) {
        let Some(owned) = self.owned.get(id) else {
            return;
        };
        let is_withdrawing = matches!(owned.phase, Phase::Withdrawing { .. });
        if owned.is_done() || is_withdrawing || owned.record.request.deadline > now {
            return;
        }
        let kind = match owned.phase {
            Phase::Claiming => ErrorKind::ClaimUnavailable,
            Phase::Waiting { .. } | Phase::Queued if !owned.may_have_run => ErrorKind::NoEndpoint,
            _ => ErrorKind::DeadlineExceeded,
        };
        let is_accepted = owned.is_accepted();
        self.cancel_attempt(id);
        let detail = "the deadline passed";
        if is_accepted {
            self.fail(now, id, Refusal::new(kind, detail));
        } else {
            self.withdraw(now, id, Refusal::new(ErrorKind::NoStandby, detail));
        }
    }
}

/// Returns how long an answer is retained once it is complete.
pub(super) fn retention_of(owned: &OwnedRequest) -> Duration {
    if owned.was_delivered && owned.record.request.key.is_none() {
        DELIVERED_RETENTION
    } else {
        ANSWER_RETENTION
    }
}

/// Replaces an error kind that reports "not run" if the request may have run.
fn correct_not_run(owned: &OwnedRequest, refusal: Refusal) -> Refusal {
    let reports_not_run = refusal.kind.response().execution == Execution::NotRun;
    if reports_not_run && owned.may_have_run {
        return Refusal::new(ErrorKind::DeadlineExceeded, refusal.detail);
    }
    qualify_not_run(refusal, &owned.record.request, owned.is_new_key)
}
