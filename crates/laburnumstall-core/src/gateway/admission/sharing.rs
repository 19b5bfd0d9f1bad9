//! Shares of customers, what peers learn of them, and what metrics show.

use std::net::SocketAddr;

use super::customer_use::ServiceUse;
use super::meters::AdmissionErrors;
use super::service_queue::ServiceQueue;
use crate::gateway::Gateway;
use crate::gateway::peer_message::PeerProtocol;
use crate::gateway::rules::RoutingRules;
use crate::gateway::send_budget::MESSAGE_BYTES;
use crate::ids::{CustomerId, DaemonId, ServiceName};
use crate::units::Timestamp;

/// Encoded size of one customer's use.
const USE_BYTES: f64 = 20.0;

/// Length of a service's queue and its errors, for metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionState {
    /// Name of the service.
    pub service: ServiceName,
    /// Waiting calls by rank.
    pub waiting: Vec<(u8, usize)>,
    /// Decisions that proved wrong.
    pub errors: AdmissionErrors,
    /// Use of customers relative to their shares, while the service is short.
    pub use_of_share: Vec<(CustomerId, f64)>,
}

/// Use of services that are short, for the peers whose turn it is.
#[derive(Debug, Clone, PartialEq)]
pub struct UseBroadcast {
    /// The peers, with the addresses for messages between daemons.
    pub peers: Vec<(DaemonId, SocketAddr)>,
    /// Use by service.
    pub report: Vec<ServiceUse>,
}

impl Gateway {
    /// Applies the customers of a configuration.
    pub(in crate::gateway) fn set_customer_weights(&mut self, rules: &RoutingRules) {
        self.admission.ledger.set_customers(rules);
    }

    /// Updates the shares of the customers.
    pub(in crate::gateway) fn tick_admission(&mut self, now: Timestamp) {
        let short = self.admission.short(now);
        self.admission.ledger.update(now, &short);
        self.on_endpoint_room();
    }

    /// Applies a peer's sums of the use of services that are short.
    pub fn on_customer_use(&mut self, now: Timestamp, from: &DaemonId, report: Vec<ServiceUse>) {
        self.admission.ledger.on_report(now, from, report);
    }

    /// Returns the use of services that are short at this daemon, and the peers whose turn it is
    /// to learn of it; called once in a gossip period.
    pub fn next_customer_use(&mut self, now: Timestamp) -> Option<UseBroadcast> {
        let short = self.admission.short(now);
        if short.is_empty() {
            return None;
        }
        let report = self.admission.ledger.report(now, short.iter());
        let customers: usize = report.iter().map(|service| service.customers.len()).sum();
        let bytes = MESSAGE_BYTES + USE_BYTES * (customers + report.len()) as f64;
        let peers: Vec<_> = self
            .peer_table
            .peers()
            .filter(|peer| peer.protocol >= PeerProtocol::SHARED_LOAD)
            .map(|peer| (peer.member.id.clone(), peer.member.peer_address))
            .collect();
        let daemons = 1 + self.peer_table.len();
        let left = self.admission.budget.left(now, daemons);
        let count = peers.len().min((left / bytes).max(0.0) as usize);
        self.admission.budget.spend(bytes * count as f64);
        let start = self.admission.next_peer;
        self.admission.next_peer = start.wrapping_add(count);
        let chosen = (0..count).map(|index| peers[start.wrapping_add(index) % peers.len()].clone());
        Some(UseBroadcast {
            peers: chosen.collect(),
            report,
        })
    }

    /// Returns the queues of all services, for metrics.
    pub fn admission_states(&self) -> Vec<AdmissionState> {
        let shares = self.admission.ledger.use_of_share();
        let state = |(service, queue): (&ServiceName, &ServiceQueue)| AdmissionState {
            service: service.clone(),
            waiting: queue.lengths().collect(),
            errors: queue.errors,
            use_of_share: shares
                .get(service)
                .into_iter()
                .flatten()
                .map(|(customer, used)| (customer.clone(), *used))
                .collect(),
        };
        self.admission.services.iter().map(state).collect()
    }
}
