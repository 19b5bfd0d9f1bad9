//! Lifecycle of a request: admission, endpoint selection, start, failure and end.

use std::time::Duration;

use super::Gateway;
use super::call::{AdmittedCall, CallAttributes};
use super::health::CallOutcome;
use super::load_balancer::CallAttempt;
use super::recovery::{self, CallFailure, FailureAction};
use super::rules::CallKind;
use super::stream_origin::AttemptDigest;
use crate::decision::{Decision, DecisionKind};
use crate::error::{ErrorKind, Refusal};
use crate::ids::{EndpointId, SoftwareVersion};
use crate::units::Timestamp;

/// Age of the view of the key-value store above which an unknown host, path or key may be a
/// recent addition.
pub(super) const MAX_CERTAIN_AGE: Duration = Duration::from_millis(1_500);
/// Retry delay for callers of a daemon without a configuration or contact to the store.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Shortest retry delay for a caller over its quota.
const MIN_QUOTA_WAIT: Duration = Duration::from_millis(100);

impl Gateway {
    /// Decides whether to admit a call.
    ///
    /// # Errors
    ///
    /// [`Refusal`] with the answer for the caller; nothing has run.
    pub fn admit(
        &mut self,
        now: Timestamp,
        attributes: CallAttributes,
    ) -> Result<AdmittedCall, Refusal> {
        let admitted = self.try_admit(now, &attributes);
        let (choice, reason) = match &admitted {
            Ok(_) => ("accept", "allowed"),
            Err(refusal) => ("refuse", refusal.kind.name()),
        };
        let mut decision = Decision::new(now, DecisionKind::Admit, choice, reason)
            .with("request", &attributes.id)
            .with("version", self.version());
        match &admitted {
            Ok(call) => {
                decision = decision
                    .with("route", &call.route.name)
                    .with("fingerprint", call.fingerprint)
                    .with("left_ms", call.remaining(now).as_millis())
                    .with("charge", call.charge);
                if let Some(customer) = &call.customer {
                    decision = decision.with("customer", customer);
                }
                if let Some(prompt) = call.prompt.as_ref().filter(|p| !p.shared().is_empty()) {
                    decision = decision.with("parts", prompt.shared_text());
                }
            }
            Err(refusal) => {
                let age = self.freshness.age(now).unwrap_or(Duration::MAX);
                decision = decision
                    .with("detail", &refusal.detail)
                    .with("host", &attributes.host)
                    .with("path", &attributes.path)
                    .with("view_age_ms", age.as_millis());
                if let Some(wait) = refusal.retry_after {
                    decision = decision.with("retry_after_ms", wait.as_millis());
                }
            }
        }
        if let Some(event) = &attributes.resume_after {
            let attempt = attributes.resumed_attempt.as_deref();
            decision = decision
                .with("resumes", attempt.unwrap_or("unnamed"))
                .with("after", event);
        }
        self.journal.record(decision);
        admitted
    }

    fn try_admit(
        &mut self,
        now: Timestamp,
        attributes: &CallAttributes,
    ) -> Result<AdmittedCall, Refusal> {
        let not_ready = |detail| {
            Refusal::new(ErrorKind::NotReady, detail).with_retry_after(NOT_READY_RETRY_AFTER)
        };
        let table = self
            .routing_table
            .as_ref()
            .ok_or_else(|| not_ready("no configuration"))?;
        if self.is_below_floor() {
            return Err(not_ready("a later configuration was in force"));
        }
        let is_view_fresh = self.freshness.is_within(now, MAX_CERTAIN_AGE);
        let unless_stale = |kind, detail| match is_view_fresh {
            true => Refusal::new(kind, detail),
            false => not_ready("configuration may be old"),
        };
        let route = table
            .route(&attributes.host, &attributes.path)
            .ok_or_else(|| unless_stale(ErrorKind::UnknownService, "no route"))?;
        let mut customer = None;
        if table.needs_customer(route, attributes.key.as_deref()) {
            if !self.freshness.may_trust_keys(now) {
                return Err(not_ready("keys may have been withdrawn"));
            }
            let key = attributes.key.as_deref().unwrap_or_default();
            let known = table
                .customer(key)
                .ok_or_else(|| unless_stale(ErrorKind::Unauthenticated, "unknown key"))?;
            customer = Some(known);
        }
        let is_resumable = route.kind == CallKind::Stream && route.is_resumable;
        let is_resumed = is_resumable && attributes.resume_after.is_some();
        let first_attempt = match &attributes.resumed_attempt {
            Some(attempt) if is_resumed => attempt,
            _ => &attributes.id,
        };
        let stream = AttemptDigest::of(first_attempt);
        let service = route
            .target(stream.0)
            .ok_or_else(|| Refusal::new(ErrorKind::NoEndpoint, "route without a service"))?;
        let fingerprint = attributes.fingerprint(customer.map(|known| &known.name), service);
        self.check_quarantine(now, fingerprint, service, attributes.prompt.as_ref())?;
        let timeout = attributes
            .caller_timeout
            .unwrap_or(route.timeout)
            .min(route.timeout);
        let deadline = now.after(timeout);
        self.check_stop(now, deadline)?;
        let mut call = AdmittedCall {
            id: attributes.id.clone(),
            service: service.clone(),
            stream,
            is_resumed,
            origin: None,
            fingerprint,
            customer: customer.map(|customer| customer.name.clone()),
            rank: customer
                .and_then(|customer| customer.rank)
                .unwrap_or(route.rank),
            route: route.clone(),
            received_at: now,
            deadline,
            prompt: attributes.prompt.clone(),
            charge: 0,
            tried: Vec::new(),
            is_outstanding: false,
            sends: 0,
            failed_connects: 0,
            executions: 0,
            has_started: false,
            events: 0,
            event_times: None,
            last_failure: None,
        };
        if let Some(customer) = &call.customer {
            let tokens = call
                .prompt
                .as_ref()
                .map(|prompt| u64::from(prompt.tokens) + u64::from(prompt.max_answer_tokens));
            let cost = self.quotas.cost(customer, tokens);
            let taken = match is_resumed {
                true => self.quotas.take_resumed(now, customer, cost),
                false => self.quotas.take(now, customer, cost, route.rank),
            };
            taken.map_err(|wait| {
                let wait = wait.max(MIN_QUOTA_WAIT).min(self.bounds.retry_window);
                Refusal::new(ErrorKind::LimitReached, "over the quota").with_retry_after(wait)
            })?;
            call.charge = cost;
        }
        self.demand.on_call(&call);
        self.retry_window(now, &call.service).on_request(now);
        Ok(call)
    }

    /// Returns the time for which a call waits before its next attempt.
    pub fn send_delay(&self, now: Timestamp, call: &AdmittedCall) -> Duration {
        let delay = recovery::reconnect_delay(call);
        delay.max(self.settle_time(now, call))
    }

    /// Selects the endpoint for a call.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if no endpoint is available.
    pub fn select_endpoint(
        &mut self,
        now: Timestamp,
        call: &mut AdmittedCall,
    ) -> Result<CallAttempt, Refusal> {
        self.check_retry(now, call)?;
        if call.executions == 0 && !call.has_started {
            self.check_stop(now, call.deadline)?;
        }
        let attempt = self.find_endpoint(now, call, recovery::may_repeat_endpoint(call));
        let (calls, slots) = self.load_balancer.occupancy(&call.service);
        let Some(attempt) = attempt else {
            self.record_version_gone(now, call);
            let detail = match &call.origin {
                None => "no endpoint of the service is known",
                Some(_) => "no endpoint of the stream's version is known",
            };
            let refusal = match call.executions {
                0 => self.no_endpoint(now, &call.service, detail),
                _ => Refusal::new(ErrorKind::EndpointFailed, detail),
            };
            self.journal.record(
                Decision::new(now, DecisionKind::Route, "refuse", refusal.kind.name())
                    .with("request", &call.id)
                    .with("service", &call.service)
                    .with("software", call.pinned_version())
                    .with("tried", call.tried.len())
                    .with("slots", slots)
                    .with("detail", &refusal.detail)
                    .with(
                        "retry_after_ms",
                        refusal.retry_after.unwrap_or_default().as_millis(),
                    ),
            );
            return Err(refusal);
        };
        let reason = if attempt.is_owner {
            "home"
        } else {
            "least-wait"
        };
        self.journal.record(
            Decision::new(now, DecisionKind::Route, attempt.endpoint.as_str(), reason)
                .with("request", &call.id)
                .with("service", &call.service)
                .with("software", SoftwareVersion::text(attempt.version.as_ref()))
                .with("expected_ms", attempt.expected.as_millis())
                .with("cached", attempt.cached)
                .with("calls", calls)
                .with("slots", slots)
                .with("send", call.sends + 1),
        );
        call.tried.push(attempt.endpoint.clone());
        Ok(attempt)
    }

    /// Records that a call was written to its endpoint.
    pub fn on_sent(&mut self, call: &mut AdmittedCall) {
        call.sends += 1;
        call.is_outstanding = true;
    }

    /// Records that a response on the connection of a call was skipped: it names another attempt,
    /// or none.
    pub fn on_response_skipped(
        &mut self,
        now: Timestamp,
        call: &str,
        endpoint: &EndpointId,
        status: u16,
        attempt: Option<&str>,
    ) {
        let reason = match attempt {
            Some(_) => "other-attempt",
            None => "no-attempt",
        };
        self.journal.record(
            Decision::new(now, DecisionKind::Connection, "skipped", reason)
                .with("request", call)
                .with("endpoint", endpoint)
                .with("status", status)
                .with("response_to", attempt.unwrap_or("unnamed")),
        );
    }

    /// Records that a response is not read further, and what is wrong with it.
    pub fn on_response_rejected(
        &mut self,
        now: Timestamp,
        call: &str,
        endpoint: &EndpointId,
        cause: &str,
    ) {
        self.journal.record(
            Decision::new(now, DecisionKind::Connection, "rejected", cause)
                .with("request", call)
                .with("endpoint", endpoint),
        );
    }

    /// Records that an endpoint has started a call: its first event or its response arrived.
    pub fn on_started(
        &mut self,
        now: Timestamp,
        call: &mut AdmittedCall,
        attempt: &mut CallAttempt,
    ) {
        self.rollouts.on_first_output(now, attempt);
        self.load_balancer.on_first_output(now, attempt);
        self.record_origin(now, call, attempt);
        self.count_started(now, call);
    }

    pub(super) fn count_started(&mut self, now: Timestamp, call: &mut AdmittedCall) {
        if std::mem::replace(&mut call.has_started, true) {
            return;
        }
        if let Some(customer) = &call.customer {
            self.usage.on_started(now, customer);
        }
    }

    /// Decides what to do after a failed attempt.
    ///
    /// # Errors
    ///
    /// [`Refusal`] with the answer for the caller if the call is abandoned and the endpoint
    /// gave no response.
    pub fn after_failure(
        &mut self,
        now: Timestamp,
        call: &mut AdmittedCall,
        attempt: CallAttempt,
        failure: CallFailure,
    ) -> Result<FailureAction, Refusal> {
        call.is_outstanding = false;
        call.last_failure = Some(failure);
        call.failed_connects += u32::from(failure == CallFailure::NotSent);
        if failure.may_have_run() && !attempt.is_continued {
            call.executions += 1;
            self.count_started(now, call);
        }
        if failure.may_be_crash() {
            self.on_attempt_lost(now, call, &attempt);
        }
        self.rollouts.on_failure(now, &attempt, failure);
        let endpoint = attempt.endpoint.clone();
        let age = now.since(attempt.started_at);
        self.end_attempt(now, attempt, failure.outcome());
        let retries = self.retry_window(now, &call.service);
        let (action, reason) = recovery::after_failure(now, call, failure, retries);
        let (retries, allowed) = retries.usage(now);
        let choice = match action {
            FailureAction::Retry if call.events > 0 => "resume",
            FailureAction::Retry => "again",
            FailureAction::Forward => "pass-on",
            FailureAction::GiveUp => "give-up",
        };
        self.journal.record(
            Decision::new(now, DecisionKind::Retry, choice, reason)
                .with("request", &call.id)
                .with("endpoint", &endpoint)
                .with("failure", failure.name())
                .with("after_ms", age.as_millis())
                .with("sends", call.sends)
                .with("runs", call.executions)
                .with("events", call.events)
                .with("left_ms", call.remaining(now).as_millis())
                .with("retries", retries)
                .with("allowed", allowed)
                .with("daemons", 1 + self.peer_table.len()),
        );
        match action {
            FailureAction::GiveUp => Err(recovery::refusal(now, call, failure)),
            action => Ok(action),
        }
    }

    /// Ends an attempt whose caller disconnected or whose deadline passed while the endpoint
    /// was working.
    pub fn abandon(&mut self, now: Timestamp, attempt: CallAttempt, outcome: Option<CallOutcome>) {
        if outcome.is_some() {
            self.rollouts.on_unfinished(now, &attempt);
        }
        self.end_attempt(now, attempt, outcome);
    }

    /// Ends a successful attempt.
    pub fn succeed(&mut self, now: Timestamp, attempt: CallAttempt) {
        self.rollouts.on_success(now, &attempt);
        self.end_attempt(now, attempt, Some(CallOutcome::Good));
    }

    pub(super) fn end_attempt(
        &mut self,
        now: Timestamp,
        attempt: CallAttempt,
        outcome: Option<CallOutcome>,
    ) {
        self.rollouts.on_ended(&attempt);
        let endpoint = attempt.endpoint.clone();
        if self.load_balancer.end(now, attempt, outcome) {
            self.record_backoff(now, endpoint);
        }
    }

    pub(super) fn record_backoff(&mut self, now: Timestamp, endpoint: EndpointId) {
        self.journal.record(
            Decision::new(now, DecisionKind::Membership, "paused", "unreachable")
                .with("endpoint", endpoint),
        );
    }

    /// Ends a call: records the result, and refunds the quota of a call that did not run. A
    /// call whose caller disconnected before the response may have run.
    pub fn end(&mut self, now: Timestamp, call: AdmittedCall, result: &str, status: u16) {
        if result == "answered" {
            self.reclaims.on_ended(&call);
        }
        let has_run = call.has_started || call.executions > 0;
        let is_unused = !has_run && !call.is_outstanding;
        let execution = match has_run {
            true => "ran",
            false if is_unused => "not-run",
            false => "may-have-run",
        };
        if let Some(customer) = call.customer.as_ref().filter(|_| is_unused) {
            self.quotas.refund(now, customer, call.charge);
        }
        let mut decision = Decision::new(now, DecisionKind::Finish, result, execution)
            .with("request", &call.id)
            .with("service", &call.service)
            .with("status", status)
            .with("events", call.events)
            .with("sends", call.sends)
            .with("runs", call.executions)
            .with("took_ms", now.since(call.received_at).as_millis());
        if let Some(times) = call.event_times {
            decision = times.record(decision, call.received_at);
        }
        if let Some(failure) = call.last_failure {
            decision = decision.with("failure", failure.name());
        }
        self.journal.record(decision);
    }
}
