//! Refusal of a request that was never accepted, once no copy of it is left.
//!
//! A standby that still held a copy would run the request if this daemon died, which would
//! make the answer "not run" false.

use std::time::Duration;

use crate::entry::Entry;
use crate::entry::accept::qualify_not_run;
use crate::entry::owned::Phase;
use crate::error::{ErrorKind, Refusal};
use crate::ids::{DaemonId, Epoch, RequestId};
use crate::units::{Timestamp, Tokens};

/// Time that the holders of copies have to drop them.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(400);

impl Entry {
    /// Asks all holders of copies to drop them before the request is refused.
    pub(super) fn withdraw(&mut self, now: Timestamp, id: &RequestId, refusal: Refusal) {
        let Some(owned) = self.owned.get_mut(id) else {
            return;
        };
        let mut holders = match &owned.phase {
            Phase::Accepting { tried, .. } => tried.clone(),
            _ => Vec::new(),
        };
        holders.extend(owned.standby.take().map(|standby| standby.daemon));
        holders.sort();
        holders.dedup();
        owned.phase = Phase::Withdrawing {
            refusal,
            holders: holders.clone(),
            until: now.after(WITHDRAW_TIMEOUT),
        };
        for holder in &holders {
            self.send_drop(id, holder);
        }
        self.finish_withdrawal(now, id);
    }

    pub(super) fn on_drop_ack(
        &mut self,
        now: Timestamp,
        from: &DaemonId,
        id: &RequestId,
        epoch: Epoch,
    ) {
        let Some(owned) = self.owned.get_mut(id) else {
            return;
        };
        if owned.record.epoch != epoch {
            return;
        }
        if let Phase::Withdrawing { holders, .. } = &mut owned.phase {
            holders.retain(|holder| holder != from);
            self.finish_withdrawal(now, id);
        }
    }

    /// Refuses the request once no copy is left, or once the timeout has passed.
    pub(super) fn finish_withdrawal(&mut self, now: Timestamp, id: &RequestId) {
        let Some(refusal) = self.withdrawal_answer(now, id) else {
            return;
        };
        let Some(owned) = self.remove_owned(id) else {
            return;
        };
        if let Some(reservation) = owned.reservation {
            self.limits.settle(now, reservation, Tokens(0));
        }
        let request = owned.record.request;
        for subscriber in owned.subscribers {
            self.refuse(now, &subscriber.caller, &request, refusal.clone());
        }
    }

    fn withdrawal_answer(&self, now: Timestamp, id: &RequestId) -> Option<Refusal> {
        let owned = self.owned.get(id)?;
        let Phase::Withdrawing {
            refusal,
            holders,
            until,
        } = &owned.phase
        else {
            return None;
        };
        if holders.is_empty() {
            let request = &owned.record.request;
            return Some(qualify_not_run(refusal.clone(), request, owned.is_new_key));
        }
        let is_timed_out = *until <= now;
        is_timed_out.then(|| Refusal::new(ErrorKind::Unresolved, "a copy could not be withdrawn"))
    }
}
