//! A key-value service that comes back from an older copy, in a new era.

use std::time::Duration;

use crate::leaving_endpoints::{only, selected};
use crate::store_view::{DAEMONS, gossip, non_reader};
use crate::support::{at, call_attributes, daemon, endpoint, gateway, member, rules};
use laburnumstall_core::gateway::{
    EndpointRecord, EraChange, Gateway, GossipMessage, PeerMessage, PeerProtocol, ViewBatch,
    ViewChange,
};
use laburnumstall_core::prelude::*;
use laburnumstall_core::store::{StoreEra, StoreVersion};

pub(crate) fn gossip_of_era(sequence: u64, era: u64, changed: u64, echo: u64) -> GossipMessage {
    let mut message = gossip(sequence, changed, echo);
    message.view.era = StoreEra(era);
    message
}

/// Returns a gateway that has read version 9 of era 1 and relies on its peers.
fn listener() -> Gateway {
    let mut gateway = non_reader();
    assert_eq!(
        gateway.on_store_era(at(0), Some(StoreEra(1))),
        EraChange::Same
    );
    gateway
}

fn gossip_from_all(gateway: &mut Gateway, step: u64) -> u64 {
    let now = at(step * 250);
    let sequence = gateway.next_gossip(now).sequence;
    for number in 3..=DAEMONS {
        gateway.on_gossip(now, &daemon(number), gossip_of_era(step + 1, 1, 9, 0));
    }
    sequence
}

/// A reader of the new era confirms nothing to a daemon with a later version of the old one.
#[test]
fn lower_version_of_new_era_confirms_old_view() {
    let mut gateway = listener();
    for step in 1..=8 {
        let echo = gossip_from_all(&mut gateway, step);
        let reader = gossip_of_era(step + 1, 2, 4, echo);
        gateway.on_gossip(at(step * 250), &daemon(2), reader);
    }
    assert!(gateway.next_read(at(2_000)).is_some(), "the view is old");
    let age = gateway.store_freshness().age(at(2_000));
    assert_eq!(age, Some(Duration::from_millis(2_000)));
}

/// Changes of one era are not applied to a view of another.
#[test]
fn changes_of_other_era_are_applied() {
    let mut gateway = listener();
    let mut message = gossip_of_era(2, 2, 12, 0);
    message.view.batches = vec![ViewBatch {
        from: StoreVersion(9),
        to: StoreVersion(12),
        changes: vec![ViewChange::EndpointRemoved("engine-1".parse().unwrap())],
    }];
    gateway.on_gossip(at(100), &daemon(2), message);
    let id = "engine-1".parse().unwrap();
    assert!(gateway.endpoints().get(&id).is_some());
}

/// A version that the new history has reached again is no known one.
#[test]
fn version_of_old_era_hides_changes_of_new_one() {
    let mut gateway = listener();
    let change = gateway.on_store_era(at(1_000), Some(StoreEra(2)));
    assert_eq!(change, EraChange::Restored);
    gateway.on_read(
        at(1_050),
        at(1_040),
        StoreVersion(5),
        vec![ViewChange::Other],
    );
    let mut message = gossip_of_era(2, 2, 7, 0);
    let added = ViewChange::Endpoint(endpoint("engine-2", "model", "north-a"));
    message.view.batches = vec![ViewBatch {
        from: StoreVersion(5),
        to: StoreVersion(7),
        changes: vec![added],
    }];
    gateway.on_gossip(at(1_100), &daemon(2), message);
    let id = "engine-2".parse().unwrap();
    assert!(gateway.endpoints().get(&id).is_some());
}

/// Replies of an earlier era are late for a time; after that, the number has fallen.
#[test]
fn reply_of_earlier_era_is_believed() {
    let mut gateway = listener();
    gateway.on_store_era(at(1_000), Some(StoreEra(3)));
    let mut on_era = |ms, era| gateway.on_store_era(at(ms), Some(StoreEra(era)));
    assert_eq!(on_era(1_100, 2), EraChange::Late);
    assert_eq!(on_era(1_200, 3), EraChange::Same);
    assert_eq!(on_era(5_000, 2), EraChange::Late);
    assert_eq!(on_era(7_900, 2), EraChange::Late);
    assert_eq!(on_era(8_000, 2), EraChange::Restored);
    assert_eq!(on_era(8_100, 2), EraChange::Same);
    assert_eq!(gateway.on_store_era(at(8_200), None), EraChange::Same);
}

/// Only peers that announce it are sent the era; the message of others is as it always was.
#[test]
fn peers_lack_the_era() {
    let mut gateway = listener();
    gateway.on_member(at(0), member(2));
    let message = gateway.next_gossip(at(100));
    let old = gateway.peer_gossip(&daemon(2), &message);
    assert!(matches!(old, PeerMessage::Gossip(_)));
    gateway.set_peer_protocol(&daemon(2), PeerProtocol::NEWEST);
    let new = gateway.peer_gossip(&daemon(2), &message);
    let bytes = postcard::to_allocvec(&new).unwrap();
    assert_eq!(postcard::from_bytes(&bytes), Ok(new.clone()));
    let PeerMessage::EraGossip(message) = new else {
        panic!("{new:?}")
    };
    assert_eq!(message.view.era, StoreEra(1));
}

fn app(id: &str) -> EndpointRecord {
    endpoint(id, "app", "north-a")
}

/// Returns a gateway that knows three endpoints, in era 1 of the store.
fn with_endpoints() -> Gateway {
    let mut gateway = gateway(&[app("a"), app("b"), app("c")]);
    gateway.on_store_era(at(0), Some(StoreEra(1)));
    gateway
}

/// Lets the store come back at `at(1_000)` with these endpoints.
fn restore(gateway: &mut Gateway, copy: Vec<EndpointRecord>) {
    gateway.on_store_era(at(1_000), Some(StoreEra(2)));
    gateway.on_endpoints(at(1_000), copy);
}

/// The copy is from before the endpoint said that it leaves.
#[test]
fn copy_makes_leaving_endpoint_ready() {
    let mut gateway = with_endpoints();
    let mut leaving = app("a");
    leaving.is_leaving = true;
    gateway.on_endpoint(at(500), leaving);
    restore(&mut gateway, vec![app("a"), app("b")]);
    gateway.on_endpoint_removed(at(1_100), &"c".parse().unwrap());
    gateway.on_endpoint(at(1_200), app("a"));
    gateway.tick(at(9_000));
    assert_eq!(selected(&mut gateway, at(9_000)), only("b"));
}

/// The copy is from before the endpoint left. A live endpoint writes its entry again, or is
/// still listed when the platform would have removed it.
#[test]
fn copy_brings_endpoint_back_that_was_gone() {
    let mut gateway = with_endpoints();
    for id in ["a", "b"] {
        gateway.on_endpoint_removed(at(500), &id.parse().unwrap());
    }
    restore(&mut gateway, vec![app("a"), app("b"), app("c")]);
    assert_eq!(selected(&mut gateway, at(1_100)), only("c"));
    gateway.on_endpoint(at(1_500), app("a"));
    assert_eq!(selected(&mut gateway, at(1_500)).len(), 2);
    gateway.tick(at(5_900));
    assert_eq!(selected(&mut gateway, at(5_900)).len(), 2);
    gateway.tick(at(6_000));
    assert_eq!(selected(&mut gateway, at(6_000)).len(), 3);
}

/// The copy is from before the endpoints registered; live ones register again.
#[test]
fn endpoint_that_copy_lacks_is_gone_at_once() {
    let mut gateway = with_endpoints();
    restore(&mut gateway, vec![app("a")]);
    assert_eq!(selected(&mut gateway, at(1_900)).len(), 3);
    gateway.on_endpoint(at(2_000), app("b"));
    gateway.tick(at(3_000));
    assert_eq!(selected(&mut gateway, at(3_000)).len(), 2);
}

/// The copy is from before the endpoint started again under its identifier.
#[test]
fn copy_replaces_endpoint_by_its_earlier_process() {
    let mut gateway = with_endpoints();
    let mut restarted = app("a");
    restarted.started_at_ms = 2;
    restarted.address = "10.9.9.9:8080".parse().unwrap();
    gateway.on_endpoint(at(500), restarted.clone());
    restore(&mut gateway, vec![app("a"), app("b"), app("c")]);
    let id = "a".parse().unwrap();
    let known = gateway.endpoints().get(&id).unwrap();
    assert_eq!(known.record, restarted);
    gateway.on_endpoint(at(1_500), restarted);
    gateway.tick(at(9_000));
    assert!(gateway.endpoints().get(&id).is_some());
}

/// A daemon that starts in a later era cannot know what the store forgot before.
#[test]
fn started_daemon_trusts_store_of_later_era() {
    for (era, is_restored) in [(1, false), (2, true)] {
        let mut gateway = gateway(&[app("a")]);
        gateway.on_store_era(at(0), Some(StoreEra(era)));
        assert_eq!(gateway.store_restored_at().is_some(), is_restored);
    }
}

/// A daemon with an older configuration than one that was in force refuses callers until it has a
/// later one.
#[test]
fn daemon_below_floor_serves_callers() {
    let mut gateway = with_endpoints();
    let is_served = |gateway: &mut Gateway, ms| {
        let attributes = call_attributes("call", "/order/1");
        gateway.admit(at(ms), attributes).is_ok() && gateway.is_ready(at(ms))
    };
    assert!(is_served(&mut gateway, 100));
    gateway.on_rules_floor(at(200), Some(Revision(5)));
    assert!(!is_served(&mut gateway, 300));
    gateway.on_rules(at(400), rules(5));
    assert!(is_served(&mut gateway, 500));
    gateway.on_rules_floor(at(600), Some(Revision(7)));
    assert!(!is_served(&mut gateway, 700));
    gateway.on_rules_floor(at(800), None);
    assert!(is_served(&mut gateway, 900));
}

/// Daemons that know a later configuration than the store has write its version there.
#[test]
fn later_configuration_is_forgotten() {
    let mut gateway = with_endpoints();
    gateway.on_rules(at(100), rules(5));
    gateway.on_read(at(110), at(100), StoreVersion(9), Vec::new());
    assert_eq!(gateway.rules_floor_to_write(at(120)), None);
    gateway.on_store_era(at(1_000), Some(StoreEra(2)));
    assert_eq!(
        gateway.rules_floor_to_write(at(1_010)),
        None,
        "not read yet"
    );
    gateway.on_rules(at(1_020), rules(1));
    gateway.on_read(at(1_030), at(1_020), StoreVersion(4), Vec::new());
    assert_eq!(gateway.rules_floor_to_write(at(1_040)), Some(Revision(5)));
    gateway.on_rules_floor(at(1_050), Some(Revision(5)));
    assert_eq!(gateway.rules_floor_to_write(at(1_060)), None);
    gateway.on_rules_floor(at(2_000), None);
    assert_eq!(gateway.rules_floor_to_write(at(2_010)), Some(Revision(5)));
    gateway.on_rules(at(2_020), rules(6));
    assert_eq!(gateway.rules_floor_to_write(at(2_030)), None);
}
