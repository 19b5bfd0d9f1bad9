//! Rate limits of a daemon's calls to the key-value service, with priorities.
//!
//! Reads (a pending watch counts as one) and writes have a token bucket each. A call is
//! admitted while the bucket holds more than the share reserved for purposes of higher
//! priority: claims may drain the bucket, and placement is delayed first.

mod calls;
mod delayed;

use std::collections::BTreeMap;
use std::time::Duration;

pub use calls::{Admission, CallCount, CallKind, CallRates, Operation, Purpose};
pub use delayed::{DelayedCall, DelayedCalls};

use crate::units::{RequestRate, Timestamp};

/// Capacity of a bucket, as a duration of calls at the full rate.
const BURST_DURATION: Duration = Duration::from_secs(2);

/// Minimum capacity of a bucket in calls.
const MIN_BURST_CALLS: u64 = 4;

/// Bucket units per call.
const UNITS_PER_CALL: u64 = 1_000_000;

/// A token bucket that counts in millionths of a call.
#[derive(Debug, Clone)]
struct Bucket {
    rate: RequestRate,
    capacity: u64,
    level: u64,
    refilled_at: Timestamp,
}

impl Bucket {
    fn new(rate: RequestRate) -> Self {
        let calls = rate.get() * BURST_DURATION.as_secs();
        let capacity = calls.max(MIN_BURST_CALLS) * UNITS_PER_CALL;
        Self {
            rate,
            capacity,
            level: capacity,
            refilled_at: Timestamp::ZERO,
        }
    }

    fn refill(&mut self, now: Timestamp) {
        let gained = now.since(self.refilled_at).as_micros() as u64;
        let gained = gained.saturating_mul(self.rate.get());
        self.level = self.level.saturating_add(gained).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes the tokens of one call, or returns the time until they are available.
    fn take(&mut self, now: Timestamp, purpose: Purpose) -> Admission {
        self.refill(now);
        let required = self.capacity / 4 * purpose.reserved_quarters() + UNITS_PER_CALL;
        if self.level >= required {
            self.level -= UNITS_PER_CALL;
            return Admission::Now;
        }
        let missing = required - self.level;
        Admission::Wait(Duration::from_micros(
            missing.div_ceil(self.rate.get().max(1)),
        ))
    }
}

/// Limits the rate of calls to the key-value service, and counts them.
#[derive(Debug, Clone)]
pub struct CallBudget {
    reads: Bucket,
    writes: Bucket,
    counts: BTreeMap<CallKind, CallCount>,
}

impl CallBudget {
    /// Creates a budget with full buckets.
    pub fn new(rates: CallRates) -> Self {
        Self {
            reads: Bucket::new(rates.reads),
            writes: Bucket::new(rates.writes),
            counts: BTreeMap::new(),
        }
    }

    /// Admits a call, or returns the time to wait before asking again.
    pub fn admit(&mut self, now: Timestamp, kind: CallKind) -> Admission {
        let bucket = match kind.operation {
            Operation::Read | Operation::Watch => &mut self.reads,
            Operation::Write => &mut self.writes,
        };
        let admission = bucket.take(now, kind.purpose);
        let count = self.counts.entry(kind).or_insert(CallCount {
            kind,
            admitted: 0,
            delayed: 0,
        });
        match admission {
            Admission::Now => count.admitted += 1,
            Admission::Wait(_) => count.delayed += 1,
        }
        admission
    }

    /// Returns the number of calls so far, by kind.
    pub fn counts(&self) -> impl Iterator<Item = &CallCount> {
        self.counts.values()
    }
}
