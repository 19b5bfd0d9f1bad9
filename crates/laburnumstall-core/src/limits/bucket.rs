//! A token bucket in millionths of a unit, so that refilling is exact.

use std::time::Duration;

use crate::units::Timestamp;

/// Millionths in a unit, and microseconds in a second.
pub(super) const MICRO: i64 = 1_000_000;

/// A token bucket whose rate can change and whose balance can be negative.
#[derive(Debug, Clone)]
pub(super) struct Bucket {
    balance: i64,
    /// Units a second, in millionths.
    rate: i64,
    filled_at: Timestamp,
    burst: Duration,
}

impl Bucket {
    /// Creates a full bucket that holds what `rate` gives in `burst`.
    pub(super) fn new(now: Timestamp, rate: i64, burst: Duration) -> Self {
        let mut bucket = Self {
            balance: 0,
            rate,
            filled_at: now,
            burst,
        };
        bucket.balance = bucket.capacity();
        bucket
    }

    /// Changes the rate from `now` on; the balance is cut to the new capacity.
    pub(super) fn set_rate(&mut self, now: Timestamp, rate: i64) {
        self.fill(now);
        self.rate = rate;
        self.balance = self.balance.min(self.capacity());
    }

    /// Tells how long it takes until `cost` can be taken; zero if it can be taken now.
    ///
    /// A cost above the capacity can be taken from a full bucket, which leaves a debt.
    /// Returns `None` if the bucket is never filled.
    pub(super) fn wait(&mut self, now: Timestamp, cost: i64) -> Option<Duration> {
        self.fill(now);
        let missing = cost.min(self.capacity()) - self.balance;
        if missing <= 0 && self.rate > 0 {
            return Some(Duration::ZERO);
        }
        if self.rate <= 0 {
            return None;
        }
        let micros = (i128::from(missing) * i128::from(MICRO)).div_ceil_positive(self.rate);
        Some(Duration::from_micros(micros))
    }

    /// Takes `cost`; a negative cost gives back.
    pub(super) fn take(&mut self, now: Timestamp, cost: i64) {
        self.fill(now);
        self.balance = self.balance.saturating_sub(cost).min(self.capacity());
    }

    fn capacity(&self) -> i64 {
        scale(self.rate, self.burst)
    }

    fn fill(&mut self, now: Timestamp) {
        let gained = scale(self.rate, now.since(self.filled_at));
        self.balance = self.balance.saturating_add(gained).min(self.capacity());
        self.filled_at = self.filled_at.max(now);
    }
}

trait DivCeilPositive {
    fn div_ceil_positive(self, divisor: i64) -> u64;
}

impl DivCeilPositive for i128 {
    fn div_ceil_positive(self, divisor: i64) -> u64 {
        let divisor = i128::from(divisor);
        u64::try_from((self + divisor - 1) / divisor).unwrap_or(u64::MAX)
    }
}

/// Returns what a rate gives in a time.
pub(super) fn scale(rate: i64, time: Duration) -> i64 {
    let gained = i128::from(rate) * time.as_micros() as i128 / i128::from(MICRO);
    i64::try_from(gained).unwrap_or(i64::MAX)
}
