//! A token bucket that refills without rounding errors.

use std::time::Duration;

use crate::units::Timestamp;

/// Millionths per unit, and microseconds per second.
pub(crate) const MICRO: i64 = 1_000_000;

/// A token bucket whose rate can change and whose balance can be negative.
///
/// Rates and costs are in millionths of a unit. The balance is in millionths of a
/// millionth, so that the product of a rate and microseconds is exact.
#[derive(Debug, Clone)]
pub(crate) struct Bucket {
    balance: i128,
    rate: i64,
    refilled_at: Timestamp,
    burst: Duration,
}

impl Bucket {
    /// Creates a full bucket with a capacity of `rate` times `burst`.
    pub(crate) fn new(rate: i64, burst: Duration) -> Self {
        Self {
            balance: accrued(rate, burst),
            rate,
            refilled_at: Timestamp::ZERO,
            burst,
        }
    }

    /// Creates an empty bucket with a capacity of `rate` times `burst`.
    pub(crate) fn empty(now: Timestamp, rate: i64, burst: Duration) -> Self {
        Self {
            balance: 0,
            rate,
            refilled_at: now,
            burst,
        }
    }

    /// Returns the bucket with a new rate and capacity; the balance is capped at the capacity.
    pub(crate) fn resized(&self, now: Timestamp, rate: i64, burst: Duration) -> Self {
        let mut resized = self.clone();
        resized.refill(now);
        resized.rate = rate;
        resized.burst = burst;
        resized.balance = resized.balance.min(resized.capacity());
        resized
    }

    /// Sets the rate as of the last refill; the balance is capped at the new capacity.
    pub(crate) fn replace_rate(&mut self, rate: i64) {
        self.set_rate(self.refilled_at, rate);
    }

    /// Sets the rate as of `now`; the balance is capped at the new capacity.
    pub(crate) fn set_rate(&mut self, now: Timestamp, rate: i64) {
        self.refill(now);
        self.rate = rate;
        self.balance = self.balance.min(self.capacity());
    }

    /// Returns the delay until `cost` can be taken; zero if it can be taken now.
    ///
    /// A cost above the capacity can be taken from a full bucket, which leaves a negative
    /// balance. Returns `None` if the bucket never refills.
    pub(crate) fn wait(&mut self, now: Timestamp, cost: i64) -> Option<Duration> {
        self.refill(now);
        if self.rate <= 0 {
            return None;
        }
        let missing = scaled(cost).min(self.capacity()) - self.balance;
        let rate = i128::from(self.rate);
        let micros = (missing.max(0) + rate - 1) / rate;
        Some(Duration::from_micros(
            u64::try_from(micros).unwrap_or(u64::MAX),
        ))
    }

    /// Returns the time in which `cost` is refilled.
    pub(crate) fn time_for(&self, cost: i64) -> Duration {
        match self.rate {
            ..=0 => Duration::MAX,
            rate => Duration::from_secs_f64(cost.max(0) as f64 / rate as f64),
        }
    }

    /// Takes `cost`; a negative cost is refunded.
    pub(crate) fn take(&mut self, now: Timestamp, cost: i64) {
        self.refill(now);
        self.balance = (self.balance - scaled(cost)).min(self.capacity());
    }

    fn capacity(&self) -> i128 {
        accrued(self.rate, self.burst)
    }

    fn refill(&mut self, now: Timestamp) {
        let accrued = accrued(self.rate, now.since(self.refilled_at));
        self.balance = (self.balance + accrued).min(self.capacity());
        self.refilled_at = self.refilled_at.max(now);
    }
}

fn accrued(rate: i64, time: Duration) -> i128 {
    i128::from(rate) * time.as_micros() as i128
}

fn scaled(cost: i64) -> i128 {
    i128::from(cost) * i128::from(MICRO)
}
