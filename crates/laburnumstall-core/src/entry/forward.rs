//! A leaving daemon passes new requests on to another one.

use std::sync::Arc;

use crate::decision::DecisionKind;
use crate::entry::Entry;
use crate::entry::attach::RemoteOwner;
use crate::hash::digest64;
use crate::ids::{CallerId, DaemonId, HomeHash};
use crate::message::Message;
use crate::request::Request;
use crate::units::Timestamp;

impl Entry {
    /// Returns the daemon that takes new requests in place of this one, if this one leaves.
    pub(super) fn forward_target(&self, request: &Request) -> Option<DaemonId> {
        self.stopping.as_ref()?;
        let fingerprint = request.fingerprint().0.to_le_bytes();
        let spread = HomeHash(digest64(&[&fingerprint]) as u32);
        let ranked = self.membership.rank(spread);
        let first = ranked.iter().find(|member| member.id != self.own);
        first.map(|member| member.id.clone())
    }

    pub(super) fn forward(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        request: Arc<Request>,
        peer: &DaemonId,
    ) {
        let decision = self
            .decision(now, DecisionKind::Admit, "forwarded", "leaving")
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
            heard_at: now,
            forwarded: Some(request.clone()),
        });
        self.send(peer, Message::Forward { caller, request });
    }
}
