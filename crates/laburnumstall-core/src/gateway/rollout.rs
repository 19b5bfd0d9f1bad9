//! Rollouts: an operator orders the move of a service to a software version.
//!
//! The version gets a small share of the calls, its responses are compared with those of the old
//! one, and all calls move shortly before the deadline, or none. Each daemon keeps to the share of
//! its own calls and stops on its own ([`calls`]); daemons share what they count ([`exchange`]);
//! the holder of the duties writes the state ([`machine`]), by which all daemons route.

mod calls;
mod evidence;
mod exchange;
mod judge;
mod machine;
mod order;
mod share;

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;

use super::Gateway;
use super::endpoint_table::{EndpointEntry, EndpointProcess};
use super::gossip::daemon_hash;
use crate::decision::{Decision, DecisionKind, Journal};
use crate::hash::digest64;
use crate::ids::{ServiceName, SoftwareVersion};
use crate::store::StoreVersion;
use crate::units::Timestamp;

use evidence::FleetEvidence;
use exchange::SendState;
use machine::Situation;
use share::TrafficShare;

pub(super) use calls::TrackedCall;
pub use evidence::{
    Finding, FindingCause, RolloutEvidence, RouteCounts, RouteKey, SideCounts, TimeHistogram,
};
pub use exchange::EvidenceBroadcast;
pub use order::{
    OrderEntry, RolloutBounds, RolloutOrder, RolloutPhase, RolloutStatus, RolloutWrite,
    StoredRollout,
};

/// Reason of an order whose key was removed.
const REMOVED: &str = "order-removed";
/// Reason of an order whose key was overwritten by what cannot be decoded.
const UNREADABLE: &str = "order-unreadable";
/// Reason for a state that a peer read from the store.
const FROM_PEER: &str = "peer";

/// Endpoints that scaling counts during a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutScope<'a> {
    /// Version that is rolled out.
    pub version: &'a SoftwareVersion,
    /// Whether its endpoints are the ones in use.
    pub is_in_use: bool,
    /// Whether the order is open, so that no endpoint may be released.
    pub is_open: bool,
}

/// State of a rollout for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutSummary {
    /// The service.
    pub service: ServiceName,
    /// Version to move to.
    pub to: SoftwareVersion,
    /// State; `None` before the first one.
    pub phase: Option<RolloutPhase>,
    /// Calls that this daemon sent to the service since it learned of the order.
    pub calls: u64,
    /// Those of them that it sent to the new version.
    pub new_calls: u64,
}

/// What a daemon knows of the rollout of one service.
#[derive(Debug, Clone)]
struct Rollout {
    order: RolloutOrder,
    /// Distinguishes the orders of this process.
    generation: u64,
    /// Why the order no longer holds; `None` if it does.
    withdrawn: Option<&'static str>,
    /// When the first daemon saw the order.
    seen_at: Timestamp,
    /// What is stored, of this or an earlier order, with the version of the key; `None` within if
    /// it is unreadable.
    stored: Option<(Option<StoredRollout>, StoreVersion)>,
    phase: Option<RolloutPhase>,
    reason: CompactString,
    share: TrafficShare,
    own: BTreeMap<RouteKey, RouteCounts>,
    fleet: FleetEvidence,
    route_names: BTreeMap<RouteKey, CompactString>,
    finding: Option<Finding>,
    /// Whether counts have changed since the version was last judged.
    needs_judgement: bool,
    old_in_flight: u32,
    /// When each process of the new version was first seen.
    new_processes: BTreeMap<EndpointProcess, Timestamp>,
    /// When a lost connection of each process was last counted.
    losses: BTreeMap<EndpointProcess, Timestamp>,
    sending: SendState,
}

/// Rollouts of all services.
#[derive(Debug, Clone, Default)]
pub(super) struct Rollouts {
    services: BTreeMap<ServiceName, Rollout>,
    generations: u64,
}

impl Rollout {
    fn new(now: Timestamp, order: RolloutOrder, generation: u64, own: u64) -> Self {
        let position = (order.id.era.get(), order.id.version.get());
        let seed = digest64(&[
            &own.to_le_bytes(),
            &position.0.to_le_bytes(),
            &position.1.to_le_bytes(),
        ]);
        Self {
            order,
            generation,
            withdrawn: None,
            seen_at: now,
            stored: None,
            phase: None,
            reason: CompactString::default(),
            share: TrafficShare::new(seed),
            own: BTreeMap::new(),
            fleet: FleetEvidence::default(),
            route_names: BTreeMap::new(),
            finding: None,
            needs_judgement: false,
            old_in_flight: 0,
            new_processes: BTreeMap::new(),
            losses: BTreeMap::new(),
            sending: SendState::default(),
        }
    }

    fn elapsed(&self, now: Timestamp) -> Duration {
        now.since(self.seen_at)
    }

    fn is_open(&self) -> bool {
        !self.phase.is_some_and(RolloutPhase::is_final)
    }

    /// Records how long ago the first daemon saw the order, as far as somebody else knows.
    fn on_elapsed(&mut self, now: Timestamp, elapsed_ms: u64) {
        let seen_at = now.before(Duration::from_millis(elapsed_ms));
        self.seen_at = self.seen_at.min(seen_at);
    }

    /// Adopts a state that was stored for this order, unless a later one is known.
    fn on_phase(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        phase: RolloutPhase,
        reason: &str,
        journal: &mut Journal,
    ) {
        if !self.is_open() || self.phase >= Some(phase) {
            return;
        }
        self.phase = Some(phase);
        self.reason = reason.into();
        self.sending.is_due = true;
        let decision = Decision::new(now, DecisionKind::Rollout, phase.name(), reason);
        journal.record(self.describe(now, service, decision));
    }

    /// Adds to a decision what the rollout's state follows from.
    fn describe(&self, now: Timestamp, service: &ServiceName, decision: Decision) -> Decision {
        let (calls, new_calls) = self.share.totals();
        let mut fleet = RouteCounts::default();
        for history in self.fleet.routes.values() {
            fleet.add(&history.total);
        }
        let mut decision = decision
            .with("service", service)
            .with("to", &self.order.to)
            .with("order", self.order.id.version)
            .with("elapsed_ms", self.elapsed(now).as_millis())
            .with("deadline_ms", self.order.deadline().as_millis())
            .with("sent", calls)
            .with("sent_new", new_calls)
            .with("fleet_new", fleet.new.calls)
            .with("fleet_new_failed", fleet.new.failures)
            .with("fleet_old", fleet.old.calls)
            .with("fleet_old_failed", fleet.old.failures);
        if let Some(heard_at) = self.fleet.heard_at() {
            decision = decision.with("evidence_age_ms", now.since(heard_at).as_millis());
        }
        if let Some(finding) = &self.finding {
            decision = decision
                .with("route", &finding.route)
                .with("cause", finding.cause.name())
                .with("evidence", finding);
        }
        decision
    }
}

impl Gateway {
    /// Applies the value of a service's order key.
    pub fn on_rollout_order(&mut self, now: Timestamp, service: &ServiceName, entry: OrderEntry) {
        if self.bounds.rollout.is_none() {
            return;
        }
        let mut known = self.rollouts.services.get_mut(service);
        let order = match entry {
            OrderEntry::Order(order) => order,
            OrderEntry::Unreadable(fault) => {
                let decision = Decision::new(now, DecisionKind::Rollout, "withdrawn", UNREADABLE)
                    .with("service", service)
                    .with("detail", fault);
                self.journal.record(decision);
                return withdraw(known, UNREADABLE);
            }
            OrderEntry::Removed => return withdraw(known, REMOVED),
        };
        if let Some(known) = &mut known
            && known.order.is_same(&order)
        {
            known.order = order;
            known.withdrawn = None;
            return;
        }
        let stored = known.and_then(|known| known.stored.take());
        self.rollouts.generations += 1;
        let own = daemon_hash(&self.own);
        let mut rollout = Rollout::new(now, order, self.rollouts.generations, own);
        self.journal.record(
            Decision::new(now, DecisionKind::Rollout, "order", "written")
                .with("service", service)
                .with("to", &rollout.order.to)
                .with("order", rollout.order.id.version)
                .with("duration_ms", rollout.order.duration.as_millis()),
        );
        if let Some((stored, version)) = stored {
            rollout.on_stored(now, service, stored, version, &mut self.journal);
        }
        self.rollouts.services.insert(service.clone(), rollout);
        self.observe_new_processes(now);
    }

    /// Applies the stored state of a service's rollout, with the version of its key; `None` if it was
    /// removed, and `None` within if it is unreadable.
    pub fn on_stored_rollout(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        stored: Option<(Option<StoredRollout>, StoreVersion)>,
    ) {
        if self.bounds.rollout.is_none() {
            return;
        }
        let known = self.rollouts.services.get_mut(service);
        match (known, stored) {
            (Some(known), Some((stored, version))) => {
                known.on_stored(now, service, stored, version, &mut self.journal);
            }
            (Some(known), None) => known.stored = None,
            (None, Some((Some(stored), version))) => {
                // The order was removed before this daemon started.
                self.rollouts.generations += 1;
                let (order, own) = (stored.order.clone(), daemon_hash(&self.own));
                let mut rollout = Rollout::new(now, order, self.rollouts.generations, own);
                rollout.withdrawn = Some(REMOVED);
                rollout.on_stored(now, service, Some(stored), version, &mut self.journal);
                self.rollouts.services.insert(service.clone(), rollout);
            }
            (None, None | Some((None, _))) => {}
        }
    }

    /// Returns the services with an order or a stored state.
    pub fn rollout_services(&self) -> impl Iterator<Item = &ServiceName> {
        self.rollouts.services.keys()
    }

    /// Returns the states that the holder of the duties has to write.
    pub fn rollouts_to_store(&self, now: Timestamp) -> Vec<RolloutWrite> {
        let Some(bounds) = &self.bounds.rollout else {
            return Vec::new();
        };
        let services = self.rollouts.services.iter();
        let writes = services.filter_map(|(service, rollout)| {
            let next = machine::next(&self.rollout_situation(now, service, rollout), bounds);
            let (phase, reason) = match next {
                Some((phase, reason)) => (phase, reason.into()),
                // The store lost what was written.
                None if rollout.withdrawn.is_none() && !rollout.is_stored() => {
                    (rollout.phase?, rollout.reason.clone())
                }
                None => return None,
            };
            Some(RolloutWrite {
                service: service.clone(),
                stored: StoredRollout {
                    order: rollout.order.clone(),
                    phase,
                    reason,
                    elapsed_ms: millis(rollout.elapsed(now)),
                },
                expected: rollout.stored.as_ref().map(|(_, version)| *version),
            })
        });
        writes.collect()
    }

    fn rollout_situation<'a>(
        &self,
        now: Timestamp,
        service: &ServiceName,
        rollout: &'a Rollout,
    ) -> Situation<'a> {
        let usable =
            |entry: &&EndpointEntry| entry.record.service == *service && !entry.is_leaving();
        let is_new =
            |entry: &EndpointEntry| entry.record.version.as_ref() == Some(&rollout.order.to);
        let elapsed = rollout.elapsed(now);
        Situation {
            order: &rollout.order,
            withdrawn: rollout.withdrawn,
            phase: rollout.phase,
            elapsed,
            has_new: self.endpoints.iter().filter(usable).any(is_new),
            has_old: self
                .endpoints
                .iter()
                .filter(usable)
                .any(|entry| !is_new(entry)),
            finding: rollout.finding.as_ref().map(|finding| finding.cause),
            is_old_idle: machine::is_full_shift(&rollout.order, elapsed)
                && self.is_old_idle(now, rollout),
        }
    }

    /// Returns which endpoints of a service scaling counts; `None` for all.
    pub fn rollout_scope(&self, service: &ServiceName) -> Option<RolloutScope<'_>> {
        let rollout = self.rollouts.services.get(service)?;
        let is_complete = rollout.phase == Some(RolloutPhase::Complete);
        (!is_complete || rollout.withdrawn.is_none()).then_some(RolloutScope {
            version: &rollout.order.to,
            is_in_use: is_complete,
            is_open: rollout.is_open(),
        })
    }

    /// Returns the rollouts that this daemon knows of.
    pub fn rollout_summaries(&self) -> impl Iterator<Item = RolloutSummary> {
        self.rollouts.services.iter().map(|(service, rollout)| {
            let (calls, new_calls) = rollout.share.totals();
            RolloutSummary {
                service: service.clone(),
                to: rollout.order.to.clone(),
                phase: rollout.phase,
                calls,
                new_calls,
            }
        })
    }

    /// Records when the processes of the versions that are rolled out were first seen.
    pub(super) fn observe_new_processes(&mut self, now: Timestamp) {
        for (service, rollout) in &mut self.rollouts.services {
            for entry in self.endpoints.iter() {
                let record = &entry.record;
                let is_new = record.version.as_ref() == Some(&rollout.order.to);
                if record.service == *service && is_new {
                    rollout.new_processes.entry(record.process()).or_insert(now);
                }
            }
        }
    }
}

impl Rollout {
    fn on_stored(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        stored: Option<StoredRollout>,
        version: StoreVersion,
        journal: &mut Journal,
    ) {
        if let Some(stored) = &stored
            && self.order.is_same(&stored.order)
        {
            self.on_elapsed(now, stored.elapsed_ms);
            self.on_phase(now, service, stored.phase, &stored.reason, journal);
        }
        self.stored = Some((stored, version));
    }

    /// Returns whether the store has the state that this daemon knows.
    fn is_stored(&self) -> bool {
        let stored = self.stored.as_ref().and_then(|(stored, _)| stored.as_ref());
        stored.is_some_and(|stored| {
            self.order.is_same(&stored.order) && Some(stored.phase) == self.phase
        })
    }
}

fn withdraw(known: Option<&mut Rollout>, reason: &'static str) {
    if let Some(known) = known {
        known.withdrawn = Some(reason);
    }
}

fn millis(time: Duration) -> u64 {
    // A rollout takes no such time.
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
