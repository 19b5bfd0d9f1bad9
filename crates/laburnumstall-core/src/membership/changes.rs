//! Changes of the view, each with its event and its record.

use crate::decision::{Decision, DecisionKind, Journal};
use crate::ids::{DaemonId, Incarnation, VmId};
use crate::membership::evidence::{GoneReason, MemberEvent, MemberState};
use crate::membership::standing::Standing;
use crate::membership::{LEASE_OUTLIVED, Member, Membership};
use crate::units::Timestamp;

impl Membership {
    /// Makes a member known, unless a later process was seen on its VM.
    pub(super) fn see(&mut self, now: Timestamp, member: &Member, journal: &mut Journal) {
        let id = &member.id;
        self.raise_latest(now, &id.vm, id.incarnation, journal);
        let is_latest = self.latest.get(&id.vm) == Some(&id.incarnation);
        if !is_latest || *id == self.own.id {
            return;
        }
        if !self.others.contains_key(id) {
            let standing = Standing::new(now, member.clone());
            self.others.insert(id.clone(), standing);
            self.events.push(MemberEvent::Joined(member.clone()));
            let decision = Decision::new(now, DecisionKind::Membership, "joined", "registered");
            journal.record(decision.with("daemon", id).with("zone", &member.zone));
        }
        if member.leaving {
            self.mark_leaving(now, id, "registered", journal);
        }
    }

    /// Notes the highest incarnation on a VM; every earlier process there is gone.
    pub(super) fn raise_latest(
        &mut self,
        now: Timestamp,
        vm: &VmId,
        incarnation: Incarnation,
        journal: &mut Journal,
    ) {
        let latest = self.latest.entry(vm.clone()).or_insert(incarnation);
        *latest = incarnation.max(*latest);
        let latest = *latest;
        let bound = |incarnation| DaemonId {
            vm: vm.clone(),
            incarnation,
        };
        let earlier: Vec<DaemonId> = self
            .others
            .range(bound(Incarnation(0))..bound(latest))
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
        let Some(standing) = self.others.get_mut(id) else {
            return;
        };
        if standing.state != MemberState::Live {
            return;
        }
        standing.state = MemberState::Leaving;
        standing.member.leaving = true;
        standing.changed = now;
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
        let Some(standing) = self.others.get_mut(id) else {
            return;
        };
        if standing.state == MemberState::Gone {
            if reason.is_final() {
                standing.reason = Some(reason);
            }
            return;
        }
        standing.state = MemberState::Gone;
        standing.reason = Some(reason);
        standing.changed = now;
        self.events.push(MemberEvent::Gone(id.clone(), reason));
        let decision = Decision::new(now, DecisionKind::Membership, "gone", reason.name())
            .with("daemon", id)
            .with("unheard_ms", now.since(standing.heard).as_millis())
            .with(
                "unheard_anywhere_ms",
                now.since(standing.heard_anywhere).as_millis(),
            )
            .with("refusals", standing.refusals)
            .with("probe_failed", standing.probe_failed.is_some())
            .with("suspected_by", standing.suspected_by.len())
            .with("registry_absent", standing.registry_absent.is_some())
            .with("vm_absent", standing.vm_absent);
        journal.record(decision);
    }

    /// Takes a member back whose registration outlived the verdict: it renews its lease.
    pub(super) fn return_if_registered(
        &mut self,
        now: Timestamp,
        id: &DaemonId,
        journal: &mut Journal,
    ) {
        let is_renewed = |standing: &Standing| {
            standing.state == MemberState::Gone && now.since(standing.changed) >= LEASE_OUTLIVED
        };
        if self.others.get(id).is_some_and(is_renewed) {
            self.return_if_gone(now, id, "registered", journal);
        }
    }

    /// Takes a member back that counted as gone, unless that was final.
    pub(super) fn return_if_gone(
        &mut self,
        now: Timestamp,
        id: &DaemonId,
        reason: &'static str,
        journal: &mut Journal,
    ) {
        let Some(standing) = self.others.get_mut(id) else {
            return;
        };
        let is_final = standing.reason.is_some_and(GoneReason::is_final);
        if standing.state != MemberState::Gone || is_final {
            return;
        }
        standing.state = match standing.member.leaving {
            true => MemberState::Leaving,
            false => MemberState::Live,
        };
        standing.reason = None;
        standing.changed = now;
        standing.returned = true;
        standing.refusals = 0;
        standing.registry_absent = None;
        self.events.push(MemberEvent::Returned(id.clone()));
        let decision = Decision::new(now, DecisionKind::Membership, "returned", reason);
        journal.record(decision.with("daemon", id));
    }
}
