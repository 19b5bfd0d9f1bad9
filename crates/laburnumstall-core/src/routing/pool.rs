//! The endpoints of each service, grouped in order of preference.

use std::collections::BTreeMap;

use super::endpoint_state::EndpointState;
use crate::ids::ServiceName;

/// Number of endpoints of one service that a daemon uses, so that its state and its
/// connections do not grow with the fleet.
pub const SUBSET_SIZE: usize = 64;

/// The endpoints of one service, as indices of endpoint states.
#[derive(Debug, Clone, Default)]
pub(super) struct Pool {
    /// Endpoints that this daemon uses.
    pub(super) subset: Vec<usize>,
    /// Endpoints of the daemon's region, used if none of the subset is usable.
    pub(super) region: Vec<usize>,
    /// All endpoints, used if none of the region is usable.
    pub(super) all: Vec<usize>,
}

impl Pool {
    /// Returns the groups of endpoints in the order in which they are tried.
    pub(super) fn groups(&self) -> [&[usize]; 3] {
        [&self.subset, &self.region, &self.all]
    }
}

/// Groups the endpoints by service; `choose_subset` picks among the endpoints for which
/// `is_in_region` holds, or among all if there are none.
pub(super) fn build(
    states: &[EndpointState],
    is_in_region: impl Fn(&EndpointState) -> bool,
    choose_subset: impl Fn(&[usize]) -> Vec<usize>,
) -> BTreeMap<ServiceName, Pool> {
    let mut pools: BTreeMap<ServiceName, Pool> = BTreeMap::new();
    for (index, state) in states.iter().enumerate() {
        for service in &state.endpoint.services {
            let pool = pools.entry(service.clone()).or_default();
            pool.all.push(index);
            if is_in_region(state) {
                pool.region.push(index);
            }
        }
    }
    for pool in pools.values_mut() {
        if pool.region.is_empty() {
            pool.region.clone_from(&pool.all);
        }
        pool.subset = choose_subset(&pool.region);
    }
    pools
}
