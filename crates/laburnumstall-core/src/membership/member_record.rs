//! Evidence recorded about one member, and the failure decision based on it.
//!
//! Terminated processes and silent machines have separate thresholds; silence must be
//! confirmed by another source and contradicted by none. This follows "No Sentinels
//! Required: How Dragonfly Cloud Cuts Failover to One Second".

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::DaemonId;
use crate::membership::evidence::{GoneReason, MemberState};
use crate::membership::{HEARTBEAT_PERIOD, Member};
use crate::units::Timestamp;

/// Consecutive refused connections after which a process is marked as gone.
pub const MAX_REFUSALS: u32 = 2;

/// Silence after which a member is probed on a new connection: two missed heartbeats.
pub const PROBE_AFTER: Duration = HEARTBEAT_PERIOD.saturating_mul(2);

/// Timeout of a probe on a new connection.
pub const PROBE_TIMEOUT: Duration = HEARTBEAT_PERIOD;

/// Silence after which a member can be marked as gone: five missed heartbeats.
pub const SILENT_AFTER: Duration = HEARTBEAT_PERIOD.saturating_mul(5);

/// Time for which a peer's suspicion is valid.
pub const SUSPICION_TTL: Duration = HEARTBEAT_PERIOD.saturating_mul(4);

/// Time after which an absent registration alone marks an unreachable member as gone.
pub const ABSENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// State of one member and the evidence about it.
#[derive(Debug, Clone)]
pub(super) struct MemberRecord {
    pub(super) member: Member,
    /// The member's hash for rendezvous hashing.
    pub(super) seed: u64,
    pub(super) state: MemberState,
    pub(super) reason: Option<GoneReason>,
    /// When this daemon last received a message from the member, or added it.
    pub(super) last_contact: Timestamp,
    /// When any daemon last received a message from the member, as far as this daemon knows.
    pub(super) last_contact_by_any: Timestamp,
    pub(super) refusals: u32,
    /// When a probe last failed, if no message has been received since.
    pub(super) probe_failed: Option<Timestamp>,
    /// Peers that suspect the member, with the time of their last update.
    pub(super) suspected_by: BTreeMap<DaemonId, Timestamp>,
    pub(super) registered: bool,
    pub(super) registry_absent: Option<Timestamp>,
    pub(super) vm_listed: bool,
    pub(super) vm_absent: bool,
    pub(super) deadline: Option<Timestamp>,
    /// When the state last changed.
    pub(super) changed_at: Timestamp,
    /// Whether the member has been restored after being marked as gone.
    pub(super) returned: bool,
}

impl MemberRecord {
    pub(super) fn new(now: Timestamp, member: Member) -> Self {
        let state = match member.leaving {
            true => MemberState::Leaving,
            false => MemberState::Live,
        };
        Self {
            seed: member.weight_seed(),
            member,
            state,
            reason: None,
            last_contact: now,
            last_contact_by_any: now,
            refusals: 0,
            probe_failed: None,
            suspected_by: BTreeMap::new(),
            registered: false,
            registry_absent: None,
            vm_listed: false,
            vm_absent: false,
            deadline: None,
            changed_at: now,
            returned: false,
        }
    }

    /// Records a message from the member, which clears refusals, failed probes and suspicions.
    pub(super) fn record_contact(&mut self, now: Timestamp) {
        self.last_contact = now;
        self.last_contact_by_any = self.last_contact_by_any.max(now);
        self.refusals = 0;
        self.probe_failed = None;
        self.suspected_by.clear();
    }

    pub(super) fn expire_suspicions(&mut self, now: Timestamp) {
        self.suspected_by
            .retain(|_, at| now.since(*at) <= SUSPICION_TTL);
    }

    /// Returns whether this daemon itself suspects the member.
    pub(super) fn is_suspected_by_self(&self, now: Timestamp) -> bool {
        self.probe_failed.is_some() && now.since(self.last_contact) >= SILENT_AFTER
    }

    /// Returns the reason to mark the member as gone at `now`, if there is one.
    pub(super) fn failure_reason(&self, now: Timestamp, listing_ok: bool) -> Option<GoneReason> {
        if self.refusals >= MAX_REFUSALS {
            return Some(GoneReason::Refused);
        }
        let silence = now.since(self.last_contact_by_any);
        if self
            .deadline
            .is_some_and(|deadline| self.is_stopped(now, deadline))
        {
            return Some(GoneReason::Reclaimed);
        }
        if silence < SILENT_AFTER {
            return None;
        }
        if self.is_suspected_by_self(now) && self.is_confirmed() {
            return Some(GoneReason::Silent);
        }
        let expired = self
            .registry_absent
            .is_some_and(|since| now.since(since) >= ABSENCE_TIMEOUT);
        if expired && (listing_ok || self.vm_absent) {
            return Some(GoneReason::Expired);
        }
        None
    }

    /// Returns whether the VM's announced stop time has passed and the member is silent.
    fn is_stopped(&self, now: Timestamp, deadline: Timestamp) -> bool {
        now >= deadline.after(PROBE_AFTER) && now.since(self.last_contact_by_any) >= PROBE_AFTER
    }

    fn is_confirmed(&self) -> bool {
        !self.suspected_by.is_empty() || self.registry_absent.is_some() || self.vm_absent
    }
}
