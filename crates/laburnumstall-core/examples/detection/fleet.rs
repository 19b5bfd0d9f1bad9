//! Simulation of four daemons with heartbeats, process pauses and packet loss.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use laburnumstall_core::membership::{
    CertificateFingerprint, Evidence, HEARTBEAT_PERIOD, Member, MemberDigest, PROBE_TIMEOUT,
};
use laburnumstall_core::prelude::*;

use crate::detector::Detector;

/// Step of virtual time.
const STEP: Duration = Duration::from_millis(10);

/// One-way latency of a datagram.
const LATENCY: Duration = Duration::from_millis(1);

/// Datagram loss rate in thousandths.
const LOSS_PERMILLE: u32 = 10;

/// Maximum duration of a process pause.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Mean time between pauses of a process.
const MEAN_PAUSE_INTERVAL: Duration = Duration::from_secs(60);

/// How a daemon fails.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The process exits; the machine refuses connections.
    ProcessExit,
    /// The machine stops and does not reply.
    MachineStop,
}

enum Message {
    Ping,
    Pong,
}

struct Delivery {
    at: Timestamp,
    from: usize,
    to: usize,
    message: Message,
    digest: MemberDigest,
}

struct Daemon<D> {
    member: Member,
    detector: D,
    failure: Option<Failure>,
    paused_until: Timestamp,
    next_heartbeat: Timestamp,
    probes: BTreeMap<DaemonId, Probe>,
}

/// A probe in flight.
struct Probe {
    ends: Timestamp,
    evidence: Evidence,
}

/// The daemons and the datagrams in flight between them.
pub(crate) struct Fleet<D> {
    now: Timestamp,
    rng: Rng,
    daemons: Vec<Daemon<D>>,
    deliveries: Vec<Delivery>,
    alarms: u64,
}

impl<D: Detector> Fleet<D> {
    pub(crate) fn new(seed: u64, make: impl Fn(&Member, &[Member]) -> D) -> Self {
        let members: Vec<Member> = (0..4).map(member).collect();
        let mut rng = Rng::with_seed(seed);
        let daemons = members.iter().map(|own| Daemon {
            member: own.clone(),
            detector: make(own, &members),
            failure: None,
            paused_until: Timestamp::ZERO,
            next_heartbeat: Timestamp::from_millis(rng.u64(0..500)),
            probes: BTreeMap::new(),
        });
        let daemons = daemons.collect();
        Self {
            now: Timestamp::ZERO,
            rng,
            daemons,
            deliveries: Vec::new(),
            alarms: 0,
        }
    }

    /// Returns the number of false alarms so far.
    pub(crate) fn alarms(&self) -> u64 {
        self.alarms
    }

    pub(crate) fn run_for(&mut self, time: Duration) {
        let end = self.now.after(time);
        while self.now < end {
            self.step();
        }
    }

    /// Fails the first daemon, and returns the time until all others consider it failed.
    pub(crate) fn time_to_detect(
        &mut self,
        failure: Failure,
        timeout: Duration,
    ) -> Option<Duration> {
        let failed_at = self.now;
        self.daemons[0].failure = Some(failure);
        let failed = self.daemons[0].member.id.clone();
        while self.now.since(failed_at) < timeout {
            self.step();
            let mut survivors = self.daemons[1..].iter();
            if survivors.all(|daemon| daemon.detector.is_failed(&failed)) {
                return Some(self.now.since(failed_at));
            }
        }
        None
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP);
        for index in 0..self.daemons.len() {
            self.maybe_pause(index);
        }
        self.deliver();
        for index in 0..self.daemons.len() {
            if self.is_running(index) {
                self.send_heartbeats(index);
                self.probe(index);
                self.alarms += self.daemons[index].detector.tick(self.now);
            }
        }
    }

    fn is_running(&self, index: usize) -> bool {
        let daemon = &self.daemons[index];
        daemon.failure.is_none() && daemon.paused_until <= self.now
    }

    fn maybe_pause(&mut self, index: usize) {
        let steps = (MEAN_PAUSE_INTERVAL.as_millis() / STEP.as_millis()) as u64;
        if self.is_running(index) && self.rng.u64(0..steps) == 0 {
            let length = self.rng.u64(0..=MAX_PAUSE.as_millis() as u64);
            self.daemons[index].paused_until = self.now.after(Duration::from_millis(length));
        }
    }

    fn is_lost(&mut self) -> bool {
        self.rng.u32(0..1_000) < LOSS_PERMILLE
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.is_lost() {
            return;
        }
        let digest = self.daemons[from].detector.digest();
        let at = self.now.after(LATENCY);
        self.deliveries.push(Delivery {
            at,
            from,
            to,
            message,
            digest,
        });
    }

    /// Delivers datagrams that have arrived; a paused process receives them when it resumes.
    fn deliver(&mut self) {
        let arrived = std::mem::take(&mut self.deliveries);
        for delivery in arrived {
            if self.daemons[delivery.to].failure.is_some() {
                continue;
            }
            if delivery.at > self.now || !self.is_running(delivery.to) {
                self.deliveries.push(delivery);
                continue;
            }
            let from = self.daemons[delivery.from].member.id.clone();
            let receiver = &mut self.daemons[delivery.to];
            receiver
                .detector
                .on_heartbeat(self.now, &from, &delivery.digest);
            if let Message::Ping = delivery.message {
                self.send(delivery.to, delivery.from, Message::Pong);
            }
        }
    }

    fn send_heartbeats(&mut self, index: usize) {
        if self.daemons[index].next_heartbeat > self.now {
            return;
        }
        self.daemons[index].next_heartbeat = self.now.after(HEARTBEAT_PERIOD);
        for to in 0..self.daemons.len() {
            if to != index {
                self.send(index, to, Message::Ping);
            }
        }
    }

    fn probe(&mut self, index: usize) {
        let now = self.now;
        let ended: Vec<(DaemonId, Evidence)> = self.daemons[index]
            .probes
            .iter()
            .filter(|(_, probe)| probe.ends <= now)
            .map(|(id, probe)| (id.clone(), probe.evidence))
            .collect();
        for (id, evidence) in ended {
            let daemon = &mut self.daemons[index];
            daemon.probes.remove(&id);
            daemon.detector.on_probe(now, &id, evidence);
        }
        for id in self.daemons[index].detector.probes_due(now) {
            if !self.daemons[index].probes.contains_key(&id) {
                let probe = self.start_probe(&id);
                self.daemons[index].probes.insert(id, probe);
            }
        }
    }

    /// Determines the result of a probe; a paused process replies when it resumes.
    fn start_probe(&mut self, target: &DaemonId) -> Probe {
        let is_lost = self.is_lost();
        let round_trip = self.now.after(2 * LATENCY);
        let timeout = self.now.after(PROBE_TIMEOUT);
        let target = self
            .daemons
            .iter()
            .find(|daemon| daemon.member.id == *target);
        let target = target.expect("a probe goes to a daemon of the fleet");
        let (ends, evidence) = match target.failure {
            _ if is_lost => (timeout, Evidence::Silent),
            Some(Failure::MachineStop) => (timeout, Evidence::Silent),
            Some(Failure::ProcessExit) => (round_trip, Evidence::Refused),
            None if target.paused_until > timeout => (timeout, Evidence::Silent),
            None => (round_trip.max(target.paused_until), Evidence::Heartbeat),
        };
        Probe { ends, evidence }
    }
}

fn member(number: u16) -> Member {
    let zone = ["a", "b", "c"][usize::from(number) % 3];
    Member {
        id: DaemonId {
            vm: format!("vm-{number}").parse().expect("a valid name"),
            incarnation: Incarnation(1),
        },
        zone: zone.parse().expect("a valid name"),
        peer_address: ([10, 0, 0, 1], 10_000 + number).into(),
        caller_address: ([10, 0, 0, 1], 20_000 + number).into(),
        certificate: CertificateFingerprint([0; 32]),
        leaving: false,
    }
}
