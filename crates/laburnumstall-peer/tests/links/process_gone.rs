//! A process that is gone is told apart from one that is silent.

use std::net::UdpSocket;

use laburnumstall_peer::{LostReason, PeerEvent};
use tokio::runtime::Builder;
use tokio::sync::oneshot;

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
    let closed = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let closed_address = closed.local_addr().expect("an address");
    // Datagrams from others are refused, while no other socket gets the port.
    closed.connect(closed_address).expect("an own address");
    let cases = [
        (b.address(), true, false),
        (silent_address, false, false),
        (closed_address, false, true),
    ];
    for (address, alive, refused) in cases {
        let to = b.daemon.clone();
        a.endpoint.probe(&to, address);
        let expected = PeerEvent::Probed { to, alive, refused };
        assert_eq!(a.event().await, expected);
    }
}

/// A killed process closes nothing: its runtime is dropped with all its tasks, and only
/// then its socket. Fails without the knock in `liveness::answered`.
#[tokio::test]
async fn a_killed_process_refuses() {
    let mut a = Node::start("a", 1);
    let a_pin = a.pin();
    let (started_tx, started_rx) = oneshot::channel();
    let process = std::thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("a runtime");
        let mut b = runtime.block_on(async { Node::start("b", 1) });
        b.pins.set([a_pin]);
        started_tx.send((b.pin(), b.address())).expect("a listener");
        assert_eq!(runtime.block_on(b.message()), Message::Number(1));
        drop(runtime);
    });
    let (b_pin, address) = started_rx.await.expect("a started daemon");
    let to = b_pin.1.clone();
    a.pins.set([b_pin]);
    a.endpoint
        .send(&to, address, Message::Number(1))
        .expect("room in the queue");
    let ended = tokio::task::spawn_blocking(|| process.join()).await;
    ended.expect("a join").expect("a message received");

    a.endpoint
        .send(&to, address, Message::Number(2))
        .expect("room in the queue");
    assert_eq!(a.lost().await.0, LostReason::Refused);
}
