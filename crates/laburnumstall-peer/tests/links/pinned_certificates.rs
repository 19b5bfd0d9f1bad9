//! Only the daemons of the registry are accepted, on both sides.

use laburnumstall_peer::{LostReason, PeerEvent};

use crate::node::{Message, Node};

/// Fails without the fingerprint check of the accepting side, in `tls.rs`.
#[tokio::test]
async fn an_unknown_caller_is_refused() {
    let (mut a, mut b) = Node::pair();
    b.pins.set([]);
    a.send(&b, 1);
    let (reason, undelivered) = a.lost().await;
    assert_eq!(reason, LostReason::BadPeer);
    assert_eq!(undelivered, [Message::Number(1)]);
    assert!(b.rx.try_recv().is_err());
}

/// Fails without the fingerprint check of the connecting side, in `tls.rs`.
#[tokio::test]
async fn a_listener_with_another_certificate_is_refused() {
    let (mut a, mut b) = Node::pair();
    let other = Node::start("c", 1);
    a.pins
        .set([(other.endpoint.fingerprint(), b.daemon.clone())]);
    a.send(&b, 1);
    let (reason, undelivered) = a.lost().await;
    assert_eq!(reason, LostReason::Refused);
    assert_eq!(undelivered, [Message::Number(1)]);
    assert!(b.rx.try_recv().is_err());
}

/// A certificate that is pinned, but to another daemon, is not accepted either.
#[tokio::test]
async fn a_listener_that_is_another_daemon_is_refused() {
    let (mut a, mut b) = Node::pair();
    let other = Node::start("c", 1);
    a.pins.set([other.pin(), b.pin()]);
    let address = b.address();
    a.endpoint
        .send(&other.daemon, address, Message::Number(1))
        .expect("room in the queue");
    assert_eq!(a.lost().await.0, LostReason::Refused);
    assert!(b.rx.try_recv().is_err());
}

#[tokio::test]
async fn a_restart_at_the_same_address_is_another_daemon() {
    let (mut a, mut b) = Node::pair();
    a.send(&b, 1);
    assert_eq!(b.message().await, Message::Number(1));
    let address = b.address();
    let old = b.daemon.clone();
    b.endpoint.close().await;
    assert_eq!(a.lost().await.0, LostReason::Closed);

    let mut b = Node::restart_at(address, "b", 2).await;
    b.pins.set([a.pin()]);
    a.endpoint
        .send(&old, address, Message::Number(2))
        .expect("room in the queue");
    let (reason, undelivered) = a.lost().await;
    assert_eq!(reason, LostReason::Refused);
    assert_eq!(undelivered, [Message::Number(2)]);
    a.endpoint.probe(&old, address);
    let (alive, refused) = (false, true);
    let probed = PeerEvent::Probed {
        to: old.clone(),
        alive,
        refused,
    };
    assert_eq!(a.event().await, probed);

    a.pins.set([b.pin()]);
    a.send(&b, 3);
    assert_eq!(b.message().await, Message::Number(3));
}

/// Not knowing a daemon's certificate says nothing about the daemon. Fails without the
/// `has_daemon` condition in `session::reason_of_handshake`.
#[tokio::test]
async fn an_unknown_listener_is_not_gone() {
    let (mut a, b) = Node::pair();
    a.pins.set([]);
    a.send(&b, 1);
    assert_eq!(a.lost().await.0, LostReason::BadPeer);
}
