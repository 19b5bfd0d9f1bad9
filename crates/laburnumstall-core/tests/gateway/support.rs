//! Configuration, endpoints and calls for tests of the gateway.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use laburnumstall_core::gateway::{
    BodyDigest, Bounds, CallAttributes, CallKind, CallerLimits, CustomerRule, EndpointRecord,
    Gateway, Prompt, PromptPart, Quota, QuotaUnit, RouteRule, RouteTarget, RoutingRules,
    ScalingRule, ServiceRule,
};
use laburnumstall_core::membership::{CertificateFingerprint, Member};
use laburnumstall_core::prelude::*;

/// Key of the customer `archive`.
pub(crate) const KEY: &str = "key-of-archive";

/// Returns the time `ms` after the start of the test.
pub(crate) fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + ms)
}

pub(crate) fn daemon(number: u32) -> DaemonId {
    format!("entry-{number}@1").parse().unwrap()
}

pub(crate) fn member(number: u32) -> Member {
    Member {
        id: daemon(number),
        zone: "north-a".parse().unwrap(),
        peer_address: format!("10.0.{}.{}:7000", number / 250, number % 250)
            .parse()
            .unwrap(),
        caller_address: format!("10.0.{}.{}:8000", number / 250, number % 250)
            .parse()
            .unwrap(),
        certificate: CertificateFingerprint([number as u8; 32]),
        leaving: false,
    }
}

pub(crate) fn bounds() -> Bounds {
    Bounds {
        revocation: Some(Duration::from_secs(5)),
        retry_ratio: 0.2,
        retry_window: Duration::from_secs(10),
        retry_allowance: 58.0,
        usage_window: Duration::from_secs(5),
        rollout: None,
    }
}

pub(crate) fn route(prefix: &str, kind: CallKind, service: &str) -> RouteRule {
    RouteRule {
        name: prefix.trim_matches('/').into(),
        host: "app.example".into(),
        prefix: prefix.into(),
        kind,
        targets: vec![RouteTarget {
            service: service.parse().unwrap(),
            weight: 1,
        }],
        timeout: Duration::from_secs(4),
        target_latency: Duration::from_secs(1),
        longest_pause: Some(Duration::from_millis(300)),
        max_endpoints: 2,
        rank: 0,
        is_public: false,
        is_resumable: false,
    }
}

pub(crate) fn scaling() -> ScalingRule {
    let zones = ["north-a", "north-b", "north-c"];
    ScalingRule {
        min: 1,
        max: 8,
        boot: Duration::from_secs(4),
        spot_price: Some(0.18),
        zone_prices: zones
            .iter()
            .zip([0.85, 1.2, 1.0])
            .map(|(zone, price)| (zone.parse().unwrap(), price))
            .collect(),
    }
}

pub(crate) fn rules(version: u64) -> RoutingRules {
    let mut digest = route("/digest/", CallKind::Stream, "model");
    digest.is_resumable = true;
    let mut public = route("/public/", CallKind::Idempotent, "app");
    public.is_public = true;
    let routes = vec![
        digest,
        route("/query/", CallKind::Stream, "model"),
        route("/order/", CallKind::NonIdempotent, "app"),
        route("/read/", CallKind::Idempotent, "app"),
        public,
    ];
    let service = |name: &str, scaling: Option<ScalingRule>| {
        let name: ServiceName = name.parse().unwrap();
        let rule = ServiceRule {
            backend: None,
            name: name.clone(),
            scaling,
        };
        (name, rule)
    };
    RoutingRules {
        version: Revision(version),
        routes: routes.into_iter().map(Arc::new).collect(),
        services: BTreeMap::from([service("model", Some(scaling())), service("app", None)]),
        customers: Some(vec![CustomerRule {
            name: "archive".parse().unwrap(),
            keys: vec![KEY.into()],
            rank: None,
            quota: Some(Quota {
                unit: QuotaUnit::Tokens,
                rate: 100_000,
                burst: 100_000,
                default_cost: 200,
            }),
        }]),
        limits: CallerLimits {
            head: Bytes(16_384),
            body: Bytes(1 << 20),
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

pub(crate) fn endpoint(id: &str, service: &str, zone: &str) -> EndpointRecord {
    let number = id.bytes().map(u16::from).sum::<u16>();
    EndpointRecord {
        id: id.parse().unwrap(),
        service: service.parse().unwrap(),
        address: format!("10.1.{}.{}:8080", number / 250, number % 250)
            .parse()
            .unwrap(),
        zone: zone.parse().unwrap(),
        slots: 64,
        is_leaving: false,
        is_spot: false,
        started_at_ms: 1,
        version: Some("v1".parse().unwrap()),
        leaves_in: None,
    }
}

/// Returns a gateway with a configuration and endpoints that confirmed its view at `at(0)`.
pub(crate) fn gateway(endpoints: &[EndpointRecord]) -> Gateway {
    gateway_of(1, endpoints)
}

/// Returns such a gateway of the daemon of this number.
pub(crate) fn gateway_of(number: u32, endpoints: &[EndpointRecord]) -> Gateway {
    let own = member(number);
    let mut gateway = Gateway::new(
        own.id.clone(),
        own.zone.clone(),
        own.caller_address,
        bounds(),
    );
    gateway.on_store_confirmed(at(0), at(0));
    gateway.on_rules(at(0), rules(1));
    gateway.on_endpoints(at(0), endpoints.to_vec());
    gateway
}

pub(crate) fn call_attributes(id: &str, path: &str) -> CallAttributes {
    CallAttributes {
        id: id.into(),
        host: "app.example".into(),
        path: path.into(),
        body: BodyDigest::of(id.as_bytes()),
        key: Some(KEY.into()),
        caller_timeout: Some(Duration::from_secs(3)),
        prompt: None,
        resume_after: None,
        resumed_attempt: None,
    }
}

/// Returns a prompt whose first `shared` tokens are the part `shared_part`.
pub(crate) fn prompt(shared_part: u64, shared: u32, own: u32) -> Prompt {
    let part = |id, tokens| PromptPart { id, tokens };
    Prompt {
        tokens: shared + own,
        max_answer_tokens: 100,
        parts: vec![
            part(shared_part, shared),
            part(shared_part ^ u64::from(own) << 32 | 1, own),
        ],
    }
}
