//! The endpoints of each service, and the subset of them that this daemon uses.
//!
//! A daemon uses at most [`SUBSET_SIZE`] endpoints of a service, so that its state and
//! connections do not grow with the fleet. Rendezvous hashing of the daemon's name over
//! the endpoints picks them: the subset changes by one when one endpoint comes or goes.

use std::collections::BTreeMap;

use super::slot::Slot;
use crate::hash;
use crate::ids::ServiceName;

/// Most endpoints of one service that a daemon uses.
pub const SUBSET_SIZE: usize = 64;

/// The endpoints of one service, as indices of slots.
#[derive(Debug, Clone, Default)]
pub(super) struct Pool {
    /// Endpoints that this daemon uses.
    pub(super) subset: Vec<usize>,
    /// All endpoints, for when none of the subset is usable.
    pub(super) all: Vec<usize>,
}

/// Sorts the endpoints into the pools of their services.
pub(super) fn build(
    daemon: u64,
    subset_size: usize,
    slots: &[Slot],
) -> BTreeMap<ServiceName, Pool> {
    let mut pools: BTreeMap<ServiceName, Pool> = BTreeMap::new();
    for (index, slot) in slots.iter().enumerate() {
        for service in &slot.endpoint.services {
            pools.entry(service.clone()).or_default().all.push(index);
        }
    }
    for pool in pools.values_mut() {
        pool.subset = choose_subset(daemon, subset_size, slots, &pool.all);
    }
    pools
}

fn choose_subset(daemon: u64, size: usize, slots: &[Slot], all: &[usize]) -> Vec<usize> {
    if all.len() <= size {
        return all.to_vec();
    }
    let mut ranked = all.to_vec();
    ranked.sort_unstable_by_key(|index| {
        std::cmp::Reverse(hash::rendezvous_weight(daemon, slots[*index].hash))
    });
    ranked.truncate(size);
    ranked.sort_unstable();
    ranked
}
