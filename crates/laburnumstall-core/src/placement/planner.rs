//! Computes a plan: a pure function of configuration, fleet, refusals and the plan in force.

use std::collections::BTreeMap;

use compact_str::format_compact;

use crate::cloud::{ClientToken, OwnedVm};
use crate::hash::digest64;
use crate::ids::{ServiceName, VmId};
use crate::placement::capacity::{FULL_TARGET, Pool};
use crate::placement::plan::{
    Alternative, MarketFilter, Offer, Plan, PlanInput, PlanRevision, PlanSlot, Shortfall,
};
use crate::placement::scope::token_prefix;
use crate::placement::solver::{self, Point, VmKind};
use crate::resources::{Market, VmClassSpec, VmRole, VmState, Zone};
use crate::units::HourlyPrice;

/// Discount on existing VMs, in thousandths: hysteresis that avoids replacing VMs for
/// small price differences.
pub const KEEP_DISCOUNT_PERMILLE: u64 = 100;

/// Cost of a reclaim, in hours of the VM's price: loading, recomputation, spare capacity.
pub const RECLAIM_COST_HOURS: u64 = 2;

/// VMs of one offer that the solver can choose: new ones, or existing ones.
struct Candidate {
    offer: Offer,
    price: HourlyPrice,
    existing: Vec<VmId>,
    vm_kind: VmKind,
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
    /// Live VMs not yet assigned to a pool, with the pool or service that they serve now.
    unassigned: BTreeMap<VmId, (&'a OwnedVm, Option<&'a ServiceName>)>,
    revision: PlanRevision,
    slots: Vec<PlanSlot>,
    hourly: HourlyPrice,
    shortfalls: Vec<Shortfall>,
    alternatives: BTreeMap<&'static str, Option<HourlyPrice>>,
    /// Open slots of the plan in force, whose tokens are reused.
    open_slots: Vec<&'a PlanSlot>,
    last_number: usize,
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
        let unassigned = input
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
            unassigned,
            revision: PlanRevision(revision + 1),
            slots: Vec::new(),
            hourly: HourlyPrice(0),
            shortfalls: Vec::new(),
            alternatives: BTreeMap::new(),
            open_slots: previous.iter().filter(is_open).collect(),
            last_number: 0,
        }
    }

    fn add_pool(&mut self, pool: &Pool<'_>) {
        self.price_alternatives(pool);
        let candidates = self.candidates(pool, MarketFilter::All);
        let kinds = vm_kinds(&candidates);
        match solver::solve(self.zones.len(), &kinds) {
            Some(solution) => {
                self.assign(pool, &candidates, &solution.best);
                if solution.after_loss < FULL_TARGET {
                    self.add_shortfall(pool, FULL_TARGET, solution.after_loss);
                }
            }
            None => self.keep_existing(pool, &candidates),
        }
    }

    /// Keeps the reusable VMs and requests none, because the target cannot be served at all.
    fn keep_existing(&mut self, pool: &Pool<'_>, candidates: &[Candidate]) {
        let counts: Vec<u32> = candidates
            .iter()
            .map(|candidate| candidate.existing.len() as u32)
            .collect();
        let served = |zone: Option<usize>| -> u64 {
            candidates
                .iter()
                .filter(|candidate| Some(candidate.vm_kind.zone) != zone)
                .map(|candidate| candidate.vm_kind.capacity * candidate.existing.len() as u64)
                .sum()
        };
        let after_loss = (0..self.zones.len()).map(|zone| served(Some(zone))).min();
        self.add_shortfall(pool, served(None), after_loss.unwrap_or(0));
        let point = Point {
            counts,
            ..Point::default()
        };
        self.assign(pool, candidates, &point);
    }

    fn add_shortfall(&mut self, pool: &Pool<'_>, served: u64, after_loss: u64) {
        let permille = |share: u64| (share.min(FULL_TARGET) / (FULL_TARGET / 1_000)) as u32;
        self.shortfalls.push(Shortfall {
            pool: pool.name().clone(),
            carried_permille: permille(served),
            carried_after_loss_permille: permille(after_loss),
        });
    }

    /// Returns the VMs that can serve the pool; for each offer, existing ones come first.
    fn candidates(&self, pool: &Pool<'_>, filter: MarketFilter) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for (index, zone) in self.zones.iter().enumerate() {
            for class in pool.classes(self.input.system) {
                let capacity = pool.capacity(class, self.input.share_permille);
                for market in markets(filter) {
                    let offer = Offer {
                        class: class.name.clone(),
                        market: *market,
                        zone: zone.name.clone(),
                    };
                    let price = price(class, *market, zone);
                    let cost = price.get() + risk_cost(price, *market, zone);
                    let vm_kind = VmKind {
                        zone: index,
                        capacity,
                        cost,
                        max_count: None,
                    };
                    self.push_candidates(pool, offer, price, vm_kind, &mut candidates);
                }
            }
        }
        candidates
    }

    fn push_candidates(
        &self,
        pool: &Pool<'_>,
        offer: Offer,
        price: HourlyPrice,
        vm_kind: VmKind,
        candidates: &mut Vec<Candidate>,
    ) {
        let existing = self.reusable_vms(pool, &offer);
        if !existing.is_empty() {
            let mut vm_kind = vm_kind.clone();
            vm_kind.cost -= vm_kind.cost * KEEP_DISCOUNT_PERMILLE / 1_000;
            vm_kind.max_count = Some(existing.len() as u32);
            candidates.push(Candidate {
                offer: offer.clone(),
                price,
                existing,
                vm_kind,
            });
        }
        if !self.input.refused.contains(&offer) {
            candidates.push(Candidate {
                offer,
                price,
                existing: Vec::new(),
                vm_kind,
            });
        }
    }

    /// Returns the VMs of an offer that serve the pool now, then those that serve no pool.
    fn reusable_vms(&self, pool: &Pool<'_>, offer: &Offer) -> Vec<VmId> {
        let serves_pool = |service: &ServiceName| pool.services.iter().any(|s| s.name == *service);
        let of_offer = || {
            self.unassigned
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

    fn assign(&mut self, pool: &Pool<'_>, candidates: &[Candidate], point: &Point) {
        let loads = pool.loads();
        for (candidate, count) in candidates.iter().zip(&point.counts) {
            for number in 0..*count as usize {
                let vm = candidate.existing.get(number).cloned();
                let owned = vm.as_ref().and_then(|vm| self.unassigned.remove(vm));
                let vm_token = owned.and_then(|(owned, _)| owned.token.clone());
                let token = match (vm_token, vm.is_some()) {
                    (Some(token), _) => token,
                    (None, true) => self.new_token(&candidate.offer),
                    (None, false) => self.open_token(pool, &candidate.offer),
                };
                self.hourly = self.hourly.plus(candidate.price);
                self.slots.push(PlanSlot {
                    token,
                    offer: candidate.offer.clone(),
                    pool: pool.name().clone(),
                    loads: loads.clone(),
                    vm,
                });
            }
        }
    }

    /// Returns the token of an open slot of the plan in force, or a new one, so that a request
    /// whose reply was lost is retried with the same token.
    fn open_token(&mut self, pool: &Pool<'_>, offer: &Offer) -> ClientToken {
        let matches = |slot: &&PlanSlot| slot.pool == *pool.name() && slot.offer == *offer;
        match self.open_slots.iter().position(matches) {
            Some(index) => self.open_slots.remove(index).token.clone(),
            None => self.new_token(offer),
        }
    }

    /// Returns an unused token. The token contains a digest of the offer, so that a plan
    /// restored from an older copy cannot mistake another VM for this one.
    fn new_token(&mut self, offer: &Offer) -> ClientToken {
        let prefix = token_prefix(self.input.region);
        let digest = digest64(&[offer.to_string().as_bytes()]) as u32;
        loop {
            self.last_number += 1;
            let text = format!(
                "{prefix}-{}-{}-{digest:08x}",
                self.revision, self.last_number
            );
            let token: ClientToken = text
                .parse()
                .expect("tokens are short and have only visible ASCII characters");
            let is_listed = |owned: &OwnedVm| owned.token.as_ref() == Some(&token);
            let is_used =
                self.input.used_tokens.contains(&token) || self.input.fleet.iter().any(is_listed);
            if !is_used {
                return token;
            }
        }
    }

    fn price_alternatives(&mut self, pool: &Pool<'_>) {
        let zones = self.zones.len();
        for (name, filter, after_loss) in [
            ("on-demand-only", MarketFilter::OnDemandOnly, FULL_TARGET),
            (
                "reclaimable-only",
                MarketFilter::ReclaimableOnly,
                FULL_TARGET,
            ),
            ("without-zone-loss", MarketFilter::All, 0),
        ] {
            let candidates = self.candidates(pool, filter);
            let found = solver::cheapest(zones, &vm_kinds(&candidates), FULL_TARGET, after_loss);
            let price = found.map(|point| list_price(&candidates, &point));
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

/// Returns whether a VM fills a slot.
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

fn markets(filter: MarketFilter) -> &'static [Market] {
    match filter {
        MarketFilter::All => &[Market::Reclaimable, Market::OnDemand],
        MarketFilter::OnDemandOnly => &[Market::OnDemand],
        MarketFilter::ReclaimableOnly => &[Market::Reclaimable],
    }
}

fn vm_kinds(candidates: &[Candidate]) -> Vec<VmKind> {
    candidates
        .iter()
        .map(|candidate| candidate.vm_kind.clone())
        .collect()
}

/// Returns the hourly price of a VM in a zone.
pub(super) fn price(class: &VmClassSpec, market: Market, zone: &Zone) -> HourlyPrice {
    let list = match market {
        Market::Reclaimable => class.reclaimable,
        Market::OnDemand => class.on_demand,
    };
    HourlyPrice(list.get().saturating_mul(u64::from(zone.price_permille)) / 1_000)
}

/// Returns the expected hourly cost of a VM's reclaims.
fn risk_cost(price: HourlyPrice, market: Market, zone: &Zone) -> u64 {
    match market {
        Market::Reclaimable => {
            let daily = price.get() * RECLAIM_COST_HOURS * u64::from(zone.reclaim_permille_day);
            daily / 1_000 / 24
        }
        Market::OnDemand => 0,
    }
}

fn list_price(candidates: &[Candidate], point: &Point) -> HourlyPrice {
    let pairs = candidates.iter().zip(&point.counts);
    HourlyPrice(
        pairs
            .map(|(candidate, count)| candidate.price.get() * u64::from(*count))
            .sum(),
    )
}
