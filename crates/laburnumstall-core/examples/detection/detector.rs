//! The ways to detect that are compared.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnumstall_core::membership::{
    Evidence, Member, MemberDigest, MemberEvent, MemberState, Membership,
};
use laburnumstall_core::prelude::*;

/// One daemon's way to tell who is gone.
pub(crate) trait Detector {
    /// Takes in a heartbeat with the sender's words about others.
    fn on_heartbeat(&mut self, now: Timestamp, from: &DaemonId, digest: &MemberDigest);

    /// Takes in what a probe on a new connection found.
    fn on_probe(&mut self, now: Timestamp, daemon: &DaemonId, evidence: Evidence);

    /// Returns the daemons to probe.
    fn probes_due(&self, now: Timestamp) -> Vec<DaemonId>;

    /// Returns the words for the next heartbeat.
    fn digest(&self) -> MemberDigest;

    /// Weighs what is known; returns how many members newly count as gone.
    fn tick(&mut self, now: Timestamp) -> u64;

    /// Tells whether a member counts as gone.
    fn is_gone(&self, daemon: &DaemonId) -> bool;
}

/// The view that the daemons use.
pub(crate) struct SeparateThresholds {
    view: Membership,
}

impl SeparateThresholds {
    pub(crate) fn new(own: &Member, members: &[Member]) -> Self {
        let mut view = Membership::new(own.clone());
        view.on_registry(Timestamp::ZERO, members, &mut Journal::default());
        Self { view }
    }
}

impl Detector for SeparateThresholds {
    fn on_heartbeat(&mut self, now: Timestamp, from: &DaemonId, digest: &MemberDigest) {
        let journal = &mut Journal::default();
        self.view
            .on_evidence(now, from, Evidence::Heartbeat, journal);
        self.view.on_digest(now, from, digest, journal);
    }

    fn on_probe(&mut self, now: Timestamp, daemon: &DaemonId, evidence: Evidence) {
        self.view
            .on_evidence(now, daemon, evidence, &mut Journal::default());
    }

    fn probes_due(&self, now: Timestamp) -> Vec<DaemonId> {
        self.view.probes_due(now)
    }

    fn digest(&self) -> MemberDigest {
        self.view.digest()
    }

    fn tick(&mut self, now: Timestamp) -> u64 {
        let events = self.view.tick(now, &mut Journal::default());
        let is_gone = |event: &&MemberEvent| matches!(event, MemberEvent::Gone(..));
        events.iter().filter(is_gone).count() as u64
    }

    fn is_gone(&self, daemon: &DaemonId) -> bool {
        self.view.state(daemon) == Some(MemberState::Gone)
    }
}

/// One timeout for every kind of failure, and no other source.
pub(crate) struct SingleTimeout {
    heard: BTreeMap<DaemonId, Timestamp>,
    gone: BTreeMap<DaemonId, bool>,
    timeout: Duration,
}

impl SingleTimeout {
    pub(crate) fn new(own: &Member, members: &[Member], timeout: Duration) -> Self {
        let others = members.iter().filter(|member| member.id != own.id);
        Self {
            heard: others
                .map(|member| (member.id.clone(), Timestamp::ZERO))
                .collect(),
            gone: BTreeMap::new(),
            timeout,
        }
    }
}

impl Detector for SingleTimeout {
    fn on_heartbeat(&mut self, now: Timestamp, from: &DaemonId, _digest: &MemberDigest) {
        self.heard.insert(from.clone(), now);
    }

    fn on_probe(&mut self, _now: Timestamp, _daemon: &DaemonId, _evidence: Evidence) {}

    fn probes_due(&self, _now: Timestamp) -> Vec<DaemonId> {
        Vec::new()
    }

    fn digest(&self) -> MemberDigest {
        MemberDigest::default()
    }

    fn tick(&mut self, now: Timestamp) -> u64 {
        let mut newly = 0;
        for (daemon, heard) in &self.heard {
            let is_gone = now.since(*heard) >= self.timeout;
            let was_gone = self.gone.insert(daemon.clone(), is_gone) == Some(true);
            newly += u64::from(is_gone && !was_gone);
        }
        newly
    }

    fn is_gone(&self, daemon: &DaemonId) -> bool {
        self.gone.get(daemon) == Some(&true)
    }
}
