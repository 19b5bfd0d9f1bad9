//! Kinds of calls to the key-value service, and the answer whether one can be made.

use std::fmt;
use std::time::Duration;

use crate::decision::{Decision, DecisionKind};
use crate::store::StoreCall;
use crate::units::{RequestRate, Timestamp};
use crate::{domain, domain_value};

domain_value! {
    /// What a call does to the key-value service.
    #[serde(rename_all = "kebab-case")]
    pub enum Operation {
        /// Reads a key or lists some.
        Read,
        /// Writes a key, or creates, renews or ends a lease.
        Write,
        /// Waits for changes; counts as one read.
        Watch,
    }

    /// What a call is for; the first gives way first.
    #[serde(rename_all = "kebab-case")]
    pub enum Purpose {
        /// The placement lease and plan.
        Placement,
        /// The operators' text.
        Configuration,
        /// The registry of daemons.
        Membership,
        /// Claims of non-idempotent requests.
        Claims,
    }

    /// Kind of a call.
    pub struct CallKind {
        /// What it does.
        pub operation: Operation,
        /// What it is for.
        pub purpose: Purpose,
    }

    /// Whether a call can be made.
    #[serde(rename_all = "kebab-case")]
    pub enum Admission {
        /// It can be made now.
        Now,
        /// It can be asked for again after this time.
        Wait(Duration),
    }

    /// A daemon's share of the service's rates.
    pub struct CallRates {
        /// Reads and watches a second.
        pub reads: RequestRate,
        /// Writes a second.
        pub writes: RequestRate,
    }
}

domain! {
    /// Calls of one kind so far.
    pub struct CallCount {
        /// The kind.
        pub kind: CallKind,
        /// Calls made.
        pub admitted: u64,
        /// Times that a call was told to wait.
        pub delayed: u64,
    }
}

impl Operation {
    /// Returns what a call does.
    pub fn of(call: &StoreCall) -> Self {
        match call {
            StoreCall::Get { .. } | StoreCall::List { .. } => Self::Read,
            StoreCall::Watch { .. } => Self::Watch,
            StoreCall::Swap { .. }
            | StoreCall::Grant { .. }
            | StoreCall::Renew { .. }
            | StoreCall::Revoke { .. } => Self::Write,
        }
    }
}

impl Purpose {
    /// Returns the quarters of a bucket that are kept for purposes that matter more.
    pub fn reserved_quarters(self) -> u64 {
        match self {
            Self::Claims => 0,
            Self::Membership => 1,
            Self::Configuration => 2,
            Self::Placement => 3,
        }
    }
}

impl CallKind {
    /// Returns the kind of a call made for a purpose.
    pub fn of(call: &StoreCall, purpose: Purpose) -> Self {
        Self {
            operation: Operation::of(call),
            purpose,
        }
    }

    /// Returns the record of a call that waits.
    pub fn delay(self, now: Timestamp, wait: Duration) -> Decision {
        Decision::new(now, DecisionKind::Budget, "wait", "over-rate")
            .with("operation", self.operation)
            .with("purpose", self.purpose)
            .with("wait_ms", wait.as_millis())
    }
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Watch => "watch",
        })
    }
}

impl fmt::Display for Purpose {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Placement => "placement",
            Self::Configuration => "configuration",
            Self::Membership => "membership",
            Self::Claims => "claims",
        })
    }
}
