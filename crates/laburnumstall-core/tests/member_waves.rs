//! Membership views of many daemons under zone losses, restarts, pauses, datagram loss and
//! registry outages.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use laburnumstall_core::membership::{
    CertificateFingerprint, Evidence, Member, MemberDigest, MemberState, Membership, PROBE_TIMEOUT,
};
use laburnumstall_core::prelude::*;

const STEP: Duration = Duration::from_millis(500);
const LIST_PERIOD: Duration = Duration::from_secs(1);
const REGISTER_PERIOD: Duration = Duration::from_secs(8);
const LEASE_TTL: Duration = Duration::from_secs(10);
const ZONES: [&str; 3] = ["a", "b", "c"];

struct Daemon {
    view: Membership,
    journal: Journal,
    paused_until: Timestamp,
    /// `None` while running; `Some(true)` if the machine failed too, not only the process.
    failed: Option<bool>,
    probes: BTreeMap<DaemonId, Timestamp>,
    is_registered: bool,
}

struct World {
    now: Timestamp,
    rng: Rng,
    daemons: Vec<Daemon>,
    /// Registrations with their lease expiry.
    registry: BTreeMap<VmId, (Member, Timestamp)>,
    registry_down: bool,
    inbox: Vec<(usize, DaemonId, MemberDigest)>,
    loss_percent: u32,
}

fn member(number: u16, incarnation: u64) -> Member {
    Member {
        id: format!("vm-{number}@{incarnation}").parse().unwrap(),
        zone: ZONES[usize::from(number) % 3].parse().unwrap(),
        peer_address: ([10, 0, 0, 1], 10_000 + number).into(),
        caller_address: ([10, 0, 0, 1], 20_000 + number).into(),
        certificate: CertificateFingerprint([0; 32]),
        leaving: false,
    }
}

fn start(member: Member) -> Daemon {
    Daemon {
        view: Membership::new(member),
        journal: Journal::default(),
        paused_until: Timestamp::ZERO,
        failed: None,
        probes: BTreeMap::new(),
        is_registered: false,
    }
}

impl World {
    fn new(seed: u64, count: u16) -> Self {
        let mut world = Self {
            now: Timestamp::from_millis(1_000),
            rng: Rng::with_seed(seed),
            daemons: (0..count).map(|n| start(member(n, 1))).collect(),
            registry: BTreeMap::new(),
            registry_down: false,
            inbox: Vec::new(),
            loss_percent: 1,
        };
        world.run_for(3 * LIST_PERIOD);
        world
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now.after(time);
        while self.now < end {
            self.step();
        }
    }

    fn is_running(&self, index: usize) -> bool {
        let daemon = &self.daemons[index];
        daemon.failed.is_none() && daemon.paused_until <= self.now
    }

    fn index_of(&self, id: &DaemonId) -> Option<usize> {
        let mut daemons = self.daemons.iter();
        daemons.position(|daemon| daemon.view.own().id == *id)
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP);
        let now = self.now;
        for (to, from, digest) in std::mem::take(&mut self.inbox) {
            if !self.is_running(to) {
                continue;
            }
            let daemon = &mut self.daemons[to];
            let journal = &mut daemon.journal;
            daemon
                .view
                .on_evidence(now, &from, Evidence::Heartbeat, journal);
            daemon.view.on_digest(now, &from, &digest, journal);
        }
        for index in 0..self.daemons.len() {
            if self.is_running(index) {
                self.use_registry(index);
                self.exchange_heartbeats(index);
                let daemon = &mut self.daemons[index];
                daemon.view.tick(now, &mut daemon.journal);
                daemon.journal.take();
            }
        }
    }

    fn use_registry(&mut self, index: usize) {
        let now = self.now;
        if !now.0.is_multiple_of(LIST_PERIOD.as_micros() as u64) {
            return;
        }
        let daemon = &mut self.daemons[index];
        if self.registry_down {
            daemon.view.on_registry_unreadable(now);
            return;
        }
        let own = daemon.view.own().clone();
        let is_first = !daemon.is_registered;
        if is_first || now.0.is_multiple_of(REGISTER_PERIOD.as_micros() as u64) {
            daemon.is_registered = true;
            let entry = (own.clone(), now.after(LEASE_TTL));
            self.registry.insert(own.id.vm, entry);
        }
        self.registry.retain(|_, (_, ends)| *ends > now);
        let members: Vec<Member> = self.registry.values().map(|(m, _)| m.clone()).collect();
        daemon.view.on_registry(now, &members, &mut daemon.journal);
    }

    /// Exchanges heartbeats and responses, and probes silent members.
    fn exchange_heartbeats(&mut self, index: usize) {
        let own = self.daemons[index].view.own().id.clone();
        for target in self.daemons[index].view.heartbeat_targets() {
            let Some(to) = self.index_of(&target) else {
                continue;
            };
            for (to, from) in [(to, index), (index, to)] {
                let is_lost = self.rng.u32(0..100) < self.loss_percent;
                if !is_lost && self.is_running(from) {
                    let digest = self.daemons[from].view.digest();
                    let id = if from == index { &own } else { &target };
                    self.inbox.push((to, id.clone(), digest));
                }
            }
        }
        let now = self.now;
        for target in self.daemons[index].view.probes_due(now) {
            let failed = self.index_of(&target).map(|to| self.daemons[to].failed);
            let runs = self.index_of(&target).is_some_and(|to| self.is_running(to));
            let daemon = &mut self.daemons[index];
            let since = *daemon.probes.entry(target.clone()).or_insert(now);
            let evidence = match failed {
                None | Some(Some(false)) => Evidence::Refused,
                _ if runs => Evidence::Heartbeat,
                _ if now.since(since) < PROBE_TIMEOUT => continue,
                _ => Evidence::Silent,
            };
            daemon.probes.remove(&target);
            daemon
                .view
                .on_evidence(now, &target, evidence, &mut daemon.journal);
        }
    }

    /// Fails all daemons of a zone, either with their machines or only their processes.
    fn lose_zone(&mut self, zone: &str, machines: bool) {
        for daemon in &mut self.daemons {
            if daemon.view.own().zone.as_str() == zone {
                daemon.failed = Some(machines);
            }
        }
    }

    /// Starts a new process on the VM of a failed daemon.
    fn restart(&mut self, index: usize) {
        let own = self.daemons[index].view.own();
        let mut successor = own.clone();
        successor.id.incarnation.0 += 1;
        self.daemons[index] = start(successor);
    }

    /// Asserts that every running daemon's live members are exactly the running daemons.
    fn check(&self, seed: u64) {
        let running: Vec<&Member> = self
            .daemons
            .iter()
            .filter(|daemon| daemon.failed.is_none())
            .map(|daemon| daemon.view.own())
            .collect();
        let mut expected: Vec<&DaemonId> = running.iter().map(|member| &member.id).collect();
        expected.sort();
        for daemon in self.daemons.iter().filter(|daemon| daemon.failed.is_none()) {
            let mut live: Vec<&DaemonId> = daemon.view.live().map(|member| &member.id).collect();
            live.sort();
            let own = &daemon.view.own().id;
            assert_eq!(live, expected, "seed {seed}: the view of {own}");
        }
    }
}

/// Fails without `Silent` and `Expired` in `MemberRecord::failure_reason`, or without
/// `restore_if_registered` in `Membership::on_registry`.
#[test]
fn views_agree_again_after_waves_pauses_and_outages() {
    for seed in 0..1_000 {
        let mut world = World::new(seed, 4 + (seed % 3) as u16 * 2);
        world.check(seed);
        world.loss_percent = 5;
        let first = ZONES[world.rng.usize(0..3)];
        let machines = world.rng.bool();
        world.lose_zone(first, machines);
        for _ in 0..4 {
            let index = world.rng.usize(0..world.daemons.len());
            let pause = Duration::from_millis(world.rng.u64(0..8_000));
            match world.rng.u32(0..4) {
                0 => world.daemons[index].paused_until = world.now.after(pause),
                1 if world.daemons[index].failed.is_some() => world.restart(index),
                2 => world.registry_down = !world.registry_down,
                _ => {
                    let machines = world.rng.bool();
                    world.daemons[index].failed = Some(machines);
                }
            }
            let time = Duration::from_millis(world.rng.u64(0..10_000));
            world.run_for(time);
        }
        world.loss_percent = 0;
        world.registry_down = false;
        world.run_for(Duration::from_secs(45));
        world.check(seed);
    }
}

/// Fails without the comparison with `SILENT_AFTER` in `MemberRecord::failure_reason`.
#[test]
fn a_registry_outage_alone_removes_no_member() {
    for seed in 0..50 {
        let mut world = World::new(seed, 12);
        for round in 0..20 {
            world.registry_down = round % 2 == 0;
            if round % 4 == 3 {
                // A restored registry lacks many members until they register again.
                let kept = world.rng.usize(0..12);
                world.registry = world.registry.into_iter().take(kept).collect();
            }
            let time = Duration::from_millis(world.rng.u64(0..20_000));
            world.run_for(time);
            world.check(seed);
        }
    }
}

/// Fails without `ReportedStatus::Gone` in `Membership::on_update`.
#[test]
fn a_process_that_exits_is_known_everywhere_while_the_registry_is_down() {
    let mut world = World::new(7, 24);
    world.registry_down = true;
    world.daemons[5].failed = Some(false);
    world.run_for(Duration::from_secs(8));
    world.check(7);
    let gone = member(5, 1).id;
    let view = &world.daemons[17].view;
    assert!(!view.heartbeat_targets().contains(&gone));
    assert_eq!(view.state(&gone), Some(MemberState::Gone));
}
