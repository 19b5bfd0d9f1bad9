//! The entries: what they are told, and where their actions go.

use std::time::Duration;

use laburnumstall_core::entry::{Action, Event, LinkEvent, TICK_PERIOD};
use laburnumstall_core::ids::{DaemonId, Incarnation, Revision, VmId};
use laburnumstall_core::message::{ConfigurationRecord, Message};
use laburnumstall_core::resources::Configuration;
use laburnumstall_core::units::Timestamp;
use laburnumstall_testkit::Node;

use super::World;
use crate::policy::Policy;
use crate::schedule::Item;

/// Time after which a cut connection is noticed.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Time between two notices of the same cut connection.
const NOTICE_PERIOD: Duration = Duration::from_secs(1);

impl<P: Policy> World<P> {
    /// Starts an entry in the next zone that is there.
    pub(super) fn add_entry(&mut self) {
        let number = self.nodes.len();
        let zone = self.next_zone(number);
        let vm: VmId = format!("entry-{number}")
            .parse()
            .expect("the name is valid");
        let id = DaemonId {
            vm: vm.clone(),
            incarnation: Incarnation(number as u64 + 1),
        };
        let node = Node::start(vm, zone, id);
        let to = node.id.clone();
        self.nodes.push(node);
        let after = Duration::from_micros(1 + number as u64 * 1_000);
        self.tell_later(&to, after, Event::Tick);
    }

    /// Returns the zone for the VM of a number, leaving out a zone that was taken.
    pub(super) fn next_zone(&self, number: usize) -> laburnumstall_core::ids::AvailabilityZone {
        let is_there = |zone: &&laburnumstall_core::resources::Zone| {
            self.lost_zone.as_ref() != Some(&zone.name)
        };
        let zones: Vec<_> = self.system.zones.iter().filter(is_there).collect();
        zones[number % zones.len()].name.clone()
    }

    /// Tells all entries of each other and of the configuration.
    pub(super) fn introduce_all(&mut self) {
        let entries = self.nodes.iter().filter_map(|node| node.entry.as_ref());
        let members: Vec<_> = entries.map(|entry| entry.status().own).collect();
        let record = self.configuration();
        for number in 0..self.nodes.len() {
            for member in &members {
                if member.id != self.nodes[number].id {
                    let message = Message::Heartbeat {
                        member: member.clone(),
                        revision: Revision(0),
                        digest: Default::default(),
                    };
                    self.tell(number, peer_event(&member.id, message));
                }
            }
            let from = members[(number + 1) % members.len()].id.clone();
            let message = Message::PushConfiguration(Box::new(record.clone()));
            self.tell(number, peer_event(&from, message));
        }
    }

    fn configuration(&self) -> ConfigurationRecord {
        ConfigurationRecord {
            configuration: Configuration {
                revision: Revision(1),
                digest: "bench".into(),
                system: self.system.clone(),
            },
            operator: "bench".into(),
            at: self.now,
            reason: "".into(),
            nonce: 1,
        }
    }

    pub(super) fn node_of(&self, id: &DaemonId) -> Option<usize> {
        let is_it = |node: &Node| node.id == *id && node.entry.is_some();
        self.nodes.iter().position(is_it)
    }

    pub(super) fn tell_later(&mut self, to: &DaemonId, after: Duration, event: Event) {
        let item = Item::Tell {
            to: to.clone(),
            event: Box::new(event),
        };
        self.schedule.add(self.now.after(after), item);
    }

    pub(super) fn tell_daemon(&mut self, to: &DaemonId, event: Event) {
        if let Some(number) = self.node_of(to) {
            self.tell(number, event);
        }
    }

    fn tell(&mut self, number: usize, event: Event) {
        let is_tick = event == Event::Tick;
        let now = self.now;
        let Some(entry) = &mut self.nodes[number].entry else {
            return;
        };
        for action in entry.handle(now, event).actions {
            self.carry_out(number, action);
        }
        if is_tick {
            let to = self.nodes[number].id.clone();
            self.tell_later(&to, TICK_PERIOD, Event::Tick);
        }
    }

    fn carry_out(&mut self, number: usize, action: Action) {
        match action {
            Action::Send { to, message, .. } => self.send(number, &to, *message),
            Action::Store { id, call } => self.call_store(number, id, call),
            Action::Deliver { caller, delivery } => self.deliver(number, caller, delivery),
            Action::Dispatch(order) => self.dispatch(number, order),
            Action::Cancel { attempt, .. } => self.cancel(&attempt),
            Action::Abandon { attempt } => self.abandon(number, &attempt),
            Action::Probe { endpoint, .. } => self.probe(number, &endpoint),
            Action::Poll { endpoint, .. } => self.poll(number, &endpoint),
            Action::ProbePeer { daemon, .. } => self.probe_peer(number, &daemon),
            Action::Exit => self.end_entry(number),
            Action::DropConnections { .. }
            | Action::ReplaceLink { .. }
            | Action::Applied { .. } => {}
        }
    }

    fn send(&mut self, number: usize, to: &DaemonId, message: Message) {
        let from = self.nodes[number].id.clone();
        let Some(target) = self.nodes.iter().position(|node| node.id == *to) else {
            return;
        };
        if self.nodes[target].entry.is_none() {
            let is_gone = self.nodes[target].is_vm_gone;
            self.tell_link(&from, to, is_gone);
            return;
        }
        let latency = self.latency(&self.nodes[number].zone, &self.nodes[target].zone);
        self.tell_later(to, latency, peer_event(&from, message));
    }

    fn tell_link(&mut self, to: &DaemonId, about: &DaemonId, is_silent: bool) {
        let pair = (to.clone(), about.clone());
        let told = self.told_silent.entry(pair).or_insert(Timestamp::ZERO);
        if self.now.since(*told) < NOTICE_PERIOD {
            return;
        }
        *told = self.now;
        let daemon = about.clone();
        let (event, after) = match is_silent {
            true => (LinkEvent::Silent, SILENCE),
            false => (LinkEvent::Refused, Duration::from_millis(2)),
        };
        self.tell_later(to, after, Event::Link { daemon, event });
    }

    fn probe_peer(&mut self, number: usize, daemon: &DaemonId) {
        let from = self.nodes[number].id.clone();
        let target = self.nodes.iter().find(|node| node.id == *daemon);
        let is_running = target.is_some_and(|node| node.entry.is_some());
        let is_gone = target.is_none_or(|node| node.is_vm_gone);
        let (event, after) = match (is_running, is_gone) {
            (true, _) => (LinkEvent::ProbeAnswered, Duration::from_millis(2)),
            (false, false) => (LinkEvent::Refused, Duration::from_millis(2)),
            (false, true) => (LinkEvent::ProbeSilent, SILENCE),
        };
        let daemon = daemon.clone();
        self.tell_later(&from, after, Event::Link { daemon, event });
    }

    /// Ends an entry's process; engines go on without a reader.
    pub(super) fn end_entry(&mut self, number: usize) {
        self.nodes[number].entry = None;
        let id = self.nodes[number].id.clone();
        for engine in &mut self.engines {
            engine.abandon(&id, None);
        }
        for run in self.plain_runs.values_mut() {
            run.lose_reader(&id);
        }
    }
}

fn peer_event(from: &DaemonId, message: Message) -> Event {
    Event::Peer {
        from: from.clone(),
        message: Box::new(message),
    }
}
