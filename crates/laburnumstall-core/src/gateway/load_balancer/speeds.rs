//! Speeds of a service's endpoints, and the weights of owners.

use std::collections::{BTreeMap, HashMap};

use super::LoadBalancer;
use super::endpoint_state::EndpointState;
use crate::decision::{Decision, DecisionKind, Journal};
use crate::gateway::endpoint_model::{Estimates, ProcessKey, ProcessTimes, Weighting};
use crate::gateway::rules::{BackendRule, ServiceRule};
use crate::ids::{EndpointId, ServiceName};
use crate::units::Timestamp;

/// What is known of the speeds of services.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceSpeeds {
    backends: BTreeMap<ServiceName, BackendRule>,
    weightings: BTreeMap<ServiceName, Weighting>,
    /// Rotates the processes that a message has room for.
    first_process: usize,
}

impl ServiceSpeeds {
    /// Returns whether speeds are learned: in deployments with an engine.
    pub(super) fn is_enabled(&self) -> bool {
        !self.backends.is_empty()
    }

    /// Returns the engine of a service.
    pub(super) fn backend(&self, service: &ServiceName) -> Option<&BackendRule> {
        self.backends.get(service)
    }
}

impl LoadBalancer {
    /// Sets the engines of services. Speeds are learned if there is any.
    pub fn set_services(&mut self, services: &BTreeMap<ServiceName, ServiceRule>) {
        self.speeds.backends = services
            .iter()
            .filter_map(|(name, rule)| Some((name.clone(), rule.backend?)))
            .collect();
    }

    /// Estimates the speeds from the times that are known now, and adapts the weights of owners.
    pub fn update_speeds(&mut self, now: Timestamp, journal: &mut Journal) {
        if !self.speeds.is_enabled() {
            return;
        }
        for (service, endpoints) in &mut self.services {
            let sums = endpoints.iter().map(|endpoint| endpoint.speed.sums(now));
            let estimates = Estimates::of(sums);
            for endpoint in &mut *endpoints {
                endpoint.speed.estimate(now, estimates.as_ref());
            }
            let typical = typical_time(endpoints);
            let weighting = self.speeds.weightings.entry(service.clone()).or_default();
            let estimated = endpoints.iter().map(|endpoint| {
                let factor = endpoint.speed.lasting().unwrap_or(typical);
                (factor, endpoint.speed.sums(now).calls())
            });
            if weighting.update(now, estimated) {
                let choice = match weighting.is_weighted() {
                    true => "by-speed",
                    false => "equal",
                };
                let decision = Decision::new(now, DecisionKind::Weight, choice, "service")
                    .with("service", service)
                    .with("endpoints", endpoints.len())
                    .with("typical", format_args!("{typical:.2}"));
                journal.record(decision);
            }
            for endpoint in endpoints {
                let speed = &mut endpoint.speed;
                let changed = speed.set_relative(now, typical, weighting.is_weighted());
                if let Some((from, to)) = changed {
                    let reason = if to > from { "faster" } else { "slower" };
                    let id = endpoint.process.id.as_str();
                    let decision = Decision::new(now, DecisionKind::Weight, id, reason)
                        .with("service", service)
                        .with("born", endpoint.process.started_at_ms)
                        .with("from", format_args!("{from:.2}"))
                        .with("to", format_args!("{to:.2}"))
                        .with("time", format_args!("{:.2}", speed.relative()))
                        .with("calls", format_args!("{:.0}", speed.sums(now).calls()));
                    journal.record(decision);
                }
            }
        }
    }

    /// Records the times of a peer's calls.
    pub fn on_peer_times(&mut self, now: Timestamp, times: &[ProcessTimes]) {
        let by_process: HashMap<ProcessKey, &ProcessTimes> =
            times.iter().map(|times| (times.process, times)).collect();
        for endpoint in self.services.values_mut().flatten() {
            if let Some(times) = by_process.get(&endpoint.process_key) {
                endpoint.speed.on_peer_times(now, times);
            }
        }
    }

    /// Removes and returns the times of this daemon's calls to at most `max` processes; those of
    /// the others follow with the next call.
    pub fn take_times(&mut self, now: Timestamp, max: usize) -> Vec<ProcessTimes> {
        let mut endpoints: Vec<&mut EndpointState> = self.services.values_mut().flatten().collect();
        if endpoints.is_empty() {
            return Vec::new();
        }
        let first = self.speeds.first_process % endpoints.len();
        endpoints.rotate_left(first);
        let mut visited = 0;
        let times: Vec<ProcessTimes> = endpoints
            .into_iter()
            .inspect(|_| visited += 1)
            .filter_map(|endpoint| endpoint.speed.take_unsent(now, endpoint.process_key))
            .take(max)
            .collect();
        self.speeds.first_process = first + visited;
        times
    }

    /// Returns the time that an endpoint takes relative to the typical time of its service; 1.0 if
    /// unknown. Typical is the harmonic mean of the endpoints' times, so that the capacities of a
    /// service's endpoints, the inverse of this, add up to their number.
    pub fn speed(&self, id: &EndpointId) -> f64 {
        let mut endpoints = self.services.values().flatten();
        let endpoint = endpoints.find(|endpoint| endpoint.process.id == *id);
        endpoint.map_or(1.0, |endpoint| endpoint.speed.relative())
    }
}

/// Returns the harmonic mean of the endpoints' times, by which the sum of their capacities is
/// that of as many typical endpoints.
fn typical_time(endpoints: &[EndpointState]) -> f64 {
    let times = endpoints.iter().filter_map(|e| e.speed.lasting());
    let (count, capacity) = times.fold((0.0, 0.0), |(count, capacity), time| {
        (count + 1.0, capacity + time.recip())
    });
    if count > 0.0 { count / capacity } else { 1.0 }
}
