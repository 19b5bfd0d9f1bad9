//! What the control thread counts: decisions, deliveries, its own time and what it holds.

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

/// Counts a decision, and what it says about requests.
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

/// Shows what the entry holds.
pub(crate) fn show_status(metrics: &Metrics, status: &EntryStatus) {
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

/// The way to a caller, with the times of what it was given.
#[derive(Debug)]
pub(crate) struct CallerSlot {
    tx: mpsc::UnboundedSender<Delivery>,
    last_at: Instant,
    has_begun: bool,
    service: Option<ServiceMetrics>,
}

impl CallerSlot {
    pub(crate) fn new(tx: mpsc::UnboundedSender<Delivery>) -> Self {
        Self {
            tx,
            last_at: Instant::now(),
            has_begun: false,
            service: None,
        }
    }

    /// Counts what the caller is given for a service from now on.
    pub(crate) fn serve(&mut self, service: ServiceMetrics) {
        self.service = Some(service);
    }

    /// Passes a delivery on.
    pub(crate) fn give(&mut self, delivery: Delivery) {
        if let Delivery::Events { events, .. } = &delivery {
            self.count(events);
        }
        // A caller that went away is reported by its own connection.
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
        let waited = self.last_at.elapsed();
        if self.has_begun {
            service.between_tokens(waited);
        } else {
            service.first_token(waited);
        }
        self.has_begun = true;
        self.last_at = Instant::now();
        service.answer_event(Tokens(tokens.into()));
    }
}
