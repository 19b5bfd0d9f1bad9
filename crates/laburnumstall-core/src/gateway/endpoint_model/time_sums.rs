//! Decaying sums of expected and measured times, and the estimates that they give.

use std::time::Duration;

use super::weights::MAX_SUM_AGE;
use super::{ProcessKey, ProcessTimes};
use crate::units::Timestamp;

/// Time after which a sample counts half.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Calls of the service's mean that are added to those of each endpoint.
const PRIOR_CALLS: f64 = 4.0;
/// Calls of a service below which nothing is known of it.
const MIN_SERVICE_CALLS: f64 = 10.0;
/// Hundredths of a call that messages count in.
const HUNDREDTHS: f64 = 100.0;

/// Expected and measured times of calls; older ones count less.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::gateway) struct TimeSums {
    expected: f64,
    measured: f64,
    calls: f64,
    updated_at: Timestamp,
}

impl TimeSums {
    /// Returns the sums of one call of this weight.
    pub(in crate::gateway) fn of_call(
        now: Timestamp,
        expected: Duration,
        measured: Duration,
        weight: f64,
    ) -> Self {
        Self {
            expected: expected.as_secs_f64() * weight,
            measured: measured.as_secs_f64() * weight,
            calls: weight,
            updated_at: now,
        }
    }

    /// Adds other sums.
    pub(in crate::gateway) fn merge(&mut self, now: Timestamp, other: &Self) {
        let (own, other) = (self.decayed(now), other.decayed(now));
        *self = Self {
            expected: own.expected + other.expected,
            measured: own.measured + other.measured,
            calls: own.calls + other.calls,
            updated_at: now,
        };
    }

    /// Returns the sums as they count now.
    pub(in crate::gateway) fn decayed(&self, now: Timestamp) -> Self {
        let age = now.since(self.updated_at);
        if age >= MAX_SUM_AGE {
            return Self::default();
        }
        let factor = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        Self {
            updated_at: now,
            ..self.scaled(factor)
        }
    }

    /// Returns the sums with another weight.
    pub(in crate::gateway) fn scaled(&self, factor: f64) -> Self {
        Self {
            expected: self.expected * factor,
            measured: self.measured * factor,
            calls: self.calls * factor,
            updated_at: self.updated_at,
        }
    }

    /// Returns the measured time relative to the expected one; `None` without samples.
    pub(in crate::gateway) fn quotient(&self) -> Option<f64> {
        (self.expected > 0.0).then(|| self.measured / self.expected)
    }

    /// Returns whether there are no samples.
    pub(in crate::gateway) fn is_empty(&self) -> bool {
        self.calls <= 0.0
    }

    /// Returns the weight of the samples, in calls with nothing queued before them.
    pub(in crate::gateway) fn calls(&self) -> f64 {
        self.calls
    }

    /// Returns the sums as a message states them.
    pub(in crate::gateway) fn to_message(self, process: ProcessKey) -> ProcessTimes {
        let micros = |seconds: f64| (seconds * 1e6).round() as u32;
        ProcessTimes {
            process,
            expected_us: micros(self.expected),
            measured_us: micros(self.measured),
            calls: (self.calls * HUNDREDTHS).round() as u32,
        }
    }

    /// Returns the sums that a message received at `now` states.
    pub(in crate::gateway) fn from_message(now: Timestamp, times: &ProcessTimes) -> Self {
        Self {
            expected: f64::from(times.expected_us) / 1e6,
            measured: f64::from(times.measured_us) / 1e6,
            calls: f64::from(times.calls) / HUNDREDTHS,
            updated_at: now,
        }
    }
}

/// Mean of a service's endpoints, towards which estimates of few calls are drawn.
#[derive(Debug, Clone, Copy)]
pub(in crate::gateway) struct Estimates {
    factor: f64,
    expected: f64,
}

impl Estimates {
    /// Returns the mean of the sums of all endpoints; `None` if they hold too few calls.
    pub(in crate::gateway) fn of(sums: impl Iterator<Item = TimeSums>) -> Option<Self> {
        let total = sums.fold(TimeSums::default(), |total, sum| TimeSums {
            expected: total.expected + sum.expected,
            measured: total.measured + sum.measured,
            calls: total.calls + sum.calls,
            ..total
        });
        let is_known = total.calls >= MIN_SERVICE_CALLS && total.measured > 0.0;
        (is_known && total.expected > 0.0).then(|| Self {
            factor: total.measured / total.expected,
            expected: total.expected / total.calls,
        })
    }

    /// Returns the time that an endpoint takes relative to the prefill model.
    pub(in crate::gateway) fn factor(&self, sums: &TimeSums) -> f64 {
        let prior = PRIOR_CALLS * self.expected;
        (sums.measured + prior * self.factor) / (sums.expected + prior)
    }
}
