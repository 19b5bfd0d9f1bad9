//! Label values: fixed lists, and a limiter for open-ended ones.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

use laburnumstall_core::error::ErrorKind;
use laburnumstall_core::store::{StoreCall, StoreFailure, StoreOutcome, StoreReply};

/// Label for all values beyond the limit.
const OTHER: &str = "other";

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The caller received the complete answer.
    Answered,
    /// The caller received an error.
    Failed(ErrorKind),
}

impl RequestOutcome {
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed(kind) => kind.name(),
        }
    }
}

/// Why an attempt was started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptReason {
    /// It is the first attempt of the request.
    First,
    /// The previous attempt was not dispatched or failed before any answer.
    Retry,
    /// The previous attempt was lost; the answer resumes after the relayed part.
    Resume,
    /// The endpoint is leaving; the answer resumes on another one.
    Move,
    /// Another daemon took over the request.
    TakeOver,
}

impl AttemptReason {
    pub(super) const ALL: [Self; 5] = [
        Self::First,
        Self::Retry,
        Self::Resume,
        Self::Move,
        Self::TakeOver,
    ];

    pub(super) fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Retry => "retry",
            Self::Resume => "resume",
            Self::Move => "move",
            Self::TakeOver => "take-over",
        }
    }
}

/// Direction of a transfer, as seen from this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// To this daemon.
    In,
    /// From this daemon.
    Out,
}

impl Direction {
    pub(super) const ALL: [Self; 2] = [Self::In, Self::Out];

    pub(super) fn name(self) -> &'static str {
        match self {
            Self::In => "in",
            Self::Out => "out",
        }
    }
}

/// Kind of a call to the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreCallKind {
    /// Reads one key.
    Get,
    /// Reads all keys under a prefix.
    List,
    /// Compares and swaps one key.
    Swap,
    /// Creates a lease.
    Grant,
    /// Renews a lease.
    Renew,
    /// Revokes a lease.
    Revoke,
    /// Waits for changes.
    Watch,
}

impl StoreCallKind {
    pub(super) const ALL: [Self; 7] = [
        Self::Get,
        Self::List,
        Self::Swap,
        Self::Grant,
        Self::Renew,
        Self::Revoke,
        Self::Watch,
    ];

    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::List => "list",
            Self::Swap => "swap",
            Self::Grant => "grant",
            Self::Renew => "renew",
            Self::Revoke => "revoke",
            Self::Watch => "watch",
        }
    }
}

impl From<&StoreCall> for StoreCallKind {
    fn from(call: &StoreCall) -> Self {
        match call {
            StoreCall::Get { .. } => Self::Get,
            StoreCall::List { .. } => Self::List,
            StoreCall::Swap { .. } => Self::Swap,
            StoreCall::Grant { .. } => Self::Grant,
            StoreCall::Renew { .. } => Self::Renew,
            StoreCall::Revoke { .. } => Self::Revoke,
            StoreCall::Watch { .. } => Self::Watch,
        }
    }
}

/// Returns the label of a store call's outcome.
pub(super) fn outcome_name(outcome: &StoreOutcome) -> &'static str {
    match outcome {
        Ok(StoreReply::Conflict { .. }) => "conflict",
        Ok(StoreReply::LeaseGone) => "lease-gone",
        Ok(_) => "ok",
        Err(StoreFailure::Unavailable) => "unavailable",
        Err(StoreFailure::Unknown) => "unknown",
    }
}

/// Limits the number of distinct values of a label.
#[derive(Debug)]
pub(super) struct LabelLimiter {
    limit: usize,
    known: Mutex<BTreeSet<String>>,
}

impl LabelLimiter {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            known: Mutex::default(),
        }
    }

    /// Returns the value, or `other` for a new value once the limit is reached.
    pub(super) fn admit<'a>(&self, value: &'a str) -> &'a str {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if known.contains(value) {
            return value;
        }
        if known.len() >= self.limit {
            return OTHER;
        }
        known.insert(value.to_owned());
        value
    }
}
