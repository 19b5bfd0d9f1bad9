//! Acquisition and release of claims on non-idempotent requests.

use crate::claims::{Claim, ClaimAction, ClaimEvent, ClaimIntent, ClaimKey, ClaimOutcome, KeyTime};
use crate::decision::DecisionKind;
use crate::entry::Entry;
use crate::entry::owned::Phase;
use crate::entry::state::CallPurpose;
use crate::error::{ErrorKind, Refusal};
use crate::ids::{DaemonId, RequestId};
use crate::membership::MemberState;
use crate::message::{LocateTarget, RequestRecord};
use crate::request::Request;
use crate::units::{Timestamp, Tokens};

impl Entry {
    /// Acquires the claim on a request.
    ///
    /// If this incarnation dispatched the request before it yielded ownership, it still holds
    /// the claim, which permits no second dispatch unless the service deduplicates by key.
    pub(super) fn claim(&mut self, now: Timestamp, id: &RequestId) {
        let request = self.owned.get(id).map(|owned| &owned.record.request);
        let is_safe_to_retry = request.is_some_and(|request| self.is_safe_to_retry(request));
        if self.dispatched.contains_key(id) && !is_safe_to_retry {
            let detail = "it was dispatched before another entry owned it";
            self.fail(now, id, Refusal::new(ErrorKind::ConnectionLost, detail));
            return;
        }
        self.submit_claim_intent(now, id, ClaimAction::Hold);
        if let Some(owned) = self.owned.get_mut(id) {
            owned.phase = Phase::Claiming;
        }
    }

    /// Releases the claim on a request that was not dispatched.
    pub(super) fn release_claim(&mut self, now: Timestamp, id: &RequestId) {
        self.submit_claim_intent(now, id, ClaimAction::Release);
        if let Some(owned) = self.owned.get_mut(id) {
            owned.has_claim = false;
        }
    }

    fn submit_claim_intent(&mut self, now: Timestamp, id: &RequestId, action: ClaimAction) {
        let Some(owned) = self.owned.get(id) else {
            return;
        };
        let intent = self.claim_intent(now, &owned.record, action);
        self.claims.submit(intent);
    }

    fn claim_intent(
        &self,
        now: Timestamp,
        record: &RequestRecord,
        action: ClaimAction,
    ) -> ClaimIntent {
        let request = &record.request;
        let window = self.key_window(request);
        let deadline = request.deadline.since(record.accepted_at);
        let expiry_without_key = now.after(window).after(deadline);
        let (key, expires) = match &request.key {
            Some(key) => {
                let claim_key = ClaimKey::of_key(&request.customer, &request.service, key);
                // The key was valid before acceptance; its window may have ended since.
                let expires = KeyTime::check(record.accepted_at, key, window)
                    .map_or(expiry_without_key, |time| {
                        time.claim_expiry(window, deadline)
                    });
                (claim_key, expires)
            }
            None => (ClaimKey::of_request(&record.id), expiry_without_key),
        };
        ClaimIntent {
            key,
            request: record.id.clone(),
            fingerprint: request.fingerprint(),
            expires,
            deadline: request.deadline,
            action,
            was_free: false,
        }
    }

    /// Sends the calls that claims need and handles claim outcomes.
    pub(super) fn process_claims(&mut self, now: Timestamp) {
        for request in self.claims.step(now, &mut self.journal) {
            self.call_store(now, CallPurpose::Claims(request.shard), request.call);
        }
        for event in self.claims.take_events() {
            self.on_claim(now, event);
        }
    }

    fn on_claim(&mut self, now: Timestamp, event: ClaimEvent) {
        let id = event.request;
        let is_claiming = self
            .owned
            .get(&id)
            .is_some_and(|owned| owned.phase == Phase::Claiming);
        match event.outcome {
            ClaimOutcome::Released => self.on_claim_released(now, &id),
            _ if !is_claiming => {}
            ClaimOutcome::Granted { is_seized } => self.on_granted(now, &id, is_seized),
            ClaimOutcome::Taken(claim) => self.on_taken(now, &id, &claim),
            ClaimOutcome::OtherBody => {
                let refusal = Refusal::new(ErrorKind::KeyConflict, "claimed with another body");
                self.fail(now, &id, refusal);
            }
            ClaimOutcome::LogFull => {
                let refusal = Refusal::new(ErrorKind::ClaimUnavailable, "the claim log is full");
                self.fail(now, &id, refusal);
            }
            ClaimOutcome::TimedOut { was_free } => {
                if let Some(owned) = self.owned.get_mut(&id) {
                    owned.is_new_key |= was_free;
                    owned.may_have_run &= !was_free;
                }
                let detail = "the key-value service did not answer before the deadline";
                let refusal = Refusal::new(ErrorKind::ClaimUnavailable, detail);
                self.fail(now, &id, refusal);
            }
        }
    }

    fn on_granted(&mut self, now: Timestamp, id: &RequestId, is_seized: bool) {
        let Some(owned) = self.owned.get_mut(id) else {
            return;
        };
        owned.has_claim = true;
        // The lost owner from which a claim is seized may have dispatched the request.
        owned.may_have_run = is_seized;
        owned.is_new_key = !is_seized;
        self.deliver(now, id);
        if self.stopping.is_some() && self.hand_over_undispatched(now, id) {
            return;
        }
        self.resume_or_dispatch(now, id);
    }

    fn on_taken(&mut self, now: Timestamp, id: &RequestId, claim: &Claim) {
        if claim.request != *id {
            self.join_claimed(now, id, claim);
            return;
        }
        if self.is_reachable_peer(&claim.holder) {
            // The former owner is reachable and may dispatch, so it keeps the request.
            self.wait_for_holder(now, id);
            return;
        }
        let Some(owned) = self.owned.get(id) else {
            return;
        };
        if self.is_safe_to_retry(&owned.record.request) {
            self.submit_claim_intent(now, id, ClaimAction::Seize(claim.holder.clone()));
            return;
        }
        let detail = format!("{} held the claim and is gone", claim.holder);
        self.fail(now, id, Refusal::new(ErrorKind::OwnerLost, detail));
    }

    /// Attaches the callers of a duplicate request to the request that holds the claim.
    fn join_claimed(&mut self, now: Timestamp, id: &RequestId, claim: &Claim) {
        let Some(owned) = self.remove_owned(id) else {
            return;
        };
        let decision = self
            .decision(now, DecisionKind::Claim, "joined", "same-key")
            .with("request", id)
            .with("joined", &claim.request)
            .with("holder", &claim.holder);
        self.journal.record(decision);
        if let Some(reservation) = owned.reservation {
            self.limits.settle(now, reservation, Tokens(0));
        }
        let epoch = owned.record.epoch;
        if let Some(standby) = owned.standby {
            let id = id.clone();
            self.send(&standby.daemon, crate::message::Message::Drop { id, epoch });
        }
        let customer = owned.record.request.customer.clone();
        for subscriber in owned.subscribers {
            self.attach_claimed(now, subscriber.caller, claim, customer.clone());
        }
    }

    fn attach_claimed(
        &mut self,
        now: Timestamp,
        caller: crate::message::CallerRef,
        claim: &Claim,
        customer: crate::ids::CustomerId,
    ) {
        let id = claim.request.clone();
        let has_record = self.owned.contains_key(&id) || self.copies.contains_key(&id);
        if has_record || caller.daemon != self.own {
            self.attach_caller(now, caller, id, customer, None);
            return;
        }
        let target = LocateTarget::Request(id);
        self.locate_for_caller(
            now,
            caller.caller,
            target,
            customer,
            None,
            ErrorKind::OwnerLost,
        );
    }

    /// Returns whether a request may be retried even if it may have run: it is idempotent, or
    /// its service deduplicates by key.
    pub(super) fn is_safe_to_retry(&self, request: &Request) -> bool {
        let service = self.system.service(&request.service);
        request.idempotent || service.is_some_and(|service| service.checks_keys)
    }

    pub(super) fn is_reachable_peer(&self, daemon: &DaemonId) -> bool {
        *daemon != self.own
            && matches!(
                self.membership.state(daemon),
                Some(MemberState::Live | MemberState::Leaving)
            )
    }

    fn wait_for_holder(&mut self, now: Timestamp, id: &RequestId) {
        if let Some(owned) = self.owned.get_mut(id) {
            let retry_at = now.after(crate::entry::dispatch::RETRY_PERIOD);
            // The holder's claim permits it to dispatch the request.
            owned.may_have_run = true;
            owned.phase = Phase::Waiting { retry_at };
        }
    }
}
