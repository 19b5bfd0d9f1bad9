//! Calls to the key-value service: numbered, and held back over the budget's rate.
//!
//! A call over the rate waits here, so that the part that made it sees a slow service.
//! What matters most goes first: claims, then membership, then the configuration.

use crate::budget::{CallBudget, CallKind, CallRates, Purpose};
use crate::entry::Entry;
use crate::entry::action::Action;
use crate::entry::state::CallPurpose;
use crate::ids::CallId;
use crate::store::StoreCall;
use crate::units::Timestamp;

/// A call that waits for the budget, with its number.
#[derive(Debug)]
pub(super) struct NumberedCall {
    id: CallId,
    call: StoreCall,
}

impl CallPurpose {
    fn rank(&self) -> Purpose {
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
    /// Keeps the calls to the key-value service under these rates from now on.
    #[must_use]
    pub fn with_call_rates(mut self, rates: CallRates) -> Self {
        self.budget = Some(CallBudget::new(rates));
        self
    }

    pub(super) fn call_store(&mut self, now: Timestamp, purpose: CallPurpose, call: StoreCall) {
        self.next_store_call += 1;
        let id = CallId(self.next_store_call);
        let kind = CallKind::of(&call, purpose.rank());
        self.store_calls.insert(id, purpose);
        self.make_or_hold(now, kind, NumberedCall { id, call });
    }

    fn make_or_hold(&mut self, now: Timestamp, kind: CallKind, call: NumberedCall) {
        let journal = &mut self.journal;
        let admitted = match &mut self.budget {
            Some(budget) => self.held_calls.admit(now, budget, kind, call, journal),
            None => Some(call),
        };
        if let Some(NumberedCall { id, call }) = admitted {
            self.actions.push(Action::Store { id, call });
        }
    }

    /// Makes the held calls whose time has come, the most important first.
    pub(super) fn send_due_calls(&mut self, now: Timestamp) {
        let mut due = self.held_calls.take_due(now);
        due.sort_by_key(|held| (std::cmp::Reverse(held.kind.purpose), held.call.id));
        for held in due {
            self.make_or_hold(now, held.kind, held.call);
        }
    }
}
