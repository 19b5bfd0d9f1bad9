//! An endpoint with its events, as the tests use it.

use std::net::SocketAddr;
use std::time::Duration;

use laburnumstall_core::ids::{DaemonId, Incarnation};
use laburnumstall_peer::{
    CertificateFingerprint, Identity, LostReason, PeerEndpoint, PeerEvent, PeerTimeouts, Pins,
};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

/// Bound of every wait, far above what any needs.
const LIMIT: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    Number(u64),
    Blob(Vec<u8>),
}

/// A daemon of the tests.
pub(crate) struct Node {
    pub(crate) daemon: DaemonId,
    pub(crate) endpoint: PeerEndpoint<Message>,
    pub(crate) pins: Pins,
    pub(crate) rx: mpsc::Receiver<PeerEvent<Message>>,
}

pub(crate) fn daemon(vm: &str, incarnation: u64) -> DaemonId {
    DaemonId {
        vm: vm.parse().expect("a valid name"),
        incarnation: Incarnation(incarnation),
    }
}

impl Node {
    /// Starts a daemon that accepts nobody yet.
    pub(crate) fn start(vm: &str, incarnation: u64) -> Self {
        Self::start_at("127.0.0.1:0".parse().expect("an address"), vm, incarnation)
    }

    /// Starts a daemon at an address.
    pub(crate) fn start_at(address: SocketAddr, vm: &str, incarnation: u64) -> Self {
        Self::start_with(PeerTimeouts::default(), address, vm, incarnation)
    }

    /// Starts a daemon with its own timeouts.
    pub(crate) fn start_with(
        timeouts: PeerTimeouts,
        address: SocketAddr,
        vm: &str,
        incarnation: u64,
    ) -> Self {
        let daemon = daemon(vm, incarnation);
        let identity = Identity::generate(&daemon).expect("a certificate");
        let pins = Pins::default();
        let (tx, rx) = mpsc::channel(64);
        let endpoint =
            PeerEndpoint::bind(identity, address, pins.clone(), timeouts, tx).expect("a socket");
        Self {
            daemon,
            endpoint,
            pins,
            rx,
        }
    }

    /// Starts a daemon at an address that its predecessor may still be letting go.
    pub(crate) async fn restart_at(address: SocketAddr, vm: &str, incarnation: u64) -> Self {
        let free = async {
            while std::net::UdpSocket::bind(address).is_err() {
                tokio::task::yield_now().await;
            }
        };
        tokio::time::timeout(LIMIT, free)
            .await
            .expect("a free address");
        Self::start_at(address, vm, incarnation)
    }

    /// Starts two daemons that accept each other.
    pub(crate) fn pair() -> (Self, Self) {
        Self::pair_with(PeerTimeouts::default())
    }

    /// Starts two daemons with timeouts of their own that accept each other.
    pub(crate) fn pair_with(timeouts: PeerTimeouts) -> (Self, Self) {
        let local = "127.0.0.1:0".parse().expect("an address");
        let a = Self::start_with(timeouts, local, "a", 1);
        let b = Self::start_with(timeouts, local, "b", 1);
        a.pins.set([b.pin()]);
        b.pins.set([a.pin()]);
        (a, b)
    }

    pub(crate) fn pin(&self) -> (CertificateFingerprint, DaemonId) {
        (self.endpoint.fingerprint(), self.daemon.clone())
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.endpoint.local_address()
    }

    /// Queues a number for another daemon.
    pub(crate) fn send(&self, to: &Self, number: u64) {
        self.endpoint
            .send(&to.daemon, to.address(), Message::Number(number))
            .expect("room in the queue");
    }

    /// Waits for the next event.
    pub(crate) async fn event(&mut self) -> PeerEvent<Message> {
        tokio::time::timeout(LIMIT, self.rx.recv())
            .await
            .expect("an event in time")
            .expect("an open endpoint")
    }

    /// Waits for the next message.
    pub(crate) async fn message(&mut self) -> Message {
        loop {
            if let PeerEvent::Message { message, .. } = self.event().await {
                return message;
            }
        }
    }

    /// Waits for the next lost link and returns its reason and what was not sent.
    pub(crate) async fn lost(&mut self) -> (LostReason, Vec<Message>) {
        loop {
            if let PeerEvent::Lost {
                reason,
                undelivered,
                ..
            } = self.event().await
            {
                return (reason, undelivered);
            }
        }
    }
}
