//! Time of an admission decision with many waiting calls.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use laburnumstall_core::gateway::{
    BodyDigest, Bounds, CallAttributes, CallKind, CallerLimits, CustomerRule, EndpointRecord,
    Gateway, Prompt, RouteRule, RouteTarget, RoutingRules, Start,
};
use laburnumstall_core::prelude::*;

const CUSTOMERS: usize = 16;

fn gateway() -> Result<Gateway, Box<dyn std::error::Error>> {
    let bounds = Bounds {
        revocation: None,
        retry_ratio: 0.2,
        retry_window: Duration::from_secs(10),
        retry_allowance: 10.0,
        usage_window: Duration::from_secs(5),
    };
    let address = "10.0.0.1:80".parse()?;
    let mut gateway = Gateway::new("a@1".parse()?, "north-a".parse()?, address, bounds);
    let route = RouteRule {
        name: "stream".into(),
        host: "app".into(),
        prefix: "/".into(),
        kind: CallKind::Stream,
        targets: vec![RouteTarget {
            service: "model".parse()?,
            weight: 1,
        }],
        timeout: Duration::from_secs(600),
        target_latency: Duration::from_secs(150),
        longest_pause: None,
        max_endpoints: 2,
        rank: 0,
        is_public: false,
        is_resumable: false,
    };
    let customers: Result<_, Box<dyn std::error::Error>> = (0..CUSTOMERS)
        .map(|number| {
            Ok(CustomerRule {
                name: format!("customer-{number}").parse()?,
                keys: vec![format!("key-{number}").into()],
                rank: None,
                quota: None,
            })
        })
        .collect();
    let now = Timestamp::from_millis(1);
    gateway.on_store_confirmed(now, now);
    gateway.on_rules(
        now,
        RoutingRules {
            version: Revision(1),
            routes: vec![Arc::new(route)],
            services: BTreeMap::new(),
            customers: customers?,
            limits: CallerLimits {
                head: Bytes(1 << 14),
                body: Bytes(1 << 20),
                head_timeout: Duration::from_secs(3),
                idle_timeout: Duration::from_secs(15),
            },
        },
    );
    let endpoints: Result<_, Box<dyn std::error::Error>> = (0..64)
        .map(|number| {
            Ok(EndpointRecord {
                id: format!("e{number}").parse()?,
                service: "model".parse()?,
                address: format!("10.1.0.{number}:80").parse()?,
                zone: "north-a".parse()?,
                slots: 64,
                is_leaving: false,
                is_spot: false,
                started_at_ms: 1,
                version: None,
            })
        })
        .collect();
    gateway.on_endpoints(now, endpoints?);
    Ok(gateway)
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut gateway = gateway()?;
    let now = Timestamp::from_millis(2);
    let (mut waiting, mut sent, mut number) = (0, 0, 0_usize);
    for target in [0, 10, 100, 1_000, 9_990] {
        while waiting < target || sent == 0 {
            let attributes = CallAttributes {
                id: format!("call-{number}").into(),
                host: "app".into(),
                path: "/".into(),
                body: BodyDigest(number as u64),
                key: Some(format!("key-{}", number % CUSTOMERS).into()),
                caller_timeout: None,
                prompt: Some(Prompt {
                    tokens: 120_000,
                    max_answer_tokens: 1,
                    parts: Vec::new(),
                }),
                resume_after: None,
                resumed_attempt: None,
            };
            number += 1;
            let mut call = gateway.admit(now, attributes)?;
            match gateway.try_start(now, &mut call) {
                Start::Wait(_) => waiting += 1,
                _ => sent += 1,
            }
            gateway.take_decisions();
        }
        let rounds = 50;
        let start = Instant::now();
        for _ in 0..rounds {
            gateway.dispatch_waiting(now);
        }
        let each = start.elapsed() / rounds;
        println!("waiting={waiting} sent={sent} decision={each:?}");
    }
    Ok(())
}
