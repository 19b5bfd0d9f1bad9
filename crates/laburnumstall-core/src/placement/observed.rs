//! What the endpoints of a region were seen to have loaded.

use std::collections::{BTreeMap, BTreeSet};

use crate::cloud::LoadOrder;
use crate::domain;
use crate::ids::{EndpointId, ServiceName, VmId};
use crate::units::Timestamp;

domain! {
    /// What an endpoint was seen to have loaded and ready.
    pub struct ObservedEndpoint {
        /// The endpoint.
        pub endpoint: EndpointId,
        /// VM that it runs on.
        pub vm: VmId,
        /// Everything that it has loaded.
        pub loads: Vec<LoadOrder>,
        /// When the reading began.
        pub taken_at: Timestamp,
    }
}

impl ObservedEndpoint {
    /// Tells whether all of `loads` are there.
    pub(super) fn has_all(&self, loads: &[LoadOrder]) -> bool {
        loads.iter().all(|load| self.loads.contains(load))
    }

    /// Tells whether a service is loaded, in any version.
    pub(super) fn serves(&self, service: &ServiceName) -> bool {
        self.loads.iter().any(|load| load.service == *service)
    }
}

/// The latest reading of each endpoint.
#[derive(Debug, Clone, Default)]
pub(super) struct Observed {
    endpoints: BTreeMap<EndpointId, ObservedEndpoint>,
    by_vm: BTreeMap<VmId, BTreeSet<EndpointId>>,
}

impl Observed {
    /// Takes in a reading; one that is older than the last changes nothing.
    pub(super) fn add(&mut self, observed: ObservedEndpoint) {
        let known = self.endpoints.get(&observed.endpoint);
        if known.is_some_and(|known| known.taken_at > observed.taken_at) {
            return;
        }
        let of_vm = self.by_vm.entry(observed.vm.clone()).or_default();
        of_vm.insert(observed.endpoint.clone());
        let earlier = self
            .endpoints
            .insert(observed.endpoint.clone(), observed.clone());
        if let Some(earlier) = earlier.filter(|earlier| earlier.vm != observed.vm)
            && let Some(of_vm) = self.by_vm.get_mut(&earlier.vm)
        {
            of_vm.remove(&earlier.endpoint);
        }
    }

    /// Forgets the endpoints that `is_kept` does not hold for.
    pub(super) fn retain(&mut self, is_kept: impl Fn(&ObservedEndpoint) -> bool) {
        self.endpoints.retain(|_, observed| is_kept(observed));
        let endpoints = &self.endpoints;
        for of_vm in self.by_vm.values_mut() {
            of_vm.retain(|endpoint| endpoints.contains_key(endpoint));
        }
        self.by_vm.retain(|_, of_vm| !of_vm.is_empty());
    }

    pub(super) fn get(&self, endpoint: &EndpointId) -> Option<&ObservedEndpoint> {
        self.endpoints.get(endpoint)
    }

    pub(super) fn on_vm<'a>(&'a self, vm: &VmId) -> impl Iterator<Item = &'a ObservedEndpoint> {
        let of_vm = self.by_vm.get(vm);
        of_vm
            .into_iter()
            .flatten()
            .filter_map(|endpoint| self.endpoints.get(endpoint))
    }

    /// Returns one service that each VM's endpoint has loaded.
    pub(super) fn serving(&self) -> BTreeMap<VmId, ServiceName> {
        self.endpoints
            .values()
            .filter_map(|observed| {
                let first = observed.loads.first()?;
                Some((observed.vm.clone(), first.service.clone()))
            })
            .collect()
    }
}
