//! Placement's calls to the key-value service, held back over their rate.
//!
//! A call that waits longer than [`CALL_TIMEOUT`] is dropped: the core counts it as lost
//! by then and makes another.

use laburnumstall_core::budget::{Admission, CallBudget, CallKind, CallRates, Purpose};
use laburnumstall_core::decision::Journal;
use laburnumstall_core::placement::{CALL_TIMEOUT, StoreRequest};
use laburnumstall_core::units::Timestamp;

/// A call that waits for the budget.
struct HeldCall {
    request: StoreRequest,
    made_at: Timestamp,
    until: Timestamp,
}

/// Calls that wait, in the order in which they were made.
pub(super) struct HeldCalls {
    budget: CallBudget,
    calls: Vec<HeldCall>,
}

impl HeldCalls {
    pub(super) fn new(rates: CallRates) -> Self {
        Self {
            budget: CallBudget::new(rates),
            calls: Vec::new(),
        }
    }

    /// Adds a call.
    pub(super) fn add(&mut self, now: Timestamp, request: StoreRequest) {
        self.calls.push(HeldCall {
            request,
            made_at: now,
            until: now,
        });
    }

    /// Takes the calls that can be made now.
    pub(super) fn take_due(&mut self, now: Timestamp, journal: &mut Journal) -> Vec<StoreRequest> {
        let mut due = Vec::new();
        for mut held in std::mem::take(&mut self.calls) {
            if now.since(held.made_at) >= CALL_TIMEOUT {
                continue;
            }
            if now < held.until {
                self.calls.push(held);
                continue;
            }
            let kind = CallKind::of(&held.request.call, Purpose::Placement);
            match self.budget.admit(now, kind) {
                Admission::Now => due.push(held.request),
                Admission::Wait(wait) => {
                    journal.record(kind.delay(now, wait));
                    held.until = now.after(wait);
                    self.calls.push(held);
                }
            }
        }
        due
    }
}
