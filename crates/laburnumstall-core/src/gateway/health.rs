//! Endpoint health, judged by the results of this daemon's calls.
//!
//! An unreachable endpoint is skipped with exponential backoff. One that responds but fails
//! some of its calls stays in use at a higher cost, since other endpoints may be no better and
//! the endpoint's own health check may be wrong.

use std::time::Duration;

use crate::domain_value;
use crate::units::Timestamp;

/// First backoff of an unreachable endpoint.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
/// Longest backoff; a restart takes a few seconds.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// Weight of the newest outcome in the moving failure rate.
const NEWEST_WEIGHT: f64 = 0.2;
/// Half-life of the failure rate without new outcomes.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Cost of a call that is certain to fail, expressed as time to the first token.
const FAILURE_COST: Duration = Duration::from_millis(1_500);

domain_value! {
    /// Outcome of a call to an endpoint.
    pub enum CallOutcome {
        /// The endpoint responded correctly.
        Good,
        /// The response was wrong, incomplete or an error.
        Bad,
        /// The endpoint could not be reached or stopped responding.
        Unreachable,
    }
}

/// Health of one endpoint.
#[derive(Debug, Clone, Default)]
pub(super) struct Health {
    unreachable_count: u32,
    backoff_until: Timestamp,
    failure_rate: f64,
    updated_at: Timestamp,
}

impl Health {
    /// Records a call's outcome; returns whether the endpoint enters backoff.
    pub(super) fn on_outcome(&mut self, now: Timestamp, outcome: CallOutcome) -> bool {
        let failed = if outcome == CallOutcome::Good {
            0.0
        } else {
            1.0
        };
        self.failure_rate = self.rate(now) * (1.0 - NEWEST_WEIGHT) + failed * NEWEST_WEIGHT;
        self.updated_at = now;
        if outcome != CallOutcome::Unreachable {
            self.unreachable_count = 0;
            return false;
        }
        if now < self.backoff_until {
            return false;
        }
        let backoff = INITIAL_BACKOFF * 2_u32.pow(self.unreachable_count.min(8));
        self.unreachable_count += 1;
        self.backoff_until = now.after(backoff.min(MAX_BACKOFF));
        true
    }

    /// Ends the backoff of an endpoint that responds again.
    pub(super) fn end_backoff(&mut self, now: Timestamp) {
        self.on_outcome(now, CallOutcome::Good);
        self.backoff_until = now;
    }

    /// Returns whether the endpoint is in backoff.
    pub(super) fn is_in_backoff(&self, now: Timestamp) -> bool {
        now < self.backoff_until
    }

    /// Returns the cost of the endpoint's failure rate, expressed as time to the first token.
    pub(super) fn cost(&self, now: Timestamp) -> Duration {
        FAILURE_COST.mul_f64(self.rate(now))
    }

    fn rate(&self, now: Timestamp) -> f64 {
        let half_lives = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(half_lives)
    }
}
