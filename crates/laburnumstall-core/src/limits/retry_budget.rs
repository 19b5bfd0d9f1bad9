//! A budget that limits retries and hedges to a fraction of the requests.

use std::time::Duration;

use super::bucket::Bucket;
use crate::units::Timestamp;

/// Millionths of a retry that a request deposits: one retry per five requests.
const DEPOSIT: i64 = 200_000;
/// Cost of one retry, in millionths.
const RETRY: i64 = 1_000_000;
/// Maximum balance, in millionths of a retry.
const MAX_BALANCE: i64 = 100 * RETRY;
/// Retries per second allowed regardless of load, in millionths.
const MIN_RETRY_RATE: i64 = RETRY;
/// Time for which the minimum rate accumulates.
const MIN_RETRY_BURST: Duration = Duration::from_secs(10);

/// A token-bucket budget modelled on Finagle's `RetryBudget`: a request deposits a fraction
/// of a retry, a retry withdraws a whole one, and a minimum rate is allowed regardless of
/// load.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance: i64,
    min_rate: Bucket,
}

impl RetryBudget {
    /// Creates a budget that allows only the minimum rate.
    pub fn new() -> Self {
        Self {
            balance: 0,
            min_rate: Bucket::new(MIN_RETRY_RATE, MIN_RETRY_BURST),
        }
    }

    /// Deposits the fraction of a retry that one request earns.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT).min(MAX_BALANCE);
    }

    /// Withdraws one retry or hedge; returns whether the budget allows it.
    pub fn try_withdraw(&mut self, now: Timestamp) -> bool {
        if self.balance >= RETRY {
            self.balance -= RETRY;
            return true;
        }
        let is_allowed = self.min_rate.wait(now, RETRY) == Some(Duration::ZERO);
        if is_allowed {
            self.min_rate.take(now, RETRY);
        }
        is_allowed
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
