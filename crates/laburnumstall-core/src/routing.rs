//! Routing: which endpoint runs an attempt.
//!
//! A daemon has one [`Router`]. It is told the endpoints, their late load and cache
//! reports, and the attempts that this daemon starts and ends. For each attempt it picks
//! a few candidates (see `candidates`), scores them by the time to the first token that
//! it expects (see `score`), and records the choice with its alternatives.

mod cache;
mod candidates;
mod health;
mod peers;
mod pool;
mod popularity;
mod query;
mod score;
mod selection;
mod slot;

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;

use crate::prelude::*;
pub use cache::CacheReport;
use health::Health;
pub use peers::Peer;
use pool::Pool;
pub use pool::SUBSET_SIZE;
use popularity::Popularity;
pub use query::{Route, RouteQuery};
use slot::Slot;

/// One daemon's view of the endpoints.
#[derive(Debug, Clone)]
pub struct Router {
    hash: u64,
    zone: AvailabilityZone,
    known_peers: Vec<Peer>,
    /// Hashes of the other daemons of the region.
    peers: Vec<u64>,
    rng: Rng,
    system: System,
    subset_size: usize,
    /// Sorted by the endpoints' names.
    slots: Vec<Slot>,
    pools: BTreeMap<ServiceName, Pool>,
    attempts: BTreeMap<AttemptId, Placed>,
    popularity: Popularity,
}

/// Where an attempt runs, and the prefixes under which it is counted.
#[derive(Debug, Clone)]
struct Placed {
    endpoint: EndpointId,
    keys: Vec<BlockHash>,
}

impl Router {
    /// Creates the router of a daemon in a zone; it knows no endpoint yet.
    pub fn new(own: &DaemonId, zone: AvailabilityZone) -> Self {
        let hash = peers::hash_of(own);
        Self {
            hash,
            zone,
            known_peers: Vec::new(),
            peers: Vec::new(),
            rng: Rng::with_seed(hash),
            system: System::default(),
            subset_size: SUBSET_SIZE,
            slots: Vec::new(),
            pools: BTreeMap::new(),
            attempts: BTreeMap::new(),
            popularity: Popularity::default(),
        }
    }

    /// Changes the number of endpoints of one service that the daemon uses.
    pub fn with_subset_size(mut self, size: usize) -> Self {
        self.subset_size = size.max(1);
        self
    }

    /// Takes over the latencies between zones and the kinds of the services.
    pub fn set_system(&mut self, system: &System) {
        self.system = system.clone();
        self.refresh();
    }

    /// Takes over the list of live daemons, with or without this one.
    ///
    /// Those of the same region share its endpoints: each uses a subset, and each may retry
    /// suspects on endpoints of its own.
    pub fn set_peers(&mut self, peers: &[Peer]) {
        self.known_peers = peers.to_vec();
        self.refresh();
    }

    /// Takes over the whole list of known endpoints; those that stay keep their state.
    ///
    /// An endpoint whose address changed is a new process and starts afresh.
    pub fn set_endpoints(&mut self, _now: Timestamp, endpoints: Vec<Endpoint>) {
        let mut known: BTreeMap<EndpointId, Slot> = std::mem::take(&mut self.slots)
            .into_iter()
            .map(|slot| (slot.endpoint.id.clone(), slot))
            .collect();
        let mut slots = BTreeMap::new();
        for endpoint in endpoints {
            let slot = match known.remove(&endpoint.id) {
                Some(slot) => slot.listed_again(endpoint),
                None => Slot::new(endpoint),
            };
            slots.insert(slot.endpoint.id.clone(), slot);
        }
        for (id, mut slot) in known {
            if !slot.in_flight.is_empty() {
                slot.health = Health::Gone;
                slots.insert(id, slot);
            }
        }
        self.slots = slots.into_values().collect();
        self.refresh();
    }

    /// Returns an endpoint of the list.
    pub fn endpoint(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.slot(id).map(|slot| &slot.endpoint)
    }

    /// Tells whether an endpoint is leaving or no longer listed.
    pub fn is_leaving(&self, id: &EndpointId) -> bool {
        let slot = self.slot(id);
        slot.is_none_or(|slot| matches!(slot.health, Health::Leaving | Health::Gone))
    }

    /// Tells whether an endpoint failed and has not shown life since.
    pub fn is_failed(&self, id: &EndpointId) -> bool {
        let slot = self.slot(id);
        slot.is_some_and(|slot| matches!(slot.health, Health::Failed { .. }))
    }

    /// Returns the endpoints of a service that this daemon uses.
    pub fn subset(&self, service: &ServiceName) -> impl Iterator<Item = &EndpointId> {
        let indices = self.pools.get(service).map_or(&[][..], |pool| &pool.subset);
        indices.iter().map(|index| &self.slots[*index].endpoint.id)
    }

    /// Returns the endpoints of any service that this daemon uses.
    pub fn used_endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        let indices = self.pools.values().flat_map(|pool| &pool.subset);
        indices.map(|index| &self.slots[*index].endpoint.id)
    }

    /// Gives an endpoint no new work until it is gone from the list.
    pub fn mark_leaving(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        deadline: Option<Timestamp>,
        journal: &mut Journal,
    ) {
        let Some(slot) = self.slot_mut(id) else {
            return;
        };
        if matches!(slot.health, Health::Leaving | Health::Gone) {
            return;
        }
        slot.health = Health::Leaving;
        let decision = Decision::new(now, DecisionKind::Membership, "no-new-work", "leaving")
            .with("endpoint", id)
            .with("in_flight", slot.in_flight.len())
            .with("deadline", deadline.unwrap_or(Timestamp::NEVER));
        journal.record(decision);
    }

    /// Gives an endpoint no work until it reports again or a trial request succeeds.
    pub fn mark_failed(&mut self, now: Timestamp, id: &EndpointId, journal: &mut Journal) {
        let Some(slot) = self.slot_mut(id) else {
            return;
        };
        if matches!(slot.health, Health::Leaving | Health::Gone) {
            return;
        }
        slot.on_failed(now);
        let mut decision = Decision::new(now, DecisionKind::Membership, "no-work", "failed")
            .with("endpoint", id)
            .with("in_flight", slot.in_flight.len());
        if let Some(probe_at) = slot.health.probe_at() {
            decision = decision.with("probe_at", probe_at);
        }
        journal.record(decision);
    }

    /// Takes in a load report; late and repeated ones have no effect.
    pub fn on_load(&mut self, now: Timestamp, report: &LoadReport) {
        let Some(slot) = self.slot_mut(&report.endpoint) else {
            return;
        };
        if slot.on_load(now, report) && slot.endpoint.services != report.services {
            slot.endpoint.services.clone_from(&report.services);
            self.refresh();
        }
    }

    /// Takes in a cache report; late and repeated ones have no effect.
    pub fn on_cache(&mut self, now: Timestamp, report: &CacheReport) {
        if let Some(slot) = self.slot_mut(&report.endpoint) {
            slot.cache.on_report(now, report);
        }
    }

    /// Chooses the endpoint for an attempt.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NoEndpoint`] if every endpoint of the service is full, leaving,
    /// failed or excluded, with the time after which one is expected.
    pub fn choose(
        &mut self,
        now: Timestamp,
        query: &RouteQuery<'_>,
        journal: &mut Journal,
    ) -> Result<Route, Refusal> {
        let usable = self.usable(now, query);
        let scores = self.scores(now, query, &usable);
        let best = scores.iter().min_by_key(|score| score.cost).copied();
        let Some(best) = best else {
            let refusal = self.no_endpoint(now, query);
            journal.record(selection::refused(now, query, &refusal));
            return Err(refusal);
        };
        journal.record(self.chosen(now, query, &best, &scores, usable.len()));
        let slot = &mut self.slots[best.candidate.slot];
        slot.on_chosen(now, query.attempt, query.isolated);
        Ok(Route {
            endpoint: slot.endpoint.id.clone(),
            address: slot.endpoint.address,
            expected_first_token: best.first_token,
            expected_cached: best.cached,
        })
    }

    /// Takes in that an attempt was sent to the endpoint of its route.
    pub fn started(
        &mut self,
        now: Timestamp,
        attempt: &AttemptId,
        route: &Route,
        request: &Request,
    ) {
        if self.attempts.contains_key(attempt) {
            self.finished(now, attempt);
        }
        let Some(slot) = self.slot_mut(&route.endpoint) else {
            return;
        };
        let uncached = request.prompt.minus(route.expected_cached);
        slot.on_started(now, attempt, uncached, &request.prefix);
        let placed = Placed {
            endpoint: route.endpoint.clone(),
            keys: self.popularity.add(&request.prefix),
        };
        self.attempts.insert(attempt.clone(), placed);
    }

    /// Takes in that an attempt's first token has come.
    pub fn first_token(&mut self, _now: Timestamp, attempt: &AttemptId) {
        let Some(placed) = self.attempts.get(attempt) else {
            return;
        };
        let id = placed.endpoint.clone();
        if let Some(slot) = self.slot_mut(&id) {
            slot.on_first_token(attempt);
        }
    }

    /// Takes in that an attempt has ended in any way; a repetition has no effect.
    pub fn finished(&mut self, now: Timestamp, attempt: &AttemptId) {
        let Some(placed) = self.attempts.remove(attempt) else {
            for slot in &mut self.slots {
                slot.release(attempt);
            }
            return;
        };
        self.popularity.remove(&placed.keys);
        if let Some(slot) = self.slot_mut(&placed.endpoint) {
            slot.on_finished(now, attempt);
        }
    }

    /// Returns this daemon's attempts on an endpoint.
    pub fn in_flight(&self, endpoint: &EndpointId) -> impl Iterator<Item = &AttemptId> {
        self.slot(endpoint)
            .into_iter()
            .flat_map(|slot| slot.in_flight.keys())
    }

    /// Returns the time in which the first token of a request can be expected.
    ///
    /// Returns `None` if the service has no endpoint that may get work.
    pub fn expected_first_token(&self, now: Timestamp, request: &Request) -> Option<Duration> {
        let pool = self.pools.get(&request.service)?;
        let is_plain = self.is_plain(&request.service);
        let among = |group: &[usize]| {
            let slots = group.iter().map(|index| &self.slots[*index]);
            slots
                .filter(|slot| slot.health == Health::Usable)
                .map(|slot| slot.expected_first_token(now, request, is_plain))
                .min()
        };
        pool.groups().into_iter().find_map(among)
    }

    fn is_plain(&self, service: &ServiceName) -> bool {
        self.system
            .service(service)
            .is_some_and(|service| service.kind == ServiceKind::Plain)
    }

    fn refresh(&mut self) {
        for slot in &mut self.slots {
            slot.round_trip = self.system.latency(&self.zone, &slot.endpoint.zone) * 2;
        }
        let is_peer = |peer: &&Peer| self.is_near(&peer.zone);
        let others = self.known_peers.iter().filter(is_peer);
        let others = others.map(|peer| peers::hash_of(&peer.daemon));
        self.peers = others.filter(|peer| *peer != self.hash).collect();
        let choose = |near: &[usize]| {
            peers::subset(self.hash, &self.peers, self.subset_size, &self.slots, near)
        };
        let is_near = |slot: &Slot| self.is_near(&slot.endpoint.zone);
        self.pools = pool::build(&self.slots, is_near, choose);
    }

    /// Tells whether a zone is of this daemon's region; a zone that is not configured counts.
    fn is_near(&self, zone: &AvailabilityZone) -> bool {
        match (
            self.system.region_of(&self.zone),
            self.system.region_of(zone),
        ) {
            (Some(own), Some(other)) => own == other,
            _ => true,
        }
    }

    fn index(&self, id: &EndpointId) -> Option<usize> {
        self.slots
            .binary_search_by(|slot| slot.endpoint.id.cmp(id))
            .ok()
    }

    fn slot(&self, id: &EndpointId) -> Option<&Slot> {
        self.index(id).map(|index| &self.slots[index])
    }

    fn slot_mut(&mut self, id: &EndpointId) -> Option<&mut Slot> {
        self.index(id).map(|index| &mut self.slots[index])
    }
}
