//! Links to the other daemons: news go out, and come in.

use std::collections::BTreeSet;
use std::rc::Rc;

use laburnumstall_core::gateway::GossipMessage;
use laburnumstall_peer::{PeerEndpoint, PeerEvent, Pins};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::context::Context;
use super::log::Event;

/// Events that wait before the network is held back.
pub(super) const EVENT_QUEUE_LEN: usize = 1_024;

/// Sends news to all daemons that are known, every period.
pub(super) async fn send(cx: Rc<Context>, links: Rc<PeerEndpoint<GossipMessage>>, pins: Pins) {
    loop {
        let period = cx.with_gateway(|gateway, _| gateway.peer_table().gossip_period());
        sleep(period).await;
        let (gossip, members) = cx.with_gateway(|gateway, now| {
            gateway.tick(now);
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
            let message = cx.with_gateway(|gateway, _| gateway.gossip_for(&member.id, &gossip));
            let sent = links.send(&member.id, member.peer_address, message);
            if let Err(error) = sent {
                cx.event(
                    Event::new("news-not-sent")
                        .with("daemon", &member.id)
                        .with("cause", error.fault),
                );
            }
        }
    }
}

/// Takes in what the links report.
pub(super) async fn receive(cx: Rc<Context>, mut rx: mpsc::Receiver<PeerEvent<GossipMessage>>) {
    let mut lost = BTreeSet::new();
    while let Some(event) = rx.recv().await {
        match event {
            PeerEvent::Message { from, message } => {
                cx.with_gateway(|gateway, now| gateway.on_gossip(now, &from, message));
            }
            PeerEvent::Connected { to } => {
                lost.remove(&to);
                cx.event(Event::new("link-up").with("daemon", &to));
            }
            // Each try to connect is lost anew; the first one tells.
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
