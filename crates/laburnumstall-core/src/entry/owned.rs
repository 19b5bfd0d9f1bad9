//! A request that this daemon owns.

use std::time::Duration;

use crate::error::Refusal;
use crate::ids::{AttemptId, DaemonId, EndpointId};
use crate::limits::Reservation;
use crate::message::{CallerRef, Place, Position, RequestRecord};
use crate::request::{AnswerEvent, Dialect};
use crate::units::Timestamp;

/// Where a request stands.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Phase {
    /// Its copy is not acknowledged yet, and it is not accepted.
    Accepting {
        /// When another standby is tried.
        until: Timestamp,
        /// Standbys that did not acknowledge.
        tried: Vec<DaemonId>,
    },
    /// It is refused as soon as no standby holds a copy that could still run.
    Withdrawing {
        /// What the callers are told then.
        refusal: Refusal,
        /// Standbys that may hold a copy.
        holders: Vec<DaemonId>,
        /// When the callers are told that the outcome is not known.
        until: Timestamp,
    },
    /// Taken over; its new copy goes out before it runs on.
    Replicating {
        /// When it runs on without a copy.
        until: Timestamp,
    },
    /// The claim is not settled.
    Claiming,
    /// It waits in the fair queue for a place on an endpoint.
    Queued,
    /// An endpoint is looked for.
    Waiting {
        /// When the next try is made.
        retry_at: Timestamp,
    },
    /// An attempt is under way.
    Running(RunningAttempt),
    /// The last attempt broke; a probe tells whether the endpoint did.
    Probing {
        /// Endpoint that is probed.
        endpoint: EndpointId,
        /// When the probe counts as unanswered.
        until: Timestamp,
    },
    /// The answer is complete or has failed.
    Done {
        /// Since when.
        at: Timestamp,
    },
}

/// An attempt under way.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct RunningAttempt {
    pub(super) place: Place,
    pub(super) is_sent: bool,
    pub(super) started_at: Timestamp,
    pub(super) progress_at: Timestamp,
    pub(super) expected_first_token: Duration,
    /// Events of a plain answer, kept until it is whole.
    pub(super) buffered: Vec<AnswerEvent>,
    /// Whether a probe of the endpoint is out.
    pub(super) is_probing: bool,
    /// Times that the endpoint's stream was resumed on a new connection.
    pub(super) resumes: u32,
}

/// The standby of a request.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Standby {
    pub(super) daemon: DaemonId,
    /// Events sent to it.
    pub(super) sent: usize,
    /// Events it holds; `None` until it acknowledged the request.
    pub(super) acked: Option<usize>,
    /// When the oldest unacknowledged part was sent.
    pub(super) waiting_since: Timestamp,
}

/// A caller attached to a request.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Subscriber {
    pub(super) caller: CallerRef,
    pub(super) position: Position,
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
    /// Endpoints that failed the request lately.
    pub(super) excluded: Vec<EndpointId>,
    /// Whether the request may have been dispatched by anybody.
    pub(super) may_have_run: bool,
    /// Whether this incarnation has dispatched the request.
    pub(super) is_dispatched: bool,
    /// Whether no earlier request with the same key can have been accepted.
    pub(super) is_new_key: bool,
    /// Whether this incarnation holds the claim.
    pub(super) has_claim: bool,
    /// Whether a caller was given the whole answer.
    pub(super) was_delivered: bool,
    /// When the last connection was begun that the attempt's endpoint accepted.
    pub(super) reached_at: Option<Timestamp>,
    /// When the standby was last asked to take over.
    pub(super) handed_over_at: Option<Timestamp>,
}

impl OwnedRequest {
    /// Begins the ownership of a request that this incarnation has not dispatched.
    pub(super) fn new(record: RequestRecord, phase: Phase, subscribers: Vec<Subscriber>) -> Self {
        Self {
            record,
            phase,
            standby: None,
            subscribers,
            reservation: None,
            excluded: Vec::new(),
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
    /// An event is given to a caller only after the standby holds it, so that no take-over
    /// can change what a caller has seen. A running request without any standby is not
    /// held back.
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

    /// Tells whether the answer can be gone on with from the events so far.
    pub(super) fn is_resumable(&self) -> bool {
        self.record.request.dialect != Dialect::Plain
    }

    /// Tells whether every attached caller has the whole answer.
    pub(super) fn is_delivered(&self) -> bool {
        let len = self.record.events.len() as u64;
        self.subscribers
            .iter()
            .all(|subscriber| subscriber.position.index.0 >= len)
    }
}
