//! Number of engines whose batches the running calls fill.

use std::time::Duration;

use crate::gateway::rules::BackendRule;
use crate::units::Timestamp;

/// Time constant of the average.
const AVERAGE_TIME: Duration = Duration::from_secs(3);
/// Time for which the highest average is held, as for the load of prefill.
const PEAK_HOLD_TIME: Duration = Duration::from_secs(25);

/// Tracks the calls that run at the endpoints of a service.
#[derive(Debug, Clone, Default)]
pub(super) struct SlotMeter {
    average: f64,
    measured_at: Option<Timestamp>,
    peaks: Vec<(Timestamp, f64)>,
}

impl SlotMeter {
    /// Updates the average with the calls that run or wait now. Of those that wait for a slot only
    /// as many count as there are slots, so that a queue does not add to the load without bound.
    pub(super) fn update(&mut self, now: Timestamp, calls: u64, slots: u64) {
        let before = self.measured_at.replace(now);
        let span = before.map_or(Duration::ZERO, |before| now.since(before));
        let weight = 1.0 - (-span.as_secs_f64() / AVERAGE_TIME.as_secs_f64()).exp();
        self.average += (calls.min(slots) as f64 - self.average) * weight;
        self.peaks
            .retain(|(at, peak)| now.since(*at) < PEAK_HOLD_TIME && *peak > self.average);
        self.peaks.push((now, self.average));
    }

    /// Returns the highest recent number of engines that the calls fill.
    pub(super) fn full_engines(&self, backend: &BackendRule) -> f64 {
        let highest = self.peaks.iter().map(|(_, calls)| *calls);
        highest.fold(0.0, f64::max) / f64::from(backend.batch)
    }
}
