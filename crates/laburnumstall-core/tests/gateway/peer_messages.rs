//! Messages between gateways of one build and of two.

use crate::stream_origins::{fleet, gossip, origin, start, two_versions, versioned};
use crate::support::{at, daemon};
use laburnumstall_core::gateway::{
    AttemptDigest, CustomerUse, EndpointRecord, GossipMessage, OriginAnswer, OriginGroup,
    OriginQuery, OriginReply, PeerMessage, ServiceUse, ViewBatch, ViewChange,
};
use laburnumstall_core::prelude::*;

/// Builds from before this message type decode gossip, and their gossip is decoded. Fails if
/// the encoding of gossip changes.
#[test]
fn gossip_bytes_are_those_of_older_builds() {
    let mut message = gossip(5);
    message.view.batches = vec![ViewBatch {
        from: StoreVersion(1),
        to: StoreVersion(2),
        changes: vec![
            ViewChange::Other,
            ViewChange::Endpoint(versioned("a", "v1")),
        ],
    }];
    let bytes = postcard::to_allocvec(&message).unwrap();
    let sent = PeerMessage::Gossip(message.clone());
    assert_eq!(postcard::to_allocvec(&sent).unwrap(), bytes);
    let old: GossipMessage = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(
        postcard::from_bytes::<PeerMessage>(&bytes),
        Ok(PeerMessage::Gossip(old))
    );
    let record = postcard::to_allocvec(&versioned("a", "v1")).unwrap();
    let service = b"\x05model\0\x0a\x01\0\x61\x90\x3f\x07north-a";
    let layout = [&b"\x01a"[..], service, b"\x40\0\0\x01"].concat();
    assert_eq!(record, layout);
}

/// All other messages begin with the sequence number that no gossip message has.
#[test]
fn extension_messages_are_decoded() {
    let mut message = gossip(5);
    message.view.batches = vec![ViewBatch {
        from: StoreVersion(1),
        to: StoreVersion(2),
        changes: vec![
            ViewChange::Endpoint(versioned("a", "v1")),
            ViewChange::EndpointRemoved("b".parse().unwrap()),
            ViewChange::Endpoint(versioned("c", "v1.1")),
        ],
    }];
    let attempt = AttemptDigest::of("call-1");
    let group = OriginGroup {
        origin: origin("v1"),
        streams: vec![(attempt, 30), (AttemptDigest(u64::MAX), 1)],
    };
    let answers = [OriginAnswer::Known(origin("v1")), OriginAnswer::Unknown];
    let answers = answers.map(|answer| PeerMessage::Answer(OriginReply { id: 7, answer }));
    let messages = [
        PeerMessage::VersionedGossip(message),
        PeerMessage::Origins(vec![group.clone()]),
        PeerMessage::CustomerUse(vec![ServiceUse {
            service: "model".parse().unwrap(),
            customers: vec![CustomerUse {
                customer: "archive".parse().unwrap(),
                asked_us: u32::MAX,
                used_us: 1,
            }],
        }]),
        PeerMessage::Lookup(OriginQuery {
            id: 7,
            attempt,
            service: "model".parse().unwrap(),
        }),
    ];
    for message in messages.into_iter().chain(answers) {
        let bytes = postcard::to_allocvec(&message).unwrap();
        assert_eq!(bytes[0], 0);
        assert_eq!(postcard::from_bytes(&bytes), Ok(message));
    }
    let origins = PeerMessage::Origins(vec![group]);
    let bytes = postcard::to_allocvec(&origins).unwrap();
    assert_eq!(bytes.len(), 1 + 1 + 1 + 6 + 3 + 1 + 2 * 9);
}

/// A peer that does not announce it gets no message that it cannot decode.
#[test]
fn old_peers_get_old_messages() {
    let mut gateway = fleet(&two_versions());
    gateway.set_extension_support(&daemon(2), false);
    let change = ViewChange::Endpoint(versioned("f", "v1"));
    gateway.on_read(at(50), at(40), StoreVersion(9), vec![change]);
    let message = gateway.next_gossip(at(60));
    let is_old = |number| {
        let sent = gateway.peer_gossip(&daemon(number), &message);
        matches!(sent, PeerMessage::Gossip(_))
    };
    assert!(is_old(2) && !is_old(3));
    start(&mut gateway, at(100), "call-1");
    let sent = gateway.take_origins(at(110));
    assert!(sent.len() == 2 && sent.iter().all(|(id, _, _)| *id != daemon(2)));
}

/// An endpoint without a version, from a build that does not send it, is read from the store;
/// that of a known process keeps its version.
#[test]
fn versions_of_old_gossip_are_read() {
    let mut gateway = fleet(&two_versions());
    gateway.on_read(at(10), at(5), StoreVersion(9), vec![ViewChange::Other]);
    let gossip_with = |record: EndpointRecord, sequence: u64| {
        let mut message = gossip(sequence);
        message.view.changed = StoreVersion(8 + sequence);
        message.view.batches = vec![ViewBatch {
            from: StoreVersion(7 + sequence),
            to: StoreVersion(8 + sequence),
            changes: vec![ViewChange::Endpoint(record)],
        }];
        message
    };
    let mut known = versioned("a", "v1");
    known.version = None;
    known.is_leaving = true;
    gateway.on_gossip(at(20), &daemon(2), gossip_with(known, 2));
    let entry = gateway.endpoints().get(&"a".parse().unwrap()).unwrap();
    assert!(entry.record.is_leaving);
    assert_eq!(entry.record.version, Some("v1".parse().unwrap()));

    let mut unknown = versioned("f", "v1");
    unknown.version = None;
    gateway.on_gossip(at(30), &daemon(2), gossip_with(unknown, 3));
    assert!(gateway.endpoints().get(&"f".parse().unwrap()).is_none());
    assert!(gateway.next_read(at(30)).is_some());
}
