//! Endpoints that ask one daemon for a pause.

use std::time::Duration;

use crate::fleet::begin_call;
use crate::leaving_endpoints::{only, selected};
use crate::support::{at, call_attributes, endpoint, gateway};
use laburnumstall_core::gateway::{EndpointNotice, EndpointProcess, Gateway};
use laburnumstall_core::prelude::*;

/// Pause that endpoints ask for, in milliseconds.
const PAUSE: u64 = 1_500;

fn two_endpoints() -> Gateway {
    let endpoints = ["engine-1", "engine-2"].map(|id| endpoint(id, "app", "north-a"));
    gateway(&endpoints)
}

fn ask_for_pause(gateway: &mut Gateway, ms: u64, id: &str, pause: u64) {
    let process = EndpointProcess {
        id: id.parse().unwrap(),
        started_at_ms: 1,
    };
    let notice = EndpointNotice {
        pause: Some(Duration::from_millis(pause)),
        ..EndpointNotice::default()
    };
    gateway.on_endpoint_notice(at(ms), &process, at(ms), &notice);
}

fn refusal(gateway: &mut Gateway, ms: u64, n: u32) -> Refusal {
    let attributes = call_attributes(&format!("call-{n}"), "/order/1");
    begin_call(gateway, at(ms), attributes).unwrap_err()
}

/// Calls went on to an endpoint that had asked for a pause.
#[test]
fn pause_is_kept() {
    let mut gateway = two_endpoints();
    ask_for_pause(&mut gateway, 100, "engine-1", PAUSE);
    assert_eq!(selected(&mut gateway, at(100)), only("engine-2"));
    assert_eq!(selected(&mut gateway, at(1_590)), only("engine-2"));
    assert_eq!(selected(&mut gateway, at(1_610)).len(), 2);
}

/// A shorter pause that was asked for later ended the longer one.
#[test]
fn shorter_pause_ends_no_longer_one() {
    let mut gateway = two_endpoints();
    ask_for_pause(&mut gateway, 100, "engine-1", PAUSE);
    ask_for_pause(&mut gateway, 200, "engine-1", 100);
    assert_eq!(selected(&mut gateway, at(1_500)), only("engine-2"));
}

/// A started process was left alone for the pause of the one before.
#[test]
fn new_process_has_no_pause() {
    let mut gateway = two_endpoints();
    ask_for_pause(&mut gateway, 100, "engine-1", PAUSE);
    let mut started = endpoint("engine-1", "app", "north-a");
    started.started_at_ms = 2;
    gateway.on_endpoint(at(200), started);
    assert_eq!(selected(&mut gateway, at(300)).len(), 2);
}

/// Callers waited, or all came back at the same moment, when all endpoints had asked for a pause.
#[test]
fn callers_return_in_turn_after_a_pause() {
    let mut gateway = two_endpoints();
    ask_for_pause(&mut gateway, 100, "engine-1", PAUSE);
    ask_for_pause(&mut gateway, 100, "engine-2", PAUSE * 2);
    let refusals: Vec<Refusal> = (0..5).map(|n| refusal(&mut gateway, 200, n)).collect();
    let waits = refusals.iter().map(|refusal| refusal.retry_after.unwrap());
    let waits: Vec<Duration> = waits.collect();
    assert_eq!(waits[0], Duration::from_millis(1_400));
    assert!(waits.is_sorted_by(|a, b| a < b), "{waits:?}");
    assert!(
        refusals
            .iter()
            .all(|refusal| refusal.kind == ErrorKind::NoEndpoint)
    );
    assert_eq!(selected(&mut gateway, at(1_610)), only("engine-1"));
}

/// The pause of a process ended when its entry lapsed and came back, or named another address.
#[test]
fn returning_entry_ends_no_pause() {
    let mut moved = endpoint("engine-1", "app", "north-a");
    moved.address = "10.9.0.1:8080".parse().unwrap();
    for entry in [endpoint("engine-1", "app", "north-a"), moved] {
        let mut gateway = two_endpoints();
        ask_for_pause(&mut gateway, 100, "engine-1", 5_000);
        gateway.on_endpoint_removed(at(200), &entry.id);
        gateway.on_endpoint(at(1_200), entry.clone());
        assert_eq!(selected(&mut gateway, at(1_300)), only("engine-2"));
        gateway.on_endpoint(at(1_400), entry);
        assert_eq!(selected(&mut gateway, at(5_090)), only("engine-2"));
        assert_eq!(selected(&mut gateway, at(5_110)).len(), 2);
    }
}

/// A pause that was asked for while the entry had lapsed was not known when it came back.
#[test]
fn unlisted_process_keeps_its_pause() {
    let mut gateway = two_endpoints();
    gateway.on_endpoint_removed(at(100), &"engine-1".parse().unwrap());
    ask_for_pause(&mut gateway, 200, "engine-1", 5_000);
    gateway.on_endpoint(at(1_200), endpoint("engine-1", "app", "north-a"));
    assert_eq!(selected(&mut gateway, at(1_300)), only("engine-2"));
    assert_eq!(selected(&mut gateway, at(5_210)).len(), 2);
}

/// A long pause was forgotten with what is known of endpoints that are gone for a minute.
#[test]
fn long_pause_outlives_its_entry() {
    let mut gateway = two_endpoints();
    ask_for_pause(&mut gateway, 100, "engine-1", 300_000);
    gateway.on_endpoint_removed(at(200), &"engine-1".parse().unwrap());
    gateway.tick(at(200_000));
    gateway.on_endpoint(at(200_100), endpoint("engine-1", "app", "north-a"));
    assert_eq!(selected(&mut gateway, at(200_200)), only("engine-2"));
    assert_eq!(selected(&mut gateway, at(300_110)).len(), 2);
}

/// An entry that another writer left under the endpoint's id ended the pause of its process.
#[test]
fn foreign_entry_ends_no_pause() {
    let mut gateway = two_endpoints();
    ask_for_pause(&mut gateway, 100, "engine-1", 5_000);
    let mut foreign = endpoint("engine-1", "app", "north-a");
    foreign.started_at_ms = u64::MAX;
    gateway.on_endpoint(at(200), foreign);
    gateway.on_endpoint(at(300), endpoint("engine-1", "app", "north-a"));
    assert_eq!(selected(&mut gateway, at(400)), only("engine-2"));
}
