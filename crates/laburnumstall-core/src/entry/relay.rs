//! Callers connected to this daemon whose requests other daemons own.
//!
//! Every delivery to such a caller passes through [`Entry::deliver_local`], which forwards each
//! event once and in order, whichever daemon sent it. If the owner is silent for a while, the
//! caller is attached again, since a message may have been lost with the link.

use std::time::Duration;

use crate::entry::Entry;
use crate::entry::action::Action;
use crate::entry::attach::RemoteOwner;
use crate::error::{ErrorKind, Refusal};
use crate::ids::{CallerId, DaemonId, RequestId};
use crate::message::{Delivery, LocateTarget, Message, Position};
use crate::request::AnswerEvent;
use crate::units::Timestamp;

/// Silence of the owner after which a caller is attached again.
const OWNER_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How events that arrive for a caller relate to its position.
enum Continuation {
    /// New events that follow the position.
    New(Vec<AnswerEvent>),
    /// The caller has all of the events.
    Known,
    /// Earlier events are missing.
    Gap,
    /// The events belong to another continuation of the answer.
    Diverged,
}

impl Entry {
    /// Delivers an item to a caller connected to this daemon, without events that it already has.
    pub(super) fn deliver_local(&mut self, now: Timestamp, caller: CallerId, delivery: Delivery) {
        let Some(local) = self.callers.get_mut(&caller) else {
            return;
        };
        let Delivery::Events { from, events } = delivery else {
            self.actions.push(Action::Deliver { caller, delivery });
            return;
        };
        let current = local.position;
        match continuation(current, from, events) {
            Continuation::New(events) => {
                local.position = current.after(&events);
                let delivery = Delivery::Events {
                    from: current,
                    events,
                };
                self.actions.push(Action::Deliver { caller, delivery });
            }
            Continuation::Known => {}
            Continuation::Gap => self.reattach_caller(now, caller),
            Continuation::Diverged => {
                let refusal = Refusal::new(ErrorKind::StreamDiverged, "at the new owner");
                let to = self.local_ref(caller);
                self.refuse_caller(now, &to, refusal);
            }
        }
    }

    /// Handles a delivery from a request's owner to a caller connected to this daemon.
    pub(super) fn on_deliver(
        &mut self,
        now: Timestamp,
        from: &DaemonId,
        caller: CallerId,
        delivery: Delivery,
    ) {
        let Some(local) = self.callers.get_mut(&caller) else {
            self.send(from, Message::Detach { caller, id: None });
            return;
        };
        let Some(remote) = &mut local.remote else {
            return;
        };
        if remote.owner != *from {
            return;
        }
        remote.last_contact_at = now;
        match delivery {
            Delivery::Accepted { ref request, .. } => {
                remote.request = Some(request.clone());
                remote.forwarded = None;
                self.deliver_local(now, caller, delivery);
            }
            Delivery::Events { .. } => self.deliver_local(now, caller, delivery),
            Delivery::Moved { owner } => self.on_moved(now, caller, &owner),
            Delivery::Refused(refusal) => {
                if refusal.kind == ErrorKind::UnknownRequest
                    && let Some(id) = remote.request.clone()
                {
                    self.search_new_owner(now, caller, id);
                    return;
                }
                let request = remote.forwarded.clone();
                let is_offered = request
                    .is_some_and(|request| self.offer_next(now, caller, &request, &refusal, from));
                if !is_offered {
                    let to = self.local_ref(caller);
                    self.refuse_caller(now, &to, refusal);
                }
            }
        }
    }

    fn on_moved(&mut self, now: Timestamp, caller: CallerId, owner: &DaemonId) {
        let Some(local) = self.callers.get(&caller) else {
            return;
        };
        let customer = local.customer.clone();
        let position = local.position;
        let id = local
            .remote
            .as_ref()
            .and_then(|remote| remote.request.clone());
        if let Some(id) = id {
            self.attach_at_owner(now, caller, id, owner, customer, Some(position));
        }
    }

    /// Asks the owner of a caller's request to continue after the caller's position.
    fn reattach_caller(&mut self, now: Timestamp, caller: CallerId) {
        let Some(local) = self.callers.get(&caller) else {
            return;
        };
        let Some(remote) = local.remote.clone() else {
            return;
        };
        let customer = local.customer.clone();
        let position = Some(local.position);
        match (remote.request, remote.forwarded) {
            (Some(id), _) if self.is_reachable_peer(&remote.owner) => {
                self.attach_at_owner(now, caller, id, &remote.owner, customer, position);
            }
            (Some(id), _) => self.search_new_owner(now, caller, id),
            (None, Some(request)) => self.on_arrived(now, caller, request),
            (None, None) => {}
        }
    }

    /// Searches for the daemon that took over a caller's request.
    fn search_new_owner(&mut self, now: Timestamp, caller: CallerId, id: RequestId) {
        let Some(local) = self.callers.get_mut(&caller) else {
            return;
        };
        if let Some(remote) = &mut local.remote {
            remote.last_contact_at = now;
        }
        let customer = local.customer.clone();
        let position = Some(local.position);
        if self.is_searching(caller) {
            return;
        }
        let target = LocateTarget::Request(id);
        let not_found = ErrorKind::OwnerLost;
        self.locate_for_caller(now, caller, target, customer, position, not_found);
    }

    fn is_searching(&self, caller: CallerId) -> bool {
        let mut lookups = self.lookups.values();
        lookups.any(|lookup| lookup.is_from_caller(&self.own, caller))
    }

    /// Reattaches callers whose owners are silent.
    pub(super) fn tick_callers(&mut self, now: Timestamp) {
        let is_silent =
            |remote: &RemoteOwner| now.since(remote.last_contact_at) >= OWNER_SILENCE_TIMEOUT;
        let silent: Vec<CallerId> = self
            .callers
            .iter()
            .filter(|(_, local)| local.remote.as_ref().is_some_and(is_silent))
            .map(|(caller, _)| *caller)
            .collect();
        for caller in silent {
            self.reattach_caller(now, caller);
        }
    }

    /// Reattaches callers whose requests the lost daemon `owner` owned.
    pub(super) fn reattach_callers_of(&mut self, now: Timestamp, owner: &DaemonId) {
        let is_lost = |remote: &RemoteOwner| remote.owner == *owner;
        let lost: Vec<CallerId> = self
            .callers
            .iter()
            .filter(|(_, local)| local.remote.as_ref().is_some_and(is_lost))
            .map(|(caller, _)| *caller)
            .collect();
        for caller in lost {
            self.reattach_caller(now, caller);
        }
    }
}

fn continuation(current: Position, from: Position, mut events: Vec<AnswerEvent>) -> Continuation {
    if from.index > current.index {
        return Continuation::Gap;
    }
    let already_received = (current.index.0 - from.index.0) as usize;
    if already_received > events.len() {
        return Continuation::Known;
    }
    if from.after(&events[..already_received]) != current {
        return Continuation::Diverged;
    }
    events.drain(..already_received);
    if events.is_empty() {
        return Continuation::Known;
    }
    Continuation::New(events)
}
