//! Placement on the control thread: the core's part, with its calls to the outside.
//!
//! [`PlacementDriver`] ticks the core's [`Placement`], passes its calls to the thread of
//! the platform and gives their outcomes back. While this daemon holds the region's lease
//! it also reads what the listed VMs' endpoints have loaded, since an order is given only
//! on a reading whose beginning is known. Calls to the key-value service go through a
//! share of the daemon's rate of their own, so that a recorded session of the entry
//! replays without placement.

mod calls;
mod event;
mod store_calls;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use actix::Addr;
use laburnumstall_core::budget::CallRates;
use laburnumstall_core::cloud::{CallFailure, EndpointOrder, ReclaimNotice};
use laburnumstall_core::decision::{Decision, Journal};
use laburnumstall_core::entry::Entry;
use laburnumstall_core::ids::{DaemonId, EndpointId, ParseIdError, Region, VmId};
use laburnumstall_core::membership::Member;
use laburnumstall_core::placement::{
    ObservedEndpoint, Placement, PlacementInput, PlacementOutput, is_candidate,
};
use laburnumstall_core::resources::{System, VmRole};
use laburnumstall_core::units::Timestamp;

use crate::clock::Clock;
use crate::metrics::PlacementCounts;
use crate::platform::Platform;
use store_calls::PlacementCalls;

pub use calls::{CallCloud, CallPlacementStore, EndpointCalls, ReadLoad, SendOrder};
pub use event::PlacementEvent;

/// Time between two ticks of the core's part.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Time between two looks at whether this daemon is a candidate for the lease.
const CANDIDATE_PERIOD: Duration = Duration::from_secs(1);

/// Time between two readings of what an endpoint has loaded.
const READ_PERIOD: Duration = Duration::from_secs(2);

/// Most loads that the weight store is asked for at a time.
const LOADS_AT_ONCE: usize = 4;

/// Thousandths in a whole.
const PERMILLE: u32 = 1_000;

/// Placement as a daemon runs it.
pub struct PlacementDriver {
    core: Placement,
    own: DaemonId,
    region: Region,
    clock: Clock,
    platform: Addr<Platform>,
    endpoints: Addr<EndpointCalls>,
    calls: PlacementCalls,
    journal: Journal,
    addresses: BTreeMap<EndpointId, SocketAddr>,
    reading: BTreeSet<VmId>,
    tick_at: Timestamp,
    candidate_at: Timestamp,
    read_at: Timestamp,
}

/// What a placement driver works with.
pub struct PlacementParts {
    /// This daemon.
    pub own: DaemonId,
    /// Region that it is in.
    pub region: Region,
    /// The clock.
    pub clock: Clock,
    /// Thread for the platform.
    pub platform: Addr<Platform>,
    /// Calls to endpoints.
    pub endpoints: Addr<EndpointCalls>,
    /// Placement's share of the calls to the key-value service.
    pub rates: CallRates,
}

impl PlacementDriver {
    /// Starts without the lease.
    ///
    /// # Errors
    ///
    /// Returns an error if the region's name is too long for a key.
    pub fn new(parts: PlacementParts) -> Result<Self, ParseIdError> {
        Ok(Self {
            core: Placement::new(parts.own.clone(), parts.region.clone())?,
            own: parts.own,
            region: parts.region,
            clock: parts.clock,
            platform: parts.platform,
            endpoints: parts.endpoints,
            calls: PlacementCalls::new(parts.rates),
            journal: Journal::default(),
            addresses: BTreeMap::new(),
            reading: BTreeSet::new(),
            tick_at: Timestamp::ZERO,
            candidate_at: Timestamp::ZERO,
            read_at: Timestamp::ZERO,
        })
    }

    /// Returns the core's part.
    pub fn core(&self) -> &Placement {
        &self.core
    }

    /// Does what is due; returns the VMs that take no new work from now on.
    pub fn tick(&mut self, entry: &Entry) -> Vec<VmId> {
        let now = self.clock.now();
        if now < self.tick_at {
            return Vec::new();
        }
        self.tick_at = now.after(TICK_PERIOD);
        self.follow_members(now, entry);
        let system = entry.system();
        let input = PlacementInput {
            system,
            configuration: entry.revision(),
            share_permille: share_permille(system),
            max_concurrent_loads: LOADS_AT_ONCE,
        };
        let output = self.core.tick(now, &input, &mut self.journal);
        let drains = output.drains.iter().map(|drain| drain.vm.clone()).collect();
        self.carry_out(now, output, system);
        self.read_loads(now);
        drains
    }

    /// Returns what the metrics show of the plan in force.
    pub fn counts(&self) -> PlacementCounts {
        let is_holder = self.core.lease().may_order(self.clock.now());
        let Some(plan) = self.core.plan().filter(|_| is_holder) else {
            return PlacementCounts {
                is_holder,
                ..PlacementCounts::default()
            };
        };
        let filled = plan.slots.iter().filter(|slot| slot.vm.is_some()).count();
        PlacementCounts {
            is_holder,
            filled,
            open: plan.slots.len() - filled,
            hourly: plan.hourly,
        }
    }

    /// Takes in the outcome of a call.
    pub fn on_event(&mut self, event: PlacementEvent) {
        let now = self.clock.now();
        let journal = &mut self.journal;
        match event {
            PlacementEvent::Store { id, outcome } => self.core.on_store(now, id, outcome, journal),
            PlacementEvent::Cloud { id, outcome } => self.core.on_cloud(now, id, outcome, journal),
            PlacementEvent::Ordered { id, outcome } => {
                self.core.on_order_reply(now, &id, outcome, journal);
            }
            PlacementEvent::Loaded(reading) => {
                self.reading.remove(&reading.vm);
                self.addresses
                    .insert(reading.report.endpoint.clone(), reading.address);
                let taken_at = reading.report.taken_at.min(reading.began);
                if let Some(loads) = reading.report.loads {
                    self.core.on_observation(ObservedEndpoint {
                        endpoint: reading.report.endpoint,
                        vm: reading.vm,
                        loads,
                        taken_at,
                    });
                }
            }
            PlacementEvent::ReadFailed { vm } => {
                self.reading.remove(&vm);
            }
        }
    }

    /// Takes in a reclaim notice.
    pub fn on_notice(&mut self, notice: &ReclaimNotice) {
        self.core.on_notice(notice);
    }

    /// Takes the decisions since the last call, in order.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        self.journal.take()
    }

    /// Gives the lease up.
    pub fn close(self) {
        if let Some(request) = self.core.close() {
            self.platform.do_send(CallPlacementStore(request));
        }
    }

    fn follow_members(&mut self, now: Timestamp, entry: &Entry) {
        if now < self.candidate_at {
            return;
        }
        self.candidate_at = now.after(CANDIDATE_PERIOD);
        let system = entry.system();
        let is_of_region = |member: &&Member| system.region_of(&member.zone) == Some(&self.region);
        let mut members = entry.directory();
        members.retain(is_of_region);
        let candidate = is_candidate(&self.own, &self.region, &members);
        self.core.set_candidate(candidate && !entry.is_leaving());
    }

    fn carry_out(&mut self, now: Timestamp, output: PlacementOutput, system: &System) {
        for request in self.calls.admit(now, output.store, &mut self.journal) {
            self.platform.do_send(CallPlacementStore(request));
        }
        for request in output.cloud {
            self.platform.do_send(CallCloud(request));
        }
        for order in output.orders {
            self.order(order, system);
        }
    }

    /// Sends an order if it may still go out, by a clock read right before.
    fn order(&mut self, order: EndpointOrder, system: &System) {
        let address = self.addresses.get(&order.endpoint).copied();
        let now = self.clock.now();
        let allowed = self.core.may_send(now, &order, system);
        let Some(address) = address.filter(|_| allowed) else {
            let outcome = Err(CallFailure::NotSent);
            let journal = &mut self.journal;
            self.core.on_order_reply(now, &order.id, outcome, journal);
            return;
        };
        self.endpoints.do_send(SendOrder::new(address, order));
    }

    /// Reads what the endpoints on the listed VMs have loaded, while the lease is held.
    fn read_loads(&mut self, now: Timestamp) {
        if now < self.read_at || !self.core.lease().may_order(now) {
            return;
        }
        self.read_at = now.after(READ_PERIOD);
        let fleet = self.core.fleet().iter().map(|owned| &owned.vm);
        for vm in fleet.filter(|vm| vm.role == VmRole::Endpoint) {
            if self.reading.insert(vm.id.clone()) {
                self.endpoints.do_send(ReadLoad {
                    vm: vm.id.clone(),
                    address: vm.address,
                });
            }
        }
    }
}

/// Returns a region's share of the targets: regions carry equal shares, rounded up.
fn share_permille(system: &System) -> u32 {
    let regions: BTreeSet<&Region> = system.zones.iter().map(|zone| &zone.region).collect();
    let count = u32::try_from(regions.len()).unwrap_or(u32::MAX);
    PERMILLE.div_ceil(count.max(1))
}
