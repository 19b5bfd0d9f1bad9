//! From a load to the numbers of endpoints in each zone.
//!
//! Reclaimable endpoints are held in every zone that has them, in such numbers that those
//! of one zone go a long way when the others are taken. A base of lasting ones stands in
//! the cheapest zone; more are added there only for what the reclaimable ones to be had
//! do not carry.

use std::collections::BTreeMap;

use super::Capacity;
use crate::gateway::rules::ScalingRule;
use crate::ids::AvailabilityZone;

/// Part of the endpoints' time that is spent reading while reclaimable ones are to be had
/// everywhere. They are cheap, and the room they give is what is left when zones go.
const ROOMY_LOAD: f64 = 0.22;
/// Part of the endpoints' time that is spent reading at most in the long run: above it,
/// first tokens wait for clumps of calls.
const FULL_LOAD: f64 = 0.6;
/// Load of the base of lasting endpoints if all others were gone: it bridges the boot of
/// more at the price of late answers.
const BASE_LOAD: f64 = 2.2;
/// Load of the base while some zone has no reclaimable endpoints: reclaims come in waves, and
/// lasting ones that are ordered after the last zone's loss come a boot too late.
const WARY_LOAD: f64 = 1.0;
/// Load that the endpoints there at the start are taken to be meant for.
const INITIAL_LOAD: f64 = 0.42;

/// What a zone can give.
#[derive(Debug, Clone)]
pub(super) struct ZoneOffer {
    pub(super) zone: AvailabilityZone,
    /// Price of a lasting endpoint.
    pub(super) price: f64,
    pub(super) has_on_demand: bool,
    /// Whether more reclaimable endpoints are to be had.
    pub(super) has_spot: bool,
    /// Reclaimable endpoints that are there.
    pub(super) spot_there: u32,
}

/// The load to be carried.
#[derive(Debug, Clone, Copy)]
pub(super) struct Load {
    /// Engines that read all the time.
    pub(super) rate: f64,
}

impl Load {
    /// Takes the measured rate; before it is known, the one that the `initial` endpoints
    /// were meant for.
    pub(super) fn new(measured: Option<f64>, initial: u32) -> Self {
        let assumed = f64::from(initial) * INITIAL_LOAD;
        Self {
            rate: measured.unwrap_or(assumed),
        }
    }

    /// Returns the endpoints below which none are given back.
    pub(super) fn least(self) -> u32 {
        self.endpoints(FULL_LOAD)
    }

    /// Returns the endpoints that carry the load when `part` of their time is used.
    fn endpoints(self, part: f64) -> u32 {
        (self.rate / part).ceil() as u32
    }
}

/// Most times that lasting endpoints are added for those that they push out of their zone.
const ROUNDS: u32 = 4;

/// Returns the numbers for each zone; `is_wary` tells that reclaims are under way.
pub(super) fn targets(
    rule: &ScalingRule,
    offers: &[ZoneOffer],
    load: Load,
    is_wary: bool,
) -> BTreeMap<AvailabilityZone, Capacity> {
    let mut lasting = load.endpoints(if is_wary { WARY_LOAD } else { BASE_LOAD });
    let mut counts = divide(rule, offers, load, lasting);
    for _ in 0..ROUNDS {
        let total: u32 = counts
            .values()
            .map(|count| count.on_demand + count.spot)
            .sum();
        let missing = load.endpoints(FULL_LOAD).saturating_sub(total);
        if missing == 0 {
            break;
        }
        lasting += missing;
        counts = divide(rule, offers, load, lasting);
    }
    counts
}

/// Puts `lasting` endpoints into the cheapest zones and reclaimable ones beside them.
fn divide(
    rule: &ScalingRule,
    offers: &[ZoneOffer],
    load: Load,
    mut lasting: u32,
) -> BTreeMap<AvailabilityZone, Capacity> {
    let zones = offers.len().max(1) as u32;
    let roomy = load
        .endpoints(ROOMY_LOAD)
        .saturating_sub(load.endpoints(BASE_LOAD));
    let spot_in_zone = roomy.div_ceil(zones).min(rule.max);
    let mut by_price: Vec<&ZoneOffer> = offers.iter().collect();
    by_price.sort_by(|a, b| a.price.total_cmp(&b.price));
    let mut counts = BTreeMap::new();
    for offer in by_price {
        let spot = match offer.has_spot {
            true => spot_in_zone,
            false => spot_in_zone.min(offer.spot_there),
        };
        // Reclaimable ones that are only hoped for give way to lasting ones.
        let kept = spot.min(offer.spot_there);
        let mut count = Capacity { on_demand: 0, spot };
        if offer.has_on_demand {
            count.on_demand = lasting.min(rule.max.saturating_sub(kept));
            lasting -= count.on_demand;
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
