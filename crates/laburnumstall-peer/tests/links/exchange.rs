//! Two daemons exchange messages on both lanes.

use laburnumstall_peer::{Lane, PeerEvent, SendFault};

use crate::node::{Message, Node};

#[tokio::test]
async fn both_directions_arrive_in_order() {
    let (mut a, mut b) = Node::pair();
    for number in 0..1_000 {
        a.send(&b, number);
        b.send(&a, number);
    }
    // Both are read at the same time: a daemon whose events are not taken does not send.
    tokio::join!(numbers(&mut a), numbers(&mut b));
}

async fn numbers(node: &mut Node) {
    for number in 0..1_000 {
        assert_eq!(node.message().await, Message::Number(number));
    }
}

#[tokio::test]
async fn the_sender_is_named_by_its_certificate() {
    let (mut a, mut b) = Node::pair();
    a.send(&b, 7);
    let expected = PeerEvent::Message {
        from: a.daemon.clone(),
        message: Message::Number(7),
    };
    assert_eq!(b.event().await, expected);
    let to = b.daemon.clone();
    assert_eq!(a.event().await, PeerEvent::Connected { to });
}

/// A reader that stops in the middle of bulk data still gets control messages: each lane
/// has a stream with a window of its own.
#[tokio::test]
async fn bulk_does_not_hold_up_control() {
    let (a, mut b) = Node::pair();
    let blob = Message::Blob(vec![7; 1 << 20]);
    for _ in 0..16 {
        a.endpoint
            .send_on(Lane::Bulk, &b.daemon, b.address(), blob.clone())
            .expect("room in the queue");
    }
    a.send(&b, 1);
    let mut blobs_before = 0;
    while b.message().await == blob {
        blobs_before += 1;
    }
    assert!(blobs_before < 16, "the control message came last");
    for _ in blobs_before..16 {
        assert_eq!(b.message().await, blob);
    }
}

#[tokio::test]
async fn a_full_queue_and_a_large_message_are_given_back() {
    let (a, b) = Node::pair();
    let large = Message::Blob(vec![0; 5 << 20]);
    let error = a.endpoint.send(&b.daemon, b.address(), large.clone());
    let error = error.expect_err("a message above the limit");
    assert_eq!((error.fault, error.message), (SendFault::TooLarge, large));

    let blob = Message::Blob(vec![0; 1 << 20]);
    let faults: Vec<_> = (0..12)
        .filter_map(|_| {
            a.endpoint
                .send(&b.daemon, b.address(), blob.clone())
                .err()
                .map(|error| error.fault)
        })
        .collect();
    assert!(!faults.is_empty());
    assert!(faults.iter().all(|fault| *fault == SendFault::QueueFull));
}
