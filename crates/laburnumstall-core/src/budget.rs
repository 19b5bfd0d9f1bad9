//! A daemon's share of the key-value service's rates, and what gives way first.
//!
//! Reads (a waiting watch counts as one) and writes have a token bucket each. A call is
//! admitted while the bucket holds more than the part reserved for purposes that matter
//! more: claims may empty it, placement gives way first.

mod calls;
mod delayed;

use std::collections::BTreeMap;
use std::time::Duration;

pub use calls::{Admission, CallCount, CallKind, CallRates, Operation, Purpose};
pub use delayed::{DelayedCall, DelayedCalls};

use crate::units::{RequestRate, Timestamp};

/// Time whose worth of calls a bucket holds.
const BURST: Duration = Duration::from_secs(2);

/// Fewest calls that a full bucket holds.
const MIN_BURST_CALLS: u64 = 4;

/// Millionths of a call.
const MICRO: u64 = 1_000_000;

/// A token bucket, counted in millionths of a call.
#[derive(Debug, Clone)]
struct Bucket {
    rate: RequestRate,
    size: u64,
    level: u64,
    refilled: Timestamp,
}

impl Bucket {
    fn new(rate: RequestRate) -> Self {
        let calls = rate.get() * BURST.as_secs();
        let size = calls.max(MIN_BURST_CALLS) * MICRO;
        Self {
            rate,
            size,
            level: size,
            refilled: Timestamp::ZERO,
        }
    }

    fn refill(&mut self, now: Timestamp) {
        let gained = now.since(self.refilled).as_micros() as u64;
        let gained = gained.saturating_mul(self.rate.get());
        self.level = self.level.saturating_add(gained).min(self.size);
        self.refilled = self.refilled.max(now);
    }

    /// Takes one call, or returns the time until one can be taken.
    fn take(&mut self, now: Timestamp, purpose: Purpose) -> Admission {
        self.refill(now);
        let needed = self.size / 4 * purpose.reserved_quarters() + MICRO;
        if self.level >= needed {
            self.level -= MICRO;
            return Admission::Now;
        }
        let missing = needed - self.level;
        Admission::Wait(Duration::from_micros(
            missing.div_ceil(self.rate.get().max(1)),
        ))
    }
}

/// Counts the calls to the key-value service and keeps them under a rate.
#[derive(Debug, Clone)]
pub struct CallBudget {
    reads: Bucket,
    writes: Bucket,
    counts: BTreeMap<CallKind, CallCount>,
}

impl CallBudget {
    /// Starts with full buckets.
    pub fn new(rates: CallRates) -> Self {
        Self {
            reads: Bucket::new(rates.reads),
            writes: Bucket::new(rates.writes),
            counts: BTreeMap::new(),
        }
    }

    /// Tells whether a call can be made now; if so, it is counted as made.
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

    /// Returns the calls so far, by kind.
    pub fn counts(&self) -> impl Iterator<Item = &CallCount> {
        self.counts.values()
    }
}
