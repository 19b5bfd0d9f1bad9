//! Prometheus metrics of a gateway.

use std::time::Duration;

use laburnumstall_core::decision::{Decision, DecisionKind};
use laburnumstall_core::error::ErrorKind;
use laburnumstall_core::gateway::{AdmittedCall, RolloutSummary};
use laburnumstall_core::units::{Bytes, Timestamp};
use prometheus::{
    HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Registry, Result, TextEncoder,
};

use crate::metrics::register;
use crate::metrics::spec::{MetricKind, MetricSpec, spec};

/// Admitted requests, by service and result.
pub const REQUESTS: MetricSpec = spec(
    "laburnumstall_gateway_requests_total",
    MetricKind::Counter,
    &["service", "result"],
    "Requests that were let in, by how they ended.",
);
/// Error responses of the daemon itself, by kind.
pub const REFUSALS: MetricSpec = spec(
    "laburnumstall_gateway_refusals_total",
    MetricKind::Counter,
    &["kind"],
    "Answers of the daemon's own, by kind of error.",
);
/// Time from receiving a request to the end of its response.
pub const DURATION: MetricSpec = spec(
    "laburnumstall_gateway_request_seconds",
    MetricKind::Histogram,
    &["service"],
    "Time from a request's head to the end of its answer.",
);
/// Time from receiving a request to the first event of its stream.
pub const FIRST_EVENT: MetricSpec = spec(
    "laburnumstall_gateway_first_event_seconds",
    MetricKind::Histogram,
    &["service"],
    "Time from a request's head to the first event of its stream.",
);
/// Logged decisions, by event and reason.
pub const DECISIONS: MetricSpec = spec(
    "laburnumstall_gateway_decisions_total",
    MetricKind::Counter,
    &["event", "reason"],
    "Decisions taken, as they are logged.",
);
/// Reads of the key-value store, by outcome.
pub const STORE_READS: MetricSpec = spec(
    "laburnumstall_gateway_store_reads_total",
    MetricKind::Counter,
    &["outcome"],
    "Reads of the key-value service's state and changes.",
);
/// Connections opened to endpoints.
pub const CONNECTIONS: MetricSpec = spec(
    "laburnumstall_gateway_endpoint_connections_total",
    MetricKind::Counter,
    &[],
    "Connections made to endpoints.",
);
/// Open connections of callers.
pub const CALLERS: MetricSpec = spec(
    "laburnumstall_gateway_callers",
    MetricKind::Gauge,
    &[],
    "Callers that are connected.",
);

/// Callers' connections that the daemon closed without a response, by cause.
pub const CLOSES: MetricSpec = spec(
    "laburnumstall_gateway_caller_closes_total",
    MetricKind::Counter,
    &["cause"],
    "Callers' connections that the daemon closed without an answer, by cause.",
);

/// Streams that callers take up, by what their origin is known from or why they are refused.
pub const RESUMPTIONS: MetricSpec = spec(
    "laburnumstall_gateway_resumptions_total",
    MetricKind::Counter,
    &["outcome"],
    "Streams that callers took up, by what their software version was known from, or why they were refused.",
);

/// Moves of runs from reclaimed endpoints, by how they ended.
pub const MOVES: MetricSpec = spec(
    "laburnumstall_gateway_moves_total",
    MetricKind::Counter,
    &["result"],
    "Moves of runs from reclaimed endpoints, by how they ended.",
);
/// Bytes of KV cache copied for moves.
pub const MOVED_BYTES: MetricSpec = spec(
    "laburnumstall_gateway_moved_bytes_total",
    MetricKind::Counter,
    &[],
    "Bytes of KV cache that were copied for moves, at most.",
);

/// Calls that this daemon sent to a service since the order of its rollout, by version.
pub const ROLLOUT_CALLS: MetricSpec = spec(
    "laburnumstall_gateway_rollout_calls",
    MetricKind::Gauge,
    &["service", "version"],
    "Calls sent to a service since the order of its rollout, to old versions and to the new one.",
);

/// All gateway metrics, in the order of the reference page.
pub const ALL: [MetricSpec; 13] = [
    REQUESTS,
    REFUSALS,
    DURATION,
    FIRST_EVENT,
    DECISIONS,
    STORE_READS,
    CONNECTIONS,
    CALLERS,
    CLOSES,
    RESUMPTIONS,
    MOVES,
    MOVED_BYTES,
    ROLLOUT_CALLS,
];

/// Registry and metrics of one gateway.
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
    closes: IntCounterVec,
    resumptions: IntCounterVec,
    moves: IntCounterVec,
    moved_bytes: IntCounter,
    rollout_calls: IntGaugeVec,
}

impl GatewayMetrics {
    /// Registers all metrics in a new registry.
    ///
    /// # Errors
    ///
    /// [`prometheus::Error`] if two metrics have the same name.
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
            closes: register::counters(&registry, &CLOSES)?,
            resumptions: register::counters(&registry, &RESUMPTIONS)?,
            moves: register::counters(&registry, &MOVES)?,
            moved_bytes: register::counter(&registry, &MOVED_BYTES)?,
            rollout_calls: register::gauges(&registry, &ROLLOUT_CALLS)?,
            registry,
        })
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// [`prometheus::Error`] if a metric cannot be encoded.
    pub fn encode(&self) -> Result<String> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }

    /// Records the result and duration of a finished request.
    pub fn finished(&self, call: &AdmittedCall, now: Timestamp, result: &str) {
        let service = call.service.as_str();
        self.requests.with_label_values(&[service, result]).inc();
        let elapsed = now.since(call.received_at);
        self.observe(&self.duration, service, elapsed);
    }

    /// Records the time until the first event of a stream.
    pub fn first_event(&self, call: &AdmittedCall, now: Timestamp) {
        let elapsed = now.since(call.received_at);
        self.observe(&self.first_event, call.service.as_str(), elapsed);
    }

    /// Counts an error response of the daemon itself.
    pub fn refused(&self, kind: ErrorKind) {
        self.refusals.with_label_values(&[kind.name()]).inc();
    }

    /// Counts a decision by event and reason, so that routing decisions are not split by endpoint.
    pub fn decision(&self, decision: &Decision) {
        let labels = [decision.kind.name(), decision.reason.as_str()];
        self.decisions.with_label_values(&labels).inc();
        if decision.kind == DecisionKind::Resume {
            let outcome = [decision.reason.as_str()];
            self.resumptions.with_label_values(&outcome).inc();
        }
    }

    /// Counts a read of the key-value store.
    pub fn store_call(&self, is_success: bool) {
        let outcome = if is_success { "answered" } else { "failed" };
        self.store_reads.with_label_values(&[outcome]).inc();
    }

    /// Counts a connection opened to an endpoint.
    pub fn connection(&self) {
        self.connections.inc();
    }

    /// Counts the bytes of a copy of a KV cache.
    pub fn copied(&self, size: Bytes) {
        self.moved_bytes.inc_by(size.get());
    }

    /// Counts a move that has ended.
    pub fn move_ended(&self, result: &str) {
        self.moves.with_label_values(&[result]).inc();
    }

    /// Sets the number of open caller connections.
    pub fn callers(&self, callers: usize) {
        self.callers.set(i64::try_from(callers).unwrap_or(i64::MAX));
    }

    /// Counts a caller's connection that the daemon closed without a response.
    pub fn closed_unanswered(&self, cause: &str) {
        self.closes.with_label_values(&[cause]).inc();
    }

    /// Sets the calls sent to a service since the order of its rollout.
    pub fn rollout(&self, summary: &RolloutSummary) {
        let calls = [
            ("old", summary.calls.saturating_sub(summary.new_calls)),
            ("new", summary.new_calls),
        ];
        for (version, calls) in calls {
            let labels = [summary.service.as_str(), version];
            let gauge = self.rollout_calls.with_label_values(&labels);
            gauge.set(i64::try_from(calls).unwrap_or(i64::MAX));
        }
    }

    fn observe(&self, histogram: &HistogramVec, service: &str, elapsed: Duration) {
        histogram
            .with_label_values(&[service])
            .observe(elapsed.as_secs_f64());
    }
}
