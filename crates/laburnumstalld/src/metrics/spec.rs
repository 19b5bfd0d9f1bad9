//! Names, kinds, labels and help texts of all metrics.
//!
//! Names follow the Prometheus conventions: base units, and `_total` for counters.

use std::fmt;

/// Kind of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// A value that only increases.
    Counter,
    /// A value that can go up and down.
    Gauge,
    /// Observations counted in buckets.
    Histogram,
}

impl fmt::Display for MetricKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
            Self::Histogram => "histogram",
        })
    }
}

/// Description of one metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MetricSpec {
    /// Full metric name.
    pub name: &'static str,
    /// Prometheus metric type.
    pub kind: MetricKind,
    /// Label names.
    pub labels: &'static [&'static str],
    /// Help text, one sentence.
    pub help: &'static str,
}

pub(crate) const fn spec(
    name: &'static str,
    kind: MetricKind,
    labels: &'static [&'static str],
    help: &'static str,
) -> MetricSpec {
    MetricSpec {
        name,
        kind,
        labels,
        help,
    }
}

macro_rules! specs {
    ($($constant:ident = $name:literal $kind:ident [$($label:literal),*] $help:literal;)*) => {
        $(pub(super) const $constant: MetricSpec =
            spec($name, MetricKind::$kind, &[$($label),*], $help);)*

        /// All metrics of the entry daemon, in the order of the reference page.
        pub const SPECS: &[MetricSpec] = &[$($constant),*];
    };
}

specs! {
    REQUESTS = "laburnumstall_requests_total" Counter ["service", "outcome"]
        "Requests that ended: answered, or the kind of the error.";
    FIRST_TOKEN = "laburnumstall_first_token_seconds" Histogram ["service"]
        "Time from a request's arrival to the first part of its answer.";
    BETWEEN_TOKENS = "laburnumstall_between_tokens_seconds" Histogram ["service"]
        "Time between two parts of an answer.";
    ANSWER_EVENTS = "laburnumstall_answer_events_total" Counter ["service"]
        "Parts of answers passed on to callers.";
    TOKENS = "laburnumstall_tokens_total" Counter ["service"]
        "Generated tokens passed on to callers.";
    RECOMPUTED_TOKENS = "laburnumstall_recomputed_tokens_total" Counter []
        "Tokens computed again because an endpoint was lost or left.";
    ATTEMPTS = "laburnumstall_attempts_total" Counter ["reason"]
        "Attempts begun on endpoints, by the reason.";
    DECISIONS = "laburnumstall_decisions_total" Counter ["event", "reason"]
        "Decisions taken, as they are logged.";
    QUARANTINED = "laburnumstall_quarantined_total" Counter []
        "Requests that this daemon found to crash endpoints.";
    HANDOVERS = "laburnumstall_handovers_total" Counter ["direction"]
        "Requests handed over to another daemon or taken over from one.";
    STANDBY_ACK = "laburnumstall_standby_ack_seconds" Histogram []
        "Time until a standby acknowledged the copy of a new request.";
    STORE_CALLS = "laburnumstall_store_calls_total" Counter ["call", "outcome"]
        "Calls to the key-value service.";
    STORE_CALL_DURATION = "laburnumstall_store_call_seconds" Histogram ["call"]
        "Duration of calls to the key-value service; watches are left out.";
    CONFIGURATION_REVISION = "laburnumstall_configuration_revision" Gauge []
        "Revision of the configuration in force; 0 if there is none.";
    MEMBERS = "laburnumstall_members" Gauge ["state"]
        "Entry daemons as this one sees them.";
    REQUESTS_OWNED = "laburnumstall_requests_owned" Gauge []
        "Requests that this daemon owns and that have not ended.";
    ANSWERS_KEPT = "laburnumstall_answers_kept" Gauge []
        "Whole answers kept for callers that come back.";
    COPIES = "laburnumstall_copies" Gauge []
        "Requests of other daemons that this one keeps a copy of.";
    CALLERS = "laburnumstall_callers" Gauge []
        "Callers connected to this daemon.";
    CONTROL_BUSY = "laburnumstall_control_busy_seconds_total" Counter []
        "Time that the control thread was not waiting.";
    CONTROL_QUEUE = "laburnumstall_control_queue_depth" Gauge []
        "Events that wait for the control thread.";
    PEER_CONNECTIONS = "laburnumstall_peer_connections" Gauge []
        "Open connections to and from other daemons.";
    PEER_BYTES = "laburnumstall_peer_bytes_total" Counter ["direction"]
        "Bytes exchanged with other daemons, with IP and UDP headers.";
    PEER_LINKS_LOST = "laburnumstall_peer_links_lost_total" Counter ["reason"]
        "Links to other daemons that were lost or could not be made.";
    PLACEMENT_HOLDER = "laburnumstall_placement_holder" Gauge []
        "1 while this daemon holds the placement lease of its region, else 0.";
    PLACEMENT_VMS = "laburnumstall_placement_vms" Gauge ["state"]
        "VMs of the plan in force; 0 where the lease is not held.";
    PLACEMENT_PRICE = "laburnumstall_placement_hourly_price" Gauge []
        "List price of the plan in force, in millionths of the currency unit an hour.";
    LOG_LINES_DROPPED = "laburnumstall_log_lines_dropped_total" Counter []
        "Log lines dropped because their reader was too slow.";
}
