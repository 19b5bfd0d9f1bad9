//! Placement's calls to the key-value service, held back over their rate.
//!
//! A call that waits longer than [`CALL_TIMEOUT`] is dropped: the core counts it as lost
//! by then and makes another.

use laburnumstall_core::budget::{CallBudget, CallKind, CallRates, DelayedCalls, Purpose};
use laburnumstall_core::decision::Journal;
use laburnumstall_core::placement::{CALL_TIMEOUT, StoreRequest};
use laburnumstall_core::units::Timestamp;

/// A call with when the core made it.
struct MadeCall {
    request: StoreRequest,
    made_at: Timestamp,
}

/// Placement's share of the rate, and the calls that wait for it.
pub(super) struct PlacementCalls {
    budget: CallBudget,
    held: DelayedCalls<MadeCall>,
}

impl PlacementCalls {
    pub(super) fn new(rates: CallRates) -> Self {
        Self {
            budget: CallBudget::new(rates),
            held: DelayedCalls::default(),
        }
    }

    /// Returns which of the held and the new calls can be made now.
    pub(super) fn admit(
        &mut self,
        now: Timestamp,
        requests: Vec<StoreRequest>,
        journal: &mut Journal,
    ) -> Vec<StoreRequest> {
        let held = self.held.take_due(now).into_iter().map(|held| held.call);
        let is_awaited = |made: &MadeCall| now.since(made.made_at) < CALL_TIMEOUT;
        let new = requests.into_iter().map(|request| MadeCall {
            request,
            made_at: now,
        });
        let calls: Vec<MadeCall> = held.filter(is_awaited).chain(new).collect();
        let admitted = calls.into_iter().filter_map(|made| {
            let kind = CallKind::of(&made.request.call, Purpose::Placement);
            self.held.admit(now, &mut self.budget, kind, made, journal)
        });
        admitted.map(|made| made.request).collect()
    }
}
