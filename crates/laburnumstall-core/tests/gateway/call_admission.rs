//! Which requests the gateway lets in, by route, key, age of its view and quota.

use std::time::Duration;

use crate::support::{at, daemon, endpoint, facts, gateway, member, prompt, rules};
use laburnumstall_core::gateway::{Gateway, GossipMessage, QuotaUsage, ViewUpdate};
use laburnumstall_core::prelude::*;

fn kind(gateway: &mut Gateway, now: Timestamp, path: &str, key: Option<&str>) -> Option<ErrorKind> {
    let mut call = facts("call-1", path);
    call.key = key.map(Into::into);
    gateway.admit(now, call).err().map(|refusal| refusal.kind)
}

/// Fails if `RoutingTable::route` takes the first prefix instead of the longest.
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
            .admit(at(2), facts("a", path))
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

/// A view that may be old denies nothing for good: the route or the key may be new.
/// Fails if `unless_new` gives the kind at any age.
#[test]
fn old_view_denies_nothing() {
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

/// Fails if `Gateway::on_rules` adopts whatever comes.
#[test]
fn configuration_never_goes_back() {
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
    let mut call = facts(id, "/digest/1");
    call.prompt = Some(prompt(7, 5_000, 25_000));
    call
}

fn admitted(gateway: &mut Gateway, now: Timestamp, calls: u32) -> u64 {
    let admits = (0..calls).filter_map(|n| gateway.admit(now, large(&format!("c{n}"))).ok());
    admits.map(|ticket| ticket.charge).sum()
}

/// Over any span the quota's rate and burst hold, but for one call that may overdraw.
/// Fails if `QuotaLedger::take` takes nothing.
#[test]
fn quota_holds_over_time() {
    let mut gateway = gateway(&[]);
    let mut spent = 0;
    for step in 0..100 {
        gateway.on_store_confirmed(at(2_000 + step * 100), at(2_000 + step * 100));
        spent += admitted(&mut gateway, at(2_000 + step * 100), 10);
    }
    // Ten seconds at 100,000 and the burst; one call is 30,100.
    assert!(spent <= 100_000 * 10 + 100_000 + 30_100, "spent {spent}");
    assert!(spent >= 100_000 * 9, "spent {spent}");
}

/// What other daemons let through is taken off here. Fails without the call of
/// `Bucket::take` in `QuotaLedger::on_spent`.
#[test]
fn others_spending_counts() {
    let mut gateway = gateway(&[]);
    gateway.on_member(at(0), member(2));
    let news = |sequence, units| GossipMessage {
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
    gateway.on_gossip(at(1_900), &daemon(2), news(1, 0));
    gateway.on_gossip(at(2_150), &daemon(2), news(2, 400_000));
    gateway.on_store_confirmed(at(2_200), at(2_200));
    let refused = gateway.admit(at(2_200), large("call-1")).unwrap_err();
    assert_eq!(refused.kind, ErrorKind::LimitReached);
    assert!(refused.retry_after.unwrap() > Duration::from_secs(2));
}

/// A daemon that hears none of three others uses a quarter of the rate. Fails if
/// `QuotaLedger::set_members` does not change the rate.
#[test]
fn alone_uses_its_part() {
    let mut gateway = gateway(&[]);
    for number in 2..5 {
        gateway.on_member(at(0), member(number));
    }
    let mut spent = 0;
    for step in 0..100 {
        gateway.on_store_confirmed(at(2_000 + step * 100), at(2_000 + step * 100));
        spent += admitted(&mut gateway, at(2_000 + step * 100), 10);
    }
    assert!(spent <= 25_000 * 12 + 25_000 + 30_100, "spent {spent}");
}

/// Fails if `Gateway::end` gives back the charge of a call that ran, or of none.
#[test]
fn unused_quota_comes_back() {
    let mut gateway = gateway(&[endpoint("engine-1", "model", "north-a")]);
    gateway.on_store_confirmed(at(2_000), at(2_000));
    let mut ended = 0;
    for n in 0..40 {
        let Ok(ticket) = gateway.admit(at(2_000), large(&format!("c{n}"))) else {
            break;
        };
        gateway.end(at(2_000), ticket, "no-endpoint", 503);
        ended += 1;
    }
    assert_eq!(ended, 40);
}

/// A call whose caller left after it was written to an endpoint may run there. Fails if
/// `Gateway::end` gives its charge back.
#[test]
fn left_call_stays_charged() {
    let mut gateway = gateway(&[endpoint("engine-1", "model", "north-a")]);
    gateway.on_store_confirmed(at(2_000), at(2_000));
    let mut ended = 0;
    while let Ok(mut ticket) = gateway.admit(at(2_000), large(&format!("c{ended}"))) {
        let run = gateway.select_endpoint(at(2_000), &mut ticket).unwrap();
        gateway.on_sent(&mut ticket);
        gateway.abandon(at(2_000), run, None);
        gateway.end(at(2_000), ticket, "caller-gone", 0);
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

/// Calls without a prompt pass beside large ones that have used the quota up. Fails if
/// `default_cost` is not compared in `QuotaLedger::take`.
#[test]
fn small_calls_pass() {
    let mut gateway = gateway(&[]);
    gateway.on_store_confirmed(at(2_000), at(2_000));
    admitted(&mut gateway, at(2_000), 20);
    assert!(gateway.admit(at(2_000), large("large")).is_err());
    assert!(gateway.admit(at(2_000), facts("small", "/order/1")).is_ok());
}
