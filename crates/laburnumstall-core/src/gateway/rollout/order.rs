//! Orders of rollouts, their stored state, and the limits that hold for them.

use std::fmt;
use std::time::Duration;

use compact_str::CompactString;

use crate::ids::{ServiceName, SoftwareVersion};
use crate::store::{StorePosition, StoreVersion};
use crate::{domain, domain_value};

/// Time by which the deadline is brought forward: until the first daemon has seen the order, and
/// for the write of the outcome.
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);

domain! {
    /// Limits that the platform sets for rollouts.
    #[derive(Copy)]
    pub struct RolloutBounds {
        /// Largest share of a service's requests that a bad version may get, from 0 to 1.
        pub canary_share: f64,
        /// Requests that it may get beyond the share.
        pub canary_tolerance: u64,
        /// Time after the fiftieth bad response from which on it may get none.
        pub rollback: Duration,
    }

    /// Order to move a service to a software version.
    #[derive(Eq)]
    pub struct RolloutOrder {
        /// Position of the key in the store; identifies the order.
        pub id: StorePosition,
        /// Version to move to.
        pub to: SoftwareVersion,
        /// Time within which the move has to be complete.
        pub duration: Duration,
    }

    /// Value of a service's order key.
    #[derive(Eq)]
    pub enum OrderEntry {
        /// A readable order.
        Order(RolloutOrder),
        /// A value that cannot be decoded, and why.
        Unreadable(CompactString),
        /// No value.
        Removed,
    }

    /// Stored state of a rollout.
    #[derive(Eq)]
    pub struct StoredRollout {
        /// The order.
        pub order: RolloutOrder,
        /// State of the order.
        pub phase: RolloutPhase,
        /// Why it has this state.
        pub reason: CompactString,
        /// Time from the moment at which the first daemon saw the order to the write, in
        /// milliseconds.
        pub elapsed_ms: u64,
    }

    /// Write of the state of one rollout, together with its status for the platform.
    #[derive(Eq)]
    pub struct RolloutWrite {
        /// The service.
        pub service: ServiceName,
        /// State to store.
        pub stored: StoredRollout,
        /// Required version of the key; `None` if it must not exist.
        pub expected: Option<StoreVersion>,
    }
}

domain_value! {
    /// State of an order. A later state never changes back to an earlier one.
    #[serde(rename_all = "kebab-case")]
    pub enum RolloutPhase {
        /// Known and stored; the version has no endpoint yet.
        Ordered,
        /// The version gets a small share of the calls.
        Canary,
        /// The version gets as many calls as the limits allow, and then all of them.
        Moving,
        /// The version has all calls.
        Complete,
        /// The version is bad, or did not appear, and gets no call.
        Reverted,
        /// The order was removed or cannot be decoded, and the version gets no call.
        Aborted,
    }

    /// Status of a rollout for the platform.
    pub enum RolloutStatus {
        /// Not decided.
        InProgress,
        /// The service has moved.
        Complete,
        /// The service stays at the old version.
        Reverted,
    }
}

impl RolloutOrder {
    /// Returns the time from the moment at which the first daemon saw the order to its deadline.
    pub fn deadline(&self) -> Duration {
        let deadline = self.duration.saturating_sub(DEADLINE_MARGIN);
        deadline.max(self.duration / 2)
    }

    /// Returns whether `other` is the same order. Positions tell only within one era of the
    /// store, which may have lost the newer ones.
    pub fn is_same(&self, other: &Self) -> bool {
        let is_equal = self.to == other.to && self.duration == other.duration;
        self.id == other.id || self.id.era != other.id.era && is_equal
    }
}

impl RolloutPhase {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ordered => "ordered",
            Self::Canary => "canary",
            Self::Moving => "moving",
            Self::Complete => "complete",
            Self::Reverted => "reverted",
            Self::Aborted => "aborted",
        }
    }

    /// Returns whether the order is decided.
    pub fn is_final(self) -> bool {
        self >= Self::Complete
    }

    /// Returns the status for the platform.
    pub fn status(self) -> RolloutStatus {
        match self {
            Self::Ordered | Self::Canary | Self::Moving => RolloutStatus::InProgress,
            Self::Complete => RolloutStatus::Complete,
            Self::Reverted | Self::Aborted => RolloutStatus::Reverted,
        }
    }
}

impl fmt::Display for RolloutPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
