//! Time of a daemon's control operations, by number of daemons.
//!
//! `cargo run --release --example control_slopes -p laburnumstall-core`
//!
//! Each figure is the mean of many iterations on one thread.

#[path = "support/timing.rs"]
mod timing;

use std::hint::black_box;
use std::time::Duration;

use laburnumstall_core::membership::{CertificateFingerprint, Evidence, Member, Membership};
use laburnumstall_core::prelude::*;
use laburnumstall_core::watch::WatchRing;
use timing::micros;

/// Endpoints per daemon in a region of the target size.
const ENDPOINTS_PER_DAEMON: usize = 11;

fn main() {
    println!(
        "{:>8} {:>10} {:>10} {:>10} {:>10} {:>10} {:>12} {:>14}",
        "daemons", "listing", "tick", "heartbeat", "digest", "targets", "standby", "watch 1 region"
    );
    for count in [4, 55, 220, 880] {
        row(count);
    }
    println!("microseconds each; the last column assigns all endpoints of that many daemons");
}

fn row(count: u16) {
    let members: Vec<Member> = (0..count).map(member).collect();
    let mut view = Membership::new(members[0].clone());
    let journal = &mut Journal::default();
    let mut now = Timestamp::from_millis(1_000);
    view.on_registry(now, &members, journal);
    view.tick(now, journal);
    journal.take();
    let listing = micros(|| view.on_registry(now, &members, journal));
    let tick = micros(|| {
        now = now.after(Duration::from_micros(1));
        black_box(view.tick(now, journal));
    });
    let other = members[1].id.clone();
    let heartbeat = micros(|| view.on_evidence(now, &other, Evidence::Heartbeat, journal));
    let digest = micros(|| {
        black_box(view.digest());
    });
    let targets = micros(|| {
        black_box(view.heartbeat_targets());
    });
    let mut lookup_hash = 0;
    let standby = micros(|| {
        lookup_hash += 1;
        black_box(view.standby(LookupHash(lookup_hash), &members[0].zone, &[]));
    });
    let region: Vec<&Member> = members.iter().collect();
    let watch = assignments(&region);
    println!(
        "{count:>8} {listing:>10.1} {tick:>10.1} {heartbeat:>10.2} {digest:>10.1} \
         {targets:>10.1} {standby:>12.2} {watch:>14.0}"
    );
}

fn assignments(region: &[&Member]) -> f64 {
    let endpoints: Vec<EndpointId> = (0..region.len() * ENDPOINTS_PER_DAEMON)
        .map(|number| format!("endpoint-{number}").parse().expect("a valid name"))
        .collect();
    let ring = WatchRing::new(region);
    micros(|| {
        black_box(ring.assignments(&region[0].id, &endpoints));
    })
}

fn member(number: u16) -> Member {
    Member {
        id: DaemonId {
            vm: format!("vm-{number}").parse().expect("a valid name"),
            incarnation: Incarnation(1),
        },
        zone: format!("zone-{}", number % 11)
            .parse()
            .expect("a valid name"),
        peer_address: ([10, 0, 0, 1], 10_000 + number).into(),
        caller_address: ([10, 0, 0, 1], 20_000 + number).into(),
        certificate: CertificateFingerprint([0; 32]),
        leaving: false,
    }
}
