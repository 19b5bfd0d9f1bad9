//! Entry cores joined with each other and with the fakes around them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fastrand::Rng;
use laburnumstall_core::decision::Decision;
use laburnumstall_core::entry::{Action, Event, LinkEvent, Output, TICK_PERIOD};
use laburnumstall_core::ids::{
    AvailabilityZone, DaemonId, EndpointId, Incarnation, Revision, VmId,
};
use laburnumstall_core::message::{ConfigurationRecord, Message};
use laburnumstall_core::resources::{Configuration, System};
use laburnumstall_core::units::Timestamp;

use crate::caller::FakeCaller;
use crate::counts::Counts;
use crate::endpoint::FakeEndpoint;
use crate::network::Network;
use crate::node::Node;
use crate::operators::SettledApply;
use crate::schedule::{Item, Schedule};
use crate::store::FakeStore;
use crate::system::{MODEL, ORDERS, STOCK, named, system};

/// Time that callers keep the directory.
pub(crate) const DIRECTORY_MAX_AGE: Duration = Duration::from_secs(1);

/// When each world begins, so that idempotency keys carry a real time.
const BEGINNING: Timestamp = Timestamp(1_800_000_000_000_000);

/// Time between the cut of a link and the moment at which its sender notices.
const SILENCE: Duration = Duration::from_millis(1_500);

/// What a world is made of.
#[derive(Debug, Clone)]
pub struct WorldSpec {
    /// Seed of all chance.
    pub seed: u64,
    /// Entries; spread over the zones in turn.
    pub entries: usize,
    /// Model endpoints; spread over the zones in turn.
    pub models: u16,
    /// Whether the order service runs a repeated key once.
    pub orders_check_keys: bool,
    /// Whether a model's answer differs each time that it is begun.
    pub samples: bool,
    /// Whether the world keeps its lines.
    pub keeps_lines: bool,
    /// Whether messages are counted, which takes more time than some of them.
    pub counts_messages: bool,
}

impl Default for WorldSpec {
    fn default() -> Self {
        Self {
            seed: 1,
            entries: 4,
            models: 6,
            orders_check_keys: false,
            samples: false,
            keeps_lines: false,
            counts_messages: false,
        }
    }
}

/// A world in virtual time.
#[derive(Debug)]
pub struct World {
    /// The present time.
    pub now: Timestamp,
    /// Source of all chance.
    pub rng: Rng,
    /// Entry VMs.
    pub nodes: Vec<Node>,
    /// The key-value service.
    pub store: FakeStore,
    /// Endpoints.
    pub endpoints: Vec<FakeEndpoint>,
    /// Callers.
    pub callers: Vec<FakeCaller>,
    /// Delays and cuts between the daemons.
    pub network: Network,
    /// Decision lines of all daemons with what the test did, in order.
    pub lines: Vec<String>,
    /// What operators were told, in order.
    pub applied: Vec<SettledApply>,
    /// Whether lines are kept.
    pub keeps_lines: bool,
    /// Whether a model's answer differs each time that it is begun.
    pub(crate) samples: bool,
    /// What the daemons asked of endpoints and told each other.
    pub counts: Counts,
    counts_messages: bool,
    pub(crate) schedule: Schedule<Item>,
    pub(crate) system: System,
    /// Endpoints that a request crashed.
    pub poisoned: u32,
    /// Crashes at which a request was in flight, by its name.
    pub(crate) crashed_with: BTreeMap<String, u32>,
    /// Keys that ran, as services remember them that check keys.
    pub(crate) answered: BTreeSet<String>,
    pub(crate) next_caller: u64,
    next_incarnation: u64,
}

impl World {
    /// Builds a world whose entries know each other and the configuration.
    pub fn new(spec: &WorldSpec) -> Self {
        let endpoints = build_endpoints(spec);
        let system = system(&endpoints, spec.orders_check_keys);
        let mut world = Self {
            now: BEGINNING,
            rng: Rng::with_seed(spec.seed),
            nodes: Vec::new(),
            store: FakeStore::default(),
            endpoints,
            callers: Vec::new(),
            network: Network::default(),
            lines: Vec::new(),
            applied: Vec::new(),
            keeps_lines: spec.keeps_lines,
            samples: spec.samples,
            counts: Counts::default(),
            counts_messages: spec.counts_messages,
            schedule: Schedule::default(),
            system,
            poisoned: 0,
            crashed_with: BTreeMap::new(),
            answered: BTreeSet::new(),
            next_caller: 0,
            next_incarnation: 0,
        };
        for _ in 0..spec.entries {
            world.add_entry();
        }
        world.introduce_all();
        world.run_for(Duration::from_millis(200));
        world
    }

    /// Returns the zone of the VM with a number.
    pub fn zone_of(number: usize) -> AvailabilityZone {
        named(["a", "b", "c"][number % 3])
    }

    /// Starts an entry on a new VM in the next zone; returns its number.
    pub fn add_entry(&mut self) -> usize {
        let number = self.nodes.len();
        let vm: VmId = named(&format!("entry-{number}"));
        let id = self.next_id(&vm);
        let zone = Self::zone_of(number);
        self.note(&format!("entry starts vm={vm} zone={zone}"));
        self.nodes.push(Node::start(vm, zone, id));
        self.tick_soon(number);
        number
    }

    /// Starts a new process on an entry's VM.
    pub fn restart_entry(&mut self, number: usize) {
        let vm = self.nodes[number].vm.clone();
        let zone = self.nodes[number].zone.clone();
        let id = self.next_id(&vm);
        self.note(&format!("entry restarts vm={vm}"));
        self.nodes[number] = Node::start(vm, zone, id);
        self.tick_soon(number);
    }

    fn next_id(&mut self, vm: &VmId) -> DaemonId {
        self.next_incarnation += 1;
        DaemonId {
            vm: vm.clone(),
            incarnation: Incarnation(self.next_incarnation),
        }
    }

    fn tick_soon(&mut self, number: usize) {
        let to = self.nodes[number].id.clone();
        let at = self.now.after(Duration::from_micros(number as u64 * 1_000));
        let event = Box::new(Event::Tick);
        self.schedule.add(at, Item::Tell { to, event });
    }

    /// Tells all entries of each other and of the configuration at once.
    fn introduce_all(&mut self) {
        let record = self.record(1);
        let members: Vec<_> = self
            .nodes
            .iter()
            .filter_map(|node| node.entry.as_ref())
            .map(|entry| entry.status().own)
            .collect();
        for number in 0..self.nodes.len() {
            for member in &members {
                if member.id == self.nodes[number].id {
                    continue;
                }
                let message = Message::Heartbeat {
                    member: member.clone(),
                    revision: Revision(0),
                    digest: Default::default(),
                };
                self.tell(number, message_event(&member.id, message));
            }
            let from = members[(number + 1) % members.len()].id.clone();
            let message = Message::PushConfiguration(Box::new(record.clone()));
            self.tell(number, message_event(&from, message));
        }
    }

    fn record(&self, revision: u64) -> ConfigurationRecord {
        ConfigurationRecord {
            configuration: Configuration {
                revision: Revision(revision),
                digest: format!("digest-{revision}").into(),
                system: self.system.clone(),
            },
            operator: "test".into(),
            at: self.now,
            reason: "".into(),
            nonce: revision,
        }
    }

    /// Adds a line about what the test does.
    pub fn note(&mut self, text: &str) {
        if self.keeps_lines {
            let at = Timestamp(self.now.0 - BEGINNING.0);
            self.lines.push(format!("{at} -- {text}"));
        }
    }

    /// Lets time pass.
    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now.after(time));
    }

    /// Lets everything happen that is due by `until`.
    pub fn run_until(&mut self, until: Timestamp) {
        while let Some((at, item)) = self.schedule.next(until) {
            self.now = self.now.max(at);
            self.happen(item);
        }
        self.now = until;
    }

    fn happen(&mut self, item: Item) {
        match item {
            Item::Tell { to, event } => self.tell_daemon(&to, *event),
            Item::Store { from, id, call } => self.answer_store(&from, id, &call),
            Item::Produce {
                endpoint,
                attempt,
                life,
            } => self.produce(&endpoint, &attempt, life),
            Item::Caller { index } => self.step_caller(index),
        }
    }

    /// Returns the number of the node whose process has an identity.
    pub fn node_of(&self, id: &DaemonId) -> Option<usize> {
        let is_it = |node: &Node| node.id == *id && node.is_running();
        self.nodes.iter().position(is_it)
    }

    pub(crate) fn tell_daemon(&mut self, to: &DaemonId, event: Event) {
        let Some(number) = self.node_of(to) else {
            return;
        };
        let paused_until = self.nodes[number].paused_until;
        if paused_until > self.now {
            let to = to.clone();
            let event = Box::new(event);
            self.schedule.add(paused_until, Item::Tell { to, event });
            return;
        }
        self.tell(number, event);
    }

    /// Lets a daemon take in an event, and carries out its actions.
    pub fn tell(&mut self, number: usize, event: Event) {
        let is_tick = event == Event::Tick;
        let now = self.now;
        let Some(entry) = &mut self.nodes[number].entry else {
            return;
        };
        let Output { actions, decisions } = entry.handle(now, event);
        self.keep_lines(number, &decisions);
        for action in actions {
            self.carry_out(number, action);
        }
        if is_tick && self.nodes[number].is_running() {
            let to = self.nodes[number].id.clone();
            let event = Box::new(Event::Tick);
            self.schedule
                .add(now.after(TICK_PERIOD), Item::Tell { to, event });
        }
    }

    fn keep_lines(&mut self, number: usize, decisions: &[Decision]) {
        if !self.keeps_lines {
            return;
        }
        for decision in decisions {
            let mut decision = decision.clone();
            decision.at = Timestamp(decision.at.0 - BEGINNING.0);
            let vm = &self.nodes[number].vm;
            self.lines.push(format!("{vm} {decision}"));
        }
    }

    fn carry_out(&mut self, number: usize, action: Action) {
        match action {
            Action::Send { to, message, .. } => self.send(number, &to, *message),
            Action::Store { id, call } => {
                let from = self.nodes[number].id.clone();
                let at = self.now.after(Duration::from_millis(1));
                self.schedule.add(at, Item::Store { from, id, call });
            }
            Action::Deliver { caller, delivery } => self.deliver(number, caller, delivery),
            Action::ProbePeer { daemon, .. } => self.probe_peer(number, &daemon),
            Action::Exit => {
                self.nodes[number].has_exited = true;
                self.end_process(number);
            }
            Action::Applied { token, outcome } => self.answer_operator(number, token, outcome),
            Action::ReplaceLink { .. } => {}
            other => self.carry_out_at_endpoint(number, other),
        }
    }

    fn send(&mut self, number: usize, to: &DaemonId, message: Message) {
        if self.counts_messages {
            self.counts.message(&message);
        }
        let from = self.nodes[number].id.clone();
        let Some(target) = self.nodes.iter().position(|node| node.vm == to.vm) else {
            return;
        };
        let is_cut = self.network.is_cut(&from.vm, &to.vm);
        if is_cut || self.nodes[target].is_vm_gone {
            if self.network.tells_silence(self.now, &from.vm, &to.vm) {
                self.tell_link(&from, to, LinkEvent::Silent, SILENCE);
            }
            return;
        }
        if self.node_of(to).is_none() {
            if self.network.tells_silence(self.now, &from.vm, &to.vm) {
                self.tell_link(&from, to, LinkEvent::Refused, Duration::from_millis(2));
            }
            return;
        }
        // A paused process answers nothing; what is sent meanwhile waits for it.
        let is_paused = self.nodes[target].paused_until > self.now.after(SILENCE);
        if is_paused && self.network.tells_silence(self.now, &from.vm, &to.vm) {
            self.tell_link(&from, to, LinkEvent::Silent, SILENCE);
        }
        let is_near = self.nodes[number].zone == self.nodes[target].zone;
        let jitter = self.rng.u64(..400);
        let lane = message.lane();
        let at = self
            .network
            .arrival(self.now, &from.vm, &to.vm, lane, is_near, jitter);
        let to = to.clone();
        let event = Box::new(message_event(&from, message));
        self.schedule.add(at, Item::Tell { to, event });
    }

    fn tell_link(&mut self, to: &DaemonId, about: &DaemonId, event: LinkEvent, after: Duration) {
        let daemon = about.clone();
        let event = Box::new(Event::Link { daemon, event });
        let to = to.clone();
        self.schedule
            .add(self.now.after(after), Item::Tell { to, event });
    }

    fn probe_peer(&mut self, number: usize, daemon: &DaemonId) {
        let from = self.nodes[number].id.clone();
        let target = self.nodes.iter().find(|node| node.vm == daemon.vm);
        let is_reachable = target.is_some_and(|node| !node.is_vm_gone)
            && !self.network.is_cut(&from.vm, &daemon.vm);
        let is_paused = target.is_some_and(|node| node.paused_until > self.now);
        let is_running = target.is_some_and(|node| node.id == *daemon && node.is_running());
        let (event, after) = match (is_reachable, is_running, is_paused) {
            (true, true, false) => (LinkEvent::ProbeAnswered, Duration::from_millis(2)),
            (true, false, _) => (LinkEvent::Refused, Duration::from_millis(2)),
            _ => (LinkEvent::ProbeSilent, SILENCE),
        };
        self.tell_link(&from, daemon, event, after);
    }

    pub(crate) fn endpoint_index(&self, id: &EndpointId) -> Option<usize> {
        self.endpoints.iter().position(|known| known.id == *id)
    }
}

pub(crate) fn message_event(from: &DaemonId, message: Message) -> Event {
    Event::Peer {
        from: from.clone(),
        message: Box::new(message),
    }
}

fn build_endpoints(spec: &WorldSpec) -> Vec<FakeEndpoint> {
    let mut endpoints = Vec::new();
    for number in 0..spec.models {
        let zone = World::zone_of(usize::from(number));
        endpoints.push(FakeEndpoint::new(number, zone, named(MODEL)));
    }
    for (offset, service) in [(100, ORDERS), (200, STOCK)] {
        for number in 0..2 {
            let zone = World::zone_of(usize::from(number));
            let mut endpoint = FakeEndpoint::new(offset + number, zone, named(service));
            endpoint.checks_keys = service == ORDERS && spec.orders_check_keys;
            endpoints.push(endpoint);
        }
    }
    endpoints
}
