//! Reconnecting never repeats, reorders or invents messages.

use std::collections::BTreeSet;

use laburnumstall_peer::PeerEvent;
use quickcheck::Gen;
use tokio::sync::mpsc;

use crate::node::{Message, Node};

const CASES: u64 = 20;
const BURSTS: u64 = 30;
const LAST: u64 = u64::MAX;

const YIELDS_PER_MESSAGE: u64 = 8;

/// Length, variant and one byte of a number.
const SMALLEST_FRAME_BYTES: u64 = 6;

/// Sends bursts and replaces the connection between some of them; the numbers that were
/// given back as undelivered are collected.
async fn send_bursts(a: &mut Node, b: &Node, seed: u64) -> BTreeSet<u64> {
    let mut gen_ = Gen::from_size_and_seed(64, seed);
    let mut next = 0;
    let mut lost = BTreeSet::new();
    for _ in 0..BURSTS {
        for _ in 0..*gen_.choose(&[1, 40, 400]).expect("a choice") {
            a.send(b, next);
            next += 1;
        }
        for _ in 0..*gen_.choose(&[0, 1, 5, 50]).expect("a choice") {
            tokio::task::yield_now().await;
        }
        if *gen_.choose(&[true, false]).expect("a choice") {
            a.endpoint.replace(&b.daemon).expect("a new port");
        }
        while let Ok(event) = a.rx.try_recv() {
            collect(event, &mut lost);
        }
    }
    lost
}

fn collect(event: PeerEvent<Message>, lost: &mut BTreeSet<u64>) {
    if let PeerEvent::Lost { undelivered, .. } = event {
        lost.extend(undelivered.iter().map(number));
    }
}

fn number(message: &Message) -> u64 {
    match message {
        Message::Number(number) => *number,
        Message::Blob(_) => panic!("no blob was sent"),
    }
}

/// The receiver holds back a connection's messages when another takes its place. Fails
/// without `earlier.stop()` in `inbound::serve`: the old messages then follow newer ones.
#[tokio::test]
async fn held_back_messages_never_follow_newer_ones() {
    let (mut a, mut b) = Node::pair();
    let count = 2_000;
    for number in 0..count {
        a.send(&b, number);
    }
    while b.endpoint.traffic().payload_received < count * SMALLEST_FRAME_BYTES {
        tokio::task::yield_now().await;
    }
    a.endpoint.replace(&b.daemon).expect("a new port");
    a.send(&b, count);
    a.send(&b, count + 1);
    a.send(&b, LAST);
    let mut connected = 0;
    while connected < 2 {
        connected += u64::from(matches!(a.event().await, PeerEvent::Connected { .. }));
    }
    let rx = std::mem::replace(&mut b.rx, mpsc::channel(1).1);
    let received = read_to_last(rx).await;
    assert!(received.is_sorted_by(|x, y| x < y), "{received:?}");
    assert!(received.ends_with(&[count, count + 1, LAST]));
}

/// Also fails without `earlier.stop()` in `inbound::serve`.
#[tokio::test]
async fn replacing_connections_keeps_order() {
    for seed in 0..CASES {
        let (mut a, mut b) = Node::pair();
        let reader_rx = std::mem::replace(&mut b.rx, mpsc::channel(1).1);
        let reader = tokio::spawn(read_to_last(reader_rx));
        let mut lost = send_bursts(&mut a, &b, seed).await;
        a.send(&b, LAST);
        let received = reader.await.expect("a reader that ends");
        while let Ok(event) = a.rx.try_recv() {
            collect(event, &mut lost);
        }
        assert!(received.is_sorted_by(|x, y| x < y), "seed {seed}");
        let returned: Vec<_> = received.iter().filter(|n| lost.contains(n)).collect();
        assert!(returned.is_empty(), "seed {seed}: {returned:?} arrived");
    }
}

async fn read_to_last(mut rx: mpsc::Receiver<PeerEvent<Message>>) -> Vec<u64> {
    let mut received = Vec::new();
    while received.last() != Some(&LAST) {
        if let PeerEvent::Message { message, .. } = rx.recv().await.expect("an event") {
            received.push(number(&message));
        }
        // A slow reader leaves messages of the old connection waiting.
        for _ in 0..YIELDS_PER_MESSAGE {
            tokio::task::yield_now().await;
        }
    }
    received
}
