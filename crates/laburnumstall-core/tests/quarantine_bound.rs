//! The bound on endpoints lost to one request, under seeded interleavings.
//!
//! Several entries run a request that crashes every endpoint, its resends, and harmless
//! requests. Suspicions reach every peer before a suspect is retried; other messages are
//! delayed, duplicated, reordered or lost.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use laburnumstall_core::prelude::*;
use laburnumstall_core::quarantine::{Quarantine, Suspicion, Trial, Verdict};
use quickcheck::{Gen, QuickCheck};

const POISON: Fingerprint = Fingerprint(0);
const ENDPOINTS: u64 = 24;
const CASES: u64 = 1_000;

#[derive(Debug, Clone)]
struct Running {
    entry: usize,
    endpoint: u64,
    request: Fingerprint,
    is_trial: bool,
    ends: Timestamp,
}

struct Cluster {
    rng: fastrand::Rng,
    now: Timestamp,
    entries: Vec<Quarantine>,
    waiting: Vec<(usize, Fingerprint, Timestamp)>,
    running: Vec<Running>,
    delayed: Vec<(usize, Suspicion)>,
    crashed: BTreeSet<u64>,
    done: BTreeMap<Fingerprint, u32>,
    refused: BTreeMap<Fingerprint, u32>,
}

impl Cluster {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let entries = (0..rng.usize(2..6)).map(|n| Quarantine::new(&daemon(n)));
        Self {
            entries: entries.collect(),
            rng,
            now: Timestamp::ZERO,
            waiting: Vec::new(),
            running: Vec::new(),
            delayed: Vec::new(),
            crashed: BTreeSet::new(),
            done: BTreeMap::new(),
            refused: BTreeMap::new(),
        }
    }

    fn any_entry(&mut self) -> usize {
        self.rng.usize(..self.entries.len())
    }

    fn submit(&mut self, request: Fingerprint) {
        let entry = self.any_entry();
        self.waiting.push((entry, request, self.now));
    }

    /// Sends a request to an endpoint; a suspect goes to one without another suspect.
    fn run(&mut self, entry: usize, request: Fingerprint, is_trial: bool, endpoint: Option<u64>) {
        let holds_trial = |e: u64| self.running.iter().any(|r| r.endpoint == e && r.is_trial);
        let occupied = self.entries[entry].suspect_endpoints(self.now);
        let is_occupied = |e: u64| is_trial && (holds_trial(e) || occupied.contains(&id(e)));
        let free: Vec<u64> = (0..ENDPOINTS)
            .filter(|e| !self.crashed.contains(e) && !is_occupied(*e))
            .collect();
        let endpoint = endpoint.or_else(|| self.rng.choice(&free).copied());
        let Some(endpoint) = endpoint else {
            self.waiting
                .push((entry, request, self.now.after(Duration::from_secs(1))));
            return;
        };
        let millis = self.rng.u64(1..5_000);
        self.entries[entry].on_dispatched(request, &id(endpoint));
        self.running.push(Running {
            entry,
            endpoint,
            request,
            is_trial,
            ends: self.now.after(Duration::from_millis(millis)),
        });
    }

    fn send_to_all(&mut self, from: usize, suspicion: &Suspicion) {
        let mut journal = Journal::default();
        for to in (0..self.entries.len()).filter(|to| *to != from) {
            self.entries[to].merge(self.now, suspicion, &mut journal);
            let reply = self.entries[to].reply(suspicion);
            self.entries[from].merge(self.now, &reply, &mut journal);
            if self.rng.bool() {
                self.delayed.push((to, suspicion.clone()));
            }
        }
    }

    fn crash(&mut self, endpoint: u64) {
        self.crashed.insert(endpoint);
        let (lost, kept) = self.running.drain(..).partition(|r| r.endpoint == endpoint);
        self.running = kept;
        let lost: Vec<Running> = lost;
        let mut observers: Vec<usize> = (0..self.entries.len()).collect();
        self.rng.shuffle(&mut observers);
        let mut suspicions = Vec::new();
        for entry in observers {
            let in_flight: Vec<Fingerprint> = lost
                .iter()
                .filter(|r| r.entry == entry)
                .map(|r| r.request)
                .collect();
            let quarantine = &mut self.entries[entry];
            let message = quarantine.on_crash(
                self.now,
                &id(endpoint),
                None,
                &in_flight,
                &mut Journal::default(),
            );
            suspicions.extend(message.map(|message| (entry, message)));
            self.now = self.now.after(Duration::from_millis(self.rng.u64(0..20)));
            self.waiting
                .extend(in_flight.iter().map(|f| (entry, *f, self.now)));
        }
        self.rng.shuffle(&mut suspicions);
        for (from, message) in suspicions {
            self.send_to_all(from, &message);
        }
    }

    fn handle_waiting(&mut self) {
        let (due, later) = self
            .waiting
            .drain(..)
            .partition(|(_, _, at)| *at <= self.now);
        self.waiting = later;
        let due: Vec<(usize, Fingerprint, Timestamp)> = due;
        for (entry, request, _) in due {
            match self.entries[entry].verdict(self.now, request) {
                Verdict::Clear => self.run(entry, request, false, None),
                Verdict::Quarantined => self.handle_quarantined(entry, request),
                Verdict::Suspect => self.handle_suspect(entry, request),
            }
        }
    }

    fn handle_quarantined(&mut self, entry: usize, request: Fingerprint) {
        match self.entries[entry].held_until(self.now, request) {
            Some(at) => self.waiting.push((entry, request, at)),
            None => *self.refused.entry(request).or_default() += 1,
        }
    }

    fn handle_suspect(&mut self, entry: usize, request: Fingerprint) {
        match self.entries[entry].begin_trial(self.now, request) {
            Trial::Run => self.run(entry, request, true, None),
            Trial::Wait(at) => self.waiting.push((entry, request, at)),
            Trial::Notify(suspicion) => {
                self.send_to_all(entry, &suspicion);
                self.waiting.push((entry, request, self.now));
            }
        }
    }

    fn step(&mut self) {
        self.now = self.now.after(Duration::from_millis(self.rng.u64(1..200)));
        self.handle_waiting();
        while let Some(index) = self.running.iter().position(|r| r.ends <= self.now) {
            let ended = self.running[index].clone();
            if ended.request == POISON {
                self.crash(ended.endpoint);
                continue;
            }
            self.running.remove(index);
            let entry = &mut self.entries[ended.entry];
            entry.on_ended(ended.request, &id(ended.endpoint));
            entry.on_survived(self.now, ended.request);
            *self.done.entry(ended.request).or_default() += 1;
        }
        self.gossip();
    }

    /// Delivers delayed messages in random order; drops some gossip.
    fn gossip(&mut self) {
        for from in 0..self.entries.len() {
            let Some(gossip) = self.entries[from].take_gossip() else {
                continue;
            };
            for to in (0..self.entries.len()).filter(|to| *to != from) {
                if self.rng.u8(..10) > 0 {
                    self.delayed.push((to, gossip.clone()));
                }
            }
        }
        self.rng.shuffle(&mut self.delayed);
        let kept = self.rng.usize(..=self.delayed.len());
        for (to, message) in self.delayed.split_off(kept) {
            self.entries[to].merge(self.now, &message, &mut Journal::default());
        }
    }
}

fn daemon(number: usize) -> DaemonId {
    DaemonId {
        vm: format!("vm-{number}").parse().unwrap(),
        incarnation: Incarnation(1),
    }
}

fn id(endpoint: u64) -> EndpointId {
    format!("ep-{endpoint}").parse().unwrap()
}

/// Fails without `claim_running`, and if `Trials::turn` lets another daemon retry before the
/// claim's holder.
#[test]
fn two_endpoints_lost_at_most() {
    fn holds(seed: u64) -> bool {
        let mut cluster = Cluster::new(seed);
        let start_endpoints = cluster.rng.u64(1..=4);
        for harmless in 1..=30 {
            let entry = cluster.any_entry();
            cluster.run(
                entry,
                Fingerprint(harmless),
                false,
                Some(harmless % start_endpoints),
            );
        }
        for copy in 0..start_endpoints + cluster.rng.u64(..4) {
            let entry = cluster.any_entry();
            cluster.run(entry, POISON, false, Some(copy % start_endpoints));
        }
        let resends = cluster.rng.usize(0..20);
        for step in 0..3_000 {
            if step < resends * 10 && step % 10 == 0 && !cluster.crashed.is_empty() {
                cluster.submit(POISON);
            }
            cluster.step();
        }
        let is_bounded = cluster.crashed.len() as u64 <= start_endpoints.max(2);
        let is_refused = cluster.refused.keys().all(|f| *f == POISON);
        let all_done = (1..=30).all(|f| cluster.done.contains_key(&Fingerprint(f)));
        is_bounded && is_refused && all_done && !cluster.refused.is_empty()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 7))
        .tests(CASES)
        .quickcheck(holds as fn(u64) -> bool);
}

/// Fails if `keep_latest` accepts an older record, or if `group` depends on arrival order.
#[test]
fn merge_is_order_free() {
    fn holds(seed: u64) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut journal = Journal::default();
        let mut suspicions = Vec::new();
        for _ in 0..rng.usize(1..12) {
            let mut source = Quarantine::new(&daemon(rng.usize(..3)));
            let now = Timestamp::from_millis(rng.u64(..20_000));
            let of = id(rng.u64(..4));
            let before = Duration::from_millis(rng.u64(..5_000));
            let reached_at = rng
                .bool()
                .then(|| Timestamp::ZERO.after(now.since(Timestamp::ZERO).saturating_sub(before)));
            let in_flight: Vec<Fingerprint> = (0..rng.u64(..4))
                .map(|_| Fingerprint(rng.u64(..6)))
                .collect();
            suspicions.extend(source.on_crash(now, &of, reached_at, &in_flight, &mut journal));
            source.on_survived(
                now.after(Duration::from_millis(5)),
                Fingerprint(rng.u64(..6)),
            );
            suspicions.extend(source.take_gossip());
        }
        let now = Timestamp::from_millis(30_000);
        let mut first = Quarantine::new(&daemon(8));
        let mut second = Quarantine::new(&daemon(8));
        for message in &suspicions {
            first.merge(now, message, &mut journal);
        }
        rng.shuffle(&mut suspicions);
        for message in suspicions.iter().chain(&suspicions) {
            second.merge(now, message, &mut journal);
        }
        first.snapshot() == second.snapshot()
            && (0..6)
                .all(|f| first.verdict(now, Fingerprint(f)) == second.verdict(now, Fingerprint(f)))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 11))
        .tests(CASES)
        .quickcheck(holds as fn(u64) -> bool);
}
