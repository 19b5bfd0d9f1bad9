//! The plan in the key-value service: read on taking over, swapped in before it is followed.
//!
//! A plan is followed only once the swap is known to have taken effect, so the next
//! holder finds the tokens of every request that may have been made.

use std::sync::Arc;

use crate::ids::{CallId, ParseIdError, Region};
use crate::placement::lease::CALL_TIMEOUT;
use crate::placement::plan::Plan;
use crate::placement::records::StoreRequest;
use crate::store::{StoreCall, StoreKey, StoreOutcome, StoreReply, StoreVersion, StoredValue};
use crate::units::Timestamp;

/// First number of the keeper's calls, apart from those of the lease.
pub(super) const FIRST_CALL: u64 = 1 << 32;

#[derive(Debug, Clone)]
struct Pending {
    id: CallId,
    sent: Timestamp,
}

/// The plan in force, as the key-value service holds it.
#[derive(Debug, Clone)]
pub(super) struct PlanStore {
    key: StoreKey,
    is_loaded: bool,
    version: Option<StoreVersion>,
    plan: Option<Arc<Plan>>,
    proposed: Option<Arc<Plan>>,
    pending: Option<Pending>,
    due: Timestamp,
    next_call: u64,
}

impl PlanStore {
    pub(super) fn new(region: &Region) -> Result<Self, ParseIdError> {
        Ok(Self {
            key: format!("placement/{region}/plan").parse()?,
            is_loaded: false,
            version: None,
            plan: None,
            proposed: None,
            pending: None,
            due: Timestamp::ZERO,
            next_call: FIRST_CALL,
        })
    }

    /// Forgets the plan, because the lease was lost.
    pub(super) fn reset(&mut self) {
        self.is_loaded = false;
        self.version = None;
        self.plan = None;
        self.proposed = None;
        self.pending = None;
        self.due = Timestamp::ZERO;
    }

    /// Tells whether the plan is known and no newer one is on its way in.
    pub(super) fn is_settled(&self) -> bool {
        self.is_loaded && self.proposed.is_none()
    }

    /// Returns the plan in force.
    pub(super) fn plan(&self) -> Option<&Arc<Plan>> {
        self.plan.as_ref()
    }

    /// Begins to swap a newer plan in.
    pub(super) fn propose(&mut self, plan: Plan) {
        self.proposed = Some(Arc::new(plan));
    }

    pub(super) fn tick(&mut self, now: Timestamp) -> Option<StoreRequest> {
        if let Some(pending) = &self.pending {
            if now.since(pending.sent) < CALL_TIMEOUT {
                return None;
            }
            self.pending = None;
            self.read_again(now);
        }
        if now < self.due {
            return None;
        }
        let call = match (self.is_loaded, &self.proposed) {
            (false, _) => StoreCall::Get {
                key: self.key.clone(),
            },
            (true, Some(plan)) => StoreCall::Swap {
                key: self.key.clone(),
                expected: self.version,
                value: serde_json::to_vec(&**plan).ok(),
                lease: None,
            },
            (true, None) => return None,
        };
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.pending = Some(Pending { id, sent: now });
        Some(StoreRequest { id, call })
    }

    pub(super) fn on_store(&mut self, now: Timestamp, id: CallId, outcome: StoreOutcome) {
        if self.pending.as_ref().is_none_or(|pending| pending.id != id) {
            return;
        }
        self.pending = None;
        match outcome {
            Ok(StoreReply::Value(current)) | Ok(StoreReply::Conflict { current }) => {
                self.adopt(current);
            }
            Ok(StoreReply::Swapped { version }) => {
                self.plan = self.proposed.take();
                self.version = Some(version);
            }
            _ => self.read_again(now),
        }
    }

    /// Reads the key back: the swap may have taken effect.
    fn read_again(&mut self, now: Timestamp) {
        self.is_loaded = false;
        self.due = now.after(CALL_TIMEOUT / 2);
    }

    /// Takes what the service holds as the plan in force; a proposal starts anew from it.
    fn adopt(&mut self, current: Option<StoredValue>) {
        self.version = current.as_ref().map(|stored| stored.version);
        let value = current.and_then(|stored| stored.value);
        self.plan = value
            .and_then(|value| serde_json::from_slice(&value).ok())
            .map(Arc::new);
        self.proposed = None;
        self.is_loaded = true;
    }
}
