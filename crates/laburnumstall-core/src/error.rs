//! The closed list of error kinds, and the table from kind to answer.
//!
//! Every answer that is not a result has one [`ErrorKind`]. The table gives its HTTP
//! status and what it says about the request: see [`Execution`].

use std::fmt;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{domain, domain_value};

domain_value! {
    /// What an answer says about whether the request ran.
    #[serde(rename_all = "kebab-case")]
    pub enum Execution {
        /// Nothing ran; sending again is safe.
        NotRun,
        /// A non-idempotent request may have run; sending again is not safe.
        OutcomeUnknown,
        /// It ran and failed.
        RanFailed,
    }

    /// Why a request has no result.
    #[serde(rename_all = "kebab-case")]
    pub enum ErrorKind {
        /// The request could not be read.
        Malformed,
        /// The body or the headers are larger than the limit.
        TooLarge,
        /// The bearer key names no customer.
        Unauthenticated,
        /// The contract does not cover the service.
        Forbidden,
        /// There is no such service or path.
        UnknownService,
        /// There is no such request, or it belongs to another customer.
        UnknownRequest,
        /// The idempotency key was used with another body.
        KeyConflict,
        /// The idempotency key is older than the service's window.
        KeyExpired,
        /// A non-idempotent call came without an idempotency key.
        KeyMissing,
        /// The customer's contract is used up for now.
        LimitReached,
        /// The request could not be answered within its deadline.
        Overloaded,
        /// No endpoint of the service can be used now.
        NoEndpoint,
        /// Whether a request with the same key ran, or a copy of it will, could not be found out.
        Unresolved,
        /// The request crashed endpoints and is not run again.
        Quarantined,
        /// This daemon has no configuration yet.
        NotReady,
        /// The request could not be copied to another availability zone.
        NoStandby,
        /// The key-value service could not confirm the claim in time.
        ClaimUnavailable,
        /// The daemon that may have dispatched the request is gone.
        OwnerLost,
        /// The connection failed after a non-idempotent request was sent.
        ConnectionLost,
        /// The deadline passed after the request had been dispatched.
        DeadlineExceeded,
        /// The endpoint answered with an error.
        EndpointFailed,
        /// The request was running on endpoints that crashed and is not run again.
        EndpointCrashed,
        /// The answer cannot be continued from the event that the caller names.
        StreamDiverged,
    }
}

/// One row of the table from kind to answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// HTTP status code.
    pub status: u16,
    /// What it says about the request.
    pub execution: Execution,
    /// Time after which the caller can come back, if that can help.
    pub retry_after: Option<Duration>,
    /// Sentence for a person.
    pub text: &'static str,
    /// What the caller can do.
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

/// The answer of every error kind.
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
    pub fn answer(self) -> ErrorResponse {
        ERROR_TABLE[self as usize]
    }

    /// Returns the kind with a name.
    pub fn from_name(name: &str) -> Option<Self> {
        let rows = ERROR_TABLE.iter();
        rows.map(|row| row.kind).find(|kind| kind.name() == name)
    }

    /// Returns the kind's name as written in answers and logs.
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
    /// An error as it is given to a caller.
    pub struct Refusal {
        /// Kind of the error.
        pub kind: ErrorKind,
        /// What happened in this case; never holds a body or a key.
        pub detail: CompactString,
        /// Time after which the caller can come back, when it differs from the table's.
        pub retry_after: Option<Duration>,
    }
}

impl Refusal {
    /// Builds a refusal of `kind` with what happened in this case.
    pub fn new(kind: ErrorKind, detail: impl Into<CompactString>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            retry_after: kind.answer().retry_after,
        }
    }

    /// Replaces the time after which the caller can come back.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.answer().text, self.detail)
    }
}

impl std::error::Error for Refusal {}

/// Body of an error answer, as callers read it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// What it says about the request.
    pub execution: Execution,
    /// What happened.
    pub message: CompactString,
    /// What the caller can do.
    pub hint: CompactString,
}

impl From<&Refusal> for ErrorBody {
    fn from(refusal: &Refusal) -> Self {
        let answer = refusal.kind.answer();
        Self {
            kind: refusal.kind,
            execution: answer.execution,
            message: refusal.to_string().into(),
            hint: answer.hint.into(),
        }
    }
}
