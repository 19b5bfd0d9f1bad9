//! Capacity of endpoints relative to a typical one, from their measured speeds.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Capacity;
use super::version_scope::VersionScope;
use crate::gateway::endpoint_table::{EndpointEntry, EndpointProcess, EndpointTable};
use crate::gateway::rules::ScalingRule;
use crate::ids::{AvailabilityZone, EndpointId, ServiceName};
use crate::units::Timestamp;

/// Step in which a capacity is counted.
const STEP: f64 = 0.25;
/// Difference from the counted capacity above which another step may apply: more than half a
/// step, so that a speed between two steps does not alternate.
const CHANGE: f64 = 0.15;
/// Time for which a speed must differ until its capacity is counted: longer than a disturbance of
/// an endpoint and a burst of calls.
const HOLD_TIME: Duration = Duration::from_secs(5);
/// Smallest and largest capacity that is counted.
const RANGE: [f64; 2] = [STEP, 4.0];

/// Part of an endpoint that is an error of the sums.
const ROUNDING: f64 = 1e-6;

/// Capacity of one process as it is counted.
#[derive(Debug, Clone)]
struct CountedCapacity {
    capacity: f64,
    /// Start of the time in which the measured capacity differed.
    differs_since: Option<Timestamp>,
}

/// Counted capacities of the processes whose speed is known.
#[derive(Debug, Clone, Default)]
pub(super) struct CapacityTable {
    processes: BTreeMap<EndpointProcess, CountedCapacity>,
}

/// Endpoints of one kind in one zone.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PoolCapacity {
    /// Number of endpoints.
    pub(super) count: u32,
    /// What they carry, in typical endpoints.
    pub(super) capacity: f64,
}

/// Endpoints of a service that take new work, by zone and kind.
#[derive(Debug, Clone, Default)]
pub(super) struct FleetCapacity {
    zones: BTreeMap<AvailabilityZone, [PoolCapacity; 2]>,
}

impl CapacityTable {
    /// Counts the endpoints of a service that take new work and are in `scope`; `speed` is the time
    /// that an endpoint takes relative to the typical one, 1 if unknown.
    pub(super) fn count(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        rule: &ScalingRule,
        endpoints: &EndpointTable,
        scope: &VersionScope,
        speed: impl Fn(&EndpointId) -> f64,
    ) -> FleetCapacity {
        let zones = rule.zone_prices.keys();
        let mut fleet = FleetCapacity {
            zones: zones
                .map(|zone| (zone.clone(), Default::default()))
                .collect(),
        };
        let is_counted = |listed: &&EndpointEntry| {
            let record = &listed.record;
            record.service == *service && !listed.is_leaving() && scope.contains(record)
        };
        let listed: Vec<_> = endpoints.iter().filter(is_counted).collect();
        let mut known = BTreeMap::new();
        for listed in &listed {
            let speed = speed(&listed.record.id);
            // The speed of a process without measured calls is exactly 1.
            if speed != 1.0 && speed.is_finite() && speed > 0.0 {
                let process = listed.record.process();
                let counted = self.processes.remove(&process);
                let counted = CountedCapacity::update(counted, now, 1.0 / speed);
                known.insert(process, counted);
            }
        }
        self.processes = known;
        // A process that was not measured yet is expected to be like the others.
        let typical = self.mean();
        for listed in listed {
            let record = &listed.record;
            let counted = self.processes.get(&record.process());
            let pools = fleet.zones.entry(record.zone.clone()).or_default();
            let pool = &mut pools[usize::from(record.is_spot)];
            pool.count += 1;
            pool.capacity += counted.map_or(typical, |counted| counted.capacity);
        }
        fleet
    }

    fn mean(&self) -> f64 {
        let sum: f64 = self.processes.values().map(|known| known.capacity).sum();
        match self.processes.len() {
            0 => 1.0,
            count => sum / count as f64,
        }
    }
}

impl CountedCapacity {
    fn update(known: Option<Self>, now: Timestamp, measured: f64) -> Self {
        let capacity = ((measured / STEP).round() * STEP).clamp(RANGE[0], RANGE[1]);
        let Some(mut known) = known else {
            return Self {
                capacity,
                differs_since: None,
            };
        };
        if (measured - known.capacity).abs() < CHANGE || capacity == known.capacity {
            return Self {
                differs_since: None,
                ..known
            };
        }
        let since = *known.differs_since.get_or_insert(now);
        match now.since(since) >= HOLD_TIME {
            true => Self {
                capacity,
                differs_since: None,
            },
            false => Self {
                differs_since: Some(since),
                ..known
            },
        }
    }
}

impl PoolCapacity {
    /// Returns the number of endpoints that carry as much as `want` typical ones, if an added or
    /// released one carries `unit`: rounded up, so that a part of an endpoint is not released.
    pub(super) fn endpoints_for(self, want: u32, unit: f64) -> u32 {
        let missing = ((f64::from(want) - self.capacity) / unit - ROUNDING).ceil();
        (f64::from(self.count) + missing).max(0.0) as u32
    }

    fn plus(self, other: Self) -> Self {
        Self {
            count: self.count + other.count,
            capacity: self.capacity + other.capacity,
        }
    }
}

impl FleetCapacity {
    /// Returns the endpoints of a kind in a zone.
    pub(super) fn pool(&self, zone: &AvailabilityZone, is_spot: bool) -> PoolCapacity {
        let pools = self.zones.get(zone);
        pools.map_or_else(PoolCapacity::default, |pools| pools[usize::from(is_spot)])
    }

    /// Returns the endpoints of a kind in all zones.
    pub(super) fn total_of(&self, is_spot: bool) -> PoolCapacity {
        let pools = self.zones.values().map(|pools| pools[usize::from(is_spot)]);
        pools.fold(PoolCapacity::default(), PoolCapacity::plus)
    }

    /// Returns all endpoints.
    pub(super) fn total(&self) -> PoolCapacity {
        self.total_of(false).plus(self.total_of(true))
    }

    /// Returns the mean capacity of an endpoint; 1 if there is none.
    pub(super) fn unit(&self) -> f64 {
        let total = self.total();
        match total.count {
            0 => 1.0,
            count => total.capacity / f64::from(count),
        }
    }

    /// Converts the typical endpoints that a zone is to have to numbers of endpoints within the
    /// rule's limits.
    pub(super) fn endpoints_for(
        &self,
        zone: &AvailabilityZone,
        want: Capacity,
        rule: &ScalingRule,
    ) -> Capacity {
        let unit = self.unit();
        let on_demand = self.pool(zone, false).endpoints_for(want.on_demand, unit);
        let on_demand = on_demand.min(rule.max);
        let spot = self.pool(zone, true).endpoints_for(want.spot, unit);
        let mut count = Capacity {
            on_demand,
            spot: spot.min(rule.max - on_demand),
        };
        let missing = rule.min.saturating_sub(count.on_demand + count.spot);
        match want.spot >= want.on_demand {
            true => count.spot += missing,
            false => count.on_demand += missing,
        }
        count
    }
}
