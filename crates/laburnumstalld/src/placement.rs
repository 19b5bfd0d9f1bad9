//! Placement on the control thread: the core's state machine and its external calls.
//!
//! [`PlacementDriver`] ticks the core's [`Placement`], passes its calls to the platform
//! thread and returns their outcomes to it. While this daemon holds the region's lease, it
//! also reads the loaded models of the listed VMs' endpoints, since an order is sent only
//! after a reading whose start time is known. Calls to the key-value service use their own
//! share of the daemon's rate, so that a recorded session of the entry can be replayed
//! without placement.

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

/// Time between two ticks of the core's placement.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Time between two checks whether this daemon is a candidate for the lease.
const CANDIDATE_PERIOD: Duration = Duration::from_secs(1);

/// Time between two reads of an endpoint's loaded models.
const READ_PERIOD: Duration = Duration::from_secs(2);

/// Most concurrent loads from the weight store.
const MAX_CONCURRENT_LOADS: usize = 4;

/// One, in thousandths.
const WHOLE_PERMILLE: u32 = 1_000;

/// Runs the core's placement in a daemon.
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
    pending_reads: BTreeSet<VmId>,
    next_tick_at: Timestamp,
    next_candidate_check_at: Timestamp,
    next_read_at: Timestamp,
}

/// Dependencies of [`PlacementDriver`].
pub struct PlacementParts {
    /// Id of this daemon.
    pub own: DaemonId,
    /// Region of this daemon.
    pub region: Region,
    /// Clock of the daemon.
    pub clock: Clock,
    /// Actor that calls the platform's services.
    pub platform: Addr<Platform>,
    /// Actor that calls endpoints.
    pub endpoints: Addr<EndpointCalls>,
    /// Placement's share of the call rate to the key-value service.
    pub rates: CallRates,
}

impl PlacementDriver {
    /// Creates a driver that does not hold the lease.
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
            pending_reads: BTreeSet::new(),
            next_tick_at: Timestamp::ZERO,
            next_candidate_check_at: Timestamp::ZERO,
            next_read_at: Timestamp::ZERO,
        })
    }

    /// Returns the core's placement.
    pub fn core(&self) -> &Placement {
        &self.core
    }

    /// Performs the work that is due; returns the VMs to drain.
    pub fn tick(&mut self, entry: &Entry) -> Vec<VmId> {
        let now = self.clock.now();
        if now < self.next_tick_at {
            return Vec::new();
        }
        self.next_tick_at = now.after(TICK_PERIOD);
        self.update_candidacy(now, entry);
        let system = entry.system();
        let input = PlacementInput {
            system,
            configuration: entry.revision(),
            share_permille: share_permille(system),
            max_concurrent_loads: MAX_CONCURRENT_LOADS,
        };
        let output = self.core.tick(now, &input, &mut self.journal);
        let drains = output.drains.iter().map(|drain| drain.vm.clone()).collect();
        self.execute(now, output, system);
        self.read_loads(now);
        drains
    }

    /// Summarizes the current plan for the metrics.
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

    /// Handles the outcome of a call.
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
                self.pending_reads.remove(&reading.vm);
                self.addresses
                    .insert(reading.report.endpoint.clone(), reading.address);
                let taken_at = reading.report.taken_at.min(reading.started_at);
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
                self.pending_reads.remove(&vm);
            }
        }
    }

    /// Handles a reclaim notice.
    pub fn on_notice(&mut self, notice: &ReclaimNotice) {
        self.core.on_notice(notice);
    }

    /// Drains the decisions since the last call, in order.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        self.journal.take()
    }

    /// Releases the lease.
    pub fn close(self) {
        if let Some(request) = self.core.close() {
            self.platform.do_send(CallPlacementStore(request));
        }
    }

    fn update_candidacy(&mut self, now: Timestamp, entry: &Entry) {
        if now < self.next_candidate_check_at {
            return;
        }
        self.next_candidate_check_at = now.after(CANDIDATE_PERIOD);
        let system = entry.system();
        let is_in_region = |member: &&Member| system.region_of(&member.zone) == Some(&self.region);
        let mut members = entry.directory();
        members.retain(is_in_region);
        let is_lease_candidate = is_candidate(&self.own, &self.region, &members);
        self.core
            .set_candidate(is_lease_candidate && !entry.is_leaving());
    }

    fn execute(&mut self, now: Timestamp, output: PlacementOutput, system: &System) {
        for request in self.calls.admit(now, output.store, &mut self.journal) {
            self.platform.do_send(CallPlacementStore(request));
        }
        for request in output.cloud {
            self.platform.do_send(CallCloud(request));
        }
        for order in output.orders {
            self.send_order(order, system);
        }
    }

    /// Sends an order if it is still allowed at a clock time read right before.
    fn send_order(&mut self, order: EndpointOrder, system: &System) {
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

    /// Reads the loaded models of the endpoints on the listed VMs while the lease is held.
    fn read_loads(&mut self, now: Timestamp) {
        if now < self.next_read_at || !self.core.lease().may_order(now) {
            return;
        }
        self.next_read_at = now.after(READ_PERIOD);
        let vms = self.core.fleet().iter().map(|owned| &owned.vm);
        for vm in vms.filter(|vm| vm.role == VmRole::Endpoint) {
            if self.pending_reads.insert(vm.id.clone()) {
                self.endpoints.do_send(ReadLoad {
                    vm: vm.id.clone(),
                    address: vm.address,
                });
            }
        }
    }
}

/// Returns a region's share of the targets in thousandths: equal shares, rounded up.
fn share_permille(system: &System) -> u32 {
    let regions: BTreeSet<&Region> = system.zones.iter().map(|zone| &zone.region).collect();
    let count = u32::try_from(regions.len()).unwrap_or(u32::MAX);
    WHOLE_PERMILLE.div_ceil(count.max(1))
}
