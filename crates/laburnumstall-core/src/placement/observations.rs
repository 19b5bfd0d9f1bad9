//! Observed loads of the endpoints of a region.

use std::collections::{BTreeMap, BTreeSet};

use crate::cloud::LoadOrder;
use crate::domain;
use crate::ids::{EndpointId, ServiceName, VmId};
use crate::units::Timestamp;

domain! {
    /// Loads that an endpoint was observed to have ready.
    pub struct ObservedEndpoint {
        /// The endpoint.
        pub endpoint: EndpointId,
        /// VM that the endpoint runs on.
        pub vm: VmId,
        /// Everything that the endpoint has loaded.
        pub loads: Vec<LoadOrder>,
        /// Time at which the observation began.
        pub taken_at: Timestamp,
    }
}

impl ObservedEndpoint {
    /// Returns whether the endpoint has all of `loads`.
    pub(super) fn has_all(&self, loads: &[LoadOrder]) -> bool {
        loads.iter().all(|load| self.loads.contains(load))
    }

    /// Returns whether the endpoint has a service loaded, in any version.
    pub(super) fn serves(&self, service: &ServiceName) -> bool {
        self.loads.iter().any(|load| load.service == *service)
    }
}

/// The latest observation of each endpoint.
#[derive(Debug, Clone, Default)]
pub(super) struct Observations {
    endpoints: BTreeMap<EndpointId, ObservedEndpoint>,
    by_vm: BTreeMap<VmId, BTreeSet<EndpointId>>,
}

impl Observations {
    /// Records an observation unless a newer one is present.
    pub(super) fn add(&mut self, observed: ObservedEndpoint) {
        let latest = self.endpoints.get(&observed.endpoint);
        if latest.is_some_and(|latest| latest.taken_at > observed.taken_at) {
            return;
        }
        let vm_endpoints = self.by_vm.entry(observed.vm.clone()).or_default();
        vm_endpoints.insert(observed.endpoint.clone());
        let earlier = self
            .endpoints
            .insert(observed.endpoint.clone(), observed.clone());
        if let Some(earlier) = earlier.filter(|earlier| earlier.vm != observed.vm)
            && let Some(vm_endpoints) = self.by_vm.get_mut(&earlier.vm)
        {
            vm_endpoints.remove(&earlier.endpoint);
        }
    }

    /// Removes the endpoints for which `is_kept` returns false.
    pub(super) fn retain(&mut self, is_kept: impl Fn(&ObservedEndpoint) -> bool) {
        self.endpoints.retain(|_, observed| is_kept(observed));
        let endpoints = &self.endpoints;
        for vm_endpoints in self.by_vm.values_mut() {
            vm_endpoints.retain(|endpoint| endpoints.contains_key(endpoint));
        }
        self.by_vm
            .retain(|_, vm_endpoints| !vm_endpoints.is_empty());
    }

    pub(super) fn get(&self, endpoint: &EndpointId) -> Option<&ObservedEndpoint> {
        self.endpoints.get(endpoint)
    }

    pub(super) fn on_vm<'a>(&'a self, vm: &VmId) -> impl Iterator<Item = &'a ObservedEndpoint> {
        let vm_endpoints = self.by_vm.get(vm);
        vm_endpoints
            .into_iter()
            .flatten()
            .filter_map(|endpoint| self.endpoints.get(endpoint))
    }

    /// Returns one service that the endpoint of each VM has loaded.
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
