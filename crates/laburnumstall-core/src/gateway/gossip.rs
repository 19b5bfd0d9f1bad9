//! What the daemons tell each other, and which daemons there are.

use std::collections::BTreeMap;
use std::time::Duration;

use super::quota::QuotaUsage;
use super::usage::UsageCount;
use super::view::ViewUpdate;
use crate::ids::{DaemonId, ServiceName};
use crate::membership::Member;
use crate::units::Timestamp;
use crate::{domain, domain_value};

/// Time between two messages of news to each daemon, in fleets of up to 32 daemons.
pub const GOSSIP_PERIOD: Duration = Duration::from_millis(250);

/// Daemons up to which news go out each [`GOSSIP_PERIOD`]; above, the period grows with the
/// fleet, so that each daemon sends and receives as many messages as at this size.
const FULL_RATE_DAEMONS: usize = 32;

/// Time without news after which a daemon is not named to callers: some periods, so that
/// a lost datagram and its repetition fit in.
const PEER_TIMEOUT: Duration = Duration::from_millis(900);

/// Time without news after which a daemon that is no longer registered is forgotten.
const PEER_EXPIRY: Duration = Duration::from_secs(6);

domain_value! {
    /// Short name of an endpoint in news: a hash of its identifier.
    pub struct EndpointKey(pub u32);
}

domain! {
    /// Work that one daemon has under way on one endpoint.
    #[derive(Copy, Eq)]
    pub struct EndpointLoad {
        /// The endpoint.
        pub endpoint: EndpointKey,
        /// Time to read the prompts that have not given a token, in microseconds.
        #[serde(rename = "reading_us")]
        pub prefill_us: u32,
        /// Calls that run or wait.
        pub calls: u32,
    }

    /// Work that callers have asked a service for, since the daemon's process started.
    #[derive(Eq)]
    pub struct ServiceDemand {
        /// The service.
        pub service: ServiceName,
        /// Time to read the prompts with the shared parts cached, in milliseconds.
        #[serde(rename = "reading_ms")]
        pub prefill_ms: u64,
    }

    /// What one daemon tells the others, every [`PeerTable::gossip_period`].
    pub struct GossipMessage {
        /// Number of the message; a process counts up.
        pub sequence: u64,
        /// Whether callers may be sent there.
        pub is_ready: bool,
        /// Work under way by endpoint.
        pub loads: Vec<EndpointLoad>,
        /// Units of quotas let through.
        #[serde(rename = "spent")]
        pub quota_usage: Vec<QuotaUsage>,
        /// Requests begun by window.
        #[serde(rename = "begun")]
        pub started_requests: Vec<UsageCount>,
        /// Work asked for by service.
        pub demand: Vec<ServiceDemand>,
        /// What the key-value service showed; differs by the daemon that it is sent to.
        pub view: ViewUpdate,
    }
}

/// What is known of another daemon.
#[derive(Debug, Clone)]
pub struct Peer {
    /// How it is reached.
    pub member: Member,
    /// Whether its registration stands in the key-value service.
    pub is_registered: bool,
    /// When its last news came.
    pub last_gossip_at: Option<Timestamp>,
    /// When it was met.
    added_at: Timestamp,
    /// Its last news.
    pub last_message: Option<GossipMessage>,
    /// Its latest news when the last read of the key-value service was sent.
    pending_sequence: u64,
    /// Its latest news when the last good read was sent.
    confirmed_sequence: u64,
}

/// The daemons that there are, beside the own one.
#[derive(Debug, Clone, Default)]
pub struct PeerTable {
    peers: BTreeMap<DaemonId, Peer>,
}

impl PeerTable {
    /// Returns the peers.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Takes in that a daemon is registered; returns the processes of the same VM that it
    /// replaces.
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

    /// Takes in that a daemon's registration has ended.
    pub fn on_unregistered(&mut self, id: &DaemonId) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.is_registered = false;
        }
    }

    /// Takes in news; returns whether they are later than the known ones.
    pub fn on_gossip(&mut self, now: Timestamp, from: &DaemonId, message: GossipMessage) -> bool {
        let Some(peer) = self.peers.get_mut(from) else {
            return false;
        };
        peer.last_gossip_at = Some(now);
        let is_later = peer
            .last_message
            .as_ref()
            .is_none_or(|known| known.sequence < message.sequence);
        if is_later {
            peer.last_message = Some(message);
        }
        is_later
    }

    /// Forgets daemons that are neither registered nor heard; returns them.
    pub fn remove_expired(&mut self, now: Timestamp) -> Vec<DaemonId> {
        let is_gone = |peer: &Peer| {
            let last = peer.last_gossip_at.unwrap_or(peer.added_at);
            !peer.is_registered && now.since(last) > PEER_EXPIRY
        };
        let gone: Vec<DaemonId> = self
            .peers
            .values()
            .filter(|peer| is_gone(peer))
            .map(|peer| peer.member.id.clone())
            .collect();
        for id in &gone {
            self.peers.remove(id);
        }
        gone
    }

    /// Returns the daemons from which news came lately.
    pub fn reachable(&self, now: Timestamp) -> impl Iterator<Item = &Peer> {
        let timeout = self.timeout();
        self.peers
            .values()
            .filter(move |peer| peer.is_reachable(now, timeout))
    }

    /// Returns the daemons that callers may be sent to.
    pub fn ready(&self, now: Timestamp) -> impl Iterator<Item = &Peer> {
        let timeout = self.timeout();
        self.peers
            .values()
            .filter(move |peer| peer.is_ready(now, timeout))
    }

    /// Returns the time between two messages of news in a fleet of this size.
    pub fn gossip_period(&self) -> Duration {
        self.scaled(GOSSIP_PERIOD)
    }

    fn timeout(&self) -> Duration {
        self.scaled(PEER_TIMEOUT)
    }

    fn scaled(&self, time: Duration) -> Duration {
        let daemons = 1 + self.peers.len();
        time.mul_f64((daemons as f64 / FULL_RATE_DAEMONS as f64).max(1.0))
    }

    /// Marks which news of each daemon have come when a read of the key-value service is sent.
    pub(super) fn on_store_read_sent(&mut self) {
        for peer in self.peers.values_mut() {
            peer.pending_sequence = peer
                .last_message
                .as_ref()
                .map_or(0, |message| message.sequence);
        }
    }

    /// Takes in that the read which was marked has gone well.
    pub(super) fn on_store_read(&mut self) {
        for peer in self.peers.values_mut() {
            peer.confirmed_sequence = peer.pending_sequence;
        }
    }

    /// Returns the number of a daemon's latest news when the last good read was sent.
    pub(super) fn echo(&self, id: &DaemonId) -> u64 {
        self.peers.get(id).map_or(0, |peer| peer.confirmed_sequence)
    }

    /// Returns the number of daemons that are counted as there.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Tells whether no other daemon is known.
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
            // A daemon registers when it is ready; its first news are on their way.
            None => {
                let is_new = now.since(self.added_at) < timeout;
                self.is_registered && !self.member.leaving && is_new
            }
        }
    }
}
