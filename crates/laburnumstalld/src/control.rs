//! The control thread: the only writer of control state.
//!
//! It empties the inbox, lets the core take in each event, writes the decisions to the
//! log and carries out the actions by passing them to the traffic threads.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use actix::Addr;
use laburnumstall_core::decision::Decision;
use laburnumstall_core::entry::{
    Action, ApplyOutcome, Entry, EntrySettings, Event, Output, TICK_PERIOD,
};
use laburnumstall_core::ids::CallerId;
use laburnumstall_core::message::Delivery;
use laburnumstall_core::units::Timestamp;
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::inbox::{Inbox, Input};
use crate::links::Links;
use crate::metrics::Metrics;
use crate::placement::PlacementDriver;
use crate::platform::{CallStore, Platform};
use crate::snapshot::{DirectoryEntry, Published, Snapshot};
use crate::telemetry::{CallerSlot, count_decision, show_status};
use crate::traffic::{Abandon, Cancel, DropConnections, Poll, Probe, StartAttempt, TrafficPool};

/// Time between two updates of the metrics that show a state.
const SHOW_PERIOD: Duration = Duration::from_secs(1);

/// Where the control thread writes its decisions.
pub trait DecisionSink {
    /// Writes one decision.
    fn write(&mut self, decision: &Decision);

    /// Takes note of the settings that the entry starts with.
    fn record_start(&mut self, _settings: &EntrySettings) {}

    /// Takes note of what the entry is told; all events together replay its decisions.
    fn record_event(&mut self, _at: Timestamp, _event: &Event) {}
}

/// Why the control thread ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// Everything was finished or handed over.
    Finished,
    /// It was told to end at once.
    Halted,
}

/// The control thread's state.
pub struct Control<S> {
    entry: Entry,
    clock: Clock,
    inbox: Inbox,
    published: Published,
    max_age: Duration,
    links: Links,
    traffic: TrafficPool,
    platform: Addr<Platform>,
    sink: S,
    metrics: Metrics,
    placement: Option<PlacementDriver>,
    shown_at: Instant,
    callers: BTreeMap<CallerId, CallerSlot>,
    applies: BTreeMap<u64, oneshot::Sender<ApplyOutcome>>,
}

/// What the control thread works with.
pub struct ControlParts<S> {
    /// The core.
    pub entry: Entry,
    /// The clock.
    pub clock: Clock,
    /// Where events come from.
    pub inbox: Inbox,
    /// Where the snapshot goes.
    pub published: Published,
    /// Time that callers keep the directory.
    pub max_age: Duration,
    /// Links to the other daemons.
    pub links: Links,
    /// Threads for endpoints.
    pub traffic: TrafficPool,
    /// Thread for the platform.
    pub platform: Addr<Platform>,
    /// Where decisions go.
    pub sink: S,
    /// What is counted.
    pub metrics: Metrics,
    /// Placement, where a cloud API is known.
    pub placement: Option<PlacementDriver>,
}

impl<S: DecisionSink> Control<S> {
    /// Takes over the parts.
    pub fn new(parts: ControlParts<S>) -> Self {
        Self {
            entry: parts.entry,
            clock: parts.clock,
            inbox: parts.inbox,
            published: parts.published,
            max_age: parts.max_age,
            links: parts.links,
            traffic: parts.traffic,
            platform: parts.platform,
            sink: parts.sink,
            metrics: parts.metrics,
            placement: parts.placement,
            shown_at: Instant::now(),
            callers: BTreeMap::new(),
            applies: BTreeMap::new(),
        }
    }

    /// Runs until the core has finished or a halt is asked for; gives the links back.
    pub async fn run(mut self) -> (ExitReason, Links) {
        let mut tick = tokio::time::interval(TICK_PERIOD);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let inbox = self.inbox.clone();
        loop {
            let inputs = tokio::select! {
                _ = tick.tick() => None,
                inputs = inbox.take() => Some(inputs),
            };
            let began = Instant::now();
            let end = match inputs {
                None => self.on_tick(),
                Some(inputs) => self.on_inputs(inputs),
            };
            self.metrics.control_busy(began.elapsed());
            if let Some(end) = end {
                if let Some(placement) = self.placement.filter(|_| end == ExitReason::Finished) {
                    placement.close();
                }
                return (end, self.links);
            }
        }
    }

    fn on_tick(&mut self) -> Option<ExitReason> {
        let end = self.on_event(Event::Tick);
        let end = self.tick_placement().or(end);
        self.publish();
        self.show();
        end
    }

    fn tick_placement(&mut self) -> Option<ExitReason> {
        let placement = self.placement.as_mut()?;
        let drained = placement.tick(&self.entry);
        for decision in placement.take_decisions() {
            self.sink.write(&decision);
            count_decision(&self.metrics, &decision);
        }
        let mut end = None;
        for vm in drained {
            end = self.on_event(Event::Drain { vm }).or(end);
        }
        end
    }

    fn show(&mut self) {
        if self.shown_at.elapsed() < SHOW_PERIOD {
            return;
        }
        self.shown_at = Instant::now();
        show_status(&self.metrics, &self.entry.status());
        self.metrics.set_traffic(&self.links.traffic());
        if let Some(placement) = &self.placement {
            self.metrics.set_placement(placement.counts());
        }
    }

    fn on_inputs(&mut self, inputs: Vec<Input>) -> Option<ExitReason> {
        for input in inputs {
            let end = match input {
                Input::Event(event) => self.on_event(event),
                Input::Open { caller, tx } => {
                    self.callers.insert(caller, CallerSlot::new(tx));
                    None
                }
                Input::Status(tx) => {
                    // The asker may have gone away.
                    let _ = tx.send(self.entry.status());
                    None
                }
                Input::Apply { event, token, tx } => {
                    self.applies.insert(token, tx);
                    self.on_event(event)
                }
                Input::PlacementStatus(tx) => {
                    let counts = self.placement.as_ref().map(PlacementDriver::counts);
                    // The asker may have gone away.
                    let _ = tx.send(counts);
                    None
                }
                Input::Placement(event) => {
                    if let Some(placement) = &mut self.placement {
                        placement.on_event(event);
                    }
                    None
                }
                Input::Halt => Some(ExitReason::Halted),
            };
            if end.is_some() {
                return end;
            }
        }
        None
    }

    fn on_event(&mut self, event: Event) -> Option<ExitReason> {
        if let Event::Arrived { caller, request } = &event
            && let Some(slot) = self.callers.get_mut(caller)
        {
            slot.serve(self.metrics.service(&request.service));
        }
        if let Event::CallerGone { caller } = &event {
            self.callers.remove(caller);
        }
        if let (Event::Notice(notice), Some(placement)) = (&event, &mut self.placement) {
            placement.on_notice(notice);
        }
        let changes_view = matches!(event, Event::Store { .. } | Event::Stop { .. });
        let now = self.clock.now();
        self.sink.record_event(now, &event);
        let Output { actions, decisions } = self.entry.handle(now, event);
        for decision in &decisions {
            self.sink.write(decision);
            count_decision(&self.metrics, decision);
        }
        let mut end = None;
        for action in actions {
            end = self.carry_out(action).or(end);
        }
        if changes_view {
            self.publish();
        }
        end
    }

    fn carry_out(&mut self, action: Action) -> Option<ExitReason> {
        match action {
            Action::Send {
                to,
                address,
                message,
            } => {
                // A full queue is a silent link to the core: it repeats what matters.
                let _ = self.links.send(&to, address, *message);
            }
            Action::Store { id, call } => self.platform.do_send(CallStore { id, call }),
            Action::Deliver { caller, delivery } => self.deliver(caller, delivery),
            Action::Applied { token, outcome } => {
                if let Some(tx) = self.applies.remove(&token) {
                    // The operator may have gone away.
                    let _ = tx.send(outcome);
                }
            }
            Action::ProbePeer { daemon, address } => self.links.probe(&daemon, address),
            Action::ReplaceLink { daemon } => self.links.replace(&daemon),
            Action::Exit => return Some(ExitReason::Finished),
            other => self.carry_out_at_endpoint(other),
        }
        None
    }

    fn carry_out_at_endpoint(&self, action: Action) {
        match action {
            Action::Dispatch(order) => {
                let worker = self.traffic.worker_of(&order.attempt.request);
                worker.do_send(StartAttempt(order));
            }
            Action::Cancel { attempt, address } => {
                let worker = self.traffic.worker_of(&attempt.request);
                worker.do_send(Cancel { attempt, address });
            }
            Action::Abandon { attempt } => {
                let worker = self.traffic.worker_of(&attempt.request);
                worker.do_send(Abandon(attempt));
            }
            Action::Probe { endpoint, address } => {
                self.traffic.any().do_send(Probe { endpoint, address });
            }
            Action::Poll { endpoint, address } => {
                self.traffic.any().do_send(Poll { endpoint, address });
            }
            Action::DropConnections { address } => {
                for worker in self.traffic.all() {
                    worker.do_send(DropConnections(address));
                }
            }
            _ => {}
        }
    }

    fn deliver(&mut self, caller: CallerId, delivery: Delivery) {
        if let Some(slot) = self.callers.get_mut(&caller) {
            slot.give(delivery);
        }
    }

    fn publish(&self) {
        let directory = self
            .entry
            .directory()
            .into_iter()
            .map(|member| DirectoryEntry {
                address: member.caller_address,
                zone: member.zone.clone(),
            });
        let status_is_leaving = self.entry.is_leaving();
        self.published.publish(Snapshot {
            revision: self.entry.revision(),
            system: self.entry.system().clone(),
            directory: directory.collect(),
            max_age: self.max_age,
            is_leaving: status_is_leaving,
            daemon: self.entry.own().to_string().into(),
        });
        self.links.pin(self.entry.peers().into_iter());
    }
}
