//! VMs: asked for, listed, drained and given back.
//!
//! Every request carries its slot's token. After a reply was lost nothing is asked for
//! before a listing shows what took effect; the repetition carries the same token, so it
//! never pays twice.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::cloud::{
    CallFailure, ClientToken, CloudCall, CloudReply, OwnedVm, ReclaimNotice, VmRequest,
};
use crate::decision::{Decision, DecisionKind, Journal};
use crate::domain;
use crate::ids::{CallId, VmId};
use crate::placement::plan::{Offer, Plan, PlanSlot};
use crate::placement::refusals::Refusals;
use crate::placement::scope::Scope;
use crate::resources::{VmRole, VmState};
use crate::units::Timestamp;

/// Time after which a call to the cloud API without a reply counts as lost.
pub const CLOUD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two listings.
pub const LIST_PERIOD: Duration = Duration::from_secs(30);

/// Most calls to the cloud API at a time.
pub const MAX_CLOUD_CALLS: usize = 16;

/// Time that a VM must be superfluous before it is drained: hysteresis.
pub const SURPLUS_TIME: Duration = Duration::from_secs(300);

/// Time between a VM's draining and its release.
pub const DRAIN_TIME: Duration = Duration::from_secs(120);

/// Time after its deadline that a notice is remembered.
const NOTICE_KEPT: Duration = Duration::from_secs(3_600);

/// Time after which a call that was not sent is tried again.
const RETRY_PERIOD: Duration = Duration::from_secs(1);

domain! {
    /// A call to the cloud API; its reply comes back under the same number.
    pub struct CloudRequest {
        /// Number, unique within the component that makes the call.
        pub id: CallId,
        /// The call.
        pub call: CloudCall,
    }

    /// A VM that takes no new work from now on, because it will be given back.
    pub struct Drain {
        /// The VM.
        pub vm: VmId,
        /// When it is given back.
        pub until: Timestamp,
    }
}

#[derive(Debug, Clone)]
struct SentCall {
    at: Timestamp,
    call: CloudCall,
}

/// What the holder may do with VMs now.
#[derive(Debug, Clone, Copy)]
pub(super) struct Permission {
    pub(super) ask: bool,
    pub(super) release: bool,
}

/// The VMs that there are, and the calls under way.
#[derive(Debug, Clone, Default)]
pub(super) struct VmRequests {
    fleet: Vec<OwnedVm>,
    /// VMs granted since the last listing was sent.
    granted: BTreeMap<VmId, Timestamp>,
    listed: Option<Timestamp>,
    calls: BTreeMap<CallId, SentCall>,
    next_call: u64,
    not_before: Timestamp,
    spent: BTreeSet<ClientToken>,
    surplus: BTreeMap<VmId, Timestamp>,
    drained: BTreeMap<VmId, Timestamp>,
    /// VMs under notice, which the listing can still show as live.
    leaving: BTreeMap<VmId, Timestamp>,
    pub(super) refusals: Refusals,
}

impl VmRequests {
    /// Forgets what an earlier holding left; the next one lists before it asks.
    pub(super) fn reset(&mut self) {
        let next_call = self.next_call;
        let leaving = std::mem::take(&mut self.leaving);
        *self = Self {
            next_call,
            leaving,
            ..Self::default()
        };
    }

    pub(super) fn fleet(&self) -> &[OwnedVm] {
        &self.fleet
    }

    pub(super) fn spent(&self) -> &BTreeSet<ClientToken> {
        &self.spent
    }

    /// Tells whether a VM was drained: the daemons send it no work any more, so that it
    /// cannot be planned with again.
    pub(super) fn is_drained(&self, vm: &VmId) -> bool {
        self.drained.contains_key(vm)
    }

    /// Takes in a reclaim notice, ahead of the listing.
    pub(super) fn on_notice(&mut self, notice: &ReclaimNotice) {
        let keeps = |deadline: &Timestamp| deadline.after(NOTICE_KEPT) > notice.deadline;
        self.leaving.retain(|_, deadline| keeps(deadline));
        self.leaving.insert(notice.vm.clone(), notice.deadline);
        self.apply_notices();
    }

    /// Tells whether the fleet is known and no call is under way whose effect is not.
    pub(super) fn is_settled(&self) -> bool {
        let is_open = |sent: &SentCall| !matches!(sent.call, CloudCall::List);
        self.listed.is_some() && !self.calls.values().any(is_open)
    }

    /// Returns the calls to make now, and the VMs to drain.
    pub(super) fn tick(
        &mut self,
        now: Timestamp,
        plan: &Plan,
        scope: &Scope<'_>,
        permission: Permission,
        journal: &mut Journal,
    ) -> (Vec<CloudRequest>, Vec<Drain>) {
        self.time_out(now, journal);
        let mut requests = Vec::new();
        if !permission.ask || now < self.not_before {
            return (requests, Vec::new());
        }
        if let Some(list) = self.list(now) {
            requests.push(list);
        }
        if self.listed.is_none() {
            return (requests, Vec::new());
        }
        requests.extend(self.ask(now, plan, journal));
        let drains = match permission.release {
            true => self.drain(now, plan, scope, journal),
            false => Vec::new(),
        };
        if permission.release {
            requests.extend(self.release(now, plan, journal));
        }
        (requests, drains)
    }

    /// Takes in the result of a call; one that comes too late changes nothing.
    pub(super) fn on_reply(
        &mut self,
        now: Timestamp,
        id: CallId,
        outcome: Result<CloudReply, CallFailure>,
        journal: &mut Journal,
    ) {
        let Some(sent) = self.calls.remove(&id) else {
            return;
        };
        match (sent.call, outcome) {
            (CloudCall::List, Ok(CloudReply::Vms(vms))) => self.on_listing(sent.at, vms),
            (CloudCall::Request(request), Ok(CloudReply::Granted(owned))) => {
                self.on_granted(now, &request, owned, journal);
            }
            (CloudCall::Request(request), Ok(CloudReply::Refused)) => {
                let offer = offer_of(&request);
                self.refusals.refuse(now, &offer);
                let decision = Decision::new(now, DecisionKind::Placement, "back-off", "refused");
                journal.record(decision.with("offer", &offer).with("token", request.token));
            }
            (CloudCall::Release { vm }, Ok(CloudReply::Released)) => {
                self.fleet.retain(|owned| owned.vm.id != vm);
                self.drained.remove(&vm);
            }
            (_, Err(CallFailure::NotSent)) => self.not_before = now.after(RETRY_PERIOD),
            _ => self.on_unknown(now, journal),
        }
    }

    fn time_out(&mut self, now: Timestamp, journal: &mut Journal) {
        let before = self.calls.len();
        self.calls
            .retain(|_, sent| now.since(sent.at) < CLOUD_TIMEOUT);
        if self.calls.len() < before {
            self.on_unknown(now, journal);
        }
    }

    /// Lists again before anything else: a call may have taken effect.
    fn on_unknown(&mut self, now: Timestamp, journal: &mut Journal) {
        self.listed = None;
        self.not_before = now.after(RETRY_PERIOD);
        let decision = Decision::new(now, DecisionKind::Placement, "list-again", "reply-lost");
        journal.record(decision);
    }

    fn on_listing(&mut self, sent: Timestamp, vms: Vec<OwnedVm>) {
        self.granted.retain(|_, at| *at >= sent);
        let recent: Vec<OwnedVm> = self
            .fleet
            .drain(..)
            .filter(|owned| self.granted.contains_key(&owned.vm.id))
            .filter(|owned| !vms.iter().any(|listed| listed.vm.id == owned.vm.id))
            .collect();
        self.fleet = vms;
        self.fleet.extend(recent);
        let fleet = &self.fleet;
        self.leaving
            .retain(|vm, _| fleet.iter().any(|owned| owned.vm.id == *vm));
        self.apply_notices();
        let tokens = self.fleet.iter().filter_map(|owned| owned.token.clone());
        self.spent.extend(tokens);
        self.listed = Some(sent);
    }

    fn apply_notices(&mut self) {
        for owned in &mut self.fleet {
            if let Some(deadline) = self.leaving.get(&owned.vm.id) {
                owned.vm.state = VmState::Leaving {
                    deadline: *deadline,
                };
            }
        }
    }

    fn on_granted(
        &mut self,
        now: Timestamp,
        request: &VmRequest,
        owned: OwnedVm,
        journal: &mut Journal,
    ) {
        self.spent.insert(request.token.clone());
        self.refusals.grant(&offer_of(request));
        self.granted.insert(owned.vm.id.clone(), now);
        let decision = Decision::new(now, DecisionKind::Placement, "bought", "granted")
            .with("vm", &owned.vm.id)
            .with("offer", offer_of(request))
            .with("token", &request.token);
        journal.record(decision);
        self.fleet.retain(|known| known.vm.id != owned.vm.id);
        self.fleet.push(owned);
    }

    fn list(&mut self, now: Timestamp) -> Option<CloudRequest> {
        let is_due = self.listed.is_none_or(|at| now.since(at) >= LIST_PERIOD);
        let is_listing = |sent: &SentCall| matches!(sent.call, CloudCall::List);
        if !is_due || self.calls.values().any(is_listing) {
            return None;
        }
        Some(self.send(now, CloudCall::List))
    }

    fn ask(&mut self, now: Timestamp, plan: &Plan, journal: &mut Journal) -> Vec<CloudRequest> {
        let excluded = self.refusals.excluded(now);
        let fleet = self.fleet.iter();
        let held: BTreeSet<&ClientToken> = fleet.filter_map(|o| o.token.as_ref()).collect();
        let is_wanted = |slot: &&PlanSlot| {
            slot.vm.is_none()
                && !excluded.contains(&slot.offer)
                && !self.spent.contains(&slot.token)
                && !held.contains(&slot.token)
                && !self.is_under_way(&slot.token)
        };
        let free = MAX_CLOUD_CALLS.saturating_sub(self.calls.len());
        let wanted: Vec<PlanSlot> = plan
            .slots
            .iter()
            .filter(is_wanted)
            .take(free)
            .cloned()
            .collect();
        let mut requests = Vec::new();
        for slot in wanted {
            let decision = Decision::new(now, DecisionKind::Placement, "buy", "slot-open")
                .with("offer", &slot.offer)
                .with("pool", &slot.pool)
                .with("token", &slot.token)
                .with("plan", plan.revision);
            journal.record(decision);
            let request = VmRequest {
                token: slot.token,
                class: slot.offer.class,
                market: slot.offer.market,
                zone: slot.offer.zone,
                role: VmRole::Endpoint,
            };
            requests.push(self.send(now, CloudCall::Request(request)));
        }
        requests
    }

    /// Returns the VMs that no slot wants for long enough.
    fn drain(
        &mut self,
        now: Timestamp,
        plan: &Plan,
        scope: &Scope<'_>,
        journal: &mut Journal,
    ) -> Vec<Drain> {
        let tokens: BTreeSet<&ClientToken> = plan.slots.iter().map(|slot| &slot.token).collect();
        let vms: BTreeSet<&VmId> = plan.slots.iter().filter_map(|s| s.vm.as_ref()).collect();
        let is_planned = |owned: &OwnedVm| {
            let by_token = owned.token.as_ref().is_some_and(|t| tokens.contains(t));
            by_token || vms.contains(&owned.vm.id)
        };
        let surplus: BTreeSet<VmId> = self
            .fleet
            .iter()
            .filter(|owned| owned.vm.state == VmState::Live && scope.can_release(owned))
            .filter(|owned| !is_planned(owned))
            .map(|owned| owned.vm.id.clone())
            .collect();
        self.surplus.retain(|vm, _| surplus.contains(vm));
        self.drained.retain(|vm, _| surplus.contains(vm));
        let mut drains = Vec::new();
        for vm in surplus {
            let since = *self.surplus.entry(vm.clone()).or_insert(now);
            let is_long = now.since(since) >= SURPLUS_TIME;
            if !is_long || self.drained.contains_key(&vm) {
                continue;
            }
            let until = now.after(DRAIN_TIME);
            self.drained.insert(vm.clone(), until);
            let decision = Decision::new(now, DecisionKind::Placement, "drain", "superfluous");
            journal.record(decision.with("vm", &vm).with("plan", plan.revision));
            drains.push(Drain { vm, until });
        }
        drains
    }

    fn release(&mut self, now: Timestamp, plan: &Plan, journal: &mut Journal) -> Vec<CloudRequest> {
        let is_releasing = |vm: &VmId| {
            let mut calls = self.calls.values();
            calls.any(|sent| sent.call == CloudCall::Release { vm: vm.clone() })
        };
        let due: Vec<VmId> = self
            .drained
            .iter()
            .filter(|(vm, until)| now >= **until && !is_releasing(vm))
            .map(|(vm, _)| vm.clone())
            .collect();
        let mut requests = Vec::new();
        for vm in due {
            let decision = Decision::new(now, DecisionKind::Placement, "release", "drained");
            journal.record(decision.with("vm", &vm).with("plan", plan.revision));
            requests.push(self.send(now, CloudCall::Release { vm }));
        }
        requests
    }

    fn is_under_way(&self, token: &ClientToken) -> bool {
        self.calls.values().any(|sent| match &sent.call {
            CloudCall::Request(request) => request.token == *token,
            _ => false,
        })
    }

    fn send(&mut self, now: Timestamp, call: CloudCall) -> CloudRequest {
        self.next_call += 1;
        let id = CallId(self.next_call);
        let sent = SentCall {
            at: now,
            call: call.clone(),
        };
        self.calls.insert(id, sent);
        CloudRequest { id, call }
    }
}

fn offer_of(request: &VmRequest) -> Offer {
    Offer {
        class: request.class.clone(),
        market: request.market,
        zone: request.zone.clone(),
    }
}
