//! Attachment of callers to requests that this daemon or a peer owns.

use std::sync::Arc;

use crate::entry::Entry;
use crate::entry::owned::{OwnedRequest, Subscriber};
use crate::error::{ErrorKind, Refusal};
use crate::ids::{CallerId, CustomerId, DaemonId, RequestId};
use crate::message::{CallerRef, Delivery, LocateTarget, Message, Position, RequestRecord};
use crate::request::Request;
use crate::units::Timestamp;

/// A caller connected to this daemon.
#[derive(Debug, Clone)]
pub(super) struct LocalCaller {
    pub(super) customer: CustomerId,
    /// Locally owned request that the caller is attached to.
    pub(super) request: Option<RequestId>,
    /// Position with which the caller attached, advanced by each delivery from this daemon.
    pub(super) position: Position,
    /// Owner of the caller's request, if that is a peer.
    pub(super) remote: Option<RemoteOwner>,
}

/// State of a caller's request that a peer owns.
#[derive(Debug, Clone)]
pub(super) struct RemoteOwner {
    pub(super) owner: DaemonId,
    pub(super) request: Option<RequestId>,
    /// When the owner last sent a delivery for the caller, or was last contacted for it.
    pub(super) last_contact_at: Timestamp,
    /// The forwarded request, until the peer has accepted it.
    pub(super) forwarded: Option<Arc<Request>>,
}

impl Entry {
    pub(super) fn add_local_caller(
        &mut self,
        caller: CallerId,
        customer: CustomerId,
        position: Option<Position>,
    ) {
        let local = LocalCaller {
            customer,
            request: None,
            position: position.unwrap_or(Position::START),
            remote: None,
        };
        self.callers.insert(caller, local);
    }

    pub(super) fn on_attach(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        id: RequestId,
        customer: CustomerId,
        position: Option<Position>,
    ) {
        self.add_local_caller(caller, customer.clone(), position);
        let from = self.local_ref(caller);
        self.attach_caller(now, from, id, customer, position);
    }

    /// Attaches a caller to a request, whichever daemon owns it.
    pub(super) fn attach_caller(
        &mut self,
        now: Timestamp,
        from: CallerRef,
        id: RequestId,
        customer: CustomerId,
        position: Option<Position>,
    ) {
        if !self.defer_attach(now, &from, &id, &customer, position) {
            self.attach_now(now, from, id, customer, position);
        }
    }

    /// Attaches a caller without deferral.
    pub(super) fn attach_now(
        &mut self,
        now: Timestamp,
        from: CallerRef,
        id: RequestId,
        customer: CustomerId,
        position: Option<Position>,
    ) {
        if self.owned.contains_key(&id) {
            if let Err(refusal) = self.subscribe(&from, &id, &customer, position) {
                self.refuse_caller(now, &from, refusal);
                return;
            }
            if from.daemon == self.own {
                self.set_caller_request(from.caller, &id);
            }
            self.deliver(now, &id);
            return;
        }
        let Some(copy) = self.copies.get(&id) else {
            self.attach_unknown(now, &from, id, customer, position);
            return;
        };
        if copy.record.is_done() {
            self.deliver_from_copy(now, &from, &id, &customer, position);
            return;
        }
        let owner = copy.record.owner.clone();
        if from.daemon != self.own {
            self.deliver_to(now, &from, Delivery::Moved { owner });
            return;
        }
        self.attach_at_owner(now, from.caller, id, &owner, customer, position);
    }

    fn attach_unknown(
        &mut self,
        now: Timestamp,
        from: &CallerRef,
        id: RequestId,
        customer: CustomerId,
        position: Option<Position>,
    ) {
        if from.daemon == self.own {
            let target = LocateTarget::Request(id);
            let not_found = ErrorKind::UnknownRequest;
            self.locate_for_caller(now, from.caller, target, customer, position, not_found);
            return;
        }
        let refusal = Refusal::new(ErrorKind::UnknownRequest, id.to_string());
        self.refuse_caller(now, from, refusal);
    }

    fn subscribe(
        &mut self,
        from: &CallerRef,
        id: &RequestId,
        customer: &CustomerId,
        position: Option<Position>,
    ) -> Result<(), Refusal> {
        let Some(owned) = self.owned.get_mut(id) else {
            return Ok(());
        };
        let position = check_attachment(&owned.record, customer, position)?;
        owned
            .subscribers
            .retain(|subscriber| subscriber.caller != *from);
        owned.subscribers.push(Subscriber {
            caller: from.clone(),
            position,
            is_notified: false,
        });
        Ok(())
    }

    /// Delivers a complete answer from a standby copy, without asking its owner.
    fn deliver_from_copy(
        &mut self,
        now: Timestamp,
        from: &CallerRef,
        id: &RequestId,
        customer: &CustomerId,
        position: Option<Position>,
    ) {
        let Some(copy) = self.copies.get(id) else {
            return;
        };
        let position = match check_attachment(&copy.record, customer, position) {
            Ok(position) => position,
            Err(refusal) => {
                self.refuse_caller(now, from, refusal);
                return;
            }
        };
        let events = copy.record.events[position.index.0 as usize..].to_vec();
        let acceptance = copy.record.acceptance();
        self.deliver_to(now, from, acceptance);
        let from_position = position;
        let delivery = Delivery::Events {
            from: from_position,
            events,
        };
        self.deliver_to(now, from, delivery);
    }

    /// Attaches a local caller to a request at its owner.
    pub(super) fn attach_at_owner(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        id: RequestId,
        owner: &DaemonId,
        customer: CustomerId,
        position: Option<Position>,
    ) {
        if *owner == self.own {
            let from = self.local_ref(caller);
            self.attach_caller(now, from, id, customer, position);
            return;
        }
        let Some(local) = self.callers.get_mut(&caller) else {
            return;
        };
        local.remote = Some(RemoteOwner {
            owner: owner.clone(),
            request: Some(id.clone()),
            last_contact_at: now,
            forwarded: None,
        });
        let message = Message::Attach {
            caller,
            id,
            customer,
            position,
        };
        self.send(owner, message);
    }

    pub(super) fn on_caller_gone(&mut self, caller: CallerId) {
        self.lookups
            .retain(|_, lookup| !lookup.is_from_caller(&self.own, caller));
        let Some(local) = self.callers.remove(&caller) else {
            return;
        };
        if let Some(remote) = local.remote {
            let id = remote.request;
            self.send(&remote.owner, Message::Detach { caller, id });
        }
        let from = self.local_ref(caller);
        self.unsubscribe(&from, local.request.as_ref());
    }

    /// Removes a caller from its request, or from every request if `id` is `None`.
    pub(super) fn unsubscribe(&mut self, from: &CallerRef, id: Option<&RequestId>) {
        self.cancel_deferred_attaches(from);
        let detach = |owned: &mut OwnedRequest| {
            owned
                .subscribers
                .retain(|subscriber| subscriber.caller != *from);
        };
        match id {
            Some(id) => self.owned.get_mut(id).into_iter().for_each(detach),
            None => self.owned.values_mut().for_each(detach),
        }
    }

    /// Records which request a local caller is attached to.
    pub(super) fn set_caller_request(&mut self, caller: CallerId, id: &RequestId) {
        if let Some(local) = self.callers.get_mut(&caller) {
            local.request = Some(id.clone());
        }
    }

    /// Attaches callers that were searching for a request that this daemon took over.
    pub(super) fn attach_waiting_callers(&mut self, now: Timestamp, id: &RequestId) {
        let waiting: Vec<u64> = self
            .lookups
            .iter()
            .filter(|(_, lookup)| lookup.targets_request(id))
            .map(|(token, _)| *token)
            .collect();
        for token in waiting {
            if let Some(lookup) = self.lookups.remove(&token) {
                self.resolve_locally(now, lookup, id);
            }
        }
    }
}

/// Checks that the request is the customer's and that the position matches the recorded answer.
fn check_attachment(
    record: &RequestRecord,
    customer: &CustomerId,
    position: Option<Position>,
) -> Result<Position, Refusal> {
    if record.request.customer != *customer {
        let detail = record.id.to_string();
        return Err(Refusal::new(ErrorKind::UnknownRequest, detail));
    }
    let Some(position) = position else {
        return Ok(Position::START);
    };
    let index = position.index.0 as usize;
    match record.position(index) {
        Some(recorded) if recorded == position => Ok(position),
        _ => {
            let detail = format!("event {}", position.index);
            Err(Refusal::new(ErrorKind::StreamDiverged, detail))
        }
    }
}
