//! Encoding and label limits of metrics, and their reference page.

use std::time::Duration;

use laburnumstall_core::decision::{Decision, DecisionKind};
use laburnumstall_core::error::ErrorKind;
use laburnumstall_core::ids::{Revision, ServiceName};
use laburnumstall_core::store::{StoreFailure, StoreReply};
use laburnumstall_core::units::{HourlyPrice, Timestamp, Tokens};
use laburnumstall_peer::{LostReason, Traffic};
use laburnumstalld::gateway;
use laburnumstalld::metrics::spec::{MetricKind, SPECS};
use laburnumstalld::metrics::{
    AttemptReason, Direction, MemberCounts, Metrics, PlacementCounts, RequestOutcome, StateCounts,
    StoreCallKind,
};

/// Reference page of the metrics.
const REFERENCE_PAGE: &str = include_str!("../../../docs/reference/metrics.md");

fn service(name: &str) -> ServiceName {
    name.parse().expect("a service")
}

/// Returns metrics in which each one has been updated.
fn populated_metrics() -> Metrics {
    let metrics = Metrics::new().expect("metrics");
    let summaries = metrics.service(&service("summaries"));
    summaries.finished(RequestOutcome::Answered);
    summaries.finished(RequestOutcome::Failed(ErrorKind::Overloaded));
    summaries.first_token(Duration::from_millis(120));
    summaries.between_tokens(Duration::from_millis(30));
    summaries.answer_event(Tokens(3));
    metrics.decision(&Decision::new(
        Timestamp(1),
        DecisionKind::Route,
        "e",
        "shortest",
    ));
    metrics.attempt(AttemptReason::Resume);
    metrics.recomputed(Tokens(17));
    metrics.quarantined();
    metrics.handover(Direction::Out);
    metrics.standby_ack(Duration::from_micros(700));
    let swapped = Ok(StoreReply::Revoked);
    metrics.store_call(StoreCallKind::Swap, &swapped, Duration::from_millis(4));
    let failed = Err(StoreFailure::Unknown);
    metrics.store_call(StoreCallKind::Watch, &failed, Duration::from_secs(30));
    metrics.set_configuration(Revision(12));
    metrics.set_members(MemberCounts {
        live: 3,
        leaving: 1,
        silent: 0,
    });
    metrics.set_state_counts(StateCounts {
        owned: 4,
        kept: 3,
        copies: 2,
        callers: 1,
    });
    metrics.control_busy(Duration::from_millis(250));
    metrics.set_control_queue(6);
    metrics.set_placement(PlacementCounts {
        is_holder: true,
        filled: 3,
        open: 1,
        hourly: HourlyPrice(1_560_000),
    });
    metrics.set_traffic(&Traffic {
        connections: 2,
        datagrams_sent: 10,
        datagrams_received: 5,
        payload_sent: 1_000,
        payload_received: 500,
    });
    metrics.link_lost(LostReason::TimedOut);
    metrics.set_log_lines_dropped(9);
    metrics
}

#[test]
fn every_metric_is_encoded() {
    let text = populated_metrics().encode().expect("text");
    insta::assert_snapshot!("encoded", text);
    for spec in SPECS {
        let line = format!("# TYPE {} {}\n", spec.name, spec.kind);
        assert!(text.contains(&line), "{line}");
    }
}

#[test]
fn the_reference_page_lists_every_metric() {
    let rows: Vec<_> = REFERENCE_PAGE
        .lines()
        .filter(|line| line.starts_with("| `laburnumstall_"))
        .map(str::to_owned)
        .collect();
    let expected: Vec<_> = SPECS
        .iter()
        .chain(&gateway::metrics::ALL)
        .map(|spec| {
            let labels: Vec<_> = spec.labels.iter().map(|l| format!("`{l}`")).collect();
            let labels = labels.join(", ");
            format!(
                "| `{}` | {} | {labels} | {} |",
                spec.name, spec.kind, spec.help
            )
        })
        .collect();
    assert_eq!(rows, expected);
}

#[test]
fn names_follow_the_conventions() {
    for spec in SPECS.iter().chain(&gateway::metrics::ALL) {
        let is_counter = spec.kind == MetricKind::Counter;
        assert_eq!(spec.name.ends_with("_total"), is_counter, "{}", spec.name);
        let is_duration = spec.kind == MetricKind::Histogram;
        assert_eq!(
            spec.name.ends_with("_seconds"),
            is_duration,
            "{}",
            spec.name
        );
        assert!(spec.name.starts_with("laburnumstall_"));
    }
}

/// Fails without the limit in `LabelLimiter::admit`.
#[test]
fn label_values_are_bounded() {
    let metrics = Metrics::new().expect("metrics");
    for number in 0..1_000 {
        let name = service(&format!("s{number}"));
        metrics.service(&name).finished(RequestOutcome::Answered);
        let reason = format!("r{number}");
        let decision = Decision::new(Timestamp(1), DecisionKind::Route, "e", &reason);
        metrics.decision(&decision);
    }
    let text = metrics.encode().expect("text");
    let series = |name: &str| text.lines().filter(|line| line.starts_with(name)).count();
    assert_eq!(series("laburnumstall_requests_total{"), 201);
    assert_eq!(series("laburnumstall_decisions_total{"), 201);
    let other = "laburnumstall_requests_total{outcome=\"answered\",service=\"other\"} 800";
    assert!(text.contains(other));
}
