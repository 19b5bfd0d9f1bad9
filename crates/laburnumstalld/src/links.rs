//! Links to the other daemons, as the core sees them.
//!
//! The links run on a thread of their own. Their events become events of the core; what
//! was certainly not sent is not sent again here, since the core repeats what matters.

use std::net::SocketAddr;
use std::sync::Arc;

use laburnumstall_core::entry::{Event, LinkEvent};
use laburnumstall_core::ids::DaemonId;
use laburnumstall_core::membership::Member;
use laburnumstall_core::message::Message;
use laburnumstall_peer::{LostReason, PeerEndpoint, PeerEvent, Pins, SendFault, Traffic};
use tokio::sync::mpsc;

use crate::inbox::Inbox;

/// Events of links that wait for the control thread before the network is held back.
pub const EVENT_QUEUE: usize = 4_096;

/// The links of one daemon.
#[derive(Clone)]
pub struct Links {
    endpoint: Arc<PeerEndpoint<Message>>,
    pins: Pins,
}

impl Links {
    /// Wraps an endpoint that accepts the daemons in `pins`.
    pub fn new(endpoint: PeerEndpoint<Message>, pins: Pins) -> Self {
        Self {
            endpoint: Arc::new(endpoint),
            pins,
        }
    }

    /// Sends a message on the lane that it takes.
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

    /// Returns what the links carried so far.
    pub fn traffic(&self) -> Traffic {
        self.endpoint.traffic()
    }

    /// Asks a daemon for a sign of life on a new connection.
    pub fn probe(&self, to: &DaemonId, address: SocketAddr) {
        self.endpoint.probe(to, address);
    }

    /// Drops the connection to a daemon; the next message connects anew.
    pub fn replace(&self, to: &DaemonId) {
        // Without a free local port the old connection stays, and the next probe repeats this.
        let _ = self.endpoint.replace(to);
    }

    /// Accepts exactly the given members from now on.
    pub fn pin<'a>(&self, members: impl Iterator<Item = &'a Member>) {
        let pins = members.map(|member| (member.certificate, member.id.clone()));
        self.pins.set(pins);
    }

    /// Flushes and closes the links, if no clone is left.
    pub async fn close(self) {
        if let Some(endpoint) = Arc::into_inner(self.endpoint) {
            endpoint.close().await;
        }
    }
}

/// Turns the events of links into events of the core until the links are closed.
pub async fn forward(mut rx: mpsc::Receiver<PeerEvent<Message>>, inbox: Inbox) {
    while let Some(event) = rx.recv().await {
        if let Some(event) = translate(event) {
            inbox.event(event);
        }
    }
}

fn translate(event: PeerEvent<Message>) -> Option<Event> {
    match event {
        PeerEvent::Message { from, message } => Some(Event::Peer {
            from,
            message: Box::new(message),
        }),
        PeerEvent::Lost { to, reason, .. } => {
            link_event(reason).map(|event| Event::Link { daemon: to, event })
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

fn link_event(reason: LostReason) -> Option<LinkEvent> {
    match reason {
        LostReason::Refused | LostReason::Reset => Some(LinkEvent::Refused),
        LostReason::TimedOut => Some(LinkEvent::Silent),
        LostReason::Closed | LostReason::BadPeer => None,
    }
}
