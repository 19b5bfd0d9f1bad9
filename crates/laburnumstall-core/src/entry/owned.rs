//! Requests that this daemon owns.

use std::time::Duration;

use crate::error::Refusal;
use crate::ids::{AttemptId, DaemonId, EndpointId};
use crate::limits::Reservation;
use crate::message::{AttemptLocation, CallerRef, Position, RequestRecord};
use crate::request::{AnswerEvent, Dialect};
use crate::units::Timestamp;

/// State of an owned request.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Phase {
    /// Not accepted yet: the standby has not acknowledged the copy.
    Accepting {
        /// When to try another standby.
        until: Timestamp,
        /// Standbys that did not acknowledge.
        tried: Vec<DaemonId>,
    },
    /// To be refused once no standby holds a copy.
    Withdrawing {
        /// Refusal to send to the callers.
        refusal: Refusal,
        /// Standbys that may hold a copy.
        holders: Vec<DaemonId>,
        /// When the callers are told that the outcome is unknown.
        until: Timestamp,
    },
    /// Taken over, and waiting for a new standby to acknowledge its copy.
    Replicating {
        /// When to continue without a copy.
        until: Timestamp,
    },
    /// Waiting for its claim.
    Claiming,
    /// Waiting in the fair queue for a slot on an endpoint.
    Queued,
    /// Waiting to try again.
    Waiting {
        /// When to try again.
        retry_at: Timestamp,
    },
    /// An attempt is in flight.
    Running(RunningAttempt),
    /// The last attempt was interrupted; a probe shows whether its endpoint is down.
    Probing {
        /// Probed endpoint.
        endpoint: EndpointId,
        /// When the probe counts as unanswered.
        until: Timestamp,
    },
    /// The answer is complete or has failed.
    Done {
        /// When the request ended.
        at: Timestamp,
    },
}

/// An in-flight attempt.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct RunningAttempt {
    pub(super) location: AttemptLocation,
    pub(super) is_sent: bool,
    pub(super) started_at: Timestamp,
    pub(super) progress_at: Timestamp,
    pub(super) expected_first_token: Duration,
    /// Events of a plain answer, buffered until it is complete.
    pub(super) buffered: Vec<AnswerEvent>,
    /// Whether a probe of the endpoint is in flight.
    pub(super) is_probing: bool,
    /// When to look again for an endpoint that takes the request of a silent attempt.
    pub(super) move_at: Option<Timestamp>,
    /// How often the endpoint's stream was resumed on a new connection.
    pub(super) resumes: u32,
}

/// The standby of a request.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Standby {
    pub(super) daemon: DaemonId,
    /// Number of events sent to it.
    pub(super) sent: usize,
    /// Number of events that it holds; `None` until it acknowledges the request.
    pub(super) acked: Option<usize>,
    /// When the oldest unacknowledged events were sent.
    pub(super) waiting_since: Timestamp,
}

/// A caller attached to a request.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Subscriber {
    pub(super) caller: CallerRef,
    pub(super) position: Position,
    /// Whether the caller was sent the acceptance.
    pub(super) is_notified: bool,
}

/// A request that this daemon owns.
#[derive(Debug)]
pub(super) struct OwnedRequest {
    pub(super) record: RequestRecord,
    pub(super) phase: Phase,
    pub(super) standby: Option<Standby>,
    pub(super) subscribers: Vec<Subscriber>,
    pub(super) reservation: Option<Reservation>,
    /// Endpoints that recently failed the request.
    pub(super) excluded: Vec<EndpointId>,
    /// Interruptions in a row without an event between them.
    pub(super) interruptions: u32,
    /// Whether any daemon may have dispatched the request.
    pub(super) may_have_run: bool,
    /// Whether this incarnation has dispatched the request.
    pub(super) is_dispatched: bool,
    /// Whether no earlier request with the same key can have been accepted.
    pub(super) is_new_key: bool,
    /// Whether this incarnation holds the claim.
    pub(super) has_claim: bool,
    /// Whether a caller has received the whole answer.
    pub(super) was_delivered: bool,
    /// Start time of the attempt's last connection that the endpoint accepted.
    pub(super) reached_at: Option<Timestamp>,
    /// When the standby was last asked to take over.
    pub(super) handed_over_at: Option<Timestamp>,
}

impl OwnedRequest {
    /// Creates the state of a request that this incarnation has not dispatched.
    pub(super) fn new(record: RequestRecord, phase: Phase, subscribers: Vec<Subscriber>) -> Self {
        Self {
            record,
            phase,
            standby: None,
            subscribers,
            reservation: None,
            excluded: Vec::new(),
            interruptions: 0,
            may_have_run: false,
            is_dispatched: false,
            is_new_key: false,
            has_claim: false,
            was_delivered: false,
            reached_at: None,
            handed_over_at: None,
        }
    }

    /// Returns the number of events that callers may see.
    ///
    /// An event is sent to a caller only after the standby holds it, so that no takeover can
    /// change what a caller has seen. Without a standby, no event is held back.
    pub(super) fn committed(&self) -> usize {
        match &self.standby {
            Some(standby) => standby.acked.unwrap_or(0).min(self.record.events.len()),
            None => self.record.events.len(),
        }
    }

    pub(super) fn running(&self) -> Option<&RunningAttempt> {
        match &self.phase {
            Phase::Running(running) => Some(running),
            _ => None,
        }
    }

    pub(super) fn attempt_id(&self) -> AttemptId {
        AttemptId {
            request: self.record.id.clone(),
            number: self.record.attempts,
        }
    }

    pub(super) fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done { .. })
    }

    pub(super) fn is_accepted(&self) -> bool {
        !matches!(
            self.phase,
            Phase::Accepting { .. } | Phase::Withdrawing { .. }
        )
    }

    /// Returns whether the answer can continue after the events recorded so far.
    pub(super) fn is_resumable(&self) -> bool {
        self.record.request.dialect != Dialect::Plain
    }

    /// Returns whether every attached caller has the whole answer.
    pub(super) fn is_delivered(&self) -> bool {
        let len = self.record.events.len() as u64;
        self.subscribers
            .iter()
            .all(|subscriber| subscriber.position.index.0 >= len)
    }
}
