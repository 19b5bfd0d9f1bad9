//! The key-value service, the VM list, and plain endpoints.

use std::time::Duration;

use laburnumstall_core::entry::{AttemptEvent, AttemptFailure, DispatchOrder, Event};
use laburnumstall_core::ids::{
    AttemptId, AvailabilityZone, CallId, DaemonId, EndpointId, EventIndex,
};
use laburnumstall_core::request::AnswerEvent;
use laburnumstall_core::resources::{Market, StaticEndpoint, Vm, VmRole, VmState};
use laburnumstall_core::store::{StoreCall, StoreReply};
use laburnumstall_core::units::Timestamp;

use super::World;
use crate::policy::Policy;
use crate::schedule::Item;

/// Time of a call to the key-value service, each way.
const STORE_LATENCY: Duration = Duration::from_millis(1);

/// Time between two looks of a watch for changes.
const WATCH_PERIOD: Duration = Duration::from_millis(50);

/// Time that a plain call runs.
const PLAIN_TIME: Duration = Duration::from_millis(80);

/// Time after which a call to a VM that is gone fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A plain call that runs.
#[derive(Debug)]
pub(super) struct PlainRun {
    attempt: AttemptId,
    endpoint: EndpointId,
    reader: Option<DaemonId>,
}

impl PlainRun {
    pub(super) fn lose_reader(&mut self, daemon: &DaemonId) {
        if self.reader.as_ref() == Some(daemon) {
            self.reader = None;
        }
    }
}

impl<P: Policy> World<P> {
    pub(super) fn call_store(&mut self, number: usize, id: CallId, call: StoreCall) {
        self.store_calls += 1;
        let wait = match &call {
            StoreCall::Watch { wait, .. } => *wait,
            _ => Duration::ZERO,
        };
        let from = self.nodes[number].id.clone();
        let at = self.now.after(STORE_LATENCY);
        let until = at.after(wait);
        self.schedule.add(
            at,
            Item::Store {
                from,
                id,
                call,
                until,
            },
        );
    }

    pub(super) fn answer_store(
        &mut self,
        from: &DaemonId,
        id: CallId,
        call: StoreCall,
        until: Timestamp,
    ) {
        let outcome = self.store.call(self.now, &call);
        let is_empty =
            matches!(&outcome, Ok(StoreReply::Changes { values, .. }) if values.is_empty());
        if is_empty && self.now < until && self.node_of(from).is_some() {
            let at = self.now.after(WATCH_PERIOD);
            let from = from.clone();
            self.schedule.add(
                at,
                Item::Store {
                    from,
                    id,
                    call,
                    until,
                },
            );
            return;
        }
        self.tell_later(from, STORE_LATENCY, Event::Store { call: id, outcome });
    }

    /// Returns the VMs as the platform knows them now; a baseline's faults are kept from
    /// the core.
    pub(super) fn vms(&self) -> Vec<Vm> {
        let mut vms = Vec::new();
        for engine in &self.engines {
            if engine.is_gone && P::USES_CORE {
                continue;
            }
            let leaves_at = engine.leaves_at.filter(|_| P::USES_CORE);
            let mut vm = self.vm(engine.id.as_str(), &engine.zone, leaves_at);
            vm.address = engine.address;
            vms.push(vm);
        }
        for node in self.nodes.iter().filter(|node| !node.is_vm_gone) {
            let mut vm = self.vm(node.vm.as_str(), &node.zone, node.reclaim_at);
            vm.role = VmRole::Entry;
            vms.push(vm);
        }
        for endpoint in self.plain_endpoints() {
            if !self.gone.contains(&endpoint.id) {
                let leaves_at = self.leaving_plain.get(&endpoint.id).copied();
                let mut vm = self.vm(endpoint.id.as_str(), &endpoint.zone, leaves_at);
                vm.address = endpoint.address;
                vms.push(vm);
            }
        }
        vms
    }

    fn vm(&self, id: &str, zone: &AvailabilityZone, leaves_at: Option<Timestamp>) -> Vm {
        Vm {
            id: id.parse().expect("the VM's name is valid"),
            zone: zone.clone(),
            class: self.class.name.clone(),
            market: Market::Reclaimable,
            role: VmRole::Endpoint,
            address: ([192, 0, 2, 2], 1).into(),
            state: match leaves_at {
                Some(deadline) => VmState::Leaving { deadline },
                None => VmState::Live,
            },
        }
    }

    fn plain_endpoints(&self) -> impl Iterator<Item = &StaticEndpoint> {
        let services = self.system.services.iter();
        services.flat_map(|service| &service.endpoints)
    }

    pub(super) fn plain_endpoints_in(&self, zone: &AvailabilityZone) -> Vec<EndpointId> {
        let inside = self
            .plain_endpoints()
            .filter(|endpoint| endpoint.zone == *zone);
        inside.map(|endpoint| endpoint.id.clone()).collect()
    }

    pub(super) fn take_plain(&mut self, now: Timestamp) {
        let due = self.leaving_plain.iter().filter(|(_, at)| **at <= now);
        let due: Vec<EndpointId> = due.map(|(endpoint, _)| endpoint.clone()).collect();
        self.plain_runs
            .retain(|_, run| !due.contains(&run.endpoint));
        self.gone.extend(due);
    }

    pub(super) fn dispatch_plain(&mut self, number: usize, order: &DispatchOrder) {
        let from = self.nodes[number].id.clone();
        if order.resume.is_some() {
            let event = AttemptEvent::Failed(AttemptFailure::UnknownStream);
            self.attempt_event(&from, &order.attempt, Duration::from_millis(1), event);
            return;
        }
        if self.gone.contains(&order.endpoint) {
            let event = AttemptEvent::Failed(AttemptFailure::NotSent);
            self.attempt_event(&from, &order.attempt, CONNECT_TIMEOUT, event);
            return;
        }
        self.attempt_event(&from, &order.attempt, Duration::ZERO, AttemptEvent::Sent);
        self.count_run(order);
        self.next_plain += 1;
        let number = self.next_plain;
        let run = PlainRun {
            attempt: order.attempt.clone(),
            endpoint: order.endpoint.clone(),
            reader: Some(from),
        };
        self.plain_runs.insert(number, run);
        let at = self.now.after(PLAIN_TIME);
        self.schedule.add(at, Item::PlainEnds { number });
    }

    /// Counts the run of a keyed call, unless its service runs a repeated key once.
    fn count_run(&mut self, order: &DispatchOrder) {
        let request = &order.request;
        let Some(key) = request.key.as_ref().filter(|_| !request.idempotent) else {
            return;
        };
        let service = self.system.service(&request.service);
        let checks_keys = service.is_some_and(|service| service.checks_keys);
        let runs = self.runs_by_key.entry(key.as_str().into()).or_default();
        *runs = if checks_keys { 1 } else { *runs + 1 };
    }

    pub(super) fn end_plain(&mut self, number: u64) {
        let Some(run) = self.plain_runs.remove(&number) else {
            return;
        };
        let Some(reader) = run.reader else {
            return;
        };
        let head = AnswerEvent::Head {
            status: 200,
            content_type: "text/plain".into(),
        };
        let chunk = AnswerEvent::Chunk {
            text: "done".into(),
            tokens: 0,
        };
        let end = AnswerEvent::End {
            finish: "stop".into(),
        };
        let event = AttemptEvent::Answer {
            from: EventIndex(0),
            events: vec![head, chunk, end],
            last_event_id: None,
        };
        self.attempt_event(&reader, &run.attempt, Duration::from_millis(1), event);
    }
}
