//! What the endpoints of a region were seen to have loaded.

use std::collections::BTreeMap;

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
}

impl Observed {
    /// Takes in a reading; one that is older than the last changes nothing.
    pub(super) fn add(&mut self, observed: ObservedEndpoint) {
        let known = self.endpoints.get(&observed.endpoint);
        if known.is_none_or(|known| known.taken_at <= observed.taken_at) {
            self.endpoints.insert(observed.endpoint.clone(), observed);
        }
    }

    /// Forgets endpoints whose VM is gone.
    pub(super) fn keep_vms(&mut self, is_there: impl Fn(&VmId) -> bool) {
        self.endpoints.retain(|_, observed| is_there(&observed.vm));
    }

    pub(super) fn get(&self, endpoint: &EndpointId) -> Option<&ObservedEndpoint> {
        self.endpoints.get(endpoint)
    }

    pub(super) fn on_vm<'a>(&'a self, vm: &VmId) -> impl Iterator<Item = &'a ObservedEndpoint> {
        let vm = vm.clone();
        self.endpoints
            .values()
            .filter(move |observed| observed.vm == vm)
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
