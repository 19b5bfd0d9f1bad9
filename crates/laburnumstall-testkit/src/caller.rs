//! A caller: sends one request, comes back after a lost connection, and keeps what it got.

use std::sync::Arc;
use std::time::Duration;

use laburnumstall_core::error::Refusal;
use laburnumstall_core::ids::{CallerId, DaemonId, RequestId};
use laburnumstall_core::message::{Delivery, Position};
use laburnumstall_core::request::{AnswerEvent, Request};
use laburnumstall_core::units::Timestamp;

/// Time after which a caller without an answer comes back.
pub(crate) const RETRY: Duration = Duration::from_millis(700);

/// How a caller's request ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The answer is whole.
    Whole,
    /// The request failed or was refused.
    Refused(Refusal),
    /// The stream was not what it should be.
    Broken(String),
}

/// Where a caller stands.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerState {
    /// It will send its request.
    Idle,
    /// It is connected.
    Connected {
        /// Daemon that it is connected to.
        to: DaemonId,
        /// Number of the connection there.
        caller: CallerId,
    },
    /// It lost its connection.
    Disconnected,
    /// It has its final answer.
    Over(Outcome),
}

/// A caller of one request.
#[derive(Debug, Clone)]
pub struct FakeCaller {
    /// The request.
    pub request: Arc<Request>,
    /// Where it stands.
    pub state: CallerState,
    /// Name of the request, once accepted.
    pub id: Option<RequestId>,
    /// What it was given.
    pub events: Vec<AnswerEvent>,
    /// Position behind that.
    pub position: Position,
    /// When the final answer came.
    pub over_at: Option<Timestamp>,
    /// Whether it sends again when it has no name of the request to come back with.
    pub sends_again: bool,
    /// Refusals that it was given on the way.
    pub refusals: Vec<Refusal>,
    /// Times that it sent its request.
    pub sent: u32,
    /// Times that it came back to go on with its request.
    pub came_back: u32,
    /// VM that it must use first.
    pub first: Option<usize>,
}

impl FakeCaller {
    /// Returns a caller that will send its request.
    pub fn new(request: Arc<Request>, first: Option<usize>) -> Self {
        Self {
            request,
            state: CallerState::Idle,
            id: None,
            events: Vec::new(),
            position: Position::START,
            over_at: None,
            sends_again: true,
            refusals: Vec::new(),
            sent: 0,
            came_back: 0,
            first,
        }
    }

    /// Returns how the request ended.
    pub fn outcome(&self) -> Option<&Outcome> {
        match &self.state {
            CallerState::Over(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Returns the text that it was given.
    pub fn text(&self) -> String {
        self.events.iter().map(AnswerEvent::text).collect()
    }

    pub(crate) fn is_at(&self, daemon: &DaemonId, number: CallerId) -> bool {
        matches!(&self.state, CallerState::Connected { to, caller }
            if to == daemon && *caller == number)
    }

    /// Takes in a delivery; the checks happen here, as a strict client would make them.
    pub(crate) fn take_in(&mut self, now: Timestamp, delivery: Delivery) {
        match delivery {
            Delivery::Accepted { request, .. } => self.id = Some(request),
            Delivery::Refused(refusal) => {
                self.refusals.push(refusal.clone());
                self.end(now, Outcome::Refused(refusal));
            }
            Delivery::Events { from, events } => self.take_events(now, from, events),
            Delivery::Moved { .. } => {
                let text = "a move reached the caller".to_owned();
                self.end(now, Outcome::Broken(text));
            }
        }
    }

    fn take_events(&mut self, now: Timestamp, from: Position, events: Vec<AnswerEvent>) {
        if from != self.position {
            let text = format!("events from {from:?} came after {:?}", self.position);
            self.end(now, Outcome::Broken(text));
            return;
        }
        self.position = from.after(&events);
        let last = events.last().cloned();
        self.events.extend(events);
        match last {
            Some(AnswerEvent::End { .. }) => self.end(now, Outcome::Whole),
            Some(AnswerEvent::Failed(refusal)) => self.end(now, Outcome::Refused(refusal)),
            _ => {}
        }
    }

    fn end(&mut self, now: Timestamp, outcome: Outcome) {
        if matches!(self.state, CallerState::Over(_)) {
            return;
        }
        self.over_at = Some(now);
        self.state = CallerState::Over(outcome);
    }
}
