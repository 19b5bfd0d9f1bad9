//! Weights of the owners of shared prefixes.

use std::time::Duration;

use crate::units::Timestamp;

/// Age after which sums are no longer used.
pub(in crate::gateway) const MAX_SUM_AGE: Duration = Duration::from_secs(30);
/// Factor between two steps of a weight, and between times that count as equal.
const STEP: f64 = 1.25;
/// Steps beyond which an estimate leaves the step in force.
const HYSTERESIS: f64 = 0.75;
/// Highest and lowest step.
const MAX_STEP: f64 = 6.0;
/// Difference of the estimates from which on owners get weights; they keep them down to [`STEP`].
/// Queues of popular prefixes let even endpoints seem to differ by more than a quarter at high load.
const DIFFERENCE: f64 = 1.5;
/// Part of the endpoints at each end that is left out of the comparison of all: queues of popular
/// prefixes bias the estimates of a few.
const TAIL: f64 = 0.15;
/// Difference of the slowest and the fastest endpoint from which on it counts nevertheless.
const OUTLIER: f64 = 6.0;
/// Time for which an estimate must differ before a weight changes.
const HOLD: Duration = Duration::from_secs(3);
/// Calls from which on an estimate counts.
const MIN_CALLS: f64 = 4.0;
/// Standard deviation of a measured time relative to the expected one.
const DEVIATION: f64 = 0.7;

/// Weight of one endpoint, in steps of time relative to its service's.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::gateway) struct OwnerWeight {
    step: i8,
    differs_since: Option<Timestamp>,
    counted_at: Timestamp,
}

impl OwnerWeight {
    /// Follows the estimate, the endpoint's time relative to the service's typical one, known from
    /// `calls`; returns whether the weight changed.
    pub(in crate::gateway) fn update(&mut self, now: Timestamp, speed: f64, calls: f64) -> bool {
        let mut target = (speed.ln() / STEP.ln()).clamp(-MAX_STEP, MAX_STEP);
        if calls >= MIN_CALLS {
            self.counted_at = now;
        } else if now.since(self.counted_at) < MAX_SUM_AGE {
            self.differs_since = None;
            return false;
        } else {
            target = 0.0;
        }
        if (target - f64::from(self.step)).abs() <= HYSTERESIS {
            self.differs_since = None;
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        if now.since(since) < HOLD {
            return false;
        }
        self.differs_since = None;
        self.step = target.round() as i8;
        true
    }

    /// Returns the time that the weight stands for, the inverse of the weight.
    pub(in crate::gateway) fn time(&self) -> f64 {
        STEP.powi(self.step.into())
    }
}

/// Whether the owners of a service have weights.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::gateway) struct Weighting {
    is_weighted: bool,
    differs_since: Option<Timestamp>,
}

impl Weighting {
    /// Follows the estimates, each with the calls behind it; returns whether it changed.
    pub(in crate::gateway) fn update(
        &mut self,
        now: Timestamp,
        estimates: impl Iterator<Item = (f64, f64)>,
    ) -> bool {
        let mut estimates: Vec<(f64, f64)> =
            estimates.filter(|(_, calls)| *calls >= MIN_CALLS).collect();
        estimates.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        let last = estimates.len().saturating_sub(1);
        let ends = |tail: f64| {
            let index = (last as f64 * tail).round() as usize;
            estimates.get(index).zip(estimates.get(last - index))
        };
        let tails = ends(TAIL).map_or(1.0, |((low, _), (high, _))| high / low);
        let extremes = ends(0.0).map_or(1.0, |((lowest, few), (highest, many))| {
            let error = |calls: &f64| DEVIATION / calls.sqrt();
            highest * (1.0 - error(many)) / (lowest * (1.0 + error(few)))
        });
        let least = if self.is_weighted { STEP } else { DIFFERENCE };
        let differs = tails > least || extremes > OUTLIER;
        if differs == self.is_weighted {
            self.differs_since = None;
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        if now.since(since) < HOLD {
            return false;
        }
        self.differs_since = None;
        self.is_weighted = !self.is_weighted;
        true
    }

    /// Returns whether endpoints differ by more than a quarter.
    pub(in crate::gateway) fn is_weighted(&self) -> bool {
        self.is_weighted
    }
}
