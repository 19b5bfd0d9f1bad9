//! The rate at which callers ask a service for work.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::gossip::ServiceDemand;
use crate::ids::{DaemonId, ServiceName};
use crate::units::Timestamp;

/// Time constant of the average: short against a boot, long against a clump of calls.
const AVERAGE_TIME: Duration = Duration::from_secs(3);
/// Time for which the highest average is held, so that a wave's trough keeps its crest's
/// endpoints.
const HOLD_TIME: Duration = Duration::from_secs(25);

/// Time after the first call until the average says anything.
const LEARNING_TIME: Duration = Duration::from_secs(8);

/// Adds up the counters of all daemons and follows their rate.
#[derive(Debug, Clone, Default)]
pub(super) struct Meter {
    known: BTreeMap<DaemonId, u64>,
    average: f64,
    measured_at: Option<Timestamp>,
    first_call_at: Option<Timestamp>,
    crests: Vec<(Timestamp, f64)>,
}

impl Meter {
    /// Takes in the counters; those of a daemon that is met count from then on.
    pub(super) fn on_demand(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        demand: &[(DaemonId, Vec<ServiceDemand>)],
    ) {
        let mut more = 0;
        for (daemon, services) in demand {
            let Some(count) = services.iter().find(|count| count.service == *service) else {
                self.known.entry(daemon.clone()).or_default();
                continue;
            };
            let before = self.known.insert(daemon.clone(), count.prefill_ms);
            more += count
                .prefill_ms
                .saturating_sub(before.unwrap_or(count.prefill_ms));
        }
        if more > 0 {
            self.first_call_at.get_or_insert(now);
        }
        let Some(before) = self.measured_at.replace(now) else {
            return;
        };
        let span = now.since(before).as_secs_f64();
        if span <= 0.0 {
            return;
        }
        let rate = more as f64 / 1_000.0 / span;
        let weight = 1.0 - (-span / AVERAGE_TIME.as_secs_f64()).exp();
        self.average += (rate - self.average) * weight;
        self.crests
            .retain(|(at, crest)| now.since(*at) < HOLD_TIME && *crest > self.average);
        self.crests.push((now, self.average));
    }

    /// Tells whether there were any calls.
    pub(super) fn has_calls(&self) -> bool {
        self.first_call_at.is_some()
    }

    /// Returns the highest rate of late, in seconds of reading a second: the number of
    /// engines that would read all the time. `None` if there were calls for too short a
    /// time.
    pub(super) fn rate(&self, now: Timestamp) -> Option<f64> {
        let first = self.first_call_at?;
        let held = self
            .crests
            .iter()
            .filter(|(at, _)| now.since(*at) < HOLD_TIME);
        let highest = held.map(|(_, crest)| *crest).fold(0.0, f64::max);
        (now.since(first) > LEARNING_TIME).then_some(highest)
    }
}
