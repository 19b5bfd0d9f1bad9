//! Ends of notices, which the daemons that read the key-value store tell the others.
//!
//! Messages about registrations do not hold the time that is left, and without it a daemon has to
//! assume the shortest notice.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::domain;
use crate::gateway::Gateway;
use crate::gateway::endpoint_notice::KnownNotice;
use crate::gateway::endpoint_table::{EndpointProcess, EndpointRecord};
use crate::gateway::peer_message::PeerProtocol;
use crate::gateway::quarantine_update::millis;
use crate::gateway::send_budget::{MESSAGE_BYTES, SendBudget};
use crate::ids::DaemonId;
use crate::units::Timestamp;

/// Time in which ends are collected for one message: the endpoints of a zone are reclaimed together.
const COLLECT_TIME: Duration = Duration::from_millis(20);
/// Maximum number of ends in one message.
const MAX_ENDS: usize = 256;
/// Bytes of one end in a message.
const END_BYTES: f64 = 32.0;

domain! {
    /// When a process of an endpoint ends.
    #[derive(Eq)]
    pub struct EndpointEnd {
        /// The process.
        pub process: EndpointProcess,
        /// Time until it ends, in milliseconds.
        pub left_ms: u32,
    }
}

/// Message to several peers.
#[derive(Debug, Clone, PartialEq)]
pub struct EndBroadcast {
    /// Peers, with their addresses.
    pub peers: Vec<(DaemonId, SocketAddr)>,
    /// Ends to send to each of them.
    pub ends: Vec<EndpointEnd>,
}

/// Ends that wait to be sent to peers.
#[derive(Debug, Clone, Default)]
pub(super) struct EndOutbox {
    processes: BTreeSet<EndpointProcess>,
    since: Timestamp,
    budget: SendBudget,
}

impl Gateway {
    /// Notes the end that an entry names, before the entry is applied. Only the first one is told: the
    /// entry is written again and again.
    pub(in crate::gateway) fn note_end(&mut self, now: Timestamp, record: &EndpointRecord) {
        let process = record.process();
        let is_known = || self.endpoints.notice_of(&process).ends_at.is_some();
        if !record.is_leaving || record.leaves_in.is_none() || is_known() {
            return;
        }
        let outbox = &mut self.reclaims.outbox;
        if outbox.processes.is_empty() {
            outbox.since = now;
        }
        outbox.processes.insert(process);
    }

    /// Returns the ends that are due, and the peers to send them to.
    pub fn take_endpoint_ends(&mut self, now: Timestamp) -> Option<EndBroadcast> {
        let outbox = &mut self.reclaims.outbox;
        let daemons = 1 + self.peer_table.len();
        if outbox.processes.is_empty()
            || now.since(outbox.since) < COLLECT_TIME
            || outbox.budget.left(now, daemons) <= 0.0
        {
            return None;
        }
        let processes = std::mem::take(&mut outbox.processes).into_iter();
        let ends: Vec<EndpointEnd> = processes
            .filter_map(|process| {
                let ends_at = self.endpoints.notice_of(&process).ends_at?;
                let left_ms = millis(ends_at.since(now));
                Some(EndpointEnd { process, left_ms })
            })
            .filter(|end| end.left_ms > 0)
            .take(MAX_ENDS)
            .collect();
        let peers: Vec<(DaemonId, SocketAddr)> = self
            .peer_table
            .reachable(now)
            .filter(|peer| peer.protocol >= PeerProtocol::SHARED_LOAD)
            .map(|peer| (peer.member.id.clone(), peer.member.peer_address))
            .collect();
        let bytes = MESSAGE_BYTES + END_BYTES * ends.len() as f64;
        self.reclaims
            .outbox
            .budget
            .spend(bytes * peers.len() as f64);
        let is_useful = !ends.is_empty() && !peers.is_empty();
        is_useful.then_some(EndBroadcast { peers, ends })
    }

    /// Records ends that a peer read in the key-value store.
    pub fn on_peer_ends(&mut self, now: Timestamp, ends: Vec<EndpointEnd>) {
        for EndpointEnd { process, left_ms } in ends {
            let ends_at = now.after(Duration::from_millis(left_ms.into()));
            let known = self.endpoints.notice_of(&process);
            let notice = KnownNotice {
                is_leaving: true,
                ..known.with_end(now, Some(ends_at))
            };
            self.set_notice(now, &process, notice, "peer");
        }
        self.reclaims.on_endpoints_changed();
    }
}
