//! Endpoint health: whether an endpoint may run new attempts.

use std::time::Duration;

use crate::ids::AttemptId;
use crate::units::Timestamp;

/// Time until the first probe request after a failure.
const FIRST_PROBE: Duration = Duration::from_secs(1);
/// Maximum backoff between probe requests, and timeout of a probe request.
const MAX_PROBE: Duration = Duration::from_secs(30);

/// A probe request on a failed endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Probe {
    attempt: AttemptId,
    since: Timestamp,
}

/// Whether an endpoint may run new attempts, and what ends the state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Health {
    /// The endpoint may run attempts.
    Usable,
    /// The endpoint gets no new attempts until it is removed.
    Leaving,
    /// The endpoint gets no attempts until a report taken after `since` or a successful probe
    /// request.
    Failed {
        since: Timestamp,
        probe_at: Timestamp,
        backoff: Duration,
        probe: Option<Probe>,
    },
    /// The endpoint is no longer listed, but its attempts have not ended.
    Removed,
}

impl Health {
    /// Returns the state after another failure.
    pub(super) fn failed(&self, now: Timestamp) -> Self {
        let backoff = match self {
            Self::Leaving | Self::Removed => return self.clone(),
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

    /// Returns whether a probe request is due; an unfinished probe request is replaced after
    /// [`MAX_PROBE`].
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

    /// Records that an attempt was routed to the endpoint.
    pub(super) fn on_chosen(&mut self, now: Timestamp, attempt: &AttemptId) {
        if let Self::Failed { probe, .. } = self {
            *probe = Some(Probe {
                attempt: attempt.clone(),
                since: now,
            });
        }
    }

    /// Records the first token of a probe request, or of an attempt from before the failure.
    pub(super) fn on_first_token(&mut self) {
        if matches!(self, Self::Failed { .. }) {
            *self = Self::Usable;
        }
    }

    /// Records an attempt's end; a probe request without a first token is another failure.
    pub(super) fn on_finished(&mut self, now: Timestamp, attempt: &AttemptId) {
        if self.is_probe(attempt) {
            *self = self.failed(now);
        }
    }

    fn is_probe(&self, attempt: &AttemptId) -> bool {
        matches!(self, Self::Failed { probe: Some(probe), .. } if probe.attempt == *attempt)
    }

    /// Returns when a probe request may be sent, if the endpoint failed.
    pub(super) fn probe_at(&self) -> Option<Timestamp> {
        match self {
            Self::Failed { probe_at, .. } => Some(*probe_at),
            _ => None,
        }
    }
}
