//! Computes the number of endpoints in each zone from the load.
//!
//! Every zone that offers reclaimable endpoints holds enough of them to carry much of the load
//! when those of the other zones are reclaimed. An on-demand base runs in the cheapest zone;
//! more on-demand endpoints are added in that zone only for the load that the available
//! reclaimable ones do not carry.

use std::collections::BTreeMap;

use super::Capacity;
use crate::gateway::rules::ScalingRule;
use crate::ids::AvailabilityZone;

/// Fraction of the endpoints' time used for prefill while reclaimable endpoints are available
/// everywhere. They are cheap, and this headroom is what remains when zones are lost.
const HEADROOM_LOAD: f64 = 0.22;
/// Highest sustained fraction of the endpoints' time used for prefill: above it, first tokens
/// are delayed by bursts of calls.
const MAX_LOAD: f64 = 0.6;
/// Load per endpoint of the on-demand base if all others were lost: the base bridges the boot
/// of replacements at the price of late answers.
const BASE_LOAD: f64 = 2.2;
/// Load per endpoint of the base while some zone has no reclaimable endpoints: reclaims come
/// in waves, and on-demand endpoints ordered after the last zone's loss come one boot too
/// late.
const SHORTAGE_LOAD: f64 = 1.0;
/// Load per endpoint that the initial endpoints are assumed to be sized for.
const INITIAL_LOAD: f64 = 0.42;

/// Endpoints available in a zone.
#[derive(Debug, Clone)]
pub(super) struct ZoneOffer {
    pub(super) zone: AvailabilityZone,
    /// Price of an on-demand endpoint.
    pub(super) price: f64,
    pub(super) has_on_demand: bool,
    /// Whether more reclaimable endpoints are available.
    pub(super) has_spot: bool,
    /// Reclaimable endpoints that are present.
    pub(super) spot_present: u32,
}

/// Load to be carried.
#[derive(Debug, Clone, Copy)]
pub(super) struct Load {
    /// Number of engines that would be busy with prefill all the time.
    pub(super) rate: f64,
}

impl Load {
    /// Uses the measured rate or, before one is known, the rate that the `initial` endpoints
    /// are assumed to be sized for.
    pub(super) fn new(measured: Option<f64>, initial: u32) -> Self {
        let assumed = f64::from(initial) * INITIAL_LOAD;
        Self {
            rate: measured.unwrap_or(assumed),
        }
    }

    /// Returns the number of endpoints below which none are released.
    pub(super) fn min_endpoints(self) -> u32 {
        self.endpoints(MAX_LOAD)
    }

    /// Returns the number of endpoints that carry the load at `utilization`.
    fn endpoints(self, utilization: f64) -> u32 {
        (self.rate / utilization).ceil() as u32
    }
}

/// Maximum number of rounds that add on-demand endpoints for reclaimable ones displaced from
/// their zone.
const MAX_ROUNDS: u32 = 4;

/// Returns the number of endpoints of each kind for each zone; `is_shortage` means that
/// reclaims are in progress.
pub(super) fn targets(
    rule: &ScalingRule,
    offers: &[ZoneOffer],
    load: Load,
    is_shortage: bool,
) -> BTreeMap<AvailabilityZone, Capacity> {
    let mut on_demand = load.endpoints(if is_shortage {
        SHORTAGE_LOAD
    } else {
        BASE_LOAD
    });
    let mut counts = divide(rule, offers, load, on_demand);
    for _ in 0..MAX_ROUNDS {
        let total: u32 = counts
            .values()
            .map(|count| count.on_demand + count.spot)
            .sum();
        let missing = load.endpoints(MAX_LOAD).saturating_sub(total);
        if missing == 0 {
            break;
        }
        on_demand += missing;
        counts = divide(rule, offers, load, on_demand);
    }
    counts
}

/// Assigns `on_demand` endpoints to the cheapest zones and adds reclaimable ones.
fn divide(
    rule: &ScalingRule,
    offers: &[ZoneOffer],
    load: Load,
    mut on_demand: u32,
) -> BTreeMap<AvailabilityZone, Capacity> {
    let zones = offers.len().max(1) as u32;
    let total_spot = load
        .endpoints(HEADROOM_LOAD)
        .saturating_sub(load.endpoints(BASE_LOAD));
    let spot_in_zone = total_spot.div_ceil(zones).min(rule.max);
    let mut by_price: Vec<&ZoneOffer> = offers.iter().collect();
    by_price.sort_by(|a, b| a.price.total_cmp(&b.price));
    let mut counts = BTreeMap::new();
    for offer in by_price {
        let spot = match offer.has_spot {
            true => spot_in_zone,
            false => spot_in_zone.min(offer.spot_present),
        };
        // On-demand endpoints displace reclaimable ones that are not present yet.
        let present = spot.min(offer.spot_present);
        let mut count = Capacity { on_demand: 0, spot };
        if offer.has_on_demand {
            count.on_demand = on_demand.min(rule.max.saturating_sub(present));
            on_demand -= count.on_demand;
        }
        count.spot = spot.min(rule.max.saturating_sub(count.on_demand));
        let missing = rule.min.saturating_sub(count.on_demand + count.spot);
        match offer.has_spot {
            true => count.spot += missing,
            false => count.on_demand += missing,
        }
        counts.insert(offer.zone.clone(), count);
    }
    counts
}
