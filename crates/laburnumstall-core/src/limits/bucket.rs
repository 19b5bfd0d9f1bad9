//! A token bucket that fills without rounding.

use std::time::Duration;

use crate::units::Timestamp;

/// Millionths in a unit, and microseconds in a second.
pub(crate) const MICRO: i64 = 1_000_000;

/// A token bucket whose rate can change and whose balance can be negative.
///
/// Rates and costs are in millionths of a unit; the balance is in millionths of those, so
/// that a rate times microseconds is exact.
#[derive(Debug, Clone)]
pub(crate) struct Bucket {
    balance: i128,
    rate: i64,
    filled_at: Timestamp,
    burst: Duration,
}

impl Bucket {
    /// Creates a full bucket that holds what `rate` gives in `burst`.
    pub(crate) fn new(rate: i64, burst: Duration) -> Self {
        Self {
            balance: gain(rate, burst),
            rate,
            filled_at: Timestamp::ZERO,
            burst,
        }
    }

    /// Creates an empty bucket that can hold what `rate` gives in `burst`.
    pub(crate) fn empty(now: Timestamp, rate: i64, burst: Duration) -> Self {
        Self {
            balance: 0,
            rate,
            filled_at: now,
            burst,
        }
    }

    /// Returns the bucket with another rate and capacity; its balance stays, within them.
    pub(crate) fn resized(&self, now: Timestamp, rate: i64, burst: Duration) -> Self {
        let mut resized = self.clone();
        resized.fill(now);
        resized.rate = rate;
        resized.burst = burst;
        resized.balance = resized.balance.min(resized.capacity());
        resized
    }

    /// Changes the rate from the last use on; the balance is cut to the new capacity.
    pub(crate) fn replace_rate(&mut self, rate: i64) {
        self.set_rate(self.filled_at, rate);
    }

    /// Changes the rate from `now` on; the balance is cut to the new capacity.
    pub(crate) fn set_rate(&mut self, now: Timestamp, rate: i64) {
        self.fill(now);
        self.rate = rate;
        self.balance = self.balance.min(self.capacity());
    }

    /// Tells how long it takes until `cost` can be taken; zero if it can be taken now.
    ///
    /// A cost above the capacity can be taken from a full bucket, which leaves a debt.
    /// Returns `None` if the bucket is never filled.
    pub(crate) fn wait(&mut self, now: Timestamp, cost: i64) -> Option<Duration> {
        self.fill(now);
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

    /// Returns the time in which `cost` is filled.
    pub(crate) fn time_for(&self, cost: i64) -> Duration {
        match self.rate {
            ..=0 => Duration::MAX,
            rate => Duration::from_secs_f64(cost.max(0) as f64 / rate as f64),
        }
    }

    /// Takes `cost`; a negative cost gives back.
    pub(crate) fn take(&mut self, now: Timestamp, cost: i64) {
        self.fill(now);
        self.balance = (self.balance - scaled(cost)).min(self.capacity());
    }

    fn capacity(&self) -> i128 {
        gain(self.rate, self.burst)
    }

    fn fill(&mut self, now: Timestamp) {
        let gained = gain(self.rate, now.since(self.filled_at));
        self.balance = (self.balance + gained).min(self.capacity());
        self.filled_at = self.filled_at.max(now);
    }
}

fn gain(rate: i64, time: Duration) -> i128 {
    i128::from(rate) * time.as_micros() as i128
}

fn scaled(cost: i64) -> i128 {
    i128::from(cost) * i128::from(MICRO)
}
