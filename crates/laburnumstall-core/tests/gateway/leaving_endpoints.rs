//! Endpoints that leave: what their entries and their responses say.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::fleet::begin_call;
use crate::restored_store::gossip_of_era;
use crate::support::{at, call_attributes, daemon, endpoint, gateway, member};
use laburnumstall_core::gateway::{
    EndpointNotice, EndpointProcess, Gateway, PeerMessage, PeerProtocol,
};
use laburnumstall_core::prelude::*;

/// Records that an endpoint says that it leaves.
fn say_leaving(gateway: &mut Gateway, now: Timestamp, process: &EndpointProcess) {
    let notice = EndpointNotice {
        is_leaving: true,
        ..EndpointNotice::default()
    };
    gateway.on_endpoint_notice(now, process, now, &notice);
}

fn two_endpoints() -> Gateway {
    gateway(&[
        endpoint("engine-1", "app", "north-a"),
        endpoint("engine-2", "app", "north-a"),
    ])
}

fn process(id: &str, started_at_ms: u64) -> EndpointProcess {
    EndpointProcess {
        id: id.parse().unwrap(),
        started_at_ms,
    }
}

/// Returns the endpoints that calls are sent to.
pub(crate) fn selected(gateway: &mut Gateway, now: Timestamp) -> BTreeSet<String> {
    let calls = (0..20).map(|n| {
        let attributes = call_attributes(&format!("call-{n}"), "/order/1");
        let (_, attempt) = begin_call(gateway, now, attributes).unwrap();
        let endpoint = attempt.endpoint.to_string();
        gateway.succeed(now, attempt);
        endpoint
    });
    calls.collect()
}

pub(crate) fn only(id: &str) -> BTreeSet<String> {
    BTreeSet::from([id.to_owned()])
}

fn is_known(gateway: &Gateway, id: &str) -> bool {
    gateway.endpoints().get(&id.parse().unwrap()).is_some()
}

/// An entry that goes just after an outage is not kept for longer than one that went in it.
#[test]
fn entry_removed_after_outage_kept_past_drain_bound() {
    let mut gateway = gateway(&[
        endpoint("engine-1", "model", "north-a"),
        endpoint("engine-2", "model", "north-a"),
    ]);
    gateway.on_store_failure(at(1_000), "refused");
    gateway.on_store_confirmed(at(8_000), at(8_000));
    gateway.on_endpoint_removed(at(8_800), &"engine-1".parse().unwrap());
    assert!(is_known(&gateway, "engine-1"), "it may register again");
    gateway.tick(at(10_050));
    assert!(!is_known(&gateway, "engine-1"));
}

/// Entries that expired in an outage are removed by the read that ends it.
#[test]
fn expired_entries_removed_by_first_read_after_outage() {
    let mut gateway = gateway(&[
        endpoint("engine-1", "model", "north-a"),
        endpoint("engine-2", "model", "north-a"),
    ]);
    gateway.on_store_failure(at(1_000), "refused");
    gateway.on_endpoint_removed(at(8_000), &"engine-1".parse().unwrap());
    gateway.on_store_confirmed(at(8_000), at(7_990));
    assert!(is_known(&gateway, "engine-1"), "it may register again");
    gateway.tick(at(10_050));
    assert!(!is_known(&gateway, "engine-1"));
}

/// A response that says so ends calls to its endpoint, whatever the entry says, until another
/// process has registered.
#[test]
fn endpoint_whose_response_says_it_leaves_gets_calls() {
    let mut gateway = two_endpoints();
    assert_eq!(selected(&mut gateway, at(100)).len(), 2);
    say_leaving(&mut gateway, at(200), &process("engine-1", 1));
    assert_eq!(selected(&mut gateway, at(200)), only("engine-2"));
    let mut entry = endpoint("engine-1", "app", "north-a");
    entry.slots += 1;
    gateway.on_endpoint(at(300), entry.clone());
    assert_eq!(selected(&mut gateway, at(300)), only("engine-2"));
    let silent = EndpointNotice::default();
    gateway.on_endpoint_notice(at(400), &process("engine-1", 1), at(390), &silent);
    assert_eq!(selected(&mut gateway, at(400)), only("engine-2"));
    entry.started_at_ms = 2;
    gateway.on_endpoint(at(500), entry);
    assert_eq!(selected(&mut gateway, at(500)).len(), 2);
}

/// Peers are told at once, and again later, also if they have not read the entry yet.
#[test]
fn peers_are_not_told_that_endpoint_leaves() {
    let mut first = two_endpoints();
    first.on_member(at(0), member(2));
    first.set_peer_protocol(&daemon(2), PeerProtocol::NEWEST);
    first.on_gossip(at(90), &daemon(2), gossip_of_era(1, 0, 0, 0));
    first.take_endpoint_notices(at(90));
    say_leaving(&mut first, at(200), &process("engine-1", 1));
    let broadcast = first.take_endpoint_notices(at(200)).unwrap();
    let notices = broadcast.notices;
    assert_eq!(broadcast.peers, [(daemon(2), member(2).peer_address)]);
    assert!(first.take_endpoint_notices(at(300)).is_none());

    let message = PeerMessage::Notices(notices.clone());
    let bytes = postcard::to_allocvec(&message).unwrap();
    assert_eq!(postcard::from_bytes(&bytes), Ok(message));
    let mut second = two_endpoints();
    second.take_endpoint_notices(at(90));
    second.on_peer_notices(at(210), notices.clone());
    assert_eq!(selected(&mut second, at(220)), only("engine-2"));
    // What a peer told is not told again at once.
    assert!(second.take_endpoint_notices(at(220)).is_none());

    first.on_gossip(at(1_300), &daemon(2), gossip_of_era(2, 0, 0, 0));
    let repeated = first.take_endpoint_notices(at(1_300));
    assert_eq!(repeated.unwrap().notices, notices);
    let mut third = gateway(&[endpoint("engine-2", "app", "north-a")]);
    third.on_peer_notices(at(1_310), notices);
    third.on_endpoint(at(1_400), endpoint("engine-1", "app", "north-a"));
    assert_eq!(selected(&mut third, at(1_400)), only("engine-2"));
}

/// Endpoints that leave by their own word are no capacity.
#[test]
fn endpoint_that_says_it_leaves_counts_as_capacity() {
    let mut gateway = two_endpoints();
    say_leaving(&mut gateway, at(200), &process("engine-1", 1));
    let entries = gateway.endpoints().iter();
    let serving = entries.filter(|entry| !entry.is_leaving());
    assert_eq!(serving.count(), 1);
    gateway.on_endpoint_removed(at(300), &"engine-1".parse().unwrap());
    gateway.tick(at(300).after(Duration::from_secs(61)));
    assert!(!is_known(&gateway, "engine-1"));
}
