//! What load is driven: who calls, what, how often and for how long.

use std::net::SocketAddr;
use std::time::Duration;

use laburnumstall_core::domain;
use laburnumstall_core::ids::{CustomerId, ServiceName};
use laburnumstall_core::request::Dialect;
use laburnumstall_core::resources::{Service, ServiceKind, System};
use laburnumstall_core::units::{Bytes, RequestRate, Tokens};

/// Bytes of prompt that stand for one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Share of the plain services in a mix taken from a text, relative to one request a second.
const PLAIN_WEIGHT: u32 = 1;

domain! {
    /// A customer with the bearer key that its callers send.
    pub struct CallerKey {
        /// The customer.
        pub customer: CustomerId,
        /// Its bearer key.
        pub key: String,
    }

    /// A kind of request, with its share of all.
    pub struct MixPart {
        /// Service that is called.
        pub service: ServiceName,
        /// Interface by which it is called.
        pub dialect: Dialect,
        /// HTTP method of a plain call.
        pub method: String,
        /// Path below a plain service.
        pub path: String,
        /// Whether a repetition has no further effect.
        pub idempotent: bool,
        /// Share of all requests, relative to the other parts.
        pub weight: u32,
        /// Size of the prompt or body.
        pub prompt: Bytes,
        /// Tokens that are asked for.
        pub answer: Tokens,
        /// Time after which the system gives the request up.
        pub deadline: Duration,
    }

    /// What load is driven.
    pub struct LoadPlan {
        /// Addresses at which the directory of entries is asked for.
        pub entries: Vec<SocketAddr>,
        /// Customers whose callers send, each equally often.
        pub callers: Vec<CallerKey>,
        /// Kinds of requests.
        pub mix: Vec<MixPart>,
        /// Requests a second.
        pub rate: RequestRate,
        /// Time during which requests are sent.
        pub duration: Duration,
        /// Most requests at once; later ones wait.
        pub concurrency: u32,
        /// Seed of the workload.
        pub seed: u64,
        /// Time without a byte after which a caller takes a connection for dead.
        pub silence: Duration,
        /// Time that a caller waits beyond a request's deadline.
        pub grace: Duration,
    }
}

impl MixPart {
    /// Lists the kinds of requests that a text provides for.
    ///
    /// Model services have the share and sizes of their targets; plain services are called
    /// by each of their rules, or by `GET /` if they have none.
    pub fn of_system(system: &System) -> Vec<Self> {
        system.services.iter().flat_map(parts_of).collect()
    }
}

fn parts_of(service: &Service) -> Vec<MixPart> {
    match service.kind {
        ServiceKind::Model => model_part(service).into_iter().collect(),
        ServiceKind::Plain if service.calls.is_empty() => vec![plain_part(service, "GET", "/")],
        ServiceKind::Plain => service
            .calls
            .iter()
            .map(|rule| plain_part(service, &rule.method, &rule.path))
            .collect(),
    }
}

fn model_part(service: &Service) -> Option<MixPart> {
    let target = service.target.as_ref()?;
    Some(MixPart {
        service: service.name.clone(),
        dialect: Dialect::Chat,
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        idempotent: service.idempotent,
        weight: u32::try_from(target.requests.get()).unwrap_or(u32::MAX),
        prompt: Bytes(target.prompt.get().saturating_mul(BYTES_PER_TOKEN)),
        answer: target.answer,
        deadline: service.deadline,
    })
}

fn plain_part(service: &Service, method: &str, path: &str) -> MixPart {
    MixPart {
        service: service.name.clone(),
        dialect: Dialect::Plain,
        method: method.into(),
        path: path.into(),
        idempotent: service.is_idempotent(method, path),
        weight: PLAIN_WEIGHT,
        prompt: Bytes(0),
        answer: Tokens(0),
        deadline: service.deadline,
    }
}
