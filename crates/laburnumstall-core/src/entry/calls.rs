//! Calls to the key-value service: numbered, and held back over the budget's rate.
//!
//! A call over the rate waits here, so that the part that made it sees a slow service.
//! What matters most goes first: claims, then membership, then the configuration.

use crate::budget::{Admission, CallBudget, CallKind, CallRates, Purpose};
use crate::entry::Entry;
use crate::entry::action::Action;
use crate::entry::state::CallPurpose;
use crate::ids::CallId;
use crate::store::StoreCall;
use crate::units::Timestamp;

/// A call that waits for the budget.
#[derive(Debug)]
pub(super) struct HeldCall {
    id: CallId,
    call: StoreCall,
    kind: CallKind,
    until: Timestamp,
}

impl CallPurpose {
    fn rank(&self) -> Purpose {
        match self {
            Self::Claims(_) => Purpose::Claims,
            Self::Registry | Self::Members | Self::Farewell => Purpose::Membership,
            Self::ConfigurationRead
            | Self::ConfigurationWatch
            | Self::ConfigurationWrite
            | Self::ConfigurationFetch
            | Self::ConfigurationOffer => Purpose::Configuration,
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
        self.next_call += 1;
        let id = CallId(self.next_call);
        let kind = CallKind::of(&call, purpose.rank());
        self.calls.insert(id, purpose);
        self.make_or_hold(now, id, call, kind);
    }

    fn make_or_hold(&mut self, now: Timestamp, id: CallId, call: StoreCall, kind: CallKind) {
        let admission = match &mut self.budget {
            Some(budget) => budget.admit(now, kind),
            None => Admission::Now,
        };
        match admission {
            Admission::Now => self.actions.push(Action::Store { id, call }),
            Admission::Wait(wait) => {
                self.journal.record(kind.delay(now, wait));
                self.held_calls.push(HeldCall {
                    id,
                    call,
                    kind,
                    until: now.after(wait),
                });
            }
        }
    }

    /// Makes the held calls whose time has come, the most important first.
    pub(super) fn make_held_calls(&mut self, now: Timestamp) {
        let mut due = Vec::new();
        let mut later = Vec::new();
        for held in std::mem::take(&mut self.held_calls) {
            if held.until <= now {
                due.push(held);
            } else {
                later.push(held);
            }
        }
        self.held_calls = later;
        due.sort_by_key(|held| (std::cmp::Reverse(held.kind.purpose), held.id));
        for held in due {
            self.make_or_hold(now, held.id, held.call, held.kind);
        }
    }
}
