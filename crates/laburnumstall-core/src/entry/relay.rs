//! Callers connected here whose requests other daemons own.
//!
//! Everything that a caller is given passes [`Entry::deliver_local`], which lets each event
//! through once and in order, whoever it comes from. An owner that is not heard for a
//! while is asked again, since a message may be lost with its link.

use std::time::Duration;

use crate::entry::Entry;
use crate::entry::action::Action;
use crate::entry::attach::RemoteOwner;
use crate::error::{ErrorKind, Refusal};
use crate::ids::{CallerId, DaemonId, RequestId};
use crate::message::{Delivery, LocateTarget, Message, Position};
use crate::request::AnswerEvent;
use crate::units::Timestamp;

/// Time without a word from the owner after which it is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(1_500);

/// What events that arrive for a caller amount to.
enum Fit {
    /// These follow on.
    New(Vec<AnswerEvent>),
    /// The caller has them all.
    Known,
    /// Events before them are missing.
    Gap,
    /// They belong to another continuation of the answer.
    Diverged,
}

impl Entry {
    /// Gives a caller connected here what it does not have yet.
    pub(super) fn deliver_local(&mut self, now: Timestamp, caller: CallerId, delivery: Delivery) {
        let Some(local) = self.callers.get_mut(&caller) else {
            return;
        };
        let Delivery::Events { from, events } = delivery else {
            self.actions.push(Action::Deliver { caller, delivery });
            return;
        };
        let have = local.position;
        match fit(have, from, events) {
            Fit::New(events) => {
                local.position = have.after(&events);
                let delivery = Delivery::Events { from: have, events };
                self.actions.push(Action::Deliver { caller, delivery });
            }
            Fit::Known => {}
            Fit::Gap => self.ask_owner(now, caller),
            Fit::Diverged => {
                let refusal = Refusal::new(ErrorKind::StreamDiverged, "at the new owner");
                let to = self.local_ref(caller);
                self.refuse_caller(now, &to, refusal);
            }
        }
    }

    /// Something for a caller connected here, from the daemon that owns its request.
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
                    self.search_owner(now, caller, id);
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

    /// Asks the owner of a caller's request to go on behind what the caller has.
    fn ask_owner(&mut self, now: Timestamp, caller: CallerId) {
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
            (Some(id), _) => self.search_owner(now, caller, id),
            (None, Some(request)) => self.on_arrived(now, caller, request),
            (None, None) => {}
        }
    }

    /// Looks for the daemon that took a caller's request over.
    fn search_owner(&mut self, now: Timestamp, caller: CallerId, id: RequestId) {
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
        let missing = ErrorKind::OwnerLost;
        self.locate_for_caller(now, caller, target, customer, position, missing);
    }

    fn is_searching(&self, caller: CallerId) -> bool {
        let mut questions = self.questions.values();
        questions.any(|question| question.is_from_caller(&self.own, caller))
    }

    /// Asks again about callers whose owners are silent.
    pub(super) fn tick_callers(&mut self, now: Timestamp) {
        let is_late = |remote: &RemoteOwner| now.since(remote.last_contact_at) >= ASK_AGAIN;
        let late: Vec<CallerId> = self
            .callers
            .iter()
            .filter(|(_, local)| local.remote.as_ref().is_some_and(is_late))
            .map(|(caller, _)| *caller)
            .collect();
        for caller in late {
            self.ask_owner(now, caller);
        }
    }

    /// The daemon that owned requests of callers connected here is gone.
    pub(super) fn relocate_callers(&mut self, now: Timestamp, gone: &DaemonId) {
        let is_lost = |remote: &RemoteOwner| remote.owner == *gone;
        let lost: Vec<CallerId> = self
            .callers
            .iter()
            .filter(|(_, local)| local.remote.as_ref().is_some_and(is_lost))
            .map(|(caller, _)| *caller)
            .collect();
        for caller in lost {
            self.ask_owner(now, caller);
        }
    }
}

fn fit(have: Position, from: Position, mut events: Vec<AnswerEvent>) -> Fit {
    if from.index > have.index {
        return Fit::Gap;
    }
    let known = (have.index.0 - from.index.0) as usize;
    if known > events.len() {
        return Fit::Known;
    }
    if from.after(&events[..known]) != have {
        return Fit::Diverged;
    }
    events.drain(..known);
    if events.is_empty() {
        return Fit::Known;
    }
    Fit::New(events)
}
