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
/// Load that the endpoints there at the start are taken to be meant for.
const INITIAL_LOAD: f64 = 0.42;

/// What a zone can give.
#[derive(Debug, Clone)]
pub(super) struct ZoneOffer {
    pub(super) zone: AvailabilityZone,
    /// Price of a lasting endpoint.
    pub(super) price: f64,
    pub(super) has_lasting: bool,
    pub(super) has_spot: bool,
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

/// Returns the numbers for each zone.
pub(super) fn targets(
    rule: &ScalingRule,
    offers: &[ZoneOffer],
    load: Load,
) -> BTreeMap<AvailabilityZone, Capacity> {
    let none = Capacity {
        lasting: 0,
        spot: 0,
    };
    let mut counts: BTreeMap<AvailabilityZone, Capacity> = offers
        .iter()
        .map(|offer| (offer.zone.clone(), none))
        .collect();
    let zones = offers.len().max(1) as u32;
    let base = load.endpoints(BASE_LOAD);
    let roomy = load.endpoints(ROOMY_LOAD).saturating_sub(base);
    let spot_in_zone = roomy.div_ceil(zones).min(rule.max);
    let spot_zones = offers.iter().filter(|offer| offer.has_spot).count() as u32;
    let missing = load
        .endpoints(FULL_LOAD)
        .saturating_sub(spot_in_zone * spot_zones);
    let mut lasting = base.max(missing);

    let mut by_price: Vec<&ZoneOffer> = offers.iter().filter(|offer| offer.has_lasting).collect();
    by_price.sort_by(|a, b| a.price.total_cmp(&b.price));
    for offer in &by_price {
        let Some(count) = counts.get_mut(&offer.zone) else {
            continue;
        };
        count.lasting = lasting.min(rule.max);
        lasting -= count.lasting;
    }
    for offer in offers {
        let Some(count) = counts.get_mut(&offer.zone) else {
            continue;
        };
        let room = rule.max.saturating_sub(count.lasting);
        if offer.has_spot {
            count.spot = spot_in_zone
                .max(rule.min.saturating_sub(count.lasting))
                .min(room);
        } else {
            count.lasting = count.lasting.max(rule.min);
        }
    }
    counts
}
