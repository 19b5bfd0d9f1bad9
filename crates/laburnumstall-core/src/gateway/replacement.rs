//! Second attempts beside one whose endpoint is silent.
//!
//! A sound endpoint may be silent for a while and go on, so a silent attempt ends only once a
//! second one has started, and a call that may not run again waits for it.

use super::Gateway;
use super::call::AdmittedCall;
use super::health::CallOutcome;
use super::load_balancer::CallAttempt;
use super::recovery::{self, CallFailure};
use crate::decision::{Decision, DecisionKind};
use crate::error::ErrorKind;
use crate::units::Timestamp;

impl Gateway {
    /// Selects an endpoint for a second attempt beside one that is silent; `None` if the call
    /// has to wait for the silent one.
    ///
    /// The silent endpoint may be sound and go on, so its attempt ends only once the second one
    /// has started: see [`Gateway::on_replaced`], [`Gateway::on_replacement_failed`] and
    /// [`Gateway::on_resumed`]. Only the first replacement of one silence (`is_first`) may run on
    /// an endpoint that was tried before: with few endpoints, a new connection to the silent one
    /// may be the only way.
    pub fn replace_silent(
        &mut self,
        now: Timestamp,
        call: &mut AdmittedCall,
        silent: &CallAttempt,
        is_first: bool,
    ) -> Option<CallAttempt> {
        let outcome = CallOutcome::Unreachable;
        if is_first && self.load_balancer.record(now, silent, outcome) {
            self.record_backoff(now, silent.endpoint.clone());
        }
        let selected = self.select_replacement(now, call, is_first);
        let (choice, reason) = match &selected {
            Ok(attempt) => (attempt.endpoint.as_str(), "replace"),
            Err(reason) => ("wait", *reason),
        };
        let (retries, allowed) = self.retry_window(now, &call.service).usage(now);
        self.journal.record(
            Decision::new(now, DecisionKind::Retry, choice, reason)
                .with("request", &call.id)
                .with("endpoint", &silent.endpoint)
                .with("failure", CallFailure::Silent.name())
                .with("after_ms", now.since(silent.started_at).as_millis())
                .with("sends", call.sends)
                .with("runs", call.executions)
                .with("events", call.events)
                .with("left_ms", call.remaining(now).as_millis())
                .with("retries", retries)
                .with("allowed", allowed)
                .with("daemons", 1 + self.peer_table.len()),
        );
        let attempt = selected.ok()?;
        call.tried.push(attempt.endpoint.clone());
        Some(attempt)
    }

    fn select_replacement(
        &mut self,
        now: Timestamp,
        call: &AdmittedCall,
        may_repeat: bool,
    ) -> Result<CallAttempt, &'static str> {
        recovery::may_replace(now, call)?;
        if !self.settle_time(now, call).is_zero() {
            return Err("endpoint-crash");
        }
        if self.check_call(now, call).is_err() {
            return Err(ErrorKind::Quarantined.name());
        }
        let attempt = self
            .find_endpoint(now, call, may_repeat)
            .ok_or("no-endpoint")?;
        if self.retry_window(now, &call.service).try_retry(now) {
            return Ok(attempt);
        }
        self.end_attempt(now, attempt, None);
        Err("retry-window-full")
    }

    /// Ends an attempt whose replacement has started.
    pub fn on_replaced(
        &mut self,
        now: Timestamp,
        call: &mut AdmittedCall,
        replaced: CallAttempt,
        failure: CallFailure,
    ) {
        if failure.may_have_run() {
            call.executions += 1;
            self.count_started(now, call);
        }
        call.last_failure = Some(failure);
        if failure.may_be_crash() {
            self.on_attempt_lost(now, call, &replaced);
        }
        let decision = Decision::new(now, DecisionKind::Retry, "replaced", failure.name())
            .with("request", &call.id)
            .with("endpoint", &replaced.endpoint)
            .with("events", call.events);
        self.journal.record(decision);
        self.rollouts.on_failure(now, &replaced, failure);
        // The silence was recorded when the replacement was selected.
        let outcome = match failure {
            CallFailure::Silent => None,
            failure => failure.outcome(),
        };
        self.end_attempt(now, replaced, outcome);
    }

    /// Ends a replacement because the silent attempt goes on. If it was sent, it may have run.
    pub fn on_resumed(
        &mut self,
        now: Timestamp,
        call: &mut AdmittedCall,
        resumed: &CallAttempt,
        replacement: CallAttempt,
        is_sent: bool,
    ) {
        if is_sent {
            call.executions += 1;
            self.count_started(now, call);
        }
        self.load_balancer.end_backoff(now, resumed);
        let decision = Decision::new(now, DecisionKind::Retry, "resumed", "silence-ended")
            .with("request", &call.id)
            .with("endpoint", &resumed.endpoint)
            .with("events", call.events);
        self.journal.record(decision);
        self.end_attempt(now, replacement, None);
    }

    /// Ends a replacement that failed before it started; the attempt that it was to replace
    /// goes on.
    pub fn on_replacement_failed(
        &mut self,
        now: Timestamp,
        call: &mut AdmittedCall,
        replacement: CallAttempt,
        failure: CallFailure,
    ) {
        call.failed_connects += u32::from(failure == CallFailure::NotSent);
        if failure.may_have_run() {
            call.executions += 1;
            self.count_started(now, call);
        }
        if failure.may_be_crash() {
            self.on_attempt_lost(now, call, &replacement);
        }
        let decision = Decision::new(now, DecisionKind::Retry, "not-replaced", failure.name())
            .with("request", &call.id)
            .with("endpoint", &replacement.endpoint)
            .with("events", call.events);
        self.journal.record(decision);
        self.rollouts.on_failure(now, &replacement, failure);
        self.end_attempt(now, replacement, failure.outcome());
    }
}
