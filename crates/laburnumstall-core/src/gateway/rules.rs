//! Routes, services, customers and limits of a configuration.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;

use crate::ids::{AvailabilityZone, CustomerId, Revision, ServiceName};
use crate::units::Bytes;
use crate::{domain, domain_value};

domain_value! {
    /// Kind of a call: whether it may be repeated, and the form of its response.
    #[serde(rename_all = "kebab-case")]
    pub enum CallKind {
        /// Single response; a repeated call has no further effect.
        Idempotent,
        /// Single response; a repeated call has an effect.
        NonIdempotent,
        /// Stream of events.
        Stream,
    }

    /// Unit that a quota is counted in.
    #[serde(rename_all = "kebab-case")]
    pub enum QuotaUnit {
        /// Each call counts as one.
        Calls,
        /// A call counts as its prompt tokens plus its maximum answer tokens.
        Tokens,
    }

    /// Quota of a customer across all daemons.
    pub struct Quota {
        /// Unit of the rate and the burst.
        pub unit: QuotaUnit,
        /// Units per second.
        pub rate: u64,
        /// Units that may be used at once beyond the rate.
        pub burst: u64,
        /// Units of a call that does not state its tokens.
        #[serde(rename = "plain_cost")]
        pub default_cost: u64,
    }

    /// Limits for callers' requests and connections.
    pub struct CallerLimits {
        /// Maximum size of a request head.
        pub head: Bytes,
        /// Maximum size of a request body.
        pub body: Bytes,
        /// Maximum time from the first byte of a head to its last.
        pub head_timeout: Duration,
        /// Time after which an idle connection is closed.
        pub idle_timeout: Duration,
    }
}

domain! {
    /// Service that a route sends calls to, with its weight.
    pub struct RouteTarget {
        /// Name of the service.
        pub service: ServiceName,
        /// Weight relative to the route's other targets.
        pub weight: u32,
    }

    /// Route for the calls of one host below one path prefix.
    pub struct RouteRule {
        /// Name of the route.
        pub name: CompactString,
        /// Host in lower case.
        pub host: CompactString,
        /// Path prefix; begins and ends with a slash.
        pub prefix: CompactString,
        /// Kind of the calls.
        pub kind: CallKind,
        /// Services that run the calls, by weight.
        pub targets: Vec<RouteTarget>,
        /// Maximum time that a caller is kept waiting.
        pub timeout: Duration,
        /// Target time to a response, or to the first event of a stream.
        pub target_latency: Duration,
        /// Target for the longest pause between two events of a stream.
        pub longest_pause: Option<Duration>,
        /// Maximum number of endpoints that may run one call.
        pub max_endpoints: u32,
        /// Priority rank among routes and customers; 0 is the most urgent.
        pub rank: u8,
        /// Whether calls need no key.
        pub is_public: bool,
        /// Whether another endpoint can resume a stream after any of its events.
        pub is_resumable: bool,
    }

    /// Limits and prices for the endpoints of a service.
    pub struct ScalingRule {
        /// Minimum number of endpoints per zone.
        pub min: u32,
        /// Maximum number of endpoints per zone, on-demand and reclaimable together.
        pub max: u32,
        /// Time from an order until the endpoint serves.
        pub boot: Duration,
        /// Price of a reclaimable endpoint relative to an on-demand one; `None` if there are
        /// no reclaimable ones.
        pub spot_price: Option<f64>,
        /// Price of an on-demand endpoint in each zone.
        pub zone_prices: BTreeMap<AvailabilityZone, f64>,
    }

    /// Engine that the endpoints of a service run.
    #[derive(Copy)]
    pub struct BackendRule {
        /// Calls that run at once.
        pub batch: u32,
        /// Tokens that fit into the KV cache.
        pub kv_tokens: u64,
        /// Size of a token in the KV cache.
        pub token_size: Bytes,
        /// Rate of the link between endpoints, in bytes per second.
        pub link_rate: u64,
        /// Whether the KV cache of a running call can be moved to another endpoint.
        pub can_move: bool,
        /// Time for which a moved KV cache that nobody uses is kept.
        pub move_ttl: Duration,
    }

    /// Settings of a service.
    pub struct ServiceRule {
        /// Name of the service.
        pub name: ServiceName,
        /// Engine of its endpoints; `None` for services without one.
        pub backend: Option<BackendRule>,
        /// Scaling rule, for services whose endpoints the daemons order.
        pub scaling: Option<ScalingRule>,
    }

    /// Customer with its keys and quota.
    pub struct CustomerRule {
        /// Name of the customer.
        pub name: CustomerId,
        /// Bearer keys of the customer.
        pub keys: Vec<CompactString>,
        /// Priority rank that overrides the route's.
        pub rank: Option<u8>,
        /// Quota; `None` means no limit.
        pub quota: Option<Quota>,
    }

    /// Accepted configuration.
    pub struct RoutingRules {
        /// Version; increases with each configuration.
        pub version: Revision,
        /// Routes of all hosts.
        pub routes: Vec<Arc<RouteRule>>,
        /// Services by name.
        pub services: BTreeMap<ServiceName, ServiceRule>,
        /// Customers; `None` if calls need no key. An empty list admits no key.
        pub customers: Option<Vec<CustomerRule>>,
        /// Limits for callers.
        pub limits: CallerLimits,
    }
}

impl CallKind {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non-idempotent",
            Self::Stream => "stream",
        }
    }
}

impl RoutingRules {
    /// Returns the customers; none if calls need no key.
    pub fn customers(&self) -> &[CustomerRule] {
        self.customers.as_deref().unwrap_or_default()
    }
}

impl RouteRule {
    /// Returns whether a call may run again after it may have run.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            CallKind::Idempotent => true,
            CallKind::NonIdempotent => false,
            CallKind::Stream => self.is_resumable,
        }
    }

    /// Selects the service for a call; the same `seed` selects the same service.
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

/// Configuration, indexed for lookups.
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
            .customers()
            .iter()
            .enumerate()
            .flat_map(|(index, customer)| customer.keys.iter().map(move |key| (key.clone(), index)))
            // A call without a key is looked up with an empty one.
            .filter(|(key, _)| !key.is_empty())
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

    /// Returns the route with the longest matching path prefix.
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

    /// Returns the customer that a bearer key belongs to.
    pub fn customer(&self, key: &str) -> Option<&CustomerRule> {
        let index = *self.by_key.get(key)?;
        self.rules.customers().get(index)
    }

    /// Returns whether a call of `route` that carries `key` is for a known customer alone. A key
    /// counts where no call needs one: it was withdrawn, or never listed.
    pub fn needs_customer(&self, route: &RouteRule, key: Option<&str>) -> bool {
        !route.is_public && (self.rules.customers.is_some() || key.is_some())
    }
}
