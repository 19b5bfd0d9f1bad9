//! Stores the plan in the key-value store, by compare-and-swap.
//!
//! A new holder reads the current plan first. A plan takes effect only once its swap is
//! known to have succeeded, so the next holder finds the tokens of every request that may
//! have been sent.

use std::sync::Arc;

use crate::ids::{CallId, ParseIdError, Region};
use crate::placement::lease::CALL_TIMEOUT;
use crate::placement::plan::Plan;
use crate::placement::records::StoreRequest;
use crate::store::{StoreCall, StoreKey, StoreOutcome, StoreReply, StoreVersion, StoredValue};
use crate::units::Timestamp;

/// First call ID of the plan store, above the IDs of the lease's calls.
pub(super) const FIRST_CALL_ID: u64 = 1 << 32;

#[derive(Debug, Clone)]
struct PendingCall {
    id: CallId,
    sent: Timestamp,
}

/// The plan in force, as stored in the key-value store.
#[derive(Debug, Clone)]
pub(super) struct PlanStore {
    key: StoreKey,
    is_loaded: bool,
    version: Option<StoreVersion>,
    plan: Option<Arc<Plan>>,
    proposed: Option<Arc<Plan>>,
    pending: Option<PendingCall>,
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
            next_call: FIRST_CALL_ID,
        })
    }

    /// Discards the plan after the lease was acquired or lost.
    pub(super) fn reset(&mut self) {
        self.is_loaded = false;
        self.version = None;
        self.plan = None;
        self.proposed = None;
        self.pending = None;
        self.due = Timestamp::ZERO;
    }

    /// Returns whether the plan is loaded and no newer one is being stored.
    pub(super) fn is_settled(&self) -> bool {
        self.is_loaded && self.proposed.is_none()
    }

    /// Returns the plan in force.
    pub(super) fn plan(&self) -> Option<&Arc<Plan>> {
        self.plan.as_ref()
    }

    /// Proposes a newer plan, to be stored by the next call.
    pub(super) fn propose(&mut self, plan: Plan) {
        self.proposed = Some(Arc::new(plan));
    }

    pub(super) fn tick(&mut self, now: Timestamp) -> Option<StoreRequest> {
        if let Some(pending) = &self.pending {
            if now.since(pending.sent) < CALL_TIMEOUT {
                return None;
            }
            self.pending = None;
            self.schedule_reload(now);
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
        self.pending = Some(PendingCall { id, sent: now });
        Some(StoreRequest { id, call })
    }

    pub(super) fn on_store(&mut self, now: Timestamp, id: CallId, outcome: StoreOutcome) {
        if self.pending.as_ref().is_none_or(|pending| pending.id != id) {
            return;
        }
        self.pending = None;
        match outcome {
            Ok(StoreReply::Value(current)) | Ok(StoreReply::Conflict { current }) => {
                self.set_current(current);
            }
            Ok(StoreReply::Swapped { version }) => {
                self.plan = self.proposed.take();
                self.version = Some(version);
            }
            _ => self.schedule_reload(now),
        }
    }

    /// Schedules a reload of the key, because a swap may have taken effect.
    fn schedule_reload(&mut self, now: Timestamp) {
        self.is_loaded = false;
        self.due = now.after(CALL_TIMEOUT / 2);
    }

    /// Makes the stored plan the plan in force and drops the proposal, which was based on
    /// an older one.
    fn set_current(&mut self, current: Option<StoredValue>) {
        self.version = current.as_ref().map(|stored| stored.version);
        let value = current.and_then(|stored| stored.value);
        self.plan = value
            .and_then(|value| serde_json::from_slice(&value).ok())
            .map(Arc::new);
        self.proposed = None;
        self.is_loaded = true;
    }
}
