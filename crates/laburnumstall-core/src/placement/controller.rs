//! Runs placement on a daemon: the lease, the plan in force, and the resulting actions.
//!
//! Data flows one way. The lease lets the daemon read the plan. Configuration, fleet and
//! refusals yield a newer plan, which is stored by compare-and-swap. The difference
//! between the plan in force and the observed state yields calls to the cloud API and
//! orders to endpoints. The `on_` functions handle replies, which take effect in the next
//! [`Placement::tick`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::cloud::{
    CallFailure, ClientToken, CloudReply, EndpointOrder, OrderId, OrderReply, OwnedVm,
    ReclaimNotice,
};
use crate::decision::Journal;
use crate::ids::{CallId, DaemonId, ParseIdError, Region, Revision, VmId};
use crate::placement::endpoint_orders::{EndpointOrders, FilledSlot, OrderContext};
use crate::placement::lease::LeaseClient;
use crate::placement::observations::{Observations, ObservedEndpoint};
use crate::placement::plan::{Offer, Plan, PlanInput, PlanSlot};
use crate::placement::plan_store::{FIRST_CALL_ID, PlanStore};
use crate::placement::planner::plan;
use crate::placement::records::StoreRequest;
use crate::placement::scope::{Scope, has_targets};
use crate::placement::vm_requests::{CloudRequest, Drain, Permission, VmRequests};
use crate::resources::{System, VmState};
use crate::store::StoreOutcome;
use crate::units::Timestamp;

/// Time after which the plan is recomputed even if its inputs have not changed.
pub const PLAN_PERIOD: Duration = Duration::from_secs(60);

/// Time for which a daemon without the lease retains observations of endpoints.
const OBSERVATION_TTL: Duration = Duration::from_secs(600);

/// Inputs of [`Placement::tick`].
#[derive(Debug, Clone, Copy)]
pub struct PlacementInput<'a> {
    /// The configured system.
    pub system: &'a System,
    /// Revision of the configuration.
    pub configuration: Revision,
    /// Share of the services' targets that this region serves, in thousandths.
    pub share_permille: u32,
    /// Maximum number of concurrent loads from the weight store.
    pub max_concurrent_loads: usize,
}

/// Actions that the caller performs after [`Placement::tick`].
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlacementOutput {
    /// Calls to the key-value store.
    pub store: Vec<StoreRequest>,
    /// Calls to the cloud API.
    pub cloud: Vec<CloudRequest>,
    /// Orders to endpoints; check [`Placement::may_send`] immediately before sending each.
    pub orders: Vec<EndpointOrder>,
    /// VMs that accept no new work from now on.
    pub drains: Vec<Drain>,
}

/// Inputs from which a plan was computed, apart from the system.
#[derive(Debug, Clone, PartialEq)]
struct Basis {
    configuration: Revision,
    vms: BTreeSet<VmId>,
    refused: BTreeSet<Offer>,
}

/// The placement of a region, as run by one daemon.
#[derive(Debug, Clone)]
pub struct Placement {
    region: Region,
    is_candidate: bool,
    lease: LeaseClient,
    plan_store: PlanStore,
    vms: VmRequests,
    orders: EndpointOrders,
    observations: Observations,
    basis: Option<Basis>,
    planned_at: Timestamp,
    was_holder: bool,
}

impl Placement {
    /// Creates the placement of a daemon that does not hold the lease.
    ///
    /// # Errors
    ///
    /// Returns an error if the region's name is too long for a key.
    pub fn new(own: DaemonId, region: Region) -> Result<Self, ParseIdError> {
        Ok(Self {
            lease: LeaseClient::new(own, &region)?,
            plan_store: PlanStore::new(&region)?,
            region,
            is_candidate: true,
            vms: VmRequests::default(),
            orders: EndpointOrders::default(),
            observations: Observations::default(),
            basis: None,
            planned_at: Timestamp::ZERO,
            was_holder: false,
        })
    }

    /// Returns the lease client.
    pub fn lease(&self) -> &LeaseClient {
        &self.lease
    }

    /// Sets whether this daemon competes for the lease.
    pub fn set_candidate(&mut self, candidate: bool) {
        self.is_candidate = candidate;
    }

    /// Returns the VMs that the cloud last listed, while this daemon holds the lease.
    pub fn fleet(&self) -> &[OwnedVm] {
        self.vms.fleet()
    }

    /// Returns the plan in force, while this daemon holds the lease.
    pub fn plan(&self) -> Option<&Plan> {
        self.plan_store.plan().map(Arc::as_ref)
    }

    /// Returns whether an order may still be sent now. If it may not, the caller reports it to
    /// [`Placement::on_order_reply`] as not sent. Without targets in the configuration, no
    /// order may be sent.
    ///
    /// After this check the order must arrive within
    /// [`MAX_ORDER_LIFETIME`](super::MAX_ORDER_LIFETIME) less
    /// [`MAX_SEND_DELAY`](super::MAX_SEND_DELAY), or its connection is closed.
    pub fn may_send(&self, now: Timestamp, order: &EndpointOrder, system: &System) -> bool {
        let checks_token = order.loads.iter().all(|load| {
            let service = system.service(&load.service);
            service.is_some_and(|service| service.checks_fencing)
        });
        let may_order = match checks_token {
            true => self.lease.may_order(now),
            false => self.lease.may_order_unfenced(now),
        };
        let has_own_token = self.lease.token(now) == Some(order.fencing);
        let is_enabled = has_targets(system, &self.region);
        may_order && has_own_token && is_enabled && self.orders.is_current(now, order)
    }

    /// Handles a reclaim notice: the VM no longer counts toward the plan.
    pub fn on_notice(&mut self, notice: &ReclaimNotice) {
        self.vms.on_notice(notice);
    }

    /// Records the observed loads of an endpoint.
    pub fn on_observation(&mut self, observed: ObservedEndpoint) {
        self.observations.add(observed);
    }

    /// Handles the result of a call to the key-value store.
    pub fn on_store(
        &mut self,
        now: Timestamp,
        id: CallId,
        outcome: StoreOutcome,
        journal: &mut Journal,
    ) {
        match id.get() >= FIRST_CALL_ID {
            true => self.plan_store.on_store(now, id, outcome),
            false => self.lease.on_store(now, id, outcome, journal),
        }
    }

    /// Handles the result of a call to the cloud API.
    pub fn on_cloud(
        &mut self,
        now: Timestamp,
        id: CallId,
        outcome: Result<CloudReply, CallFailure>,
        journal: &mut Journal,
    ) {
        self.vms.on_reply(now, id, outcome, journal);
        if self.vms.is_settled() {
            let fleet = self.vms.fleet().iter();
            let ids: BTreeSet<&VmId> = fleet.map(|owned| &owned.vm.id).collect();
            self.observations
                .retain(|observed| ids.contains(&observed.vm));
            self.orders.retain_observed(&self.observations);
        }
    }

    /// Handles an endpoint's reply to an order.
    pub fn on_order_reply(
        &mut self,
        now: Timestamp,
        id: &OrderId,
        outcome: Result<OrderReply, CallFailure>,
        journal: &mut Journal,
    ) {
        if self.orders.on_reply(now, id, outcome, journal) {
            self.lease.on_fenced(now, journal);
        }
    }

    /// Returns the actions to perform now.
    ///
    /// Without targets in the region, this only gives up the lease.
    pub fn tick(
        &mut self,
        now: Timestamp,
        input: &PlacementInput<'_>,
        journal: &mut Journal,
    ) -> PlacementOutput {
        let is_enabled = has_targets(input.system, &self.region);
        self.lease.set_candidate(self.is_candidate && is_enabled);
        let mut output = PlacementOutput {
            store: self.lease.tick(now, journal),
            ..PlacementOutput::default()
        };
        self.reset_on_lease_change(now);
        if !self.lease.may_order(now) || !is_enabled {
            let is_recent =
                |observed: &ObservedEndpoint| now.since(observed.taken_at) < OBSERVATION_TTL;
            self.observations.retain(is_recent);
            return output;
        }
        output.store.extend(self.plan_store.tick(now));
        self.replan(now, input, journal);
        let Some(plan) = self.plan_store.plan().cloned() else {
            self.list_fleet(now, input, &mut output, journal);
            return output;
        };
        let slots = self.filled_slots(input, &plan);
        let may_release = self.lease.may_order_unfenced(now) && self.is_ready(&slots);
        let permission = Permission {
            request: self.plan_store.is_settled(),
            release: self.plan_store.is_settled() && may_release,
        };
        output.orders = self.order_endpoints(now, input, &plan, &slots, journal);
        let scope = Scope {
            system: input.system,
            region: &self.region,
            observations: &self.observations,
        };
        (output.cloud, output.drains) = self.vms.tick(now, &plan, &scope, permission, journal);
        output
    }

    /// Gives up the lease; returns the call that revokes it.
    pub fn close(self) -> Option<StoreRequest> {
        self.lease.close()
    }

    /// Resets plan, VMs and orders when the lease is acquired or lost, because another
    /// daemon may have acted.
    fn reset_on_lease_change(&mut self, now: Timestamp) {
        let is_holder = self.lease.may_order(now);
        if is_holder != self.was_holder {
            self.was_holder = is_holder;
            self.plan_store.reset();
            self.vms.reset();
            self.orders.reset();
            self.basis = None;
        }
    }

    /// Lists the VMs when the region has no plan yet.
    fn list_fleet(
        &mut self,
        now: Timestamp,
        input: &PlacementInput<'_>,
        output: &mut PlacementOutput,
        journal: &mut Journal,
    ) {
        let empty = Plan::empty(self.region.clone());
        let permission = Permission {
            request: true,
            release: false,
        };
        let scope = Scope {
            system: input.system,
            region: &self.region,
            observations: &self.observations,
        };
        (output.cloud, _) = self.vms.tick(now, &empty, &scope, permission, journal);
    }

    /// Recomputes the plan if its inputs changed, and proposes it if it differs.
    fn replan(&mut self, now: Timestamp, input: &PlacementInput<'_>, journal: &mut Journal) {
        if !self.plan_store.is_settled() || !self.vms.is_settled() {
            return;
        }
        let previous = self.plan_store.plan().map(Arc::as_ref);
        let scope = self.scope(input);
        let usable: Vec<OwnedVm> = self
            .vms
            .fleet()
            .iter()
            .filter(|owned| scope.can_plan(owned, previous))
            .filter(|owned| !self.vms.is_drained(&owned.vm.id))
            .cloned()
            .collect();
        let live = usable
            .iter()
            .filter(|owned| owned.vm.state == VmState::Live);
        let basis = Basis {
            configuration: input.configuration,
            vms: live.map(|owned| owned.vm.id.clone()).collect(),
            refused: self.vms.refusals.in_backoff(now),
        };
        let is_due = now.since(self.planned_at) >= PLAN_PERIOD;
        if !is_due && self.basis.as_ref() == Some(&basis) {
            return;
        }
        let serving = self.observations.serving();
        let newer = plan(&PlanInput {
            system: input.system,
            configuration: input.configuration,
            region: &self.region,
            share_permille: input.share_permille,
            fleet: &usable,
            serving: &serving,
            previous,
            refused: &basis.refused,
            used_tokens: self.vms.used_tokens(),
        });
        self.basis = Some(basis);
        self.planned_at = now;
        if self
            .plan_store
            .plan()
            .is_none_or(|current| current.differs_from(&newer))
        {
            newer.record(now, journal);
            self.plan_store.propose(newer);
        }
    }

    fn scope<'a>(&'a self, input: &PlacementInput<'a>) -> Scope<'a> {
        Scope {
            system: input.system,
            region: &self.region,
            observations: &self.observations,
        }
    }

    fn filled_slots<'p>(&self, input: &PlacementInput<'_>, plan: &'p Plan) -> Vec<FilledSlot<'p>> {
        let scope = self.scope(input);
        let fleet = self.vms.fleet().iter();
        let fleet: Vec<&OwnedVm> = fleet.filter(|owned| scope.is_own(owned)).collect();
        let ids: BTreeSet<&VmId> = fleet.iter().map(|owned| &owned.vm.id).collect();
        let tokens: BTreeMap<&ClientToken, &VmId> = fleet
            .iter()
            .filter_map(|owned| Some((owned.token.as_ref()?, &owned.vm.id)))
            .collect();
        let vm_of = |slot: &PlanSlot| {
            let existing = slot.vm.as_ref().filter(|vm| ids.contains(vm));
            existing.or(tokens.get(&slot.token).copied()).cloned()
        };
        plan.slots
            .iter()
            .map(|slot| FilledSlot {
                slot,
                vm: vm_of(slot),
            })
            .collect()
    }

    /// Returns whether every slot has a VM with all of the slot's loads.
    fn is_ready(&self, slots: &[FilledSlot<'_>]) -> bool {
        slots.iter().all(|filled| {
            let Some(vm) = &filled.vm else { return false };
            let mut endpoints = self.observations.on_vm(vm);
            endpoints.any(|observed| observed.has_all(&filled.slot.loads))
        })
    }

    fn order_endpoints(
        &mut self,
        now: Timestamp,
        input: &PlacementInput<'_>,
        plan: &Plan,
        slots: &[FilledSlot<'_>],
        journal: &mut Journal,
    ) -> Vec<EndpointOrder> {
        let Some(token) = self.lease.token(now) else {
            return Vec::new();
        };
        let cx = OrderContext {
            plan,
            system: input.system,
            slots,
            observations: &self.observations,
            token,
            unfenced: self.lease.may_order_unfenced(now),
            quiet_until: self.lease.quiet_until(),
            max_concurrent_loads: input.max_concurrent_loads,
        };
        self.orders.tick(now, &cx, journal)
    }
}
