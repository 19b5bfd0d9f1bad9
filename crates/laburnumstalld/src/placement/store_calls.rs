//! Rate limit of placement's calls to the key-value service.
//!
//! Calls over the rate are delayed. A call delayed for longer than [`CALL_TIMEOUT`] is dropped:
//! by then the core treats it as lost and makes another.

use laburnumstall_core::budget::{CallBudget, CallKind, CallRates, DelayedCalls, Purpose};
use laburnumstall_core::decision::Journal;
use laburnumstall_core::placement::{CALL_TIMEOUT, StoreRequest};
use laburnumstall_core::units::Timestamp;

/// A call and the time at which the core made it.
struct QueuedCall {
    request: StoreRequest,
    queued_at: Timestamp,
}

/// Placement's share of the call rate, and the calls delayed by it.
pub(super) struct PlacementCalls {
    budget: CallBudget,
    delayed: DelayedCalls<QueuedCall>,
}

impl PlacementCalls {
    pub(super) fn new(rates: CallRates) -> Self {
        Self {
            budget: CallBudget::new(rates),
            delayed: DelayedCalls::default(),
        }
    }

    /// Returns the delayed and new calls that the rate allows now.
    pub(super) fn admit(
        &mut self,
        now: Timestamp,
        requests: Vec<StoreRequest>,
        journal: &mut Journal,
    ) -> Vec<StoreRequest> {
        let due = self
            .delayed
            .take_due(now)
            .into_iter()
            .map(|delayed| delayed.call);
        let is_pending = |queued: &QueuedCall| now.since(queued.queued_at) < CALL_TIMEOUT;
        let new = requests.into_iter().map(|request| QueuedCall {
            request,
            queued_at: now,
        });
        let calls: Vec<QueuedCall> = due.filter(is_pending).chain(new).collect();
        let admitted = calls.into_iter().filter_map(|queued| {
            let kind = CallKind::of(&queued.request.call, Purpose::Placement);
            self.delayed
                .admit(now, &mut self.budget, kind, queued, journal)
        });
        admitted.map(|queued| queued.request).collect()
    }
}
