//! A caller: sends one request, tries again, comes back, and checks what it is given.

use std::sync::Arc;
use std::time::Duration;

use laburnumstall_core::error::Refusal;
use laburnumstall_core::ids::{CallerId, DaemonId, RequestId};
use laburnumstall_core::message::{Delivery, Position};
use laburnumstall_core::request::{AnswerEvent, Dialect, Request};
use laburnumstall_core::units::Timestamp;

use crate::engine::token;

/// Time between two looks of a caller that waits.
pub(crate) const LOOK_PERIOD: Duration = Duration::from_millis(100);

/// Wait after a refusal that names none.
const REFUSAL_WAIT: Duration = Duration::from_millis(500);

/// Time after its deadline for which a caller waits for the end of its request.
const GRACE: Duration = Duration::from_secs(5);

/// What reaches a caller over one of its connections.
#[derive(Debug)]
pub(crate) struct ToCaller {
    pub(crate) connection: CallerId,
    pub(crate) delivery: Delivery,
}

/// Where a caller stands.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum CallerState {
    /// It connects at the given time.
    Apart { until: Timestamp },
    /// It is connected.
    Connected { to: DaemonId, connection: CallerId },
    /// Its request is over.
    Over(End),
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// The answer is whole.
    Whole,
    /// It was accepted and never answered whole.
    Lost,
    /// A non-idempotent request may have run.
    Unknown,
    /// It was never accepted.
    Refused,
    /// The answer was not its own, or not whole.
    Damaged,
}

/// A caller of one request.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) request: Arc<Request>,
    pub(crate) sent_at: Timestamp,
    pub(crate) state: CallerState,
    pub(crate) id: Option<RequestId>,
    pub(crate) position: Position,
    tokens: u64,
    /// Times at which tokens came.
    pub(crate) token_times: Vec<Timestamp>,
    /// Refusals on the way.
    pub(crate) refusals: Vec<Refusal>,
}

impl Caller {
    pub(crate) fn new(request: Arc<Request>, sent_at: Timestamp) -> Self {
        Self {
            request,
            sent_at,
            state: CallerState::Apart { until: sent_at },
            id: None,
            position: Position::START,
            tokens: 0,
            token_times: Vec::new(),
            refusals: Vec::new(),
        }
    }

    pub(crate) fn is_over(&self) -> bool {
        matches!(self.state, CallerState::Over(_))
    }

    pub(crate) fn is_model(&self) -> bool {
        self.request.dialect != Dialect::Plain
    }

    /// Gives up when the deadline is long over.
    pub(crate) fn look(&mut self, now: Timestamp) {
        if now >= self.request.deadline.after(GRACE) && !self.is_over() {
            let end = match (&self.id, self.request.idempotent) {
                (None, _) => End::Refused,
                (Some(_), true) => End::Lost,
                (Some(_), false) => End::Unknown,
            };
            self.state = CallerState::Over(end);
        }
    }

    /// Takes in a delivery over its present connection.
    pub(crate) fn take_in(&mut self, now: Timestamp, connection: CallerId, delivery: Delivery) {
        let is_present = matches!(&self.state,
            CallerState::Connected { connection: present, .. } if *present == connection);
        if !is_present {
            return;
        }
        match delivery {
            Delivery::Accepted { request, .. } => self.id = Some(request),
            Delivery::Events { from, events } => self.take_events(now, from, &events),
            Delivery::Refused(refusal) => self.on_refused(now, refusal),
            Delivery::Moved { .. } => self.state = CallerState::Over(End::Damaged),
        }
    }

    fn on_refused(&mut self, now: Timestamp, refusal: Refusal) {
        let wait = refusal.retry_after.unwrap_or(REFUSAL_WAIT);
        self.refusals.push(refusal);
        let until = now.after(wait);
        self.state = CallerState::Apart { until };
    }

    fn take_events(&mut self, now: Timestamp, from: Position, events: &[AnswerEvent]) {
        if from != self.position {
            self.state = CallerState::Over(End::Damaged);
            return;
        }
        self.position = from.after(events);
        for event in events {
            self.take_event(now, event);
        }
    }

    fn take_event(&mut self, now: Timestamp, event: &AnswerEvent) {
        let is_own = !self.is_model() || *event == token(&self.request, self.tokens);
        let end = match event {
            AnswerEvent::Head { .. } => return,
            AnswerEvent::Chunk { .. } if is_own => {
                self.tokens += u64::from(event.tokens());
                self.token_times.push(now);
                return;
            }
            AnswerEvent::Chunk { .. } => End::Damaged,
            AnswerEvent::End { .. } if self.tokens == self.request.answer.get() => End::Whole,
            AnswerEvent::End { .. } => End::Damaged,
            AnswerEvent::Failed(refusal) => {
                self.refusals.push(refusal.clone());
                if self.request.idempotent {
                    End::Lost
                } else {
                    End::Unknown
                }
            }
        };
        self.state = CallerState::Over(end);
    }
}
