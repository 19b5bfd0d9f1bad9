//! Which daemons callers are sent to.

use std::net::SocketAddr;

use super::Gateway;
use crate::decision::{Decision, DecisionKind};
use crate::units::Timestamp;

impl Gateway {
    /// Begins a planned stop: the daemon is named to callers no longer.
    pub fn begin_stop(&mut self, now: Timestamp) {
        self.is_stopping = true;
        self.journal
            .record(Decision::new(now, DecisionKind::Stop, "drain", "asked"));
    }

    /// Tells whether the daemon is stopping.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping
    }

    /// Tells whether callers may be sent here: the daemon is not stopping, knows a
    /// configuration, and may rely on its keys.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        !self.is_stopping && self.table.is_some() && self.freshness.may_trust_keys(now)
    }

    /// Returns the addresses that callers may use; without any that is known to be ready,
    /// all that are registered.
    pub fn directory(&self, now: Timestamp) -> Vec<SocketAddr> {
        let own = self.is_ready(now).then_some(self.front);
        let ready = self.peer_table.ready(now);
        let addresses: Vec<SocketAddr> = own
            .into_iter()
            .chain(ready.map(|peer| peer.member.caller_address))
            .collect();
        if !addresses.is_empty() {
            return addresses;
        }
        let others = self
            .peer_table
            .peers()
            .map(|peer| peer.member.caller_address);
        let own = (!self.is_stopping).then_some(self.front);
        own.into_iter().chain(others).collect()
    }
}
