//! Entries of endpoints that another writer has left in the key-value store.

use std::collections::BTreeSet;

use crate::fleet::begin_call;
use crate::support::{at, call_attributes, endpoint, gateway, gateway_of, member};
use laburnumstall_core::gateway::{
    CallFailure, EndpointLimit, EndpointNotice, EndpointProcess, EndpointRecord, Gateway,
    LimitNotice,
};

fn sound() -> Vec<EndpointRecord> {
    let ids = ["engine-1", "engine-2"];
    ids.map(|id| endpoint(id, "app", "north-a")).to_vec()
}

fn say(gateway: &mut Gateway, ms: u64, id: &str, notice: &EndpointNotice) {
    let process = EndpointProcess {
        id: id.parse().unwrap(),
        started_at_ms: 1,
    };
    gateway.on_endpoint_notice(at(ms), &process, at(ms), notice);
}

/// Begins calls that stay in flight; returns their endpoints.
fn running(gateway: &mut Gateway, ms: u64, calls: u32) -> BTreeSet<String> {
    let begun = (0..calls).filter_map(|n| {
        let attributes = call_attributes(&format!("call-{ms}-{n}"), "/order/1");
        let (_, attempt) = begin_call(gateway, at(ms), attributes).ok()?;
        Some(attempt.endpoint.to_string())
    });
    begun.collect()
}

/// The slots of a service were added up beyond the range of the sum.
#[test]
fn sum_of_slots_overflows() {
    let mut entries = sound();
    for id in ["odd-1", "odd-2"] {
        let mut odd = endpoint(id, "app", "north-a");
        odd.slots = u32::MAX;
        entries.push(odd);
    }
    let mut gateway = gateway(&entries);
    assert!(!running(&mut gateway, 100, 20).is_empty());
}

/// What an endpoint had said was forgotten when another process was listed under its id.
#[test]
fn foreign_process_takes_a_notice_back() {
    let mut gateway = gateway(&sound());
    let leaving = EndpointNotice {
        is_leaving: true,
        ..EndpointNotice::default()
    };
    say(&mut gateway, 100, "engine-1", &leaving);
    for started_at_ms in [u64::MAX, 0] {
        let mut foreign = endpoint("engine-1", "app", "north-a");
        foreign.started_at_ms = started_at_ms;
        gateway.on_endpoint(at(200), foreign);
        gateway.on_endpoint(at(300), endpoint("engine-1", "app", "north-a"));
        let endpoints = running(&mut gateway, 400, 20);
        assert_eq!(endpoints, BTreeSet::from(["engine-2".to_owned()]));
    }
}

/// Calls in flight at an endpoint whose entry lapsed and came back counted as ended, and it got more
/// than its share of the calls.
#[test]
fn calls_are_forgotten_with_an_entry() {
    let mut gateway = gateway(&sound());
    running(&mut gateway, 100, 40);
    gateway.on_endpoint_removed(at(200), &"engine-1".parse().unwrap());
    gateway.on_endpoint(at(300), endpoint("engine-1", "app", "north-a"));
    assert_eq!(running(&mut gateway, 400, 2).len(), 2);
    let attributes = call_attributes("call-last", "/order/1");
    begin_call(&mut gateway, at(400), attributes).unwrap();
    let calls: u32 = gateway
        .next_gossip(at(500))
        .loads
        .iter()
        .map(|load| load.calls)
        .sum();
    assert_eq!(calls, 43);
}

/// Shares of an endpoint's limit began anew with its entry, so that one whose entry lapsed again and
/// again got no request.
#[test]
fn share_of_a_limit_begins_anew_with_an_entry() {
    let mut gateways: Vec<Gateway> = (1..=4)
        .map(|own| {
            let mut gateway = gateway_of(own, &sound()[..1]);
            for peer in (1..=4).filter(|peer| *peer != own) {
                gateway.on_member(at(0), member(peer));
            }
            let limited = EndpointNotice {
                limit: LimitNotice::Rate(EndpointLimit::per_second(0.5).unwrap()),
                ..EndpointNotice::default()
            };
            say(&mut gateway, 50, "engine-1", &limited);
            gateway
        })
        .collect();
    let mut sent = 0;
    for ms in (100..4_100).step_by(200) {
        for gateway in &mut gateways {
            gateway.on_endpoint_removed(at(ms), &"engine-1".parse().unwrap());
            gateway.on_endpoint(at(ms + 50), sound()[0].clone());
            for n in 0..3 {
                let attributes = call_attributes(&format!("call-{ms}-{n}"), "/order/1");
                if let Ok((_, attempt)) = begin_call(gateway, at(ms + 50), attributes) {
                    sent += 1;
                    gateway.succeed(at(ms + 60), attempt);
                }
            }
        }
    }
    // One and a half times what the limit allows in four seconds, and five.
    let allowed = 8;
    assert!(sent <= allowed, "{sent} requests in 4 s");
    assert!(sent > 0);
}

/// An endpoint that was unreachable was tried again at once when its entry came back.
#[test]
fn returning_entry_ends_no_backoff() {
    let mut gateway = gateway(&sound());
    let attributes = call_attributes("call-1", "/read/1");
    let (mut call, attempt) = begin_call(&mut gateway, at(100), attributes).unwrap();
    let failed = attempt.endpoint.clone();
    let _ = gateway.after_failure(at(100), &mut call, attempt, CallFailure::NotSent);
    gateway.on_endpoint_removed(at(150), &failed);
    gateway.on_endpoint(at(200), endpoint(failed.as_str(), "app", "north-a"));
    let endpoints = running(&mut gateway, 250, 8);
    assert!(!endpoints.contains(failed.as_str()), "{endpoints:?}");
    assert_eq!(running(&mut gateway, 30_000, 20).len(), 2);
}
