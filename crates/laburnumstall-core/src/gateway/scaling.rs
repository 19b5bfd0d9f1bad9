//! Plans the number of endpoints of each kind in each zone.
//!
//! Load comes in waves and bursts, while reclaimable (spot) endpoints are lost zone by zone.
//! Reclaimable endpoints cost a fraction of on-demand ones, so the plan holds many of them in
//! addition to an on-demand base: the base alone carries the load at its limit while
//! replacements boot, and both together carry it with headroom. A zone without capacity is
//! skipped for a time, and the shortfall is ordered as on-demand endpoints meanwhile.
//!
//! The plan is made in typical endpoints: one that takes longer for the same work counts less.

mod capacity;
mod meter;
mod slots;
mod targets;
mod version_scope;

use std::collections::BTreeMap;
use std::time::Duration;

use super::endpoint_table::EndpointTable;
use super::gossip::ServiceDemand;
use super::rollout::RolloutScope;
use super::rules::{ScalingRule, ServiceRule};
use crate::decision::{Decision, DecisionKind, Journal};
use crate::ids::{AvailabilityZone, DaemonId, EndpointId, ServiceName};
use crate::units::Timestamp;
use crate::{domain, domain_value};

use capacity::{CapacityTable, FleetCapacity};
use meter::DemandMeter;
use slots::SlotMeter;
use targets::{Load, ZoneLimits, ZoneOffer, targets};
use version_scope::VersionScope;

/// Time in addition to the boot time after which an order that the endpoint table does not
/// reflect is repeated.
const REPEAT_AFTER: Duration = Duration::from_secs(3);
/// Time for which endpoints of a kind are not ordered in a zone that had no capacity for it.
const NO_CAPACITY_PAUSE: Duration = Duration::from_secs(3);
/// Time after which an order without a reply, or a refused one, is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(1_500);
/// Time for which fewer endpoints must suffice before some are released. The meter holds the
/// peak load for longer, so this only covers orders that fail at once.
const SHRINK_AFTER: Duration = Duration::from_secs(2);
/// Time for which a few endpoints less must suffice before they are released, if the service has an
/// engine: longer than the time between two peaks of a wave less the time for which a peak is held.
const SMALL_SHRINK_AFTER: Duration = Duration::from_secs(30);
/// Divisor of a number of endpoints: how many are few.
const FEW_DIVISOR: u32 = 5;
/// Time for which a shortage is assumed after a zone had no capacity: longer than the pause
/// between two attempts.
const SHORTAGE_TIME: Duration = Duration::from_secs(6);
/// Time after the loss of a zone in which others may be lost as well.
const RECLAIM_TIME: Duration = Duration::from_secs(10);
/// Time after the first plan in which the list of endpoints may be incomplete.
const LISTING_TIME: Duration = Duration::from_secs(3);

domain_value! {
    /// Outcome of an order.
    #[serde(rename_all = "kebab-case")]
    pub enum ScaleOutcome {
        /// The platform accepted it.
        Accepted,
        /// The zone has no capacity of the kind now.
        NoneAvailable,
        /// No reply was received; the order may still be executed.
        Unclear,
        /// The platform refused it.
        Refused,
    }
}

domain! {
    /// Order for a number of endpoints of one kind in one zone.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct ScaleOrder {
        /// Name of the service.
        pub service: ServiceName,
        /// Zone of the endpoints.
        pub zone: AvailabilityZone,
        /// Whether the endpoints are reclaimable.
        pub is_spot: bool,
        /// Desired number of endpoints.
        pub desired: u32,
    }

    /// Endpoints in one zone that take new work, by kind.
    #[derive(Copy, Eq)]
    pub struct Capacity {
        /// On-demand endpoints.
        #[serde(rename = "lasting")]
        pub on_demand: u32,
        /// Reclaimable endpoints.
        pub spot: u32,
    }
}

/// Endpoints of a service and the load that they are planned for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetUse {
    /// On-demand endpoints that take new work.
    pub on_demand: u32,
    /// Reclaimable endpoints that take new work.
    pub spot: u32,
    /// What all of them carry, in typical endpoints.
    pub capacity: f64,
    /// Typical endpoints that the load would keep busy all the time.
    pub load: f64,
}

/// Endpoints of one kind in one zone.
#[derive(Debug, Clone, Default)]
struct Pool {
    ordered: Option<u32>,
    ordered_at: Timestamp,
    /// Endpoints that were present at the last plan in which an order could be due.
    last_present: u32,
    /// Endpoints that were present at the last plan.
    last_listed: u32,
    blocked_until: Timestamp,
    is_in_flight: bool,
    needs_repeat: bool,
    /// Start of the time in which fewer endpoints would suffice.
    shrink_since: Option<Timestamp>,
}

#[derive(Debug, Clone, Default)]
struct ServiceState {
    meter: DemandMeter,
    slots: SlotMeter,
    capacities: CapacityTable,
    pools: BTreeMap<(AvailabilityZone, bool), Pool>,
    /// Largest number of on-demand endpoints seen; stands in for the load until one is
    /// measured.
    max_on_demand: u32,
    first_plan_at: Option<Timestamp>,
    /// What the last plan found.
    last_use: Option<FleetUse>,
    /// End of the time in which other zones may lose their reclaimable endpoints as well.
    shortage_until: Timestamp,
    scope: VersionScope,
}

/// Plans the endpoints of all services.
///
/// Every daemon tracks the load with [`Scaler::observe`], so that the next lease holder knows
/// it; only the lease holder calls [`Scaler::plan`].
#[derive(Debug, Clone, Default)]
pub struct Scaler {
    services: BTreeMap<ServiceName, ServiceState>,
}

impl Scaler {
    /// Updates the load of a service from the counters of all daemons, and from the calls that run
    /// or wait at its endpoints and the number of their slots.
    pub fn observe(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        demand: &[(DaemonId, Vec<ServiceDemand>)],
        (calls, slots): (u64, u64),
    ) {
        let state = self.services.entry(service.clone()).or_default();
        state.meter.update(now, service, demand);
        state.slots.update(now, calls, slots);
    }

    /// Sets which endpoints of a service count while its rollout is known.
    pub fn set_rollout(&mut self, service: &ServiceName, scope: Option<RolloutScope<'_>>) {
        let state = self.services.entry(service.clone()).or_default();
        state.scope = VersionScope::new(scope);
    }

    /// Returns the orders that are due for a service. `speed` is the time that an endpoint takes
    /// relative to the typical one, 1 if unknown.
    pub fn plan(
        &mut self,
        now: Timestamp,
        service: &ServiceRule,
        endpoints: &EndpointTable,
        speed: impl Fn(&EndpointId) -> f64,
        journal: &mut Journal,
    ) -> Vec<ScaleOrder> {
        let Some(rule) = &service.scaling else {
            return Vec::new();
        };
        let backend = service.backend.as_ref();
        let service = &service.name;
        let state = self.services.entry(service.clone()).or_default();
        let fleet = state
            .capacities
            .count(now, service, rule, endpoints, &state.scope, speed);
        let total = fleet.total();
        if total.count == 0 {
            // The list of endpoints has not been read yet.
            return Vec::new();
        }
        let since = *state.first_plan_at.get_or_insert(now);
        state.max_on_demand = state.max_on_demand.max(fleet.total_of(false).count);
        if backend.is_some() && rule.spot_price.is_some() {
            state.on_listed(now, service, &fleet, journal);
        }
        let is_shortage = now < state.shortage_until;
        let is_filtered = backend.is_some() && !is_shortage;
        let measured = match is_filtered {
            true => state.meter.median_rate(now, 2 * rule.boot),
            false => None,
        };
        let measured = measured.or_else(|| state.meter.rate(now));
        let early = backend.and_then(|_| state.meter.early_rate(now));
        let measured = measured
            .map(|rate| rate.max(early.unwrap_or(0.0)))
            .or(early);
        let full = backend.map_or(0.0, |backend| state.slots.full_engines(backend));
        let measured = measured.map(|rate| rate.max(full));
        let mut load = Load::new(measured, state.max_on_demand);
        let offers = offers(now, rule, &state.pools, &fleet);
        if is_filtered {
            // What the endpoints bear for a short time is not chased.
            let zones = offers.iter().filter(|offer| offer.has_spot).count() as u32;
            load = load.carrying(state.meter.current_rate(), zones);
        }
        state.last_use = Some(FleetUse {
            on_demand: fleet.total_of(false).count,
            spot: fleet.total_of(true).count,
            capacity: total.capacity,
            load: load.rate,
        });
        // Endpoints are released only while enough others serve.
        let is_known = measured.is_some() || !state.meter.has_calls();
        let may_release = is_known && !state.scope.keeps_all();
        let may_shrink = may_release && !is_shortage && now.since(since) > LISTING_TIME;
        let unit = fleet.unit();
        let mut spare = match may_shrink {
            true => ((total.capacity - f64::from(load.min_endpoints())) / unit) as u32,
            false => 0,
        };
        let limits = ZoneLimits {
            min: (f64::from(rule.min) * unit).round() as u32,
            max: (f64::from(rule.max) * unit).round() as u32,
        };
        let mut targets_by_zone = targets(limits, &offers, load, is_shortage);
        for (zone, target) in &mut targets_by_zone {
            *target = fleet.endpoints_for(zone, *target, rule);
        }
        replace_limited(&mut targets_by_zone, rule, service, endpoints, &state.scope);
        let mut orders = Vec::new();
        for (zone, want) in &targets_by_zone {
            for (is_spot, want) in [(false, want.on_demand), (true, want.spot)] {
                if is_spot && rule.spot_price.is_none() {
                    continue;
                }
                let have = fleet.pool(zone, is_spot).count;
                let pool = state.pools.entry((zone.clone(), is_spot)).or_default();
                let keeps_few = backend.is_some();
                if let Some(desired) = pool.due(now, rule, want, have, spare, keeps_few) {
                    spare = spare.saturating_sub(have.saturating_sub(desired));
                    pool.is_in_flight = true;
                    orders.push(ScaleOrder {
                        service: service.clone(),
                        zone: zone.clone(),
                        is_spot,
                        desired,
                    });
                }
            }
        }
        // Additions come first: endpoints may be released only when others serve.
        orders.sort_by_key(|order| order.desired < fleet.pool(&order.zone, order.is_spot).count);
        for order in &orders {
            journal.record(
                Decision::new(now, DecisionKind::Placement, "order", "plan")
                    .with("service", service)
                    .with("zone", &order.zone)
                    .with("spot", order.is_spot)
                    .with("desired", order.desired)
                    .with("lasting_there", fleet.pool(&order.zone, false).count)
                    .with("spot_there", fleet.pool(&order.zone, true).count)
                    .with("load", format_args!("{:.2}", load.rate))
                    .with("total", total.count)
                    .with("capacity", format_args!("{:.2}", total.capacity))
                    .with("used", format_args!("{:.2}", load.rate / total.capacity)),
            );
        }
        orders
    }

    /// Records the outcome of an order.
    pub fn on_outcome(
        &mut self,
        now: Timestamp,
        order: &ScaleOrder,
        outcome: ScaleOutcome,
        journal: &mut Journal,
    ) {
        let Some(state) = self.services.get_mut(&order.service) else {
            return;
        };
        let pool = state
            .pools
            .entry((order.zone.clone(), order.is_spot))
            .or_default();
        pool.is_in_flight = false;
        pool.ordered_at = now;
        match outcome {
            ScaleOutcome::Accepted => {
                pool.ordered = Some(order.desired);
                pool.needs_repeat = false;
            }
            ScaleOutcome::NoneAvailable => {
                pool.ordered = None;
                pool.blocked_until = now.after(NO_CAPACITY_PAUSE);
                state.shortage_until = now.after(SHORTAGE_TIME);
            }
            ScaleOutcome::Unclear | ScaleOutcome::Refused => {
                pool.ordered = None;
                pool.needs_repeat = true;
                pool.blocked_until = now.after(RETRY_PAUSE);
            }
        }
        let name = match outcome {
            ScaleOutcome::Accepted => "accepted",
            ScaleOutcome::NoneAvailable => "none-available",
            ScaleOutcome::Unclear => "no-reply",
            ScaleOutcome::Refused => "refused",
        };
        journal.record(
            Decision::new(now, DecisionKind::Placement, "ordered", name)
                .with("service", &order.service)
                .with("zone", &order.zone)
                .with("spot", order.is_spot)
                .with("desired", order.desired),
        );
    }

    /// Returns what the last plan of each service found, since the lease is held.
    pub fn uses(&self) -> impl Iterator<Item = (&ServiceName, FleetUse)> {
        let services = self.services.iter();
        services.filter_map(|(service, state)| Some((service, state.last_use?)))
    }

    /// Discards all orders after the lease is lost.
    pub fn reset(&mut self) {
        for state in self.services.values_mut() {
            state.pools.clear();
            state.first_plan_at = None;
            state.last_use = None;
        }
    }
}

impl ServiceState {
    /// Notes zones that lose at least half of their reclaimable endpoints at once, though they were
    /// ordered: others may be lost next.
    fn on_listed(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        fleet: &FleetCapacity,
        journal: &mut Journal,
    ) {
        for ((zone, is_spot), pool) in &mut self.pools {
            let have = fleet.pool(zone, *is_spot).count;
            let before = std::mem::replace(&mut pool.last_listed, have);
            let expected = pool.ordered.unwrap_or(before).min(before);
            if *is_spot && expected > 1 && have <= expected / 2 {
                self.shortage_until = self.shortage_until.max(now.after(RECLAIM_TIME));
                journal.record(
                    Decision::new(now, DecisionKind::Placement, "shortage", "zone-lost")
                        .with("service", service)
                        .with("zone", zone)
                        .with("spot_before", before)
                        .with("spot_there", have),
                );
            }
        }
    }
}

impl Pool {
    /// Returns the desired number of endpoints to order, if an order is due; at most `spare`
    /// endpoints are released, and a few only after a longer time if `keeps_few`.
    fn due(
        &mut self,
        now: Timestamp,
        rule: &ScalingRule,
        want: u32,
        have: u32,
        spare: u32,
        keeps_few: bool,
    ) -> Option<u32> {
        if self.is_in_flight || now < self.blocked_until {
            return None;
        }
        let current = self.ordered.unwrap_or(have);
        let is_loss = have < self.last_present.min(want);
        self.last_present = have;
        let is_overdue = self.ordered.is_some_and(|ordered| ordered != have)
            && now.since(self.ordered_at) > rule.boot + REPEAT_AFTER;
        let needs_order = self.needs_repeat || is_loss || is_overdue;
        // Applies also if fewer are wanted than were ordered, since the ordered ones may be
        // lost.
        if want > have && needs_order {
            self.shrink_since = None;
            return Some(want);
        }
        if want >= current {
            self.shrink_since = None;
            return (want > current || needs_order).then_some(want);
        }
        let since = *self.shrink_since.get_or_insert(now);
        let is_few = keeps_few && current - want <= (current / FEW_DIVISOR).max(1);
        let delay = match is_few {
            true => SMALL_SHRINK_AFTER,
            false => SHRINK_AFTER,
        };
        if now.since(since) < delay || spare == 0 {
            return None;
        }
        let desired = want.max(have.saturating_sub(spare));
        (desired < current).then_some(desired)
    }
}

/// Adds an endpoint for each one that takes few requests by its own word, as far as the rule
/// allows; it stays, and counts as present.
fn replace_limited(
    targets: &mut BTreeMap<AvailabilityZone, Capacity>,
    rule: &ScalingRule,
    service: &ServiceName,
    endpoints: &EndpointTable,
    scope: &VersionScope,
) {
    let listed = endpoints.iter().filter(|listed| !listed.is_leaving());
    let limited = listed.filter(|listed| listed.limit().is_some());
    for record in limited.map(|listed| &listed.record) {
        if record.service == *service
            && scope.contains(record)
            && let Some(target) = targets.get_mut(&record.zone)
            && target.on_demand + target.spot < rule.max
        {
            match record.is_spot {
                true => target.spot += 1,
                false => target.on_demand += 1,
            }
        }
    }
}

fn offers(
    now: Timestamp,
    rule: &ScalingRule,
    pools: &BTreeMap<(AvailabilityZone, bool), Pool>,
    fleet: &FleetCapacity,
) -> Vec<ZoneOffer> {
    let is_open = |zone: &AvailabilityZone, is_spot: bool| {
        pools
            .get(&(zone.clone(), is_spot))
            .is_none_or(|pool| now >= pool.blocked_until || pool.needs_repeat)
    };
    rule.zone_prices
        .iter()
        .map(|(zone, price)| ZoneOffer {
            zone: zone.clone(),
            price: *price,
            has_on_demand: is_open(zone, false),
            has_spot: rule.spot_price.is_some() && is_open(zone, true),
            spot_present: fleet.pool(zone, true).capacity.round() as u32,
        })
        .collect()
}
