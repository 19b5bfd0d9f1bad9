//! Rate limiting of calls to the key-value service.
//!
//! A call above the budgeted rate is delayed, which looks like a slow service to the code that
//! made it. Delayed calls are sent by priority: claims, then membership, then configuration.

use crate::budget::{CallBudget, CallKind, CallRates, Purpose};
use crate::entry::Entry;
use crate::entry::action::Action;
use crate::entry::state::CallPurpose;
use crate::ids::CallId;
use crate::store::StoreCall;
use crate::units::Timestamp;

/// A call with the identifier that its outcome carries.
#[derive(Debug)]
pub(super) struct TaggedCall {
    id: CallId,
    call: StoreCall,
}

impl CallPurpose {
    fn budget_purpose(&self) -> Purpose {
        match self {
            Self::Claims(_) => Purpose::Claims,
            Self::Registry | Self::Members | Self::Deregister => Purpose::Membership,
            Self::ConfigurationHeadRead
            | Self::ConfigurationHeadWatch
            | Self::ConfigurationHeadSwap
            | Self::ConfigurationRecordRead
            | Self::ConfigurationRecordWrite => Purpose::Configuration,
        }
    }
}

impl Entry {
    /// Limits calls to the key-value service to these rates.
    #[must_use]
    pub fn with_call_rates(mut self, rates: CallRates) -> Self {
        self.budget = Some(CallBudget::new(rates));
        self
    }

    pub(super) fn call_store(&mut self, now: Timestamp, purpose: CallPurpose, call: StoreCall) {
        self.next_store_call += 1;
        let id = CallId(self.next_store_call);
        let kind = CallKind::of(&call, purpose.budget_purpose());
        self.store_calls.insert(id, purpose);
        self.send_or_delay(now, kind, TaggedCall { id, call });
    }

    fn send_or_delay(&mut self, now: Timestamp, kind: CallKind, call: TaggedCall) {
        let journal = &mut self.journal;
        let admitted = match &mut self.budget {
            Some(budget) => self.delayed_calls.admit(now, budget, kind, call, journal),
            None => Some(call),
        };
        if let Some(TaggedCall { id, call }) = admitted {
            self.actions.push(Action::Store { id, call });
        }
    }

    /// Sends the delayed calls that are due, highest priority first.
    pub(super) fn send_due_calls(&mut self, now: Timestamp) {
        let mut due = self.delayed_calls.take_due(now);
        due.sort_by_key(|delayed| (std::cmp::Reverse(delayed.kind.purpose), delayed.call.id));
        for delayed in due {
            self.send_or_delay(now, delayed.kind, delayed.call);
        }
    }
}
