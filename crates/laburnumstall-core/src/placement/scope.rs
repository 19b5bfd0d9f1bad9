//! Limits placement to the VMs that it manages.
//!
//! Placement acts in a region only while the configuration has a target for at least one model
//! service and a zone in the region. It then counts, orders and releases only the VMs that it
//! provisioned for the region, except VMs that serve a service without a target.

use crate::cloud::OwnedVm;
use crate::ids::{Region, ServiceName, VmId};
use crate::placement::observations::Observations;
use crate::placement::plan::{Plan, PlanSlot};
use crate::resources::{Service, System, VmRole};

/// Maximum length of the region's name in the tokens of its requests, in bytes.
const MAX_PREFIX_BYTES: usize = 64;

/// Returns whether the configuration has a zone in the region and a model service with a
/// target.
pub fn has_targets(system: &System, region: &Region) -> bool {
    let mut zones = system.zones.iter();
    let mut services = system.services.iter();
    let is_targeted = |service: &Service| service.model.is_some() && service.target.is_some();
    zones.any(|zone| zone.region == *region) && services.any(is_targeted)
}

/// Returns the prefix of the tokens of a region's requests.
pub(super) fn token_prefix(region: &Region) -> &str {
    let region = region.as_str();
    &region[..region.len().min(MAX_PREFIX_BYTES)]
}

/// Returns whether a VM was requested by the placement of a region, according to its token.
fn has_token_of(owned: &OwnedVm, region: &Region) -> bool {
    let token = owned.token.as_ref().map(|token| token.as_str());
    let suffix = token.and_then(|token| token.strip_prefix(token_prefix(region)));
    suffix.is_some_and(|suffix| suffix.starts_with('-'))
}

/// Decides which VMs placement may use and release.
#[derive(Debug, Clone, Copy)]
pub(super) struct Scope<'a> {
    pub(super) system: &'a System,
    pub(super) region: &'a Region,
    pub(super) observations: &'a Observations,
}

impl Scope<'_> {
    /// Returns whether placement provisioned the VM for this region and the VM serves no
    /// service without a target.
    pub(super) fn is_own(&self, owned: &OwnedVm) -> bool {
        owned.vm.role == VmRole::Endpoint
            && self.system.region_of(&owned.vm.zone) == Some(self.region)
            && has_token_of(owned, self.region)
            && !self.serves_untargeted(&owned.vm.id)
    }

    /// Returns whether the VM may be part of a plan: it is in the plan in force, or its
    /// loads were observed.
    pub(super) fn can_plan(&self, owned: &OwnedVm, plan: Option<&Plan>) -> bool {
        let fills = |slot: &PlanSlot| {
            slot.vm.as_ref() == Some(&owned.vm.id) || owned.token.as_ref() == Some(&slot.token)
        };
        let is_planned = plan.is_some_and(|plan| plan.slots.iter().any(fills));
        self.is_own(owned) && (is_planned || self.is_observed(&owned.vm.id))
    }

    /// Returns whether the VM may be released, which requires that its loads were observed.
    pub(super) fn can_release(&self, owned: &OwnedVm) -> bool {
        self.is_own(owned) && self.is_observed(&owned.vm.id)
    }

    fn is_observed(&self, vm: &VmId) -> bool {
        self.observations.on_vm(vm).next().is_some()
    }

    /// Returns whether the VM was observed to serve a configured service without a target.
    fn serves_untargeted(&self, vm: &VmId) -> bool {
        let mut loads = self
            .observations
            .on_vm(vm)
            .flat_map(|endpoint| &endpoint.loads);
        loads.any(|load| self.is_untargeted(&load.service))
    }

    fn is_untargeted(&self, name: &ServiceName) -> bool {
        let service = self.system.service(name);
        service.is_some_and(|service| service.target.is_none())
    }
}
