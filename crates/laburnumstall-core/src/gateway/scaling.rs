//! How many endpoints of which kind are ordered in which zone.
//!
//! Answers waves and bursts of load while reclaimable endpoints are lost by zones.
//! Reclaimable (spot) endpoints cost a fraction of lasting ones, so the plan holds many of
//! them beside a base of lasting ones: the base alone carries the load at its limit while
//! replacements boot, and the sum carries it with room. A zone that gives none is left
//! alone for a time, and what is missing is ordered as lasting endpoints meanwhile.

mod meter;
mod targets;

use std::collections::BTreeMap;
use std::time::Duration;

use super::endpoint_table::EndpointTable;
use super::gossip::ServiceDemand;
use super::rules::ScalingRule;
use crate::decision::{Decision, DecisionKind, Journal};
use crate::ids::{AvailabilityZone, DaemonId, ServiceName};
use crate::units::Timestamp;
use crate::{domain, domain_value};

use meter::Meter;
use targets::{Load, ZoneOffer, targets};

/// Time after which an order that did not show in the fleet is repeated, beside the boot.
const REPEAT_AFTER: Duration = Duration::from_secs(3);
/// Time for which a kind is not ordered in a zone that had none.
const NONE_AVAILABLE_PAUSE: Duration = Duration::from_secs(3);
/// Time after which an order without a reply is sent again.
const UNCLEAR_PAUSE: Duration = Duration::from_millis(1_500);
/// Time for which fewer must do before endpoints are given back; the load is held at its
/// crest for longer, so that this only bridges orders that fail at once.
const SHRINK_AFTER: Duration = Duration::from_secs(2);
/// Time after a zone had none in which the plan is wary: longer than the pause between two
/// tries.
const WARY_TIME: Duration = Duration::from_secs(6);
/// Time from the first plan in which endpoints are still being listed.
const LISTING_TIME: Duration = Duration::from_secs(3);

domain_value! {
    /// What came of an order.
    #[serde(rename_all = "kebab-case")]
    pub enum ScaleOutcome {
        /// The platform took it.
        Accepted,
        /// None are to be had there now.
        NoneAvailable,
        /// No reply came; it may be carried out later.
        Unclear,
        /// The platform did not take it.
        Refused,
    }
}

domain! {
    /// An order for a number of endpoints of one kind in one zone.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct ScaleOrder {
        /// Service.
        pub service: ServiceName,
        /// Zone.
        pub zone: AvailabilityZone,
        /// Whether reclaimable endpoints are ordered.
        pub is_spot: bool,
        /// Number wanted.
        pub desired: u32,
    }

    /// Endpoints of one kind in one zone that take new work.
    #[derive(Copy, Eq)]
    pub struct Capacity {
        /// Lasting ones.
        #[serde(rename = "lasting")]
        pub on_demand: u32,
        /// Reclaimable ones.
        pub spot: u32,
    }
}

#[derive(Debug, Clone, Default)]
struct Lane {
    ordered: Option<u32>,
    ordered_at: Timestamp,
    /// Endpoints that were there at the last plan.
    reached: u32,
    blocked_until: Timestamp,
    is_under_way: bool,
    needs_repeat: bool,
    /// Since when fewer would do.
    shrink_since: Option<Timestamp>,
}

#[derive(Debug, Clone, Default)]
struct ServiceState {
    meter: Meter,
    lanes: BTreeMap<(AvailabilityZone, bool), Lane>,
    /// Most endpoints that were there before any load was measured.
    initial: u32,
    planned_since: Option<Timestamp>,
    /// Until when other zones may lose their reclaimable endpoints as well.
    wary_until: Timestamp,
}

/// Plans the endpoints of all services.
///
/// Every daemon follows the load by [`Scaler::observe`], so that whoever takes the duty
/// over knows it; the holder alone asks for a [`Scaler::plan`].
#[derive(Debug, Clone, Default)]
pub struct Scaler {
    services: BTreeMap<ServiceName, ServiceState>,
}

impl Scaler {
    /// Follows the load of a service by the counters of all daemons.
    pub fn observe(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        demand: &[(DaemonId, Vec<ServiceDemand>)],
    ) {
        let state = self.services.entry(service.clone()).or_default();
        state.meter.on_demand(now, service, demand);
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
        let present = capacities(service, rule, endpoints);
        let total: u32 = present.values().map(|c| c.on_demand + c.spot).sum();
        if total == 0 {
            // The list of endpoints is not there yet.
            return Vec::new();
        }
        let state = self.services.entry(service.clone()).or_default();
        let since = *state.planned_since.get_or_insert(now);
        let lasting: u32 = present.values().map(|c| c.on_demand).sum();
        state.initial = state.initial.max(lasting);
        let measured = state.meter.rate(now);
        let load = Load::new(measured, state.initial);
        let offers = offers(now, rule, &state.lanes, &present);
        // Endpoints are given back while enough others serve.
        let is_known = measured.is_some() || !state.meter.has_calls();
        let is_wary = now < state.wary_until;
        let may_shrink = is_known && !is_wary && now.since(since) > LISTING_TIME;
        let mut spare = match may_shrink {
            true => total.saturating_sub(load.least()),
            false => 0,
        };
        let wanted = targets(rule, &offers, load, is_wary);
        let mut orders = Vec::new();
        for (zone, want) in &wanted {
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
                let lane = state.lanes.entry((zone.clone(), is_spot)).or_default();
                if let Some(desired) = lane.due(now, rule, want, have, spare) {
                    spare = spare.saturating_sub(have.saturating_sub(desired));
                    lane.is_under_way = true;
                    orders.push(ScaleOrder {
                        service: service.clone(),
                        zone: zone.clone(),
                        is_spot,
                        desired,
                    });
                }
            }
        }
        // What is added goes first: what is given back may only go when others serve.
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

    /// Takes in what came of an order.
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
        let lane = state
            .lanes
            .entry((order.zone.clone(), order.is_spot))
            .or_default();
        lane.is_under_way = false;
        lane.ordered_at = now;
        match outcome {
            ScaleOutcome::Accepted => {
                lane.ordered = Some(order.desired);
                lane.needs_repeat = false;
            }
            ScaleOutcome::NoneAvailable => {
                lane.ordered = None;
                lane.blocked_until = now.after(NONE_AVAILABLE_PAUSE);
                state.wary_until = now.after(WARY_TIME);
            }
            ScaleOutcome::Unclear | ScaleOutcome::Refused => {
                lane.ordered = None;
                lane.needs_repeat = true;
                lane.blocked_until = now.after(UNCLEAR_PAUSE);
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

    /// Forgets all orders, when the duty is lost.
    pub fn reset(&mut self) {
        for state in self.services.values_mut() {
            state.lanes.clear();
            state.planned_since = None;
        }
    }
}

impl Lane {
    /// Returns the number to order now, if one is due; at most `spare` are given back.
    fn due(
        &mut self,
        now: Timestamp,
        rule: &ScalingRule,
        want: u32,
        have: u32,
        spare: u32,
    ) -> Option<u32> {
        if self.is_under_way || now < self.blocked_until {
            return None;
        }
        let standing = self.ordered.unwrap_or(have);
        let is_loss = have < self.reached.min(want);
        self.reached = have;
        let is_overdue = self.ordered.is_some_and(|ordered| ordered != have)
            && now.since(self.ordered_at) > rule.boot + REPEAT_AFTER;
        let needs_order = self.needs_repeat || is_loss || is_overdue;
        // Also when fewer are wanted than were ordered: those may be gone.
        if want > have && needs_order {
            self.shrink_since = None;
            return Some(want);
        }
        if want >= standing {
            self.shrink_since = None;
            return (want > standing || needs_order).then_some(want);
        }
        let since = *self.shrink_since.get_or_insert(now);
        if now.since(since) < SHRINK_AFTER || spare == 0 {
            return None;
        }
        let desired = want.max(have.saturating_sub(spare));
        (desired < standing).then_some(desired)
    }
}

/// Counts the endpoints of a service that take new work, by zone.
fn capacities(
    service: &ServiceName,
    rule: &ScalingRule,
    endpoints: &EndpointTable,
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
    let listed = endpoints.iter().map(|listed| &listed.record);
    for record in listed.filter(|record| record.service == *service && !record.is_leaving) {
        let count = counts.entry(record.zone.clone()).or_insert(none);
        match record.is_spot {
            true => count.spot += 1,
            false => count.on_demand += 1,
        }
    }
    counts
}

fn offers(
    now: Timestamp,
    rule: &ScalingRule,
    lanes: &BTreeMap<(AvailabilityZone, bool), Lane>,
    present: &BTreeMap<AvailabilityZone, Capacity>,
) -> Vec<ZoneOffer> {
    let is_open = |zone: &AvailabilityZone, is_spot: bool| {
        lanes
            .get(&(zone.clone(), is_spot))
            .is_none_or(|lane| now >= lane.blocked_until || lane.needs_repeat)
    };
    rule.zone_prices
        .iter()
        .map(|(zone, price)| ZoneOffer {
            zone: zone.clone(),
            price: *price,
            has_on_demand: is_open(zone, false),
            has_spot: rule.spot_price.is_some() && is_open(zone, true),
            spot_there: present.get(zone).map_or(0, |count| count.spot),
        })
        .collect()
}
