//! Plans the number of endpoints of each kind in each zone.
//!
//! Load comes in waves and bursts, while reclaimable (spot) endpoints are lost zone by zone.
//! Reclaimable endpoints cost a fraction of on-demand ones, so the plan holds many of them in
//! addition to an on-demand base: the base alone carries the load at its limit while
//! replacements boot, and both together carry it with headroom. A zone without capacity is
//! skipped for a time, and the shortfall is ordered as on-demand endpoints meanwhile.

mod meter;
mod targets;
mod version_scope;

use std::collections::BTreeMap;
use std::time::Duration;

use super::endpoint_table::{EndpointRecord, EndpointTable};
use super::gossip::ServiceDemand;
use super::rollout::RolloutScope;
use super::rules::ScalingRule;
use crate::decision::{Decision, DecisionKind, Journal};
use crate::ids::{AvailabilityZone, DaemonId, ServiceName};
use crate::units::Timestamp;
use crate::{domain, domain_value};

use meter::DemandMeter;
use targets::{Load, ZoneOffer, targets};
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
/// Time for which a shortage is assumed after a zone had no capacity: longer than the pause
/// between two attempts.
const SHORTAGE_TIME: Duration = Duration::from_secs(6);
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

/// Endpoints of one kind in one zone.
#[derive(Debug, Clone, Default)]
struct Pool {
    ordered: Option<u32>,
    ordered_at: Timestamp,
    /// Endpoints that were present at the last plan.
    last_present: u32,
    blocked_until: Timestamp,
    is_in_flight: bool,
    needs_repeat: bool,
    /// Start of the time in which fewer endpoints would suffice.
    shrink_since: Option<Timestamp>,
}

#[derive(Debug, Clone, Default)]
struct ServiceState {
    meter: DemandMeter,
    pools: BTreeMap<(AvailabilityZone, bool), Pool>,
    /// Largest number of on-demand endpoints seen; stands in for the load until one is
    /// measured.
    max_on_demand: u32,
    first_plan_at: Option<Timestamp>,
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
    /// Updates the load of a service from the counters of all daemons.
    pub fn observe(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        demand: &[(DaemonId, Vec<ServiceDemand>)],
    ) {
        let state = self.services.entry(service.clone()).or_default();
        state.meter.update(now, service, demand);
    }

    /// Sets which endpoints of a service count while its rollout is known.
    pub fn set_rollout(&mut self, service: &ServiceName, scope: Option<RolloutScope<'_>>) {
        let state = self.services.entry(service.clone()).or_default();
        state.scope = VersionScope::new(scope);
    }

    /// Returns the orders that are due for a service.
    pub fn plan(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        rule: &ScalingRule,
        endpoints: &EndpointTable,
        journal: &mut Journal,
    ) -> Vec<ScaleOrder> {
        let state = self.services.entry(service.clone()).or_default();
        let present = capacities(service, rule, endpoints, &state.scope);
        let total: u32 = present.values().map(|c| c.on_demand + c.spot).sum();
        if total == 0 {
            // The list of endpoints has not been read yet.
            return Vec::new();
        }
        let since = *state.first_plan_at.get_or_insert(now);
        let on_demand: u32 = present.values().map(|c| c.on_demand).sum();
        state.max_on_demand = state.max_on_demand.max(on_demand);
        let measured = state.meter.rate(now);
        let load = Load::new(measured, state.max_on_demand);
        let offers = offers(now, rule, &state.pools, &present);
        // Endpoints are released only while enough others serve.
        let is_known = measured.is_some() || !state.meter.has_calls();
        let is_shortage = now < state.shortage_until;
        let may_release = is_known && !state.scope.keeps_all();
        let may_shrink = may_release && !is_shortage && now.since(since) > LISTING_TIME;
        let mut spare = match may_shrink {
            true => total.saturating_sub(load.min_endpoints()),
            false => 0,
        };
        let mut targets_by_zone = targets(rule, &offers, load, is_shortage);
        replace_limited(&mut targets_by_zone, rule, service, endpoints, &state.scope);
        let mut orders = Vec::new();
        for (zone, want) in &targets_by_zone {
            let have = present.get(zone).copied().unwrap_or(Capacity {
                on_demand: 0,
                spot: 0,
            });
            for (is_spot, want, have) in [
                (false, want.on_demand, have.on_demand),
                (true, want.spot, have.spot),
            ] {
                if is_spot && rule.spot_price.is_none() {
                    continue;
                }
                let pool = state.pools.entry((zone.clone(), is_spot)).or_default();
                if let Some(desired) = pool.due(now, rule, want, have, spare) {
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
        orders.sort_by_key(|order| {
            let have = present
                .get(&order.zone)
                .map_or(0, |c| if order.is_spot { c.spot } else { c.on_demand });
            order.desired < have
        });
        for order in &orders {
            let have = present.get(&order.zone).copied();
            journal.record(
                Decision::new(now, DecisionKind::Placement, "order", "plan")
                    .with("service", service)
                    .with("zone", &order.zone)
                    .with("spot", order.is_spot)
                    .with("desired", order.desired)
                    .with("lasting_there", have.map_or(0, |c| c.on_demand))
                    .with("spot_there", have.map_or(0, |c| c.spot))
                    .with("load", format_args!("{:.2}", load.rate))
                    .with("total", total),
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

    /// Discards all orders after the lease is lost.
    pub fn reset(&mut self) {
        for state in self.services.values_mut() {
            state.pools.clear();
            state.first_plan_at = None;
        }
    }
}

impl Pool {
    /// Returns the desired number of endpoints to order, if an order is due; at most `spare`
    /// endpoints are released.
    fn due(
        &mut self,
        now: Timestamp,
        rule: &ScalingRule,
        want: u32,
        have: u32,
        spare: u32,
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
        if now.since(since) < SHRINK_AFTER || spare == 0 {
            return None;
        }
        let desired = want.max(have.saturating_sub(spare));
        (desired < current).then_some(desired)
    }
}

/// Counts the endpoints of a service that take new work, by zone.
fn capacities(
    service: &ServiceName,
    rule: &ScalingRule,
    endpoints: &EndpointTable,
    scope: &VersionScope,
) -> BTreeMap<AvailabilityZone, Capacity> {
    let none = Capacity {
        on_demand: 0,
        spot: 0,
    };
    let mut counts: BTreeMap<AvailabilityZone, Capacity> = rule
        .zone_prices
        .keys()
        .map(|zone| (zone.clone(), none))
        .collect();
    let listed = endpoints.iter().filter(|listed| !listed.is_leaving());
    let listed = listed.map(|listed| &listed.record);
    let counted = |record: &&EndpointRecord| record.service == *service && scope.contains(record);
    for record in listed.filter(counted) {
        let count = counts.entry(record.zone.clone()).or_insert(none);
        match record.is_spot {
            true => count.spot += 1,
            false => count.on_demand += 1,
        }
    }
    counts
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
    present: &BTreeMap<AvailabilityZone, Capacity>,
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
            spot_present: present.get(zone).map_or(0, |count| count.spot),
        })
        .collect()
}
