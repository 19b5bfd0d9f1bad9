//! Routing: selects the endpoint that runs an attempt.
//!
//! A daemon has one [`Router`]. It receives the endpoint list, delayed load and cache
//! reports, and the starts and ends of this daemon's attempts. For each attempt it picks
//! a few candidates (see `candidates`), scores them mainly by the expected time to first
//! token (see `score`), and records the choice with its alternatives.

mod cache;
mod candidates;
mod endpoint_state;
mod health;
mod peers;
mod pool;
mod popularity;
mod query;
mod score;
mod selection;

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;

use crate::prelude::*;
pub use cache::CacheReport;
use endpoint_state::EndpointState;
use health::Health;
pub use peers::Peer;
use pool::Pool;
pub use pool::SUBSET_SIZE;
use popularity::Popularity;
pub use query::{Route, RouteQuery};

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
    /// Sorted by endpoint id.
    states: Vec<EndpointState>,
    pools: BTreeMap<ServiceName, Pool>,
    attempts: BTreeMap<AttemptId, RoutedAttempt>,
    popularity: Popularity,
}

/// The endpoint of an in-flight attempt, and the prefixes under which it is counted.
#[derive(Debug, Clone)]
struct RoutedAttempt {
    endpoint: EndpointId,
    keys: Vec<BlockHash>,
}

impl Router {
    /// Creates the router of a daemon in a zone, without endpoints.
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
            states: Vec::new(),
            pools: BTreeMap::new(),
            attempts: BTreeMap::new(),
            popularity: Popularity::default(),
        }
    }

    /// Sets the number of endpoints of one service that the daemon uses; at least one.
    pub fn with_subset_size(mut self, size: usize) -> Self {
        self.subset_size = size.max(1);
        self
    }

    /// Sets the latencies between zones and the kinds of services.
    pub fn set_system(&mut self, system: &System) {
        self.system = system.clone();
        self.refresh();
    }

    /// Sets the list of live daemons, with or without this one.
    ///
    /// Daemons of one region share its endpoints: each uses a subset, and each retries
    /// suspects on the endpoints assigned to it.
    pub fn set_peers(&mut self, peers: &[Peer]) {
        self.known_peers = peers.to_vec();
        self.refresh();
    }

    /// Replaces the list of endpoints; those that remain listed keep their state.
    ///
    /// An endpoint whose address changed is a new process, and its state is reset.
    pub fn set_endpoints(&mut self, _now: Timestamp, endpoints: Vec<Endpoint>) {
        let mut known: BTreeMap<EndpointId, EndpointState> = std::mem::take(&mut self.states)
            .into_iter()
            .map(|state| (state.endpoint.id.clone(), state))
            .collect();
        let mut states = BTreeMap::new();
        for endpoint in endpoints {
            let state = match known.remove(&endpoint.id) {
                Some(state) => state.with_endpoint(endpoint),
                None => EndpointState::new(endpoint),
            };
            states.insert(state.endpoint.id.clone(), state);
        }
        for (id, mut state) in known {
            if !state.in_flight.is_empty() {
                state.health = Health::Removed;
                states.insert(id, state);
            }
        }
        self.states = states.into_values().collect();
        self.refresh();
    }

    /// Returns an endpoint that is listed or still runs attempts.
    pub fn endpoint(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.state(id).map(|state| &state.endpoint)
    }

    /// Returns whether an endpoint is leaving or no longer listed.
    pub fn is_leaving(&self, id: &EndpointId) -> bool {
        let state = self.state(id);
        state.is_none_or(|state| matches!(state.health, Health::Leaving | Health::Removed))
    }

    /// Returns whether an endpoint failed and has not recovered since.
    pub fn is_failed(&self, id: &EndpointId) -> bool {
        let state = self.state(id);
        state.is_some_and(|state| matches!(state.health, Health::Failed { .. }))
    }

    /// Returns whether an endpoint is listed, and not only known by attempts that have not ended.
    pub fn is_listed(&self, id: &EndpointId) -> bool {
        let state = self.state(id);
        state.is_some_and(|state| state.health != Health::Removed)
    }

    /// Returns whether [`choose`](Self::choose) would find an endpoint that has not failed.
    pub fn can_route(&self, now: Timestamp, query: &RouteQuery<'_>) -> bool {
        let usable = self.usable(now, query);
        let mut healths = usable.iter().map(|index| &self.states[*index].health);
        healths.any(|health| *health == Health::Usable)
    }

    /// Returns the endpoints of a service that this daemon uses.
    pub fn subset(&self, service: &ServiceName) -> impl Iterator<Item = &EndpointId> {
        let indices = self.pools.get(service).map_or(&[][..], |pool| &pool.subset);
        indices.iter().map(|index| &self.states[*index].endpoint.id)
    }

    /// Returns the endpoints of any service that this daemon uses.
    pub fn used_endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        let indices = self.pools.values().flat_map(|pool| &pool.subset);
        indices.map(|index| &self.states[*index].endpoint.id)
    }

    /// Stops routing attempts to an endpoint until it is removed from the list.
    pub fn mark_leaving(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        deadline: Option<Timestamp>,
        journal: &mut Journal,
    ) {
        let Some(state) = self.state_mut(id) else {
            return;
        };
        if matches!(state.health, Health::Leaving | Health::Removed) {
            return;
        }
        state.health = Health::Leaving;
        let decision = Decision::new(now, DecisionKind::Membership, "no-new-work", "leaving")
            .with("endpoint", id)
            .with("in_flight", state.in_flight.len())
            .with("deadline", deadline.unwrap_or(Timestamp::NEVER));
        journal.record(decision);
    }

    /// Stops routing attempts to an endpoint until it reports again or a probe request succeeds.
    pub fn mark_failed(&mut self, now: Timestamp, id: &EndpointId, journal: &mut Journal) {
        let Some(state) = self.state_mut(id) else {
            return;
        };
        if matches!(state.health, Health::Leaving | Health::Removed) {
            return;
        }
        state.on_failed(now);
        let mut decision = Decision::new(now, DecisionKind::Membership, "no-work", "failed")
            .with("endpoint", id)
            .with("in_flight", state.in_flight.len());
        if let Some(probe_at) = state.health.probe_at() {
            decision = decision.with("probe_at", probe_at);
        }
        journal.record(decision);
    }

    /// Applies a load report; outdated and duplicate ones have no effect.
    pub fn on_load(&mut self, now: Timestamp, report: &LoadReport) {
        let Some(state) = self.state_mut(&report.endpoint) else {
            return;
        };
        if state.on_load(now, report) && state.endpoint.services != report.services {
            state.endpoint.services.clone_from(&report.services);
            self.refresh();
        }
    }

    /// Applies a cache report; outdated and duplicate ones have no effect.
    pub fn on_cache(&mut self, now: Timestamp, report: &CacheReport) {
        if let Some(state) = self.state_mut(&report.endpoint) {
            state.cache.on_report(now, report);
        }
    }

    /// Chooses the endpoint for an attempt.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NoEndpoint`] if every endpoint of the service is full, leaving,
    /// failed or excluded, with the time after which one is expected to be usable.
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
            journal.record(selection::refusal_decision(now, query, &refusal));
            return Err(refusal);
        };
        journal.record(self.choice_decision(now, query, &best, &scores, usable.len()));
        let state = &mut self.states[best.candidate.index];
        state.on_chosen(now, query.attempt, query.isolated);
        Ok(Route {
            endpoint: state.endpoint.id.clone(),
            address: state.endpoint.address,
            expected_first_token: best.first_token,
            expected_cached: best.cached,
        })
    }

    /// Records that an attempt was sent to the endpoint of its route.
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
        let Some(state) = self.state_mut(&route.endpoint) else {
            return;
        };
        let uncached = request.prompt.minus(route.expected_cached);
        state.on_started(now, attempt, uncached, &request.prefix);
        let routed = RoutedAttempt {
            endpoint: route.endpoint.clone(),
            keys: self.popularity.add(&request.prefix),
        };
        self.attempts.insert(attempt.clone(), routed);
    }

    /// Records that an attempt's first token has arrived.
    pub fn first_token(&mut self, _now: Timestamp, attempt: &AttemptId) {
        let Some(routed) = self.attempts.get(attempt) else {
            return;
        };
        let id = routed.endpoint.clone();
        if let Some(state) = self.state_mut(&id) {
            state.on_first_token(attempt);
        }
    }

    /// Records that an attempt has ended, whatever its result; repeated calls have no effect.
    pub fn finished(&mut self, now: Timestamp, attempt: &AttemptId) {
        let Some(routed) = self.attempts.remove(attempt) else {
            for state in &mut self.states {
                state.release_reservation(attempt);
            }
            return;
        };
        self.popularity.remove(&routed.keys);
        if let Some(state) = self.state_mut(&routed.endpoint) {
            state.on_finished(now, attempt);
        }
    }

    /// Returns this daemon's attempts on an endpoint.
    pub fn in_flight(&self, endpoint: &EndpointId) -> impl Iterator<Item = &AttemptId> {
        self.state(endpoint)
            .into_iter()
            .flat_map(|state| state.in_flight.keys())
    }

    /// Returns the expected time to the first token of a request.
    ///
    /// Returns `None` if the service has no usable endpoint, and none that the request may probe.
    pub fn expected_first_token(&self, now: Timestamp, request: &Request) -> Option<Duration> {
        let usable = self.first_token_at(now, request, |health| *health == Health::Usable);
        // Without usable endpoints, only an admitted request can find that one has recovered.
        usable.or_else(|| {
            let may_probe = |health: &Health| request.idempotent && health.is_probe_due(now);
            self.first_token_at(now, request, may_probe)
        })
    }

    /// Returns the shortest expected time among the first group with candidates.
    fn first_token_at(
        &self,
        now: Timestamp,
        request: &Request,
        is_candidate: impl Fn(&Health) -> bool,
    ) -> Option<Duration> {
        let pool = self.pools.get(&request.service)?;
        let is_plain = self.is_plain(&request.service);
        let among = |group: &[usize]| {
            let states = group.iter().map(|index| &self.states[*index]);
            states
                .filter(|state| is_candidate(&state.health))
                .map(|state| state.expected_first_token(now, request, is_plain))
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
        for state in &mut self.states {
            state.round_trip = self.system.latency(&self.zone, &state.endpoint.zone) * 2;
        }
        let is_peer = |peer: &&Peer| self.is_in_region(&peer.zone);
        let others = self.known_peers.iter().filter(is_peer);
        let others = others.map(|peer| peers::hash_of(&peer.daemon));
        self.peers = others.filter(|peer| *peer != self.hash).collect();
        let choose = |region: &[usize]| {
            peers::subset(
                self.hash,
                &self.peers,
                self.subset_size,
                &self.states,
                region,
            )
        };
        let is_in_region = |state: &EndpointState| self.is_in_region(&state.endpoint.zone);
        self.pools = pool::build(&self.states, is_in_region, choose);
    }

    /// Returns whether a zone is in this daemon's region; unconfigured zones count as inside it.
    fn is_in_region(&self, zone: &AvailabilityZone) -> bool {
        match (
            self.system.region_of(&self.zone),
            self.system.region_of(zone),
        ) {
            (Some(own), Some(other)) => own == other,
            _ => true,
        }
    }

    fn index(&self, id: &EndpointId) -> Option<usize> {
        self.states
            .binary_search_by(|state| state.endpoint.id.cmp(id))
            .ok()
    }

    fn state(&self, id: &EndpointId) -> Option<&EndpointState> {
        self.index(id).map(|index| &self.states[index])
    }

    fn state_mut(&mut self, id: &EndpointId) -> Option<&mut EndpointState> {
        self.index(id).map(|index| &mut self.states[index])
    }
}
