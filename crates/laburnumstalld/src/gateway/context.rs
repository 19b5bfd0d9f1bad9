//! What the tasks of a gateway share: the decisions, the clock, the log and the metrics.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use laburnumstall_core::decision::{Decision, Journal};
use laburnumstall_core::gateway::{CallerLimits, Gateway};
use laburnumstall_core::units::{Bytes, Timestamp};
use laburnumstall_platform::settings::HostSettings;
use tokio::sync::Notify;

use super::log::{DecisionLog, Event};
use super::metrics::GatewayMetrics;
use super::upstream::Pool;
use crate::clock::Clock;

/// Limits of callers while no configuration is known: those of a common HTTP server.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    head: Bytes(16 << 10),
    body: Bytes(4 << 20),
    head_timeout: std::time::Duration::from_secs(3),
    idle_timeout: std::time::Duration::from_secs(15),
};

/// State of one gateway; its tasks run on one thread.
pub(super) struct Context {
    /// Settings of the process.
    pub settings: HostSettings,
    /// Connections to endpoints that are not used now.
    pub pool: Pool,
    /// Counters and histograms.
    pub metrics: GatewayMetrics,
    /// Wakes tasks that wait for the stop.
    pub stop_signal: Notify,
    clock: Clock,
    gateway: RefCell<Gateway>,
    log: RefCell<DecisionLog>,
    closes_idle: Cell<bool>,
    is_ended: Cell<bool>,
    callers: Cell<usize>,
}

impl Context {
    /// Puts the parts together.
    pub(super) fn new(
        settings: HostSettings,
        gateway: Gateway,
        clock: Clock,
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> Rc<Self> {
        Rc::new(Self {
            settings,
            pool: Pool::default(),
            metrics,
            stop_signal: Notify::new(),
            clock,
            gateway: RefCell::new(gateway),
            log: RefCell::new(log),
            closes_idle: Cell::new(false),
            is_ended: Cell::new(false),
            callers: Cell::new(0),
        })
    }

    /// Returns the present time.
    pub(super) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Lets the gateway decide, and writes the decisions to the log.
    pub(super) fn with_gateway<T>(&self, f: impl FnOnce(&mut Gateway, Timestamp) -> T) -> T {
        let now = self.now();
        let mut gateway = self.gateway.borrow_mut();
        let result = f(&mut gateway, now);
        let decisions = gateway.take_decisions();
        drop(gateway);
        self.write(now, &decisions);
        result
    }

    /// Writes decisions that were taken beside the gateway.
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

    /// Writes one event that is not a decision.
    pub(super) fn event(&self, event: Event) {
        self.log.borrow_mut().event(self.now(), &event);
    }

    /// Writes what is queued of the log.
    pub(super) fn close_log(&self) {
        self.log.borrow_mut().close();
    }

    /// Returns the limits of callers in force.
    pub(super) fn limits(&self) -> CallerLimits {
        let gateway = self.gateway.borrow();
        gateway
            .routing_table()
            .map_or(DEFAULT_LIMITS, |table| table.rules().limits)
    }

    /// Tells whether connections without a request are closed now.
    pub(super) fn closes_idle(&self) -> bool {
        self.closes_idle.get()
    }

    /// Closes connections that have no request, now and from now on.
    pub(super) fn close_idle(&self) {
        self.closes_idle.set(true);
        self.stop_signal.notify_waiters();
    }

    /// Tells whether all callers have gone and the process is about to end.
    pub(super) fn is_ended(&self) -> bool {
        self.is_ended.get()
    }

    /// Ends what goes on until the process does.
    pub(super) fn end(&self) {
        self.is_ended.set(true);
        self.stop_signal.notify_waiters();
    }

    /// Returns the number of callers' connections.
    pub(super) fn callers(&self) -> usize {
        self.callers.get()
    }

    /// Changes the number of callers' connections.
    pub(super) fn adjust_callers(&self, change: isize) {
        let callers = self.callers.get().saturating_add_signed(change);
        self.callers.set(callers);
        self.metrics.callers(callers);
    }
}
