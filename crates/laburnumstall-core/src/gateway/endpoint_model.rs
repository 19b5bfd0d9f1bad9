//! Speeds of endpoints, learned from the calls of all daemons.
//!
//! Each daemon adds up the expected and the measured time of its calls to each process of an
//! endpoint and sends the sums to its peers. The quotient of the fleet's sums is the process's
//! lasting speed. Owners of shared prefixes are weighted by it, and expected times use it.

mod process_speed;
mod time_sums;
mod weights;

use std::net::SocketAddr;
use std::time::Duration;

use super::Gateway;
use super::endpoint_table::EndpointProcess;
use super::gossip::daemon_hash;
use super::peer_message::PeerProtocol;
use super::send_budget::{FULL_RATE_DAEMONS, MESSAGE_BYTES};
use crate::hash::digest64;
use crate::ids::DaemonId;
use crate::units::Timestamp;
use crate::{domain, domain_value};

pub(super) use process_speed::{ProcessSpeed, Sample};
pub(super) use time_sums::Estimates;
pub(super) use weights::Weighting;

/// Time between two messages in fleets of up to [`FULL_RATE_DAEMONS`]. Reclaimable endpoints may serve
/// for ten seconds only, so that their speeds have to be known within a few.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes that a daemon sends per second in fleets of up to [`FULL_RATE_DAEMONS`]; less in
/// proportion in larger ones.
const BYTES_PER_SECOND: f64 = 32_768.0;
/// Maximum number of processes in one message.
const MAX_PROCESSES: usize = 64;
/// Bytes of one process in a message.
const PROCESS_BYTES: f64 = 15.0;
/// Time without a call of the gateway after which the process was suspended.
const SUSPENSION: Duration = Duration::from_secs(3);
/// Time after a suspension in which messages may have waited in a socket for all of it.
const STALE_MESSAGES: Duration = Duration::from_secs(1);

domain_value! {
    /// Hash of a process of an endpoint, which keeps messages short.
    pub struct ProcessKey(pub u32);
}

domain! {
    /// Times of one daemon's calls to a process of an endpoint since its last message.
    #[derive(Copy, Eq)]
    pub struct ProcessTimes {
        /// Hash of the process.
        pub process: ProcessKey,
        /// Expected times by the prefill model, in microseconds.
        pub expected_us: u32,
        /// Measured times, in microseconds.
        pub measured_us: u32,
        /// Weight of the calls, in hundredths of a call with nothing queued before it.
        pub calls: u32,
    }
}

impl ProcessKey {
    /// Returns the key of a process.
    pub fn of(process: &EndpointProcess) -> Self {
        let id = process.id.as_str().as_bytes();
        Self(digest64(&[id, &process.started_at_ms.to_le_bytes()]) as u32)
    }
}

/// Message to several peers.
#[derive(Debug, Clone, PartialEq)]
pub struct SpeedBroadcast {
    /// Peers, with their addresses.
    pub peers: Vec<(DaemonId, SocketAddr)>,
    /// Times to send to each of them.
    pub times: Vec<ProcessTimes>,
}

/// When times are sent, and to which peers next.
#[derive(Debug, Default)]
pub(super) struct SpeedOutbox {
    sent_at: Timestamp,
    next_peer: usize,
    called_at: Option<Timestamp>,
    resumed_at: Option<Timestamp>,
}

impl SpeedOutbox {
    /// Notices that the process was suspended.
    fn on_called(&mut self, now: Timestamp) {
        let last = self.called_at.replace(now);
        if last.is_some_and(|last| now.since(last) > SUSPENSION) {
            self.resumed_at = Some(now);
        }
    }

    fn takes_messages(&self, now: Timestamp) -> bool {
        self.resumed_at
            .is_none_or(|at| now.since(at) > STALE_MESSAGES)
    }
}

impl Gateway {
    /// Records the times of a peer's calls.
    pub fn on_endpoint_speeds(&mut self, now: Timestamp, times: &[ProcessTimes]) {
        self.speed_outbox.on_called(now);
        if self.speed_outbox.takes_messages(now) {
            self.load_balancer.on_peer_times(now, times);
        }
    }

    /// Returns the times of this daemon's calls that are due, and the peers to send them to. In a
    /// fleet whose size leaves no bytes for all peers, they go to the next ones in turn.
    pub fn take_endpoint_speeds(&mut self, now: Timestamp) -> Option<SpeedBroadcast> {
        self.speed_outbox.on_called(now);
        let daemons = 1 + self.peer_table.len();
        let scale = (daemons as f64 / FULL_RATE_DAEMONS as f64).max(1.0);
        let interval = MESSAGE_INTERVAL.mul_f64(scale);
        if now.since(self.speed_outbox.sent_at) < interval {
            return None;
        }
        let mut peers: Vec<(DaemonId, SocketAddr)> = self
            .peer_table
            .reachable(now)
            .filter(|peer| peer.protocol >= PeerProtocol::SHARED_LOAD)
            .map(|peer| (peer.member.id.clone(), peer.member.peer_address))
            .collect();
        if peers.is_empty() {
            return None;
        }
        let times = self.load_balancer.take_times(now, MAX_PROCESSES);
        if times.is_empty() {
            return None;
        }
        let outbox = &mut self.speed_outbox;
        outbox.sent_at = now;
        let bytes = MESSAGE_BYTES + PROCESS_BYTES * times.len() as f64;
        let budget = BYTES_PER_SECOND / scale * interval.as_secs_f64();
        let affordable = (budget / bytes).max(1.0) as usize;
        // Daemons begin with different peers.
        let offset = daemon_hash(&self.own) as usize % peers.len();
        let first = (offset + outbox.next_peer) % peers.len();
        peers.rotate_left(first);
        peers.truncate(affordable);
        outbox.next_peer = outbox.next_peer.wrapping_add(peers.len());
        Some(SpeedBroadcast { peers, times })
    }
}
