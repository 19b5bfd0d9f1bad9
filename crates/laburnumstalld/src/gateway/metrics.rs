//! Prometheus metrics of a gateway.

use std::time::Duration;

use laburnumstall_core::decision::{Decision, DecisionKind};
use laburnumstall_core::error::ErrorKind;
use laburnumstall_core::gateway::{AdmissionState, AdmittedCall};
use laburnumstall_core::units::Timestamp;
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

/// Calls that wait for capacity.
pub const WAITING: MetricSpec = spec(
    "laburnumstall_gateway_waiting",
    MetricKind::Gauge,
    &["service", "priority"],
    "Calls that wait for capacity.",
);
/// Time for which calls waited for capacity.
pub const WAIT: MetricSpec = spec(
    "laburnumstall_gateway_wait_seconds",
    MetricKind::Histogram,
    &["service", "priority"],
    "Time for which calls waited for capacity, however the wait ended.",
);
/// Decisions of admission control that proved wrong.
pub const ADMISSION_ERRORS: MetricSpec = spec(
    "laburnumstall_gateway_admission_errors",
    MetricKind::Gauge,
    &["service", "error"],
    "Refused calls that could have been served, and queued calls that were late, since the start.",
);
/// Use of services that are short of capacity by customer.
pub const USE_OF_SHARE: MetricSpec = spec(
    "laburnumstall_gateway_use_of_share_percent",
    MetricKind::Gauge,
    &["service", "customer"],
    "Use of a service that is short of capacity by a customer, relative to its share; after 32 customers other.",
);

/// Customers of a service with a series of their own.
const MAX_CUSTOMER_SERIES: usize = 32;

/// All gateway metrics, in the order of the reference page.
pub const ALL: [MetricSpec; 14] = [
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
    WAITING,
    WAIT,
    ADMISSION_ERRORS,
    USE_OF_SHARE,
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
    waiting: IntGaugeVec,
    wait: HistogramVec,
    admission_errors: IntGaugeVec,
    use_of_share: IntGaugeVec,
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
            waiting: register::gauges(&registry, &WAITING)?,
            wait: register::histograms(&registry, &WAIT)?,
            admission_errors: register::gauges(&registry, &ADMISSION_ERRORS)?,
            use_of_share: register::gauges(&registry, &USE_OF_SHARE)?,
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
        if decision.kind == DecisionKind::Wait {
            let field = |name| decision.field(name).unwrap_or_default();
            let waited_ms: f64 = field("waited_ms").parse().unwrap_or_default();
            let labels = [field("service"), field("rank")];
            let wait = self.wait.with_label_values(&labels);
            wait.observe(waited_ms / 1_000.0);
        }
    }

    /// Sets the lengths of the queues, the errors of admission control and the use of shares.
    pub fn admission(&self, states: &[AdmissionState]) {
        let value = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        self.use_of_share.reset();
        for state in states {
            let service = state.service.as_str();
            for (rank, length) in &state.waiting {
                let labels = [service, &rank.to_string()];
                let gauge = self.waiting.with_label_values(&labels);
                gauge.set(value(*length as u64));
            }
            let errors = [
                ("refused-too-early", state.errors.refused_too_early),
                ("queued-and-late", state.errors.queued_and_late),
            ];
            for (error, count) in errors {
                let gauge = self.admission_errors.with_label_values(&[service, error]);
                gauge.set(value(count));
            }
            for (index, (customer, used)) in state.use_of_share.iter().enumerate() {
                let name = match index < MAX_CUSTOMER_SERIES {
                    true => customer.as_str(),
                    false => "other",
                };
                let gauge = self.use_of_share.with_label_values(&[service, name]);
                gauge.set(gauge.get().max((used * 100.0) as i64));
            }
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

    /// Sets the number of open caller connections.
    pub fn callers(&self, callers: usize) {
        self.callers.set(i64::try_from(callers).unwrap_or(i64::MAX));
    }

    /// Counts a caller's connection that the daemon closed without a response.
    pub fn closed_unanswered(&self, cause: &str) {
        self.closes.with_label_values(&[cause]).inc();
    }

    fn observe(&self, histogram: &HistogramVec, service: &str, elapsed: Duration) {
        histogram
            .with_label_values(&[service])
            .observe(elapsed.as_secs_f64());
    }
}
