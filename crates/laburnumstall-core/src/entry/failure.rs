//! Recovery from failed attempts.
//!
//! An idempotent request is retried on another endpoint and keeps the text that callers have
//! seen. A non-idempotent request is retried only if nothing was sent, or if the endpoint runs
//! a repeated key only once. After a connection failure the endpoint is probed on a new
//! connection. If its port refuses the probe, the process has crashed and every request that
//! ran on it is a suspect.

use std::time::Duration;

use crate::decision::DecisionKind;
use crate::entry::Entry;
use crate::entry::action::Action;
use crate::entry::event::{AttemptFailure, PROBE_TIMEOUT, ProbeOutcome};
use crate::entry::owned::{OwnedRequest, Phase, RunningAttempt};
use crate::error::{ErrorKind, Refusal};
use crate::ids::{EndpointId, RequestId};
use crate::message::AttemptLocation;
use crate::units::Timestamp;

/// Backoff when the retry budget is exhausted.
const RETRY_BUDGET_BACKOFF: Duration = Duration::from_millis(500);

/// Interruptions of a request, without an event between them, that do not spend the retry budget.
const MAX_FREE_INTERRUPTIONS: u32 = 2;

/// HTTP statuses that an engine returns when it did not start the request.
const NOT_STARTED_STATUSES: [u16; 2] = [429, 503];

/// How a request recovers from a failed attempt.
#[derive(Debug, PartialEq, Eq)]
enum Recovery {
    /// Retry on another endpoint: nothing ran, or the request may be repeated.
    OtherEndpoint,
    /// Probe the endpoint: resume the stream if it is alive, else start a new attempt.
    Probe,
    /// Start a new attempt after the recorded events.
    NewAttempt,
    /// Fail the request.
    Fail(ErrorKind),
}

impl Entry {
    pub(super) fn recover(&mut self, now: Timestamp, id: &RequestId, failure: AttemptFailure) {
        let Some((location, recovery)) = self.classify_failure(id, &failure) else {
            return;
        };
        let attempt = crate::ids::AttemptId {
            request: id.clone(),
            number: location.attempt,
        };
        self.record_failure(now, id, &location, &failure, &recovery);
        match recovery {
            Recovery::Probe => {}
            Recovery::NewAttempt => {
                self.router.finished(now, &attempt);
                self.on_unknown_stream(now, id, &location);
            }
            _ => self.attempt_ended(now, id, &location),
        }
        if failure == AttemptFailure::NotSent {
            self.discard_unsent_attempt(id);
            if !self.router.is_failed(&location.endpoint) {
                self.notify_refused(&location.endpoint);
            }
            self.router
                .mark_failed(now, &location.endpoint, &mut self.journal);
        }
        match recovery {
            Recovery::OtherEndpoint => self.retry_on_other_endpoint(now, id, &location.endpoint),
            Recovery::NewAttempt => self.dispatch(now, id),
            Recovery::Probe => self.probe_endpoint(now, id, &location),
            Recovery::Fail(kind) => {
                let detail = format!(
                    "endpoint {}: {}",
                    location.endpoint,
                    failure_detail(&failure)
                );
                self.fail(now, id, Refusal::new(kind, detail));
            }
        }
    }

    fn classify_failure(
        &self,
        id: &RequestId,
        failure: &AttemptFailure,
    ) -> Option<(AttemptLocation, Recovery)> {
        let owned = self.owned.get(id)?;
        let running = owned.running()?;
        let recovery = self.choose_recovery(owned, running, failure);
        Some((running.location.clone(), recovery))
    }

    fn choose_recovery(
        &self,
        owned: &OwnedRequest,
        running: &RunningAttempt,
        failure: &AttemptFailure,
    ) -> Recovery {
        let is_repeatable = self.is_safe_to_retry(&owned.record.request);
        match failure {
            AttemptFailure::NotSent if running.resumes == 0 => Recovery::OtherEndpoint,
            AttemptFailure::NotSent if is_repeatable => Recovery::OtherEndpoint,
            AttemptFailure::Status { status, .. } if NOT_STARTED_STATUSES.contains(status) => {
                Recovery::OtherEndpoint
            }
            AttemptFailure::Status { status, .. } if *status >= 500 && is_repeatable => {
                Recovery::OtherEndpoint
            }
            AttemptFailure::Status { .. } => Recovery::Fail(ErrorKind::EndpointFailed),
            AttemptFailure::UnknownStream if is_repeatable => Recovery::NewAttempt,
            AttemptFailure::TimedOut => Recovery::Fail(ErrorKind::DeadlineExceeded),
            _ if is_repeatable => Recovery::Probe,
            _ => Recovery::Fail(ErrorKind::ConnectionLost),
        }
    }

    /// Discards the location of an attempt that was never sent: its endpoint has no stream.
    fn discard_unsent_attempt(&mut self, id: &RequestId) {
        let Some(owned) = self.owned.get_mut(id) else {
            return;
        };
        if owned.running().is_some_and(|running| !running.is_sent) {
            owned.record.location = None;
        }
    }

    fn record_failure(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        location: &AttemptLocation,
        failure: &AttemptFailure,
        recovery: &Recovery,
    ) {
        let choice = match recovery {
            Recovery::OtherEndpoint => "elsewhere",
            Recovery::Probe => "probe",
            Recovery::NewAttempt => "anew",
            Recovery::Fail(_) => "give-up",
        };
        let events = self
            .owned
            .get(id)
            .map_or(0, |owned| owned.record.events.len());
        let decision = self
            .decision(now, DecisionKind::Retry, choice, failure_name(failure))
            .with("request", id)
            .with("attempt", location.attempt)
            .with("endpoint", &location.endpoint)
            .with("events", events);
        self.journal.record(decision);
    }

    fn retry_on_other_endpoint(&mut self, now: Timestamp, id: &RequestId, endpoint: &EndpointId) {
        let is_within_budget = self.retry_budget.try_withdraw(now);
        let Some(owned) = self.owned.get_mut(id) else {
            return;
        };
        owned.excluded.push(endpoint.clone());
        if is_within_budget {
            self.dispatch(now, id);
            return;
        }
        let retry_at = now.after(RETRY_BUDGET_BACKOFF);
        owned.phase = Phase::Waiting { retry_at };
        let decision = self
            .decision(now, DecisionKind::Retry, "wait", "retry-budget")
            .with("request", id);
        self.journal.record(decision);
    }

    fn probe_endpoint(&mut self, now: Timestamp, id: &RequestId, location: &AttemptLocation) {
        let is_probe_in_flight = self.owned.values().any(|owned| {
            matches!(&owned.phase, Phase::Probing { endpoint, .. } if *endpoint == location.endpoint)
        });
        if let Some(owned) = self.owned.get_mut(id) {
            owned.phase = Phase::Probing {
                endpoint: location.endpoint.clone(),
                until: now.after(PROBE_TIMEOUT * 2),
            };
        }
        if !is_probe_in_flight {
            self.actions.push(Action::Probe {
                endpoint: location.endpoint.clone(),
                address: location.address,
            });
        }
    }

    /// Handles the outcome of a probe for interrupted and for silent attempts.
    pub(super) fn on_probed(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        outcome: ProbeOutcome,
    ) {
        let interrupted = self.interrupted_on(endpoint);
        let decision = self
            .decision(
                now,
                DecisionKind::Connection,
                outcome_name(outcome),
                "probe",
            )
            .with("endpoint", endpoint)
            .with("broken", interrupted.len());
        self.journal.record(decision);
        match outcome {
            ProbeOutcome::Alive => self.on_endpoint_alive(now, endpoint, interrupted),
            ProbeOutcome::Refused => self.on_endpoint_lost(now, endpoint, true),
            ProbeOutcome::Silent => self.on_endpoint_silent(now, endpoint),
        }
    }

    fn interrupted_on(&self, endpoint: &EndpointId) -> Vec<RequestId> {
        let is_interrupted = |owned: &OwnedRequest| matches!(&owned.phase, Phase::Probing { endpoint: probed, .. } if probed == endpoint);
        self.owned
            .iter()
            .filter(|(_, owned)| is_interrupted(owned))
            .map(|(id, _)| id.clone())
            .collect()
    }

    fn on_endpoint_alive(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        interrupted: Vec<RequestId>,
    ) {
        for id in interrupted {
            self.end_interrupted(now, &id);
            self.restart_interrupted(now, &id, endpoint);
        }
        self.replace_silent_connections(now, endpoint);
    }

    /// Goes on with an interrupted request whose endpoint is alive: at once after the first
    /// interruptions, and within the retry budget if no event arrives between them.
    fn restart_interrupted(&mut self, now: Timestamp, id: &RequestId, endpoint: &EndpointId) {
        let Some(owned) = self.owned.get_mut(id) else {
            return;
        };
        owned.interruptions += 1;
        if owned.interruptions <= MAX_FREE_INTERRUPTIONS {
            self.start_or_resume(now, id);
            return;
        }
        owned.record.location = None;
        self.retry_on_other_endpoint(now, id, endpoint);
    }

    /// Retries or fails the requests of an endpoint whose process or VM is lost.
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
            let received = lost.iter().filter(|id| self.may_have_received(id));
            let received: Vec<RequestId> = received.cloned().collect();
            self.report_crash(now, endpoint, &received);
        }
        self.router.mark_failed(now, endpoint, &mut self.journal);
        for id in lost {
            self.end_lost(now, &id, endpoint, is_process_exit);
            self.retry_or_fail(now, &id);
        }
    }

    pub(super) fn lost_on(&self, endpoint: &EndpointId) -> Vec<RequestId> {
        let is_lost = |owned: &OwnedRequest| match &owned.phase {
            Phase::Probing {
                endpoint: probed, ..
            } => probed == endpoint,
            Phase::Running(running) => running.location.endpoint == *endpoint,
            _ => false,
        };
        self.owned
            .iter()
            .filter(|(_, owned)| is_lost(owned))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns whether the attempt's endpoint may have received the request; a connection that
    /// was never accepted cannot have crashed a process.
    fn may_have_received(&self, id: &RequestId) -> bool {
        let running = self.owned.get(id).and_then(OwnedRequest::running);
        running.is_none_or(|running| running.is_sent)
    }

    pub(super) fn retry_or_fail(&mut self, now: Timestamp, id: &RequestId) {
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

    /// Handles an endpoint that no longer has the attempt's stream because it was restarted.
    fn on_unknown_stream(&mut self, now: Timestamp, id: &RequestId, location: &AttemptLocation) {
        let had_started = self
            .owned
            .get(id)
            .is_some_and(|owned| had_started(owned, location));
        let is_crash = had_started && !self.router.is_leaving(&location.endpoint);
        if is_crash && !self.is_crash_recorded(id, &location.endpoint) {
            self.report_crash(now, &location.endpoint, std::slice::from_ref(id));
            self.quarantine
                .on_returned(now, &location.endpoint, &mut self.journal);
        }
        self.end_lost(now, id, &location.endpoint, true);
    }

    /// Returns whether the crash that lost a request's stream is recorded already.
    fn is_crash_recorded(&self, id: &RequestId, endpoint: &EndpointId) -> bool {
        self.owned.get(id).is_some_and(|owned| {
            let fingerprint = owned.record.request.fingerprint();
            self.quarantine
                .knows_crash(fingerprint, endpoint, owned.reached_at)
        })
    }

    /// Ends an interrupted attempt whose endpoint is alive: only the connection was lost.
    fn end_interrupted(&mut self, now: Timestamp, id: &RequestId) {
        let location = self
            .owned
            .get(id)
            .and_then(|owned| owned.record.location.clone());
        if let Some(location) = location {
            self.attempt_ended(now, id, &location);
        }
    }

    /// Ends an attempt whose endpoint is lost. The stream of an exited process is lost with it
    /// and is not resumed.
    pub(super) fn end_lost(
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
            owned.record.location = None;
        }
        let attempt = owned.attempt_id();
        let fingerprint = owned.record.request.fingerprint();
        self.router.finished(now, &attempt);
        self.quarantine.on_lost(fingerprint, endpoint);
    }
}

/// Returns whether an attempt's stream certainly existed: it returned events, or its
/// connection from this daemon was reset after the request was sent.
fn had_started(owned: &OwnedRequest, location: &AttemptLocation) -> bool {
    let has_events = owned.record.events.len() as u64 > location.first_event.0;
    let is_latest = location.attempt == owned.record.attempts;
    let was_reset = owned.running().is_some_and(|running| running.resumes == 0);
    has_events || (is_latest && was_reset)
}

fn failure_name(failure: &AttemptFailure) -> &'static str {
    match failure {
        AttemptFailure::NotSent => "not-sent",
        AttemptFailure::Reset => "reset",
        AttemptFailure::Status { .. } => "status",
        AttemptFailure::Protocol { .. } => "protocol",
        AttemptFailure::TimedOut => "timed-out",
        AttemptFailure::UnknownStream => "unknown-stream",
    }
}

fn failure_detail(failure: &AttemptFailure) -> String {
    match failure {
        AttemptFailure::Status { status, message } => format!("status {status}: {message}"),
        AttemptFailure::Protocol { message } => message.to_string(),
        other => failure_name(other).to_owned(),
    }
}

fn outcome_name(outcome: ProbeOutcome) -> &'static str {
    match outcome {
        ProbeOutcome::Alive => "alive",
        ProbeOutcome::Refused => "refused",
        ProbeOutcome::Silent => "silent",
    }
}
