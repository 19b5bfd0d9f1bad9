//! Services: what callers ask for by name.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use crate::ids::{
    AdapterName, AvailabilityZone, EndpointId, ModelName, ServiceName, VersionName, VmClass,
};
use crate::units::{RequestRate, Tokens};
use crate::{domain, domain_value};

domain_value! {
    /// What answers a service's requests.
    #[serde(rename_all = "kebab-case")]
    pub enum ServiceKind {
        /// Model engines.
        Model,
        /// A plain HTTP application.
        Plain,
    }
}

domain! {
    /// The model that a service needs.
    #[serde(deny_unknown_fields)]
    pub struct ModelSpec {
        /// Name of the model.
        pub model: ModelName,
        /// Adapter over the model.
        pub adapter: Option<AdapterName>,
        /// Version to run.
        pub version: VersionName,
        /// Machine classes that can run it, in order of preference.
        pub classes: Vec<VmClass>,
    }

    /// A call of a plain service that needs its own rule.
    #[serde(deny_unknown_fields)]
    pub struct CallRule {
        /// HTTP method, in capitals.
        pub method: CompactString,
        /// Path below the service, matched as a prefix by whole segments.
        pub path: CompactString,
        /// Whether the call can be repeated without a further effect.
        pub idempotent: bool,
    }

    /// An endpoint that the text names, for applications that placement does not start.
    #[serde(deny_unknown_fields)]
    pub struct StaticEndpoint {
        /// Name of the endpoint.
        pub id: EndpointId,
        /// Zone of its VM.
        pub zone: AvailabilityZone,
        /// Address of its HTTP interface.
        pub address: SocketAddr,
    }

    /// The load that placement provides for.
    #[serde(deny_unknown_fields)]
    pub struct TargetLoad {
        /// Requests a second at the peak.
        pub requests: RequestRate,
        /// Prompt tokens of a typical request.
        pub prompt: Tokens,
        /// Answer tokens of a typical request.
        pub answer: Tokens,
    }

    /// A service that callers ask for by name.
    #[serde(deny_unknown_fields)]
    pub struct Service {
        /// Name of the service.
        pub name: ServiceName,
        /// What answers its requests.
        pub kind: ServiceKind,
        /// Services that it depends on.
        pub depends_on: Vec<ServiceName>,
        /// Model that it needs; present for [`ServiceKind::Model`] alone.
        pub model: Option<ModelSpec>,
        /// Whether calls without a rule of their own are idempotent.
        pub idempotent: bool,
        /// Calls with a rule of their own.
        pub calls: Vec<CallRule>,
        /// Whether endpoints run a repeated idempotency key once.
        pub checks_keys: bool,
        /// Whether endpoints refuse an order with an old fencing number.
        pub checks_fencing: bool,
        /// Time that an idempotency key stays valid.
        pub key_window: Duration,
        /// Time after which a request without an answer is given up.
        pub deadline: Duration,
        /// Endpoints that the text names.
        pub endpoints: Vec<StaticEndpoint>,
        /// Load that placement provides for.
        pub target: Option<TargetLoad>,
    }
}

impl Service {
    /// Tells whether a call can be repeated without a further effect.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        self.calls
            .iter()
            .filter(|rule| rule.covers(method, path))
            .max_by_key(|rule| rule.path.len())
            .map_or(self.idempotent, |rule| rule.idempotent)
    }
}

impl CallRule {
    fn covers(&self, method: &str, path: &str) -> bool {
        let prefix = self.path.trim_end_matches('/');
        let path = path.trim_end_matches('/');
        let rest = path.strip_prefix(prefix);
        let is_below = rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'));
        is_below && self.method.eq_ignore_ascii_case(method)
    }
}
