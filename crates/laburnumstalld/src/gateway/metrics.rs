//! Counters and histograms of a gateway.

use std::time::Duration;

use laburnumstall_core::decision::Decision;
use laburnumstall_core::error::ErrorKind;
use laburnumstall_core::gateway::AdmittedCall;
use laburnumstall_core::units::Timestamp;
use prometheus::{
    HistogramVec, IntCounter, IntCounterVec, IntGauge, Registry, Result, TextEncoder,
};

use crate::metrics::register;
use crate::metrics::spec::{MetricKind, MetricSpec, spec};

/// Requests by service and how they ended.
pub const REQUESTS: MetricSpec = spec(
    "laburnumstall_gateway_requests_total",
    MetricKind::Counter,
    &["service", "result"],
    "Requests that were let in, by how they ended.",
);
/// Refusals by kind.
pub const REFUSALS: MetricSpec = spec(
    "laburnumstall_gateway_refusals_total",
    MetricKind::Counter,
    &["kind"],
    "Answers of the daemon's own, by kind of error.",
);
/// Time until a request has ended.
pub const DURATION: MetricSpec = spec(
    "laburnumstall_gateway_request_seconds",
    MetricKind::Histogram,
    &["service"],
    "Time from a request's head to the end of its answer.",
);
/// Time until the first event of a stream.
pub const FIRST_EVENT: MetricSpec = spec(
    "laburnumstall_gateway_first_event_seconds",
    MetricKind::Histogram,
    &["service"],
    "Time from a request's head to the first event of its stream.",
);
/// Decisions, as they are logged.
pub const DECISIONS: MetricSpec = spec(
    "laburnumstall_gateway_decisions_total",
    MetricKind::Counter,
    &["event", "reason"],
    "Decisions taken, as they are logged.",
);
/// Reads of the key-value service.
pub const STORE_READS: MetricSpec = spec(
    "laburnumstall_gateway_store_reads_total",
    MetricKind::Counter,
    &["outcome"],
    "Reads of the key-value service's state and changes.",
);
/// Connections made to endpoints.
pub const CONNECTIONS: MetricSpec = spec(
    "laburnumstall_gateway_endpoint_connections_total",
    MetricKind::Counter,
    &[],
    "Connections made to endpoints.",
);
/// Callers connected.
pub const CALLERS: MetricSpec = spec(
    "laburnumstall_gateway_callers",
    MetricKind::Gauge,
    &[],
    "Callers that are connected.",
);

/// All metrics of a gateway, in the order of the reference page.
pub const ALL: [MetricSpec; 8] = [
    REQUESTS,
    REFUSALS,
    DURATION,
    FIRST_EVENT,
    DECISIONS,
    STORE_READS,
    CONNECTIONS,
    CALLERS,
];

/// The metrics of one gateway.
#[derive(Debug, Clone)]
pub struct GatewayMetrics {
    registry: Registry,
    requests: IntCounterVec,
    refusals: IntCounterVec,
    duration: HistogramVec,
    first_event: HistogramVec,
    decisions: IntCounterVec,
    store_reads: IntCounterVec,
    connections: IntCounter,
    callers: IntGauge,
}

impl GatewayMetrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// The library's error, which means that two metrics have one name.
    pub fn register() -> Result<Self> {
        let registry = Registry::new();
        Ok(Self {
            requests: register::counters(&registry, &REQUESTS)?,
            refusals: register::counters(&registry, &REFUSALS)?,
            duration: register::histograms(&registry, &DURATION)?,
            first_event: register::histograms(&registry, &FIRST_EVENT)?,
            decisions: register::counters(&registry, &DECISIONS)?,
            store_reads: register::counters(&registry, &STORE_READS)?,
            connections: register::counter(&registry, &CONNECTIONS)?,
            callers: register::gauge(&registry, &CALLERS)?,
            registry,
        })
    }

    /// Returns all metrics as text.
    ///
    /// # Errors
    ///
    /// The library's error if a metric cannot be written.
    pub fn encode(&self) -> Result<String> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }

    /// Counts a request that has ended.
    pub fn finished(&self, call: &AdmittedCall, now: Timestamp, result: &str) {
        let service = call.service.as_str();
        self.requests.with_label_values(&[service, result]).inc();
        let elapsed = now.since(call.received_at);
        self.observe(&self.duration, service, elapsed);
    }

    /// Counts the first event of a stream.
    pub fn first_event(&self, call: &AdmittedCall, now: Timestamp) {
        let elapsed = now.since(call.received_at);
        self.observe(&self.first_event, call.service.as_str(), elapsed);
    }

    /// Counts an answer of the daemon's own.
    pub fn refused(&self, kind: ErrorKind) {
        self.refusals.with_label_values(&[kind.name()]).inc();
    }

    /// Counts a decision; routes are counted together, not by endpoint.
    pub fn decision(&self, decision: &Decision) {
        let labels = [decision.kind.name(), decision.reason.as_str()];
        self.decisions.with_label_values(&labels).inc();
    }

    /// Counts a read of the key-value service.
    pub fn store_call(&self, is_success: bool) {
        let outcome = if is_success { "answered" } else { "failed" };
        self.store_reads.with_label_values(&[outcome]).inc();
    }

    /// Counts a connection made to an endpoint.
    pub fn connection(&self) {
        self.connections.inc();
    }

    /// Sets the number of callers that are connected.
    pub fn callers(&self, callers: usize) {
        self.callers.set(i64::try_from(callers).unwrap_or(i64::MAX));
    }

    fn observe(&self, histogram: &HistogramVec, service: &str, elapsed: Duration) {
        histogram
            .with_label_values(&[service])
            .observe(elapsed.as_secs_f64());
    }
}
