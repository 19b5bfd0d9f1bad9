//! Whether an endpoint is worth sending to, judged by how it answers this daemon.
//!
//! An endpoint that cannot be reached is left alone for a time that doubles. One that
//! answers but fails part of its calls stays in use at a price, since the others may be no
//! better and its own health check may say anything.

use std::time::Duration;

use crate::domain_value;
use crate::units::Timestamp;

/// First time for which an unreachable endpoint is left alone.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Longest time for which it is left alone: restarts take some seconds.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);
/// Weight of the newest outcome in the moving rate of failures.
const NEWEST_WEIGHT: f64 = 0.2;
/// Time in which half of the rate is forgotten without new outcomes.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Price of a call that surely fails, as time to the first token.
const FAILURE_COST: Duration = Duration::from_millis(1_500);

domain_value! {
    /// How a call to an endpoint went.
    pub enum CallOutcome {
        /// It gave what it should.
        Good,
        /// It answered, but wrongly, incompletely or with a failure.
        Bad,
        /// It could not be reached, or fell silent.
        Unreachable,
    }
}

/// What one daemon's calls tell of an endpoint.
#[derive(Debug, Clone, Default)]
pub(super) struct Health {
    unreachable: u32,
    paused_until: Timestamp,
    failure_rate: f64,
    judged_at: Timestamp,
}

impl Health {
    /// Takes in how a call went; returns whether the endpoint is left alone from now on.
    pub(super) fn on_outcome(&mut self, now: Timestamp, outcome: CallOutcome) -> bool {
        let failed = if outcome == CallOutcome::Good {
            0.0
        } else {
            1.0
        };
        self.failure_rate = self.rate(now) * (1.0 - NEWEST_WEIGHT) + failed * NEWEST_WEIGHT;
        self.judged_at = now;
        if outcome != CallOutcome::Unreachable {
            self.unreachable = 0;
            return false;
        }
        if now < self.paused_until {
            return false;
        }
        let pause = FIRST_PAUSE * 2_u32.pow(self.unreachable.min(8));
        self.unreachable += 1;
        self.paused_until = now.after(pause.min(LONGEST_PAUSE));
        true
    }

    /// Tells whether the endpoint is left alone.
    pub(super) fn is_paused(&self, now: Timestamp) -> bool {
        now < self.paused_until
    }

    /// Returns what its failures cost, as time to the first token.
    pub(super) fn cost(&self, now: Timestamp) -> Duration {
        FAILURE_COST.mul_f64(self.rate(now))
    }

    fn rate(&self, now: Timestamp) -> f64 {
        let halves = now.since(self.judged_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(halves)
    }
}
