//! The control thread: the only writer of control state.
//!
//! It drains the inbox, passes each event to the core, logs the resulting decisions and
//! executes the resulting actions, mostly by messages to the traffic threads.

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
use crate::telemetry::{CallerChannel, count_decision, update_status_gauges};
use crate::traffic::{Abandon, Cancel, DropConnections, Poll, Probe, StartAttempt, TrafficPool};

/// Time between two updates of the gauges.
const GAUGE_PERIOD: Duration = Duration::from_secs(1);

/// Receives the decisions of the control thread.
pub trait DecisionSink {
    /// Writes one decision.
    fn write(&mut self, decision: &Decision);

    /// Records the settings that the entry starts with.
    fn record_start(&mut self, _settings: &EntrySettings) {}

    /// Records an input event; replaying all events reproduces the decisions.
    fn record_event(&mut self, _at: Timestamp, _event: &Event) {}
}

/// Why the control thread ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// All requests were finished or handed over.
    Finished,
    /// An immediate stop was requested.
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
    gauges_updated_at: Instant,
    callers: BTreeMap<CallerId, CallerChannel>,
    applies: BTreeMap<u64, oneshot::Sender<ApplyOutcome>>,
}

/// Dependencies of [`Control`].
pub struct ControlParts<S> {
    /// The core's state machine.
    pub entry: Entry,
    /// The clock.
    pub clock: Clock,
    /// Queue of incoming events.
    pub inbox: Inbox,
    /// Snapshot read by the traffic threads.
    pub published: Published,
    /// Time for which callers may cache the directory.
    pub max_age: Duration,
    /// Links to the other daemons.
    pub links: Links,
    /// Workers that call endpoints.
    pub traffic: TrafficPool,
    /// Actor that calls the platform's services.
    pub platform: Addr<Platform>,
    /// Receiver of the decisions.
    pub sink: S,
    /// Metrics of the daemon.
    pub metrics: Metrics,
    /// Placement; `None` without a cloud API.
    pub placement: Option<PlacementDriver>,
}

impl<S: DecisionSink> Control<S> {
    /// Creates the control state from its dependencies.
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
            gauges_updated_at: Instant::now(),
            callers: BTreeMap::new(),
            applies: BTreeMap::new(),
        }
    }

    /// Runs until the core exits or a halt is requested; returns the links for closing.
    pub async fn run(mut self) -> (ExitReason, Links) {
        let mut tick = tokio::time::interval(TICK_PERIOD);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let inbox = self.inbox.clone();
        loop {
            let inputs = tokio::select! {
                _ = tick.tick() => None,
                inputs = inbox.take() => Some(inputs),
            };
            let started = Instant::now();
            let end = match inputs {
                None => self.on_tick(),
                Some(inputs) => self.on_inputs(inputs),
            };
            self.metrics.control_busy(started.elapsed());
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
        self.update_gauges();
        end
    }

    fn tick_placement(&mut self) -> Option<ExitReason> {
        let placement = self.placement.as_mut()?;
        let drained_vms = placement.tick(&self.entry);
        for decision in placement.take_decisions() {
            self.sink.write(&decision);
            count_decision(&self.metrics, &decision);
        }
        let mut end = None;
        for vm in drained_vms {
            end = self.on_event(Event::Drain { vm }).or(end);
        }
        end
    }

    fn update_gauges(&mut self) {
        if self.gauges_updated_at.elapsed() < GAUGE_PERIOD {
            return;
        }
        self.gauges_updated_at = Instant::now();
        update_status_gauges(&self.metrics, &self.entry.status());
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
                    self.callers.insert(caller, CallerChannel::new(tx));
                    None
                }
                Input::Status(tx) => {
                    // The receiver is dropped if the admin call was cancelled.
                    let _ = tx.send(self.entry.status());
                    None
                }
                Input::Apply { event, token, tx } => {
                    self.applies.insert(token, tx);
                    self.on_event(event)
                }
                Input::PlacementStatus(tx) => {
                    let counts = self.placement.as_ref().map(PlacementDriver::counts);
                    // The receiver is dropped if the admin call was cancelled.
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
            && let Some(channel) = self.callers.get_mut(caller)
        {
            channel.set_service(self.metrics.service(&request.service));
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
            end = self.execute(action).or(end);
        }
        if changes_view {
            self.publish();
        }
        end
    }

    fn execute(&mut self, action: Action) -> Option<ExitReason> {
        match action {
            Action::Send {
                to,
                address,
                message,
            } => {
                // A full queue looks like a silent link to the core, which resends what matters.
                let _ = self.links.send(&to, address, *message);
            }
            Action::Store { id, call } => self.platform.do_send(CallStore { id, call }),
            Action::Deliver { caller, delivery } => self.deliver(caller, delivery),
            Action::Applied { token, outcome } => {
                if let Some(tx) = self.applies.remove(&token) {
                    // The receiver is dropped if the operator disconnected.
                    let _ = tx.send(outcome);
                }
            }
            Action::ProbePeer { daemon, address } => self.links.probe(&daemon, address),
            Action::ReplaceLink { daemon } => self.links.replace(&daemon),
            Action::Exit => return Some(ExitReason::Finished),
            other => self.execute_at_endpoint(other),
        }
        None
    }

    fn execute_at_endpoint(&self, action: Action) {
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
        if let Some(channel) = self.callers.get_mut(&caller) {
            channel.send(delivery);
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
        let is_leaving = self.entry.is_leaving();
        self.published.publish(Snapshot {
            revision: self.entry.revision(),
            system: self.entry.system().clone(),
            directory: directory.collect(),
            max_age: self.max_age,
            is_leaving,
            daemon: self.entry.own().to_string().into(),
        });
        self.links.pin(self.entry.peers().into_iter());
    }
}
