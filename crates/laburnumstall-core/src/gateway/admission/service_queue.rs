//! Calls that wait for the endpoints of one service, and the order in which they are sent.

use std::collections::BTreeMap;
use std::time::Duration;

use super::meters::{AdmissionErrors, DecayingSum, RankModel, RefusedCalls};
use super::send_window::SendWindow;
use crate::domain_value;
use crate::gateway::call::AdmittedCall;
use crate::gateway::endpoint_limiter::ReturnSchedule;
use crate::gateway::load_balancer::ExpectedStart;
use crate::ids::{CustomerId, Fingerprint, ServiceName};
use crate::limits::{FairQueue, QueuePlace};
use crate::units::{Priority, Timestamp};

/// Time between two looks at a late call that may have to be refused.
const LATE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Half-life of the rates at which calls are sent.
const RATE_HALF_LIFE: Duration = Duration::from_secs(1);
/// Part of the window of calls without a prompt that late ones may use, and that customers above
/// their shares may use.
const LATE_PART: f64 = 0.5;
const ABOVE_SHARE_PART: f64 = 0.75;
/// Part of the target within which a wait counts as none, as a divisor.
const IDLE_DIVISOR: u32 = 8;
/// Part of the expected time that has to lie beyond the time at which the caller leaves.
const CERTAIN_PART: f64 = 0.8;
/// Time after the last wait for which a service counts as short.
const SHORT_TIME: Duration = Duration::from_secs(2);
/// Part of the capacity that less urgent ranks keep, as a divisor of what more urgent ones get. A
/// tenth of the whole is a ninth of that, and some credit is lost while no endpoint has room.
const FLOOR_DIVISOR: u64 = 7;
/// Credit that a rank may save, in multiples of the work of the call that was sent last.
const MAX_CREDIT_CALLS: u64 = 4;
/// Time after the time of return for which a refused call is remembered.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// Refused calls that are remembered for each service.
const MAX_RETURNING: usize = 4_096;

domain_value! {
    /// Identifies a call that waits at this daemon.
    pub struct AdmissionTicket(pub u64);

    /// Whether a waiting call can still get its first event within its target.
    pub(super) enum Lateness {
        OnTime,
        Late,
    }
}

/// Customer, or none for calls without one.
type Flow = Option<CustomerId>;

/// Call that waits.
#[derive(Debug, Clone)]
pub(super) struct WaitingCall {
    pub(super) call: AdmittedCall,
    pub(super) weight: u32,
    pub(super) work: u64,
    pub(super) since: Timestamp,
    /// End of the time in which it is on time.
    pub(super) late_at: Timestamp,
    /// When its caller leaves.
    pub(super) leave_at: Timestamp,
    pub(super) is_returning: bool,
}

/// Why a waiting call is considered, which decides how long its expected time may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Turn {
    /// Its rank has a credit for its part of the capacity.
    Floor,
    /// It can be on time, and no more urgent call waits.
    OnTime,
    /// It can be on time, and a more urgent call waits.
    Yielding,
    /// It is late.
    Late,
}

impl Turn {
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Floor => "floor",
            Self::OnTime => "on-time",
            Self::Yielding => "yielding",
            Self::Late => "late",
        }
    }
}

#[derive(Debug, Clone, Default)]
struct RankQueue {
    on_time: FairQueue<AdmissionTicket, Flow>,
    late: FairQueue<AdmissionTicket, Flow>,
    late_work: u64,
    /// Work that may be sent before calls of more urgent ranks.
    credit: u64,
}

/// Waiting calls of one service.
#[derive(Debug, Clone)]
pub(super) struct ServiceQueue {
    name: ServiceName,
    ranks: BTreeMap<u8, RankQueue>,
    calls: BTreeMap<AdmissionTicket, (WaitingCall, Lateness, QueuePlace<Flow>)>,
    late_rate: DecayingSum,
    sent_work: DecayingSum,
    sent_calls: DecayingSum,
    /// Call that may be sent, until it has been.
    pub(super) granted: Option<(AdmissionTicket, Timestamp)>,
    short_at: Option<Timestamp>,
    pub(super) model: RankModel,
    pub(super) window: SendWindow,
    pub(super) returns: ReturnSchedule,
    pub(super) refused: RefusedCalls,
    pub(super) errors: AdmissionErrors,
    returning: BTreeMap<Fingerprint, Timestamp>,
}

impl ServiceQueue {
    pub(super) fn new(name: ServiceName) -> Self {
        let rate = DecayingSum::new(RATE_HALF_LIFE);
        Self {
            name,
            ranks: BTreeMap::new(),
            calls: BTreeMap::new(),
            late_rate: rate,
            sent_work: rate,
            sent_calls: rate,
            granted: None,
            short_at: None,
            model: RankModel::default(),
            window: SendWindow::default(),
            returns: ReturnSchedule::default(),
            refused: RefusedCalls::default(),
            errors: AdmissionErrors::default(),
            returning: BTreeMap::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns whether calls wait, or did so lately.
    pub(super) fn is_short(&self, now: Timestamp) -> bool {
        let is_recent = |at: Timestamp| now.since(at) < SHORT_TIME;
        let is_queued = !self.is_empty() || self.short_at.is_some_and(is_recent);
        is_queued || self.window.is_limited(now)
    }

    pub(super) fn get(&self, ticket: AdmissionTicket) -> Option<&WaitingCall> {
        self.calls.get(&ticket).map(|(waiting, _, _)| waiting)
    }

    /// Returns the numbers of waiting calls by rank.
    pub(super) fn lengths(&self) -> impl Iterator<Item = (u8, usize)> {
        self.ranks
            .iter()
            .map(|(rank, queue)| (*rank, queue.on_time.len() + queue.late.len()))
    }

    pub(super) fn push(&mut self, now: Timestamp, ticket: AdmissionTicket, waiting: WaitingCall) {
        if self.calls.is_empty()
            && self
                .short_at
                .is_none_or(|at| now.since(at) > RATE_HALF_LIFE)
        {
            // Nothing was late before, so late calls are first taken to be sent as all were.
            self.late_rate = self.sent_work;
        }
        self.short_at = Some(now);
        let lateness = match now < waiting.late_at {
            true => Lateness::OnTime,
            false => Lateness::Late,
        };
        self.insert(now, ticket, waiting, lateness);
    }

    fn insert(
        &mut self,
        now: Timestamp,
        ticket: AdmissionTicket,
        waiting: WaitingCall,
        lateness: Lateness,
    ) {
        let rank = self.ranks.entry(waiting.call.rank).or_default();
        let (queue, deadline) = match lateness {
            Lateness::OnTime => (&mut rank.on_time, waiting.late_at),
            Lateness::Late => {
                rank.late_work += waiting.work;
                let check_at = now.after(LATE_CHECK_INTERVAL).min(waiting.leave_at);
                (&mut rank.late, check_at)
            }
        };
        let place = queue.push_with_priority(
            &self.name,
            &waiting.call.customer,
            waiting.weight,
            waiting.work,
            deadline,
            Priority(u64::from(waiting.is_returning)),
            ticket,
        );
        self.calls.insert(ticket, (waiting, lateness, place));
    }

    /// Moves calls that can no longer be on time to the late ones; returns those and the late
    /// ones that have to be looked at again.
    pub(super) fn expire(&mut self, now: Timestamp) -> Vec<AdmissionTicket> {
        let expired: Vec<AdmissionTicket> = self
            .ranks
            .values_mut()
            .flat_map(|rank| {
                rank.on_time
                    .expire(now)
                    .into_iter()
                    .chain(rank.late.expire(now))
            })
            .collect();
        for ticket in &expired {
            if let Some(waiting) = self.forget(ticket) {
                self.insert(now, *ticket, waiting, Lateness::Late);
            }
        }
        expired
    }

    fn forget(&mut self, ticket: &AdmissionTicket) -> Option<WaitingCall> {
        let (waiting, lateness, _) = self.calls.remove(ticket)?;
        if lateness == Lateness::Late
            && let Some(rank) = self.ranks.get_mut(&waiting.call.rank)
        {
            rank.late_work -= waiting.work;
        }
        Some(waiting)
    }

    /// Removes a call that is not sent.
    pub(super) fn cancel(&mut self, ticket: AdmissionTicket) -> Option<WaitingCall> {
        let (waiting, lateness, place) = self.calls.get(&ticket)?;
        let rank = self.ranks.get_mut(&waiting.call.rank)?;
        let queue = match lateness {
            Lateness::OnTime => &mut rank.on_time,
            Lateness::Late => &mut rank.late,
        };
        queue.cancel(&self.name, place);
        self.forget(&ticket)
    }

    /// Removes a call that is sent.
    pub(super) fn take(
        &mut self,
        now: Timestamp,
        ticket: AdmissionTicket,
        turn: Turn,
    ) -> Option<WaitingCall> {
        let (waiting, lateness, place) = self.calls.get(&ticket)?;
        let (own_rank, work) = (waiting.call.rank, waiting.work);
        let rank = self.ranks.get_mut(&own_rank)?;
        if turn == Turn::Floor {
            rank.credit = rank.credit.saturating_sub(work);
        }
        match lateness {
            Lateness::OnTime => rank.on_time.take(&self.name, place),
            Lateness::Late => rank.late.take(&self.name, place),
        };
        if *lateness == Lateness::Late {
            self.late_rate.add(now, work as f64);
        }
        for (_, queue) in self.ranks.iter_mut().filter(|(rank, _)| **rank > own_rank) {
            let is_waiting = !(queue.on_time.is_empty() && queue.late.is_empty());
            queue.credit = match is_waiting {
                true => (queue.credit + work / FLOOR_DIVISOR).min(work * MAX_CREDIT_CALLS),
                false => 0,
            };
        }
        self.forget(&ticket)
    }

    /// Records that a call was sent, whether it waited or not.
    pub(super) fn on_sent(&mut self, now: Timestamp, work: u64) {
        self.sent_work.add(now, work as f64);
        self.sent_calls.add(now, 1.0);
    }

    /// Returns how many calls this daemon sends per second.
    pub(super) fn calls_per_second(&self, now: Timestamp) -> f64 {
        self.sent_calls.per_second(now)
    }

    /// Returns how long the late calls of a rank and of more urgent ones take at the rate at which
    /// late calls are sent.
    pub(super) fn late_wait(&self, now: Timestamp, rank: u8) -> Duration {
        let work: u64 = self
            .ranks
            .range(..=rank)
            .map(|(_, queue)| queue.late_work)
            .sum();
        let seconds = work as f64 / self.late_rate.per_second(now).max(1.0);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Returns the first call of each customer, in the order in which they may be sent.
    pub(super) fn heads(&self, now: Timestamp) -> Vec<(AdmissionTicket, Turn)> {
        let (mut floor, mut on_time, mut late) = (Vec::new(), Vec::new(), Vec::new());
        let mut has_more_urgent = false;
        for rank in self.ranks.values() {
            let first = rank.on_time.heads(now, &self.name);
            let then = rank.late.heads(now, &self.name);
            let next = first
                .first()
                .or(then.first())
                .and_then(|ticket| self.get(**ticket));
            let is_due = |next: &WaitingCall| rank.credit >= next.work;
            let turn = match has_more_urgent {
                true => Turn::Yielding,
                false => Turn::OnTime,
            };
            if has_more_urgent && next.is_some_and(is_due) {
                let next = first.first().or(then.first());
                floor.extend(next.map(|ticket| (**ticket, Turn::Floor)));
            }
            has_more_urgent |= !first.is_empty();
            on_time.extend(first.into_iter().map(|ticket| (*ticket, turn)));
            late.extend(then.into_iter().map(|ticket| (*ticket, Turn::Late)));
        }
        floor.into_iter().chain(on_time).chain(late).collect()
    }

    /// Returns whether a call may be sent. An endpoint with hardly any wait is never left idle.
    pub(super) fn has_room(
        &self,
        now: Timestamp,
        call: &AdmittedCall,
        expected: ExpectedStart,
        turn: Turn,
        is_above_share: bool,
    ) -> bool {
        if call.prompt.is_none() {
            // Endpoints queue few calls and refuse others at once, so calls that wait here as well
            // would be late. Customers above their shares leave room at the endpoints.
            return match turn {
                Turn::Late => self.window.has_room(now, LATE_PART),
                _ => !is_above_share || self.window.has_room(now, ABOVE_SHARE_PART),
            };
        }
        let is_idle = expected.wait <= call.route.target_latency / IDLE_DIVISOR;
        is_idle || expected.first_output <= limit(now, call, turn, is_above_share)
    }

    /// Returns why a call cannot start before its caller leaves, and when there is room; `None` if
    /// it may. Less urgent calls have a part of the capacity, so the wait of the most urgent counts.
    pub(super) fn hopeless_wait(
        &self,
        now: Timestamp,
        waiting: &WaitingCall,
        found: ExpectedStart,
    ) -> Option<(&'static str, Duration)> {
        let rank = self.model.most_urgent().min(waiting.call.rank);
        let soonest = self.model.expected(now, rank, found).first_output;
        let target = waiting.call.route.target_latency;
        let is_hopeless = now.after(soonest.mul_f64(CERTAIN_PART)) > waiting.leave_at;
        is_hopeless.then(|| ("wait too long", soonest.saturating_sub(target)))
    }

    /// Remembers a refused call, whose caller was told to come back.
    pub(super) fn on_refused(&mut self, now: Timestamp, call: &AdmittedCall, wait: Duration) {
        if self.returning.len() >= MAX_RETURNING {
            self.returning.retain(|_, until| now < *until);
        }
        if self.returning.len() < MAX_RETURNING {
            let until = now.after(wait + RETURN_TIME);
            self.returning.insert(call.fingerprint, until);
        }
    }

    /// Returns whether a call was refused and comes back on time.
    pub(super) fn take_returning(&mut self, now: Timestamp, call: &AdmittedCall) -> bool {
        let until = self.returning.remove(&call.fingerprint);
        until.is_some_and(|until| now < until)
    }
}

/// Returns how long the expected time to the first event may be for a call to be sent.
pub(super) fn limit(
    now: Timestamp,
    call: &AdmittedCall,
    turn: Turn,
    is_above_share: bool,
) -> Duration {
    let target = call.route.target_latency;
    let left = call.received_at.after(target).since(now);
    match turn {
        Turn::Late => target / 4,
        Turn::OnTime | Turn::Yielding if is_above_share => target / 4,
        Turn::Yielding => target / 2,
        // Expected times are wrong by a part of themselves.
        Turn::Floor | Turn::OnTime => (left * 3 / 4).max(target / 2),
    }
}
