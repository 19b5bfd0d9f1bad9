//! Directory of the daemons that callers may connect to.
//!
//! A caller selects at random among the addresses of an answer. Where daemons differ in size, an
//! answer holds the largest ones and changing parts of the others, so that over successive
//! answers each daemon is listed as often as its size demands.

use std::net::SocketAddr;
use std::time::Duration;

use super::Gateway;
use super::daemon_size::{DaemonSize, FleetSizes};
use crate::ids::DaemonId;
use crate::units::Timestamp;

/// Maximum number of addresses in an answer.
const MAX_LISTED: f64 = 64.0;
/// Number of addresses in an answer, if there are as many daemons: a caller finds another one if
/// one fails.
const MIN_LISTED: f64 = 3.0;
/// Time after which another part of the smaller daemons is listed: less than callers keep an
/// answer, so that a daemon is not listed for all of them at the same time.
const SLOT: Duration = Duration::from_millis(100);
/// Step of the offset between two slots, as a part of 2^64: the golden ratio, which spaces the
/// slots of a daemon evenly.
const OFFSET_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

impl Gateway {
    /// Returns whether callers may be sent to this daemon: it is not stopping, has a
    /// configuration that is not older than the floor, and may trust its keys.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        !self.is_stopping()
            && self.routing_table.is_some()
            && !self.is_below_floor()
            && self.freshness.may_trust_keys(now)
    }

    /// Returns the addresses that callers may use: the addresses of ready daemons, as often as
    /// their sizes demand, or, if none is ready, of all known daemons.
    pub fn directory(&self, now: Timestamp) -> Vec<SocketAddr> {
        let own = self
            .is_ready(now)
            .then_some((&self.own, self.own_size, self.caller_address));
        let ready = self.peer_table.ready(now);
        let listed: Vec<(&DaemonId, Option<DaemonSize>, SocketAddr)> = own
            .into_iter()
            .chain(ready.map(|peer| {
                let member = &peer.member;
                (&member.id, peer.size, member.caller_address)
            }))
            .collect();
        if !listed.is_empty() {
            let sizes = FleetSizes::of(listed.iter().map(|(_, size, _)| *size));
            return match sizes {
                Some(sizes) => self.by_size(now, sizes, listed),
                None => listed.into_iter().map(|(.., address)| address).collect(),
            };
        }
        let others = self
            .peer_table
            .peers()
            .map(|peer| peer.member.caller_address);
        let own = (!self.is_stopping()).then_some(self.caller_address);
        own.into_iter().chain(others).collect()
    }

    /// Returns the addresses of the daemons that are listed in the current slot.
    fn by_size(
        &self,
        now: Timestamp,
        sizes: FleetSizes,
        mut listed: Vec<(&DaemonId, Option<DaemonSize>, SocketAddr)>,
    ) -> Vec<SocketAddr> {
        listed.sort_unstable_by_key(|(id, ..)| *id);
        let parts: Vec<f64> = listed
            .iter()
            .map(|(_, size, _)| sizes.part_of_largest(*size))
            .collect();
        let shares = listed_shares(&parts);
        let slot = now.0 / SLOT.as_micros() as u64;
        let offset = self.zone_seed.wrapping_add(slot.wrapping_mul(OFFSET_STEP));
        // Systematic sampling: each daemon has a length, and a point at each whole number selects.
        let mut end = offset as f64 / u64::MAX as f64;
        let mut addresses = Vec::new();
        for ((.., address), share) in listed.into_iter().zip(shares) {
            let start = end;
            end += share;
            if end.floor() > start.floor() {
                addresses.push(address);
            }
        }
        addresses
    }
}

/// Returns the part of the answers in which each daemon is listed.
fn listed_shares(parts: &[f64]) -> Vec<f64> {
    let shares = |factor: f64| -> Vec<f64> {
        let scaled = parts.iter().map(|part| (part * factor).min(1.0));
        scaled.collect()
    };
    let sum = |factor| shares(factor).iter().sum::<f64>();
    let least = MIN_LISTED.min(parts.len() as f64);
    let mut factor = (MAX_LISTED / sum(1.0)).min(1.0);
    // Ends at the latest when each daemon is in every answer.
    while sum(factor) < least {
        factor *= 1.25;
    }
    shares(factor)
}
