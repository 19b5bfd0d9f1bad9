//! Acceptance of caller requests.
//!
//! A request is validated, joined to an existing one with the same idempotency key, checked
//! against its customer's limits, and copied to a standby in another zone. It is accepted when
//! the standby acknowledges the copy; until then nothing has run and the request can be
//! refused.

use std::sync::Arc;
use std::time::Duration;

use crate::claims::{KeyTime, KeyTimeError};
use crate::decision::DecisionKind;
use crate::entry::Entry;
use crate::entry::owned::{OwnedRequest, Phase, Standby, Subscriber};
use crate::entry::state::RequestKey;
use crate::error::{ErrorKind, Execution, Refusal};
use crate::hash::{digest64, lookup_hash_of_key};
use crate::ids::{CallerId, DaemonId, Epoch, LookupHash, RequestId};
use crate::limits::Reservation;
use crate::message::{CallerRef, Message, Position, RequestRecord};
use crate::quarantine::Verdict;
use crate::request::Request;
use crate::units::{Timestamp, Tokens};

/// Time that a standby has to acknowledge a copy before the next standby is tried.
const COPY_TIMEOUT: Duration = Duration::from_millis(400);

/// Standbys tried before a request is refused.
const MAX_STANDBYS_TRIED: usize = 3;

impl Entry {
    pub(super) fn on_arrived(&mut self, now: Timestamp, caller: CallerId, request: Arc<Request>) {
        self.add_local_caller(caller, request.customer.clone(), None);
        if let Some(peer) = self.forward_target(&request) {
            self.forward(now, caller, request, &peer, "leaving");
            return;
        }
        let from = self.local_ref(caller);
        self.handle_request(now, from, request);
    }

    /// Handles a request from a local caller, or one that a peer forwarded.
    pub(super) fn handle_request(
        &mut self,
        now: Timestamp,
        from: CallerRef,
        request: Arc<Request>,
    ) {
        if let Err(refusal) = self.check_and_join(now, &from, &request) {
            self.refuse_or_offer(now, &from, &request, refusal);
        }
    }

    /// Offers a refused request of a local caller to a peer, or sends the refusal.
    pub(super) fn refuse_or_offer(
        &mut self,
        now: Timestamp,
        from: &CallerRef,
        request: &Arc<Request>,
        refusal: Refusal,
    ) {
        let own = self.own.clone();
        let is_local = from.daemon == own;
        if !is_local || !self.offer_next(now, from.caller, request, &refusal, &own) {
            self.refuse(now, from, request, refusal);
        }
    }

    fn check_and_join(
        &mut self,
        now: Timestamp,
        from: &CallerRef,
        request: &Arc<Request>,
    ) -> Result<(), Refusal> {
        self.check_service_and_customer(request)?;
        self.check_key(now, request)?;
        if self.join_existing(now, from, request)? {
            return Ok(());
        }
        if request.key.is_some() {
            self.locate_key(now, from.clone(), request.clone());
            return Ok(());
        }
        self.admit(now, from.clone(), request.clone(), true)
    }

    fn check_service_and_customer(&self, request: &Request) -> Result<(), Refusal> {
        if self.adoption.current().is_none() {
            let refusal = Refusal::new(ErrorKind::NotReady, "no configuration yet");
            return Err(qualify_not_run(refusal, request, false));
        }
        if self.system.service(&request.service).is_none() {
            let detail = format!("service `{}`", request.service);
            return Err(Refusal::new(ErrorKind::UnknownService, detail));
        }
        if self.system.customer(&request.customer).is_none() {
            let detail = "the customer is no longer in the configuration";
            return Err(Refusal::new(ErrorKind::Unauthenticated, detail));
        }
        Ok(())
    }

    fn check_key(&self, now: Timestamp, request: &Request) -> Result<(), Refusal> {
        if request.idempotent {
            return Ok(());
        }
        let Some(key) = &request.key else {
            let detail = "send a UUID of version 7 as Idempotency-Key";
            return Err(Refusal::new(ErrorKind::KeyMissing, detail));
        };
        let window = self.key_window(request);
        match KeyTime::check(now, key, window) {
            Ok(_) => Ok(()),
            Err(KeyTimeError::Expired) => {
                let detail = format!("keys of this service are valid for {} s", window.as_secs());
                Err(Refusal::new(ErrorKind::KeyExpired, detail))
            }
            Err(KeyTimeError::InFuture) => {
                let detail = "the key's time is in the future";
                Err(Refusal::new(ErrorKind::Malformed, detail))
            }
            Err(KeyTimeError::NoTime) => {
                let detail =
                    "the Idempotency-Key of a non-idempotent call must be a UUID of version 7";
                Err(Refusal::new(ErrorKind::Malformed, detail))
            }
        }
    }

    pub(super) fn key_window(&self, request: &Request) -> Duration {
        let service = self.system.service(&request.service);
        service.map_or(Duration::ZERO, |service| service.key_window)
    }

    /// Attaches the caller to an owned or copied request with the same key, if there is one.
    fn join_existing(
        &mut self,
        now: Timestamp,
        from: &CallerRef,
        request: &Request,
    ) -> Result<bool, Refusal> {
        let Some(key) = &request.key else {
            return Ok(false);
        };
        let request_key = RequestKey {
            customer: request.customer.clone(),
            service: request.service.clone(),
            key: key.clone(),
        };
        let Some(id) = self.keys.get(&request_key).cloned() else {
            return Ok(false);
        };
        let Some(record) = self.find_record(&id) else {
            self.keys.remove(&request_key);
            return Ok(false);
        };
        if record.request.fingerprint() != request.fingerprint() {
            return Err(Refusal::new(
                ErrorKind::KeyConflict,
                format!("used for {id}"),
            ));
        }
        let decision = self
            .decision(now, DecisionKind::Admit, "joined", "same-key")
            .with("request", &id);
        self.journal.record(decision);
        self.attach_caller(now, from.clone(), id, request.customer.clone(), None);
        Ok(true)
    }

    fn find_record(&self, id: &RequestId) -> Option<&RequestRecord> {
        let owned = self.owned.get(id).map(|owned| &owned.record);
        owned.or_else(|| self.copies.get(id).map(|copy| &copy.record))
    }

    fn check_quarantine(&self, now: Timestamp, request: &Request) -> Result<(), Refusal> {
        let fingerprint = request.fingerprint();
        match self.quarantine.verdict(now, fingerprint) {
            Verdict::Quarantined if self.quarantine.held_until(now, fingerprint).is_none() => {
                let detail = format!("fingerprint {fingerprint}");
                Err(Refusal::new(ErrorKind::Quarantined, detail))
            }
            _ => Ok(()),
        }
    }

    /// Checks quarantine, endpoints and limits, then copies the request to a standby.
    ///
    /// `is_new_key` means that no request with the same key can have been accepted, so that a
    /// refusal may state that nothing ran.
    pub(super) fn admit(
        &mut self,
        now: Timestamp,
        from: CallerRef,
        request: Arc<Request>,
        is_new_key: bool,
    ) -> Result<(), Refusal> {
        let admitted = self.reserve_and_copy(now, from, request.clone(), is_new_key);
        admitted.map_err(|refusal| qualify_not_run(refusal, &request, is_new_key))
    }

    /// Reserves quota for the request and sends its first copy.
    fn reserve_and_copy(
        &mut self,
        now: Timestamp,
        from: CallerRef,
        request: Arc<Request>,
        is_new_key: bool,
    ) -> Result<(), Refusal> {
        self.check_quarantine(now, &request)?;
        let expected = self.router.expected_first_token(now, &request);
        if expected.is_none() {
            let detail = format!("service `{}`", request.service);
            return Err(Refusal::new(ErrorKind::NoEndpoint, detail));
        }
        let reservation = self
            .limits
            .admit(now, &request, expected, &mut self.journal)?;
        self.retry_budget.deposit();
        self.offer_budget.deposit();
        self.next_sequence += 1;
        let lookup_hash = self.lookup_hash_of(&request);
        let id = RequestId {
            owner: self.own.clone(),
            sequence: self.next_sequence,
            lookup_hash,
        };
        let zone = self.settings.member.zone.clone();
        let Some(standby) = self.membership.standby(lookup_hash, &zone, &[]) else {
            self.limits.settle(now, reservation, Tokens(0));
            let detail = "no live entry in another availability zone";
            return Err(Refusal::new(ErrorKind::NoStandby, detail));
        };
        let standby = standby.id.clone();
        let mut owned = self.new_owned(now, id.clone(), from.clone(), request, reservation);
        owned.is_new_key = is_new_key;
        if let Some(request_key) = RequestKey::of(&owned.record) {
            self.keys.insert(request_key, id.clone());
        }
        if from.daemon == self.own {
            self.set_caller_request(from.caller, &id);
        }
        self.owned.insert(id.clone(), owned);
        self.send_copy(now, &id, standby);
        Ok(())
    }

    fn lookup_hash_of(&self, request: &Request) -> LookupHash {
        match &request.key {
            Some(key) => lookup_hash_of_key(&request.customer, &request.service, key),
            None => {
                let own = self.own.to_string();
                let sequence = self.next_sequence.to_le_bytes();
                LookupHash(digest64(&[own.as_bytes(), &sequence]) as u32)
            }
        }
    }

    fn new_owned(
        &self,
        now: Timestamp,
        id: RequestId,
        from: CallerRef,
        request: Arc<Request>,
        reservation: Reservation,
    ) -> OwnedRequest {
        let record = RequestRecord {
            id,
            epoch: Epoch(1),
            owner: self.own.clone(),
            request,
            accepted_at: now,
            attempts: 0,
            location: None,
            events: Vec::new(),
        };
        let subscriber = Subscriber {
            caller: from,
            position: Position::START,
            is_notified: false,
        };
        let phase = Phase::Accepting {
            until: now.after(COPY_TIMEOUT),
            tried: Vec::new(),
        };
        OwnedRequest {
            reservation: Some(reservation),
            ..OwnedRequest::new(record, phase, vec![subscriber])
        }
    }

    /// Sends the full record to a new standby.
    pub(super) fn send_copy(&mut self, now: Timestamp, id: &RequestId, standby: DaemonId) {
        let Some(owned) = self.owned.get_mut(id) else {
            return;
        };
        self.active.insert(id.clone());
        owned.standby = Some(Standby {
            daemon: standby.clone(),
            sent: owned.record.events.len(),
            acked: None,
            waiting_since: now,
        });
        let record = Box::new(owned.record.clone());
        let decision = self
            .decision(now, DecisionKind::Standby, "copy", "rendezvous-other-zone")
            .with("request", id)
            .with("standby", &standby)
            .with("events", record.events.len());
        self.journal.record(decision);
        self.send(&standby, Message::Copy(record));
    }

    /// Tries the next standby after a copy timed out, or withdraws the request.
    pub(super) fn on_accept_timeout(&mut self, now: Timestamp, id: &RequestId) {
        let zone = self.settings.member.zone.clone();
        let Some(owned) = self.owned.get_mut(id) else {
            return;
        };
        let Phase::Accepting { until, tried } = &mut owned.phase else {
            return;
        };
        if let Some(standby) = owned.standby.take() {
            tried.push(standby.daemon);
        }
        *until = now.after(COPY_TIMEOUT);
        let tried = tried.clone();
        let next = self.membership.standby(id.lookup_hash, &zone, &tried);
        match next.map(|member| member.id.clone()) {
            Some(next) if tried.len() < MAX_STANDBYS_TRIED => {
                for daemon in &tried {
                    self.send_drop(id, daemon);
                }
                self.send_copy(now, id, next);
            }
            _ => {
                let detail = "no entry in another availability zone took a copy in time";
                self.withdraw(now, id, Refusal::new(ErrorKind::NoStandby, detail));
            }
        }
    }

    pub(super) fn send_drop(&mut self, id: &RequestId, to: &DaemonId) {
        let epoch = self.owned.get(id).map(|owned| owned.record.epoch);
        let epoch = epoch.unwrap_or(Epoch(1));
        self.send(
            to,
            Message::Drop {
                id: id.clone(),
                epoch,
            },
        );
    }

    /// Accepts the request after a standby acknowledged its first copy.
    pub(super) fn on_accepted(&mut self, now: Timestamp, id: &RequestId) {
        let Some(owned) = self.owned.get(id) else {
            return;
        };
        let request = &owned.record.request;
        let standby = owned
            .standby
            .as_ref()
            .map(|standby| standby.daemon.to_string());
        let decision = self
            .decision(now, DecisionKind::Admit, "accepted", "copy-acknowledged")
            .with("request", id)
            .with("customer", &request.customer)
            .with("service", &request.service)
            .with("idempotent", request.idempotent)
            .with("prompt", request.prompt)
            .with("standby", standby.unwrap_or_default());
        self.journal.record(decision);
        self.start_or_resume(now, id);
    }

    /// Starts or resumes an accepted request; a non-idempotent one is claimed first.
    pub(super) fn start_or_resume(&mut self, now: Timestamp, id: &RequestId) {
        let Some(owned) = self.owned.get(id) else {
            return;
        };
        if owned.record.request.idempotent || owned.has_claim {
            self.resume_or_dispatch(now, id);
        } else {
            self.claim(now, id);
        }
    }

    /// Records a refusal and sends it to the caller.
    pub(super) fn refuse(
        &mut self,
        now: Timestamp,
        to: &CallerRef,
        request: &Request,
        refusal: Refusal,
    ) {
        let decision = self
            .decision(now, DecisionKind::Admit, "refused", refusal.kind.name())
            .with("customer", &request.customer)
            .with("service", &request.service)
            .with("caller", to.caller)
            .with("execution", refusal.kind.response().execution)
            .with("detail", &refusal.detail);
        self.journal.record(decision);
        self.refuse_caller(now, to, refusal);
    }
}

/// Replaces a transient refusal that reports "not run" by [`ErrorKind::Unresolved`] if an
/// earlier request with the same key may have run.
pub(super) fn qualify_not_run(refusal: Refusal, request: &Request, is_new_key: bool) -> Refusal {
    let says_not_run = refusal.kind.response().execution == Execution::NotRun;
    let is_transient = refusal.retry_after.is_some() || refusal.kind == ErrorKind::Quarantined;
    let may_have_run = !request.idempotent && request.key.is_some() && !is_new_key;
    if says_not_run && is_transient && may_have_run {
        let detail = format!(
            "{}; an earlier request with the key may run",
            refusal.detail
        );
        return Refusal::new(ErrorKind::Unresolved, detail);
    }
    refusal
}
