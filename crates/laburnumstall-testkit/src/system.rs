//! The system and the requests that the worlds use.

use std::sync::Arc;
use std::time::Duration;

use laburnumstall_core::ids::{CustomerId, IdempotencyKey, ServiceName};
use laburnumstall_core::request::{AnswerForm, Dialect, Request, prefix_blocks};
use laburnumstall_core::resources::{
    Contract, Customer, Link, ModelSpec, Service, ServiceKind, StaticEndpoint, System, Zone,
};
use laburnumstall_core::units::{Priority, RequestRate, Timestamp, TokenRate, Tokens};

use crate::endpoint::FakeEndpoint;

/// Model service.
pub const MODEL: &str = "quotations";

/// Plain service whose calls are not idempotent.
pub const ORDERS: &str = "orders";

/// Plain service whose calls are idempotent.
pub const STOCK: &str = "stock";

/// First customer.
pub const CUSTOMER: &str = "chambers";

/// Second customer.
pub const OTHER_CUSTOMER: &str = "registry";

/// Time that an idempotency key stays valid.
const KEY_WINDOW: Duration = Duration::from_secs(24 * 3_600);

pub(crate) fn named<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the test's names are valid")
}

/// Returns the system of a world: zones `a`, `b`, `c`, three services, two customers.
pub fn system(endpoints: &[FakeEndpoint], orders_check_keys: bool) -> System {
    let zones = ["a", "b", "c"];
    let zone = |name: &&str| Zone {
        name: named(name),
        region: named("r"),
        price_permille: 1_000,
        reclaim_permille_day: 100,
    };
    let link = |from: &str, to: &str| Link {
        from: named(from),
        to: named(to),
        latency: Duration::from_micros(500),
    };
    System {
        zones: zones.iter().map(zone).collect(),
        links: vec![link("a", "b"), link("a", "c"), link("b", "c")],
        classes: Vec::new(),
        services: vec![
            service(MODEL, ServiceKind::Model, true, false, endpoints),
            service(
                ORDERS,
                ServiceKind::Plain,
                false,
                orders_check_keys,
                endpoints,
            ),
            service(STOCK, ServiceKind::Plain, true, false, endpoints),
        ],
        customers: vec![customer(CUSTOMER), customer(OTHER_CUSTOMER)],
    }
}

fn service(
    name: &str,
    kind: ServiceKind,
    idempotent: bool,
    checks_keys: bool,
    endpoints: &[FakeEndpoint],
) -> Service {
    let name: ServiceName = named(name);
    let own = endpoints
        .iter()
        .filter(|endpoint| endpoint.service == name)
        .map(|endpoint| StaticEndpoint {
            id: endpoint.id.clone(),
            zone: endpoint.zone.clone(),
            address: endpoint.address,
        });
    let model = ModelSpec {
        model: named("archive-8b"),
        adapter: None,
        version: named("1"),
        classes: Vec::new(),
    };
    Service {
        model: (kind == ServiceKind::Model).then_some(model),
        endpoints: own.collect(),
        name,
        kind,
        depends_on: Vec::new(),
        idempotent,
        calls: Vec::new(),
        checks_keys,
        checks_fencing: true,
        key_window: KEY_WINDOW,
        deadline: Duration::from_secs(30),
        target: None,
    }
}

fn customer(name: &str) -> Customer {
    Customer {
        name: named(name),
        key_digests: Vec::new(),
        contract: Contract {
            requests: RequestRate(10_000),
            tokens: TokenRate(10_000_000),
            weight: 1,
            priority: Priority(1),
            first_token: Duration::from_secs(1),
            between_tokens: Duration::from_millis(51),
            services: Vec::new(),
        },
    }
}

/// Returns an idempotency key that carries a time; equal for equal arguments.
pub fn key_at(now: Timestamp, number: u64) -> IdempotencyKey {
    let millis = now.0 / 1_000;
    let mut random = [0; 10];
    random[2..].copy_from_slice(&number.to_be_bytes());
    let uuid = uuid::Builder::from_unix_timestamp_millis(millis, &random).into_uuid();
    named(&uuid.to_string())
}

/// Returns a model request for `tokens` tokens with a deadline `patience` from now.
pub fn model_request(now: Timestamp, prompt: &str, tokens: u64, patience: Duration) -> Request {
    let customer: CustomerId = named(CUSTOMER);
    Request {
        customer,
        service: named(MODEL),
        dialect: Dialect::Chat,
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        content_type: "application/json".into(),
        body: Arc::from(prompt.as_bytes()),
        key: None,
        idempotent: true,
        form: AnswerForm::Stream,
        deadline: now.after(patience),
        priority: Priority(1),
        prompt: Tokens(prompt.len() as u64 / 4 + 1),
        answer: Tokens(tokens),
        prefix: prefix_blocks(MODEL, prompt.as_bytes()),
    }
}

/// Returns a call of a plain service.
pub fn plain_request(
    now: Timestamp,
    service: &str,
    body: &str,
    key: Option<IdempotencyKey>,
    patience: Duration,
) -> Request {
    Request {
        service: named(service),
        dialect: Dialect::Plain,
        path: "/".into(),
        key,
        idempotent: service != ORDERS,
        form: AnswerForm::Whole,
        prompt: Tokens(0),
        answer: Tokens(0),
        prefix: Vec::new(),
        ..model_request(now, body, 0, patience)
    }
}
