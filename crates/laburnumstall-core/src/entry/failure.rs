//! What follows a failed attempt.
//!
//! An idempotent request goes on elsewhere; the text that callers have seen is kept. A
//! non-idempotent request goes on only if nothing was sent, or if the endpoint runs a
//! repeated key once. A broken connection leads to a probe on a new connection: if the
//! port refuses, the process has crashed and everything that ran there is suspected.

use std::time::Duration;

use crate::decision::DecisionKind;
use crate::entry::Entry;
use crate::entry::action::Action;
use crate::entry::event::{AttemptFailure, PROBE_TIMEOUT, ProbeOutcome};
use crate::entry::owned::{OwnedRequest, Phase, RunningAttempt};
use crate::error::{ErrorKind, Refusal};
use crate::ids::{EndpointId, RequestId};
use crate::message::Place;
use crate::units::Timestamp;

/// Wait when the retry budget is used up.
const BUDGET_WAIT: Duration = Duration::from_millis(500);

/// HTTP statuses by which an engine says that it did not begin.
const NOT_BEGUN: [u16; 2] = [429, 503];

/// What to do about a failed attempt.
#[derive(Debug, PartialEq, Eq)]
enum Recovery {
    /// Try another endpoint; nothing ran.
    Elsewhere,
    /// Find out whether the endpoint crashed, then go on.
    Probe,
    /// Begin a new attempt behind the events that are there.
    Anew,
    /// Give the request up.
    GiveUp(ErrorKind),
}

impl Entry {
    pub(super) fn recover(&mut self, now: Timestamp, id: &RequestId, failure: AttemptFailure) {
        let Some((place, recovery)) = self.take_failure(id, &failure) else {
            return;
        };
        let attempt = crate::ids::AttemptId {
            request: id.clone(),
            number: place.attempt,
        };
        self.describe_failure(now, id, &place, &failure, &recovery);
        match recovery {
            Recovery::Probe => {}
            Recovery::Anew => {
                self.router.finished(now, &attempt);
                self.on_lost_stream(now, id, &place);
            }
            _ => self.attempt_ended(now, id, &place),
        }
        if failure == AttemptFailure::NotSent {
            if !self.router.is_failed(&place.endpoint) {
                self.notify_refused(&place.endpoint);
            }
            self.router
                .mark_failed(now, &place.endpoint, &mut self.journal);
        }
        match recovery {
            Recovery::Elsewhere => self.try_elsewhere(now, id, &place.endpoint),
            Recovery::Anew => self.dispatch(now, id),
            Recovery::Probe => self.probe_after_reset(now, id, &place),
            Recovery::GiveUp(kind) => {
                let detail = format!("endpoint {}: {}", place.endpoint, text_of(&failure));
                self.fail(now, id, Refusal::new(kind, detail));
            }
        }
    }

    fn take_failure(&self, id: &RequestId, failure: &AttemptFailure) -> Option<(Place, Recovery)> {
        let owned = self.owned.get(id)?;
        let running = owned.running()?;
        let recovery = self.recovery_of(owned, running, failure);
        Some((running.place.clone(), recovery))
    }

    fn recovery_of(
        &self,
        owned: &OwnedRequest,
        running: &RunningAttempt,
        failure: &AttemptFailure,
    ) -> Recovery {
        let is_repeatable = self.is_safe_to_retry(&owned.record.request);
        match failure {
            AttemptFailure::NotSent if running.resumes == 0 => Recovery::Elsewhere,
            AttemptFailure::NotSent if is_repeatable => Recovery::Elsewhere,
            AttemptFailure::Status { status, .. } if NOT_BEGUN.contains(status) => {
                Recovery::Elsewhere
            }
            AttemptFailure::Status { status, .. } if *status >= 500 && is_repeatable => {
                Recovery::Elsewhere
            }
            AttemptFailure::Status { .. } => Recovery::GiveUp(ErrorKind::EndpointFailed),
            AttemptFailure::UnknownStream if is_repeatable => Recovery::Anew,
            AttemptFailure::TimedOut => Recovery::GiveUp(ErrorKind::DeadlineExceeded),
            _ if is_repeatable => Recovery::Probe,
            _ => Recovery::GiveUp(ErrorKind::ConnectionLost),
        }
    }

    fn describe_failure(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        place: &Place,
        failure: &AttemptFailure,
        recovery: &Recovery,
    ) {
        let choice = match recovery {
            Recovery::Elsewhere => "elsewhere",
            Recovery::Probe => "probe",
            Recovery::Anew => "anew",
            Recovery::GiveUp(_) => "give-up",
        };
        let events = self
            .owned
            .get(id)
            .map_or(0, |owned| owned.record.events.len());
        let decision = self
            .decision(now, DecisionKind::Retry, choice, kind_of(failure))
            .with("request", id)
            .with("attempt", place.attempt)
            .with("endpoint", &place.endpoint)
            .with("events", events);
        self.journal.record(decision);
    }

    fn try_elsewhere(&mut self, now: Timestamp, id: &RequestId, endpoint: &EndpointId) {
        let has_budget = self.retry_budget.try_withdraw(now);
        let Some(owned) = self.owned.get_mut(id) else {
            return;
        };
        owned.excluded.push(endpoint.clone());
        if has_budget {
            self.dispatch(now, id);
            return;
        }
        let retry_at = now.after(BUDGET_WAIT);
        owned.phase = Phase::Waiting { retry_at };
        let decision = self
            .decision(now, DecisionKind::Retry, "wait", "retry-budget")
            .with("request", id);
        self.journal.record(decision);
    }

    fn probe_after_reset(&mut self, now: Timestamp, id: &RequestId, place: &Place) {
        let is_probed = self.owned.values().any(|owned| {
            matches!(&owned.phase, Phase::Probing { endpoint, .. } if *endpoint == place.endpoint)
        });
        if let Some(owned) = self.owned.get_mut(id) {
            owned.phase = Phase::Probing {
                endpoint: place.endpoint.clone(),
                until: now.after(PROBE_TIMEOUT * 2),
            };
        }
        if !is_probed {
            self.actions.push(Action::Probe {
                endpoint: place.endpoint.clone(),
                address: place.address,
            });
        }
    }

    /// Takes in the outcome of a probe, for broken and for silent attempts.
    pub(super) fn on_probed(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        outcome: ProbeOutcome,
    ) {
        let broken = self.broken_on(endpoint);
        let decision = self
            .decision(
                now,
                DecisionKind::Connection,
                outcome_name(outcome),
                "probe",
            )
            .with("endpoint", endpoint)
            .with("broken", broken.len());
        self.journal.record(decision);
        match outcome {
            ProbeOutcome::Alive => self.on_endpoint_alive(now, endpoint, broken),
            ProbeOutcome::Refused => self.on_endpoint_lost(now, endpoint, true),
            ProbeOutcome::Silent => self.on_endpoint_lost(now, endpoint, false),
        }
    }

    fn broken_on(&self, endpoint: &EndpointId) -> Vec<RequestId> {
        let is_broken = |owned: &OwnedRequest| matches!(&owned.phase, Phase::Probing { endpoint: probed, .. } if probed == endpoint);
        self.owned
            .iter()
            .filter(|(_, owned)| is_broken(owned))
            .map(|(id, _)| id.clone())
            .collect()
    }

    fn on_endpoint_alive(&mut self, now: Timestamp, endpoint: &EndpointId, broken: Vec<RequestId>) {
        for id in broken {
            self.end_unharmed(now, &id);
            self.start_or_resume(now, &id);
        }
        self.replace_silent_connections(now, endpoint);
    }

    /// The endpoint's process or VM is gone: everything that ran there goes on elsewhere.
    pub(super) fn on_endpoint_lost(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        is_process_exit: bool,
    ) {
        let lost = self.lost_on(endpoint);
        if is_process_exit && !self.router.is_failed(endpoint) {
            self.notify_refused(endpoint);
        }
        if is_process_exit && !self.router.is_leaving(endpoint) {
            let reached = lost.iter().filter(|id| self.has_reached(id));
            let reached: Vec<RequestId> = reached.cloned().collect();
            self.report_crash(now, endpoint, &reached);
        }
        self.router.mark_failed(now, endpoint, &mut self.journal);
        for id in lost {
            self.end_lost(now, &id, endpoint, is_process_exit);
            self.go_on_elsewhere(now, &id);
        }
    }

    fn lost_on(&self, endpoint: &EndpointId) -> Vec<RequestId> {
        let is_lost = |owned: &OwnedRequest| match &owned.phase {
            Phase::Probing {
                endpoint: probed, ..
            } => probed == endpoint,
            Phase::Running(running) => running.place.endpoint == *endpoint,
            _ => false,
        };
        self.owned
            .iter()
            .filter(|(_, owned)| is_lost(owned))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Tells whether the attempt's endpoint may have read it; a connection that was never
    /// accepted cannot have crashed a process.
    fn has_reached(&self, id: &RequestId) -> bool {
        let running = self.owned.get(id).and_then(OwnedRequest::running);
        running.is_none_or(|running| running.is_sent)
    }

    fn go_on_elsewhere(&mut self, now: Timestamp, id: &RequestId) {
        let Some(owned) = self.owned.get(id) else {
            return;
        };
        if self.is_safe_to_retry(&owned.record.request) || !owned.may_have_run {
            self.dispatch(now, id);
            return;
        }
        let detail = "the endpoint is gone";
        self.fail(now, id, Refusal::new(ErrorKind::ConnectionLost, detail));
    }

    /// An endpoint that does not know a stream that it gave has been restarted.
    fn on_lost_stream(&mut self, now: Timestamp, id: &RequestId, place: &Place) {
        let had_begun = self
            .owned
            .get(id)
            .is_some_and(|owned| had_begun(owned, place));
        let is_crash = had_begun && !self.router.is_leaving(&place.endpoint);
        if is_crash && !self.knows_crash(id, &place.endpoint) {
            self.report_crash(now, &place.endpoint, std::slice::from_ref(id));
            self.quarantine
                .on_returned(now, &place.endpoint, &mut self.journal);
        }
        self.end_lost(now, id, &place.endpoint, true);
    }

    /// Tells whether the crash that lost a request's stream is known.
    fn knows_crash(&self, id: &RequestId, endpoint: &EndpointId) -> bool {
        self.owned.get(id).is_some_and(|owned| {
            let fingerprint = owned.record.request.fingerprint();
            self.quarantine
                .knows_crash(fingerprint, endpoint, owned.reached_at)
        })
    }

    /// The endpoint of a broken attempt lives: the connection alone was lost.
    fn end_unharmed(&mut self, now: Timestamp, id: &RequestId) {
        let place = self
            .owned
            .get(id)
            .and_then(|owned| owned.record.place.clone());
        if let Some(place) = place {
            self.attempt_ended(now, id, &place);
        }
    }

    /// Ends an attempt whose endpoint is gone. The stream of a process that ended is lost,
    /// and is not asked for again.
    fn end_lost(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        endpoint: &EndpointId,
        is_process_exit: bool,
    ) {
        let Some(owned) = self.owned.get_mut(id) else {
            return;
        };
        if is_process_exit {
            owned.record.place = None;
        }
        let attempt = owned.attempt_id();
        let fingerprint = owned.record.request.fingerprint();
        self.router.finished(now, &attempt);
        self.quarantine.on_lost(fingerprint, endpoint);
    }
}

/// Tells whether an attempt's stream certainly existed: it gave events, or its connection
/// was reset here after the request was sent.
fn had_begun(owned: &OwnedRequest, place: &Place) -> bool {
    let has_events = owned.record.events.len() as u64 > place.first_event.0;
    let is_own = place.attempt == owned.record.attempts;
    let was_reset = owned.running().is_some_and(|running| running.resumes == 0);
    has_events || (is_own && was_reset)
}

fn kind_of(failure: &AttemptFailure) -> &'static str {
    match failure {
        AttemptFailure::NotSent => "not-sent",
        AttemptFailure::Reset => "reset",
        AttemptFailure::Status { .. } => "status",
        AttemptFailure::Protocol { .. } => "protocol",
        AttemptFailure::TimedOut => "timed-out",
        AttemptFailure::UnknownStream => "unknown-stream",
    }
}

fn text_of(failure: &AttemptFailure) -> String {
    match failure {
        AttemptFailure::Status { status, message } => format!("status {status}: {message}"),
        AttemptFailure::Protocol { message } => message.to_string(),
        other => kind_of(other).to_owned(),
    }
}

fn outcome_name(outcome: ProbeOutcome) -> &'static str {
    match outcome {
        ProbeOutcome::Alive => "alive",
        ProbeOutcome::Refused => "refused",
        ProbeOutcome::Silent => "silent",
    }
}
