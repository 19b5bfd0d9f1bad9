//! What a daemon whose VM is taken does first: the work ordered by what is lost without it.
//!
//! A claim that is not released leaves the outcome of a request unknown for good, and
//! costs a few bytes: first. A request without a standby is lost with this daemon: the
//! smallest first, so that most are saved. KV cache only saves computing: the most tokens
//! per byte first, as long as the time lasts (greedy knapsack, Dantzig 1957).

use std::cmp::Reverse;
use std::time::Duration;

use crate::decision::{Decision, DecisionKind, Journal};
use crate::domain;
use crate::ids::RequestId;
use crate::units::{Bytes, Timestamp, Tokens};

/// Time before the deadline that is left for closing.
pub const SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);

/// Bytes that the release of one claim takes.
pub const CLAIM_BYTES: Bytes = Bytes(256);

domain! {
    /// One piece of work before a notice ends.
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
            /// Size of body and answer so far.
            bytes: Bytes,
            /// Tokens computed for it so far.
            invested: Tokens,
        },
        /// Moves the KV cache of a running request to another endpoint.
        ExportCache {
            /// The request.
            request: RequestId,
            /// Size of the cache.
            bytes: Bytes,
            /// Tokens that are computed again without it.
            recompute: Tokens,
        },
    }

    /// The work in order, and what the time does not suffice for.
    pub struct HandoverPlan {
        /// What to do, first things first.
        pub work: Vec<HandoverWork>,
        /// What to leave.
        pub left: Vec<HandoverWork>,
    }
}

impl HandoverWork {
    /// Returns the bytes to move.
    pub fn bytes(&self) -> Bytes {
        match self {
            Self::ReleaseClaim { .. } => CLAIM_BYTES,
            Self::CopyRequest { bytes, .. } | Self::ExportCache { bytes, .. } => *bytes,
        }
    }

    /// Returns the request that it is about.
    pub fn request(&self) -> &RequestId {
        match self {
            Self::ReleaseClaim { request }
            | Self::CopyRequest { request, .. }
            | Self::ExportCache { request, .. } => request,
        }
    }

    /// Returns the place in the order: lower goes first.
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

/// Orders the work before `deadline` for a link that moves `bytes_per_second`.
///
/// Claims and requests are never left out: they are tried as long as the process lives.
pub fn plan_handover(
    now: Timestamp,
    deadline: Timestamp,
    bytes_per_second: Bytes,
    mut work: Vec<HandoverWork>,
    journal: &mut Journal,
) -> HandoverPlan {
    work.sort_by(|a, b| a.rank().cmp(&b.rank()));
    let time = deadline.since(now).saturating_sub(SHUTDOWN_MARGIN);
    let room = u128::from(bytes_per_second.get()) * time.as_micros() / 1_000_000;
    let mut used = 0_u128;
    let mut plan = HandoverPlan {
        work: Vec::new(),
        left: Vec::new(),
    };
    for piece in work {
        let after = used + u128::from(piece.bytes().get());
        let is_optional = matches!(piece, HandoverWork::ExportCache { .. });
        if is_optional && after > room {
            plan.left.push(piece);
        } else {
            used = after;
            plan.work.push(piece);
        }
    }
    let decision = Decision::new(now, DecisionKind::Stop, "hand-over", "notice")
        .with("time_ms", time.as_millis())
        .with("room_bytes", room)
        .with("used_bytes", used)
        .with("pieces", plan.work.len())
        .with("left", plan.left.len());
    journal.record(decision);
    plan
}
