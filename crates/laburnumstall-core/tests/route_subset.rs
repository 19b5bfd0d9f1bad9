//! Endpoint subsets have a constant size, are spread evenly and are stable.

#[path = "support/endpoint.rs"]
mod endpoint;

use std::collections::BTreeSet;

use laburnumstall_core::prelude::*;
use laburnumstall_core::routing::{Peer, Router, SUBSET_SIZE};

use endpoint::{daemon, endpoint};

const ENDPOINTS: u64 = 2_500;
const DAEMONS: u64 = 220;

fn peer(number: u64) -> Peer {
    Peer {
        daemon: daemon(number),
        zone: format!("zone-{}", number % 3).parse().unwrap(),
    }
}

fn subset(of: u64, daemons: u64, count: u64) -> BTreeSet<EndpointId> {
    let peers: Vec<Peer> = (0..daemons).map(peer).collect();
    let own = peer(of);
    let mut router = Router::new(&own.daemon, own.zone);
    router.set_peers(&peers);
    let endpoints = (0..count).map(endpoint).collect();
    router.set_endpoints(Timestamp::ZERO, endpoints);
    router.subset(&"clerk".parse().unwrap()).cloned().collect()
}

/// Fails if `peers::subset` falls back to `own_subset`: no daemon would use some endpoints.
#[test]
fn endpoints_are_used_equally() {
    let daemons_per_endpoint = (SUBSET_SIZE as u64 * DAEMONS).div_ceil(ENDPOINTS);
    let mut users = vec![0; ENDPOINTS as usize];
    for daemon in 0..DAEMONS {
        let subset = subset(daemon, DAEMONS, ENDPOINTS);
        assert!((SUBSET_SIZE / 2..SUBSET_SIZE * 2).contains(&subset.len()));
        let zones: BTreeSet<usize> = subset.iter().map(|id| number(id) % 3).collect();
        assert_eq!(zones.len(), 3, "the loss of a zone leaves endpoints");
        subset.iter().for_each(|id| users[number(id)] += 1);
    }
    assert!(users.iter().all(|users| *users == daemons_per_endpoint));
}

fn number(id: &EndpointId) -> usize {
    id.as_str()[3..].parse().unwrap()
}

/// Fails if the subset depends on the order or the number of the endpoints or daemons.
#[test]
fn few_assignments_change() {
    for daemon in 0..10 {
        let before = subset(daemon, DAEMONS, ENDPOINTS);
        let with_endpoint = subset(daemon, DAEMONS, ENDPOINTS + 1);
        assert!(before.symmetric_difference(&with_endpoint).count() <= 1);
        let with_daemon = subset(daemon, DAEMONS + 1, ENDPOINTS);
        assert!(with_daemon.is_subset(&before));
        assert!(before.len() - with_daemon.len() <= 4);
    }
}

/// Fails if `subset` truncates a list that fits: with few endpoints, all are used.
#[test]
fn few_endpoints_are_all_used() {
    for daemon in 0..4 {
        assert_eq!(subset(daemon, 4, 12).len(), 12);
    }
    assert_eq!(subset(0, 1, 1_000).len(), SUBSET_SIZE);
}
