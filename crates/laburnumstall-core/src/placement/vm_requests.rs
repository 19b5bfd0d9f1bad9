//! Requests, lists, drains and releases VMs through the cloud API.
//!
//! Every request has its slot's token. After a lost reply nothing is requested until a listing
//! shows which calls took effect. A retry has the same token, so no VM is paid for twice.

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

/// Time after which a cloud API call without a reply counts as lost.
pub const CLOUD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two listings.
pub const LIST_PERIOD: Duration = Duration::from_secs(30);

/// Maximum number of concurrent calls to the cloud API.
pub const MAX_CLOUD_CALLS: usize = 16;

/// Time for which a VM must be surplus before it is drained, as hysteresis.
pub const SURPLUS_TIME: Duration = Duration::from_secs(300);

/// Time from draining a VM to releasing it.
pub const DRAIN_TIME: Duration = Duration::from_secs(120);

/// Time for which a reclaim notice is retained after its deadline.
const NOTICE_RETENTION: Duration = Duration::from_secs(3_600);

/// Delay before the next calls after a call that was not sent or whose outcome is unknown.
const RETRY_DELAY: Duration = Duration::from_secs(1);

domain! {
    /// A call to the cloud API; the reply has the same ID.
    pub struct CloudRequest {
        /// ID, unique within the component that makes the call.
        pub id: CallId,
        /// The call.
        pub call: CloudCall,
    }

    /// A VM that accepts no new work from now on, because it will be released.
    pub struct Drain {
        /// The VM.
        pub vm: VmId,
        /// Time of its release.
        pub until: Timestamp,
    }
}

#[derive(Debug, Clone)]
struct SentCall {
    at: Timestamp,
    call: CloudCall,
}

/// Actions on VMs that are allowed to the lease holder now.
#[derive(Debug, Clone, Copy)]
pub(super) struct Permission {
    pub(super) request: bool,
    pub(super) release: bool,
}

/// The known VMs, and the calls in flight.
#[derive(Debug, Clone, Default)]
pub(super) struct VmRequests {
    fleet: Vec<OwnedVm>,
    /// VMs granted since the last listing was sent, with the time of the grant.
    granted: BTreeMap<VmId, Timestamp>,
    listed_at: Option<Timestamp>,
    calls: BTreeMap<CallId, SentCall>,
    next_call: u64,
    not_before: Timestamp,
    used_tokens: BTreeSet<ClientToken>,
    surplus: BTreeMap<VmId, Timestamp>,
    drained: BTreeMap<VmId, Timestamp>,
    /// VMs under a reclaim notice, which a listing can still show as live.
    leaving: BTreeMap<VmId, Timestamp>,
    pub(super) refusals: Refusals,
}

impl VmRequests {
    /// Discards all state except notices and call IDs, so that VMs are listed before any is
    /// requested.
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

    pub(super) fn used_tokens(&self) -> &BTreeSet<ClientToken> {
        &self.used_tokens
    }

    /// Returns whether a VM was drained: the daemons no longer send it work, so it must not
    /// be planned again.
    pub(super) fn is_drained(&self, vm: &VmId) -> bool {
        self.drained.contains_key(vm)
    }

    /// Handles a reclaim notice, without waiting for a listing.
    pub(super) fn on_notice(&mut self, notice: &ReclaimNotice) {
        let is_retained = |deadline: &Timestamp| deadline.after(NOTICE_RETENTION) > notice.deadline;
        self.leaving.retain(|_, deadline| is_retained(deadline));
        self.leaving.insert(notice.vm.clone(), notice.deadline);
        self.apply_notices();
    }

    /// Returns whether the fleet is known and no call that changes it is in flight.
    pub(super) fn is_settled(&self) -> bool {
        let is_change = |sent: &SentCall| !matches!(sent.call, CloudCall::List);
        self.listed_at.is_some() && !self.calls.values().any(is_change)
    }

    /// Returns the calls to make and the VMs to drain now.
    pub(super) fn tick(
        &mut self,
        now: Timestamp,
        plan: &Plan,
        scope: &Scope<'_>,
        permission: Permission,
        journal: &mut Journal,
    ) -> (Vec<CloudRequest>, Vec<Drain>) {
        self.expire_calls(now, journal);
        let mut requests = Vec::new();
        if !permission.request || now < self.not_before {
            return (requests, Vec::new());
        }
        if let Some(list) = self.list_if_due(now) {
            requests.push(list);
        }
        if self.listed_at.is_none() {
            return (requests, Vec::new());
        }
        requests.extend(self.request_vms(now, plan, journal));
        let drains = match permission.release {
            true => self.drain_surplus(now, plan, scope, journal),
            false => Vec::new(),
        };
        if permission.release {
            requests.extend(self.release(now, plan, journal));
        }
        (requests, drains)
    }

    /// Handles the result of a call; ignores results of calls that already timed out.
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
                self.refusals.record_refusal(now, &offer);
                let decision = Decision::new(now, DecisionKind::Placement, "back-off", "refused");
                journal.record(decision.with("offer", &offer).with("token", request.token));
            }
            (CloudCall::Release { vm }, Ok(CloudReply::Released)) => {
                self.fleet.retain(|owned| owned.vm.id != vm);
                self.drained.remove(&vm);
            }
            (_, Err(CallFailure::NotSent)) => self.not_before = now.after(RETRY_DELAY),
            _ => self.on_unknown(now, journal),
        }
    }

    fn expire_calls(&mut self, now: Timestamp, journal: &mut Journal) {
        let before = self.calls.len();
        self.calls
            .retain(|_, sent| now.since(sent.at) < CLOUD_TIMEOUT);
        if self.calls.len() < before {
            self.on_unknown(now, journal);
        }
    }

    /// Requires a new listing before any other call, because a call may have taken effect.
    fn on_unknown(&mut self, now: Timestamp, journal: &mut Journal) {
        self.listed_at = None;
        self.not_before = now.after(RETRY_DELAY);
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
        self.used_tokens.extend(tokens);
        self.listed_at = Some(sent);
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
        self.used_tokens.insert(request.token.clone());
        self.refusals.record_grant(&offer_of(request));
        self.granted.insert(owned.vm.id.clone(), now);
        let decision = Decision::new(now, DecisionKind::Placement, "bought", "granted")
            .with("vm", &owned.vm.id)
            .with("offer", offer_of(request))
            .with("token", &request.token);
        journal.record(decision);
        self.fleet.retain(|existing| existing.vm.id != owned.vm.id);
        self.fleet.push(owned);
    }

    fn list_if_due(&mut self, now: Timestamp) -> Option<CloudRequest> {
        let is_due = self.listed_at.is_none_or(|at| now.since(at) >= LIST_PERIOD);
        let is_listing = |sent: &SentCall| matches!(sent.call, CloudCall::List);
        if !is_due || self.calls.values().any(is_listing) {
            return None;
        }
        Some(self.send(now, CloudCall::List))
    }

    fn request_vms(
        &mut self,
        now: Timestamp,
        plan: &Plan,
        journal: &mut Journal,
    ) -> Vec<CloudRequest> {
        let in_backoff = self.refusals.in_backoff(now);
        let fleet = self.fleet.iter();
        let owned_tokens: BTreeSet<&ClientToken> = fleet.filter_map(|o| o.token.as_ref()).collect();
        let is_requestable = |slot: &&PlanSlot| {
            slot.vm.is_none()
                && !in_backoff.contains(&slot.offer)
                && !self.used_tokens.contains(&slot.token)
                && !owned_tokens.contains(&slot.token)
                && !self.is_in_flight(&slot.token)
        };
        let free_calls = MAX_CLOUD_CALLS.saturating_sub(self.calls.len());
        let wanted: Vec<PlanSlot> = plan
            .slots
            .iter()
            .filter(is_requestable)
            .take(free_calls)
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

    /// Drains the VMs that have been surplus for [`SURPLUS_TIME`].
    fn drain_surplus(
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
            let is_due = now.since(since) >= SURPLUS_TIME;
            if !is_due || self.drained.contains_key(&vm) {
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

    fn is_in_flight(&self, token: &ClientToken) -> bool {
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
