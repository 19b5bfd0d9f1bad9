//! Sends gossip messages to peers and applies those received.

use std::collections::BTreeSet;
use std::rc::Rc;

use laburnumstall_core::gateway::{GOSSIP_PERIOD, Gateway, PeerMessage};
use laburnumstall_core::ids::DaemonId;
use laburnumstall_peer::{PeerEvent, Pins};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::admission;
use super::context::Context;
use super::log::Event;

/// Length of the queue of peer events; when it is full, the network applies backpressure.
pub(super) const EVENT_QUEUE_LEN: usize = 1_024;

/// Ticks the gateway at the same interval in fleets of any size.
pub(super) async fn tick(cx: Rc<Context>) {
    loop {
        sleep(GOSSIP_PERIOD).await;
        cx.with_gateway(Gateway::tick);
    }
}

/// Sends a gossip message to every known peer, once per gossip period.
pub(super) async fn send(cx: Rc<Context>, pins: Pins) {
    loop {
        let period = cx.with_gateway(|gateway, _| gateway.peer_table().gossip_period());
        sleep(period).await;
        let (gossip, members) = cx.with_gateway(|gateway, now| {
            let members: Vec<_> = gateway
                .peer_table()
                .peers()
                .map(|peer| peer.member.clone())
                .collect();
            (gateway.next_gossip(now), members)
        });
        pins.set(
            members
                .iter()
                .map(|member| (member.certificate, member.id.clone())),
        );
        for member in &members {
            let message = cx.with_gateway(|gateway, _| gateway.peer_gossip(&member.id, &gossip));
            cx.send_to_peer(&member.id, member.peer_address, message);
        }
        admission::send_customer_use(&cx);
    }
}

/// Applies messages from peers and logs changes of the links.
pub(super) async fn receive(cx: Rc<Context>, mut rx: mpsc::Receiver<PeerEvent<PeerMessage>>) {
    let mut lost = BTreeSet::new();
    while let Some(event) = rx.recv().await {
        match event {
            PeerEvent::Message { from, message } => apply(&cx, &from, message),
            PeerEvent::Connected { to } => {
                lost.remove(&to);
                cx.event(Event::new("link-up").with("daemon", &to));
            }
            // Every failed reconnection reports the loss again; only the first is logged.
            PeerEvent::Lost { to, reason, .. } if lost.insert(to.clone()) => {
                cx.event(
                    Event::new("link-lost")
                        .with("daemon", &to)
                        .with("cause", reason),
                );
            }
            PeerEvent::BadFrame { from, fault } => {
                cx.event(
                    Event::new("link-bad-frame")
                        .with("daemon", &from)
                        .with("cause", &fault),
                );
            }
            PeerEvent::Lost { .. } | PeerEvent::Probed { .. } => {}
        }
    }
}

fn apply(cx: &Context, from: &DaemonId, message: PeerMessage) {
    match message {
        PeerMessage::Gossip(message)
        | PeerMessage::VersionedGossip(message)
        | PeerMessage::EraGossip(message) => {
            cx.with_gateway(|gateway, now| gateway.on_gossip(now, from, message));
        }
        PeerMessage::Origins(groups) => {
            cx.with_gateway(|gateway, now| gateway.on_origins(now, groups));
        }
        PeerMessage::Lookup(query) => {
            let (reply, address) = cx.with_gateway(|gateway, now| {
                let reply = gateway.on_origin_query(now, &query);
                let mut peers = gateway.peer_table().peers();
                let peer = peers.find(|peer| peer.member.id == *from);
                (reply, peer.map(|peer| peer.member.peer_address))
            });
            if let Some(address) = address {
                cx.send_to_peer(from, address, PeerMessage::Answer(reply));
            }
        }
        PeerMessage::Answer(reply) => cx.lookups.on_reply(reply),
        PeerMessage::Notices(notices) => {
            cx.with_gateway(|gateway, now| gateway.on_peer_notices(now, notices));
        }
        PeerMessage::CustomerUse(report) => {
            cx.with_gateway(|gateway, now| gateway.on_customer_use(now, from, report));
        }
        PeerMessage::Quarantine(update) => {
            cx.with_gateway(|gateway, now| gateway.on_quarantine_update(now, update));
        }
    }
}
