//! Entry cores, engines, plain endpoints, a key-value service and callers in virtual time.
//!
//! The world carries each action of a core to the fake that it is meant for, after a
//! delay, and brings events back. It knows nothing of how the core decides. With a
//! baseline, the engine of each new attempt is replaced by the baseline's choice; the
//! core then sees no fault of an engine, and an attempt whose engine is taken fails.

mod callers;
mod daemons;
mod engines;
mod outside;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use compact_str::CompactString;
use fastrand::Rng;
use laburnumstall_core::ids::{AttemptId, AvailabilityZone, CallerId, DaemonId, EndpointId};
use laburnumstall_core::resources::{System, Vm, VmClassSpec};
use laburnumstall_core::units::Timestamp;
use laburnumstall_testkit::{FakeStore, Node, Schedule};

use crate::caller::Caller;
use crate::engine::Engine;
use crate::faults;
use crate::figures::{Figures, RunSpec};
use crate::ledger::Ledger;
use crate::policy::Policy;
use crate::schedule::Item;
use crate::workload::{self, Arrivals};
use outside::PlainRun;

/// When each run begins, so that idempotency keys carry a real time.
const BEGINNING: Timestamp = Timestamp(1_800_000_000_000_000);

/// Entries of the system.
const ENTRIES: usize = 4;

/// Time that the entries are given before the first request.
const START_UP: Duration = Duration::from_secs(2);

/// Longest time from the last request to the end of the run.
const DRAIN: Duration = Duration::from_secs(240);

/// Time between the engines' reports.
const REPORT_PERIOD: Duration = Duration::from_millis(250);

/// Time between two readings of the VM list.
const LIST_PERIOD: Duration = Duration::from_secs(1);

/// Time from the beginning of measurement to the first fault.
const FAULT_AFTER: Duration = Duration::from_secs(4);

/// Everything in virtual time.
pub(crate) struct World<P> {
    now: Timestamp,
    rng: Rng,
    policy: P,
    system: System,
    class: VmClassSpec,
    schedule: Schedule<Item>,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    callers: Vec<Caller>,
    connections: BTreeMap<(DaemonId, CallerId), usize>,
    store: FakeStore,
    ledger: Ledger,
    /// Engines that run attempts, with the attempts' names.
    places: BTreeMap<AttemptId, usize>,
    /// What each entry knows of each engine's load, for baselines.
    loads: BTreeMap<(usize, usize), usize>,
    plain_runs: BTreeMap<u64, PlainRun>,
    next_plain: u64,
    /// Times that each keyed order ran.
    runs_by_key: BTreeMap<CompactString, u32>,
    /// Plain endpoints that are gone.
    gone: BTreeSet<EndpointId>,
    leaving_plain: BTreeMap<EndpointId, Timestamp>,
    /// Zone that was taken.
    lost_zone: Option<AvailabilityZone>,
    listed: Vec<Vm>,
    told_silent: BTreeMap<(DaemonId, DaemonId), Timestamp>,
    store_calls: u64,
    next_connection: u64,
}

impl<P: Policy> World<P> {
    pub(crate) fn new(spec: &RunSpec) -> Self {
        let system = spec.workload.system_with(spec.contracts);
        let class = system.classes[0].clone();
        let mut world = Self {
            now: BEGINNING,
            rng: Rng::with_seed(spec.seed ^ 0x5eed),
            policy: P::default(),
            class,
            schedule: Schedule::default(),
            nodes: Vec::new(),
            engines: Vec::new(),
            callers: Vec::new(),
            connections: BTreeMap::new(),
            store: FakeStore::default(),
            ledger: Ledger::default(),
            places: BTreeMap::new(),
            loads: BTreeMap::new(),
            plain_runs: BTreeMap::new(),
            next_plain: 0,
            runs_by_key: BTreeMap::new(),
            gone: BTreeSet::new(),
            leaving_plain: BTreeMap::new(),
            lost_zone: None,
            listed: Vec::new(),
            told_silent: BTreeMap::new(),
            store_calls: 0,
            next_connection: 0,
            system,
        };
        for _ in 0..spec.replicas {
            world.add_engine();
        }
        for _ in 0..ENTRIES {
            world.add_entry();
        }
        world.introduce_all();
        world.plan(spec);
        world
    }

    /// Plans requests, faults and what happens regularly.
    fn plan(&mut self, spec: &RunSpec) {
        let begin = BEGINNING.after(START_UP);
        let time = spec.warm_up + spec.time;
        let drawn = workload::draw(spec.workload, &self.system, spec.seed, begin, time);
        let Arrivals { arrivals, shared } = drawn;
        self.ledger = Ledger::new(P::CACHES_ALL, shared);
        for arrival in arrivals {
            let index = self.callers.len();
            self.callers.push(Caller::new(arrival.request, arrival.at));
            self.schedule.add(arrival.at, Item::Caller { index });
        }
        self.schedule.add(BEGINNING, Item::Reports);
        self.schedule.add(BEGINNING, Item::VmList);
        let zone = self.system.zones[1].name.as_str();
        let measured_from = begin.after(spec.warm_up);
        for planned in faults::plan(spec.faults, spec.replicas, zone, FAULT_AFTER) {
            let at = measured_from.after(planned.after);
            self.schedule.add(at, Item::Fault(planned.fault));
        }
    }

    /// Runs until every request is over, and returns what was measured.
    pub(crate) fn run(mut self, spec: &RunSpec) -> Figures {
        let measured_from = BEGINNING.after(START_UP).after(spec.warm_up);
        self.run_until(measured_from);
        let store_calls = self.store_calls;
        self.ledger.is_counting = true;
        let measured_to = measured_from.after(spec.time);
        self.run_until(measured_to);
        let store_calls = self.store_calls - store_calls;
        let end = measured_to.after(DRAIN);
        while self.now < end && self.callers.iter().any(|caller| !caller.is_over()) {
            self.run_until(self.now.after(Duration::from_secs(1)));
        }
        let runs: Vec<u32> = self.runs_by_key.values().copied().collect();
        Figures::new(
            spec,
            measured_from,
            &self.callers,
            &self.ledger,
            &runs,
            store_calls,
        )
    }

    fn run_until(&mut self, until: Timestamp) {
        while let Some((at, item)) = self.schedule.next(until) {
            self.now = self.now.max(at);
            self.happen(item);
        }
        self.now = until;
    }

    fn happen(&mut self, item: Item) {
        match item {
            Item::Tell { to, event } => self.tell_daemon(&to, *event),
            Item::Store {
                from,
                id,
                call,
                until,
            } => self.answer_store(&from, id, call, until),
            Item::StepEnds { engine } => self.end_step(engine),
            Item::Reports => self.report_all(),
            Item::VmList => self.list_vms(),
            Item::Caller { index } => self.step_caller(index),
            Item::ToCaller { index, delivery } => {
                let now = self.now;
                self.callers[index].take_in(now, delivery.connection, delivery.delivery);
            }
            Item::PlainEnds { number } => self.end_plain(number),
            Item::Fault(fault) => self.happen_fault(fault),
        }
    }

    fn latency(&self, one: &AvailabilityZone, other: &AvailabilityZone) -> Duration {
        let within = Duration::from_micros(100);
        self.system.latency(one, other).max(within)
    }
}
