//! Where the gateway places calls, played against the reading time of the endpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::support::{at, endpoint, facts, gateway, prompt, rules};
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
    rules.customers[0].quota = None;
    gateway.on_rules(at(0), rules);
    gateway
}

fn place(gateway: &mut Gateway, now: Timestamp, id: &str, home: u64) -> CallAttempt {
    let mut call = facts(id, "/query/1");
    call.key = Some(crate::support::KEY.into());
    let mut prompt = prompt(home, 5_000, 1_000);
    prompt.parts[1].id = laburnumstall_core::hash::digest64(&[id.as_bytes()]);
    call.prompt = Some(prompt);
    gateway.on_store_confirmed(now, now);
    let mut ticket = gateway.admit(now, call).unwrap();
    gateway.select_endpoint(now, &mut ticket).unwrap()
}

/// Daemons that never talk send a shared part to the same endpoint. Fails if candidates
/// are drawn by chance.
#[test]
fn homes_agree_without_talk() {
    for home in 0..50 {
        let mut here = unlimited(&engines(12));
        let mut there = unlimited(&engines(12));
        let a = place(&mut here, at(2_000), "a", home);
        let b = place(&mut there, at(2_000), "b", home);
        assert_eq!(a.endpoint, b.endpoint);
        assert!(a.is_owner);
    }
}

/// A hot part leaves its home when waiting there costs more than reading it again, and
/// first tokens stay on time. Fails if `place` always takes the first candidate.
///
/// Load: one part asked for 80 times a second with 1,000 tokens of its own each, which
/// is 1.7 times what one engine reads if the part is found, on twelve engines.
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
        for (_, run) in done {
            gateway.succeed(now, run);
        }
        // Clumps of eight, as callers come together.
        for k in 0..if n % 4 == 0 { 8 } else { 0 } {
            let run = place(&mut gateway, now, &format!("c{n}-{k}"), 7);
            let known = if cached.insert(run.endpoint.clone()) {
                0
            } else {
                5_000
            };
            let free = free_at.entry(run.endpoint.clone()).or_default();
            *free = (*free).max(now).after(prefill_time(6_000, known));
            all += 1;
            late += u32::from(free.since(now) > Duration::from_secs(1));
            waiting.push((*free, run));
        }
    }
    assert_eq!(late, 0, "{late} of {all} late");
    assert!(cached.len() >= 2, "all stayed at {} engine", cached.len());
    assert!(cached.len() <= 4, "read again at {} engines", cached.len());
}

/// Fails if leaving endpoints are candidates.
#[test]
fn leaving_endpoints_get_nothing() {
    let mut gateway = unlimited(&engines(3));
    let mut leaving = engines(3).remove(0);
    leaving.is_leaving = true;
    gateway.on_endpoint(at(1), leaving.clone());
    for home in 0..50 {
        let run = place(&mut gateway, at(2_000), &format!("c{home}"), home);
        assert_ne!(run.endpoint, leaving.id);
    }
}

/// An endpoint that cannot be reached is left alone, unless there is no other. Fails if
/// `Health::is_paused` is always false.
#[test]
fn unreachable_endpoint_is_paused() {
    let mut gateway = unlimited(&engines(2));
    let first = place(&mut gateway, at(2_000), "a", 7);
    let dead = first.endpoint.clone();
    let mut ticket = gateway.admit(at(2_000), facts("a", "/query/1")).unwrap();
    let next = gateway.after_failure(at(2_010), &mut ticket, first, CallFailure::NotSent);
    assert!(next.is_ok());
    let second = place(&mut gateway, at(2_020), "b", 7);
    assert_ne!(second.endpoint, dead);
    gateway.on_endpoint_removed(at(9_000), &second.endpoint);
    gateway.succeed(at(9_000), second);
    let third = place(&mut gateway, at(2_030), "c", 7);
    assert_eq!(third.endpoint, dead);
}

/// What lapses beside an outage of the key-value service is used until two seconds after
/// it. Fails without `is_unsteady` in `EndpointTable::on_removed`.
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
    // A single call that fails is no outage.
    gateway.on_store_failure(at(8_800), "reset");
    gateway.on_store_confirmed(at(8_900), at(8_900));
    // In steady times an entry that goes is gone.
    gateway.on_endpoint_removed(at(9_000), &engines(2).remove(0).id);
    assert_eq!(known(&gateway), 0);
}
