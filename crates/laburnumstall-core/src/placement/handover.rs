//! Prioritizes the handover work of a daemon whose VM is reclaimed.
//!
//! Claims come first: an unreleased claim leaves the outcome of a request unknown forever, and
//! a release costs a few bytes. Requests without a standby, which are lost with this daemon,
//! come next, the smallest first so that most are saved. KV caches only save recomputation:
//! they come last, ordered by saved tokens per byte, while time remains (greedy knapsack,
//! Dantzig 1957).

use std::cmp::Reverse;
use std::time::Duration;

use crate::decision::{Decision, DecisionKind, Journal};
use crate::domain;
use crate::ids::RequestId;
use crate::units::{Bytes, Timestamp, Tokens};

/// Time reserved for the shutdown before the deadline.
pub const SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);

/// Size of the release of one claim.
pub const CLAIM_BYTES: Bytes = Bytes(256);

domain! {
    /// One unit of work to do before the deadline of a reclaim notice.
    pub enum HandoverWork {
        /// Releases the claim of a request that was not dispatched.
        ReleaseClaim {
            /// The request.
            request: RequestId,
        },
        /// Copies a request that no other daemon holds.
        CopyRequest {
            /// The request.
            request: RequestId,
            /// Size of the body and of the answer so far.
            bytes: Bytes,
            /// Tokens computed for the request so far.
            invested: Tokens,
        },
        /// Moves the KV cache of an in-flight request to another endpoint.
        ExportCache {
            /// The request.
            request: RequestId,
            /// Size of the cache.
            bytes: Bytes,
            /// Tokens that must be recomputed without the cache.
            recompute: Tokens,
        },
    }

    /// The prioritized work, and the work that does not fit before the deadline.
    pub struct HandoverPlan {
        /// Work to do, in order.
        pub work: Vec<HandoverWork>,
        /// Work that does not fit before the deadline.
        pub left: Vec<HandoverWork>,
    }
}

impl HandoverWork {
    /// Returns the number of bytes to move.
    pub fn bytes(&self) -> Bytes {
        match self {
            Self::ReleaseClaim { .. } => CLAIM_BYTES,
            Self::CopyRequest { bytes, .. } | Self::ExportCache { bytes, .. } => *bytes,
        }
    }

    /// Returns the request that the work belongs to.
    pub fn request(&self) -> &RequestId {
        match self {
            Self::ReleaseClaim { request }
            | Self::CopyRequest { request, .. }
            | Self::ExportCache { request, .. } => request,
        }
    }

    /// Returns the sort key; the lowest comes first.
    fn rank(&self) -> (u8, u64, Reverse<u64>, &RequestId) {
        match self {
            Self::ReleaseClaim { request } => (0, 0, Reverse(0), request),
            Self::CopyRequest {
                request,
                bytes,
                invested,
            } => (1, bytes.get(), Reverse(invested.get()), request),
            Self::ExportCache {
                request,
                bytes,
                recompute,
            } => {
                let saved = u128::from(recompute.get()) << 32;
                let density = saved / u128::from(bytes.get().max(1));
                let density = density.min(u128::from(u64::MAX)) as u64;
                (2, 0, Reverse(density), request)
            }
        }
    }
}

/// Plans the work before `deadline` on a link with a rate of `bytes_per_second`.
///
/// Claims and requests are never left out: they are attempted while the process runs.
pub fn plan_handover(
    now: Timestamp,
    deadline: Timestamp,
    bytes_per_second: Bytes,
    mut work: Vec<HandoverWork>,
    journal: &mut Journal,
) -> HandoverPlan {
    work.sort_by(|a, b| a.rank().cmp(&b.rank()));
    let time = deadline.since(now).saturating_sub(SHUTDOWN_MARGIN);
    let byte_budget = u128::from(bytes_per_second.get()) * time.as_micros() / 1_000_000;
    let mut used_bytes = 0_u128;
    let mut plan = HandoverPlan {
        work: Vec::new(),
        left: Vec::new(),
    };
    for item in work {
        let total = used_bytes + u128::from(item.bytes().get());
        let is_optional = matches!(item, HandoverWork::ExportCache { .. });
        if is_optional && total > byte_budget {
            plan.left.push(item);
        } else {
            used_bytes = total;
            plan.work.push(item);
        }
    }
    let decision = Decision::new(now, DecisionKind::Stop, "hand-over", "notice")
        .with("time_ms", time.as_millis())
        .with("room_bytes", byte_budget)
        .with("used_bytes", used_bytes)
        .with("pieces", plan.work.len())
        .with("left", plan.left.len());
    journal.record(decision);
    plan
}
