//! Bytes per second that each daemon spends on endpoint loads, in virtual time.
//!
//! `cargo run --release --example load_digests -p laburnumstall-core`
//!
//! A region of the target size: 220 daemons, 2,500 endpoints, 64 of them in each daemon's
//! subset. The load of each endpoint is a random walk; watchers poll it as often as their
//! byte rate allows and send changes to the subscribers.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use laburnumstall_core::membership::{CertificateFingerprint, Member};
use laburnumstall_core::prelude::*;
use laburnumstall_core::watch::{
    DigestSender, LoadView, QuantisedLoad, REPORT_BYTES, WatchRing, read_period, subscriptions,
};

const DAEMONS: u16 = 220;
const ENDPOINTS: usize = 2_500;
const SUBSET: usize = 64;
const SECONDS: u64 = 150;
const BATCH: u32 = 64;

/// A daemon that polls endpoints, and sends and receives load digests.
#[derive(Default)]
struct Daemon {
    sender: DigestSender,
    view: LoadView,
    subset: Vec<EndpointId>,
    period: Duration,
    bytes_read: u64,
    bytes_received: u64,
}

fn main() {
    let members: Vec<Member> = (0..DAEMONS).map(member).collect();
    let members: Vec<&Member> = members.iter().collect();
    let endpoints: Vec<EndpointId> = (0..ENDPOINTS).map(endpoint).collect();
    let ring = WatchRing::new(&members);
    let mut rng = Rng::with_seed(7);
    let mut daemons = daemons(&members, &endpoints, &mut rng);
    let mut watched: BTreeMap<DaemonId, usize> = BTreeMap::new();
    for endpoint in &endpoints {
        for watcher in ring.watchers(endpoint) {
            *watched.entry(watcher.clone()).or_default() += 1;
        }
    }
    for (id, count) in &watched {
        let daemon = daemons.get_mut(id).expect("a watcher is a daemon");
        daemon.period = read_period(*count);
    }
    let mut loads: Vec<LoadReport> = endpoints.iter().map(report).collect();
    let mut agreement = [0_u64; 2];
    for second in 1..=SECONDS {
        let now = Timestamp::from_millis(1_000 * second);
        for load in &mut loads {
            random_step(load, &mut rng);
            load.taken_at = now;
        }
        poll(now, &ring, &loads, &mut daemons);
        send_digests(now, &mut daemons);
        if second > SECONDS / 2 {
            compare(now, &loads, &daemons, &mut agreement);
        }
    }
    print(&daemons, agreement);
}

fn daemons(
    members: &[&Member],
    endpoints: &[EndpointId],
    rng: &mut Rng,
) -> BTreeMap<DaemonId, Daemon> {
    let mut daemons: BTreeMap<DaemonId, Daemon> = BTreeMap::new();
    for member in members {
        let mut subset = endpoints.to_vec();
        rng.shuffle(&mut subset);
        subset.truncate(SUBSET);
        for subscription in subscriptions(&subset, members) {
            let watcher = daemons.entry(subscription.watcher).or_default();
            let sender = &mut watcher.sender;
            sender.on_subscription(
                Timestamp::from_millis(1),
                &member.id,
                &subscription.endpoints,
            );
        }
        let daemon = daemons.entry(member.id.clone()).or_default();
        daemon.view.set_subset(&subset);
        daemon.subset = subset;
    }
    daemons
}

/// Polls the endpoints that are due; the first watcher of each sends digests of it.
fn poll(
    now: Timestamp,
    ring: &WatchRing,
    loads: &[LoadReport],
    daemons: &mut BTreeMap<DaemonId, Daemon>,
) {
    for (index, load) in loads.iter().enumerate() {
        for (rank, watcher) in ring.watchers(&load.endpoint).into_iter().enumerate() {
            let daemon = daemons.get_mut(watcher).expect("a watcher is a daemon");
            let period = daemon.period.as_millis().div_ceil(1_000) as u64;
            let second = now.0 / 1_000_000 + index as u64;
            if !second.is_multiple_of(period) {
                continue;
            }
            daemon.bytes_read += REPORT_BYTES;
            if rank == 0 {
                daemon.sender.on_report(load);
            }
        }
    }
}

fn send_digests(now: Timestamp, daemons: &mut BTreeMap<DaemonId, Daemon>) {
    let ids: Vec<DaemonId> = daemons.keys().cloned().collect();
    for (index, id) in ids.iter().enumerate() {
        // Subscriptions are renewed every minute.
        if (now.0 / 1_000_000 + index as u64).is_multiple_of(60) {
            renew_subscriptions(now, id, daemons);
        }
        let Some(daemon) = daemons.get_mut(id) else {
            continue;
        };
        for message in daemon.sender.due(now) {
            let bytes = message.max_bytes();
            let subscriber = daemons
                .get_mut(&message.to)
                .expect("a subscriber is a daemon");
            for report in &message.reports {
                subscriber.view.on_report(now, report);
            }
            subscriber.view.on_digest(now, &message.digest);
            subscriber.bytes_received += bytes;
        }
    }
}

fn renew_subscriptions(now: Timestamp, id: &DaemonId, daemons: &mut BTreeMap<DaemonId, Daemon>) {
    let subset = daemons[id].subset.clone();
    let members: Vec<Member> = (0..DAEMONS).map(member).collect();
    let members: Vec<&Member> = members.iter().collect();
    for subscription in subscriptions(&subset, &members) {
        let watcher = daemons
            .get_mut(&subscription.watcher)
            .expect("a watcher is a daemon");
        watcher
            .sender
            .on_subscription(now, id, &subscription.endpoints);
    }
}

/// Counts the loads in the view that are within one class of the actual load.
fn compare(
    now: Timestamp,
    loads: &[LoadReport],
    daemons: &BTreeMap<DaemonId, Daemon>,
    agreement: &mut [u64; 2],
) {
    for daemon in daemons.values() {
        for load in loads
            .iter()
            .filter(|load| daemon.subset.contains(&load.endpoint))
        {
            let actual = QuantisedLoad::of(load);
            let viewed = daemon.view.load(now, &load.endpoint);
            let is_close = viewed.is_some_and(|viewed| {
                let occupancy = viewed.load.occupancy.abs_diff(actual.occupancy);
                occupancy <= 1 && viewed.load.wait.0.abs_diff(actual.wait.0) <= 2
            });
            agreement[0] += u64::from(is_close);
            agreement[1] += 1;
        }
    }
}

fn print(daemons: &BTreeMap<DaemonId, Daemon>, agreement: [u64; 2]) {
    println!("daemons {DAEMONS}, endpoints {ENDPOINTS}, subset {SUBSET}, {SECONDS} s, seed 7");
    println!("{:<24} {:>8} {:>8}", "bytes a second", "mean", "most");
    print_row("reading endpoints", daemons, |daemon| daemon.bytes_read);
    print_row("sending loads", daemons, |daemon| {
        daemon.sender.bytes_sent()
    });
    print_row("receiving loads", daemons, |daemon| daemon.bytes_received);
    let periods: Vec<u64> = daemons
        .values()
        .map(|daemon| daemon.period.as_secs())
        .collect();
    let longest = periods.iter().max().copied().unwrap_or(0);
    println!("longest time between two polls of an endpoint: {longest} s");
    let percent = agreement[0] as f64 * 100.0 / agreement[1] as f64;
    println!("loads within one class of the actual load: {percent:.1}%");
}

fn print_row(name: &str, daemons: &BTreeMap<DaemonId, Daemon>, bytes: impl Fn(&Daemon) -> u64) {
    let all: Vec<u64> = daemons
        .values()
        .map(|daemon| bytes(daemon) / SECONDS)
        .collect();
    let mean = all.iter().sum::<u64>() / all.len() as u64;
    let max = all.iter().max().copied().unwrap_or(0);
    println!("{name:<24} {mean:>8} {max:>8}");
}

fn member(number: u16) -> Member {
    Member {
        id: DaemonId {
            vm: format!("vm-{number}").parse().expect("a valid name"),
            incarnation: Incarnation(1),
        },
        zone: format!("zone-{}", number % 3)
            .parse()
            .expect("a valid name"),
        peer_address: ([10, 0, 0, 1], 10_000 + number).into(),
        caller_address: ([10, 0, 0, 1], 20_000 + number).into(),
        certificate: CertificateFingerprint([0; 32]),
        leaving: false,
    }
}

fn endpoint(number: usize) -> EndpointId {
    format!("endpoint-{number}").parse().expect("a valid name")
}

fn report(endpoint: &EndpointId) -> LoadReport {
    LoadReport {
        endpoint: endpoint.clone(),
        sequence: 1,
        taken_at: Timestamp::ZERO,
        running: BATCH / 2,
        waiting: 0,
        batch: BATCH,
        prefill_backlog: Tokens(2_000),
        prefill: TokenRate(20_000),
        decode_per_request: TokenRate(25),
        services: Vec::new(),
        loads: None,
    }
}

/// Changes a load by a small random step, as requests start and finish.
fn random_step(load: &mut LoadReport, rng: &mut Rng) {
    load.sequence += 1;
    let step = rng.u32(0..5);
    load.running = (load.running + step).saturating_sub(2).clamp(8, BATCH);
    let tokens = rng.u64(0..1_600);
    let backlog = (load.prefill_backlog.get() + tokens).saturating_sub(800);
    load.prefill_backlog = Tokens(backlog.min(40_000));
}
