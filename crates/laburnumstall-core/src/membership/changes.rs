//! State changes of the view, each with its event and decision record.

use crate::decision::{Decision, DecisionKind, Journal};
use crate::ids::{DaemonId, Incarnation, VmId};
use crate::membership::evidence::{GoneReason, MemberEvent, MemberState};
use crate::membership::member_record::MemberRecord;
use crate::membership::{Member, Membership, REGISTRATION_EXPIRY};
use crate::units::Timestamp;

impl Membership {
    /// Adds a member, unless a later process was seen on its VM.
    pub(super) fn add_member(&mut self, now: Timestamp, member: &Member, journal: &mut Journal) {
        let id = &member.id;
        self.raise_incarnation(now, &id.vm, id.incarnation, journal);
        let is_latest = self.latest_incarnations.get(&id.vm) == Some(&id.incarnation);
        if !is_latest || *id == self.own.id {
            return;
        }
        if !self.peers.contains_key(id) {
            let record = MemberRecord::new(now, member.clone());
            self.peers.insert(id.clone(), record);
            self.events.push(MemberEvent::Joined(member.clone()));
            let decision = Decision::new(now, DecisionKind::Membership, "joined", "registered");
            journal.record(decision.with("daemon", id).with("zone", &member.zone));
        }
        if member.leaving {
            self.mark_leaving(now, id, "registered", journal);
        }
    }

    /// Raises the highest incarnation seen on a VM, and marks earlier processes as gone.
    pub(super) fn raise_incarnation(
        &mut self,
        now: Timestamp,
        vm: &VmId,
        incarnation: Incarnation,
        journal: &mut Journal,
    ) {
        let latest = self
            .latest_incarnations
            .entry(vm.clone())
            .or_insert(incarnation);
        *latest = incarnation.max(*latest);
        let latest = *latest;
        let id_of = |incarnation| DaemonId {
            vm: vm.clone(),
            incarnation,
        };
        let earlier: Vec<DaemonId> = self
            .peers
            .range(id_of(Incarnation(0))..id_of(latest))
            .map(|(id, _)| id.clone())
            .collect();
        for id in earlier {
            self.mark_gone(now, &id, GoneReason::Replaced, journal);
        }
    }

    pub(super) fn mark_leaving(
        &mut self,
        now: Timestamp,
        id: &DaemonId,
        reason: &'static str,
        journal: &mut Journal,
    ) {
        let Some(record) = self.peers.get_mut(id) else {
            return;
        };
        if record.state != MemberState::Live {
            return;
        }
        record.state = MemberState::Leaving;
        record.member.leaving = true;
        record.changed_at = now;
        self.events.push(MemberEvent::Leaving(id.clone()));
        let decision = Decision::new(now, DecisionKind::Membership, "leaving", reason);
        journal.record(decision.with("daemon", id));
    }

    pub(super) fn mark_gone(
        &mut self,
        now: Timestamp,
        id: &DaemonId,
        reason: GoneReason,
        journal: &mut Journal,
    ) {
        let Some(record) = self.peers.get_mut(id) else {
            return;
        };
        if record.state == MemberState::Gone {
            if reason.is_final() {
                record.reason = Some(reason);
            }
            return;
        }
        record.state = MemberState::Gone;
        record.reason = Some(reason);
        record.changed_at = now;
        self.events.push(MemberEvent::Gone(id.clone(), reason));
        let decision = Decision::new(now, DecisionKind::Membership, "gone", reason.name())
            .with("daemon", id)
            .with("unheard_ms", now.since(record.last_contact).as_millis())
            .with(
                "unheard_anywhere_ms",
                now.since(record.last_contact_by_any).as_millis(),
            )
            .with("refusals", record.refusals)
            .with("probe_failed", record.probe_failed.is_some())
            .with("suspected_by", record.suspected_by.len())
            .with("registry_absent", record.registry_absent.is_some())
            .with("vm_absent", record.vm_absent);
        journal.record(decision);
    }

    /// Restores a member that is still registered after its lease would have expired, which
    /// shows that it renews the lease.
    pub(super) fn restore_if_registered(
        &mut self,
        now: Timestamp,
        id: &DaemonId,
        journal: &mut Journal,
    ) {
        let is_renewed = |record: &MemberRecord| {
            record.state == MemberState::Gone && now.since(record.changed_at) >= REGISTRATION_EXPIRY
        };
        if self.peers.get(id).is_some_and(is_renewed) {
            self.restore_if_gone(now, id, "registered", journal);
        }
    }

    /// Restores a member that was marked as gone, unless the reason is final.
    pub(super) fn restore_if_gone(
        &mut self,
        now: Timestamp,
        id: &DaemonId,
        reason: &'static str,
        journal: &mut Journal,
    ) {
        let Some(record) = self.peers.get_mut(id) else {
            return;
        };
        let is_final = record.reason.is_some_and(GoneReason::is_final);
        if record.state != MemberState::Gone || is_final {
            return;
        }
        record.state = match record.member.leaving {
            true => MemberState::Leaving,
            false => MemberState::Live,
        };
        record.reason = None;
        record.changed_at = now;
        record.returned = true;
        record.refusals = 0;
        record.registry_absent = None;
        self.events.push(MemberEvent::Returned(id.clone()));
        let decision = Decision::new(now, DecisionKind::Membership, "returned", reason);
        journal.record(decision.with("daemon", id));
    }
}
