//! From a load to the numbers of endpoints in each zone.

use std::collections::BTreeMap;

use super::Capacity;
use crate::gateway::rules::ScalingRule;
use crate::ids::AvailabilityZone;

/// Part of an engine's time that is spent reading at the load planned for: above it, first
/// tokens wait for clumps of calls.
const PLANNED_LOAD: f64 = 0.42;
/// Part of the lasting endpoints' time that is spent reading when all reclaimable ones are
/// gone.
const LASTING_LOAD: f64 = 0.9;
/// Part of the endpoints there at the start that is kept while no load is known.
const INITIAL_PART: f64 = 1.0;
/// Load of an endpoint that was there at the start, while none is known.
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
    /// Takes the measured rate, or before any traffic one that the `initial` endpoints
    /// were meant for.
    pub(super) fn new(rate: f64, initial: u32) -> Self {
        let assumed = f64::from(initial) * INITIAL_PART * INITIAL_LOAD;
        Self {
            rate: if rate > 0.0 { rate } else { assumed },
        }
    }

    fn planned(self) -> u32 {
        (self.rate / PLANNED_LOAD).ceil() as u32
    }

    fn lasting(self) -> u32 {
        (self.rate / LASTING_LOAD).ceil() as u32
    }
}

/// Returns the numbers for each zone.
pub(super) fn targets(
    rule: &ScalingRule,
    offers: &[ZoneOffer],
    load: Load,
) -> BTreeMap<AvailabilityZone, Capacity> {
    let mut plan = Plan::new(rule, offers);
    for _ in 0..load.lasting() {
        plan.add_lasting();
    }
    while plan.total() < load.planned() {
        if !plan.add_spot() && !plan.add_lasting() {
            break;
        }
    }
    plan.fill_minimum();
    plan.counts
}

struct Plan<'a> {
    rule: &'a ScalingRule,
    offers: &'a [ZoneOffer],
    counts: BTreeMap<AvailabilityZone, Capacity>,
}

impl<'a> Plan<'a> {
    fn new(rule: &'a ScalingRule, offers: &'a [ZoneOffer]) -> Self {
        let none = Capacity {
            lasting: 0,
            spot: 0,
        };
        let counts = offers
            .iter()
            .map(|offer| (offer.zone.clone(), none))
            .collect();
        Self {
            rule,
            offers,
            counts,
        }
    }

    fn total(&self) -> u32 {
        self.counts.values().map(|c| c.lasting + c.spot).sum()
    }

    /// Adds a lasting endpoint where the fewest are, the cheapest zone first.
    fn add_lasting(&mut self) -> bool {
        self.add(|offer| offer.has_lasting, |count| &mut count.lasting)
    }

    /// Adds a reclaimable endpoint where the fewest are, the cheapest zone first.
    fn add_spot(&mut self) -> bool {
        self.add(|offer| offer.has_spot, |count| &mut count.spot)
    }

    fn add(
        &mut self,
        is_offered: impl Fn(&ZoneOffer) -> bool,
        kind: impl Fn(&mut Capacity) -> &mut u32,
    ) -> bool {
        let max = self.rule.max;
        let room = |count: &Capacity| count.lasting + count.spot < max;
        let order = |offer: &&ZoneOffer| {
            let mut count = self.counts[&offer.zone];
            (*kind(&mut count), (offer.price * 1_000.0) as u64)
        };
        let best = self
            .offers
            .iter()
            .filter(|offer| is_offered(offer) && room(&self.counts[&offer.zone]))
            .min_by_key(order);
        let Some(count) = best.and_then(|offer| self.counts.get_mut(&offer.zone)) else {
            return false;
        };
        *kind(count) += 1;
        true
    }

    /// Brings each zone to the least number allowed.
    fn fill_minimum(&mut self) {
        let min = self.rule.min;
        for offer in self.offers {
            let Some(count) = self.counts.get_mut(&offer.zone) else {
                continue;
            };
            let missing = min.saturating_sub(count.lasting + count.spot);
            match offer.has_spot {
                true => count.spot += missing,
                false => count.lasting += missing,
            }
        }
    }
}
