//! A peer that sends something else than messages is cut off.

use laburnumstall_peer::frame::FrameError;
use laburnumstall_peer::{Identity, LostReason, PeerEndpoint, PeerEvent, PeerTimeouts, Pins};
use tokio::sync::mpsc;

use crate::node::{Node, daemon};

/// A daemon whose messages have another type.
fn stranger(node: &Node) -> (PeerEndpoint<[u64; 3]>, mpsc::Receiver<PeerEvent<[u64; 3]>>) {
    let identity = Identity::generate(&daemon("x", 1)).expect("a certificate");
    let pins = Pins::default();
    pins.set([node.pin()]);
    node.pins.set([(identity.fingerprint(), daemon("x", 1))]);
    let (tx, rx) = mpsc::channel(64);
    let address = "127.0.0.1:0".parse().expect("an address");
    let endpoint = PeerEndpoint::bind(identity, address, pins, PeerTimeouts::default(), tx);
    (endpoint.expect("a socket"), rx)
}

async fn send_strange(message: [u64; 3]) -> FrameError {
    let mut node = Node::start("a", 1);
    let (endpoint, mut rx) = stranger(&node);
    endpoint
        .send(&node.daemon, node.address(), message)
        .expect("room in the queue");
    let PeerEvent::BadFrame { from, fault } = node.event().await else {
        panic!("the frame was accepted");
    };
    assert_eq!(from, daemon("x", 1));
    loop {
        match rx.recv().await.expect("an event") {
            PeerEvent::Connected { .. } => {}
            PeerEvent::Lost {
                reason,
                unconfirmed,
                ..
            } => {
                assert_eq!((reason, unconfirmed), (LostReason::BadPeer, 1));
                return fault;
            }
            other => panic!("unexpected {other:?}"),
        }
    }
}

#[tokio::test]
async fn an_unknown_variant_is_malformed() {
    let fault = send_strange([9, 0, 0]).await;
    assert!(matches!(fault, FrameError::Malformed { bytes: 3, .. }));
}

#[tokio::test]
async fn bytes_after_the_message_are_refused() {
    let fault = send_strange([0, 5, 1]).await;
    assert_eq!(fault, FrameError::Trailing { bytes: 1 });
}
