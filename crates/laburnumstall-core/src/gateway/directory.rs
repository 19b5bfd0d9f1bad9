//! Directory of the daemons that callers may connect to.

use std::net::SocketAddr;

use super::Gateway;
use crate::units::Timestamp;

impl Gateway {
    /// Returns whether callers may be sent to this daemon: it is not stopping, has a
    /// configuration that is not older than the floor, and may trust its keys.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        !self.is_stopping()
            && self.routing_table.is_some()
            && !self.is_below_floor()
            && self.freshness.may_trust_keys(now)
    }

    /// Returns the addresses that callers may use: the addresses of ready daemons or, if none
    /// is ready, of all known daemons.
    pub fn directory(&self, now: Timestamp) -> Vec<SocketAddr> {
        let own = self.is_ready(now).then_some(self.caller_address);
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
        let own = (!self.is_stopping()).then_some(self.caller_address);
        own.into_iter().chain(others).collect()
    }
}
