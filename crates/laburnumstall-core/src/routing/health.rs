//! Whether an endpoint may get new work.

use std::time::Duration;

use crate::ids::AttemptId;
use crate::units::Timestamp;

/// Time until the first trial request after a failure.
const FIRST_PROBE: Duration = Duration::from_secs(1);
/// Longest time between trial requests.
const MAX_PROBE: Duration = Duration::from_secs(30);

/// A trial request on an endpoint that failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Probe {
    attempt: AttemptId,
    since: Timestamp,
}

/// Whether an endpoint may get new work, and what ends the state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Health {
    /// It gets work.
    Usable,
    /// It gets no new work; the state lasts until the endpoint is gone.
    Leaving,
    /// It gets no work until a report taken after `since`, or a successful trial request.
    Failed {
        since: Timestamp,
        probe_at: Timestamp,
        backoff: Duration,
        probe: Option<Probe>,
    },
    /// It is no longer listed; its attempts are still to end.
    Gone,
}

impl Health {
    /// Returns the state after one more failure.
    pub(super) fn failed(&self, now: Timestamp) -> Self {
        let backoff = match self {
            Self::Leaving | Self::Gone => return self.clone(),
            Self::Usable => FIRST_PROBE,
            Self::Failed { backoff, probe, .. } if probe.is_some() => (*backoff * 2).min(MAX_PROBE),
            Self::Failed { backoff, .. } => *backoff,
        };
        Self::Failed {
            since: now,
            probe_at: now.after(backoff),
            backoff,
            probe: None,
        }
    }

    /// Tells whether a trial request is due; one that never ends is replaced in the end.
    pub(super) fn is_probe_due(&self, now: Timestamp) -> bool {
        match self {
            Self::Failed {
                probe_at, probe, ..
            } => {
                let is_running = |probe: &Probe| now.since(probe.since) < MAX_PROBE;
                *probe_at <= now && !probe.as_ref().is_some_and(is_running)
            }
            _ => false,
        }
    }

    /// Takes in that an attempt was routed to the endpoint.
    pub(super) fn on_chosen(&mut self, now: Timestamp, attempt: &AttemptId) {
        if let Self::Failed { probe, .. } = self {
            *probe = Some(Probe {
                attempt: attempt.clone(),
                since: now,
            });
        }
    }

    /// Takes in an attempt's first token; a trial request's makes the endpoint usable.
    pub(super) fn on_first_token(&mut self, attempt: &AttemptId) {
        if self.is_probe(attempt) {
            *self = Self::Usable;
        }
    }

    /// Takes in an attempt's end; a trial request without a first token is one more failure.
    pub(super) fn on_finished(&mut self, now: Timestamp, attempt: &AttemptId) {
        if self.is_probe(attempt) {
            *self = self.failed(now);
        }
    }

    fn is_probe(&self, attempt: &AttemptId) -> bool {
        matches!(self, Self::Failed { probe: Some(probe), .. } if probe.attempt == *attempt)
    }

    /// Returns when a trial request may be made, for an endpoint that failed.
    pub(super) fn probe_at(&self) -> Option<Timestamp> {
        match self {
            Self::Failed { probe_at, .. } => Some(*probe_at),
            _ => None,
        }
    }
}
