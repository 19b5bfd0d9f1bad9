//! Reconnecting never repeats, reorders or invents messages.

use std::collections::BTreeSet;

use laburnumstall_peer::PeerEvent;
use quickcheck::Gen;

use crate::node::{Message, Node};

const CASES: u64 = 20;
const BURSTS: u64 = 30;
const LAST: u64 = u64::MAX;

/// Sends bursts and replaces the connection between some of them; the numbers that were
/// given back as undelivered are collected.
async fn send_bursts(a: &mut Node, b: &Node, seed: u64) -> BTreeSet<u64> {
    let mut gen_ = Gen::from_size_and_seed(64, seed);
    let mut next = 0;
    let mut lost = BTreeSet::new();
    for _ in 0..BURSTS {
        for _ in 0..*gen_.choose(&[1, 3, 40]).expect("a choice") {
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

/// Fails without `earlier.stop()` in `inbound::serve`: messages of the old connection then
/// arrive after newer ones. Fails if `Link::step` leaves a batch in the queue that it
/// gives out: a message then arrives and is given back as well.
#[tokio::test]
async fn replacing_connections_keeps_order() {
    for seed in 0..CASES {
        let (mut a, mut b) = Node::pair();
        let reader_rx = std::mem::replace(&mut b.rx, tokio::sync::mpsc::channel(1).1);
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

async fn read_to_last(mut rx: tokio::sync::mpsc::Receiver<PeerEvent<Message>>) -> Vec<u64> {
    let mut received = Vec::new();
    while received.last() != Some(&LAST) {
        if let PeerEvent::Message { message, .. } = rx.recv().await.expect("an event") {
            received.push(number(&message));
        }
    }
    received
}
