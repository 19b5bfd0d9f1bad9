//! Links that fall silent, and ones that only seem to.

use std::time::Duration;

use laburnumstall_peer::{LostReason, PeerEvent, PeerTimeouts};

use crate::node::{Message, Node};
use crate::relay::Relay;

/// Fails without the last comparison in `liveness::answered`.
#[tokio::test]
async fn a_cut_connection_is_found_and_replaced() {
    let timeouts = PeerTimeouts {
        // The transport's own timeout, which follows this one, must not find the cut.
        unused: Duration::from_secs(600),
        ..PeerTimeouts::default()
    };
    let (mut a, mut b) = Node::pair_with(timeouts);
    let relay = Relay::start(b.address()).await;
    let to = b.daemon.clone();
    let send = |a: &Node, number| {
        a.endpoint
            .send(&to, relay.address, Message::Number(number))
            .expect("room in the queue");
    };
    send(&a, 1);
    assert_eq!(b.message().await, Message::Number(1));
    relay.cut();
    send(&a, 2);
    a.endpoint.probe(&to, relay.address);
    let (mut is_alive, mut reason) = (None, None);
    while is_alive.is_none() || reason.is_none() {
        match a.event().await {
            PeerEvent::Probed { alive, .. } => is_alive = Some(alive),
            PeerEvent::Lost { reason: lost, .. } => reason = Some(lost),
            _ => {}
        }
    }
    assert_eq!((is_alive, reason), (Some(true), Some(LostReason::TimedOut)));
    a.endpoint.replace(&to).expect("a new port");
    send(&a, 3);
    assert_eq!(b.message().await, Message::Number(3));
}

/// A reader that stops makes the stream wait, but the connection still answers. Fails
/// without the ping in `liveness::answered`.
#[tokio::test]
async fn a_stalled_reader_is_not_silent() {
    let timeouts = PeerTimeouts::default();
    let (mut a, mut b) = Node::pair_with(timeouts);
    let blob = Message::Blob(vec![7; 1 << 14]);
    for _ in 0..480 {
        a.endpoint
            .send(&b.daemon, b.address(), blob.clone())
            .expect("room in the queue");
    }
    let to = b.daemon.clone();
    assert_eq!(a.event().await, PeerEvent::Connected { to });
    // Several times the silence after which a link counts as lost.
    tokio::time::sleep(timeouts.silence * 5).await;
    for _ in 0..480 {
        assert_eq!(b.message().await, blob);
    }
    assert!(a.rx.try_recv().is_err(), "the link was lost");
}

/// A connection that is cut in the middle of a large write is found as well, though it had
/// answered the beginning. Fails without the loop in `liveness::taken`.
#[tokio::test]
async fn a_cut_within_a_large_write_is_found() {
    let timeouts = PeerTimeouts {
        unused: Duration::from_secs(600),
        ..PeerTimeouts::default()
    };
    let (mut a, mut b) = Node::pair_with(timeouts);
    let relay = Relay::start(b.address()).await;
    let blob = Message::Blob(vec![7; 3 << 20]);
    for _ in 0..2 {
        a.endpoint
            .send(&b.daemon, relay.address, blob.clone())
            .expect("room in the queue");
    }
    assert_eq!(b.message().await, blob);
    relay.cut();
    assert_eq!(a.lost().await.0, LostReason::TimedOut);
}

/// A link is closed when unused, without an event, and made again by the next message.
#[tokio::test]
async fn an_unused_link_is_closed_quietly() {
    let timeouts = PeerTimeouts {
        unused: Duration::from_millis(50),
        ..PeerTimeouts::default()
    };
    let (mut a, mut b) = Node::pair_with(timeouts);
    let to = b.daemon.clone();
    for number in 0..3 {
        a.send(&b, number);
        assert_eq!(b.message().await, Message::Number(number));
        assert_eq!(a.event().await, PeerEvent::Connected { to: to.clone() });
        while a.endpoint.traffic().connections > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    assert!(a.rx.try_recv().is_err(), "an event was reported");
}
