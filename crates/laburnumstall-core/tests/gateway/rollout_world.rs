//! Daemons, endpoints of two software versions and a store in virtual time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::stream_origins::gossip;
use crate::support::{at, bounds, call_attributes, daemon, endpoint, member, rules};
use laburnumstall_core::gateway::{
    AdmittedCall, CallAttempt, CallFailure, EndpointRecord, FailureAction, Gateway, MemberRecord,
    OrderEntry, PeerMessage, PeerProtocol, RolloutBounds, RolloutOrder, RolloutPhase,
    StoredRollout,
};
use laburnumstall_core::prelude::*;
use laburnumstall_core::store::{StoreEra, StorePosition};

pub(crate) const LIMITS: RolloutBounds = RolloutBounds {
    canary_share: 0.1,
    canary_tolerance: 50,
    rollback: Duration::from_secs(5),
};
/// Duration of most orders.
pub(crate) const DURATION_MS: u64 = 12_000;
/// When the endpoints of the new version are registered.
const NEW_ENDPOINTS_MS: u64 = 1_500;
/// Time within which all daemons read a change.
const READ_MS: u64 = 600;
const STEP_MS: u64 = 5;
const ROUTES: [(&str, f64); 3] = [("read", 60.0), ("order", 40.0), ("public", 120.0)];

pub(crate) fn app() -> ServiceName {
    "app".parse().unwrap()
}

pub(crate) fn order(revision: u64, to: &str) -> RolloutOrder {
    RolloutOrder {
        id: StorePosition {
            era: StoreEra(1),
            version: StoreVersion(revision),
        },
        to: to.parse().unwrap(),
        duration: Duration::from_millis(DURATION_MS),
    }
}

/// What a response depends on.
pub(crate) struct Run {
    pub(crate) ms: u64,
    pub(crate) route: &'static str,
    pub(crate) is_new: bool,
    /// Calls that the endpoint runs, as a part of its slots.
    pub(crate) load: f64,
    pub(crate) endpoint: usize,
}

/// Returns by what factor a response takes longer, and how likely it fails.
pub(crate) type Quality = Box<dyn Fn(&Run) -> (f64, f64)>;

pub(crate) struct World {
    pub(crate) ms: u64,
    pub(crate) duration_ms: u64,
    pub(crate) daemons: Vec<Gateway>,
    /// Daemons that reach neither peers nor the store.
    pub(crate) cut: BTreeSet<usize>,
    /// Daemons that take themselves for holders of the duties.
    pub(crate) holders: Vec<usize>,
    /// States in the order in which they were written.
    pub(crate) phases: Vec<RolloutPhase>,
    /// Bytes of evidence that each daemon received.
    pub(crate) received_bytes: Vec<usize>,
    /// Daemons of the earlier build.
    pub(crate) earlier: BTreeSet<usize>,
    pub(crate) is_store_up: bool,
    pub(crate) stored: Option<(StoredRollout, StoreVersion)>,
    /// Time, whether the version is the new one, and whether the response was bad.
    pub(crate) sends: Vec<(u64, bool, bool)>,
    /// When an endpoint process crashes.
    pub(crate) crashes: Vec<(u64, usize)>,
    pub(crate) calls_per_ms: Box<dyn Fn(u64) -> f64>,
    pub(crate) has_gossip: bool,
    quality: Quality,
    endpoints: Vec<EndpointRecord>,
    running: BTreeMap<(u64, u64), (usize, AdmittedCall, CallAttempt, bool)>,
    reads: VecDeque<(u64, StoredRollout, StoreVersion)>,
    due_calls: f64,
    calls: u64,
    random: u64,
}

impl World {
    /// Starts daemons with ten endpoints of each version, and orders a rollout at time 0.
    pub(crate) fn new(daemons: u32, seed: u64, quality: Quality) -> Self {
        let record = |n: usize| {
            let mut record = endpoint(&format!("e{n}"), "app", "north-a");
            record.version = Some(if n < 10 { "v1" } else { "v2" }.parse().unwrap());
            record.slots = 8;
            record
        };
        let endpoints: Vec<EndpointRecord> = (0..20).map(record).collect();
        let mut world = Self {
            ms: 0,
            duration_ms: DURATION_MS,
            daemons: (1..=daemons).map(|n| start(n, &endpoints[..10])).collect(),
            cut: BTreeSet::new(),
            holders: vec![0],
            phases: Vec::new(),
            received_bytes: vec![0; daemons as usize],
            earlier: BTreeSet::new(),
            is_store_up: true,
            stored: None,
            sends: Vec::new(),
            crashes: Vec::new(),
            calls_per_ms: Box::new(|_| 0.3),
            has_gossip: daemons <= 86,
            quality,
            endpoints,
            running: BTreeMap::new(),
            reads: VecDeque::new(),
            due_calls: 0.0,
            calls: 0,
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
        };
        if world.has_gossip {
            world.introduce();
        }
        world
    }

    /// Replaces a daemon by one of the earlier build.
    pub(crate) fn make_earlier(&mut self, index: usize) {
        self.earlier.insert(index);
        let mut bounds = bounds();
        bounds.rollout = None;
        self.daemons[index].set_bounds(bounds);
        self.introduce();
    }

    fn introduce(&mut self) {
        let members: Vec<_> = (1..=self.daemons.len() as u32).map(member).collect();
        for gateway in &mut self.daemons {
            for (index, member) in members.iter().enumerate() {
                let record = MemberRecord {
                    member: member.clone(),
                    supports_extensions: true,
                    supports_quarantine: true,
                    protocol: match self.earlier.contains(&index) {
                        true => PeerProtocol::STORED_VERSIONS,
                        false => PeerProtocol::NEWEST,
                    },
                };
                gateway.on_member_record(at(0), record);
            }
        }
    }

    /// Replaces a daemon by one that has just started.
    pub(crate) fn restart(&mut self, index: usize) {
        let endpoints = self.listed().to_vec();
        self.daemons[index] = start(index as u32 + 1, &endpoints);
        self.running.retain(|_, (daemon, ..)| *daemon != index);
        self.introduce();
        let now = at(self.ms);
        let entry = OrderEntry::Order(self.order());
        self.daemons[index].on_rollout_order(now, &app(), entry);
    }

    fn order(&self) -> RolloutOrder {
        RolloutOrder {
            duration: Duration::from_millis(self.duration_ms),
            ..order(7, "v2")
        }
    }

    fn listed(&self) -> &[EndpointRecord] {
        let count = if self.ms < NEW_ENDPOINTS_MS { 10 } else { 20 };
        &self.endpoints[..count]
    }

    pub(crate) fn phase(&self) -> Option<RolloutPhase> {
        self.stored.as_ref().map(|(stored, _)| stored.phase)
    }

    /// Returns all calls sent until the deadline, and those to the new version.
    pub(crate) fn exposure(&self) -> (usize, usize) {
        let before = self.sends.iter().filter(|(ms, ..)| *ms < self.duration_ms);
        let new = before.clone().filter(|(_, is_new, _)| *is_new).count();
        (before.count(), new)
    }

    /// Returns the time of the last call sent to the new version, and of its bad response with a
    /// number.
    pub(crate) fn last_new_and_bad(&self, number: usize) -> (u64, Option<u64>) {
        let new = self.sends.iter().filter(|(_, is_new, _)| *is_new);
        let last = new.clone().map(|(ms, ..)| *ms).max().unwrap_or(0);
        let bad = new.filter(|(_, _, is_bad)| *is_bad).nth(number - 1);
        (last, bad.map(|(ms, ..)| *ms))
    }

    pub(crate) fn run_until(&mut self, ms: u64) {
        while self.ms < ms {
            self.step();
        }
    }

    fn step(&mut self) {
        let (ms, now) = (self.ms, at(self.ms));
        for index in 0..self.daemons.len() {
            // Daemons read the order at different times.
            if ms == (index as u64 * 37 % READ_MS) / STEP_MS * STEP_MS {
                let entry = OrderEntry::Order(self.order());
                self.daemons[index].on_rollout_order(now, &app(), entry);
            }
            if ms == NEW_ENDPOINTS_MS {
                let listed = self.listed().to_vec();
                self.daemons[index].on_endpoints(now, listed);
            }
        }
        while self.reads.front().is_some_and(|(due, ..)| *due <= ms) {
            let (_, stored, version) = self.reads.pop_front().unwrap();
            for index in self.connected() {
                let stored = Some((Some(stored.clone()), version));
                self.daemons[index].on_stored_rollout(now, &app(), stored);
            }
        }
        if ms.is_multiple_of(250) {
            self.tick(now);
        }
        if ms.is_multiple_of(100) {
            self.exchange(now);
        }
        self.crash(now);
        self.finish_calls(now);
        self.due_calls += (self.calls_per_ms)(ms) * STEP_MS as f64;
        while self.due_calls >= 1.0 {
            self.due_calls -= 1.0;
            self.begin_call(now);
        }
        self.ms += STEP_MS;
    }

    fn connected(&self) -> Vec<usize> {
        let all = 0..self.daemons.len();
        all.filter(|index| !self.cut.contains(index)).collect()
    }

    fn tick(&mut self, now: Timestamp) {
        let connected = self.connected();
        for own in &connected {
            for peer in connected
                .iter()
                .filter(|peer| self.has_gossip && *peer != own)
            {
                self.daemons[*own].on_gossip(now, &daemon(*peer as u32 + 1), gossip(now.0));
            }
            if self.is_store_up {
                self.daemons[*own].on_store_confirmed(now, now);
            }
        }
        self.daemons
            .iter_mut()
            .for_each(|gateway| gateway.tick(now));
        for holder in self.holders.clone() {
            if !self.is_store_up || self.cut.contains(&holder) {
                continue;
            }
            for write in self.daemons[holder].rollouts_to_store(now) {
                let current = self.stored.as_ref().map(|(_, version)| *version);
                if write.expected == current {
                    let version = StoreVersion(current.map_or(10, |version| version.get() + 1));
                    self.phases.push(write.stored.phase);
                    self.stored = Some((write.stored.clone(), version));
                    self.reads
                        .push_back((self.ms + READ_MS, write.stored, version));
                }
                let stored = self.stored.clone();
                let stored = stored.map(|(stored, version)| (Some(stored), version));
                self.daemons[holder].on_stored_rollout(now, &app(), stored);
            }
        }
    }

    fn exchange(&mut self, now: Timestamp) {
        for from in 0..self.daemons.len() {
            for broadcast in self.daemons[from].take_rollout_evidence(now) {
                let message = PeerMessage::RolloutEvidence(broadcast.evidence);
                let bytes = postcard::to_allocvec(&message).unwrap();
                for (peer, _) in &broadcast.peers {
                    let to = (0..self.daemons.len()).find(|n| daemon(*n as u32 + 1) == *peer);
                    let to = to.unwrap();
                    assert!(!self.earlier.contains(&to), "sent to an earlier build");
                    if self.cut.contains(&from) || self.cut.contains(&to) {
                        continue;
                    }
                    self.received_bytes[to] += bytes.len();
                    let Ok(PeerMessage::RolloutEvidence(evidence)) = postcard::from_bytes(&bytes)
                    else {
                        panic!("the message is not decoded");
                    };
                    let from = daemon(from as u32 + 1);
                    self.daemons[to].on_rollout_evidence(now, &from, evidence);
                }
            }
        }
    }

    /// Ends the calls at endpoints that crash now; a new process takes the place of each.
    fn crash(&mut self, now: Timestamp) {
        let due: Vec<usize> = self
            .crashes
            .extract_if(.., |(ms, _)| *ms <= self.ms)
            .map(|(_, n)| n)
            .collect();
        for n in due {
            let id = self.endpoints[n].id.clone();
            let lost: Vec<_> = self
                .running
                .extract_if(.., |_, (_, _, attempt, _)| attempt.endpoint == id)
                .collect();
            self.endpoints[n].started_at_ms += 1;
            for (_, (daemon, mut call, attempt, _)) in lost {
                let gateway = &mut self.daemons[daemon];
                let next = gateway.after_failure(now, &mut call, attempt, CallFailure::Lost);
                self.go_on(now, daemon, call, next.ok());
            }
            let listed = self.listed().to_vec();
            for gateway in &mut self.daemons {
                gateway.on_endpoints(now, listed.clone());
            }
        }
    }

    fn finish_calls(&mut self, now: Timestamp) {
        while let Some(entry) = self.running.first_entry()
            && entry.key().0 <= self.ms
        {
            let (daemon, mut call, mut attempt, is_failed) = entry.remove();
            let gateway = &mut self.daemons[daemon];
            if !is_failed {
                gateway.on_started(now, &mut call, &mut attempt);
                gateway.succeed(now, attempt);
                gateway.end(now, call, "answered", 200);
                continue;
            }
            let next = gateway.after_failure(now, &mut call, attempt, CallFailure::Failed);
            self.go_on(now, daemon, call, next.ok());
        }
    }

    fn go_on(
        &mut self,
        now: Timestamp,
        daemon: usize,
        call: AdmittedCall,
        next: Option<FailureAction>,
    ) {
        match next {
            Some(FailureAction::Retry) => self.send(now, daemon, call),
            _ => self.daemons[daemon].end(now, call, "failed", 500),
        }
    }

    fn begin_call(&mut self, now: Timestamp) {
        self.calls += 1;
        let daemon = self.random() as usize % self.daemons.len();
        let route = ROUTES[self.random() as usize % ROUTES.len()].0;
        let attributes = call_attributes(&format!("c{}", self.calls), &format!("/{route}/1"));
        if let Ok(call) = self.daemons[daemon].admit(now, attributes) {
            self.send(now, daemon, call);
        }
    }

    fn send(&mut self, now: Timestamp, daemon: usize, mut call: AdmittedCall) {
        let gateway = &mut self.daemons[daemon];
        let Ok(attempt) = gateway.select_endpoint(now, &mut call) else {
            return gateway.end(now, call, "refused", 503);
        };
        gateway.on_sent(&mut call);
        gateway.take_decisions();
        let n = self
            .endpoints
            .iter()
            .position(|known| known.id == attempt.endpoint)
            .unwrap();
        let running = self
            .running
            .values()
            .filter(|(_, _, other, _)| other.endpoint == attempt.endpoint);
        let load = (running.count() + 1) as f64 / 8.0;
        let (route, mean) = *ROUTES
            .iter()
            .find(|(name, _)| *name == call.route.name)
            .unwrap();
        let run = Run {
            ms: self.ms,
            route,
            is_new: n >= 10,
            load,
            endpoint: n,
        };
        let (factor, failure) = (self.quality)(&run);
        let sample = mean * (0.4 - 0.6 * self.unit().max(1e-9).ln());
        let time = sample * factor * load.max(1.0);
        let is_failed = self.unit() < failure;
        self.sends
            .push((self.ms, run.is_new, is_failed || factor >= 3.0));
        let key = (
            self.ms + time as u64 + 1,
            self.calls << 8 | u64::from(call.sends),
        );
        self.running.insert(key, (daemon, call, attempt, is_failed));
    }

    fn random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random >> 11
    }

    fn unit(&mut self) -> f64 {
        (self.random() % (1 << 30)) as f64 / f64::from(1 << 30)
    }
}

fn start(number: u32, endpoints: &[EndpointRecord]) -> Gateway {
    let own = member(number);
    let mut bounds = bounds();
    bounds.rollout = Some(LIMITS);
    let mut gateway = Gateway::new(own.id.clone(), own.zone.clone(), own.caller_address, bounds);
    gateway.on_store_confirmed(at(0), at(0));
    gateway.on_rules(at(0), rules(1));
    gateway.on_endpoints(at(0), endpoints.to_vec());
    gateway
}
