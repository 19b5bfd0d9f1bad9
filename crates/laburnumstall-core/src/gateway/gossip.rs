//! Gossip messages between daemons, and the table of known peers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::peer_message::PeerProtocol;
use super::quota::QuotaUsage;
use super::usage::UsageCount;
use super::view::ViewUpdate;
use crate::hash::{digest64, rendezvous_weight};
use crate::ids::{DaemonId, ServiceName};
use crate::membership::Member;
use crate::units::Timestamp;
use crate::{domain, domain_value};

/// Time between two gossip messages to each peer, in fleets of up to 32 daemons.
pub const GOSSIP_PERIOD: Duration = Duration::from_millis(250);

/// Fleet size up to which messages are sent every [`GOSSIP_PERIOD`]. Above it the period grows
/// with the fleet, so that each daemon sends and receives as many messages as at this size.
const FULL_RATE_DAEMONS: usize = 32;

/// Time without gossip after which callers are no longer sent to a daemon: several periods,
/// to allow for a lost datagram and its retransmission.
const PEER_TIMEOUT: Duration = Duration::from_millis(900);

/// Time without gossip after which an unregistered daemon is removed.
const PEER_EXPIRY: Duration = Duration::from_secs(6);

domain_value! {
    /// Hash of an endpoint's identifier, which keeps gossip messages short.
    pub struct EndpointKey(pub u32);
}

domain! {
    /// In-flight work of one daemon on one endpoint.
    #[derive(Copy, Eq)]
    pub struct EndpointLoad {
        /// Hash of the endpoint's identifier.
        pub endpoint: EndpointKey,
        /// Prefill time of the prompts that have no first token yet, in microseconds.
        #[serde(rename = "reading_us")]
        pub prefill_us: u32,
        /// Calls that are running or queued.
        pub calls: u32,
    }

    /// Work that callers have requested from a service since the daemon's process started.
    #[derive(Eq)]
    pub struct ServiceDemand {
        /// Name of the service.
        pub service: ServiceName,
        /// Prefill time of all prompts in milliseconds, assuming that their shared parts are
        /// cached.
        #[serde(rename = "reading_ms")]
        pub prefill_ms: u64,
    }

    /// Gossip message, sent to each peer every [`PeerTable::gossip_period`].
    pub struct GossipMessage {
        /// Sequence number; increases within a process.
        pub sequence: u64,
        /// Whether the sender accepts callers.
        pub is_ready: bool,
        /// In-flight work by endpoint.
        pub loads: Vec<EndpointLoad>,
        /// Quota units admitted, by customer.
        #[serde(rename = "spent")]
        pub quota_usage: Vec<QuotaUsage>,
        /// Started requests by window and customer.
        #[serde(rename = "begun")]
        pub started_requests: Vec<UsageCount>,
        /// Work requested, by service.
        pub demand: Vec<ServiceDemand>,
        /// State of the sender's view of the key-value store; differs by recipient.
        pub view: ViewUpdate,
    }
}

/// State of another daemon.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Identity and addresses, as registered.
    pub member: Member,
    /// Whether it is registered in the key-value store.
    pub is_registered: bool,
    /// Whether it decodes the variants of [`PeerMessage`](super::PeerMessage) up to the answer to a
    /// lookup.
    pub supports_extensions: bool,
    /// Whether it decodes quarantine updates.
    pub supports_quarantine: bool,
    /// Newest protocol of later messages that it decodes.
    pub protocol: PeerProtocol,
    /// When the last gossip message was received.
    pub last_gossip_at: Option<Timestamp>,
    /// When it was added to the table.
    added_at: Timestamp,
    /// Newest gossip message.
    pub last_message: Option<GossipMessage>,
    /// Sequence number of the newest message when the last store read was sent.
    pending_sequence: u64,
    /// Sequence number of the newest message when the last successful store read was sent.
    confirmed_sequence: u64,
}

domain! {
    /// Registration of a daemon.
    pub struct MemberRecord {
        /// The daemon.
        pub member: Member,
        /// Whether it decodes messages about the origins of streams, and marks services with
        /// several versions.
        pub supports_extensions: bool,
        /// Whether it decodes quarantine updates.
        pub supports_quarantine: bool,
        /// Newest protocol of later messages that it decodes.
        pub protocol: PeerProtocol,
    }
}

/// Known daemons other than this one.
#[derive(Debug, Clone, Default)]
pub struct PeerTable {
    peers: BTreeMap<DaemonId, Peer>,
}

impl PeerTable {
    /// Returns all peers.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Adds or updates a registered daemon; returns the older processes of the same VM that
    /// it replaces.
    pub fn on_registered(&mut self, now: Timestamp, member: Member) -> Vec<DaemonId> {
        let is_older =
            |id: &DaemonId| id.vm == member.id.vm && id.incarnation < member.id.incarnation;
        let replaced: Vec<DaemonId> = self
            .peers
            .keys()
            .filter(|id| is_older(id))
            .cloned()
            .collect();
        for id in &replaced {
            self.peers.remove(id);
        }
        let peer = self.peers.entry(member.id.clone()).or_insert_with(|| Peer {
            member: member.clone(),
            is_registered: true,
            supports_extensions: false,
            supports_quarantine: false,
            protocol: PeerProtocol::default(),
            last_gossip_at: None,
            added_at: now,
            last_message: None,
            pending_sequence: 0,
            confirmed_sequence: 0,
        });
        peer.member = member;
        peer.is_registered = true;
        replaced
    }

    /// Records whether a daemon decodes all variants of [`PeerMessage`](super::PeerMessage).
    pub(super) fn set_extension_support(&mut self, id: &DaemonId, is_supported: bool) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.supports_extensions = is_supported;
        }
    }

    /// Records whether a daemon decodes quarantine updates.
    pub(super) fn set_quarantine_support(&mut self, id: &DaemonId, is_supported: bool) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.supports_quarantine = is_supported;
        }
    }

    /// Records the newest protocol that a daemon decodes.
    pub(super) fn set_protocol(&mut self, id: &DaemonId, protocol: PeerProtocol) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.protocol = protocol;
        }
    }

    /// Returns the newest protocol that a daemon decodes.
    pub(super) fn protocol(&self, id: &DaemonId) -> PeerProtocol {
        self.peers
            .get(id)
            .map_or(PeerProtocol::default(), |peer| peer.protocol)
    }

    /// Returns whether a daemon decodes all variants of [`PeerMessage`](super::PeerMessage).
    pub(super) fn supports_extensions(&self, id: &DaemonId) -> bool {
        self.peers
            .get(id)
            .is_some_and(|peer| peer.supports_extensions)
    }

    /// Records that a daemon is no longer registered.
    pub fn on_unregistered(&mut self, id: &DaemonId) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.is_registered = false;
        }
    }

    /// Records a gossip message; returns whether it is the newest from its sender.
    pub fn on_gossip(&mut self, now: Timestamp, from: &DaemonId, message: GossipMessage) -> bool {
        let Some(peer) = self.peers.get_mut(from) else {
            return false;
        };
        peer.last_gossip_at = Some(now);
        let is_newer = peer
            .last_message
            .as_ref()
            .is_none_or(|known| known.sequence < message.sequence);
        if is_newer {
            peer.last_message = Some(message);
        }
        is_newer
    }

    /// Removes unregistered daemons whose gossip has expired; returns them.
    pub fn remove_expired(&mut self, now: Timestamp) -> Vec<DaemonId> {
        let is_expired = |peer: &Peer| {
            let last = peer.last_gossip_at.unwrap_or(peer.added_at);
            !peer.is_registered && now.since(last) > PEER_EXPIRY
        };
        let expired: Vec<DaemonId> = self
            .peers
            .values()
            .filter(|peer| is_expired(peer))
            .map(|peer| peer.member.id.clone())
            .collect();
        for id in &expired {
            self.peers.remove(id);
        }
        expired
    }

    /// Returns the peers that sent gossip within the timeout.
    pub fn reachable(&self, now: Timestamp) -> impl Iterator<Item = &Peer> {
        let timeout = self.timeout();
        self.peers
            .values()
            .filter(move |peer| peer.is_reachable(now, timeout))
    }

    /// Returns the peers that callers may be sent to.
    pub fn ready(&self, now: Timestamp) -> impl Iterator<Item = &Peer> {
        let timeout = self.timeout();
        self.peers
            .values()
            .filter(move |peer| peer.is_ready(now, timeout))
    }

    /// Returns the time between two gossip messages at the current fleet size.
    pub fn gossip_period(&self) -> Duration {
        self.scale_to_fleet(GOSSIP_PERIOD)
    }

    fn timeout(&self) -> Duration {
        self.scale_to_fleet(PEER_TIMEOUT)
    }

    fn scale_to_fleet(&self, time: Duration) -> Duration {
        let daemons = 1 + self.peers.len();
        time.mul_f64((daemons as f64 / FULL_RATE_DAEMONS as f64).max(1.0))
    }

    /// Records the sequence number of each peer's newest message when a store read is sent.
    pub(super) fn on_store_read_sent(&mut self) {
        for peer in self.peers.values_mut() {
            peer.pending_sequence = peer
                .last_message
                .as_ref()
                .map_or(0, |message| message.sequence);
        }
    }

    /// Records that the store read sent last has succeeded.
    pub(super) fn on_store_read(&mut self) {
        for peer in self.peers.values_mut() {
            peer.confirmed_sequence = peer.pending_sequence;
        }
    }

    /// Records that the store came back from a copy; earlier reads confirm nothing.
    pub(super) fn on_store_restored(&mut self) {
        for peer in self.peers.values_mut() {
            peer.pending_sequence = 0;
            peer.confirmed_sequence = 0;
        }
    }

    /// Returns the sequence number of a peer's newest message when the last successful store
    /// read was sent.
    pub(super) fn echo(&self, id: &DaemonId) -> u64 {
        self.peers.get(id).map_or(0, |peer| peer.confirmed_sequence)
    }

    /// Returns the number of known peers.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }
}

impl Peer {
    fn is_reachable(&self, now: Timestamp, timeout: Duration) -> bool {
        self.last_gossip_at
            .is_some_and(|at| now.since(at) < timeout)
    }

    fn is_ready(&self, now: Timestamp, timeout: Duration) -> bool {
        match &self.last_message {
            Some(message) => self.is_reachable(now, timeout) && message.is_ready,
            // A daemon registers when it is ready; its first message may still be in flight.
            None => {
                let is_new = now.since(self.added_at) < timeout;
                self.is_registered && !self.member.leaving && is_new
            }
        }
    }
}

/// Returns the `count` peers that rank first for a key.
pub(super) fn rank_peers<'a>(
    peers: impl Iterator<Item = &'a Peer>,
    key: u64,
    count: usize,
) -> Vec<(DaemonId, SocketAddr)> {
    let mut ranked: Vec<(Reverse<u64>, &Peer)> = peers
        .map(|peer| {
            let weight = rendezvous_weight(key, daemon_hash(&peer.member.id));
            (Reverse(weight), peer)
        })
        .collect();
    ranked.sort_unstable_by_key(|(weight, _)| *weight);
    ranked
        .into_iter()
        .take(count)
        .map(|(_, peer)| (peer.member.id.clone(), peer.member.peer_address))
        .collect()
}

/// Hash of a daemon for rendezvous hashing; a restarted process ranks as before.
pub(super) fn daemon_hash(id: &DaemonId) -> u64 {
    digest64(&[id.vm.as_str().as_bytes()])
}
