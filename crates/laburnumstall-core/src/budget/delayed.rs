//! Calls that are delayed until the budget admits them.

use crate::budget::{Admission, CallBudget, CallKind};
use crate::decision::Journal;
use crate::units::Timestamp;

/// A delayed call.
#[derive(Debug, Clone)]
pub struct DelayedCall<T> {
    /// The call.
    pub call: T,
    /// Kind of the call.
    pub kind: CallKind,
    retry_at: Timestamp,
}

/// Calls over the rate limit, in the order in which they were delayed.
#[derive(Debug, Clone)]
pub struct DelayedCalls<T> {
    calls: Vec<DelayedCall<T>>,
}

impl<T> Default for DelayedCalls<T> {
    fn default() -> Self {
        Self { calls: Vec::new() }
    }
}

impl<T> DelayedCalls<T> {
    /// Returns the call if the budget admits it; otherwise delays it and records the decision.
    pub fn admit(
        &mut self,
        now: Timestamp,
        budget: &mut CallBudget,
        kind: CallKind,
        call: T,
        journal: &mut Journal,
    ) -> Option<T> {
        let Admission::Wait(wait) = budget.admit(now, kind) else {
            return Some(call);
        };
        journal.record(kind.delay_decision(now, wait));
        let retry_at = now.after(wait);
        self.calls.push(DelayedCall {
            call,
            kind,
            retry_at,
        });
        None
    }

    /// Removes and returns the calls whose delay is over; the budget must admit them again.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<DelayedCall<T>> {
        let calls = std::mem::take(&mut self.calls).into_iter();
        let (due, later) = calls.partition(|delayed| delayed.retry_at <= now);
        self.calls = later;
        due
    }
}
