//! Admission of calls by route, key, age of the view and quota.

use std::time::Duration;

use crate::support::{at, call_attributes, daemon, endpoint, gateway, member, prompt, rules};
use laburnumstall_core::gateway::{Gateway, GossipMessage, QuotaUsage, ViewUpdate};
use laburnumstall_core::prelude::*;

fn kind(gateway: &mut Gateway, now: Timestamp, path: &str, key: Option<&str>) -> Option<ErrorKind> {
    let mut attributes = call_attributes("call-1", path);
    attributes.key = key.map(Into::into);
    gateway
        .admit(now, attributes)
        .err()
        .map(|refusal| refusal.kind)
}

/// Fails if `RoutingTable::route` selects the first prefix instead of the longest.
#[test]
fn longest_prefix_wins() {
    let mut longer = rules(2);
    let inner = crate::support::route(
        "/order/stock/",
        laburnumstall_core::gateway::CallKind::Idempotent,
        "model",
    );
    longer.routes.push(std::sync::Arc::new(inner));
    let mut gateway = gateway(&[]);
    gateway.on_rules(at(1), longer);
    let service = |gateway: &mut Gateway, path: &str| {
        gateway
            .admit(at(2), call_attributes("a", path))
            .unwrap()
            .service
            .to_string()
    };
    assert_eq!(service(&mut gateway, "/order/stock/7?all=/x/"), "model");
    assert_eq!(service(&mut gateway, "/order/stock"), "app");
    assert_eq!(service(&mut gateway, "/order/other/7"), "app");
    assert_eq!(
        kind(&mut gateway, at(2), "/orders/7", Some(crate::support::KEY)),
        Some(ErrorKind::UnknownService)
    );
}

/// Fails if `StoreFreshness::may_trust_keys` ignores the age of the view.
#[test]
fn keys_fail_closed() {
    let mut gateway = gateway(&[]);
    let key = Some(crate::support::KEY);
    assert_eq!(kind(&mut gateway, at(3_000), "/order/1", key), None);
    assert_eq!(
        kind(&mut gateway, at(3_600), "/order/1", key),
        Some(ErrorKind::NotReady)
    );
    assert_eq!(kind(&mut gateway, at(3_600), "/public/1", None), None);
    assert!(!gateway.is_ready(at(3_600)));
    gateway.on_store_confirmed(at(3_700), at(3_690));
    assert_eq!(kind(&mut gateway, at(3_700), "/order/1", key), None);
}

/// A call with an unknown route or key is refused with a retry delay while the view is stale,
/// since the route or key may be new. Fails if `unless_stale` returns the kind at any age.
#[test]
fn stale_view_asks_for_retry() {
    let mut gateway = gateway(&[]);
    let unknown = Some("another-key");
    assert_eq!(
        kind(&mut gateway, at(100), "/order/1", unknown),
        Some(ErrorKind::Unauthenticated)
    );
    assert_eq!(
        kind(&mut gateway, at(100), "/none/1", unknown),
        Some(ErrorKind::UnknownService)
    );
    assert_eq!(
        kind(&mut gateway, at(2_000), "/order/1", unknown),
        Some(ErrorKind::NotReady)
    );
    assert_eq!(
        kind(&mut gateway, at(2_000), "/none/1", unknown),
        Some(ErrorKind::NotReady)
    );
}

/// Fails if `Gateway::on_rules` adopts any configuration.
#[test]
fn older_configuration_is_ignored() {
    let mut gateway = gateway(&[]);
    let mut empty = rules(3);
    empty.routes.clear();
    assert!(gateway.on_rules(at(1), empty));
    assert!(!gateway.on_rules(at(2), rules(2)));
    assert_eq!(
        kind(&mut gateway, at(3), "/order/1", Some(crate::support::KEY)),
        Some(ErrorKind::UnknownService)
    );
}

fn large(id: &str) -> laburnumstall_core::gateway::CallAttributes {
    let mut attributes = call_attributes(id, "/digest/1");
    attributes.prompt = Some(prompt(7, 5_000, 25_000));
    attributes
}

fn admitted(gateway: &mut Gateway, now: Timestamp, calls: u32) -> u64 {
    let admits = (0..calls).filter_map(|n| gateway.admit(now, large(&format!("c{n}"))).ok());
    admits.map(|call| call.charge).sum()
}

/// The admitted units stay within the quota's rate and burst, except for one call that may
/// overdraw the bucket. Fails if `QuotaLedger::take` deducts nothing.
#[test]
fn quota_holds_over_time() {
    let mut gateway = gateway(&[]);
    let mut charged = 0;
    for step in 0..100 {
        gateway.on_store_confirmed(at(2_000 + step * 100), at(2_000 + step * 100));
        charged += admitted(&mut gateway, at(2_000 + step * 100), 10);
    }
    // Ten seconds at 100,000 units per second and the burst; one call costs 30,100.
    assert!(
        charged <= 100_000 * 10 + 100_000 + 30_100,
        "charged {charged}"
    );
    assert!(charged >= 100_000 * 9, "charged {charged}");
}

/// Units admitted by peers are deducted from this daemon's bucket. Fails without the call of
/// `Bucket::take` in `QuotaLedger::on_peer_usage`.
#[test]
fn peer_usage_is_deducted() {
    let mut gateway = gateway(&[]);
    gateway.on_member(at(0), member(2));
    let message = |sequence, units| GossipMessage {
        sequence,
        is_ready: true,
        loads: Vec::new(),
        quota_usage: vec![QuotaUsage {
            customer: "archive".parse().unwrap(),
            units,
        }],
        started_requests: Vec::new(),
        demand: Vec::new(),
        view: ViewUpdate::default(),
    };
    gateway.on_gossip(at(1_900), &daemon(2), message(1, 0));
    gateway.on_gossip(at(2_150), &daemon(2), message(2, 400_000));
    gateway.on_store_confirmed(at(2_200), at(2_200));
    let refused = gateway.admit(at(2_200), large("call-1")).unwrap_err();
    assert_eq!(refused.kind, ErrorKind::LimitReached);
    assert!(refused.retry_after.unwrap() > Duration::from_secs(2));
}

/// A daemon that reaches none of three others uses a quarter of the rate. Fails if
/// `QuotaLedger::set_members` does not change the rate.
#[test]
fn isolated_daemon_uses_its_share() {
    let mut gateway = gateway(&[]);
    for number in 2..5 {
        gateway.on_member(at(0), member(number));
    }
    let mut charged = 0;
    for step in 0..100 {
        gateway.on_store_confirmed(at(2_000 + step * 100), at(2_000 + step * 100));
        charged += admitted(&mut gateway, at(2_000 + step * 100), 10);
    }
    assert!(
        charged <= 25_000 * 12 + 25_000 + 30_100,
        "charged {charged}"
    );
}

/// Fails if `Gateway::end` refunds the charge of a call that ran, or refunds nothing.
#[test]
fn unused_quota_is_refunded() {
    let mut gateway = gateway(&[endpoint("engine-1", "model", "north-a")]);
    gateway.on_store_confirmed(at(2_000), at(2_000));
    let mut ended = 0;
    for n in 0..40 {
        let Ok(call) = gateway.admit(at(2_000), large(&format!("c{n}"))) else {
            break;
        };
        gateway.end(at(2_000), call, "no-endpoint", 503);
        ended += 1;
    }
    assert_eq!(ended, 40);
}

/// A call whose caller disconnected after it was written to an endpoint may run on the
/// endpoint. Fails if `Gateway::end` refunds its charge.
#[test]
fn disconnected_call_stays_charged() {
    let mut gateway = gateway(&[endpoint("engine-1", "model", "north-a")]);
    gateway.on_store_confirmed(at(2_000), at(2_000));
    let mut ended = 0;
    while let Ok(mut call) = gateway.admit(at(2_000), large(&format!("c{ended}"))) {
        let attempt = gateway.select_endpoint(at(2_000), &mut call).unwrap();
        gateway.on_sent(&mut call);
        gateway.abandon(at(2_000), attempt, None);
        gateway.end(at(2_000), call, "caller-gone", 0);
        ended += 1;
        assert!(ended < 40, "{ended} calls of 30,100 tokens");
    }
    let lines: Vec<String> = gateway
        .take_decisions()
        .iter()
        .map(ToString::to_string)
        .collect();
    let finish = lines.iter().find(|line| line.contains("event=finish"));
    assert!(finish.is_some_and(|line| line.contains("reason=may-have-run")));
}

/// Calls without a prompt are admitted after large ones have used up the quota. Fails if
/// `QuotaLedger::take` does not compare `default_cost`.
#[test]
fn calls_without_prompt_pass() {
    let mut gateway = gateway(&[]);
    gateway.on_store_confirmed(at(2_000), at(2_000));
    admitted(&mut gateway, at(2_000), 20);
    assert!(gateway.admit(at(2_000), large("large")).is_err());
    assert!(
        gateway
            .admit(at(2_000), call_attributes("small", "/order/1"))
            .is_ok()
    );
}

/// A configuration without customers let every call run, also one with a key that was withdrawn.
#[test]
fn no_customers() {
    let refused = Some(ErrorKind::Unauthenticated);
    let cases = [(Some(Vec::new()), refused), (None, None)];
    for (version, (customers, without_key)) in (2..).zip(cases) {
        let mut gateway = gateway(&[]);
        let mut emptied = rules(version);
        emptied.customers = customers;
        assert!(gateway.on_rules(at(1), emptied));
        for key in [crate::support::KEY, "never-listed"] {
            assert_eq!(kind(&mut gateway, at(2), "/order/1", Some(key)), refused);
            assert_eq!(kind(&mut gateway, at(2), "/public/1", Some(key)), None);
        }
        assert_eq!(kind(&mut gateway, at(2), "/order/1", None), without_key);
        assert_eq!(kind(&mut gateway, at(2), "/public/1", None), None);
    }
}

/// A key that two customers list counts for the later one, and works while any of them lists it.
#[test]
fn shared_key() {
    let mut gateway = gateway(&[]);
    let mut shared = rules(2);
    let customers = shared.customers.as_mut().unwrap();
    let mut second = customers[0].clone();
    second.name = "museum".parse().unwrap();
    customers.push(second);
    let mut left = shared.clone();
    left.version = Revision(3);
    left.customers.as_mut().unwrap()[1].keys.clear();
    let customer = |gateway: &mut Gateway| {
        let call = gateway.admit(at(2), call_attributes("call-1", "/order/1"));
        call.unwrap().customer.unwrap().to_string()
    };
    assert!(gateway.on_rules(at(1), shared));
    assert_eq!(customer(&mut gateway), "museum");
    assert!(gateway.on_rules(at(1), left));
    assert_eq!(customer(&mut gateway), "archive");
}
