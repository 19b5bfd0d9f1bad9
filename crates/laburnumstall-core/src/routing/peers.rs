//! Which daemon uses which endpoints: the subsets, and who may retry suspects where.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use super::slot::Slot;
use crate::domain;
use crate::hash;
use crate::ids::{AvailabilityZone, DaemonId};

/// Fewest daemons that use an endpoint.
const MIN_COVER: usize = 3;

domain! {
    /// A live daemon and its zone.
    pub struct Peer {
        /// The daemon.
        pub daemon: DaemonId,
        /// Zone of its VM.
        pub zone: AvailabilityZone,
    }
}

/// Returns the hash by which a daemon takes part in rendezvous hashing.
pub(super) fn hash_of(daemon: &DaemonId) -> u64 {
    hash::digest64(&[daemon.to_string().as_bytes()])
}

/// Chooses the endpoints that a daemon uses, about `size` of them.
///
/// With the other daemons known, each endpoint picks the same number of daemons by
/// rendezvous hashing, so that all are used alike. A daemon that comes or goes changes
/// only its own places. Without them, the daemon picks endpoints by its own hash.
pub(super) fn subset(
    own: u64,
    peers: &[u64],
    size: usize,
    slots: &[Slot],
    near: &[usize],
) -> Vec<usize> {
    if near.len() <= size {
        return near.to_vec();
    }
    if peers.len() < MIN_COVER {
        return own_choice(own, size, slots, near);
    }
    let cover = (size * peers.len()).div_ceil(near.len()).max(MIN_COVER);
    let is_picked = |index: &&usize| {
        let endpoint = slots[**index].hash;
        let weight = hash::rendezvous_weight(endpoint, own);
        let stronger = |peer: &&u64| hash::rendezvous_weight(endpoint, **peer) > weight;
        peers.iter().filter(stronger).take(cover).count() < cover
    };
    near.iter().filter(is_picked).copied().collect()
}

fn own_choice(own: u64, size: usize, slots: &[Slot], near: &[usize]) -> Vec<usize> {
    let mut ranked = near.to_vec();
    ranked.sort_unstable_by_key(|index| Reverse(hash::rendezvous_weight(own, slots[*index].hash)));
    ranked.truncate(size);
    ranked.sort_unstable();
    ranked
}

/// Returns the endpoints on which a daemon may retry suspects.
///
/// Every daemon with the same view deals the same endpoints, so that no two daemons retry
/// suspects on one endpoint at a time. With fewer endpoints than daemons, a daemon that
/// gets none uses the one with the highest weight.
pub(super) fn trial_endpoints(
    own: u64,
    peers: &[u64],
    slots: &[Slot],
    healthy: &[usize],
) -> BTreeSet<usize> {
    let daemons: BTreeSet<u64> = peers.iter().copied().chain([own]).collect();
    let mut pairs: Vec<(Reverse<u64>, usize, u64)> = Vec::new();
    for index in healthy {
        for daemon in &daemons {
            let weight = hash::rendezvous_weight(slots[*index].hash, *daemon);
            pairs.push((Reverse(weight), *index, *daemon));
        }
    }
    pairs.sort_unstable();
    let dealt = deal(&pairs, healthy.len() / daemons.len());
    let mine: BTreeSet<usize> = dealt
        .iter()
        .filter(|(_, daemon)| *daemon == own)
        .map(|(index, _)| *index)
        .collect();
    if !mine.is_empty() {
        return mine;
    }
    let best = pairs.iter().find(|(_, _, daemon)| *daemon == own);
    best.map(|(_, index, _)| *index).into_iter().collect()
}

/// Deals each endpoint to the daemon of the highest weight: first up to `quota` endpoints
/// to each daemon, then the rest one by one.
fn deal(pairs: &[(Reverse<u64>, usize, u64)], quota: usize) -> Vec<(usize, u64)> {
    let mut dealt: Vec<(usize, u64)> = Vec::new();
    for limit in [quota, quota + 1] {
        for (_, index, daemon) in pairs {
            let is_dealt = dealt.iter().any(|(known, _)| known == index);
            let count = dealt.iter().filter(|(_, known)| known == daemon).count();
            if !is_dealt && count < limit {
                dealt.push((*index, *daemon));
            }
        }
    }
    dealt
}
