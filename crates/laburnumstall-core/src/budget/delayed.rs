//! Calls that wait until the budget admits them.

use crate::budget::{Admission, CallBudget, CallKind};
use crate::decision::Journal;
use crate::units::Timestamp;

/// A call that waits.
#[derive(Debug, Clone)]
pub struct DelayedCall<T> {
    /// The call.
    pub call: T,
    /// Its kind.
    pub kind: CallKind,
    until: Timestamp,
}

/// Calls over the rate, in the order in which they were held back.
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
    /// Returns a call that can be made now; holds it back and writes that down otherwise.
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
        journal.record(kind.delay(now, wait));
        let until = now.after(wait);
        self.calls.push(DelayedCall { call, kind, until });
        None
    }

    /// Takes the calls whose time has come; the budget has to admit them anew.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<DelayedCall<T>> {
        let calls = std::mem::take(&mut self.calls).into_iter();
        let (due, later) = calls.partition(|held| held.until <= now);
        self.calls = later;
        due
    }
}
