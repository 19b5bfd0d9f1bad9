//! A process that is gone is told apart from one that is silent.

use std::net::UdpSocket;

use laburnumstall_peer::{LostReason, PeerEvent};

use crate::node::{Message, Node};

/// Fails without the connected socket in `probe::refused`.
#[tokio::test]
async fn an_address_without_a_listener_refuses() {
    let (mut a, b) = Node::pair();
    let address = b.address();
    b.endpoint.close().await;
    a.endpoint
        .send(&b.daemon, address, Message::Number(1))
        .expect("room in the queue");
    let (reason, undelivered) = a.lost().await;
    assert_eq!(reason, LostReason::Refused);
    assert_eq!(undelivered, [Message::Number(1)]);
}

#[tokio::test]
async fn a_silent_address_times_out() {
    let (mut a, b) = Node::pair();
    let silent = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let address = silent.local_addr().expect("an address");
    a.endpoint
        .send(&b.daemon, address, Message::Number(1))
        .expect("room in the queue");
    assert_eq!(a.lost().await.0, LostReason::TimedOut);
}

#[tokio::test]
async fn probes_tell_alive_silent_and_refused() {
    let (mut a, b) = Node::pair();
    let silent = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let silent = silent.local_addr().map(|address| (address, silent));
    let (silent_address, _socket) = silent.expect("an address");
    let closed = UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr());
    let cases = [
        (b.address(), true, false),
        (silent_address, false, false),
        (closed.expect("an address"), false, true),
    ];
    for (address, alive, refused) in cases {
        let to = b.daemon.clone();
        a.endpoint.probe(&to, address);
        let expected = PeerEvent::Probed { to, alive, refused };
        assert_eq!(a.event().await, expected);
    }
}
