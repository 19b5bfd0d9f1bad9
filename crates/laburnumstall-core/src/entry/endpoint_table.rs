//! Endpoints that are declared in the configuration file or run on VMs provisioned by placement.

use std::collections::BTreeMap;

use crate::ids::{EndpointId, ServiceName};
use crate::resources::{Endpoint, ServiceKind, System, Vm, VmRole, VmState};
use crate::units::Timestamp;

/// Endpoint VMs of the platform and the services that endpoints have loaded.
#[derive(Debug, Clone, Default)]
pub(super) struct EndpointTable {
    vms: Vec<Vm>,
    loaded_services: BTreeMap<EndpointId, Vec<ServiceName>>,
}

impl EndpointTable {
    /// Replaces the VMs by the endpoint VMs of a VM list.
    pub(super) fn set_vms(&mut self, vms: &[Vm]) {
        let is_endpoint = |vm: &&Vm| vm.role == VmRole::Endpoint;
        self.vms = vms.iter().filter(is_endpoint).cloned().collect();
    }

    /// Records the services that an endpoint has loaded; returns whether they changed.
    pub(super) fn set_loaded_services(
        &mut self,
        id: &EndpointId,
        services: &[ServiceName],
    ) -> bool {
        let old = self.loaded_services.insert(id.clone(), services.to_vec());
        old.as_deref() != Some(services)
    }

    /// Returns the endpoints on VMs that the platform will reclaim.
    pub(super) fn leaving(&self) -> Vec<LeavingEndpoint> {
        let leaving = self.vms.iter().filter_map(|vm| match vm.state {
            VmState::Live => None,
            VmState::Leaving { deadline } => Some(LeavingEndpoint {
                endpoint: endpoint_id(vm),
                deadline,
            }),
        });
        leaving.collect()
    }

    /// Returns the endpoint on a VM.
    pub(super) fn endpoint_on(&self, vm: &crate::ids::VmId) -> Option<EndpointId> {
        self.vms
            .iter()
            .find(|candidate| candidate.id == *vm)
            .map(endpoint_id)
    }

    /// Returns every endpoint with its loaded or configured services.
    pub(super) fn endpoints(&self, system: &System) -> Vec<Endpoint> {
        let on_vms = self.vms.iter().map(|vm| {
            let id = endpoint_id(vm);
            let services = self.loaded_services.get(&id).cloned().unwrap_or_default();
            Endpoint {
                vm: vm.id.clone(),
                zone: vm.zone.clone(),
                address: vm.address,
                services,
                id,
            }
        });
        let mut endpoints: Vec<Endpoint> = on_vms.collect();
        for service in &system.services {
            for declared in &service.endpoints {
                add_declared(&mut endpoints, service, declared);
            }
        }
        endpoints
    }

    /// Returns the endpoints whose load can be polled: model engines, not plain applications.
    pub(super) fn pollable(&self, system: &System) -> Vec<Endpoint> {
        let is_plain = |endpoint: &Endpoint| {
            let kinds = endpoint
                .services
                .iter()
                .filter_map(|name| system.service(name))
                .map(|service| service.kind);
            let mut kinds = kinds.peekable();
            kinds.peek().is_some() && kinds.all(|kind| kind == ServiceKind::Plain)
        };
        let mut endpoints = self.endpoints(system);
        endpoints.retain(|endpoint| !is_plain(endpoint));
        endpoints
    }
}

/// An endpoint whose VM is about to be reclaimed.
pub(super) struct LeavingEndpoint {
    pub(super) endpoint: EndpointId,
    pub(super) deadline: Timestamp,
}

fn endpoint_id(vm: &Vm) -> EndpointId {
    let id = vm.id.as_str().parse();
    id.expect("a VM identifier is a valid endpoint identifier")
}

fn add_declared(
    endpoints: &mut Vec<Endpoint>,
    service: &crate::resources::Service,
    declared: &crate::resources::StaticEndpoint,
) {
    let existing = endpoints
        .iter_mut()
        .find(|existing| existing.id == declared.id);
    if let Some(existing) = existing {
        if !existing.services.contains(&service.name) {
            existing.services.push(service.name.clone());
        }
        return;
    }
    let vm = declared.id.as_str().parse();
    endpoints.push(Endpoint {
        id: declared.id.clone(),
        vm: vm.expect("an endpoint identifier is a valid VM identifier"),
        zone: declared.zone.clone(),
        address: declared.address,
        services: vec![service.name.clone()],
    });
}
