//! Decaying sums, the expected time to the first event by rank, and counts of errors.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::domain;
use crate::gateway::load_balancer::ExpectedStart;
use crate::units::Timestamp;

/// Half-life of measurements in a learned factor.
const MEASURED_HALF_LIFE: Duration = Duration::from_secs(2);
/// Seconds, expected and measured alike, that a learned factor starts with.
const NEUTRAL_SECONDS: f64 = 1.0;
/// Bounds of a learned factor.
const FACTOR_RANGE: (f64, f64) = (0.25, 4.0);
/// Half-life of the work sent by rank.
const SENT_HALF_LIFE: Duration = Duration::from_secs(1);
/// Largest part of the capacity that more urgent ranks are taken to need.
const MAX_MORE_URGENT: f64 = 0.9;
/// Refused calls that are remembered until their callers would have left.
const MAX_REFUSED: usize = 4_096;

/// Sum whose parts lose half of their weight in each half-life.
#[derive(Debug, Clone, Copy)]
pub(super) struct DecayingSum {
    half_life: Duration,
    sum: f64,
    at: Timestamp,
}

impl DecayingSum {
    pub(super) fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            sum: 0.0,
            at: Timestamp::ZERO,
        }
    }

    pub(super) fn add(&mut self, now: Timestamp, amount: f64) {
        self.sum = self.get(now) + amount;
        self.at = self.at.max(now);
    }

    pub(super) fn get(&self, now: Timestamp) -> f64 {
        self.sum * decay(now.since(self.at), self.half_life)
    }

    /// Returns the amount per second that gives this sum if it is added steadily.
    pub(super) fn per_second(&self, now: Timestamp) -> f64 {
        self.get(now) * std::f64::consts::LN_2 / self.half_life.as_secs_f64()
    }
}

/// Returns what is left of a sum after a time.
pub(super) fn decay(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// How the expected time to the first event depends on the rank of a call.
///
/// Engines run urgent calls first: a call waits for the prompts of its own and more urgent ranks
/// that are there, and for the more urgent ones that arrive meanwhile. The mix of ranks is that of
/// this daemon's calls, since daemons see the calls of all customers alike. What is left between
/// the expected and the measured time is learned; endpoints may have less capacity than they report.
#[derive(Debug, Clone, Default)]
pub(super) struct RankModel {
    ranks: BTreeMap<u8, RankLoad>,
}

#[derive(Debug, Clone, Copy)]
struct RankLoad {
    pending_us: u64,
    /// Prompts by the time for which they were there, in microseconds times seconds.
    presence: DecayingSum,
    sent: DecayingSum,
    /// Seconds to the first event, expected without the factor and measured.
    expected: DecayingSum,
    measured: DecayingSum,
}

impl RankModel {
    fn rank(&mut self, rank: u8) -> &mut RankLoad {
        self.ranks.entry(rank).or_insert(RankLoad {
            pending_us: 0,
            presence: DecayingSum::new(SENT_HALF_LIFE),
            sent: DecayingSum::new(SENT_HALF_LIFE),
            expected: DecayingSum::new(MEASURED_HALF_LIFE),
            measured: DecayingSum::new(MEASURED_HALF_LIFE),
        })
    }

    /// Returns the expected start of a call of a rank where prompts wait for `expected.wait`.
    pub(super) fn expected(
        &self,
        now: Timestamp,
        rank: u8,
        expected: ExpectedStart,
    ) -> ExpectedStart {
        let sum = |range: &dyn Fn(u8) -> bool, value: &dyn Fn(&RankLoad) -> f64| -> f64 {
            let ranks = self.ranks.iter().filter(|(rank, _)| range(**rank));
            ranks.map(|(_, load)| value(load)).sum()
        };
        let pending = |load: &RankLoad| load.pending_us as f64 + load.presence.per_second(now);
        let sent = |load: &RankLoad| load.sent.get(now);
        let (all_pending, all_sent) = (sum(&|_| true, &pending), sum(&|_| true, &sent));
        let before = match all_pending > 0.0 {
            true => sum(&|other| other <= rank, &pending) / all_pending,
            false => 1.0,
        };
        let more_urgent = match all_sent > 0.0 {
            true => sum(&|other| other < rank, &sent) / all_sent,
            false => 0.0,
        };
        let factor = self.factor(now, rank);
        let wait = expected
            .wait
            .mul_f64(before / (1.0 - more_urgent.min(MAX_MORE_URGENT)));
        let own = expected.first_output.saturating_sub(expected.wait);
        ExpectedStart {
            wait: wait.mul_f64(factor),
            first_output: (wait + own).mul_f64(factor),
        }
    }

    /// Returns the most urgent rank of the calls that were sent.
    pub(super) fn most_urgent(&self) -> u8 {
        self.ranks.keys().next().copied().unwrap_or(u8::MAX)
    }

    /// Returns the factor between the expected and the measured time. It is that of the sums: the
    /// mean of the quotients would be too high, since short expectations weigh most in it.
    pub(super) fn factor(&self, now: Timestamp, rank: u8) -> f64 {
        let Some(load) = self.ranks.get(&rank) else {
            return 1.0;
        };
        let (expected, measured) = (load.expected.get(now), load.measured.get(now));
        let factor = (measured + NEUTRAL_SECONDS) / (expected + NEUTRAL_SECONDS);
        factor.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1)
    }

    pub(super) fn on_sent(&mut self, now: Timestamp, rank: u8, prefill: Duration) {
        let load = self.rank(rank);
        load.sent.add(now, prefill.as_secs_f64());
        load.pending_us += prefill.as_micros() as u64;
    }

    /// Records that an endpoint no longer has a prompt to work on.
    pub(super) fn on_worked(
        &mut self,
        now: Timestamp,
        rank: u8,
        prefill: Duration,
        elapsed: Duration,
    ) {
        let load = self.rank(rank);
        let work = prefill.as_micros() as u64;
        load.pending_us = load.pending_us.saturating_sub(work);
        load.presence.add(now, work as f64 * elapsed.as_secs_f64());
    }

    pub(super) fn on_measured(
        &mut self,
        now: Timestamp,
        rank: u8,
        expected: Duration,
        measured: Duration,
    ) {
        let load = self.rank(rank);
        load.expected.add(now, expected.as_secs_f64());
        load.measured.add(now, measured.as_secs_f64());
    }
}

domain! {
    /// Decisions that proved wrong.
    #[derive(Copy, Eq, Default)]
    pub struct AdmissionErrors {
        /// Calls that were refused although there was room before their callers would have left.
        pub refused_too_early: u64,
        /// Calls that waited and got their first event after their target.
        pub queued_and_late: u64,
    }
}

/// When the callers of refused calls would have left.
#[derive(Debug, Clone, Default)]
pub(super) struct RefusedCalls {
    leave_at: VecDeque<Timestamp>,
}

impl RefusedCalls {
    pub(super) fn on_refused(&mut self, leave_at: Timestamp) {
        if self.leave_at.len() == MAX_REFUSED {
            self.leave_at.pop_front();
        }
        self.leave_at.push_back(leave_at);
    }

    /// Records that there is room; returns how many refused calls could have used it.
    pub(super) fn on_room(&mut self, now: Timestamp) -> u64 {
        let could_wait = self.leave_at.iter().filter(|leave_at| **leave_at > now);
        let count = could_wait.count() as u64;
        self.leave_at.clear();
        count
    }
}
