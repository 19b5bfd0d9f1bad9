//! Queries of the view (live members, consistent-hash owners, heartbeat targets) and the
//! exchange of membership gossip.

use crate::decision::Journal;
use crate::hash::rendezvous_weight;
use crate::ids::{AvailabilityZone, DaemonId, LookupHash};
use crate::membership::digest::{
    MAX_UPDATES, MemberDigest, MemberUpdate, ReportedStatus, UPDATE_TTL,
};
use crate::membership::evidence::MemberState;
use crate::membership::member_record::{MemberRecord, PROBE_AFTER, SILENT_AFTER};
use crate::membership::ring::{self, HashedMember};
use crate::membership::{HEARTBEAT_PERIOD, Member, Membership};
use crate::units::Timestamp;

/// A member's rendezvous weight; ties are broken by id.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Weight<'a> {
    weight: u64,
    id: &'a DaemonId,
}

impl Membership {
    /// Returns a member's state; `None` if it is unknown or no longer retained.
    pub fn state(&self, daemon: &DaemonId) -> Option<MemberState> {
        if *daemon == self.own.id {
            return Some(match self.own.leaving {
                true => MemberState::Leaving,
                false => MemberState::Live,
            });
        }
        self.peers.get(daemon).map(|record| record.state)
    }

    /// Returns a member, including one that is marked as gone.
    pub fn member(&self, daemon: &DaemonId) -> Option<&Member> {
        if *daemon == self.own.id {
            return Some(&self.own);
        }
        self.peers.get(daemon).map(|record| &record.member)
    }

    /// Returns the members that accept new work, including this daemon unless it is leaving.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        let own = Some(&self.own).filter(|own| !own.leaving);
        let others = self
            .peers
            .values()
            .filter(|record| record.state == MemberState::Live)
            .map(|record| &record.member);
        own.into_iter().chain(others)
    }

    /// Returns the other members that are not marked as gone.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        self.present().map(|record| &record.member)
    }

    /// Returns the members to which this daemon sends heartbeats, at most four.
    pub fn heartbeat_targets(&self) -> Vec<DaemonId> {
        let mut members = vec![HashedMember {
            member: &self.own,
            seed: self.own_seed,
        }];
        members.extend(self.present().map(|record| HashedMember {
            member: &record.member,
            seed: record.seed,
        }));
        ring::targets(&self.own.id, &members)
    }

    /// Returns the members to probe on a new connection: heartbeat targets that were silent
    /// for [`PROBE_AFTER`].
    pub fn probes_due(&self, now: Timestamp) -> Vec<DaemonId> {
        let is_due = |id: &DaemonId| {
            self.peers
                .get(id)
                .is_some_and(|record| now.since(record.last_contact) >= PROBE_AFTER)
        };
        self.heartbeat_targets()
            .into_iter()
            .filter(is_due)
            .collect()
    }

    /// Returns the live members by rendezvous weight for a lookup hash, highest first.
    pub fn rank(&self, lookup_hash: LookupHash) -> Vec<&Member> {
        let mut ranked: Vec<(Weight<'_>, &Member)> = self.weighted(lookup_hash).collect();
        ranked.sort_by(|a, b| b.0.cmp(&a.0));
        ranked.into_iter().map(|(_, member)| member).collect()
    }

    /// Returns the daemons that can locate a request with this lookup hash: the first in the
    /// ranking, and the first in another zone.
    pub fn locate(&self, lookup_hash: LookupHash) -> Vec<DaemonId> {
        let Some(first) = self.first(lookup_hash, |_| true) else {
            return Vec::new();
        };
        let second = self.first(lookup_hash, |member| member.zone != first.zone);
        std::iter::once(first)
            .chain(second)
            .map(|member| member.id.clone())
            .collect()
    }

    /// Returns the standby for a request's copy: the first in the ranking that is outside
    /// the owner's zone and not excluded.
    ///
    /// Without exclusions, the standby is one of the daemons that [`Membership::locate`] returns,
    /// whichever zone the owner is in.
    pub fn standby(
        &self,
        lookup_hash: LookupHash,
        owner_zone: &AvailabilityZone,
        excluded: &[DaemonId],
    ) -> Option<&Member> {
        self.first(lookup_hash, |member| {
            member.zone != *owner_zone && !excluded.contains(&member.id)
        })
    }

    /// Returns the first member in the ranking for which `is_suitable` holds.
    fn first(
        &self,
        lookup_hash: LookupHash,
        is_suitable: impl Fn(&Member) -> bool,
    ) -> Option<&Member> {
        self.weighted(lookup_hash)
            .filter(|(_, member)| is_suitable(member))
            .max_by(|a, b| a.0.cmp(&b.0))
            .map(|(_, member)| member)
    }

    /// Returns the live members with their rendezvous weights for a lookup hash.
    fn weighted(&self, lookup_hash: LookupHash) -> impl Iterator<Item = (Weight<'_>, &Member)> {
        let own = Some((self.own_seed, &self.own)).filter(|(_, own)| !own.leaving);
        let others = self
            .peers
            .values()
            .filter(|record| record.state == MemberState::Live)
            .map(|record| (record.seed, &record.member));
        own.into_iter().chain(others).map(move |(seed, member)| {
            let weight = Weight {
                weight: rendezvous_weight(u64::from(lookup_hash.0), seed),
                id: &member.id,
            };
            (weight, member)
        })
    }

    /// Returns the live members to advertise to callers, in an order that differs among
    /// daemons so that callers spread over all of them.
    pub fn directory(&self) -> Vec<&Member> {
        self.rank(LookupHash(self.own_seed as u32))
    }

    /// Returns the membership gossip to send to heartbeat targets.
    pub fn digest(&self) -> MemberDigest {
        let updates = self
            .peers
            .values()
            .filter_map(|record| update_of(self.now, record))
            .take(MAX_UPDATES)
            .collect();
        MemberDigest { updates }
    }

    /// Applies a peer's membership gossip.
    pub fn on_digest(
        &mut self,
        now: Timestamp,
        from: &DaemonId,
        digest: &MemberDigest,
        journal: &mut Journal,
    ) {
        self.now = self.now.max(now);
        for update in digest.updates.iter().take(MAX_UPDATES) {
            self.on_update(now, from, update, journal);
        }
    }

    fn on_update(
        &mut self,
        now: Timestamp,
        from: &DaemonId,
        update: &MemberUpdate,
        journal: &mut Journal,
    ) {
        let id = &update.about;
        let Some(record) = self.peers.get_mut(id) else {
            return;
        };
        match update.status {
            ReportedStatus::Suspected => {
                record.suspected_by.insert(from.clone(), now);
            }
            ReportedStatus::Alive { age_millis } => {
                let age = u64::from(age_millis).saturating_mul(1_000);
                let at = Timestamp(now.0.saturating_sub(age));
                record.last_contact_by_any = record.last_contact_by_any.max(at);
                if at > record.changed_at {
                    self.restore_if_gone(now, id, "heard-by-peer", journal);
                }
            }
            ReportedStatus::Leaving => self.mark_leaving(now, id, "peer", journal),
            ReportedStatus::Gone(reason) => {
                let is_contradicted = now.since(record.last_contact) < SILENT_AFTER;
                if reason.is_final() || !is_contradicted {
                    self.mark_gone(now, id, reason, journal);
                }
            }
        }
    }

    /// Returns the peers that are not marked as gone.
    fn present(&self) -> impl Iterator<Item = &MemberRecord> {
        self.peers
            .values()
            .filter(|record| record.state != MemberState::Gone)
    }
}

/// Returns the gossip about a member, if its state is disputed or changed recently.
fn update_of(now: Timestamp, record: &MemberRecord) -> Option<MemberUpdate> {
    let is_recent = now.since(record.changed_at) < UPDATE_TTL;
    let contact_age = match record.last_contact >= record.last_contact_by_any {
        true => now.since(record.last_contact),
        // Network delay would otherwise make an update younger at each daemon that forwards
        // it, and two daemons could keep reporting a dead one as alive forever.
        false => now.since(record.last_contact_by_any) + HEARTBEAT_PERIOD,
    };
    let is_disputed = record.registry_absent.is_some()
        || !record.suspected_by.is_empty()
        || (record.returned && is_recent);
    let status = match record.state {
        MemberState::Gone => record
            .reason
            .filter(|_| is_recent)
            .map(ReportedStatus::Gone),
        _ if record.is_suspected_by_self(now) => Some(ReportedStatus::Suspected),
        MemberState::Leaving if is_recent => Some(ReportedStatus::Leaving),
        _ if is_disputed && contact_age < SILENT_AFTER => Some(ReportedStatus::Alive {
            age_millis: contact_age.as_millis() as u32,
        }),
        _ => None,
    };
    status.map(|status| MemberUpdate {
        about: record.member.id.clone(),
        status,
    })
}
