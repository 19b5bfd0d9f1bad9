//! Detection of silent connections: the endpoint of a stalled attempt is probed on a new one.
//!
//! A connection can go silent while the endpoint is healthy, because a middlebox dropped its
//! state. A probe on a new connection tells this from a failed endpoint. If the endpoint
//! answers, the old connection is dead: pooled connections are dropped and the stream is
//! resumed on a new one. A plain call shows no progress before its end, so an idempotent one is
//! retried after a fraction of its time limit; a non-idempotent one is never retried.

use std::time::Duration;

use crate::decision::DecisionKind;
use crate::entry::Entry;
use crate::entry::action::Action;
use crate::entry::owned::{OwnedRequest, Phase, RunningAttempt};
use crate::entry::takeover::ATTEMPTS_PER_EPOCH;
use crate::ids::{EndpointId, RequestId};
use crate::request::Dialect;
use crate::units::Timestamp;

/// Time without an event after which a stream's endpoint is probed.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Allowance for the first event, as a multiple of the expected time to first token.
const FIRST_TOKEN_FACTOR: u32 = 2;

/// Divisor of an idempotent plain call's time limit; the quotient is its stall timeout.
const PLAIN_RETRY_DIVISOR: u32 = 4;

/// Maximum number of times that a plain call is sent.
const MAX_PLAIN_ATTEMPTS: u32 = 3;

/// Resumptions of one attempt's stream after which its endpoint counts as stuck.
const MAX_RESUMES: u32 = 2;

impl Entry {
    /// Probes the endpoint of an attempt that has made no progress for too long.
    pub(super) fn check_progress(&mut self, now: Timestamp, id: &RequestId) {
        let Some(owned) = self.owned.get_mut(id) else {
            return;
        };
        let move_at = owned.running().and_then(|running| running.move_at);
        if move_at.is_some_and(|move_at| move_at <= now) {
            self.retry_silent_attempt(now, id);
            return;
        }
        let stall_timeout = stall_timeout(owned);
        let Phase::Running(running) = &mut owned.phase else {
            return;
        };
        let Some(stall_timeout) = stall_timeout else {
            return;
        };
        if running.is_probing || now.since(running.progress_at) < stall_timeout {
            return;
        }
        running.is_probing = true;
        let endpoint = running.location.endpoint.clone();
        let address = running.location.address;
        let silent_for = now.since(running.progress_at);
        let decision = self
            .decision(now, DecisionKind::Connection, "probe", "no-progress")
            .with("request", id)
            .with("endpoint", &endpoint)
            .with("silent_us", silent_for.as_micros());
        self.journal.record(decision);
        self.actions.push(Action::Probe { endpoint, address });
    }

    /// Replaces the silent connections to an endpoint that answered on a new one.
    pub(super) fn replace_silent_connections(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let silent = self.silent_attempts_on(endpoint);
        let address = self.router.endpoint(endpoint).map(|routed| routed.address);
        if let Some(address) = address
            && !silent.is_empty()
        {
            self.actions.push(Action::DropConnections { address });
        }
        for id in silent {
            self.replace_connection(now, &id);
        }
    }

    fn silent_attempts_on(&self, endpoint: &EndpointId) -> Vec<RequestId> {
        let is_silent = |owned: &OwnedRequest| {
            let running = owned.running();
            running
                .is_some_and(|running| running.is_probing && running.location.endpoint == *endpoint)
        };
        self.owned
            .iter()
            .filter(|(_, owned)| is_silent(owned))
            .map(|(id, _)| id.clone())
            .collect()
    }

    fn replace_connection(&mut self, now: Timestamp, id: &RequestId) {
        let Some(running) = self.owned.get(id).and_then(OwnedRequest::running) else {
            return;
        };
        let location = running.location.clone();
        let resumes = running.resumes + 1;
        let is_plain = self
            .owned
            .get(id)
            .is_some_and(|owned| !owned.is_resumable());
        if is_plain && !self.can_restart(now, id) {
            self.wait_for_replacement(now, id);
            return;
        }
        if is_plain {
            self.cancel_attempt(id);
            self.attempt_ended(now, id, &location);
            self.dispatch(now, id);
            return;
        }
        if resumes <= MAX_RESUMES {
            self.resume_stream(now, id, location, resumes);
            return;
        }
        self.cancel_attempt(id);
        self.router
            .mark_failed(now, &location.endpoint, &mut self.journal);
        self.attempt_ended(now, id, &location);
        self.dispatch(now, id);
    }
}

/// Returns the silence after which an attempt is probed; `None` if it never is.
fn stall_timeout(owned: &OwnedRequest) -> Option<Duration> {
    let running = owned.running()?;
    let request = &owned.record.request;
    if request.dialect == Dialect::Plain {
        let attempts = owned.record.attempts % ATTEMPTS_PER_EPOCH;
        let may_repeat = request.idempotent && attempts < MAX_PLAIN_ATTEMPTS;
        let time_limit = request.deadline.since(owned.record.accepted_at);
        return may_repeat.then_some(time_limit / PLAIN_RETRY_DIVISOR);
    }
    Some(stream_stall_timeout(running))
}

fn stream_stall_timeout(running: &RunningAttempt) -> Duration {
    let has_started = running.progress_at > running.started_at;
    if has_started {
        STALL_TIMEOUT
    } else {
        STALL_TIMEOUT + running.expected_first_token * FIRST_TOKEN_FACTOR
    }
}
