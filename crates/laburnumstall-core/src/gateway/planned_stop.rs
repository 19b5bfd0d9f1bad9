//! Calls during a planned stop.
//!
//! The platform kills a daemon at the end of its grace. A call that is passed on late in it may be cut
//! off, and if it must not be repeated, its caller cannot tell whether it ran. So a call late in the
//! grace is taken only if its deadline lies within; others are refused at once, while they have not
//! run, and their callers go to another daemon.

use std::time::Duration;

use super::Gateway;
use super::call::AdmittedCall;
use crate::decision::{Decision, DecisionKind};
use crate::domain_value;
use crate::error::{ErrorKind, Refusal};
use crate::units::Timestamp;

/// Retry delay for callers that a stopping daemon refuses: other daemons serve them at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

domain_value! {
    /// Times of a planned stop.
    pub struct PlannedStop {
        /// End of the time in which calls are admitted whatever their deadline.
        pub admits_until: Timestamp,
        /// Time at which calls in flight get their last answer.
        pub answers_until: Timestamp,
    }
}

impl Gateway {
    /// Begins a planned stop: callers are no longer sent to the daemon.
    pub fn begin_stop(&mut self, now: Timestamp, stop: PlannedStop) {
        self.planned_stop = Some(stop);
        self.journal.record(
            Decision::new(now, DecisionKind::Stop, "drain", "asked")
                .with("admits_ms", stop.admits_until.since(now).as_millis())
                .with("answers_ms", stop.answers_until.since(now).as_millis()),
        );
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.planned_stop.is_some()
    }

    /// Checks that a call that has not run may still be passed on.
    ///
    /// # Errors
    ///
    /// [`Refusal`] late in the grace of a planned stop, if the deadline lies beyond it.
    pub(super) fn check_stop(&self, now: Timestamp, deadline: Timestamp) -> Result<(), Refusal> {
        match self.planned_stop {
            Some(stop) if now >= stop.admits_until && deadline > stop.answers_until => {
                let refusal = Refusal::new(ErrorKind::NotReady, "the daemon stops");
                Err(refusal.with_retry_after(STOPPING_RETRY_AFTER))
            }
            _ => Ok(()),
        }
    }

    /// Returns the last answer to a call at the end of a planned stop.
    pub fn cut_off(&self, call: &AdmittedCall) -> Refusal {
        let may_have_run = call.has_started || call.executions > 0 || call.is_outstanding;
        match may_have_run {
            true => Refusal::new(ErrorKind::DeadlineExceeded, "the daemon stops"),
            false => Refusal::new(ErrorKind::NotReady, "the daemon stops")
                .with_retry_after(STOPPING_RETRY_AFTER),
        }
    }
}
