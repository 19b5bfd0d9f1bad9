//! The failure detectors that are compared.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnumstall_core::membership::{
    Evidence, Member, MemberDigest, MemberEvent, MemberState, Membership,
};
use laburnumstall_core::prelude::*;

/// Failure detector of one daemon.
pub(crate) trait Detector {
    /// Handles a heartbeat with the sender's view of other members.
    fn on_heartbeat(&mut self, now: Timestamp, from: &DaemonId, digest: &MemberDigest);

    /// Handles the result of a probe on a new connection.
    fn on_probe(&mut self, now: Timestamp, daemon: &DaemonId, evidence: Evidence);

    /// Returns the daemons to probe.
    fn probes_due(&self, now: Timestamp) -> Vec<DaemonId>;

    /// Returns the member digest for the next heartbeat.
    fn digest(&self) -> MemberDigest;

    /// Updates the member states; returns the number of members newly considered failed.
    fn tick(&mut self, now: Timestamp) -> u64;

    /// Returns whether a member is considered failed.
    fn is_failed(&self, daemon: &DaemonId) -> bool;
}

/// The detector that daemons use.
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
        let is_failure = |event: &&MemberEvent| matches!(event, MemberEvent::Gone(..));
        events.iter().filter(is_failure).count() as u64
    }

    fn is_failed(&self, daemon: &DaemonId) -> bool {
        self.view.state(daemon) == Some(MemberState::Gone)
    }
}

/// A single heartbeat timeout for all kinds of failure.
pub(crate) struct SingleTimeout {
    last_heartbeat: BTreeMap<DaemonId, Timestamp>,
    failed: BTreeMap<DaemonId, bool>,
    timeout: Duration,
}

impl SingleTimeout {
    pub(crate) fn new(own: &Member, members: &[Member], timeout: Duration) -> Self {
        let others = members.iter().filter(|member| member.id != own.id);
        Self {
            last_heartbeat: others
                .map(|member| (member.id.clone(), Timestamp::ZERO))
                .collect(),
            failed: BTreeMap::new(),
            timeout,
        }
    }
}

impl Detector for SingleTimeout {
    fn on_heartbeat(&mut self, now: Timestamp, from: &DaemonId, _digest: &MemberDigest) {
        self.last_heartbeat.insert(from.clone(), now);
    }

    fn on_probe(&mut self, _now: Timestamp, _daemon: &DaemonId, _evidence: Evidence) {}

    fn probes_due(&self, _now: Timestamp) -> Vec<DaemonId> {
        Vec::new()
    }

    fn digest(&self) -> MemberDigest {
        MemberDigest::default()
    }

    fn tick(&mut self, now: Timestamp) -> u64 {
        let mut newly_failed = 0;
        for (daemon, last_heartbeat) in &self.last_heartbeat {
            let is_failed = now.since(*last_heartbeat) >= self.timeout;
            let was_failed = self.failed.insert(daemon.clone(), is_failed) == Some(true);
            newly_failed += u64::from(is_failed && !was_failed);
        }
        newly_failed
    }

    fn is_failed(&self, daemon: &DaemonId) -> bool {
        self.failed.get(daemon) == Some(&true)
    }
}
