//! A daemon's part in placement: the lease, the plan in force, and what follows from it.
//!
//! Data flows one way: the lease lets the daemon read the plan; text, fleet and refusals
//! make a newer one, which is swapped in; the plan in force, compared with what is
//! observed, gives calls to the cloud API and orders to endpoints. Replies come back by
//! the `on_` functions and change what the next [`Placement::tick`] gives.

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
use crate::placement::observed::{Observed, ObservedEndpoint};
use crate::placement::plan::{Offer, Plan, PlanInput, PlanSlot};
use crate::placement::plan_store::{FIRST_CALL, PlanStore};
use crate::placement::planner::plan;
use crate::placement::records::StoreRequest;
use crate::placement::scope::{Scope, has_targets};
use crate::placement::vm_requests::{CloudRequest, Drain, Permission, VmRequests};
use crate::resources::{System, VmState};
use crate::store::StoreOutcome;
use crate::units::Timestamp;

/// Time after which a plan is computed again although nothing is known to have changed.
pub const PLAN_PERIOD: Duration = Duration::from_secs(60);

/// Time that a daemon without the lease remembers what an endpoint has loaded.
const OBSERVATION_LIFE: Duration = Duration::from_secs(600);

/// What placement follows.
#[derive(Debug, Clone, Copy)]
pub struct PlacementInput<'a> {
    /// What the operators' text says.
    pub system: &'a System,
    /// Revision of that text.
    pub configuration: Revision,
    /// Share of the services' targets that falls to the region, in thousandths.
    pub share_permille: u32,
    /// Most loads that the weight store is asked for at a time.
    pub max_concurrent_loads: usize,
}

/// What a daemon does for placement now.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlacementOutput {
    /// Calls to the key-value service.
    pub store: Vec<StoreRequest>,
    /// Calls to the cloud API.
    pub cloud: Vec<CloudRequest>,
    /// Orders to endpoints; [`Placement::may_send`] is asked right before each is sent.
    pub orders: Vec<EndpointOrder>,
    /// VMs that take no new work from now on.
    pub drains: Vec<Drain>,
}

/// What a plan was computed from, apart from the system.
#[derive(Debug, Clone, PartialEq)]
struct Basis {
    configuration: Revision,
    vms: BTreeSet<VmId>,
    refused: BTreeSet<Offer>,
}

/// One daemon's part in the placement of its region.
#[derive(Debug, Clone)]
pub struct Placement {
    region: Region,
    is_candidate: bool,
    lease: LeaseClient,
    plan_store: PlanStore,
    vms: VmRequests,
    orders: EndpointOrders,
    observed: Observed,
    basis: Option<Basis>,
    planned: Timestamp,
    was_holder: bool,
}

impl Placement {
    /// Starts without the lease.
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
            observed: Observed::default(),
            basis: None,
            planned: Timestamp::ZERO,
            was_holder: false,
        })
    }

    /// Returns the lease.
    pub fn lease(&self) -> &LeaseClient {
        &self.lease
    }

    /// Sets whether this daemon tries for the lease.
    pub fn set_candidate(&mut self, candidate: bool) {
        self.is_candidate = candidate;
    }

    /// Returns the VMs that the cloud listed last, while this daemon holds the lease.
    pub fn fleet(&self) -> &[OwnedVm] {
        self.vms.fleet()
    }

    /// Returns the plan in force, while this daemon holds the lease.
    pub fn plan(&self) -> Option<&Plan> {
        self.plan_store.plan().map(Arc::as_ref)
    }

    /// Tells whether an order may still go out now; one that may not is reported by
    /// [`Placement::on_order_reply`] as not sent. Under a text without targets none may.
    ///
    /// After the check the order arrives within [`MAX_ORDER_LIFETIME`](super::MAX_ORDER_LIFETIME) less
    /// [`MAX_SEND_DELAY`](super::MAX_SEND_DELAY), or
    /// its connection is closed.
    pub fn may_send(&self, now: Timestamp, order: &EndpointOrder, system: &System) -> bool {
        let is_checked = order.loads.iter().all(|load| {
            let service = system.service(&load.service);
            service.is_some_and(|service| service.checks_fencing)
        });
        let may_order = match is_checked {
            true => self.lease.may_order(now),
            false => self.lease.may_order_unfenced(now),
        };
        let is_own = self.lease.token(now) == Some(order.fencing);
        let is_wanted = has_targets(system, &self.region);
        may_order && is_own && is_wanted && self.orders.is_current(now, order)
    }

    /// Takes in a reclaim notice: the VM no longer counts for the plan.
    pub fn on_notice(&mut self, notice: &ReclaimNotice) {
        self.vms.on_notice(notice);
    }

    /// Takes in what an endpoint has loaded.
    pub fn on_observation(&mut self, observed: ObservedEndpoint) {
        self.observed.add(observed);
    }

    /// Takes in the result of a call to the key-value service.
    pub fn on_store(
        &mut self,
        now: Timestamp,
        id: CallId,
        outcome: StoreOutcome,
        journal: &mut Journal,
    ) {
        match id.get() >= FIRST_CALL {
            true => self.plan_store.on_store(now, id, outcome),
            false => self.lease.on_store(now, id, outcome, journal),
        }
    }

    /// Takes in the result of a call to the cloud API.
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
            self.observed.retain(|observed| ids.contains(&observed.vm));
            self.orders.keep(&self.observed);
        }
    }

    /// Takes in an endpoint's answer to an order.
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

    /// Returns what to do now.
    ///
    /// Under a text without targets in the region the lease is given up, and nothing else
    /// is done.
    pub fn tick(
        &mut self,
        now: Timestamp,
        input: &PlacementInput<'_>,
        journal: &mut Journal,
    ) -> PlacementOutput {
        let is_wanted = has_targets(input.system, &self.region);
        self.lease.set_candidate(self.is_candidate && is_wanted);
        let mut output = PlacementOutput {
            store: self.lease.tick(now, journal),
            ..PlacementOutput::default()
        };
        self.follow_lease(now);
        if !self.lease.may_order(now) || !is_wanted {
            let is_fresh =
                |observed: &ObservedEndpoint| now.since(observed.taken_at) < OBSERVATION_LIFE;
            self.observed.retain(is_fresh);
            return output;
        }
        output.store.extend(self.plan_store.tick(now));
        self.replan(now, input, journal);
        let Some(plan) = self.plan_store.plan().cloned() else {
            self.ask_for_fleet(now, input, &mut output, journal);
            return output;
        };
        let slots = self.filled(input, &plan);
        let may_release = self.lease.may_order_unfenced(now) && self.is_ready(&slots);
        let permission = Permission {
            ask: self.plan_store.is_settled(),
            release: self.plan_store.is_settled() && may_release,
        };
        output.orders = self.order(now, input, &plan, &slots, journal);
        let scope = Scope {
            system: input.system,
            region: &self.region,
            observed: &self.observed,
        };
        (output.cloud, output.drains) = self.vms.tick(now, &plan, &scope, permission, journal);
        output
    }

    /// Gives the lease up; returns the call that ends it at once.
    pub fn close(self) -> Option<StoreRequest> {
        self.lease.close()
    }

    /// Starts from nothing after each change of the lease: another daemon may have acted.
    fn follow_lease(&mut self, now: Timestamp) {
        let is_holder = self.lease.may_order(now);
        if is_holder != self.was_holder {
            self.was_holder = is_holder;
            self.plan_store.reset();
            self.vms.reset();
            self.orders.reset();
            self.basis = None;
        }
    }

    /// Lists the VMs before the first plan of a region.
    fn ask_for_fleet(
        &mut self,
        now: Timestamp,
        input: &PlacementInput<'_>,
        output: &mut PlacementOutput,
        journal: &mut Journal,
    ) {
        let empty = Plan::empty(self.region.clone());
        let permission = Permission {
            ask: true,
            release: false,
        };
        let scope = Scope {
            system: input.system,
            region: &self.region,
            observed: &self.observed,
        };
        (output.cloud, _) = self.vms.tick(now, &empty, &scope, permission, journal);
    }

    /// Computes a newer plan if its basis changed, and proposes it if it differs.
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
            refused: self.vms.refusals.excluded(now),
        };
        let is_due = now.since(self.planned) >= PLAN_PERIOD;
        if !is_due && self.basis.as_ref() == Some(&basis) {
            return;
        }
        let serving = self.observed.serving();
        let newer = plan(&PlanInput {
            system: input.system,
            configuration: input.configuration,
            region: &self.region,
            share_permille: input.share_permille,
            fleet: &usable,
            serving: &serving,
            previous,
            refused: &basis.refused,
            used_tokens: self.vms.spent(),
        });
        self.basis = Some(basis);
        self.planned = now;
        if self
            .plan_store
            .plan()
            .is_none_or(|known| known.differs(&newer))
        {
            newer.record(now, journal);
            self.plan_store.propose(newer);
        }
    }

    fn scope<'a>(&'a self, input: &PlacementInput<'a>) -> Scope<'a> {
        Scope {
            system: input.system,
            region: &self.region,
            observed: &self.observed,
        }
    }

    fn filled<'p>(&self, input: &PlacementInput<'_>, plan: &'p Plan) -> Vec<FilledSlot<'p>> {
        let scope = self.scope(input);
        let fleet = self.vms.fleet().iter();
        let fleet: Vec<&OwnedVm> = fleet.filter(|owned| scope.is_own(owned)).collect();
        let ids: BTreeSet<&VmId> = fleet.iter().map(|owned| &owned.vm.id).collect();
        let tokens: BTreeMap<&ClientToken, &VmId> = fleet
            .iter()
            .filter_map(|owned| Some((owned.token.as_ref()?, &owned.vm.id)))
            .collect();
        let vm_of = |slot: &PlanSlot| {
            let known = slot.vm.as_ref().filter(|vm| ids.contains(vm));
            known.or(tokens.get(&slot.token).copied()).cloned()
        };
        plan.slots
            .iter()
            .map(|slot| FilledSlot {
                slot,
                vm: vm_of(slot),
            })
            .collect()
    }

    /// Tells whether every slot has a VM with its loads.
    fn is_ready(&self, slots: &[FilledSlot<'_>]) -> bool {
        slots.iter().all(|filled| {
            let Some(vm) = &filled.vm else { return false };
            let mut endpoints = self.observed.on_vm(vm);
            endpoints.any(|observed| observed.has_all(&filled.slot.loads))
        })
    }

    fn order(
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
            observed: &self.observed,
            token,
            unchecked: self.lease.may_order_unfenced(now),
            quiet_until: self.lease.quiet_until(),
            max_concurrent_loads: input.max_concurrent_loads,
        };
        self.orders.tick(now, &cx, journal)
    }
}
