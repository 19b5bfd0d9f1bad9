//! Kinds of calls to the key-value service, and their admission.

use std::fmt;
use std::time::Duration;

use crate::decision::{Decision, DecisionKind};
use crate::store::StoreCall;
use crate::units::{RequestRate, Timestamp};
use crate::{domain, domain_value};

domain_value! {
    /// Operation that a call performs on the key-value service.
    #[serde(rename_all = "kebab-case")]
    pub enum Operation {
        /// Reads a key or lists keys.
        Read,
        /// Writes a key, or grants, renews or revokes a lease.
        Write,
        /// Waits for changes; counted as one read.
        Watch,
    }

    /// Purpose of a call, in increasing order of priority.
    #[serde(rename_all = "kebab-case")]
    pub enum Purpose {
        /// The placement lease and plan.
        Placement,
        /// The configuration.
        Configuration,
        /// Registration of daemons.
        Membership,
        /// Claims of non-idempotent requests.
        Claims,
    }

    /// Operation and purpose of a call.
    pub struct CallKind {
        /// Operation that it performs.
        pub operation: Operation,
        /// Purpose of the call.
        pub purpose: Purpose,
    }

    /// Whether a call is admitted.
    #[serde(rename_all = "kebab-case")]
    pub enum Admission {
        /// The call may be made now.
        Now,
        /// The call may be retried after this time.
        Wait(Duration),
    }

    /// A daemon's share of the key-value service's rate limits.
    pub struct CallRates {
        /// Reads and watches per second.
        pub reads: RequestRate,
        /// Writes per second.
        pub writes: RequestRate,
    }
}

domain! {
    /// Counters of one kind of call.
    pub struct CallCount {
        /// Kind of the calls.
        pub kind: CallKind,
        /// Number of calls admitted.
        pub admitted: u64,
        /// Number of times that a call was delayed.
        pub delayed: u64,
    }
}

impl Operation {
    /// Returns the operation that a call performs.
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
    /// Returns the quarters of a bucket reserved for purposes of higher priority.
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
    /// Returns the kind of a call with a purpose.
    pub fn of(call: &StoreCall, purpose: Purpose) -> Self {
        Self {
            operation: Operation::of(call),
            purpose,
        }
    }

    /// Returns the decision record of a delayed call.
    pub fn delay_decision(self, now: Timestamp, wait: Duration) -> Decision {
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
