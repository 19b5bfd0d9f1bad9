//! Services, which callers address by name.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use crate::ids::{
    AdapterName, AvailabilityZone, EndpointId, ModelName, ServiceName, VersionName, VmClass,
};
use crate::units::{RequestRate, Tokens};
use crate::{domain, domain_value};

domain_value! {
    /// Type of the backends of a service.
    #[serde(rename_all = "kebab-case")]
    pub enum ServiceKind {
        /// Model engines.
        Model,
        /// An HTTP application.
        Plain,
    }
}

domain! {
    /// The model of a service.
    #[serde(deny_unknown_fields)]
    pub struct ModelSpec {
        /// Name of the model.
        pub model: ModelName,
        /// Adapter on top of the model.
        pub adapter: Option<AdapterName>,
        /// Version to run.
        pub version: VersionName,
        /// Machine classes that can run the model, in order of preference.
        pub classes: Vec<VmClass>,
    }

    /// An idempotency rule for calls of a plain HTTP service.
    #[serde(deny_unknown_fields)]
    pub struct CallRule {
        /// HTTP method in upper case.
        pub method: CompactString,
        /// Path below the service; matches as a prefix of whole segments.
        pub path: CompactString,
        /// Whether the calls are idempotent.
        pub idempotent: bool,
    }

    /// An endpoint declared in the configuration file, for applications not started by placement.
    #[serde(deny_unknown_fields)]
    pub struct StaticEndpoint {
        /// Name of the endpoint.
        pub id: EndpointId,
        /// Availability zone of its VM.
        pub zone: AvailabilityZone,
        /// Address of its HTTP interface.
        pub address: SocketAddr,
    }

    /// The load for which placement provisions capacity.
    #[serde(deny_unknown_fields)]
    pub struct TargetLoad {
        /// Requests per second at peak load.
        pub requests: RequestRate,
        /// Prompt tokens of a typical request.
        pub prompt: Tokens,
        /// Answer tokens of a typical request.
        pub answer: Tokens,
    }

    /// A service that callers address by name.
    #[serde(deny_unknown_fields)]
    pub struct Service {
        /// Name of the service.
        pub name: ServiceName,
        /// Type of its backends.
        pub kind: ServiceKind,
        /// Services on which it depends.
        pub depends_on: Vec<ServiceName>,
        /// Its model; present only for [`ServiceKind::Model`].
        pub model: Option<ModelSpec>,
        /// Whether calls that match no rule are idempotent.
        pub idempotent: bool,
        /// Idempotency rules for its calls.
        pub calls: Vec<CallRule>,
        /// Whether endpoints deduplicate requests by idempotency key.
        pub checks_keys: bool,
        /// Whether endpoints refuse orders with an outdated fencing token.
        pub checks_fencing: bool,
        /// Time for which an idempotency key is valid.
        pub key_window: Duration,
        /// Time after which an unanswered request fails.
        pub deadline: Duration,
        /// Endpoints declared in the configuration file.
        pub endpoints: Vec<StaticEndpoint>,
        /// Load for which placement provisions capacity.
        pub target: Option<TargetLoad>,
    }
}

impl Service {
    /// Returns whether a call is idempotent; the rule with the longest path applies.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        self.calls
            .iter()
            .filter(|rule| rule.matches(method, path))
            .max_by_key(|rule| rule.path.len())
            .map_or(self.idempotent, |rule| rule.idempotent)
    }
}

impl CallRule {
    fn matches(&self, method: &str, path: &str) -> bool {
        let prefix = self.path.trim_end_matches('/');
        let path = path.trim_end_matches('/');
        let rest = path.strip_prefix(prefix);
        let is_below = rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'));
        is_below && self.method.eq_ignore_ascii_case(method)
    }
}
