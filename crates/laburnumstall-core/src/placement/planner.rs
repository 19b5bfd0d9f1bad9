//! Computes a plan: a pure function of text, fleet, refusals and the plan in force.

use std::collections::BTreeMap;

use compact_str::format_compact;

use crate::cloud::{ClientToken, OwnedVm};
use crate::hash::digest64;
use crate::ids::{ServiceName, VmId};
use crate::placement::capacity::{Pool, WHOLE};
use crate::placement::plan::{
    Alternative, MarketFilter, Offer, Plan, PlanInput, PlanRevision, PlanSlot, Shortfall,
};
use crate::placement::scope::token_prefix;
use crate::placement::solver::{self, Choosable, Point};
use crate::resources::{Market, VmClassSpec, VmRole, VmState, Zone};
use crate::units::HourlyPrice;

/// Discount in thousandths on a VM that is there already: hysteresis against replacing
/// VMs for small differences of price.
pub const KEEP_DISCOUNT_PERMILLE: u64 = 100;

/// Hours of a VM's price that its reclaim costs: loading, recomputing, spare capacity.
pub const RECLAIM_COST_HOURS: u64 = 2;

/// A kind of VM that the solver can choose: new, or one of those that there are.
struct Kind {
    offer: Offer,
    price: HourlyPrice,
    keeps: Vec<VmId>,
    choosable: Choosable,
}

/// Computes the plan of a region.
pub fn plan(input: &PlanInput<'_>) -> Plan {
    let mut planner = Planner::new(input);
    for pool in Pool::all(input.system) {
        planner.add_pool(&pool);
    }
    planner.finish()
}

struct Planner<'a> {
    input: &'a PlanInput<'a>,
    zones: Vec<&'a Zone>,
    /// VMs that no pool has taken yet, with the pool that they serve now.
    free: BTreeMap<VmId, (&'a OwnedVm, Option<&'a ServiceName>)>,
    revision: PlanRevision,
    slots: Vec<PlanSlot>,
    hourly: HourlyPrice,
    shortfalls: Vec<Shortfall>,
    alternatives: BTreeMap<&'static str, Option<HourlyPrice>>,
    /// Tokens of unfilled slots of the plan in force, to be asked for again.
    open: Vec<&'a PlanSlot>,
    numbered: usize,
}

impl<'a> Planner<'a> {
    fn new(input: &'a PlanInput<'a>) -> Self {
        let mut zones: Vec<&Zone> = input
            .system
            .zones
            .iter()
            .filter(|zone| zone.region == *input.region)
            .collect();
        zones.sort_by(|a, b| a.name.cmp(&b.name));
        let previous = input.previous.map_or(&[][..], |plan| &plan.slots);
        let free = input
            .fleet
            .iter()
            .filter(|owned| owned.vm.role == VmRole::Endpoint && owned.vm.state == VmState::Live)
            .map(|owned| {
                let slot = previous.iter().find(|slot| fills(slot, owned));
                let planned = slot.map(|slot| &slot.pool);
                let serves = planned.or_else(|| input.serving.get(&owned.vm.id));
                (owned.vm.id.clone(), (owned, serves))
            })
            .collect();
        let is_open = |slot: &&PlanSlot| {
            !input.used_tokens.contains(&slot.token)
                && !input.fleet.iter().any(|vm| fills(slot, vm))
        };
        let revision = input.previous.map_or(0, |plan| plan.revision.get());
        Self {
            input,
            zones,
            free,
            revision: PlanRevision(revision + 1),
            slots: Vec::new(),
            hourly: HourlyPrice(0),
            shortfalls: Vec::new(),
            alternatives: BTreeMap::new(),
            open: previous.iter().filter(is_open).collect(),
            numbered: 0,
        }
    }

    fn add_pool(&mut self, pool: &Pool<'_>) {
        self.weigh_alternatives(pool);
        let kinds = self.kinds(pool, MarketFilter::All);
        let choosable = choosables(&kinds);
        match solver::solve(self.zones.len(), &choosable) {
            Some(solution) => {
                self.take(pool, &kinds, &solution.best);
                if solution.after_loss < WHOLE {
                    self.fall_short(pool, WHOLE, solution.after_loss);
                }
            }
            None => self.take_everything(pool, &kinds),
        }
    }

    /// Keeps all that there is and asks for nothing: the target cannot be had at all.
    fn take_everything(&mut self, pool: &Pool<'_>, kinds: &[Kind]) {
        let counts: Vec<u32> = kinds.iter().map(|kind| kind.keeps.len() as u32).collect();
        let carried = |zone: Option<usize>| -> u64 {
            kinds
                .iter()
                .filter(|kind| Some(kind.choosable.zone) != zone)
                .map(|kind| kind.choosable.capacity * kind.keeps.len() as u64)
                .sum()
        };
        let after_loss = (0..self.zones.len()).map(|zone| carried(Some(zone))).min();
        self.fall_short(pool, carried(None), after_loss.unwrap_or(0));
        let point = Point {
            counts,
            ..Point::default()
        };
        self.take(pool, kinds, &point);
    }

    fn fall_short(&mut self, pool: &Pool<'_>, carried: u64, after_loss: u64) {
        let permille = |part: u64| (part.min(WHOLE) / (WHOLE / 1_000)) as u32;
        self.shortfalls.push(Shortfall {
            pool: pool.name().clone(),
            carried_permille: permille(carried),
            carried_after_loss_permille: permille(after_loss),
        });
    }

    /// Returns every kind of VM that can serve the pool: those there are, then new ones.
    fn kinds(&self, pool: &Pool<'_>, choice: MarketFilter) -> Vec<Kind> {
        let mut kinds = Vec::new();
        for (index, zone) in self.zones.iter().enumerate() {
            for class in pool.classes(self.input.system) {
                let capacity = pool.capacity(class, self.input.share_permille);
                for market in markets(choice) {
                    let offer = Offer {
                        class: class.name.clone(),
                        market: *market,
                        zone: zone.name.clone(),
                    };
                    let price = price(class, *market, zone);
                    let cost = price.get() + risk_cost(price, *market, zone);
                    let choosable = Choosable {
                        zone: index,
                        capacity,
                        cost,
                        most: None,
                    };
                    self.push_kinds(pool, offer, price, choosable, &mut kinds);
                }
            }
        }
        kinds
    }

    fn push_kinds(
        &self,
        pool: &Pool<'_>,
        offer: Offer,
        price: HourlyPrice,
        choosable: Choosable,
        kinds: &mut Vec<Kind>,
    ) {
        let keeps = self.keepable(pool, &offer);
        if !keeps.is_empty() {
            let mut choosable = choosable.clone();
            choosable.cost -= choosable.cost * KEEP_DISCOUNT_PERMILLE / 1_000;
            choosable.most = Some(keeps.len() as u32);
            kinds.push(Kind {
                offer: offer.clone(),
                price,
                keeps,
                choosable,
            });
        }
        if !self.input.refused.contains(&offer) {
            kinds.push(Kind {
                offer,
                price,
                keeps: Vec::new(),
                choosable,
            });
        }
    }

    /// Returns the VMs of an offer that serve the pool now, then those that serve none.
    fn keepable(&self, pool: &Pool<'_>, offer: &Offer) -> Vec<VmId> {
        let serves_pool = |service: &ServiceName| pool.services.iter().any(|s| s.name == *service);
        let of_offer = || {
            self.free
                .values()
                .filter(|(owned, _)| offer_of(owned) == *offer)
        };
        let serving = of_offer().filter(|(_, serves)| serves.is_some_and(serves_pool));
        let serving_none = of_offer().filter(|(_, serves)| serves.is_none());
        serving
            .chain(serving_none)
            .map(|(owned, _)| owned.vm.id.clone())
            .collect()
    }

    fn take(&mut self, pool: &Pool<'_>, kinds: &[Kind], point: &Point) {
        let loads = pool.loads();
        for (kind, count) in kinds.iter().zip(&point.counts) {
            for number in 0..*count as usize {
                let vm = kind.keeps.get(number).cloned();
                let owned = vm.as_ref().and_then(|vm| self.free.remove(vm));
                let known = owned.and_then(|(owned, _)| owned.token.clone());
                let token = match (known, vm.is_some()) {
                    (Some(token), _) => token,
                    (None, true) => self.new_token(&kind.offer),
                    (None, false) => self.open_token(pool, &kind.offer),
                };
                self.hourly = self.hourly.plus(kind.price);
                self.slots.push(PlanSlot {
                    token,
                    offer: kind.offer.clone(),
                    pool: pool.name().clone(),
                    loads: loads.clone(),
                    vm,
                });
            }
        }
    }

    /// Returns the token of an open slot of the plan in force, or a new one: a request
    /// whose reply was lost is repeated under its own token.
    fn open_token(&mut self, pool: &Pool<'_>, offer: &Offer) -> ClientToken {
        let matches = |slot: &&PlanSlot| slot.pool == *pool.name() && slot.offer == *offer;
        match self.open.iter().position(matches) {
            Some(index) => self.open.remove(index).token.clone(),
            None => self.new_token(offer),
        }
    }

    /// Returns a token that was never used: its name tells the offer, so that a plan
    /// restored from an older copy cannot take another VM for this one.
    fn new_token(&mut self, offer: &Offer) -> ClientToken {
        let short = token_prefix(self.input.region);
        let digest = digest64(&[offer.to_string().as_bytes()]) as u32;
        loop {
            self.numbered += 1;
            let text = format!("{short}-{}-{}-{digest:08x}", self.revision, self.numbered);
            let token: ClientToken = text.parse().expect("a token is short and visible");
            let is_listed = |owned: &OwnedVm| owned.token.as_ref() == Some(&token);
            let is_used =
                self.input.used_tokens.contains(&token) || self.input.fleet.iter().any(is_listed);
            if !is_used {
                return token;
            }
        }
    }

    fn weigh_alternatives(&mut self, pool: &Pool<'_>) {
        let zones = self.zones.len();
        for (name, choice, after_loss) in [
            ("on-demand-only", MarketFilter::OnDemandOnly, WHOLE),
            ("reclaimable-only", MarketFilter::ReclaimableOnly, WHOLE),
            ("without-zone-loss", MarketFilter::All, 0),
        ] {
            let kinds = self.kinds(pool, choice);
            let found = solver::cheapest(zones, &choosables(&kinds), WHOLE, after_loss);
            let price = found.map(|point| list_price(&kinds, &point));
            let total = self
                .alternatives
                .entry(name)
                .or_insert(Some(HourlyPrice(0)));
            *total = total.zip(price).map(|(total, price)| total.plus(price));
        }
    }

    fn finish(self) -> Plan {
        let alternatives = self.alternatives.into_iter();
        Plan {
            revision: self.revision,
            configuration: self.input.configuration,
            region: self.input.region.clone(),
            slots: self.slots,
            hourly: self.hourly,
            shortfalls: self.shortfalls,
            alternatives: alternatives
                .map(|(name, hourly)| Alternative {
                    name: format_compact!("{name}"),
                    hourly,
                })
                .collect(),
        }
    }
}

/// Tells whether a VM is the one that a slot asks for.
fn fills(slot: &PlanSlot, owned: &OwnedVm) -> bool {
    slot.vm.as_ref() == Some(&owned.vm.id) || owned.token.as_ref() == Some(&slot.token)
}

fn offer_of(owned: &OwnedVm) -> Offer {
    Offer {
        class: owned.vm.class.clone(),
        market: owned.vm.market,
        zone: owned.vm.zone.clone(),
    }
}

fn markets(choice: MarketFilter) -> &'static [Market] {
    match choice {
        MarketFilter::All => &[Market::Reclaimable, Market::OnDemand],
        MarketFilter::OnDemandOnly => &[Market::OnDemand],
        MarketFilter::ReclaimableOnly => &[Market::Reclaimable],
    }
}

fn choosables(kinds: &[Kind]) -> Vec<Choosable> {
    kinds.iter().map(|kind| kind.choosable.clone()).collect()
}

/// Returns the price of a VM in a zone.
pub(super) fn price(class: &VmClassSpec, market: Market, zone: &Zone) -> HourlyPrice {
    let list = match market {
        Market::Reclaimable => class.reclaimable,
        Market::OnDemand => class.on_demand,
    };
    HourlyPrice(list.get().saturating_mul(u64::from(zone.price_permille)) / 1_000)
}

/// Returns the expected cost an hour of a VM's reclaims.
fn risk_cost(price: HourlyPrice, market: Market, zone: &Zone) -> u64 {
    match market {
        Market::Reclaimable => {
            let a_day = price.get() * RECLAIM_COST_HOURS * u64::from(zone.reclaim_permille_day);
            a_day / 1_000 / 24
        }
        Market::OnDemand => 0,
    }
}

fn list_price(kinds: &[Kind], point: &Point) -> HourlyPrice {
    let priced = kinds.iter().zip(&point.counts);
    HourlyPrice(
        priced
            .map(|(kind, count)| kind.price.get() * u64::from(*count))
            .sum(),
    )
}
