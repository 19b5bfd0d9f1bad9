//! Use of services by customers, summed over all daemons, and their fair shares.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::meters::{DecayingSum, decay};
use crate::domain;
use crate::gateway::call::AdmittedCall;
use crate::gateway::rules::RoutingRules;
use crate::ids::{CustomerId, DaemonId, ServiceName};
use crate::units::Timestamp;

/// Half-life of the sums.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Age above which the sums of a peer are not used.
const MAX_AGE: Duration = Duration::from_secs(3);
/// Customers in a message for each service: those with the largest demand.
const MAX_CUSTOMERS: usize = 64;
/// Use relative to its share above which a customer is held back. Shares are learned from sums
/// that lag behind.
const TOLERANCE: f64 = 1.1;

domain! {
    /// Recent demand and use of a service by one customer.
    #[derive(Eq)]
    pub struct CustomerUse {
        /// Name of the customer.
        pub customer: CustomerId,
        /// Work asked for, in microseconds.
        pub asked_us: u32,
        /// Work sent to endpoints, in microseconds.
        pub used_us: u32,
    }

    /// Recent demand and use of a service that is short of capacity, at one daemon.
    #[derive(Eq)]
    pub struct ServiceUse {
        /// Name of the service.
        pub service: ServiceName,
        /// Demand and use by customer.
        pub customers: Vec<CustomerUse>,
    }
}

#[derive(Debug, Clone, Copy)]
struct OwnUse {
    asked: DecayingSum,
    used: DecayingSum,
}

/// Use of services by customers at this daemon and its peers.
#[derive(Debug, Clone, Default)]
pub(super) struct UseLedger {
    weights: BTreeMap<CustomerId, u32>,
    default_weight: u32,
    own: BTreeMap<ServiceName, BTreeMap<CustomerId, OwnUse>>,
    peers: BTreeMap<DaemonId, (Timestamp, Vec<ServiceUse>)>,
    /// Customers that use more than their shares, and the use relative to the share.
    above_share: BTreeMap<ServiceName, BTreeSet<CustomerId>>,
    use_of_share: BTreeMap<ServiceName, BTreeMap<CustomerId, f64>>,
}

impl UseLedger {
    /// Sets the weights of customers: the rates of their quotas, which follow their usual load.
    /// Customers without a quota have the mean weight.
    pub(super) fn set_customers(&mut self, rules: &RoutingRules) {
        let weight = |rate: u64| u32::try_from(rate.max(1)).unwrap_or(u32::MAX);
        self.weights = rules
            .customers
            .iter()
            .filter_map(|customer| Some((customer.name.clone(), weight(customer.quota?.rate))))
            .collect();
        let sum: u64 = self.weights.values().map(|weight| u64::from(*weight)).sum();
        self.default_weight = weight(sum / (self.weights.len() as u64).max(1));
    }

    pub(super) fn weight(&self, customer: Option<&CustomerId>) -> u32 {
        let weight = customer.and_then(|customer| self.weights.get(customer));
        weight.copied().unwrap_or(self.default_weight).max(1)
    }

    /// Records the work that a call asks for.
    pub(super) fn on_asked(&mut self, now: Timestamp, call: &AdmittedCall, work: u64) {
        if let Some(own) = self.own(call) {
            own.asked.add(now, work as f64);
        }
    }

    /// Records the work of a call that is sent.
    pub(super) fn on_used(&mut self, now: Timestamp, call: &AdmittedCall, work: u64) {
        if let Some(own) = self.own(call) {
            own.used.add(now, work as f64);
        }
    }

    /// Records that an endpoint refused a call.
    pub(super) fn on_unused(&mut self, now: Timestamp, call: &AdmittedCall, work: u64) {
        if let Some(own) = self.own(call) {
            own.used.add(now, -(work as f64));
        }
    }

    fn own(&mut self, call: &AdmittedCall) -> Option<&mut OwnUse> {
        let customer = call.customer.clone()?;
        let sum = DecayingSum::new(HALF_LIFE);
        let customers = self.own.entry(call.service.clone()).or_default();
        Some(customers.entry(customer).or_insert(OwnUse {
            asked: sum,
            used: sum,
        }))
    }

    /// Returns this daemon's sums for the services that are short.
    pub(super) fn report<'a>(
        &self,
        now: Timestamp,
        short: impl Iterator<Item = &'a ServiceName>,
    ) -> Vec<ServiceUse> {
        let report = |service: &ServiceName| {
            let customers = self.own.get(service)?.iter();
            let mut customers: Vec<CustomerUse> = customers
                .map(|(customer, own)| CustomerUse {
                    customer: customer.clone(),
                    asked_us: own.asked.get(now) as u32,
                    used_us: own.used.get(now) as u32,
                })
                .filter(|own| own.asked_us > 0)
                .collect();
            customers.sort_by_key(|own| std::cmp::Reverse(own.asked_us));
            customers.truncate(MAX_CUSTOMERS);
            Some(ServiceUse {
                service: service.clone(),
                customers,
            })
        };
        short.filter_map(report).collect()
    }

    pub(super) fn on_report(&mut self, now: Timestamp, from: &DaemonId, report: Vec<ServiceUse>) {
        self.peers.insert(from.clone(), (now, report));
    }

    /// Returns the services that a peer has reported as short.
    fn reported(&self) -> BTreeSet<&ServiceName> {
        let reports = self.peers.values().flat_map(|(_, report)| report);
        reports.map(|report| &report.service).collect()
    }

    /// Computes the shares in the services that are short here or at a peer.
    pub(super) fn update(&mut self, now: Timestamp, short: &BTreeSet<ServiceName>) {
        self.peers.retain(|_, (at, _)| now.since(*at) <= MAX_AGE);
        let services: BTreeSet<&ServiceName> = self.reported().into_iter().chain(short).collect();
        let shares: Vec<_> = services
            .into_iter()
            .map(|service| (service.clone(), self.use_of_shares(now, service)))
            .collect();
        self.above_share = shares
            .iter()
            .map(|(service, customers)| {
                let above = customers.iter().filter(|(_, used)| **used > TOLERANCE);
                (
                    service.clone(),
                    above.map(|(name, _)| name.clone()).collect(),
                )
            })
            .collect();
        self.use_of_share = shares.into_iter().collect();
    }

    /// Returns the use of each customer relative to its max-min share.
    fn use_of_shares(&self, now: Timestamp, service: &ServiceName) -> BTreeMap<CustomerId, f64> {
        let mut sums: BTreeMap<&CustomerId, (f64, f64)> = BTreeMap::new();
        for (customer, own) in self.own.get(service).into_iter().flatten() {
            sums.insert(customer, (own.asked.get(now), own.used.get(now)));
        }
        for (at, report) in self.peers.values() {
            let left = decay(now.since(*at), HALF_LIFE);
            let reports = report.iter().filter(|report| report.service == *service);
            for peer in reports.flat_map(|report| &report.customers) {
                let sum = sums.entry(&peer.customer).or_default();
                sum.0 += f64::from(peer.asked_us) * left;
                sum.1 += f64::from(peer.used_us) * left;
            }
        }
        let demands: Vec<(f64, f64)> = sums
            .iter()
            .map(|(customer, (asked, _))| (*asked, f64::from(self.weight(Some(customer)))))
            .collect();
        let capacity = sums.values().map(|(_, used)| used).sum();
        let level = fair_level(&demands, capacity);
        let relative = |(customer, (_, used)): (&CustomerId, (f64, f64))| {
            let share = level * f64::from(self.weight(Some(customer)));
            (
                customer.clone(),
                if share > 0.0 { used / share } else { 0.0 },
            )
        };
        let shares = sums.into_iter();
        shares
            .map(|(customer, sums)| relative((customer, sums)))
            .collect()
    }

    /// Returns whether a customer uses more than its share of a service that is short.
    pub(super) fn is_above_share(&self, call: &AdmittedCall) -> bool {
        let above = self.above_share.get(&call.service);
        above
            .zip(call.customer.as_ref())
            .is_some_and(|(customers, customer)| customers.contains(customer))
    }

    /// Returns the use of customers relative to their shares, by service that is short.
    pub(super) fn use_of_share(&self) -> &BTreeMap<ServiceName, BTreeMap<CustomerId, f64>> {
        &self.use_of_share
    }
}

/// Returns the work per weight up to which all demands are met by `capacity`, given each demand
/// with its weight; infinite if all are met.
fn fair_level(demands: &[(f64, f64)], capacity: f64) -> f64 {
    let mut by_level: Vec<(f64, f64)> = demands.to_vec();
    by_level.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
    let mut left = capacity;
    let mut weight: f64 = by_level.iter().map(|(_, weight)| weight).sum();
    for (asked, own_weight) in by_level {
        if asked / own_weight * weight >= left {
            return left / weight;
        }
        left -= asked;
        weight -= own_weight;
    }
    f64::INFINITY
}
