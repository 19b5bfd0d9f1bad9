//! Computes the share of a pool's load that one VM of a class serves at the latency target.
//!
//! A request occupies an engine for its prompt at the prefill rate and for its answer at the
//! decode rate; the class's decode rate already accounts for the time between tokens. The time
//! to first token limits the prefill utilization `u`: with a single-server queue, Poisson
//! arrivals and equal prompts (M/D/1, Pollaczek-Khinchine formula) the mean wait is `u S / (2
//! (1 - u))` for a prompt whose prefill takes `S`. The 95th percentile of the wait is about
//! three times the mean, as for an exponential tail.

use std::time::Duration;

use crate::cloud::LoadOrder;
use crate::ids::{ServiceName, VmClass};
use crate::resources::{Service, System, TargetLoad, VmClassSpec};

/// Target for the 95th percentile of the time to first token.
pub const FIRST_TOKEN_TARGET: Duration = Duration::from_secs(1);

/// The full target load of a pool, in units of capacity.
pub(super) const FULL_TARGET: u64 = 1_000_000_000;

/// Ratio of the 95th percentile of the wait to its mean.
const P95_TO_MEAN_WAIT: u128 = 3;

/// Services with the same model, version and list of classes, which share endpoints.
#[derive(Debug, Clone)]
pub(super) struct Pool<'a> {
    pub(super) services: Vec<&'a Service>,
}

impl<'a> Pool<'a> {
    /// Returns the pools of a system, sorted by the name of their first service.
    pub(super) fn all(system: &'a System) -> Vec<Self> {
        let mut services: Vec<&Service> = system
            .services
            .iter()
            .filter(|service| service.model.is_some() && service.target.is_some())
            .collect();
        services.sort_by(|a, b| a.name.cmp(&b.name));
        let mut pools: Vec<Self> = Vec::new();
        for service in services {
            match pools
                .iter_mut()
                .find(|pool| pool.shares_endpoints_with(service))
            {
                Some(pool) => pool.services.push(service),
                None => pools.push(Self {
                    services: vec![service],
                }),
            }
        }
        pools
    }

    pub(super) fn name(&self) -> &'a ServiceName {
        &self.services[0].name
    }

    /// Returns the loads that each endpoint of the pool should have.
    pub(super) fn loads(&self) -> Vec<LoadOrder> {
        let load = |service: &&Service| {
            let need = service.model.as_ref()?;
            Some(LoadOrder {
                service: service.name.clone(),
                model: need.model.clone(),
                adapter: need.adapter.clone(),
                version: need.version.clone(),
            })
        };
        self.services.iter().filter_map(load).collect()
    }

    /// Returns the VM classes that can run the pool's model.
    pub(super) fn classes<'s>(&self, system: &'s System) -> Vec<&'s VmClassSpec> {
        let names: &[VmClass] = self.services[0]
            .model
            .as_ref()
            .map_or(&[], |need| need.classes.as_slice());
        names.iter().filter_map(|name| system.class(name)).collect()
    }

    /// Returns the share of [`FULL_TARGET`] that one VM serves, or 0 if it misses the latency
    /// target.
    pub(super) fn capacity(&self, class: &VmClassSpec, share_permille: u32) -> u64 {
        let mut busy = 0_u128;
        for service in &self.services {
            let Some(target) = &service.target else {
                continue;
            };
            let Some(nanos) = nanos_per_request(target, class) else {
                return 0;
            };
            let requests = u128::from(target.requests.get()) * u128::from(share_permille);
            busy += requests * nanos;
        }
        // VM-seconds per second, in billionths, is the number of VMs that the target needs.
        let vms_nano = (busy / 1_000).max(1);
        let share = u128::from(FULL_TARGET) * 1_000_000_000 / vms_nano;
        share.min(u128::from(FULL_TARGET)) as u64
    }

    fn shares_endpoints_with(&self, service: &Service) -> bool {
        let (Some(a), Some(b)) = (&self.services[0].model, &service.model) else {
            return false;
        };
        a.model == b.model && a.version == b.version && a.classes == b.classes
    }
}

/// Returns the time that a request occupies a VM, including the idle time that keeps the
/// time to first token at its target; `None` if the class cannot reach the target.
fn nanos_per_request(target: &TargetLoad, class: &VmClassSpec) -> Option<u128> {
    let second = 1_000_000_000_u128;
    let ttft = FIRST_TOKEN_TARGET.as_nanos();
    let prompt = u128::from(target.prompt.get());
    let prefill = prompt * second / u128::from(class.prefill.get().max(1));
    if prefill >= ttft || class.decode.get() == 0 {
        return None;
    }
    let decode = u128::from(target.answer.get()) * second / u128::from(class.decode.get());
    // Largest `u` with `S + 3 u S / (2 (1 - u)) <= ttft`: `2 slack / (3 S + 2 slack)`.
    let slack = ttft - prefill;
    let occupied = prefill * (P95_TO_MEAN_WAIT * prefill + 2 * slack) / (2 * slack);
    Some(occupied + decode)
}
