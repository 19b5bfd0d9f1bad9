//! Endpoints that name in their responses how many requests a second they take.

use crate::support::{at, endpoint, gateway};
use laburnumstall_core::gateway::{
    EndpointLimit, EndpointNotice, EndpointProcess, Gateway, LimitNotice,
};
use laburnumstall_core::prelude::*;

fn limit(per_second: f64) -> EndpointLimit {
    EndpointLimit::per_second(per_second).unwrap()
}

fn notice(limit: LimitNotice) -> EndpointNotice {
    EndpointNotice {
        limit,
        ..EndpointNotice::default()
    }
}

fn process(started_at_ms: u64) -> EndpointProcess {
    EndpointProcess {
        id: "a".parse().unwrap(),
        started_at_ms,
    }
}

/// Returns gateways that know the endpoints `a` and `b`.
fn two_endpoints() -> Gateway {
    gateway(&[
        endpoint("a", "app", "north-a"),
        endpoint("b", "app", "north-a"),
    ])
}

fn limit_of(gateway: &Gateway, id: &str) -> Option<EndpointLimit> {
    gateway
        .endpoints()
        .get(&id.parse().unwrap())
        .unwrap()
        .limit()
}

fn say(gateway: &mut Gateway, now: Timestamp, sent: Timestamp, limit: LimitNotice) {
    gateway.on_endpoint_notice(now, &process(1), sent, &notice(limit));
}

/// A limit ends with a response without one, unless that is a late one, or with its process.
#[test]
fn limit_outlives_its_endpoint() {
    let mut gateway = two_endpoints();
    say(&mut gateway, at(100), at(90), LimitNotice::Rate(limit(2.0)));
    assert_eq!(limit_of(&gateway, "a"), Some(limit(2.0)));
    say(&mut gateway, at(110), at(80), LimitNotice::Unlimited);
    say(&mut gateway, at(120), at(115), LimitNotice::Unreadable);
    assert_eq!(limit_of(&gateway, "a"), Some(limit(2.0)));
    say(&mut gateway, at(130), at(105), LimitNotice::Unlimited);
    assert_eq!(limit_of(&gateway, "a"), None);
    say(
        &mut gateway,
        at(200),
        at(190),
        LimitNotice::Rate(limit(1.0)),
    );
    let mut restarted = endpoint("a", "app", "north-a");
    restarted.started_at_ms = 2;
    gateway.on_endpoint(at(300), restarted);
    assert_eq!(limit_of(&gateway, "a"), None);
    say(
        &mut gateway,
        at(400),
        at(390),
        LimitNotice::Rate(limit(1.0)),
    );
    assert_eq!(limit_of(&gateway, "a"), None, "of the earlier process");
}

/// Of what peers tell and responses say, the latest holds, also the end of a limit.
#[test]
fn older_word_of_peer_replaces_newer_one() {
    let (mut first, mut second) = (two_endpoints(), two_endpoints());
    let told = |from: &mut Gateway, now| from.take_endpoint_notices(now).unwrap().1;
    first.take_endpoint_notices(at(50));
    say(&mut first, at(100), at(90), LimitNotice::Rate(limit(2.0)));
    let named = told(&mut first, at(100));
    second.on_peer_notices(at(110), named.clone());
    assert_eq!(limit_of(&second, "a"), Some(limit(2.0)));
    say(&mut second, at(300), at(290), LimitNotice::Unlimited);
    assert_eq!(limit_of(&second, "a"), None);
    let repeated = told(&mut first, at(1_100));
    second.on_peer_notices(at(1_110), repeated);
    assert_eq!(limit_of(&second, "a"), None);
    let ended = told(&mut second, at(1_200));
    first.on_peer_notices(at(1_210), ended);
    assert_eq!(limit_of(&first, "a"), None);
}
