//! Endpoint watchers, and the load digests that they send.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnumstall_core::membership::{CertificateFingerprint, Member};
use laburnumstall_core::prelude::*;
use laburnumstall_core::watch::{
    DIGEST_BYTES_PER_SECOND, DigestSender, LoadDigest, LoadUpdate, LoadView, MAX_READ_PERIOD,
    MIN_SEND_PERIOD, QuantisedLoad, READ_BYTES_PER_SECOND, REPORT_BYTES, WaitClass, WatchRing,
    own_assignments, read_period, subscriptions, watchers_of,
};
use quickcheck::{Gen, QuickCheck};

fn fleet(count: u16, zones: u16) -> Vec<Member> {
    let member = |number: u16| Member {
        id: format!("vm-{number}@1").parse().unwrap(),
        zone: format!("zone-{}", number % zones).parse().unwrap(),
        peer_address: ([10, 0, 0, 1], 10_000 + number).into(),
        caller_address: ([10, 0, 0, 1], 20_000 + number).into(),
        certificate: CertificateFingerprint([0; 32]),
        leaving: false,
    };
    (0..count).map(member).collect()
}

fn endpoints(count: usize) -> Vec<EndpointId> {
    (0..count)
        .map(|n| format!("endpoint-{n}").parse().unwrap())
        .collect()
}

fn report(endpoint: &EndpointId, sequence: u64, running: u32, backlog: u64) -> LoadReport {
    LoadReport {
        endpoint: endpoint.clone(),
        sequence,
        taken_at: Timestamp::from_millis(1_000 * sequence),
        running,
        waiting: 0,
        batch: 64,
        prefill_backlog: Tokens(backlog),
        prefill: TokenRate(20_000),
        decode_per_request: TokenRate(25),
        services: Vec::new(),
        loads: None,
    }
}

/// Fails without the zone filter in `WatchRing::watchers`.
#[test]
fn two_watchers_in_different_zones_whatever_the_order() {
    fn property(count: u16, zones: u16, endpoint: u32, lost: usize) -> bool {
        let members = fleet(3 + count % 20, 2 + zones % 3);
        let endpoint: EndpointId = format!("endpoint-{endpoint}").parse().unwrap();
        let forward: Vec<&Member> = members.iter().collect();
        let backward: Vec<&Member> = members.iter().rev().collect();
        let watchers = watchers_of(&endpoint, &forward);
        let zone = |id: &DaemonId| members.iter().find(|m| m.id == *id).unwrap().zone.clone();
        let lost = lost % members.len();
        let left: Vec<&Member> = members
            .iter()
            .filter(|m| m.id != members[lost].id)
            .collect();
        let after = watchers_of(&endpoint, &left);
        let is_stable = watchers.contains(&members[lost].id) || after == watchers;
        watchers.len() == 2
            && zone(&watchers[0]) != zone(&watchers[1])
            && watchers == watchers_of(&endpoint, &backward)
            && is_stable
    }
    let rng = Gen::from_size_and_seed(64, 7);
    let property = property as fn(u16, u16, u32, usize) -> bool;
    QuickCheck::new().rng(rng).tests(1_000).quickcheck(property);
}

#[test]
fn every_endpoint_is_watched_twice_and_reading_keeps_its_rate() {
    let members = fleet(220, 3);
    let members: Vec<&Member> = members.iter().collect();
    let endpoints = endpoints(2_500);
    let ring = WatchRing::new(&members);
    let mut watched: BTreeMap<&DaemonId, usize> = BTreeMap::new();
    for endpoint in &endpoints {
        for watcher in ring.watchers(endpoint) {
            *watched.entry(watcher).or_default() += 1;
        }
    }
    assert_eq!(watched.values().sum::<usize>(), 2 * endpoints.len());
    let own = &members[0].id;
    assert_eq!(
        own_assignments(own, &endpoints, &members).len(),
        watched[own]
    );
    for watched in watched.into_values() {
        let period = read_period(watched);
        let bytes = watched as u64 * REPORT_BYTES * 1_000 / period.as_millis() as u64;
        assert!(bytes <= READ_BYTES_PER_SECOND && period < MAX_READ_PERIOD);
    }
}

/// Fails if `Subscriber::has_current` does not compare `sent.load`.
#[test]
fn only_changes_are_sent_and_late_updates_are_ignored() {
    let endpoint = &endpoints(1)[0];
    let reader: DaemonId = "vm-1@1".parse().unwrap();
    let mut sender = DigestSender::default();
    let at = |secs: u64| Timestamp::from_millis(1_000 * secs);
    sender.on_subscription(at(1), &reader, std::slice::from_ref(endpoint));
    sender.on_report(&report(endpoint, 1, 8, 0));
    let first = sender.due(at(1));
    assert_eq!(first.len(), 1);
    assert_eq!(first[0].reports, [report(endpoint, 1, 8, 0)]);
    sender.on_report(&report(endpoint, 2, 9, 0));
    assert!(sender.due(at(3)).is_empty(), "the same step of the batch");
    sender.on_report(&report(endpoint, 3, 32, 0));
    let second = sender.due(at(4));
    sender.on_report(&report(endpoint, 5, 64, 40_000));
    let third = sender.due(at(5));
    assert!(second[0].reports.is_empty() && third[0].reports.is_empty());
    sender.on_report(&report(endpoint, 4, 0, 0));
    assert!(sender.due(at(7)).is_empty(), "a late report");
    let mut view = LoadView::default();
    view.on_digest(at(5), &third[0].digest);
    assert!(view.load(at(5), endpoint).is_none(), "outside the subset");
    view.set_subset(std::slice::from_ref(endpoint));
    view.on_digest(at(5), &third[0].digest);
    view.on_digest(at(5), &second[0].digest);
    view.on_report(at(6), &first[0].reports[0]);
    let received = view.load(at(6), endpoint).unwrap().load;
    assert_eq!(received.free_permille(), 0);
    assert!(received.wait.wait() >= Duration::from_secs(2));
    assert!(view.load(at(600), endpoint).is_none(), "not told for long");
}

/// Fails without `sent_loads.remove` in `DigestSender::forget`, or without `static_hash` in
/// `Subscriber::has_current`.
#[test]
fn a_changed_or_forgotten_endpoint_is_sent_in_full() {
    let endpoint = &endpoints(1)[0];
    let reader: DaemonId = "vm-1@1".parse().unwrap();
    let mut sender = DigestSender::default();
    let at = |secs: u64| Timestamp::from_millis(1_000 * secs);
    sender.on_subscription(at(1), &reader, std::slice::from_ref(endpoint));
    sender.on_report(&report(endpoint, 1, 8, 0));
    assert_eq!(sender.due(at(1))[0].reports.len(), 1);
    let mut loaded = report(endpoint, 2, 8, 0);
    loaded.services = vec!["poetry".parse().unwrap()];
    sender.on_report(&loaded);
    assert_eq!(sender.due(at(3))[0].reports, [loaded.clone()]);
    loaded.taken_at = at(4);
    sender.on_report(&loaded);
    assert!(sender.due(at(5)).is_empty(), "nothing changed");
    sender.forget(endpoint);
    assert!(sender.due(at(6)).is_empty(), "nothing is known");
    sender.on_report(&loaded);
    assert_eq!(sender.due(at(7))[0].reports, [loaded]);
}

/// Fails if `QuantisedLoad::to_report` does not use the midpoint of a step.
#[test]
fn a_quantised_load_converts_to_a_report_of_the_same_load() {
    let endpoint = &endpoints(1)[0];
    for batch in [1, 3, 8, 20, 64, 100] {
        for running in 0..=batch {
            let mut known = report(endpoint, 1, running, u64::from(running) * 900);
            known.batch = batch;
            let load = QuantisedLoad::of(&known);
            let made = load.to_report(&known, Timestamp::from_millis(9_000));
            assert_eq!(QuantisedLoad::of(&made), load, "{running} of {batch}");
            // An idle endpoint stays idle: the lowest step represents zero requests.
            let most = if load.occupancy == 0 {
                batch / 8
            } else {
                batch.div_ceil(16)
            };
            assert!(
                made.running.abs_diff(running) <= most,
                "{running} of {batch}"
            );
        }
    }
}

/// Fails if `DigestSender::due` does not check the allowance.
#[test]
fn digests_keep_the_byte_rate_and_reach_everybody() {
    let members = fleet(40, 3);
    let members: Vec<&Member> = members.iter().collect();
    let endpoints = endpoints(400);
    let ring = WatchRing::new(&members);
    let mut senders: BTreeMap<DaemonId, DigestSender> = BTreeMap::new();
    let subset = |n: usize| -> Vec<EndpointId> {
        endpoints.iter().skip(n % 4).step_by(4).cloned().collect()
    };
    for (n, reader) in members.iter().enumerate() {
        for wanted in subscriptions(&subset(n), &members) {
            let sender = senders.entry(wanted.watcher).or_default();
            sender.on_subscription(Timestamp::ZERO, &reader.id, &wanted.endpoints);
        }
    }
    let mut views: BTreeMap<DaemonId, LoadView> = BTreeMap::new();
    for (n, reader) in members.iter().enumerate() {
        views
            .entry(reader.id.clone())
            .or_default()
            .set_subset(&subset(n));
    }
    // Worst case: every load changes every second.
    const SECONDS: u64 = 30;
    for second in 1..=SECONDS {
        let now = Timestamp::from_millis(1_000 * second);
        for endpoint in &endpoints {
            let first = ring.watchers(endpoint)[0].clone();
            let load = report(endpoint, second, (second as u32 * 13) % 65, 900 * second);
            senders.get_mut(&first).unwrap().on_report(&load);
        }
        for sender in senders.values_mut() {
            for message in sender.due(now) {
                let view = views.get_mut(&message.to).unwrap();
                for report in &message.reports {
                    view.on_report(now, report);
                }
                view.on_digest(now, &message.digest);
            }
        }
    }
    let end = Timestamp::from_millis(1_000 * SECONDS);
    for sender in senders.values() {
        assert!(sender.bytes_sent() <= SECONDS * DIGEST_BYTES_PER_SECOND);
    }
    for (n, reader) in members.iter().enumerate() {
        for endpoint in subset(n) {
            assert!(views[&reader.id].load(end, &endpoint).is_some());
        }
    }
}

#[test]
fn updates_fit_their_stated_size() {
    let endpoint = &endpoints(1)[0];
    let reader: DaemonId = "vm-1@1".parse().unwrap();
    let mut sender = DigestSender::default();
    let now = Timestamp::from_millis(5_000);
    sender.on_subscription(now, &reader, std::slice::from_ref(endpoint));
    sender.on_report(&report(endpoint, 1, 0, 0));
    let whole = sender.due(now).remove(0);
    let encoded = postcard::to_allocvec(&whole.reports).unwrap();
    assert!(encoded.len() as u64 <= whole.max_bytes());
    sender.on_report(&report(endpoint, 2, 64, u64::MAX / 2_000));
    let later = now.after(MIN_SEND_PERIOD + Duration::from_secs(60));
    let digest: LoadDigest = sender.due(later).remove(0).digest;
    let load: &LoadUpdate = &digest.loads[0];
    let encoded = postcard::to_allocvec(load).unwrap();
    assert!(encoded.len() as u64 <= LoadUpdate::MAX_BYTES);
    let mut last = Duration::ZERO;
    for class in 1..=24 {
        let wait = WaitClass(class).wait();
        assert!(wait > last && WaitClass::of(wait) == WaitClass(class));
        last = wait;
    }
}
