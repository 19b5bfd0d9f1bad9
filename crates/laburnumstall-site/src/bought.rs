//! The engines on VMs that the system buys from the stand-in cloud.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use laburnumstall_core::cloud::{ClientToken, EndpointOrder, VmRequest};
use laburnumstall_core::ids::{AvailabilityZone, VmId};
use laburnumstall_standins::cloud::VmHook;
use laburnumstall_standins::engine::{EngineCounts, EngineSpec, EngineStandIn};

/// An engine on a VM that the system bought.
struct BoughtEngine {
    vm: VmId,
    zone: AvailabilityZone,
    token: ClientToken,
    engine: Option<EngineStandIn>,
}

/// What is known of an engine on a VM that the system bought.
#[derive(Debug, Clone)]
pub struct BoughtVm {
    /// VM and endpoint, which have the same name.
    pub vm: VmId,
    /// Zone of the VM.
    pub zone: AvailabilityZone,
    /// Token that it was asked for with.
    pub token: ClientToken,
    /// Whether the VM is still there.
    pub is_there: bool,
    /// Orders that took effect.
    pub orders: Vec<EndpointOrder>,
    /// What the engine has done.
    pub counts: EngineCounts,
}

/// All engines on VMs that the system bought; clones share them.
#[derive(Clone, Default)]
pub struct BoughtEngines {
    engines: Arc<Mutex<Vec<BoughtEngine>>>,
}

impl BoughtEngines {
    /// Returns what is known of each, in the order of buying.
    pub fn read(&self) -> Vec<BoughtVm> {
        let known = |bought: &BoughtEngine| BoughtVm {
            vm: bought.vm.clone(),
            zone: bought.zone.clone(),
            token: bought.token.clone(),
            is_there: bought.is_there(),
            orders: bought.engine.as_ref().map_or(Vec::new(), |e| e.orders()),
            counts: bought
                .engine
                .as_ref()
                .map_or_else(Default::default, |e| e.counts()),
        };
        self.lock().iter().map(known).collect()
    }

    /// Returns what is known of those that are still there.
    pub fn there(&self) -> Vec<BoughtVm> {
        let mut known = self.read();
        known.retain(|bought| bought.is_there);
        known
    }

    /// Starts and stops engines for a cloud.
    pub(crate) fn hook(&self, token_period: Duration) -> EngineHook {
        EngineHook {
            engines: self.clone(),
            token_period,
        }
    }

    /// Stops all engines.
    pub(crate) fn close(&self) {
        for bought in self.lock().iter() {
            bought.stop();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<BoughtEngine>> {
        self.engines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BoughtEngine {
    fn is_there(&self) -> bool {
        self.engine
            .as_ref()
            .is_some_and(|engine| !engine.is_crashed())
    }

    fn stop(&self) {
        if let Some(engine) = &self.engine {
            engine.crash();
        }
    }
}

/// Runs an engine without any loads on each VM that is granted.
pub struct EngineHook {
    engines: BoughtEngines,
    token_period: Duration,
}

impl VmHook for EngineHook {
    fn started(&mut self, id: &VmId, request: &VmRequest) -> SocketAddr {
        let name = id.as_str().parse();
        let mut spec = EngineSpec::new(name.expect("a VM's name is a valid endpoint name"));
        spec.token_period = self.token_period;
        // A VM whose engine does not start is one that never answers.
        let engine = EngineStandIn::start(spec).ok();
        let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let address = engine.as_ref().map_or(nowhere, |engine| engine.address());
        self.engines.lock().push(BoughtEngine {
            vm: id.clone(),
            zone: request.zone.clone(),
            token: request.token.clone(),
            engine,
        });
        address
    }

    fn stopped(&mut self, id: &VmId) {
        let engines = self.engines.lock();
        for bought in engines.iter().filter(|bought| bought.vm == *id) {
            bought.stop();
        }
    }
}
