//! The engines: attempts, steps, reports and faults.

use std::time::Duration;

use laburnumstall_core::cloud::ReclaimNotice;
use laburnumstall_core::entry::{
    AttemptEvent, AttemptFailure, DispatchOrder, Event, PollOutcome, ProbeOutcome,
};
use laburnumstall_core::ids::{AttemptId, AvailabilityZone, DaemonId, EndpointId, VmId};
use laburnumstall_core::request::Dialect;

use super::{LIST_PERIOD, REPORT_PERIOD, World};
use crate::engine::{Engine, Given};
use crate::faults::{Fault, NOTICE, REPLACEMENT};
use crate::policy::{EngineView, Policy};
use crate::schedule::Item;

/// Time after which a call to a VM that is gone fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a baseline learns that a connection broke.
const BROKEN_AFTER: Duration = Duration::from_millis(50);

/// Delay of the platform's notices.
const NOTICE_DELAY: Duration = Duration::from_millis(20);

/// One cache report in so many is lost.
const LOST_REPORTS: u32 = 50;

impl<P: Policy> World<P> {
    pub(super) fn add_engine(&mut self) {
        let number = self.engines.len();
        let zone = self.next_zone(number);
        let services = self.system.services.iter();
        let services = services.filter(|service| service.model.is_some());
        let services = services.map(|service| service.name.clone()).collect();
        let engine = Engine::new(number as u16, zone, &self.class, services);
        self.engines.push(engine);
    }

    pub(super) fn dispatch(&mut self, number: usize, order: DispatchOrder) {
        if order.request.dialect == Dialect::Plain {
            self.dispatch_plain(number, &order);
        } else if order.resume.is_some() {
            self.resume(number, &order);
        } else {
            self.begin(number, order);
        }
    }

    fn begin(&mut self, number: usize, order: DispatchOrder) {
        let from = self.nodes[number].id.clone();
        let chosen = match P::USES_CORE {
            true => self.engine_index(&order.endpoint),
            false => self.choose(number),
        };
        let Some(index) = chosen.filter(|index| !self.engines[*index].is_gone) else {
            let event = AttemptEvent::Failed(AttemptFailure::NotSent);
            self.attempt_event(&from, &order.attempt, CONNECT_TIMEOUT, event);
            return;
        };
        *self.loads.entry((number, index)).or_default() += 1;
        self.places.insert(order.attempt.clone(), index);
        let latency = self.latency(&self.nodes[number].zone, &self.engines[index].zone);
        self.attempt_event(&from, &order.attempt, Duration::ZERO, AttemptEvent::Sent);
        let generated = order.generated_tokens.get();
        self.engines[index].begin(&from, order.attempt, order.request, generated);
        self.step_later(index, latency);
    }

    /// Lets a baseline choose.
    fn choose(&mut self, number: usize) -> Option<usize> {
        let is_usable = |engine: &Engine| !engine.is_gone && engine.leaves_at.is_none();
        let engines = self.engines.iter().enumerate();
        let usable: Vec<EngineView> = engines
            .filter(|(_, engine)| is_usable(engine))
            .map(|(index, engine)| EngineView {
                index,
                reported: self.loads.get(&(number, index)).copied().unwrap_or(0),
                actual: engine.load(),
            })
            .collect();
        self.policy.choose(number, &usable, &mut self.rng)
    }

    fn resume(&mut self, number: usize, order: &DispatchOrder) {
        let from = self.nodes[number].id.clone();
        let have = order.resume.as_ref().map_or(0, |resume| resume.events.0);
        let place = self.places.get(&order.attempt).copied();
        let given = place.and_then(|index| {
            let given = self.engines[index].resume(&from, &order.attempt, have)?;
            Some((index, given))
        });
        match given {
            Some((index, given)) if !given.events.is_empty() => self.give(index, given),
            Some(_) => {}
            None => {
                let event = AttemptEvent::Failed(AttemptFailure::UnknownStream);
                self.attempt_event(&from, &order.attempt, Duration::from_millis(1), event);
            }
        }
    }

    pub(super) fn attempt_event(
        &mut self,
        to: &DaemonId,
        attempt: &AttemptId,
        after: Duration,
        event: AttemptEvent,
    ) {
        let attempt = attempt.clone();
        self.tell_later(to, after, Event::Attempt { attempt, event });
    }

    fn step_later(&mut self, index: usize, latency: Duration) {
        if self.engines[index].is_stepping || self.engines[index].is_gone {
            return;
        }
        let Some(length) = self.engines[index].begin_step(&mut self.ledger) else {
            return;
        };
        self.engines[index].is_stepping = true;
        let at = self.now.after(latency).after(length);
        self.schedule.add(at, Item::StepEnds { engine: index });
    }

    pub(super) fn end_step(&mut self, index: usize) {
        self.engines[index].is_stepping = false;
        if self.engines[index].is_gone {
            return;
        }
        for given in self.engines[index].end_step(&mut self.ledger) {
            self.give(index, given);
        }
        self.step_later(index, Duration::ZERO);
    }

    fn give(&mut self, index: usize, given: Given) {
        let Some(number) = self.node_of(&given.reader) else {
            return;
        };
        let latency = self.latency(&self.nodes[number].zone, &self.engines[index].zone);
        let last_event_id = given.from + given.events.len() as u64 - 1;
        let event = AttemptEvent::Answer {
            from: laburnumstall_core::ids::EventIndex(given.from),
            events: given.events,
            last_event_id: Some(laburnumstall_core::ids::EventIndex(last_event_id)),
        };
        self.attempt_event(&given.reader, &given.attempt, latency, event);
    }

    pub(super) fn cancel(&mut self, attempt: &AttemptId) {
        if let Some(index) = self.places.remove(attempt) {
            self.engines[index].cancel(attempt);
        }
    }

    pub(super) fn abandon(&mut self, number: usize, attempt: &AttemptId) {
        let from = self.nodes[number].id.clone();
        if let Some(index) = self.places.get(attempt) {
            self.engines[*index].abandon(&from, Some(attempt));
        }
    }

    pub(super) fn engine_index(&self, id: &EndpointId) -> Option<usize> {
        self.engines.iter().position(|engine| engine.id == *id)
    }

    pub(super) fn probe(&mut self, number: usize, endpoint: &EndpointId) {
        let from = self.nodes[number].id.clone();
        let index = self.engine_index(endpoint);
        let is_gone = index.is_some_and(|index| self.engines[index].is_gone && P::USES_CORE);
        let is_gone = is_gone || self.gone.contains(endpoint);
        let (outcome, after) = match is_gone {
            true => (ProbeOutcome::Silent, CONNECT_TIMEOUT),
            false => (ProbeOutcome::Alive, Duration::from_millis(1)),
        };
        let endpoint = endpoint.clone();
        self.tell_later(&from, after, Event::Probed { endpoint, outcome });
    }

    pub(super) fn poll(&mut self, number: usize, endpoint: &EndpointId) {
        let from = self.nodes[number].id.clone();
        let index = self.engine_index(endpoint);
        let report = index.and_then(|index| {
            let engine = &self.engines[index];
            let is_silent = engine.is_gone && P::USES_CORE;
            engine.report().filter(|_| !is_silent).cloned()
        });
        if let (Some(index), Some(report)) = (index, &report) {
            let load = (report.running + report.waiting) as usize;
            self.loads.insert((number, index), load);
        }
        let (outcome, after) = match report {
            Some(report) => (PollOutcome::Report(report), Duration::from_millis(1)),
            None => (PollOutcome::Silent, CONNECT_TIMEOUT),
        };
        let endpoint = endpoint.clone();
        self.tell_later(&from, after, Event::Polled { endpoint, outcome });
    }

    /// Lets the engines take figures and report what changed in their caches.
    pub(super) fn report_all(&mut self) {
        let now = self.now;
        for index in 0..self.engines.len() {
            if self.engines[index].is_gone {
                continue;
            }
            self.engines[index].take_figures(now);
            let Some(report) = self.engines[index].cache_report() else {
                continue;
            };
            for number in 0..self.nodes.len() {
                let to = self.nodes[number].id.clone();
                if self.rng.u32(..LOST_REPORTS) > 0 {
                    let event = Event::Cache(report.clone());
                    self.tell_later(&to, REPORT_PERIOD, event);
                }
            }
        }
        self.schedule.add(now.after(REPORT_PERIOD), Item::Reports);
    }

    /// Gives all entries the VM list as it was one period ago.
    pub(super) fn list_vms(&mut self) {
        let present = self.vms();
        let listed = std::mem::replace(&mut self.listed, present.clone());
        let listed = if listed.is_empty() { present } else { listed };
        for number in 0..self.nodes.len() {
            let to = self.nodes[number].id.clone();
            self.tell_daemon(&to, Event::Vms(listed.clone()));
        }
        self.schedule.add(self.now.after(LIST_PERIOD), Item::VmList);
    }

    pub(super) fn happen_fault(&mut self, fault: Fault) {
        match fault {
            Fault::ReclaimEngines(indices) => {
                let count = indices.len();
                self.announce_engines(&indices);
                self.recover_later(count);
            }
            Fault::ReclaimZone(zone) => self.announce_zone(&zone),
            Fault::Take => self.take_due(),
            Fault::Replace(count) => {
                for _ in 0..count {
                    self.add_engine();
                }
            }
        }
    }

    fn recover_later(&mut self, engines: usize) {
        let taken = self.now.after(NOTICE);
        self.schedule.add(taken, Item::Fault(Fault::Take));
        let replaced = self.now.after(REPLACEMENT);
        self.schedule
            .add(replaced, Item::Fault(Fault::Replace(engines)));
    }

    fn announce_engines(&mut self, indices: &[usize]) {
        let deadline = self.now.after(NOTICE);
        for index in indices {
            self.engines[*index].leaves_at = Some(deadline);
            if P::USES_CORE {
                let vm = self.engines[*index].id.as_str().to_owned();
                self.announce(&vm);
            }
        }
    }

    fn announce(&mut self, vm: &str) {
        let vm: VmId = vm.parse().expect("the VM's name is valid");
        let deadline = self.now.after(NOTICE);
        for number in 0..self.nodes.len() {
            let to = self.nodes[number].id.clone();
            let vm = vm.clone();
            let event = Event::Notice(ReclaimNotice { vm, deadline });
            self.tell_later(&to, NOTICE_DELAY, event);
        }
    }

    fn announce_zone(&mut self, zone: &str) {
        let zone: AvailabilityZone = zone.parse().expect("the zone's name is valid");
        let deadline = self.now.after(NOTICE);
        let is_there = |index: &usize| self.engines[*index].zone == zone;
        let engines: Vec<usize> = (0..self.engines.len()).filter(is_there).collect();
        self.announce_engines(&engines);
        for number in 0..self.nodes.len() {
            if self.nodes[number].zone == zone {
                self.nodes[number].reclaim_at = Some(deadline);
                let vm = self.nodes[number].vm.as_str().to_owned();
                self.announce(&vm);
            }
        }
        for endpoint in self.plain_endpoints_in(&zone) {
            self.announce(endpoint.as_str());
            self.leaving_plain.insert(endpoint, deadline);
        }
        self.lost_zone = Some(zone);
        self.recover_later(engines.len());
    }

    fn take_due(&mut self) {
        let now = self.now;
        let is_due =
            |at: Option<laburnumstall_core::units::Timestamp>| at.is_some_and(|at| at <= now);
        for index in 0..self.engines.len() {
            if is_due(self.engines[index].leaves_at) && !self.engines[index].is_gone {
                self.take_engine(index);
            }
        }
        for number in 0..self.nodes.len() {
            if is_due(self.nodes[number].reclaim_at) && !self.nodes[number].is_vm_gone {
                self.end_entry(number);
                self.nodes[number].is_vm_gone = true;
                self.add_entry();
            }
        }
        self.take_plain(now);
    }

    fn take_engine(&mut self, index: usize) {
        for sequence in self.engines[index].end() {
            let Some(reader) = sequence.reader else {
                continue;
            };
            if !P::USES_CORE {
                let failure = AttemptFailure::Status {
                    status: 503,
                    message: "connection lost".into(),
                };
                let event = AttemptEvent::Failed(failure);
                self.attempt_event(&reader, &sequence.attempt, BROKEN_AFTER, event);
            }
        }
    }
}
