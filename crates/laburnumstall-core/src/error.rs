//! The closed set of error kinds and the table of their responses.
//!
//! Every error response has an [`ErrorKind`]. The table maps it to an HTTP status and to
//! an [`Execution`], which states whether the request may have run.

use std::fmt;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{domain, domain_value};

domain_value! {
    /// Whether a failed request may have run.
    #[serde(rename_all = "kebab-case")]
    pub enum Execution {
        /// Nothing ran; a retry is safe.
        NotRun,
        /// A non-idempotent request may have run; a retry is not safe.
        OutcomeUnknown,
        /// The request ran and failed.
        RanFailed,
    }

    /// Why a request failed.
    #[serde(rename_all = "kebab-case")]
    pub enum ErrorKind {
        /// The request could not be parsed.
        Malformed,
        /// The body or the headers exceed the size limit.
        TooLarge,
        /// The bearer key belongs to no customer.
        Unauthenticated,
        /// The customer's contract does not include the service.
        Forbidden,
        /// The service or path does not exist.
        UnknownService,
        /// The request does not exist or belongs to another customer.
        UnknownRequest,
        /// The idempotency key was used with a different body.
        KeyConflict,
        /// The idempotency key is older than the service's key window.
        KeyExpired,
        /// A non-idempotent call has no idempotency key.
        KeyMissing,
        /// The customer's rate limit is exhausted for now.
        LimitReached,
        /// The request could not be answered within its deadline.
        Overloaded,
        /// No endpoint of the service is usable now.
        NoEndpoint,
        /// An earlier request with the same key may have run, or a copy of this one may still run.
        Unresolved,
        /// The request is quarantined because it crashed endpoints.
        Quarantined,
        /// The daemon has no configuration yet.
        NotReady,
        /// The request could not be copied to a standby in another availability zone.
        NoStandby,
        /// The key-value service did not confirm the claim in time.
        ClaimUnavailable,
        /// The daemon that may have dispatched the request is unreachable.
        OwnerLost,
        /// The connection failed after a non-idempotent request was sent.
        ConnectionLost,
        /// The deadline passed after the request was dispatched.
        DeadlineExceeded,
        /// The endpoint returned an error.
        EndpointFailed,
        /// The request was running on endpoints that crashed and is not retried.
        EndpointCrashed,
        /// The answer cannot be resumed after the event that the caller named.
        StreamDiverged,
    }
}

/// Response to an error kind; a row of [`ERROR_TABLE`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// HTTP status code.
    pub status: u16,
    /// Whether the request may have run.
    pub execution: Execution,
    /// Time after which the caller may retry; `None` if a retry cannot help.
    pub retry_after: Option<Duration>,
    /// Human-readable description.
    pub text: &'static str,
    /// What the caller can do about it.
    pub hint: &'static str,
}

const fn row(
    kind: ErrorKind,
    status: u16,
    execution: Execution,
    retry_after_secs: u64,
    text: &'static str,
    hint: &'static str,
) -> ErrorResponse {
    let retry_after = match retry_after_secs {
        0 => None,
        secs => Some(Duration::from_secs(secs)),
    };
    ErrorResponse {
        kind,
        status,
        execution,
        retry_after,
        text,
        hint,
    }
}

/// Responses to all error kinds, in the order of [`ErrorKind`].
#[rustfmt::skip]
pub const ERROR_TABLE: [ErrorResponse; 23] = {
    use ErrorKind::*;
    use Execution::*;
    [
        row(Malformed, 400, NotRun, 0, "the request could not be read", "correct the request"),
        row(TooLarge, 413, NotRun, 0, "the request is larger than the limit", "send a smaller request"),
        row(Unauthenticated, 401, NotRun, 0, "the bearer key names no customer", "check the Authorization header"),
        row(Forbidden, 403, NotRun, 0, "the contract does not cover this service", "ask the operators"),
        row(UnknownService, 404, NotRun, 0, "there is no such service", "check the model or service name"),
        row(UnknownRequest, 404, OutcomeUnknown, 0, "there is no such request", "check the request id"),
        row(KeyConflict, 409, NotRun, 0, "the idempotency key was used with another body", "use a new key for a new request"),
        row(KeyExpired, 410, OutcomeUnknown, 0, "the idempotency key is older than the service's window", "find out whether it ran before sending it with a new key"),
        row(KeyMissing, 400, NotRun, 0, "a non-idempotent call needs an idempotency key", "send an Idempotency-Key header"),
        row(LimitReached, 429, NotRun, 1, "the contract's limit is reached", "send again after the given time"),
        row(Overloaded, 503, NotRun, 2, "the request could not be answered within its deadline", "send again after the given time"),
        row(NoEndpoint, 503, NotRun, 2, "no endpoint of the service can be used now", "send again after the given time"),
        row(Unresolved, 503, OutcomeUnknown, 1, "whether the request ran could not be found out", "send it again with the same key"),
        row(Quarantined, 422, NotRun, 0, "the request crashed endpoints and is not run again", "change the request or ask the operators"),
        row(NotReady, 503, NotRun, 1, "this entry has no configuration yet", "use another entry"),
        row(NoStandby, 503, NotRun, 1, "the request could not be copied to another zone", "send again after the given time"),
        row(ClaimUnavailable, 503, NotRun, 2, "the key-value service could not confirm the claim", "send again with the same key"),
        row(OwnerLost, 502, OutcomeUnknown, 0, "the daemon that may have dispatched the request is gone", "find out whether it ran before sending it with a new key"),
        row(ConnectionLost, 502, OutcomeUnknown, 0, "the connection failed after the request was sent", "find out whether it ran before sending it with a new key"),
        row(DeadlineExceeded, 504, OutcomeUnknown, 0, "the deadline passed after the request was dispatched", "find out whether it ran before sending it with a new key"),
        row(EndpointFailed, 502, RanFailed, 0, "the endpoint answered with an error", "see the endpoint's message"),
        row(EndpointCrashed, 502, RanFailed, 0, "the request was running on endpoints that crashed", "change the request or ask the operators"),
        row(StreamDiverged, 409, RanFailed, 0, "the answer cannot be continued from that event", "attach without Last-Event-ID for the whole answer"),
    ]
};

impl ErrorKind {
    /// Returns the kind's row of [`ERROR_TABLE`].
    pub fn response(self) -> ErrorResponse {
        ERROR_TABLE[self as usize]
    }

    /// Returns the kind with a name, if there is one.
    pub fn from_name(name: &str) -> Option<Self> {
        let rows = ERROR_TABLE.iter();
        rows.map(|row| row.kind).find(|kind| kind.name() == name)
    }

    /// Returns the name that responses and log lines use.
    pub fn name(self) -> &'static str {
        use ErrorKind::*;
        match self {
            Malformed => "malformed",
            TooLarge => "too-large",
            Unauthenticated => "unauthenticated",
            Forbidden => "forbidden",
            UnknownService => "unknown-service",
            UnknownRequest => "unknown-request",
            KeyConflict => "key-conflict",
            KeyExpired => "key-expired",
            KeyMissing => "key-missing",
            LimitReached => "limit-reached",
            Overloaded => "overloaded",
            NoEndpoint => "no-endpoint",
            Unresolved => "unresolved",
            Quarantined => "quarantined",
            NotReady => "not-ready",
            NoStandby => "no-standby",
            ClaimUnavailable => "claim-unavailable",
            OwnerLost => "owner-lost",
            ConnectionLost => "connection-lost",
            DeadlineExceeded => "deadline-exceeded",
            EndpointFailed => "endpoint-failed",
            EndpointCrashed => "endpoint-crashed",
            StreamDiverged => "stream-diverged",
        }
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl fmt::Display for Execution {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::OutcomeUnknown => "outcome-unknown",
            Self::RanFailed => "ran-failed",
        })
    }
}

domain! {
    /// An error returned to a caller.
    pub struct Refusal {
        /// Kind of the error.
        pub kind: ErrorKind,
        /// Details of this occurrence; never contains a request body or a key.
        pub detail: CompactString,
        /// Time after which the caller may retry, if a retry can help.
        pub retry_after: Option<Duration>,
    }
}

impl Refusal {
    /// Creates a refusal of `kind` with details and the table's retry time.
    pub fn new(kind: ErrorKind, detail: impl Into<CompactString>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            retry_after: kind.response().retry_after,
        }
    }

    /// Overrides the time after which the caller may retry.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.response().text, self.detail)
    }
}

impl std::error::Error for Refusal {}

/// JSON body of an error response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Whether the request may have run.
    pub execution: Execution,
    /// Description with the details of this occurrence.
    pub message: CompactString,
    /// What the caller can do about it.
    pub hint: CompactString,
}

impl From<&Refusal> for ErrorBody {
    fn from(refusal: &Refusal) -> Self {
        let response = refusal.kind.response();
        Self {
            kind: refusal.kind,
            execution: response.execution,
            message: refusal.to_string().into(),
            hint: response.hint.into(),
        }
    }
}
