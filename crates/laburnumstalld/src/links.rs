//! Links to the other daemons, adapted to the core.
//!
//! Links run on their own thread, and their events are translated to core events. Unsent
//! messages are not retried here, since the core resends what matters.

use std::net::SocketAddr;
use std::sync::Arc;

use laburnumstall_core::entry::{Event, LinkEvent};
use laburnumstall_core::ids::DaemonId;
use laburnumstall_core::membership::Member;
use laburnumstall_core::message::Message;
use laburnumstall_peer::{LostReason, PeerEndpoint, PeerEvent, Pins, SendFault, Traffic};
use tokio::sync::mpsc;

use crate::inbox::Inbox;

/// Capacity of the queue of link events; a full queue applies backpressure to the network.
pub const EVENT_QUEUE: usize = 4_096;

/// The links of one daemon.
#[derive(Clone)]
pub struct Links {
    endpoint: Arc<PeerEndpoint<Message>>,
    pins: Pins,
}

impl Links {
    /// Wraps an endpoint that accepts only the daemons in `pins`.
    pub fn new(endpoint: PeerEndpoint<Message>, pins: Pins) -> Self {
        Self {
            endpoint: Arc::new(endpoint),
            pins,
        }
    }

    /// Queues a message on its lane.
    ///
    /// # Errors
    ///
    /// Returns [`SendFault`] if the message was not queued.
    pub fn send(
        &self,
        to: &DaemonId,
        address: SocketAddr,
        message: Message,
    ) -> Result<(), SendFault> {
        let lane = message.lane();
        let sent = self.endpoint.send_on(lane, to, address, message);
        sent.map_err(|error| error.fault)
    }

    /// Returns the traffic of all links so far.
    pub fn traffic(&self) -> Traffic {
        self.endpoint.traffic()
    }

    /// Probes a daemon on a new connection.
    pub fn probe(&self, to: &DaemonId, address: SocketAddr) {
        self.endpoint.probe(to, address);
    }

    /// Drops the connection to a daemon; the next message opens a new one.
    pub fn replace(&self, to: &DaemonId) {
        // Without a free local port the old connection stays; the next probe retries.
        let _ = self.endpoint.replace(to);
    }

    /// Accepts only the given members from now on.
    pub fn pin<'a>(&self, members: impl Iterator<Item = &'a Member>) {
        let pins = members.map(|member| (member.certificate, member.id.clone()));
        self.pins.set(pins);
    }

    /// Flushes and closes the links unless another clone exists.
    pub async fn close(self) {
        if let Some(endpoint) = Arc::into_inner(self.endpoint) {
            endpoint.close().await;
        }
    }
}

/// Forwards link events to the core until the links are closed.
pub async fn forward(mut rx: mpsc::Receiver<PeerEvent<Message>>, inbox: Inbox) {
    while let Some(event) = rx.recv().await {
        if let Some(event) = to_core_event(event) {
            inbox.event(event);
        }
    }
}

fn to_core_event(event: PeerEvent<Message>) -> Option<Event> {
    match event {
        PeerEvent::Message { from, message } => Some(Event::Peer {
            from,
            message: Box::new(message),
        }),
        PeerEvent::Lost { to, reason, .. } => {
            to_link_event(reason).map(|event| Event::Link { daemon: to, event })
        }
        PeerEvent::Probed { to, alive, refused } => {
            let event = match (alive, refused) {
                (true, _) => LinkEvent::ProbeAnswered,
                (false, true) => LinkEvent::Refused,
                (false, false) => LinkEvent::ProbeSilent,
            };
            Some(Event::Link { daemon: to, event })
        }
        PeerEvent::Connected { .. } | PeerEvent::BadFrame { .. } => None,
    }
}

fn to_link_event(reason: LostReason) -> Option<LinkEvent> {
    match reason {
        LostReason::Refused | LostReason::Reset => Some(LinkEvent::Refused),
        LostReason::TimedOut => Some(LinkEvent::Silent),
        LostReason::Closed | LostReason::BadPeer => None,
    }
}
