//! Derives metrics from decisions, deliveries and the entry's status.

use std::time::Instant;

use laburnumstall_core::decision::{Decision, DecisionKind};
use laburnumstall_core::entry::EntryStatus;
use laburnumstall_core::error::ErrorKind;
use laburnumstall_core::ids::ServiceName;
use laburnumstall_core::membership::MemberState;
use laburnumstall_core::message::Delivery;
use laburnumstall_core::request::AnswerEvent;
use laburnumstall_core::units::Tokens;
use tokio::sync::mpsc;

use crate::metrics::{
    AttemptReason, Direction, MemberCounts, Metrics, RequestOutcome, ServiceMetrics, StateCounts,
};

/// Counts a decision and the request events that it implies.
pub(crate) fn count_decision(metrics: &Metrics, decision: &Decision) {
    metrics.decision(decision);
    match decision.kind {
        DecisionKind::Finish => count_finish(metrics, decision),
        DecisionKind::Route => count_route(metrics, decision),
        DecisionKind::Retry if decision.choice == "move" => count_move(metrics, decision),
        DecisionKind::TakeOver if decision.choice == "take-over" => {
            metrics.handover(Direction::In);
            metrics.attempt(AttemptReason::TakeOver);
        }
        DecisionKind::TakeOver if decision.choice == "hand-over" => {
            metrics.handover(Direction::Out);
        }
        DecisionKind::Quarantine if decision.choice == "quarantine" => metrics.quarantined(),
        _ => {}
    }
}

fn count_finish(metrics: &Metrics, decision: &Decision) {
    let service = decision.field("service").and_then(|name| name.parse().ok());
    let Some(service) = service else {
        return;
    };
    let service: ServiceName = service;
    let outcome = match ErrorKind::from_name(&decision.reason) {
        Some(kind) => RequestOutcome::Failed(kind),
        None => RequestOutcome::Answered,
    };
    metrics.service(&service).finished(outcome);
}

fn count_route(metrics: &Metrics, decision: &Decision) {
    if decision.reason == "resume-stream" {
        metrics.attempt(AttemptReason::Resume);
        return;
    }
    let Some(attempt) = decision.field("attempt") else {
        return;
    };
    let is_first = attempt.ends_with("/1");
    metrics.attempt(if is_first {
        AttemptReason::First
    } else {
        AttemptReason::Retry
    });
}

fn count_move(metrics: &Metrics, decision: &Decision) {
    metrics.attempt(AttemptReason::Move);
    let recomputed = decision.field("recomputed");
    let recomputed: Option<Tokens> = recomputed.and_then(|text| text.parse().ok());
    metrics.recomputed(recomputed.unwrap_or_default());
}

/// Updates the gauges from the entry's status.
pub(crate) fn update_status_gauges(metrics: &Metrics, status: &EntryStatus) {
    metrics.set_configuration(status.revision);
    metrics.set_state_counts(StateCounts {
        owned: status.owned,
        kept: status.kept,
        copies: status.copies,
        callers: status.callers,
    });
    let count = |state: MemberState| {
        let members = status.members.iter();
        members.filter(|member| member.state == state).count() as u32
    };
    metrics.set_members(MemberCounts {
        live: count(MemberState::Live),
        leaving: count(MemberState::Leaving),
        silent: 0,
    });
}

/// Channel to a caller that measures token latencies.
#[derive(Debug)]
pub(crate) struct CallerChannel {
    tx: mpsc::UnboundedSender<Delivery>,
    last_token_at: Instant,
    has_first_token: bool,
    service: Option<ServiceMetrics>,
}

impl CallerChannel {
    pub(crate) fn new(tx: mpsc::UnboundedSender<Delivery>) -> Self {
        Self {
            tx,
            last_token_at: Instant::now(),
            has_first_token: false,
            service: None,
        }
    }

    /// Attributes deliveries from now on to a service.
    pub(crate) fn set_service(&mut self, service: ServiceMetrics) {
        self.service = Some(service);
    }

    /// Sends a delivery to the caller.
    pub(crate) fn send(&mut self, delivery: Delivery) {
        if let Delivery::Events { events, .. } = &delivery {
            self.count(events);
        }
        // A disconnected caller is reported by its connection.
        let _ = self.tx.send(delivery);
    }

    fn count(&mut self, events: &[AnswerEvent]) {
        let Some(service) = &self.service else {
            return;
        };
        let tokens: u32 = events.iter().map(AnswerEvent::tokens).sum();
        if tokens == 0 {
            return;
        }
        let latency = self.last_token_at.elapsed();
        if self.has_first_token {
            service.between_tokens(latency);
        } else {
            service.first_token(latency);
        }
        self.has_first_token = true;
        self.last_token_at = Instant::now();
        service.answer_event(Tokens(tokens.into()));
    }
}
