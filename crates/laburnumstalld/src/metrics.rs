//! Prometheus metrics.
//!
//! [`Metrics`] has one method for each measurement, so that names and labels are defined in
//! one place, [`spec`]. Each thread has a clone; all clones share one registry. Label values
//! come from fixed lists or are bounded, which bounds the number of series.

mod label;
pub(crate) mod register;
mod service;
pub mod spec;

use std::sync::Arc;
use std::time::Duration;

use laburnumstall_core::decision::Decision;
use laburnumstall_core::ids::{Revision, ServiceName};
use laburnumstall_core::store::StoreOutcome;
use laburnumstall_core::units::{HourlyPrice, Tokens};
use laburnumstall_peer::{LostReason, Traffic};
use prometheus::{
    Counter, Histogram, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Registry,
    TextEncoder,
};

use label::{LabelLimiter, outcome_name};
use service::ServiceFamilies;

pub use label::{AttemptReason, Direction, RequestOutcome, StoreCallKind};
pub use prometheus::Error as MetricsError;
pub use service::ServiceMetrics;

/// Most decision reasons with their own series.
const MAX_REASONS: usize = 200;

/// Number of entry daemons in each state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemberCounts {
    /// Accept new work.
    pub live: u32,
    /// Accept no new work.
    pub leaving: u32,
    /// Do not respond, but are not known to be gone.
    pub silent: u32,
}

/// Number of requests, answers, copies and callers of a daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StateCounts {
    /// Owned requests that have not ended.
    pub owned: u32,
    /// Complete answers kept for reconnecting callers.
    pub kept: u32,
    /// Standby copies of other daemons' requests.
    pub copies: u32,
    /// Connected callers.
    pub callers: u32,
}

/// Summary of the current plan while this daemon holds the placement lease.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlacementCounts {
    /// Whether this daemon holds the lease.
    pub is_holder: bool,
    /// Slots of the plan that have a VM.
    pub filled: usize,
    /// Slots of the plan without a VM yet.
    pub open: usize,
    /// List price of all slots.
    pub hourly: HourlyPrice,
}

/// All metrics of a daemon.
#[derive(Debug, Clone)]
pub struct Metrics {
    families: Arc<Families>,
}

#[derive(Debug)]
struct Families {
    registry: Registry,
    services: ServiceFamilies,
    recomputed_tokens: IntCounter,
    attempts: IntCounterVec,
    decisions: IntCounterVec,
    reasons: LabelLimiter,
    quarantined: IntCounter,
    handovers: IntCounterVec,
    standby_ack: Histogram,
    store_calls: IntCounterVec,
    store_call_duration: HistogramVec,
    configuration_revision: IntGauge,
    members: IntGaugeVec,
    requests_owned: IntGauge,
    answers_kept: IntGauge,
    copies: IntGauge,
    callers: IntGauge,
    control_busy: Counter,
    control_queue: IntGauge,
    peer_connections: IntGauge,
    peer_bytes: IntCounterVec,
    peer_links_lost: IntCounterVec,
    placement_holder: IntGauge,
    placement_vms: IntGaugeVec,
    placement_price: IntGauge,
    log_lines_dropped: IntCounter,
}

impl Families {
    fn register() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let r = &registry;
        let families = Self {
            services: ServiceFamilies::register(r)?,
            recomputed_tokens: register::counter(r, &spec::RECOMPUTED_TOKENS)?,
            attempts: register::counters(r, &spec::ATTEMPTS)?,
            decisions: register::counters(r, &spec::DECISIONS)?,
            reasons: LabelLimiter::new(MAX_REASONS),
            quarantined: register::counter(r, &spec::QUARANTINED)?,
            handovers: register::counters(r, &spec::HANDOVERS)?,
            standby_ack: register::histogram(r, &spec::STANDBY_ACK)?,
            store_calls: register::counters(r, &spec::STORE_CALLS)?,
            store_call_duration: register::histograms(r, &spec::STORE_CALL_DURATION)?,
            configuration_revision: register::gauge(r, &spec::CONFIGURATION_REVISION)?,
            members: register::gauges(r, &spec::MEMBERS)?,
            requests_owned: register::gauge(r, &spec::REQUESTS_OWNED)?,
            answers_kept: register::gauge(r, &spec::ANSWERS_KEPT)?,
            copies: register::gauge(r, &spec::COPIES)?,
            callers: register::gauge(r, &spec::CALLERS)?,
            control_busy: register::seconds_counter(r, &spec::CONTROL_BUSY)?,
            control_queue: register::gauge(r, &spec::CONTROL_QUEUE)?,
            peer_connections: register::gauge(r, &spec::PEER_CONNECTIONS)?,
            peer_bytes: register::counters(r, &spec::PEER_BYTES)?,
            peer_links_lost: register::counters(r, &spec::PEER_LINKS_LOST)?,
            placement_holder: register::gauge(r, &spec::PLACEMENT_HOLDER)?,
            placement_vms: register::gauges(r, &spec::PLACEMENT_VMS)?,
            placement_price: register::gauge(r, &spec::PLACEMENT_PRICE)?,
            log_lines_dropped: register::counter(r, &spec::LOG_LINES_DROPPED)?,
            registry,
        };
        Ok(families)
    }

    /// Creates the series of fixed label lists, so that they are exported as zero.
    fn init_fixed_labels(&self) {
        for reason in AttemptReason::ALL {
            self.attempts.with_label_values(&[reason.name()]);
        }
        for direction in Direction::ALL {
            self.handovers.with_label_values(&[direction.name()]);
            self.peer_bytes.with_label_values(&[direction.name()]);
        }
        for call in StoreCallKind::ALL {
            self.store_calls.with_label_values(&[call.name(), "ok"]);
        }
    }
}

impl Metrics {
    /// Registers all metrics in a new registry.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] if a specification breaks the conventions of Prometheus.
    pub fn new() -> Result<Self, MetricsError> {
        let families = Families::register()?;
        families.init_fixed_labels();
        Ok(Self {
            families: Arc::new(families),
        })
    }

    /// Encodes all metrics in the text format.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] if a metric cannot be encoded.
    pub fn encode(&self) -> Result<String, MetricsError> {
        let metrics = self.families.registry.gather();
        TextEncoder::new().encode_to_string(&metrics)
    }

    /// Returns the metrics of a service; meant to be looked up once per request.
    pub fn service(&self, name: &ServiceName) -> ServiceMetrics {
        self.families.services.service(name.as_str())
    }

    /// Counts a decision.
    pub fn decision(&self, decision: &Decision) {
        let reason = self.families.reasons.admit(&decision.reason);
        let labels = [decision.kind.name(), reason];
        self.families.decisions.with_label_values(&labels).inc();
    }

    /// Counts a started attempt.
    pub fn attempt(&self, reason: AttemptReason) {
        let labels = [reason.name()];
        self.families.attempts.with_label_values(&labels).inc();
    }

    /// Counts recomputed tokens.
    pub fn recomputed(&self, tokens: Tokens) {
        self.families.recomputed_tokens.inc_by(tokens.get());
    }

    /// Counts a request quarantined for crashing endpoints.
    pub fn quarantined(&self) {
        self.families.quarantined.inc();
    }

    /// Counts a request that changed its owner.
    pub fn handover(&self, direction: Direction) {
        let labels = [direction.name()];
        self.families.handovers.with_label_values(&labels).inc();
    }

    /// Records the time until a standby acknowledged a new request.
    pub fn standby_ack(&self, wait: Duration) {
        self.families.standby_ack.observe(wait.as_secs_f64());
    }

    /// Counts a call to the key-value service and records its duration.
    pub fn store_call(&self, call: StoreCallKind, outcome: &StoreOutcome, duration: Duration) {
        let labels = [call.name(), outcome_name(outcome)];
        self.families.store_calls.with_label_values(&labels).inc();
        if call != StoreCallKind::Watch {
            let histogram = &self.families.store_call_duration;
            let histogram = histogram.with_label_values(&[call.name()]);
            histogram.observe(duration.as_secs_f64());
        }
    }

    /// Sets the revision of the current configuration.
    pub fn set_configuration(&self, revision: Revision) {
        let revision = i64::try_from(revision.get()).unwrap_or(i64::MAX);
        self.families.configuration_revision.set(revision);
    }

    /// Sets the number of entry daemons in each state.
    pub fn set_members(&self, counts: MemberCounts) {
        let states = [
            ("live", counts.live),
            ("leaving", counts.leaving),
            ("silent", counts.silent),
        ];
        for (state, count) in states {
            let gauge = self.families.members.with_label_values(&[state]);
            gauge.set(count.into());
        }
    }

    /// Sets the gauges of requests, answers, copies and callers.
    pub fn set_state_counts(&self, counts: StateCounts) {
        self.families.requests_owned.set(counts.owned.into());
        self.families.answers_kept.set(counts.kept.into());
        self.families.copies.set(counts.copies.into());
        self.families.callers.set(counts.callers.into());
    }

    /// Adds busy time of the control thread.
    pub fn control_busy(&self, duration: Duration) {
        self.families.control_busy.inc_by(duration.as_secs_f64());
    }

    /// Sets the number of events queued for the control thread.
    pub fn set_control_queue(&self, events: usize) {
        let events = i64::try_from(events).unwrap_or(i64::MAX);
        self.families.control_queue.set(events);
    }

    /// Sets the total traffic of the links to other daemons.
    pub fn set_traffic(&self, traffic: &Traffic) {
        let connections = i64::try_from(traffic.connections).unwrap_or(i64::MAX);
        self.families.peer_connections.set(connections);
        let bytes = [
            (Direction::In, traffic.wire_received()),
            (Direction::Out, traffic.wire_sent()),
        ];
        for (direction, total) in bytes {
            let counter = &self.families.peer_bytes;
            raise_to(&counter.with_label_values(&[direction.name()]), total);
        }
    }

    /// Counts a link that was lost.
    pub fn link_lost(&self, reason: LostReason) {
        let labels = [reason.name()];
        self.families
            .peer_links_lost
            .with_label_values(&labels)
            .inc();
    }

    /// Sets the gauges of the current plan.
    pub fn set_placement(&self, counts: PlacementCounts) {
        let to_gauge = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        self.families.placement_holder.set(counts.is_holder.into());
        for (state, count) in [("filled", counts.filled), ("open", counts.open)] {
            let gauge = self.families.placement_vms.with_label_values(&[state]);
            gauge.set(to_gauge(count));
        }
        let price = i64::try_from(counts.hourly.get()).unwrap_or(i64::MAX);
        self.families.placement_price.set(price);
    }

    /// Sets the number of log lines dropped so far.
    pub fn set_log_lines_dropped(&self, total: u64) {
        raise_to(&self.families.log_lines_dropped, total);
    }
}

/// Raises a counter to a total that is tracked elsewhere.
fn raise_to(counter: &IntCounter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}
