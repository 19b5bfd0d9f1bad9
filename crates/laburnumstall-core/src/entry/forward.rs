//! Forwarding of new requests to other daemons.
//!
//! A leaving daemon forwards all new requests. A daemon whose share of a contract is used up
//! offers the request to its successors on the ring of live daemons, ordered by name, one after
//! the other, and returns the last refusal to the caller. Each daemon admits only within its
//! own share, so offers never exceed the contract. A budget limits offers to a fraction of the
//! accepted requests, so that a customer far above its contract does not multiply its own
//! refusals.

use std::sync::Arc;

use crate::decision::DecisionKind;
use crate::entry::Entry;
use crate::entry::attach::RemoteOwner;
use crate::error::{ErrorKind, Refusal};
use crate::hash::digest64;
use crate::ids::{CallerId, DaemonId, LookupHash};
use crate::message::Message;
use crate::request::Request;
use crate::units::Timestamp;

/// Maximum number of daemons that a request is offered to.
const MAX_OFFERS: usize = 3;

impl Entry {
    /// Returns the peer to which a new request is forwarded if this daemon is leaving.
    pub(super) fn forward_target(&self, request: &Request) -> Option<DaemonId> {
        self.stopping.as_ref()?;
        let fingerprint = request.fingerprint().0.to_le_bytes();
        let hash = LookupHash(digest64(&[&fingerprint]) as u32);
        let ranked = self.membership.rank(hash);
        let first = ranked.iter().find(|member| member.id != self.own);
        first.map(|member| member.id.clone())
    }

    pub(super) fn forward(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        request: Arc<Request>,
        peer: &DaemonId,
        reason: &'static str,
    ) {
        let decision = self
            .decision(now, DecisionKind::Admit, "forwarded", reason)
            .with("customer", &request.customer)
            .with("service", &request.service)
            .with("caller", caller)
            .with("to", peer);
        self.journal.record(decision);
        let Some(local) = self.callers.get_mut(&caller) else {
            return;
        };
        local.remote = Some(RemoteOwner {
            owner: peer.clone(),
            request: None,
            last_contact_at: now,
            forwarded: Some(request.clone()),
        });
        self.send(peer, Message::Forward { caller, request });
    }

    /// Offers a request to the daemon after `refused_by`, which refused it due to its customer's
    /// limit; returns whether it was offered.
    pub(super) fn offer_next(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        request: &Arc<Request>,
        refusal: &Refusal,
        refused_by: &DaemonId,
    ) -> bool {
        if refusal.kind != ErrorKind::LimitReached {
            return false;
        }
        let Some(peer) = self.offer_target(refused_by) else {
            return false;
        };
        if !self.offer_budget.try_withdraw(now) {
            return false;
        }
        self.forward(now, caller, request.clone(), &peer, "limit-reached");
        true
    }

    /// Returns the daemon that follows `after` among the successors that receive offers.
    fn offer_target(&self, after: &DaemonId) -> Option<DaemonId> {
        let live = self.membership.live().map(|member| &member.id);
        let mut ring: Vec<&DaemonId> = live.filter(|id| **id != self.own).collect();
        ring.sort_by_key(|id| (**id < self.own, *id));
        ring.truncate(MAX_OFFERS);
        let next = match ring.iter().position(|id| *id == after) {
            Some(index) => index + 1,
            None if *after == self.own => 0,
            None => return None,
        };
        ring.get(next).map(|id| (*id).clone())
    }
}
