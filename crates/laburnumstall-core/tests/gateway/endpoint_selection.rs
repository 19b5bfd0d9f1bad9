//! Endpoint selection, simulated with the prefill time of the endpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::support::{at, call_attributes, endpoint, gateway, prompt, rules};
use laburnumstall_core::gateway::{
    CallAttempt, CallFailure, EndpointRecord, Gateway, prefill_time,
};
use laburnumstall_core::prelude::*;

fn engines(count: usize) -> Vec<EndpointRecord> {
    let zones = ["north-a", "north-b", "north-c"];
    let engine = |n: usize| endpoint(&format!("engine-{n}"), "model", zones[n % 3]);
    (0..count).map(engine).collect()
}

/// Returns a gateway whose customers have no quota.
fn unlimited(endpoints: &[EndpointRecord]) -> Gateway {
    let mut gateway = gateway(endpoints);
    let mut rules = rules(2);
    rules.customers.as_mut().unwrap()[0].quota = None;
    gateway.on_rules(at(0), rules);
    gateway
}

fn select(gateway: &mut Gateway, now: Timestamp, id: &str, shared_part: u64) -> CallAttempt {
    let mut attributes = call_attributes(id, "/query/1");
    attributes.key = Some(crate::support::KEY.into());
    let mut prompt = prompt(shared_part, 5_000, 1_000);
    prompt.parts[1].id = laburnumstall_core::hash::digest64(&[id.as_bytes()]);
    attributes.prompt = Some(prompt);
    gateway.on_store_confirmed(now, now);
    let mut call = gateway.admit(now, attributes).unwrap();
    gateway.select_endpoint(now, &mut call).unwrap()
}

/// Daemons send a shared part to the same endpoint without communication. Fails if candidates
/// are drawn at random.
#[test]
fn owners_agree_without_communication() {
    for shared_part in 0..50 {
        let mut here = unlimited(&engines(12));
        let mut there = unlimited(&engines(12));
        let a = select(&mut here, at(2_000), "a", shared_part);
        let b = select(&mut there, at(2_000), "b", shared_part);
        assert_eq!(a.endpoint, b.endpoint);
        assert!(a.is_owner);
    }
}

/// A part under high load is spread beyond its owner when waiting for the owner costs more
/// than prefilling the part again, and first tokens stay on time. Fails if
/// `LoadBalancer::select` always selects the first candidate.
///
/// Load: one part requested 80 times a second with 1,000 further tokens each, which is 1.7
/// times what one engine prefills if the part is cached, on twelve engines.
#[test]
fn hot_part_is_spread() {
    let mut gateway = unlimited(&engines(12));
    let mut free_at: BTreeMap<EndpointId, Timestamp> = BTreeMap::new();
    let mut cached: BTreeSet<EndpointId> = BTreeSet::new();
    let mut waiting: Vec<(Timestamp, CallAttempt)> = Vec::new();
    let (mut late, mut all) = (0, 0);
    for n in 0..400_u64 {
        let now = at(2_000 + n * 25);
        let (done, left): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|(at, _)| *at <= now);
        waiting = left;
        for (_, attempt) in done {
            gateway.succeed(now, attempt);
        }
        // Callers arrive in bursts of eight.
        for k in 0..if n % 4 == 0 { 8 } else { 0 } {
            let attempt = select(&mut gateway, now, &format!("c{n}-{k}"), 7);
            let known = if cached.insert(attempt.endpoint.clone()) {
                0
            } else {
                5_000
            };
            let free = free_at.entry(attempt.endpoint.clone()).or_default();
            *free = (*free).max(now).after(prefill_time(6_000, known));
            all += 1;
            late += u32::from(free.since(now) > Duration::from_secs(1));
            waiting.push((*free, attempt));
        }
    }
    assert_eq!(late, 0, "{late} of {all} late");
    assert!(cached.len() >= 2, "all stayed at {} engine", cached.len());
    assert!(
        cached.len() <= 4,
        "prefilled again at {} engines",
        cached.len()
    );
}

/// Fails if draining endpoints are candidates.
#[test]
fn draining_endpoints_get_no_calls() {
    let mut gateway = unlimited(&engines(3));
    let mut leaving = engines(3).remove(0);
    leaving.is_leaving = true;
    gateway.on_endpoint(at(1), leaving.clone());
    for shared_part in 0..50 {
        let attempt = select(
            &mut gateway,
            at(2_000),
            &format!("c{shared_part}"),
            shared_part,
        );
        assert_ne!(attempt.endpoint, leaving.id);
    }
}

/// An unreachable endpoint is skipped unless there is no other. Fails if
/// `Health::is_in_backoff` is always false.
#[test]
fn unreachable_endpoint_is_skipped() {
    let mut gateway = unlimited(&engines(2));
    let first = select(&mut gateway, at(2_000), "a", 7);
    let dead = first.endpoint.clone();
    let mut call = gateway
        .admit(at(2_000), call_attributes("a", "/query/1"))
        .unwrap();
    let next = gateway.after_failure(at(2_010), &mut call, first, CallFailure::NotSent);
    assert!(next.is_ok());
    let second = select(&mut gateway, at(2_020), "b", 7);
    assert_ne!(second.endpoint, dead);
    gateway.on_endpoint_removed(at(9_000), &second.endpoint);
    gateway.succeed(at(9_000), second);
    let third = select(&mut gateway, at(2_030), "c", 7);
    assert_eq!(third.endpoint, dead);
}

/// Endpoints whose entries expire around an outage of the key-value store are used until two
/// seconds after it. Fails without `is_after_outage` in `EndpointTable::on_removed`.
#[test]
fn outage_keeps_endpoints() {
    let mut gateway = unlimited(&engines(2));
    let known = |gateway: &Gateway| gateway.endpoints().iter().count();
    gateway.on_store_failure(at(1_000), "refused");
    gateway.on_store_confirmed(at(3_000), at(3_000));
    gateway.on_endpoints(at(3_000), Vec::new());
    assert_eq!(known(&gateway), 2);
    gateway.on_endpoint(at(4_000), engines(2).remove(0));
    gateway.tick(at(4_900));
    assert_eq!(known(&gateway), 2);
    gateway.tick(at(5_100));
    assert_eq!(known(&gateway), 1);
    // A single failed call is no outage.
    gateway.on_store_failure(at(8_800), "reset");
    gateway.on_store_confirmed(at(8_900), at(8_900));
    // Without an outage, an endpoint is removed with its entry.
    gateway.on_endpoint_removed(at(9_000), &engines(2).remove(0).id);
    assert_eq!(known(&gateway), 0);
}

/// The parts of a prompt, as its caller names them, were added up beyond the range of the sum.
#[test]
fn sum_of_prompt_parts_overflows() {
    let mut gateway = gateway(&[endpoint("engine-1", "model", "north-a")]);
    for n in 0..2 {
        let mut attributes = call_attributes(&format!("call-{n}"), "/query/1");
        let mut odd = prompt(1, 10, 10);
        for part in &mut odd.parts {
            part.tokens = u32::MAX;
        }
        attributes.prompt = Some(odd);
        gateway.on_store_confirmed(at(100), at(100));
        let mut call = gateway.admit(at(100), attributes).unwrap();
        gateway.select_endpoint(at(100), &mut call).unwrap();
    }
}
