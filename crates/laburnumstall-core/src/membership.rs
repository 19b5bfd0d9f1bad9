//! Membership and failure detection of entry daemons.
//!
//! Sources differ in lag and reliability: the registry (one leased key per daemon), the VM
//! list, reclaim notices, heartbeats, refused connections and gossip from peers. Each is
//! recorded as [`Evidence`]; [`Membership::tick`] evaluates it and returns the changes. A
//! view is monotonic by incarnation: once a later process is seen on a VM, earlier ones are
//! never live again.

mod changes;
mod digest;
mod evidence;
mod member;
mod member_record;
mod ring;
mod view;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub use digest::{MAX_UPDATES, MemberDigest, MemberUpdate, ReportedStatus, UPDATE_TTL};
pub use evidence::{Evidence, GoneReason, MemberEvent, MemberState};
pub use member::{CertificateFingerprint, Member};
use member_record::MemberRecord;
pub use member_record::{
    ABSENCE_TIMEOUT, MAX_REFUSALS, PROBE_AFTER, PROBE_TIMEOUT, SILENT_AFTER, SUSPICION_TTL,
};
pub use ring::MAX_TARGETS;

use crate::cloud::ReclaimNotice;
use crate::decision::Journal;
use crate::ids::{DaemonId, Incarnation, VmId};
use crate::resources::{Vm, VmState};
use crate::units::Timestamp;

/// Interval between two heartbeats to one member.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

/// Time after which the registration of a terminated process is certain to have expired.
pub const REGISTRATION_EXPIRY: Duration = Duration::from_secs(30);

/// Time for which a removed member is retained, so that late gossip about it is recognized.
pub const GONE_RETENTION: Duration = Duration::from_secs(600);

/// One daemon's view of all entry daemons.
#[derive(Debug, Clone)]
pub struct Membership {
    own: Member,
    peers: BTreeMap<DaemonId, MemberRecord>,
    /// Highest incarnation seen on each VM.
    latest_incarnations: BTreeMap<VmId, Incarnation>,
    /// Whether the registry, as last read, still lists at least half of the members.
    is_listing_plausible: bool,
    events: Vec<MemberEvent>,
    /// Latest time passed to any call.
    now: Timestamp,
    /// This daemon's hash for rendezvous hashing.
    own_seed: u64,
}

impl Membership {
    /// Creates a view that contains only this daemon.
    pub fn new(own: Member) -> Self {
        let latest_incarnations = BTreeMap::from([(own.id.vm.clone(), own.id.incarnation)]);
        Self {
            own_seed: own.weight_seed(),
            own,
            peers: BTreeMap::new(),
            latest_incarnations,
            is_listing_plausible: false,
            events: Vec::new(),
            now: Timestamp::ZERO,
        }
    }

    /// Returns the member entry of this daemon.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns whether a later process was seen on this daemon's own VM.
    pub fn is_replaced(&self) -> bool {
        let latest = self.latest_incarnations.get(&self.own.id.vm);
        latest.is_some_and(|latest| *latest > self.own.id.incarnation)
    }

    /// Marks this daemon as leaving, which removes it from the ranking and the directory.
    pub fn set_leaving(&mut self) {
        if !self.own.leaving {
            self.own.leaving = true;
            self.events.push(MemberEvent::Leaving(self.own.id.clone()));
        }
    }

    /// Applies a complete, successful listing of the registry.
    ///
    /// Absence is evidence, but never sufficient to remove a member that is reachable.
    pub fn on_registry(&mut self, now: Timestamp, members: &[Member], journal: &mut Journal) {
        self.now = self.now.max(now);
        for member in members {
            self.register(now, member, journal);
        }
        let listed: BTreeSet<&DaemonId> = members.iter().map(|member| &member.id).collect();
        let absent: Vec<DaemonId> = self
            .registered()
            .map(|record| record.member.id.clone())
            .filter(|id| !listed.contains(id))
            .collect();
        for id in absent {
            self.on_evidence(now, &id, Evidence::RegistryAbsent, journal);
        }
        self.check_listing();
    }

    /// Applies one registration reported by a registry watch.
    ///
    /// A watch costs far less than complete listings in a large fleet. As it can stop
    /// delivering without an error, it is backed by a listing at long intervals.
    pub fn on_registered(&mut self, now: Timestamp, member: &Member, journal: &mut Journal) {
        self.now = self.now.max(now);
        self.register(now, member, journal);
        self.check_listing();
    }

    /// Records that a registry watch reported the end of the registration of a VM's daemon.
    pub fn on_unregistered(&mut self, now: Timestamp, vm: &VmId, journal: &mut Journal) {
        let ended: Vec<DaemonId> = self
            .registered()
            .map(|record| &record.member.id)
            .filter(|id| id.vm == *vm)
            .cloned()
            .collect();
        for id in ended {
            self.on_evidence(now, &id, Evidence::RegistryAbsent, journal);
        }
        self.check_listing();
    }

    /// Records that the registry cannot be read: the view is kept, and absences do not count.
    pub fn on_registry_unreadable(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
        self.is_listing_plausible = false;
        for record in self.peers.values_mut() {
            record.registry_absent = None;
        }
    }

    /// Adds a member that introduced itself before the registry lists it.
    ///
    /// The caller must have verified the member's certificate.
    pub fn on_introduction(&mut self, now: Timestamp, member: &Member, journal: &mut Journal) {
        self.now = self.now.max(now);
        self.add_member(now, member, journal);
    }

    /// Records evidence about one member.
    pub fn on_evidence(
        &mut self,
        now: Timestamp,
        daemon: &DaemonId,
        evidence: Evidence,
        journal: &mut Journal,
    ) {
        self.now = self.now.max(now);
        if let Evidence::Replaced(incarnation) = evidence {
            self.raise_incarnation(now, &daemon.vm, incarnation, journal);
            return;
        }
        if *daemon == self.own.id {
            self.on_own_evidence(evidence);
            return;
        }
        let Some(record) = self.peers.get_mut(daemon) else {
            return;
        };
        match evidence {
            Evidence::Heartbeat => record.record_contact(now),
            Evidence::HeartbeatLeaving => record.record_contact(now),
            Evidence::Refused => record.refusals += 1,
            Evidence::Silent => record.probe_failed = Some(now),
            Evidence::Notice { deadline } => {
                let earliest = record
                    .deadline
                    .map_or(deadline, |known| known.min(deadline));
                record.deadline = Some(earliest);
            }
            Evidence::VmAbsent => record.vm_absent = true,
            Evidence::RegistryAbsent => {
                record.registry_absent.get_or_insert(now);
            }
            Evidence::Goodbye | Evidence::Replaced(_) => {}
        }
        match evidence {
            Evidence::Heartbeat => self.restore_if_gone(now, daemon, "heard", journal),
            Evidence::HeartbeatLeaving => {
                self.restore_if_gone(now, daemon, "heard", journal);
                self.mark_leaving(now, daemon, "said-so", journal);
            }
            Evidence::Notice { .. } => self.mark_leaving(now, daemon, "notice", journal),
            Evidence::Goodbye => self.mark_gone(now, daemon, GoneReason::Stopped, journal),
            _ => {}
        }
    }

    /// Applies the VM list, which lags: absence counts only for a VM that was listed before.
    pub fn on_vms(&mut self, now: Timestamp, vms: &[Vm], journal: &mut Journal) {
        let own_vm = vms.iter().find(|vm| vm.id == self.own.id.vm);
        if own_vm.is_some_and(|vm| vm.state != VmState::Live) {
            self.set_leaving();
        }
        let ids: Vec<DaemonId> = self.peers.keys().cloned().collect();
        for id in ids {
            let vm = vms.iter().find(|vm| vm.id == id.vm);
            let Some(record) = self.peers.get_mut(&id) else {
                continue;
            };
            match vm.map(|vm| vm.state) {
                Some(state) => {
                    record.vm_listed = true;
                    record.vm_absent = false;
                    if let VmState::Leaving { deadline } = state {
                        self.on_evidence(now, &id, Evidence::Notice { deadline }, journal);
                    }
                }
                None if record.vm_listed => {
                    self.on_evidence(now, &id, Evidence::VmAbsent, journal);
                }
                None => {}
            }
        }
    }

    /// Applies a reclaim notice: the member on that VM is marked as leaving immediately.
    pub fn on_notice(&mut self, now: Timestamp, notice: &ReclaimNotice, journal: &mut Journal) {
        let Some(incarnation) = self.latest_incarnations.get(&notice.vm) else {
            return;
        };
        let id = DaemonId {
            vm: notice.vm.clone(),
            incarnation: *incarnation,
        };
        let evidence = Evidence::Notice {
            deadline: notice.deadline,
        };
        self.on_evidence(now, &id, evidence, journal);
    }

    /// Evaluates the evidence, and returns the changes since the last call, in order.
    pub fn tick(&mut self, now: Timestamp, journal: &mut Journal) -> Vec<MemberEvent> {
        self.now = self.now.max(now);
        for record in self.peers.values_mut() {
            record.expire_suspicions(now);
        }
        let listing_ok = self.is_listing_plausible;
        let failed: Vec<(DaemonId, GoneReason)> = self
            .peers
            .values()
            .filter(|record| record.state != MemberState::Gone)
            .filter_map(|record| {
                Some((
                    record.member.id.clone(),
                    record.failure_reason(now, listing_ok)?,
                ))
            })
            .collect();
        for (id, reason) in failed {
            self.mark_gone(now, &id, reason, journal);
        }
        self.peers.retain(|_, record| {
            record.state != MemberState::Gone || now.since(record.changed_at) < GONE_RETENTION
        });
        std::mem::take(&mut self.events)
    }

    fn register(&mut self, now: Timestamp, member: &Member, journal: &mut Journal) {
        self.add_member(now, member, journal);
        self.restore_if_registered(now, &member.id, journal);
        if let Some(record) = self.peers.get_mut(&member.id) {
            record.registered = true;
            record.registry_absent = None;
        }
    }

    /// Returns the peers that have been registered and are not marked as gone.
    fn registered(&self) -> impl Iterator<Item = &MemberRecord> {
        self.peers
            .values()
            .filter(|record| record.state != MemberState::Gone && record.registered)
    }

    /// Records whether at least half of the registered peers are still listed.
    fn check_listing(&mut self) {
        let known = self.registered().count();
        let is_absent = |record: &&MemberRecord| record.registry_absent.is_some();
        let absent = self.registered().filter(is_absent).count();
        self.is_listing_plausible = absent * 2 <= known;
    }

    fn on_own_evidence(&mut self, evidence: Evidence) {
        if let Evidence::Notice { .. } = evidence {
            self.set_leaving();
        }
    }
}
