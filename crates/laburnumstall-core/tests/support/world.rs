//! Simulation of placement in virtual time: daemons, key-value service, cloud and engines, with
//! fault injection.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fastrand::Rng;
use laburnumstall_core::cloud::{
    CallFailure, ClientToken, CloudCall, CloudReply, EndpointOrder, LoadOrder, OrderId, OrderReply,
    OwnedVm,
};
use laburnumstall_core::placement::{
    MAX_ORDER_LIFETIME, MAX_SEND_DELAY, ObservedEndpoint, Offer, Placement, PlacementInput,
    PlanSlot,
};
use laburnumstall_core::prelude::*;

use crate::fleet::granted;
use crate::store::FakeStore;

pub(crate) const STEP: Duration = Duration::from_millis(250);
const BOOT_TIME: Duration = Duration::from_secs(5);
const OBSERVE_PERIOD: Duration = Duration::from_secs(2);

/// A fake cloud API; a repeated token returns the same VM.
#[derive(Default)]
pub(crate) struct FakeCloud {
    pub(crate) vms: Vec<OwnedVm>,
    pub(crate) by_token: BTreeMap<ClientToken, OwnedVm>,
    pub(crate) refused: BTreeSet<Offer>,
    /// Maximum number of VMs per offer.
    pub(crate) max_per_offer: Option<usize>,
}

impl FakeCloud {
    fn refuses(&self, offer: &Offer) -> bool {
        let is_same = |owned: &&OwnedVm| {
            let vm = &owned.vm;
            vm.class == offer.class && vm.market == offer.market && vm.zone == offer.zone
        };
        let granted = self.vms.iter().filter(is_same).count();
        self.refused.contains(offer) || self.max_per_offer.is_some_and(|max| granted >= max)
    }
}

/// A fake engine; it accepts outdated fencing tokens only if the service does not check them.
pub(crate) struct FakeEngine {
    pub(crate) vm: VmId,
    pub(crate) loads: Vec<LoadOrder>,
    ordered: Vec<LoadOrder>,
    ready_at: Timestamp,
    highest_token: FencingToken,
    /// Fencing token and number of the last order in effect.
    last_order: (FencingToken, u64),
}

enum Message {
    Store(CallId, StoreOutcome),
    Cloud(CallId, Result<CloudReply, CallFailure>),
    Reply(OrderId, Result<OrderReply, CallFailure>),
    Observation(ObservedEndpoint),
    /// An order in flight to an endpoint, with its sequence number.
    Order(EndpointOrder, u64),
}

struct Delivery {
    at: Timestamp,
    daemon: usize,
    message: Message,
}

pub(crate) struct Daemon {
    pub(crate) placement: Placement,
    pub(crate) paused_until: Timestamp,
    /// Orders issued but not yet sent.
    pub(crate) outbox: Vec<(Timestamp, EndpointOrder, u64)>,
    incarnation: u64,
}

pub(crate) struct World {
    pub(crate) now: Timestamp,
    pub(crate) rng: Rng,
    pub(crate) system: System,
    pub(crate) configuration: u64,
    pub(crate) store: FakeStore,
    pub(crate) cloud: FakeCloud,
    pub(crate) engines: BTreeMap<EndpointId, FakeEngine>,
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) fault_percent: u32,
    pub(crate) holds_two_versions: bool,
    pub(crate) load_time: Duration,
    /// Delay between issuing an order and sending it.
    pub(crate) order_delay: Duration,
    /// Number of upcoming VM requests that take effect but lose their reply.
    pub(crate) lost_grants: u32,
    pub(crate) journal: Journal,
    deliveries: Vec<Delivery>,
    /// Number of orders issued so far.
    pub(crate) orders: u64,
}

fn placement(number: usize, incarnation: u64) -> Placement {
    let id = format!("vm-{number}@{incarnation}").parse().unwrap();
    Placement::new(id, "north".parse().unwrap()).unwrap()
}

impl World {
    pub(crate) fn new(seed: u64, system: System) -> Self {
        let daemon = |number| Daemon {
            placement: placement(number, 1),
            paused_until: Timestamp::ZERO,
            outbox: Vec::new(),
            incarnation: 1,
        };
        Self {
            now: Timestamp::ZERO,
            rng: Rng::with_seed(seed),
            system,
            configuration: 1,
            store: FakeStore::default(),
            cloud: FakeCloud::default(),
            engines: BTreeMap::new(),
            daemons: (0..2).map(daemon).collect(),
            fault_percent: 0,
            holds_two_versions: true,
            load_time: Duration::from_secs(4),
            order_delay: Duration::ZERO,
            lost_grants: 0,
            journal: Journal::default(),
            deliveries: Vec::new(),
            orders: 0,
        }
    }

    pub(crate) fn run_for(&mut self, time: Duration) {
        let end = self.now.after(time);
        while self.now < end {
            self.step();
        }
    }

    /// Runs until every slot of the current plan has its loads, or until `timeout`.
    pub(crate) fn settle(&mut self, timeout: Duration) -> bool {
        let end = self.now.after(timeout);
        while self.now < end && !self.is_settled() {
            self.step();
        }
        self.is_settled()
    }

    pub(crate) fn is_settled(&self) -> bool {
        let Some(slots) = self.slots() else {
            return false;
        };
        let is_filled = |slot: &PlanSlot| {
            let vm =
                self.cloud.vms.iter().find(|vm| {
                    vm.token.as_ref() == Some(&slot.token) && vm.vm.state == VmState::Live
                });
            let mut engines = self.engines.values();
            let mut loads = slot.loads.clone();
            loads.sort_by(|a, b| a.service.cmp(&b.service));
            vm.is_some_and(|vm| engines.any(|e| e.vm == vm.vm.id && e.loads == loads))
        };
        !slots.is_empty() && slots.iter().all(is_filled) && self.runs_configured_version(&slots)
    }

    fn runs_configured_version(&self, slots: &[PlanSlot]) -> bool {
        let version = &self.system.services[0].model.as_ref().unwrap().version;
        slots.iter().all(|slot| slot.loads[0].version == *version)
    }

    /// Returns the slots of the lease holder's plan.
    pub(crate) fn slots(&self) -> Option<Vec<PlanSlot>> {
        let mut daemons = self.daemons.iter();
        let holder = daemons.find(|daemon| daemon.placement.lease().may_order(self.now))?;
        holder.placement.plan().map(|plan| plan.slots.clone())
    }

    /// Returns the number of engines that serve the first service.
    pub(crate) fn serving(&self) -> usize {
        let name = &self.system.services[0].name;
        let serves = |engine: &&FakeEngine| engine.loads.iter().any(|load| load.service == *name);
        self.engines.values().filter(serves).count()
    }

    /// Restarts a daemon; its unsent orders and pending replies are lost.
    pub(crate) fn restart(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        daemon.incarnation += 1;
        daemon.placement = placement(index, daemon.incarnation);
        daemon.outbox.clear();
        let for_endpoint = |d: &Delivery| matches!(d.message, Message::Order(..));
        self.deliveries
            .retain(|delivery| delivery.daemon != index || for_endpoint(delivery));
    }

    /// Removes VMs and their engines immediately.
    pub(crate) fn remove_vms(&mut self, is_removed: impl Fn(&Vm) -> bool) {
        self.cloud.vms.retain(|owned| !is_removed(&owned.vm));
        let vms = &self.cloud.vms;
        self.engines
            .retain(|_, engine| vms.iter().any(|owned| owned.vm.id == engine.vm));
    }

    pub(crate) fn step(&mut self) {
        self.now = self.now.after(STEP);
        self.complete_loads();
        self.deliver();
        for index in 0..self.daemons.len() {
            if self.daemons[index].paused_until <= self.now {
                self.run_daemon(index);
            }
        }
    }

    fn complete_loads(&mut self) {
        for engine in self.engines.values_mut() {
            if engine.ready_at <= self.now {
                engine.loads.clone_from(&engine.ordered);
            }
        }
    }

    fn deliver(&mut self) {
        let deliveries = std::mem::take(&mut self.deliveries);
        for delivery in deliveries {
            let is_for_engine = matches!(delivery.message, Message::Order(..));
            let is_awake = self.daemons[delivery.daemon].paused_until <= self.now;
            if delivery.at > self.now || (!is_for_engine && !is_awake) {
                self.deliveries.push(delivery);
                continue;
            }
            let placement = &mut self.daemons[delivery.daemon].placement;
            let journal = &mut self.journal;
            match delivery.message {
                Message::Store(id, outcome) => placement.on_store(self.now, id, outcome, journal),
                Message::Cloud(id, outcome) => placement.on_cloud(self.now, id, outcome, journal),
                Message::Reply(id, outcome) => {
                    placement.on_order_reply(self.now, &id, outcome, journal)
                }
                Message::Observation(observed) => placement.on_observation(observed),
                Message::Order(order, number) => self.apply_order(delivery.daemon, order, number),
            }
        }
    }

    /// Applies an order at its endpoint; an outdated order must not change the loads.
    fn apply_order(&mut self, daemon: usize, order: EndpointOrder, number: u64) {
        let checks = self.system.services[0].checks_fencing;
        let Some(engine) = self.engines.get_mut(&order.endpoint) else {
            return;
        };
        let versions = order
            .loads
            .iter()
            .filter(|l| l.service == order.loads[0].service);
        let reply = if checks && order.fencing < engine.highest_token {
            OrderReply::Fenced
        } else if !self.holds_two_versions && versions.count() > 1 {
            OrderReply::Refused
        } else {
            let is_later = (order.fencing, number) > engine.last_order;
            assert!(
                is_later || order.loads == engine.ordered,
                "order {number} of {} follows {:?} at {}",
                order.fencing,
                engine.last_order,
                self.now
            );
            engine.highest_token = engine.highest_token.max(order.fencing);
            engine.last_order = engine.last_order.max((order.fencing, number));
            engine.loads.retain(|load| order.loads.contains(load));
            if engine.ordered != order.loads {
                engine.ready_at = self.now.after(self.load_time);
            }
            engine.ordered = order.loads.clone();
            OrderReply::Accepted
        };
        let reply = Message::Reply(order.id, Ok(reply));
        if !self.is_faulty() {
            let delay = Duration::from_millis(5);
            self.post(daemon, delay, reply);
        }
    }

    fn run_daemon(&mut self, index: usize) {
        let input = PlacementInput {
            system: &self.system,
            configuration: Revision(self.configuration),
            share_permille: 1_000,
            max_concurrent_loads: 8,
        };
        let daemon = &mut self.daemons[index];
        let output = daemon.placement.tick(self.now, &input, &mut self.journal);
        for request in output.store {
            let outcome = self.call_store(&request.call);
            let delay = self.delay();
            self.post(index, delay, Message::Store(request.id, outcome));
        }
        for request in output.cloud {
            let outcome = self.call_cloud(&request.call);
            let delay = self.delay();
            self.post(index, delay, Message::Cloud(request.id, outcome));
        }
        for order in output.orders {
            self.orders += 1;
            let longest = match self.is_faulty() {
                true => 10_000,
                false => 1,
            };
            let wait = Duration::from_millis(self.rng.u64(0..longest));
            let ready = self.now.after(wait + self.order_delay);
            let entry = (ready, order, self.orders);
            self.daemons[index].outbox.push(entry);
        }
        self.send_orders(index);
        self.observe_engines(index);
    }

    /// Sends the orders that are due if placement still permits them.
    fn send_orders(&mut self, index: usize) {
        let outbox = std::mem::take(&mut self.daemons[index].outbox);
        for (ready, order, number) in outbox {
            let daemon = &mut self.daemons[index];
            if ready > self.now {
                daemon.outbox.push((ready, order, number));
            } else if daemon.placement.may_send(self.now, &order, &self.system) {
                let longest = (MAX_ORDER_LIFETIME - MAX_SEND_DELAY).as_millis() as u64;
                let latency = match self.fault_percent {
                    0 => 10,
                    _ => self.rng.u64(0..longest),
                };
                let message = Message::Order(order, number);
                self.post(index, Duration::from_millis(latency), message);
            } else {
                let outcome = Err(CallFailure::NotSent);
                let journal = &mut self.journal;
                daemon
                    .placement
                    .on_order_reply(self.now, &order.id, outcome, journal);
            }
        }
    }

    fn observe_engines(&mut self, index: usize) {
        if !self.now.0.is_multiple_of(OBSERVE_PERIOD.as_micros() as u64) {
            return;
        }
        let observations: Vec<ObservedEndpoint> = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.ready_at > Timestamp::ZERO)
            .map(|(id, engine)| ObservedEndpoint {
                endpoint: id.clone(),
                vm: engine.vm.clone(),
                loads: engine.loads.clone(),
                taken_at: self.now,
            })
            .collect();
        for observation in observations {
            let delay = self.delay();
            self.post(index, delay, Message::Observation(observation));
        }
    }

    fn call_store(&mut self, call: &StoreCall) -> StoreOutcome {
        if self.is_faulty() && self.rng.bool() {
            return Err(StoreFailure::Unknown);
        }
        let outcome = self.store.call(self.now, call);
        match self.is_faulty() {
            true => Err(StoreFailure::Unknown),
            false => outcome,
        }
    }

    fn call_cloud(&mut self, call: &CloudCall) -> Result<CloudReply, CallFailure> {
        if self.is_faulty() && self.rng.bool() {
            return Err(CallFailure::Unknown);
        }
        let reply = match call {
            CloudCall::List => CloudReply::Vms(self.cloud.vms.clone()),
            CloudCall::Release { vm } => {
                let vm = vm.clone();
                self.remove_vms(|removed| removed.id == vm);
                CloudReply::Released
            }
            CloudCall::Request(request) => {
                let offer = Offer {
                    class: request.class.clone(),
                    market: request.market,
                    zone: request.zone.clone(),
                };
                match self.cloud.by_token.get(&request.token) {
                    Some(known) => CloudReply::Granted(known.clone()),
                    None if self.cloud.refuses(&offer) => CloudReply::Refused,
                    None => CloudReply::Granted(self.grant(offer, &request.token)),
                }
            }
        };
        let is_grant = matches!(reply, CloudReply::Granted(_));
        let is_lost = is_grant && self.lost_grants > 0;
        self.lost_grants -= u32::from(is_lost);
        match is_lost || self.is_faulty() {
            true => Err(CallFailure::Unknown),
            false => Ok(reply),
        }
    }

    fn grant(&mut self, offer: Offer, token: &ClientToken) -> OwnedVm {
        let owned = granted(&PlanSlot {
            token: token.clone(),
            offer,
            pool: self.system.services[0].name.clone(),
            loads: Vec::new(),
            vm: None,
        });
        self.cloud.by_token.insert(token.clone(), owned.clone());
        self.add_vm(owned.clone(), Vec::new());
        owned
    }

    /// Adds a VM and its engine with the given loads.
    pub(crate) fn add_vm(&mut self, owned: OwnedVm, loads: Vec<LoadOrder>) {
        let engine = FakeEngine {
            vm: owned.vm.id.clone(),
            ordered: loads.clone(),
            loads,
            ready_at: self.now.after(BOOT_TIME),
            highest_token: FencingToken(0),
            last_order: (FencingToken(0), 0),
        };
        let id = format!("e-{}", owned.vm.id).parse().unwrap();
        self.cloud.vms.push(owned);
        self.engines.insert(id, engine);
    }

    fn is_faulty(&mut self) -> bool {
        self.rng.u32(0..100) < self.fault_percent
    }

    fn delay(&mut self) -> Duration {
        let millis = match self.is_faulty() {
            true => self.rng.u64(0..3_000),
            false => 5,
        };
        Duration::from_millis(millis)
    }

    fn post(&mut self, daemon: usize, delay: Duration, message: Message) {
        let at = self.now.after(delay);
        self.deliveries.push(Delivery {
            at,
            daemon,
            message,
        });
    }
}
