//! Rate at which callers request work from a service.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::gossip::ServiceDemand;
use crate::ids::{DaemonId, ServiceName};
use crate::units::Timestamp;

/// Time constant of the average: short compared to a boot, long compared to a burst of calls.
const AVERAGE_TIME: Duration = Duration::from_secs(3);
/// Time for which the highest average is held, so that the endpoints for a wave's peak are
/// kept through its trough.
const PEAK_HOLD_TIME: Duration = Duration::from_secs(25);

/// Time after the first call until the average is meaningful.
const WARMUP_TIME: Duration = Duration::from_secs(8);

/// Sums the counters of all daemons and tracks their rate.
#[derive(Debug, Clone, Default)]
pub(super) struct DemandMeter {
    counters: BTreeMap<DaemonId, u64>,
    average: f64,
    measured_at: Option<Timestamp>,
    first_call_at: Option<Timestamp>,
    peaks: Vec<(Timestamp, f64)>,
}

impl DemandMeter {
    /// Updates the rate from the counters; the counters of a new daemon count from their first
    /// value.
    pub(super) fn update(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        demand: &[(DaemonId, Vec<ServiceDemand>)],
    ) {
        let mut added = 0;
        for (daemon, services) in demand {
            let Some(counter) = services.iter().find(|counter| counter.service == *service) else {
                self.counters.entry(daemon.clone()).or_default();
                continue;
            };
            let before = self.counters.insert(daemon.clone(), counter.prefill_ms);
            added += counter
                .prefill_ms
                .saturating_sub(before.unwrap_or(counter.prefill_ms));
        }
        if added > 0 {
            self.first_call_at.get_or_insert(now);
        }
        let Some(before) = self.measured_at.replace(now) else {
            return;
        };
        let span = now.since(before).as_secs_f64();
        if span <= 0.0 {
            return;
        }
        let rate = added as f64 / 1_000.0 / span;
        let weight = 1.0 - (-span / AVERAGE_TIME.as_secs_f64()).exp();
        self.average += (rate - self.average) * weight;
        self.peaks
            .retain(|(at, peak)| now.since(*at) < PEAK_HOLD_TIME && *peak > self.average);
        self.peaks.push((now, self.average));
    }

    /// Returns whether there were any calls.
    pub(super) fn has_calls(&self) -> bool {
        self.first_call_at.is_some()
    }

    /// Returns the highest recent rate in seconds of prefill per second, which is the number
    /// of engines that would be busy with prefill all the time. `None` before the first call
    /// and during the warm-up after it.
    pub(super) fn rate(&self, now: Timestamp) -> Option<f64> {
        let first = self.first_call_at?;
        let held = self
            .peaks
            .iter()
            .filter(|(at, _)| now.since(*at) < PEAK_HOLD_TIME);
        let highest = held.map(|(_, peak)| *peak).fold(0.0, f64::max);
        (now.since(first) > WARMUP_TIME).then_some(highest)
    }
}
