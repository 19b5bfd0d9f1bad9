//! Assigns endpoints to daemons: subsets for routing, and endpoints for the retry of suspects.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use super::endpoint_state::EndpointState;
use crate::domain;
use crate::hash;
use crate::ids::{AvailabilityZone, DaemonId};

/// Minimum number of daemons that use an endpoint.
const MIN_DAEMONS_PER_ENDPOINT: usize = 3;

domain! {
    /// A live daemon and its zone.
    pub struct Peer {
        /// Id of the daemon.
        pub daemon: DaemonId,
        /// Zone of its VM.
        pub zone: AvailabilityZone,
    }
}

/// Returns the hash of a daemon for rendezvous hashing.
pub(super) fn hash_of(daemon: &DaemonId) -> u64 {
    hash::digest64(&[daemon.to_string().as_bytes()])
}

/// Chooses the endpoints that a daemon uses, about `size` of them.
///
/// If enough other daemons are live, each endpoint picks the same number of daemons by
/// rendezvous hashing, so that all endpoints are used equally; a daemon that joins or leaves
/// changes only the assignments that it gains or releases. Otherwise the daemon picks endpoints
/// by its own hash.
pub(super) fn subset(
    own: u64,
    peers: &[u64],
    size: usize,
    states: &[EndpointState],
    region: &[usize],
) -> Vec<usize> {
    if region.len() <= size {
        return region.to_vec();
    }
    if peers.len() < MIN_DAEMONS_PER_ENDPOINT {
        return own_subset(own, size, states, region);
    }
    let daemons_per_endpoint = (size * peers.len())
        .div_ceil(region.len())
        .max(MIN_DAEMONS_PER_ENDPOINT);
    let is_picked = |index: &&usize| {
        let endpoint = states[**index].hash;
        let weight = hash::rendezvous_weight(endpoint, own);
        let stronger = |peer: &&u64| hash::rendezvous_weight(endpoint, **peer) > weight;
        peers
            .iter()
            .filter(stronger)
            .take(daemons_per_endpoint)
            .count()
            < daemons_per_endpoint
    };
    region.iter().filter(is_picked).copied().collect()
}

fn own_subset(own: u64, size: usize, states: &[EndpointState], region: &[usize]) -> Vec<usize> {
    let mut ranked = region.to_vec();
    ranked.sort_unstable_by_key(|index| Reverse(hash::rendezvous_weight(own, states[*index].hash)));
    ranked.truncate(size);
    ranked.sort_unstable();
    ranked
}

/// Returns the endpoints on which a daemon may retry suspects.
///
/// All daemons with the same view compute the same assignment, so that no two daemons retry
/// suspects on one endpoint at a time. If there are fewer endpoints than daemons, a daemon
/// without one uses the endpoint with the highest weight.
pub(super) fn trial_endpoints(
    own: u64,
    peers: &[u64],
    states: &[EndpointState],
    healthy: &[usize],
) -> BTreeSet<usize> {
    let daemons: BTreeSet<u64> = peers.iter().copied().chain([own]).collect();
    let mut pairs: Vec<(Reverse<u64>, usize, u64)> = Vec::new();
    for index in healthy {
        for daemon in &daemons {
            let weight = hash::rendezvous_weight(states[*index].hash, *daemon);
            pairs.push((Reverse(weight), *index, *daemon));
        }
    }
    pairs.sort_unstable();
    let assigned = assign(&pairs, healthy.len() / daemons.len());
    let own_endpoints: BTreeSet<usize> = assigned
        .iter()
        .filter(|(_, daemon)| *daemon == own)
        .map(|(index, _)| *index)
        .collect();
    if !own_endpoints.is_empty() {
        return own_endpoints;
    }
    let best = pairs.iter().find(|(_, _, daemon)| *daemon == own);
    best.map(|(_, index, _)| *index).into_iter().collect()
}

/// Assigns each endpoint to the daemon of the highest weight: first up to `quota` endpoints
/// to each daemon, then at most one more to each.
fn assign(pairs: &[(Reverse<u64>, usize, u64)], quota: usize) -> Vec<(usize, u64)> {
    let mut assigned: Vec<(usize, u64)> = Vec::new();
    for limit in [quota, quota + 1] {
        for (_, index, daemon) in pairs {
            let is_assigned = assigned.iter().any(|(known, _)| known == index);
            let count = assigned.iter().filter(|(_, known)| known == daemon).count();
            if !is_assigned && count < limit {
                assigned.push((*index, *daemon));
            }
        }
    }
    assigned
}
