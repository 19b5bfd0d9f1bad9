//! State shared by the tasks of a gateway: the core, the clock, the log and the metrics.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use laburnumstall_core::decision::{Decision, Journal};
use laburnumstall_core::gateway::{BufferBudget, CallerLimits, Gateway, PeerMessage};
use laburnumstall_core::ids::DaemonId;
use laburnumstall_core::units::{Bytes, Timestamp};
use laburnumstall_peer::PeerEndpoint;
use laburnumstall_platform::settings::HostSettings;
use tokio::sync::Notify;

use super::admission::Waiters;
use super::log::{DecisionLog, Event};
use super::metrics::GatewayMetrics;
use super::origins::PendingLookups;
use super::upstream::Pool;
use crate::clock::Clock;

/// Caller limits until a configuration is loaded; typical values of an HTTP server.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    head: Bytes(16 << 10),
    body: Bytes(4 << 20),
    head_timeout: std::time::Duration::from_secs(3),
    idle_timeout: std::time::Duration::from_secs(15),
};

/// Shared state of one gateway, whose tasks all run on one thread.
pub(super) struct Context {
    /// Settings of the process.
    pub settings: HostSettings,
    /// Idle connections to endpoints.
    pub pool: Pool,
    /// Lookups of stream origins that wait for answers.
    pub lookups: PendingLookups,
    /// Calls that wait for capacity.
    pub waiters: Waiters,
    /// Wakes the task that looks at the queues.
    pub admission_signal: Notify,
    /// Wakes the task that sends stream origins to peers.
    pub origin_signal: Notify,
    /// Wakes the task that stores stream origins.
    pub segment_signal: Notify,
    /// Wakes the task that checks endpoints.
    pub check_signal: Notify,
    /// Wakes the calls that wait for the check of an endpoint.
    pub check_done: Notify,
    /// Bytes that requests and responses keep.
    pub buffers: BufferBudget,
    /// Counters and histograms.
    pub metrics: GatewayMetrics,
    /// Wakes the task that keeps this daemon registered when the store came back from a copy.
    pub restore_signal: Notify,
    /// Wakes tasks when a stop begins, idle connections close or the gateway ends.
    pub stop_signal: Notify,
    links: PeerEndpoint<PeerMessage>,
    clock: Clock,
    gateway: RefCell<Gateway>,
    log: RefCell<DecisionLog>,
    closes_idle: Cell<bool>,
    cuts_off_calls: Cell<bool>,
    is_ended: Cell<bool>,
    callers: Cell<usize>,
}

impl Context {
    /// Creates the state; no connection or caller exists yet.
    pub(super) fn new(
        settings: HostSettings,
        links: PeerEndpoint<PeerMessage>,
        gateway: Gateway,
        clock: Clock,
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> Rc<Self> {
        Rc::new(Self {
            buffers: BufferBudget::of_memory(settings.memory),
            settings,
            pool: Pool::default(),
            lookups: PendingLookups::default(),
            waiters: Waiters::default(),
            admission_signal: Notify::new(),
            origin_signal: Notify::new(),
            segment_signal: Notify::new(),
            check_signal: Notify::new(),
            check_done: Notify::new(),
            metrics,
            restore_signal: Notify::new(),
            stop_signal: Notify::new(),
            links,
            clock,
            gateway: RefCell::new(gateway),
            log: RefCell::new(log),
            closes_idle: Cell::new(false),
            cuts_off_calls: Cell::new(false),
            is_ended: Cell::new(false),
            callers: Cell::new(0),
        })
    }

    /// Returns the current time.
    pub(super) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Calls `f` with the gateway and the current time, then logs the resulting decisions.
    pub(super) fn with_gateway<T>(&self, f: impl FnOnce(&mut Gateway, Timestamp) -> T) -> T {
        let now = self.now();
        let mut gateway = self.gateway.borrow_mut();
        let result = f(&mut gateway, now);
        let decisions = gateway.take_decisions();
        let has_origins_to_send = gateway.has_origins_to_send();
        let has_segment = gateway.has_segment_to_store();
        let has_endpoint_checks = gateway.has_endpoint_checks();
        let updates = gateway.take_quarantine_updates();
        let notices = gateway.take_endpoint_notices(now);
        let woken = gateway.take_woken_calls();
        let should_dispatch = gateway.should_dispatch();
        drop(gateway);
        self.waiters.wake(woken);
        if should_dispatch {
            self.admission_signal.notify_one();
        }
        for (peer, address, update) in updates {
            self.send_to_peer(&peer, address, PeerMessage::Quarantine(update));
        }
        if let Some(broadcast) = notices {
            for (peer, address) in broadcast.peers {
                let message = PeerMessage::Notices(broadcast.notices.clone());
                self.send_to_peer(&peer, address, message);
            }
        }
        if has_endpoint_checks {
            self.check_signal.notify_one();
        }
        if has_segment {
            self.segment_signal.notify_one();
        }
        if has_origins_to_send {
            self.origin_signal.notify_one();
        }
        self.write(now, &decisions);
        result
    }

    /// Queues a message to a peer; a failure is logged.
    pub(super) fn send_to_peer(&self, peer: &DaemonId, address: SocketAddr, message: PeerMessage) {
        if let Err(error) = self.links.send(peer, address, message) {
            self.event(
                Event::new("news-not-sent")
                    .with("daemon", peer)
                    .with("cause", error.fault),
            );
        }
    }

    /// Logs decisions that were made outside the gateway core.
    pub(super) fn record(&self, mut journal: Journal) {
        self.write(self.now(), &journal.take());
    }

    fn write(&self, now: Timestamp, decisions: &[Decision]) {
        let mut log = self.log.borrow_mut();
        for decision in decisions {
            self.metrics.decision(decision);
            log.decision(now, decision);
        }
    }

    /// Logs an event that is not a decision.
    pub(super) fn event(&self, event: Event) {
        self.log.borrow_mut().event(self.now(), &event);
    }

    /// Flushes and closes the log.
    pub(super) fn close_log(&self) {
        self.log.borrow_mut().close();
    }

    /// Returns the caller limits in force.
    pub(super) fn limits(&self) -> CallerLimits {
        let gateway = self.gateway.borrow();
        gateway
            .routing_table()
            .map_or(DEFAULT_LIMITS, |table| table.rules().limits)
    }

    /// Returns whether connections without a request are being closed.
    pub(super) fn closes_idle(&self) -> bool {
        self.closes_idle.get()
    }

    /// Closes connections without a request, both current and future ones.
    pub(super) fn close_idle(&self) {
        self.closes_idle.set(true);
        self.stop_signal.notify_waiters();
    }

    /// Ends the calls in flight, since the process is about to exit.
    pub(super) fn cut_off_calls(&self) {
        self.cuts_off_calls.set(true);
        self.stop_signal.notify_waiters();
    }

    /// Waits until the calls in flight end.
    pub(super) async fn calls_cut_off(&self) {
        loop {
            let signalled = self.stop_signal.notified();
            if self.cuts_off_calls.get() {
                return;
            }
            signalled.await;
        }
    }

    /// Returns whether the gateway has stopped serving and the process is about to exit.
    pub(super) fn is_ended(&self) -> bool {
        self.is_ended.get()
    }

    /// Ends the background tasks that outlive the listener.
    pub(super) fn end(&self) {
        self.is_ended.set(true);
        self.stop_signal.notify_waiters();
    }

    /// Returns the number of open caller connections.
    pub(super) fn callers(&self) -> usize {
        self.callers.get()
    }

    /// Adds `change` to the number of open caller connections.
    pub(super) fn adjust_callers(&self, change: isize) {
        let callers = self.callers.get().saturating_add_signed(change);
        self.callers.set(callers);
        self.metrics.callers(callers);
    }
}
