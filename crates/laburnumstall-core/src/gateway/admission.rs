//! Decides whether an admitted call is sent, waits or is refused while its service is short of
//! capacity.
//!
//! A call is sent at once if no call of its service waits and it is expected to start within its
//! target. Otherwise it waits at this daemon: calls that can be on time go first, by rank, then by
//! fair share of the customers, then by age. Calls of customers above their shares, late calls and
//! less urgent ones are held back at half of the target, so that the others find room. A call whose
//! caller would leave before its first event is refused as not run.

mod customer_use;
mod measurement;
mod meters;
mod send_window;
mod service_queue;
mod sharing;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Gateway;
use super::call::{AdmittedCall, sum_tokens};
use super::load_balancer::{CallAttempt, EndpointQuery, ExpectedStart, LoadBalancer, RankedStart};
use super::prefill::prefill_time;
use super::recovery;
use super::rules::RouteRule;
use super::send_budget::SendBudget;
use super::stored_versions::endpoint_query;
use super::version_history::VersionHistory;
use crate::decision::{Decision, DecisionKind};
use crate::error::{ErrorKind, Refusal};
use crate::ids::ServiceName;
use crate::limits::bucket::MICRO;
use crate::units::Timestamp;
pub use customer_use::{CustomerUse, ServiceUse};
pub use meters::AdmissionErrors;
pub use service_queue::AdmissionTicket;
use service_queue::{ServiceQueue, Turn, WaitingCall, limit};
pub use sharing::{AdmissionState, UseBroadcast};

/// Calls of one service that wait at a daemon.
const MAX_WAITING: usize = 10_000;
/// Time after which a waiting call looks again by itself.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time within which a call that may be sent has to be.
const GRANT_TIME: Duration = Duration::from_millis(100);
/// Expected times that are computed in one decision.
const MAX_ESTIMATES: usize = 8;
/// Shortest gap after which a caller leaves.
const MIN_CALLER_GAP: Duration = Duration::from_secs(2);
/// Work of a call without a prompt.
const PLAIN_WORK_US: u64 = 1_000;
/// Shortest delay before a refused caller returns.
const MIN_RETURN_DELAY: Duration = Duration::from_millis(100);

/// What happens to a call that has no endpoint yet.
#[derive(Debug)]
pub enum Start {
    /// It is sent to this endpoint.
    Send(CallAttempt),
    /// It waits; the time is when to look again if it is not woken before.
    Wait(Duration),
    /// It is refused.
    Refuse(Refusal),
}

/// How a wait ended.
#[derive(Debug, Clone)]
enum Outcome {
    Granted(WaitingCall, Turn, Option<ExpectedStart>),
    Refused(WaitingCall, Refusal),
}

/// Waiting calls of all services, and the use of services by customers.
#[derive(Debug, Default)]
pub(super) struct Admission {
    services: BTreeMap<ServiceName, ServiceQueue>,
    outcomes: BTreeMap<AdmissionTicket, Outcome>,
    woken: Vec<AdmissionTicket>,
    last_ticket: u64,
    ledger: customer_use::UseLedger,
    budget: SendBudget,
    next_peer: usize,
    has_room: bool,
}

impl Admission {
    fn queue(&mut self, service: &ServiceName) -> &mut ServiceQueue {
        let queue = || ServiceQueue::new(service.clone());
        self.services.entry(service.clone()).or_insert_with(queue)
    }

    fn short(&self, now: Timestamp) -> BTreeSet<ServiceName> {
        let services = self.services.iter();
        let short = services.filter(|(_, queue)| queue.is_short(now));
        short.map(|(service, _)| service.clone()).collect()
    }
}

impl Gateway {
    /// Decides whether a call is sent, waits or is refused; called again after a wait.
    pub fn try_start(&mut self, now: Timestamp, call: &mut AdmittedCall) -> Start {
        if let Some(ticket) = call.ticket {
            return self.continue_wait(now, call, ticket);
        }
        if call.executions > 0 || call.has_started || call.is_resumed {
            return self.start(now, call, None);
        }
        let unheard = self.quotas.unheard();
        let found = expected_start(&self.load_balancer, &self.versions, now, call, unheard);
        let Some(found) = found else {
            return self.start(now, call, None);
        };
        let work = work(call);
        let ledger = &mut self.admission.ledger;
        if call.sends == 0 {
            ledger.on_asked(now, call, work);
        }
        let is_above_share = ledger.is_above_share(call);
        let weight = ledger.weight(call.customer.as_ref());
        let queue = self.admission.queue(&call.service);
        let expected = queue.model.expected(now, call.rank, found);
        let is_returning = queue.take_returning(now, call);
        let has_room = match queue.is_short(now) || is_above_share || call.prompt.is_none() {
            true => queue.has_room(now, call, expected, Turn::OnTime, is_above_share),
            false => expected.first_output <= call.route.target_latency,
        };
        if queue.is_empty() && has_room {
            let served = queue.refused.on_room(now);
            queue.errors.refused_too_early += served;
            return self.start(now, call, Some(expected));
        }
        let target = call.route.target_latency;
        let waiting = WaitingCall {
            weight,
            work,
            since: now,
            late_at: call.received_at.after(match call.prompt {
                Some(_) => target / 2,
                None => target.saturating_sub(expected.first_output),
            }),
            leave_at: leave_at(call),
            is_returning,
            call: call.clone(),
        };
        let hopeless = match queue.len() < MAX_WAITING {
            true => queue.hopeless_wait(now, &waiting, found),
            false => Some(("queue full", expected.first_output)),
        };
        if let Some((detail, room_in)) = hopeless {
            let refusal = refuse(now, queue, &waiting, detail, room_in);
            self.record_wait(now, &waiting, "refuse", detail);
            return Start::Refuse(refusal);
        }
        self.admission.last_ticket += 1;
        let ticket = AdmissionTicket(self.admission.last_ticket);
        call.ticket = Some(ticket);
        let queue = self.admission.queue(&call.service);
        queue.push(now, ticket, waiting);
        self.on_endpoint_room();
        self.continue_wait(now, call, ticket)
    }

    fn continue_wait(
        &mut self,
        now: Timestamp,
        call: &mut AdmittedCall,
        ticket: AdmissionTicket,
    ) -> Start {
        if let Err(refusal) = self.check_stop(now, call.deadline) {
            self.leave_queue(now, call, refusal.kind.name());
            return Start::Refuse(refusal);
        }
        if !self.admission.outcomes.contains_key(&ticket) {
            self.dispatch(now, &call.service);
        }
        match self.admission.outcomes.remove(&ticket) {
            None => Start::Wait(RECHECK_INTERVAL),
            Some(Outcome::Refused(waiting, refusal)) => {
                call.ticket = None;
                self.record_wait(now, &waiting, "refuse", &refusal.detail);
                Start::Refuse(refusal)
            }
            Some(Outcome::Granted(waiting, turn, expected)) => {
                call.ticket = None;
                call.has_waited = true;
                let queue = self.admission.queue(&call.service);
                queue.granted = None;
                if turn == Turn::Floor {
                    // Engines would leave it behind the more urgent calls.
                    call.rank = call.rank.min(queue.model.most_urgent());
                }
                self.record_wait(now, &waiting, "send", turn.name());
                let start = self.start(now, call, expected);
                self.dispatch(now, &call.service);
                start
            }
        }
    }

    fn start(
        &mut self,
        now: Timestamp,
        call: &mut AdmittedCall,
        expected: Option<ExpectedStart>,
    ) -> Start {
        match self.select_endpoint(now, call) {
            Ok(mut attempt) => {
                let work = work(call);
                let queue = self.admission.queue(&call.service);
                queue.on_sent(now, work);
                if let Some(expected) = expected {
                    self.admission.ledger.on_used(now, call, work);
                    let queue = self.admission.queue(&call.service);
                    let factor = queue.model.factor(now, call.rank);
                    attempt.ranked = Some(RankedStart {
                        rank: call.rank,
                        modelled: expected.first_output.div_f64(factor),
                        is_queued: queue.is_short(now) && expected.wait > expected.first_output / 2,
                    });
                    match call.prompt {
                        Some(_) => queue.model.on_sent(now, call.rank, attempt.prefill()),
                        None => queue.window.on_sent(),
                    }
                }
                Start::Send(attempt)
            }
            Err(refusal) => Start::Refuse(refusal),
        }
    }

    /// Lets the calls of a service go on that may be sent or have to be refused; they are returned
    /// by [`take_woken_calls`](Self::take_woken_calls).
    fn dispatch(&mut self, now: Timestamp, service: &ServiceName) {
        let unheard = self.quotas.unheard();
        let Some(queue) = self.admission.services.get_mut(service) else {
            return;
        };
        if queue.is_empty() {
            return;
        }
        let mut ended = Vec::new();
        for ticket in queue.expire(now) {
            let Some(waiting) = queue.get(ticket) else {
                continue;
            };
            let wait = queue.late_wait(now, waiting.call.rank);
            if now.after(wait) >= waiting.leave_at
                && let Some(waiting) = queue.cancel(ticket)
            {
                ended.push((ticket, waiting, "late calls take too long", wait));
            }
        }
        let is_granted = queue
            .granted
            .is_some_and(|(_, at)| now.since(at) < GRANT_TIME);
        let mut granted = None;
        let mut blocked: Vec<(Option<u64>, Duration)> = Vec::new();
        let heads = match is_granted {
            true => Vec::new(),
            false => queue.heads(now),
        };
        for (ticket, turn) in heads {
            let Some(waiting) = queue.get(ticket) else {
                continue;
            };
            let call = &waiting.call;
            let is_above_share = self.admission.ledger.is_above_share(call);
            let limit = limit(now, call, turn, is_above_share);
            // Prompts without shared parts have candidates of their own.
            let key = match &call.prompt {
                Some(prompt) => prompt.hash_key(),
                None => Some(0),
            };
            let is_blocked = |(other, longer): &(Option<u64>, Duration)| {
                key.is_some() && *other == key && *longer >= limit
            };
            if blocked.iter().any(is_blocked) {
                continue;
            }
            if blocked.len() >= MAX_ESTIMATES {
                break;
            }
            let found = expected_start(&self.load_balancer, &self.versions, now, call, unheard);
            let rank = match turn {
                Turn::Floor => queue.model.most_urgent(),
                _ => call.rank,
            };
            let expected = found.map(|found| queue.model.expected(now, rank, found));
            let may_start = match expected {
                // The call gets the refusal for want of an endpoint, or one that it has tried.
                None => true,
                Some(expected) => queue.has_room(now, call, expected, turn, is_above_share),
            };
            if may_start {
                granted = Some((ticket, turn, expected));
                break;
            }
            blocked.push((key, limit));
            let Some(found) = found else {
                continue;
            };
            if let Some((detail, room_in)) = queue.hopeless_wait(now, waiting, found)
                && let Some(waiting) = queue.cancel(ticket)
            {
                ended.push((ticket, waiting, detail, room_in));
            }
        }
        if let Some((ticket, turn, expected)) = granted
            && let Some(waiting) = queue.take(now, ticket, turn)
        {
            queue.granted = Some((ticket, now));
            let outcome = Outcome::Granted(waiting, turn, expected);
            self.admission.outcomes.insert(ticket, outcome);
            self.admission.woken.push(ticket);
        }
        for (ticket, waiting, detail, room_in) in ended {
            let refusal = refuse(now, queue, &waiting, detail, room_in);
            let outcome = Outcome::Refused(waiting, refusal);
            self.admission.outcomes.insert(ticket, outcome);
            self.admission.woken.push(ticket);
        }
    }

    /// Lets the waiting calls of all services go on that may be sent or have to be refused; returns
    /// whether calls still wait.
    pub fn dispatch_waiting(&mut self, now: Timestamp) -> bool {
        self.admission.has_room = false;
        let services = self.admission.services.iter();
        let waiting = services.filter(|(_, queue)| !queue.is_empty());
        let waiting: Vec<ServiceName> = waiting.map(|(service, _)| service.clone()).collect();
        for service in &waiting {
            self.dispatch(now, service);
        }
        !waiting.is_empty()
    }

    /// Returns and clears the calls that go on: [`Gateway::try_start`] decides.
    pub fn take_woken_calls(&mut self) -> Vec<AdmissionTicket> {
        std::mem::take(&mut self.admission.woken)
    }

    /// Returns whether there may be room for a waiting call since the last
    /// [`dispatch_waiting`](Self::dispatch_waiting).
    pub fn should_dispatch(&self) -> bool {
        let mut queues = self.admission.services.values();
        self.admission.has_room && queues.any(|queue| !queue.is_empty())
    }

    /// Records that an endpoint may have room.
    pub(super) fn on_endpoint_room(&mut self) {
        self.admission.has_room = true;
    }

    /// Ends the wait of a call that is not sent.
    pub(super) fn leave_queue(&mut self, now: Timestamp, call: &mut AdmittedCall, reason: &str) {
        let Some(ticket) = call.ticket.take() else {
            return;
        };
        let queue = self.admission.queue(&call.service);
        if queue.granted.is_some_and(|(granted, _)| granted == ticket) {
            queue.granted = None;
        }
        let waiting = queue.cancel(ticket).or_else(|| {
            let outcome = self.admission.outcomes.remove(&ticket)?;
            let (Outcome::Granted(waiting, _, _) | Outcome::Refused(waiting, _)) = outcome;
            Some(waiting)
        });
        self.on_endpoint_room();
        if let Some(waiting) = waiting {
            self.record_wait(now, &waiting, "leave", reason);
        }
    }

    fn record_wait(&mut self, now: Timestamp, waiting: &WaitingCall, choice: &str, reason: &str) {
        let call = &waiting.call;
        let queue = self.admission.queue(&call.service);
        let decision = Decision::new(now, DecisionKind::Wait, choice, reason)
            .with("request", &call.id)
            .with("service", &call.service)
            .with("rank", call.rank)
            .with("waited_ms", now.since(waiting.since).as_millis())
            .with("left_ms", waiting.leave_at.since(now).as_millis())
            .with("queued", queue.len())
            .with("late_wait_ms", queue.late_wait(now, call.rank).as_millis());
        let factor = queue.model.factor(now, call.rank);
        let mut decision = decision.with("factor", format_args!("{factor:.2}"));
        if let Some(customer) = &call.customer {
            decision = decision.with("customer", customer);
        }
        self.journal.record(decision);
    }
}

/// Returns the expected start of a call at the endpoint that [`Gateway::find_endpoint`] finds.
fn expected_start(
    load_balancer: &LoadBalancer,
    versions: &VersionHistory,
    now: Timestamp,
    call: &AdmittedCall,
    unheard: u32,
) -> Option<ExpectedStart> {
    let query = endpoint_query(versions, call);
    let untried = load_balancer.best_expected(now, &query, unheard);
    if untried.is_some() || !recovery::may_repeat_endpoint(call) {
        return untried;
    }
    let any_endpoint = EndpointQuery {
        excluded: &[],
        ..query
    };
    load_balancer.best_expected(now, &any_endpoint, unheard)
}

/// Returns when the caller of a call leaves.
fn leave_at(call: &AdmittedCall) -> Timestamp {
    let gap = caller_gap(&call.route);
    call.received_at.after(gap).min(call.deadline)
}

fn caller_gap(route: &RouteRule) -> Duration {
    let pause = route.longest_pause.unwrap_or_default();
    MIN_CALLER_GAP.max(route.target_latency * 4).max(pause * 8)
}

/// Returns the work of a call, assuming that the shared parts of its prompt are cached.
fn work(call: &AdmittedCall) -> u64 {
    let Some(prompt) = &call.prompt else {
        return PLAIN_WORK_US;
    };
    let shared = sum_tokens(prompt.shared().iter());
    let work = prefill_time(prompt.tokens, shared).as_micros();
    u64::try_from(work).unwrap_or(u64::MAX).max(1)
}

/// Returns the refusal of a call that did not run; callers return one after the other.
fn refuse(
    now: Timestamp,
    queue: &mut ServiceQueue,
    waiting: &WaitingCall,
    detail: &'static str,
    room_in: Duration,
) -> Refusal {
    let rate = queue.calls_per_second(now).max(1.0) * MICRO as f64;
    let room_in = room_in.max(MIN_RETURN_DELAY);
    let retry_after = queue.returns.next(now, room_in, rate as i64);
    queue.refused.on_refused(waiting.leave_at);
    queue.on_refused(now, &waiting.call, retry_after);
    Refusal::new(ErrorKind::Overloaded, detail).with_retry_after(retry_after)
}
