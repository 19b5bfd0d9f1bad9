//! Closing an endpoint sends what is queued first.

use laburnumstall_peer::Lane;

use crate::node::{Message, Node};

/// Fails without the wait for the receipt in `session::finish`.
#[tokio::test]
async fn close_delivers_everything_queued() {
    let (a, mut b) = Node::pair();
    let blob = Message::Blob(vec![3; 200_000]);
    for number in 0..5_000 {
        a.send(&b, number);
    }
    for _ in 0..20 {
        a.endpoint
            .send_on(Lane::Bulk, &b.daemon, b.address(), blob.clone())
            .expect("room in the queue");
    }
    let receiver = tokio::spawn(async move {
        let mut numbers = Vec::new();
        let mut blobs = 0;
        while numbers.len() + blobs < 5_020 {
            match b.message().await {
                Message::Number(number) => numbers.push(number),
                Message::Blob(_) => blobs += 1,
            }
        }
        (numbers, blobs)
    });
    a.endpoint.close().await;
    let (numbers, blobs) = receiver.await.expect("a receiver that ends");
    assert_eq!(numbers, (0..5_000).collect::<Vec<_>>());
    assert_eq!(blobs, 20);
}

#[tokio::test]
async fn close_without_links_returns() {
    let (a, b) = Node::pair();
    a.endpoint.close().await;
    b.endpoint.close().await;
}
