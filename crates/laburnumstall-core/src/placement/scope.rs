//! What placement may touch: the rule that keeps it away from everything else.
//!
//! Placement acts in a region only while the operators' text gives at least one model
//! service a target and the region a zone. It then counts, orders and gives back only the
//! VMs that it bought for the region itself, and of these none that serves a service
//! without a target.

use crate::cloud::OwnedVm;
use crate::ids::{Region, ServiceName, VmId};
use crate::placement::observed::Observed;
use crate::placement::plan::{Plan, PlanSlot};
use crate::resources::{Service, System, VmRole};

/// Longest part of a region's name in the tokens of its requests, in bytes.
const LONGEST_PREFIX: usize = 64;

/// Tells whether the text asks placement to provide for anything in a region.
pub fn has_targets(system: &System, region: &Region) -> bool {
    let mut zones = system.zones.iter();
    let mut services = system.services.iter();
    let is_targeted = |service: &Service| service.model.is_some() && service.target.is_some();
    zones.any(|zone| zone.region == *region) && services.any(is_targeted)
}

/// Returns what the tokens of a region's requests begin with.
pub(super) fn token_prefix(region: &Region) -> &str {
    let region = region.as_str();
    &region[..region.len().min(LONGEST_PREFIX)]
}

/// Tells whether the token of a VM is one of a region's placement.
fn is_token_of(owned: &OwnedVm, region: &Region) -> bool {
    let token = owned.token.as_ref().map(|token| token.as_str());
    let rest = token.and_then(|token| token.strip_prefix(token_prefix(region)));
    rest.is_some_and(|rest| rest.starts_with('-'))
}

/// What decides whether a VM may be touched.
#[derive(Debug, Clone, Copy)]
pub(super) struct Scope<'a> {
    pub(super) system: &'a System,
    pub(super) region: &'a Region,
    pub(super) observed: &'a Observed,
}

impl Scope<'_> {
    /// Tells whether placement bought the VM for this region, and it serves no service
    /// that placement does not provide for.
    pub(super) fn is_own(&self, owned: &OwnedVm) -> bool {
        owned.vm.role == VmRole::Endpoint
            && self.system.region_of(&owned.vm.zone) == Some(self.region)
            && is_token_of(owned, self.region)
            && !self.serves_others(&owned.vm.id)
    }

    /// Tells whether the VM can be planned with: it is in the plan in force, or what it
    /// has loaded is known.
    pub(super) fn can_plan(&self, owned: &OwnedVm, plan: Option<&Plan>) -> bool {
        let fills = |slot: &PlanSlot| {
            slot.vm.as_ref() == Some(&owned.vm.id) || owned.token.as_ref() == Some(&slot.token)
        };
        let is_planned = plan.is_some_and(|plan| plan.slots.iter().any(fills));
        self.is_own(owned) && (is_planned || self.is_seen(&owned.vm.id))
    }

    /// Tells whether the VM may be given back: what it has loaded is known.
    pub(super) fn can_release(&self, owned: &OwnedVm) -> bool {
        self.is_own(owned) && self.is_seen(&owned.vm.id)
    }

    fn is_seen(&self, vm: &VmId) -> bool {
        self.observed.on_vm(vm).next().is_some()
    }

    /// Tells whether the VM was seen to serve a service of the text without a target.
    fn serves_others(&self, vm: &VmId) -> bool {
        let mut loads = self.observed.on_vm(vm).flat_map(|seen| &seen.loads);
        loads.any(|load| self.is_untargeted(&load.service))
    }

    fn is_untargeted(&self, name: &ServiceName) -> bool {
        let service = self.system.service(name);
        service.is_some_and(|service| service.target.is_none())
    }
}
