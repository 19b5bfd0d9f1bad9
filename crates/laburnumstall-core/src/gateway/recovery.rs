//! Recovery from failed calls.
//!
//! A call that must not be repeated is sent again only if the endpoint certainly did not run
//! it. A retryable call runs again on another endpoint while attempts, time and the retry
//! window allow it; a stream resumes after the last event that the caller received.

use std::time::Duration;

use super::Gateway;
use super::call::AdmittedCall;
use super::health::CallOutcome;
use crate::domain_value;
use crate::error::{ErrorKind, Refusal};
use crate::ids::ServiceName;
use crate::limits::RetryWindow;
use crate::units::Timestamp;

/// Sends of one call beyond `max_endpoints` of its route, for endpoints that refuse it or
/// cannot be reached.
const EXTRA_SENDS: u32 = 2;
/// Connections that may fail for one call before it is abandoned.
const MAX_FAILED_CONNECTS: u32 = 6;
/// First delay before a call that has run connects to an endpoint that it has tried before.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Minimum time to the deadline for another attempt to be worthwhile.
const MIN_REMAINING: Duration = Duration::from_millis(30);
/// Retry delay for callers refused for lack of a working endpoint: half of the time within
/// which a failed endpoint is detected.
pub const RETRY_AFTER: Duration = Duration::from_millis(500);

domain_value! {
    /// How an attempt failed.
    #[serde(rename_all = "kebab-case")]
    pub enum CallFailure {
        /// No connection was made or nothing was written.
        NotSent,
        /// The endpoint responded that it did not run the call.
        NotRun,
        /// The address belongs to another endpoint, which did not run the call.
        WrongEndpoint,
        /// The connection ended before a response.
        Lost,
        /// No response came in time.
        Silent,
        /// The response was malformed, incomplete or for another call.
        BadAnswer,
        /// The endpoint ran the call and responded with an error.
        Failed,
        /// The stream ended early, after its first event.
        Broken,
    }

    /// What to do after a failed attempt.
    pub enum FailureAction {
        /// Select an endpoint and send the call again.
        #[serde(rename = "Again")]
        Retry,
        /// Forward the endpoint's own response to the caller.
        #[serde(rename = "PassOn")]
        Forward,
        /// Abandon the call.
        GiveUp,
    }
}

impl CallFailure {
    /// Returns the name used in logs.
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

    /// Returns whether the endpoint may have run the call.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::NotSent | Self::NotRun | Self::WrongEndpoint)
    }

    /// Returns whether the endpoint may have crashed while it ran the call.
    pub(super) fn may_be_crash(self) -> bool {
        matches!(self, Self::Lost | Self::BadAnswer | Self::Broken)
    }

    /// Returns the outcome to record in the endpoint's health, if any.
    pub fn outcome(self) -> Option<CallOutcome> {
        match self {
            Self::NotSent | Self::Silent | Self::WrongEndpoint => Some(CallOutcome::Unreachable),
            Self::Lost | Self::BadAnswer | Self::Failed | Self::Broken => Some(CallOutcome::Bad),
            Self::NotRun => None,
        }
    }
}

/// Decides what to do after a failure; the second value is the reason for the log.
pub(super) fn after_failure(
    now: Timestamp,
    call: &AdmittedCall,
    failure: CallFailure,
    retries: &mut RetryWindow,
) -> (FailureAction, &'static str) {
    let route = &call.route;
    let final_action = match failure {
        CallFailure::Failed => FailureAction::Forward,
        _ => FailureAction::GiveUp,
    };
    if failure.may_have_run() && !route.is_retryable() {
        return (final_action, "may-have-run");
    }
    if call.executions >= route.max_endpoints {
        return (final_action, "attempts-used");
    }
    if call.sends >= route.max_endpoints + EXTRA_SENDS {
        return (final_action, "sends-used");
    }
    if call.failed_connects >= MAX_FAILED_CONNECTS {
        return (final_action, "connects-used");
    }
    if call.remaining(now) < MIN_REMAINING {
        return (final_action, "deadline");
    }
    if failure != CallFailure::NotSent && !retries.try_retry(now) {
        return (final_action, "retry-window-full");
    }
    (FailureAction::Retry, "retry")
}

/// Checks whether a second attempt may start beside a silent one; the error is the reason for
/// the log.
pub(super) fn may_replace(now: Timestamp, call: &AdmittedCall) -> Result<(), &'static str> {
    let route = &call.route;
    if !route.is_retryable() {
        return Err("may-have-run");
    }
    // The silent attempt counts as one that runs.
    if call.executions + 1 >= route.max_endpoints {
        return Err("attempts-used");
    }
    if call.sends >= route.max_endpoints + EXTRA_SENDS {
        return Err("sends-used");
    }
    if call.failed_connects >= MAX_FAILED_CONNECTS {
        return Err("connects-used");
    }
    if call.remaining(now) < MIN_REMAINING {
        return Err("deadline");
    }
    Ok(())
}

/// Checks whether a run may be stopped and go on at another endpoint; the error is the reason for
/// the log.
pub(super) fn may_move(now: Timestamp, call: &AdmittedCall) -> Result<(), &'static str> {
    let route = &call.route;
    // The run that is stopped counts.
    if call.executions + 2 > route.max_endpoints {
        return Err("attempts-used");
    }
    if call.sends >= route.max_endpoints + EXTRA_SENDS {
        return Err("sends-used");
    }
    if call.remaining(now) < MIN_REMAINING {
        return Err("deadline");
    }
    Ok(())
}

/// Returns whether a call may be sent to an endpoint that it has tried before. One that has not
/// run and finds no reachable endpoint is refused at once; its caller may come back.
pub(super) fn may_repeat_endpoint(call: &AdmittedCall) -> bool {
    call.executions > 0 || call.events > 0 || call.last_failure != Some(CallFailure::NotSent)
}

/// Returns the delay before the next attempt of a call whose connections fail in a row.
pub(super) fn reconnect_delay(call: &AdmittedCall) -> Duration {
    match call.last_failure {
        Some(CallFailure::NotSent) if call.failed_connects > 1 => {
            RECONNECT_DELAY * 2_u32.pow(call.failed_connects.min(MAX_FAILED_CONNECTS) - 2)
        }
        _ => Duration::ZERO,
    }
}

/// Returns the refusal for the caller of an abandoned call.
pub(super) fn refusal(now: Timestamp, call: &AdmittedCall, failure: CallFailure) -> Refusal {
    let is_late = call.remaining(now) < MIN_REMAINING;
    let kind = match failure {
        _ if call.executions == 0 => ErrorKind::NoEndpoint,
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

impl Gateway {
    pub(super) fn retry_window(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
    ) -> &mut RetryWindow {
        let allowance = self.update_retry_share(now);
        let bounds = &self.bounds;
        self.retry_windows
            .entry(service.clone())
            .or_insert_with(|| RetryWindow::new(bounds.retry_window, bounds.retry_ratio, allowance))
    }

    /// Returns this daemon's share of the retries that all daemons may send regardless of load.
    pub(super) fn update_retry_share(&mut self, now: Timestamp) -> f64 {
        let daemons = 1 + self.peer_table.len();
        let share = self.bounds.retry_allowance / daemons as f64;
        self.retry_share.update(now, share)
    }
}
