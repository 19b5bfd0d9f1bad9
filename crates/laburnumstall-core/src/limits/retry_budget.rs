//! A budget that keeps retries and hedges to a fraction of the requests.

use std::time::Duration;

use super::bucket::Bucket;
use crate::units::Timestamp;

/// Millionths of a retry that a request deposits: one retry for five requests.
const DEPOSIT: i64 = 200_000;
/// Millionths of a retry.
const RETRY: i64 = 1_000_000;
/// Most retries that are saved up, in millionths.
const MAX_SAVED: i64 = 100 * RETRY;
/// Retries a second that are allowed at any load, in millionths.
const MIN_RETRY_RATE: i64 = RETRY;
/// Time that the floor is saved up.
const MIN_RETRY_BURST: Duration = Duration::from_secs(10);

/// A token-bucket budget as in Finagle's `RetryBudget`: requests deposit a fraction of a
/// retry, a retry withdraws a whole one, and a small rate is allowed at any load.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: i64,
    floor: Bucket,
}

impl RetryBudget {
    /// Creates a budget that allows the floor alone.
    pub fn new() -> Self {
        Self {
            saved: 0,
            floor: Bucket::new(MIN_RETRY_RATE, MIN_RETRY_BURST),
        }
    }

    /// Counts one request.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + DEPOSIT).min(MAX_SAVED);
    }

    /// Withdraws one retry or hedge; returns whether it may be made.
    pub fn try_withdraw(&mut self, now: Timestamp) -> bool {
        if self.saved >= RETRY {
            self.saved -= RETRY;
            return true;
        }
        let is_allowed = self.floor.wait(now, RETRY) == Some(Duration::ZERO);
        if is_allowed {
            self.floor.take(now, RETRY);
        }
        is_allowed
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
