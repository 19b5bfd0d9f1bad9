//! The endpoints of each service, by how this daemon uses them.

use std::collections::BTreeMap;

use super::slot::Slot;
use crate::ids::ServiceName;

/// Number of endpoints of one service that a daemon uses, so that its state and its
/// connections do not grow with the fleet.
pub const SUBSET_SIZE: usize = 64;

/// The endpoints of one service, as indices of slots.
#[derive(Debug, Clone, Default)]
pub(super) struct Pool {
    /// Endpoints that this daemon uses.
    pub(super) subset: Vec<usize>,
    /// Endpoints of the daemon's region, for when none of the subset is usable.
    pub(super) near: Vec<usize>,
    /// All endpoints, for when none of the region is usable.
    pub(super) all: Vec<usize>,
}

impl Pool {
    /// Returns the groups of endpoints in the order in which they are tried.
    pub(super) fn groups(&self) -> [&[usize]; 3] {
        [&self.subset, &self.near, &self.all]
    }
}

/// Sorts the endpoints into the pools of their services; `choose_subset` picks among the
/// endpoints for which `is_near` holds, or among all if there are none.
pub(super) fn build(
    slots: &[Slot],
    is_near: impl Fn(&Slot) -> bool,
    choose_subset: impl Fn(&[usize]) -> Vec<usize>,
) -> BTreeMap<ServiceName, Pool> {
    let mut pools: BTreeMap<ServiceName, Pool> = BTreeMap::new();
    for (index, slot) in slots.iter().enumerate() {
        for service in &slot.endpoint.services {
            let pool = pools.entry(service.clone()).or_default();
            pool.all.push(index);
            if is_near(slot) {
                pool.near.push(index);
            }
        }
    }
    for pool in pools.values_mut() {
        if pool.near.is_empty() {
            pool.near.clone_from(&pool.all);
        }
        pool.subset = choose_subset(&pool.near);
    }
    pools
}
