//! The routes, services, customers and limits in force.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;

use crate::ids::{AvailabilityZone, CustomerId, Revision, ServiceName};
use crate::units::Bytes;
use crate::{domain, domain_value};

domain_value! {
    /// What may be repeated of a call, and how it is answered.
    #[serde(rename_all = "kebab-case")]
    pub enum CallKind {
        /// One body; a repetition has no further effect.
        Idempotent,
        /// One body; a repetition would have an effect.
        NonIdempotent,
        /// A stream of events.
        Stream,
    }

    /// What a quota is counted in.
    #[serde(rename_all = "kebab-case")]
    pub enum QuotaUnit {
        /// Each call counts as one.
        Calls,
        /// A call counts as its prompt and its longest answer.
        Tokens,
    }

    /// What a customer may use, over all daemons.
    pub struct Quota {
        /// Unit of the rate and the burst.
        pub unit: QuotaUnit,
        /// Units a second.
        pub rate: u64,
        /// Units that may be used beyond the rate at once.
        pub burst: u64,
        /// Units of a call that does not tell its tokens.
        #[serde(rename = "plain_cost")]
        pub default_cost: u64,
    }

    /// What callers may send, and how long they may take.
    pub struct CallerLimits {
        /// Largest head of a request.
        pub head: Bytes,
        /// Largest body of a request.
        pub body: Bytes,
        /// Longest time from the first byte of a head to its last.
        pub head_timeout: Duration,
        /// Time after which an unused connection is closed.
        pub idle_timeout: Duration,
    }
}

domain! {
    /// A service that a route leads to, with its part of the calls.
    pub struct RouteTarget {
        /// The service.
        pub service: ServiceName,
        /// Part relative to the route's other targets.
        pub weight: u32,
    }

    /// Calls of one host below one path prefix.
    pub struct RouteRule {
        /// Name of the route.
        pub name: CompactString,
        /// Host that callers name, in lower case.
        pub host: CompactString,
        /// Beginning of the path; begins and ends with a slash.
        pub prefix: CompactString,
        /// What may be repeated.
        pub kind: CallKind,
        /// Services that run the calls.
        pub targets: Vec<RouteTarget>,
        /// Longest time that a caller is kept waiting.
        pub timeout: Duration,
        /// Time within which an answer, or the first event of a stream, is on time.
        pub target_latency: Duration,
        /// Longest pause between two events of a stream that is on time.
        pub longest_pause: Option<Duration>,
        /// Most endpoints that may run one call.
        pub max_endpoints: u32,
        /// Rank among routes and customers; 0 is the most urgent.
        pub rank: u8,
        /// Whether no key is needed.
        pub is_public: bool,
        /// Whether a stream can go on at another endpoint behind a known event.
        pub is_resumable: bool,
    }

    /// How many endpoints of a service may be ordered, and at what price.
    pub struct ScalingRule {
        /// Least endpoints in each zone.
        pub min: u32,
        /// Most endpoints in each zone, of both kinds together.
        pub max: u32,
        /// Time from an order until an endpoint serves.
        pub boot: Duration,
        /// Price of a reclaimable endpoint as a part of a lasting one's; `None` if there
        /// are no reclaimable ones.
        pub spot_price: Option<f64>,
        /// Price of a lasting endpoint in each zone.
        pub zone_prices: BTreeMap<AvailabilityZone, f64>,
    }

    /// What is known of a service.
    pub struct ServiceRule {
        /// Name of the service.
        pub name: ServiceName,
        /// Scaling, for services whose endpoints are ordered.
        pub scaling: Option<ScalingRule>,
    }

    /// A customer with its keys.
    pub struct CustomerRule {
        /// Name of the customer.
        pub name: CustomerId,
        /// Bearer keys that name the customer.
        pub keys: Vec<CompactString>,
        /// Rank that goes before the route's.
        pub rank: Option<u8>,
        /// Quota; `None` means no limit.
        pub quota: Option<Quota>,
    }

    /// One accepted configuration.
    pub struct RoutingRules {
        /// Version; a later one is higher.
        pub version: Revision,
        /// Routes of all hosts.
        pub routes: Vec<Arc<RouteRule>>,
        /// Services by name.
        pub services: BTreeMap<ServiceName, ServiceRule>,
        /// Customers; without any, no call needs a key.
        pub customers: Vec<CustomerRule>,
        /// Limits of callers.
        pub limits: CallerLimits,
    }
}

impl CallKind {
    /// Returns the name written in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non-idempotent",
            Self::Stream => "stream",
        }
    }
}

impl RouteRule {
    /// Tells whether a call may run again after it may have run.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            CallKind::Idempotent => true,
            CallKind::NonIdempotent => false,
            CallKind::Stream => self.is_resumable,
        }
    }

    /// Picks the service for a call; the same `seed` gives the same service.
    pub fn target(&self, seed: u64) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut left = seed.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        None
    }
}

/// A configuration, indexed for lookups.
#[derive(Debug, Clone)]
pub struct RoutingTable {
    rules: RoutingRules,
    by_prefix: HashMap<(CompactString, CompactString), Arc<RouteRule>>,
    by_key: HashMap<CompactString, usize>,
}

impl RoutingTable {
    /// Indexes a configuration.
    pub fn new(rules: RoutingRules) -> Self {
        let by_prefix = rules
            .routes
            .iter()
            .map(|route| {
                (
                    (route.host.clone(), route.prefix.clone()),
                    Arc::clone(route),
                )
            })
            .collect();
        let by_key = rules
            .customers
            .iter()
            .enumerate()
            .flat_map(|(index, customer)| customer.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        Self {
            rules,
            by_prefix,
            by_key,
        }
    }

    /// Returns the configuration.
    pub fn rules(&self) -> &RoutingRules {
        &self.rules
    }

    /// Finds the route with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let host = CompactString::from(host).to_ascii_lowercase();
        let mut end = path.find('?').unwrap_or(path.len());
        while let Some(slash) = path[..end].rfind('/') {
            let key = (
                CompactString::from(host.as_str()),
                CompactString::from(&path[..=slash]),
            );
            if let Some(route) = self.by_prefix.get(&key) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// Finds the customer that a bearer key names.
    pub fn customer(&self, key: &str) -> Option<&CustomerRule> {
        let index = *self.by_key.get(key)?;
        self.rules.customers.get(index)
    }

    /// Tells whether calls of `route` need a key.
    pub fn needs_key(&self, route: &RouteRule) -> bool {
        !route.is_public && !self.rules.customers.is_empty()
    }
}
