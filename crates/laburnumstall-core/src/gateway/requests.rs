//! A request's stations at the gateway: let in, placed, begun, failed, ended.

use std::time::Duration;

use super::Gateway;
use super::call::{AdmittedCall, CallAttributes};
use super::health::CallOutcome;
use super::load_balancer::{CallAttempt, EndpointQuery};
use super::recovery::{self, CallFailure, FailureAction, RETRY_AFTER};
use crate::decision::{Decision, DecisionKind};
use crate::error::{ErrorKind, Refusal};
use crate::hash::digest64;
use crate::ids::ServiceName;
use crate::limits::RetryWindow;
use crate::units::Timestamp;

/// Age of the view of the key-value service above which an unknown host, path or key may
/// just be one that was added since.
const CERTAIN_AGE: Duration = Duration::from_millis(1_500);
/// Time after which a caller comes back to a daemon that has no configuration or contact.
const NOT_READY_WAIT: Duration = Duration::from_millis(300);
/// Shortest time that a caller over its quota is told to wait.
const LEAST_QUOTA_WAIT: Duration = Duration::from_millis(100);

impl Gateway {
    /// Decides whether a request may run.
    ///
    /// # Errors
    ///
    /// [`Refusal`] with the answer for the caller; nothing has run.
    pub fn admit(
        &mut self,
        now: Timestamp,
        facts: CallAttributes,
    ) -> Result<AdmittedCall, Refusal> {
        let admitted = self.try_admit(now, &facts);
        let (choice, reason) = match &admitted {
            Ok(_) => ("accept", "allowed"),
            Err(refusal) => ("refuse", refusal.kind.name()),
        };
        let mut decision = Decision::new(now, DecisionKind::Admit, choice, reason)
            .with("request", &facts.id)
            .with("version", self.version());
        match &admitted {
            Ok(ticket) => {
                decision = decision
                    .with("route", &ticket.route.name)
                    .with("left_ms", ticket.remaining(now).as_millis())
                    .with("charge", ticket.charge);
                if let Some(customer) = &ticket.customer {
                    decision = decision.with("customer", customer);
                }
            }
            Err(refusal) => {
                let age = self.freshness.age(now).unwrap_or(Duration::MAX);
                decision = decision
                    .with("detail", &refusal.detail)
                    .with("host", &facts.host)
                    .with("path", &facts.path)
                    .with("view_age_ms", age.as_millis());
                if let Some(wait) = refusal.retry_after {
                    decision = decision.with("retry_after_ms", wait.as_millis());
                }
            }
        }
        self.journal.record(decision);
        admitted
    }

    fn try_admit(
        &mut self,
        now: Timestamp,
        facts: &CallAttributes,
    ) -> Result<AdmittedCall, Refusal> {
        let not_ready =
            |detail| Refusal::new(ErrorKind::NotReady, detail).with_retry_after(NOT_READY_WAIT);
        let table = self
            .table
            .as_ref()
            .ok_or_else(|| not_ready("no configuration"))?;
        let is_certain = self.freshness.is_within(now, CERTAIN_AGE);
        let unless_new = |kind, detail| match is_certain {
            true => Refusal::new(kind, detail),
            false => not_ready("configuration may be old"),
        };
        let route = table
            .route(&facts.host, &facts.path)
            .ok_or_else(|| unless_new(ErrorKind::UnknownService, "no route"))?;
        let mut customer = None;
        if table.needs_key(route) {
            if !self.freshness.may_trust_keys(now) {
                return Err(not_ready("keys may have been withdrawn"));
            }
            let key = facts.key.as_deref().unwrap_or_default();
            let known = table
                .customer(key)
                .ok_or_else(|| unless_new(ErrorKind::Unauthenticated, "unknown key"))?;
            customer = Some(known);
        }
        let seed = digest64(&[facts.id.as_bytes()]);
        let service = route
            .target(seed)
            .ok_or_else(|| Refusal::new(ErrorKind::NoEndpoint, "route without a service"))?;
        let patience = facts
            .caller_timeout
            .unwrap_or(route.timeout)
            .min(route.timeout);
        let mut ticket = AdmittedCall {
            id: facts.id.clone(),
            service: service.clone(),
            customer: customer.map(|customer| customer.name.clone()),
            rank: customer
                .and_then(|customer| customer.rank)
                .unwrap_or(route.rank),
            route: route.clone(),
            received_at: now,
            deadline: now.after(patience),
            prompt: facts.prompt.clone(),
            charge: 0,
            tried: Vec::new(),
            is_outstanding: false,
            sends: 0,
            executions: 0,
            has_started: false,
            events: 0,
        };
        if let Some(customer) = &ticket.customer {
            let tokens = ticket
                .prompt
                .as_ref()
                .map(|prompt| u64::from(prompt.tokens) + u64::from(prompt.max_answer_tokens));
            let cost = self.quotas.cost(customer, tokens);
            self.quotas
                .take(now, customer, cost, route.rank)
                .map_err(|wait| {
                    let wait = wait.max(LEAST_QUOTA_WAIT).min(self.bounds.retry_window);
                    Refusal::new(ErrorKind::LimitReached, "over the quota").with_retry_after(wait)
                })?;
            ticket.charge = cost;
        }
        self.demand.on_call(&ticket);
        self.retry_window(&ticket.service).on_request(now);
        Ok(ticket)
    }

    /// Chooses the endpoint for a ticket.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if there is none.
    pub fn select_endpoint(
        &mut self,
        now: Timestamp,
        ticket: &mut AdmittedCall,
    ) -> Result<CallAttempt, Refusal> {
        let search = EndpointQuery {
            service: &ticket.service,
            prompt: ticket.prompt.as_ref(),
            seed: digest64(&[ticket.id.as_bytes()]),
            excluded: &ticket.tried,
        };
        let run = self.load_balancer.select(now, &search).or_else(|| {
            // With few endpoints, one that failed before is better than none.
            let anywhere = EndpointQuery {
                excluded: &[],
                ..search
            };
            self.load_balancer.select(now, &anywhere)
        });
        let (calls, slots) = self.load_balancer.occupancy(&ticket.service);
        let Some(run) = run else {
            let detail = "no endpoint of the service is known";
            let refusal = match ticket.executions {
                0 => Refusal::new(ErrorKind::NoEndpoint, detail).with_retry_after(RETRY_AFTER),
                _ => Refusal::new(ErrorKind::EndpointFailed, detail),
            };
            self.journal.record(
                Decision::new(now, DecisionKind::Route, "refuse", refusal.kind.name())
                    .with("request", &ticket.id)
                    .with("service", &ticket.service)
                    .with("tried", ticket.tried.len())
                    .with("slots", slots),
            );
            return Err(refusal);
        };
        let reason = if run.is_owner { "home" } else { "least-wait" };
        self.journal.record(
            Decision::new(now, DecisionKind::Route, run.endpoint.as_str(), reason)
                .with("request", &ticket.id)
                .with("service", &ticket.service)
                .with("expected_ms", run.expected.as_millis())
                .with("cached", run.cached)
                .with("calls", calls)
                .with("slots", slots)
                .with("send", ticket.sends + 1),
        );
        ticket.tried.push(run.endpoint.clone());
        Ok(run)
    }

    /// Takes in that a call was written to its endpoint.
    pub fn on_sent(&mut self, ticket: &mut AdmittedCall) {
        ticket.sends += 1;
        ticket.is_outstanding = true;
    }

    /// Takes in that an endpoint has begun a call: its first event or its answer came.
    pub fn on_started(&mut self, now: Timestamp, ticket: &mut AdmittedCall, run: &mut CallAttempt) {
        self.load_balancer.on_first(now, run);
        self.count_begun(now, ticket);
    }

    fn count_begun(&mut self, now: Timestamp, ticket: &mut AdmittedCall) {
        if std::mem::replace(&mut ticket.has_started, true) {
            return;
        }
        if let Some(customer) = &ticket.customer {
            self.usage.on_started(now, customer);
        }
    }

    /// Decides what follows a failed call.
    ///
    /// # Errors
    ///
    /// [`Refusal`] with the answer for the caller if the call is given up and the
    /// endpoint gave none.
    pub fn after_failure(
        &mut self,
        now: Timestamp,
        ticket: &mut AdmittedCall,
        run: CallAttempt,
        failure: CallFailure,
    ) -> Result<FailureAction, Refusal> {
        ticket.is_outstanding = false;
        if failure.may_have_run() {
            ticket.executions += 1;
            self.count_begun(now, ticket);
        }
        let endpoint = run.endpoint.clone();
        let age = now.since(run.started_at);
        self.end_run(now, run, failure.outcome());
        let retries = self.retry_window(&ticket.service);
        let (next, reason) = recovery::after_failure(now, ticket, failure, retries);
        let choice = match next {
            FailureAction::Retry if ticket.events > 0 => "resume",
            FailureAction::Retry => "again",
            FailureAction::Forward => "pass-on",
            FailureAction::GiveUp => "give-up",
        };
        self.journal.record(
            Decision::new(now, DecisionKind::Retry, choice, reason)
                .with("request", &ticket.id)
                .with("endpoint", &endpoint)
                .with("failure", failure.name())
                .with("after_ms", age.as_millis())
                .with("sends", ticket.sends)
                .with("runs", ticket.executions)
                .with("events", ticket.events)
                .with("left_ms", ticket.remaining(now).as_millis()),
        );
        match next {
            FailureAction::GiveUp => Err(recovery::refusal(now, ticket, failure)),
            next => Ok(next),
        }
    }

    /// Ends a call whose caller left or whose time is over while the endpoint worked.
    pub fn abandon(&mut self, now: Timestamp, run: CallAttempt, outcome: Option<CallOutcome>) {
        self.end_run(now, run, outcome);
    }

    /// Ends a call that went well.
    pub fn succeed(&mut self, now: Timestamp, run: CallAttempt) {
        self.end_run(now, run, Some(CallOutcome::Good));
    }

    fn end_run(&mut self, now: Timestamp, run: CallAttempt, outcome: Option<CallOutcome>) {
        let endpoint = run.endpoint.clone();
        if self.load_balancer.end(now, run, outcome) {
            self.journal.record(
                Decision::new(now, DecisionKind::Membership, "paused", "unreachable")
                    .with("endpoint", endpoint),
            );
        }
    }

    /// Ends a request: records how, and gives back the quota of one that did not run. One
    /// whose caller left before an answer may run or have run.
    pub fn end(&mut self, now: Timestamp, ticket: AdmittedCall, result: &str, status: u16) {
        let has_run = ticket.has_started || ticket.executions > 0;
        let is_unused = !has_run && !ticket.is_outstanding;
        let execution = match has_run {
            true => "ran",
            false if is_unused => "not-run",
            false => "may-have-run",
        };
        if let Some(customer) = ticket.customer.as_ref().filter(|_| is_unused) {
            self.quotas.give_back(now, customer, ticket.charge);
        }
        self.journal.record(
            Decision::new(now, DecisionKind::Finish, result, execution)
                .with("request", &ticket.id)
                .with("service", &ticket.service)
                .with("status", status)
                .with("events", ticket.events)
                .with("sends", ticket.sends)
                .with("runs", ticket.executions)
                .with("took_ms", now.since(ticket.received_at).as_millis()),
        );
    }

    fn retry_window(&mut self, service: &ServiceName) -> &mut RetryWindow {
        let (bounds, daemons) = (&self.bounds, 1 + self.peer_table.len());
        self.retries.entry(service.clone()).or_insert_with(|| {
            let allowance = bounds.retry_allowance / daemons as f64;
            RetryWindow::new(bounds.retry_window, bounds.retry_ratio, allowance)
        })
    }
}
