//! Messages between operators and daemons, in JSON over HTTP.
//!
//! | call | request | answers |
//! |---|---|---|
//! | `POST /admin/configuration` | [`ApplyRequest`] | 200 [`Applied`], 409 [`ApplyConflict`], 422 [`Faults`](crate::Faults), 503 [`ApplyUnavailable`] |
//! | `GET /admin/configuration[?revision=N]` | | 200 [`StoredConfiguration`], 404 [`AdminError`] if there is none (yet) |
//! | `GET /admin/history` | | 200 list of [`HistoryEntry`] |
//! | `GET /admin/status` | | 200 [`Status`] |
//! | `POST /admin/drain` | [`DrainRequest`] | 202, 404 [`AdminError`] |
//!
//! Each call carries `Authorization: Bearer OPERATOR-KEY`; without it the answer is 401
//! with an [`AdminError`].

use std::fmt;

use compact_str::CompactString;
use laburnumstall_core::ids::{
    AvailabilityZone, DaemonId, EndpointId, OperatorName, Revision, VmId,
};
use laburnumstall_core::units::{HourlyPrice, Timestamp};
use laburnumstall_core::{domain, domain_value, text_id};

use crate::diff::Change;

/// Path of the configuration calls.
pub const CONFIGURATION_PATH: &str = "/admin/configuration";

/// Path of the history call.
pub const HISTORY_PATH: &str = "/admin/history";

/// Path of the status call.
pub const STATUS_PATH: &str = "/admin/status";

/// Path of the drain call.
pub const DRAIN_PATH: &str = "/admin/drain";

text_id! {
    /// Random text by which a repeated or lost apply is recognised.
    ApplyNonce;
}

domain_value! {
    /// Whether a daemon or an endpoint takes work.
    #[serde(rename_all = "kebab-case")]
    pub enum MemberState {
        /// It takes work.
        Live,
        /// It takes no new work.
        Leaving,
        /// It does not answer, and it is not known whether it is gone.
        Silent,
        /// It is gone.
        Gone,
    }

    /// Whether the key-value service answers.
    #[serde(rename_all = "kebab-case")]
    pub enum StoreState {
        /// The last call was answered.
        Reachable,
        /// The last call was not answered.
        Unreachable,
    }
}

domain! {
    /// Asks to put a text in force.
    pub struct ApplyRequest {
        /// Revision that the operator changed; another one in force is a conflict.
        pub base: Revision,
        /// The text.
        pub text: String,
        /// Why it changes.
        pub reason: CompactString,
        /// Who changes it.
        pub operator: OperatorName,
        /// Text by which a repetition of this call is recognised.
        pub nonce: ApplyNonce,
    }

    /// The text is accepted.
    pub struct Applied {
        /// Revision under which it was accepted.
        pub revision: Revision,
        /// Live daemons that have it in force.
        pub confirmed: Vec<DaemonId>,
        /// Live daemons that did not confirm in time.
        pub missing: Vec<DaemonId>,
    }

    /// The text is refused because others changed the configuration since its base.
    pub struct ApplyConflict {
        /// Revision in force.
        pub current: Revision,
        /// What the others changed since the base.
        pub changes: Vec<Change>,
    }

    /// The key-value service did not answer.
    pub struct ApplyUnavailable {
        /// Revision that this daemon has in force.
        pub known: Revision,
        /// Whether the text may have been accepted all the same.
        pub may_be_accepted: bool,
        /// What was tried.
        pub message: CompactString,
    }

    /// A configuration with its place in the history.
    pub struct StoredConfiguration {
        /// Revision.
        pub revision: Revision,
        /// BLAKE3 digest of the canonical text, in hexadecimal.
        pub digest: CompactString,
        /// Canonical text.
        pub text: String,
        /// Who applied it.
        pub operator: OperatorName,
        /// When it was applied, since the Unix epoch.
        pub at: Timestamp,
        /// Why it was applied.
        pub reason: CompactString,
    }

    /// One revision of the history.
    pub struct HistoryEntry {
        /// Revision.
        pub revision: Revision,
        /// BLAKE3 digest of the canonical text, in hexadecimal.
        pub digest: CompactString,
        /// Who applied it.
        pub operator: OperatorName,
        /// When it was applied, since the Unix epoch.
        pub at: Timestamp,
        /// Why it was applied.
        pub reason: CompactString,
        /// What changed from the revision before.
        pub changes: Vec<Change>,
    }

    /// An entry daemon as another sees it.
    pub struct MemberStatus {
        /// The daemon.
        pub id: DaemonId,
        /// Its zone.
        pub zone: AvailabilityZone,
        /// Whether it takes work.
        pub state: MemberState,
        /// Revision that it has in force, as far as known.
        pub revision: Option<Revision>,
    }

    /// An endpoint as a daemon sees it.
    pub struct EndpointStatus {
        /// The endpoint.
        pub id: EndpointId,
        /// Its zone.
        pub zone: AvailabilityZone,
        /// Whether it takes work.
        pub state: MemberState,
        /// Requests being generated.
        pub running: u32,
        /// Requests waiting.
        pub waiting: u32,
    }

    /// Requests that a daemon holds.
    pub struct RequestCounts {
        /// Requests that it owns.
        pub owned: u64,
        /// Copies that it keeps for other owners.
        pub copies: u64,
    }

    /// The plan of placement, as the daemon that holds the lease follows it.
    pub struct PlacementStatus {
        /// VMs of the plan that are there.
        pub filled: u64,
        /// VMs of the plan that are still to be had.
        pub open: u64,
        /// List price of all.
        pub hourly: HourlyPrice,
    }

    /// What a daemon knows of itself and the others.
    pub struct Status {
        /// The daemon that answers.
        pub daemon: DaemonId,
        /// Its zone.
        pub zone: AvailabilityZone,
        /// Revision that it has in force; `None` if it has none yet.
        pub revision: Option<Revision>,
        /// Entry daemons.
        pub members: Vec<MemberStatus>,
        /// Endpoints.
        pub endpoints: Vec<EndpointStatus>,
        /// Requests.
        pub requests: RequestCounts,
        /// Whether the key-value service answers.
        pub store: StoreState,
        /// Placement, if this daemon holds its lease.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub placement: Option<PlacementStatus>,
    }

    /// Asks that a VM takes no new work and its work ends or moves.
    pub struct DrainRequest {
        /// VM to drain: an entry's or an endpoint's.
        pub vm: VmId,
    }

    /// Why a call was refused.
    pub struct AdminError {
        /// What was tried and why it failed.
        pub message: CompactString,
    }
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
            Self::Silent => "silent",
            Self::Gone => "gone",
        })
    }
}

impl fmt::Display for StoreState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Reachable => "reachable",
            Self::Unreachable => "unreachable",
        })
    }
}
