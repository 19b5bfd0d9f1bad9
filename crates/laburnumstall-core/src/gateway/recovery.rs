//! What follows a call that an endpoint did not answer as it should.
//!
//! A call that may not repeat is sent again only if the endpoint certainly did not run it.
//! A call that may repeat runs again on another endpoint while attempts, time and the
//! retry window allow it; a stream goes on behind the last event that the caller has.

use std::time::Duration;

use super::call::AdmittedCall;
use super::health::CallOutcome;
use crate::domain_value;
use crate::error::{ErrorKind, Refusal};
use crate::limits::RetryWindow;
use crate::units::Timestamp;

/// Sends of one call beyond those that may run it: endpoints that refuse or cannot be
/// reached.
const EXTRA_SENDS: u32 = 2;
/// Least time that is left for another try to be of use.
const LEAST_LEFT: Duration = Duration::from_millis(30);
/// Time after which a caller that was refused for want of a working endpoint comes back:
/// half of the time in which a crashed endpoint is missed.
pub const RETRY_AFTER: Duration = Duration::from_millis(500);

domain_value! {
    /// How an endpoint failed a call.
    #[serde(rename_all = "kebab-case")]
    pub enum CallFailure {
        /// No connection was made or nothing was written.
        NotSent,
        /// The endpoint said that it did not run the call.
        NotRun,
        /// Another endpoint has the address; it did not run the call.
        WrongEndpoint,
        /// The connection ended before an answer.
        Lost,
        /// Nothing came in time.
        Silent,
        /// The answer was broken, incomplete or not to this call.
        BadAnswer,
        /// The endpoint ran the call and answered with a failure.
        Failed,
        /// The stream broke off after its first event.
        Broken,
    }

    /// What is done next.
    pub enum FailureAction {
        /// The call is placed again.
        #[serde(rename = "Again")]
        Retry,
        /// The endpoint's own answer goes to the caller.
        #[serde(rename = "PassOn")]
        Forward,
        /// The call is given up.
        GiveUp,
    }
}

impl CallFailure {
    /// Returns the name written in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not-sent",
            Self::NotRun => "not-run",
            Self::WrongEndpoint => "wrong-endpoint",
            Self::Lost => "lost",
            Self::Silent => "silent",
            Self::BadAnswer => "bad-answer",
            Self::Failed => "failed",
            Self::Broken => "broken",
        }
    }

    /// Tells whether the endpoint may have run the call.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::NotSent | Self::NotRun | Self::WrongEndpoint)
    }

    /// Returns what the failure says about the endpoint.
    pub fn outcome(self) -> Option<CallOutcome> {
        match self {
            Self::NotSent | Self::Silent | Self::WrongEndpoint => Some(CallOutcome::Unreachable),
            Self::Lost | Self::BadAnswer | Self::Failed | Self::Broken => Some(CallOutcome::Bad),
            Self::NotRun => None,
        }
    }
}

/// Decides what follows a failure; the reason is a short word for the log.
pub(super) fn after_failure(
    now: Timestamp,
    ticket: &AdmittedCall,
    failure: CallFailure,
    retries: &mut RetryWindow,
) -> (FailureAction, &'static str) {
    let route = &ticket.route;
    let give_up = match failure {
        CallFailure::Failed => FailureAction::Forward,
        _ => FailureAction::GiveUp,
    };
    if failure.may_have_run() && !route.is_retryable() {
        return (give_up, "may-have-run");
    }
    if ticket.executions >= route.max_endpoints {
        return (give_up, "attempts-used");
    }
    if ticket.sends >= route.max_endpoints + EXTRA_SENDS {
        return (give_up, "sends-used");
    }
    if ticket.remaining(now) < LEAST_LEFT {
        return (give_up, "deadline");
    }
    if failure != CallFailure::NotSent && !retries.try_retry(now) {
        return (give_up, "retry-window-full");
    }
    (FailureAction::Retry, "retry")
}

/// Returns the answer for a call that is given up.
pub(super) fn refusal(now: Timestamp, ticket: &AdmittedCall, failure: CallFailure) -> Refusal {
    let is_late = ticket.remaining(now) < LEAST_LEFT;
    let kind = match failure {
        _ if ticket.executions == 0 => ErrorKind::NoEndpoint,
        CallFailure::Silent => ErrorKind::DeadlineExceeded,
        _ if is_late => ErrorKind::DeadlineExceeded,
        CallFailure::Lost => ErrorKind::ConnectionLost,
        _ => ErrorKind::EndpointFailed,
    };
    let refusal = Refusal::new(kind, failure.name());
    match kind {
        ErrorKind::NoEndpoint => refusal.with_retry_after(RETRY_AFTER),
        _ => refusal,
    }
}
