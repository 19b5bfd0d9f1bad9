//! Whether an endpoint may get new work.

use std::time::Duration;

use crate::ids::AttemptId;
use crate::units::Timestamp;

/// Time until the first trial request after a failure.
const FIRST_PROBE: Duration = Duration::from_secs(1);
/// Longest time between trial requests.
const MAX_PROBE: Duration = Duration::from_secs(30);

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
        probe: Option<AttemptId>,
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

    /// Tells whether a trial request is due.
    pub(super) fn is_probe_due(&self, now: Timestamp) -> bool {
        matches!(self, Self::Failed { probe_at, probe: None, .. } if *probe_at <= now)
    }

    /// Returns when a trial request may be made, for an endpoint that failed.
    pub(super) fn probe_at(&self) -> Option<Timestamp> {
        match self {
            Self::Failed { probe_at, .. } => Some(*probe_at),
            _ => None,
        }
    }
}
