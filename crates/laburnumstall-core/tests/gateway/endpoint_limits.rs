//! Endpoints that name in their responses how many requests a second they take.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::fleet::begin_call;
use crate::leaving_endpoints::{only, selected};
use crate::restored_store::gossip_of_era;
use crate::support::{at, call_attributes, daemon, endpoint, gateway, member};
use laburnumstall_core::gateway::{
    CallFailure, EndpointLimit, EndpointLimiter, EndpointNotice, EndpointProcess, FailureAction,
    Gateway, LimitNotice, PeerMessage, PeerProtocol, Scaler,
};
use laburnumstall_core::hash::digest64;
use laburnumstall_core::prelude::*;

/// Hash of an endpoint.
const ENDPOINT: u64 = 77;
/// Time over which the requests at an endpoint are counted.
const WINDOW_MS: u64 = 4_000;
/// Length of a simulation.
const LENGTH_MS: u64 = 40_000;

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
    for gateway in [&mut first, &mut second] {
        gateway.on_member(at(0), member(2));
        gateway.set_peer_protocol(&daemon(2), PeerProtocol::NEWEST);
    }
    let told = |from: &mut Gateway, now| {
        hear_peers(from, now, 2);
        from.take_endpoint_notices(now).unwrap().notices
    };
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

/// Daemons that share the limit of one endpoint, and send it all that they may.
struct Sharers {
    limit: EndpointLimit,
    /// Hash of each daemon, and its share while it runs.
    daemons: Vec<(u64, Option<EndpointLimiter>)>,
    sent_ms: Vec<u64>,
}

impl Sharers {
    fn new(daemons: u64, per_second: f64) -> Self {
        let hashes = (0..daemons).map(|n| digest64(&[&n.to_le_bytes()]));
        let mut sharers = Self {
            limit: limit(per_second),
            daemons: hashes.map(|hash| (hash, None)).collect(),
            sent_ms: Vec::new(),
        };
        for index in 0..sharers.daemons.len() {
            sharers.start(0, index);
        }
        sharers
    }

    fn peers(&self, index: usize) -> Vec<u64> {
        let hashes = self.daemons.iter().map(|(hash, _)| *hash);
        hashes
            .enumerate()
            .filter(|(n, _)| *n != index)
            .map(|(_, hash)| hash)
            .collect()
    }

    fn start(&mut self, ms: u64, index: usize) {
        let (own, peers) = (self.daemons[index].0, self.peers(index));
        let limiter = EndpointLimiter::new(at(ms), self.limit, ENDPOINT, own, &peers);
        self.daemons[index].1 = Some(limiter);
    }

    /// Returns the daemons with a share.
    fn with_share(&self) -> Vec<usize> {
        let has_share = |index: &usize| {
            let limiter = self.daemons[*index].1.as_ref();
            limiter.is_some_and(|limiter| limiter.rate() > 0)
        };
        (0..self.daemons.len()).filter(has_share).collect()
    }

    /// Lets daemons send at one moment, those that `sends` selects.
    fn step(&mut self, ms: u64, sends: impl Fn(usize) -> bool) {
        for (index, (_, limiter)) in self.daemons.iter_mut().enumerate() {
            while let Some(limiter) = limiter.as_mut().filter(|_| sends(index))
                && limiter.has_room(at(ms))
            {
                limiter.take(at(ms));
                self.sent_ms.push(ms);
            }
        }
    }

    /// Returns the most requests in any window.
    fn most_in_window(&self) -> usize {
        let from_each = self.sent_ms.iter().enumerate().map(|(index, from)| {
            let in_window = self.sent_ms[index..].iter();
            in_window.take_while(|ms| **ms < from + WINDOW_MS).count()
        });
        from_each.max().unwrap_or(0)
    }

    fn assert_within(&self, name: &str) {
        let allowed = self
            .limit
            .to_string()
            .trim_end_matches("req/s")
            .parse::<f64>()
            .unwrap()
            * 1.5
            * WINDOW_MS as f64
            / 1_000.0
            + 5.0;
        let most = self.most_in_window();
        assert!(
            most as f64 <= allowed,
            "{name}: {most} requests, allowed {allowed}"
        );
    }
}

const FLEETS: [(u64, f64); 9] = [
    (4, 1.0),
    (32, 1.0),
    (880, 1.0),
    (4, 0.3),
    (32, 7.5),
    (880, 7.5),
    (4, 40.0),
    (32, 40.0),
    (880, 2_000.0),
];

/// All daemons together stay under the limit and use it, also if they begin at the same moment
/// after a time without requests.
#[test]
fn sum_of_daemons_exceeds_limit() {
    for (daemons, per_second) in FLEETS {
        let name = format!("{daemons} daemons, {per_second}/s");
        let mut sharers = Sharers::new(daemons, per_second);
        for ms in (0..LENGTH_MS).step_by(10) {
            let is_pause = (10_000..20_000).contains(&ms);
            sharers.step(ms, |_| !is_pause);
        }
        sharers.assert_within(&name);
        let sent = sharers.sent_ms.iter().filter(|ms| **ms >= 20_000).count() as f64;
        let possible = per_second * 20.0;
        assert!(
            sent >= possible * 0.9,
            "{name}: {sent} of {possible} requests"
        );
    }
}

/// Daemons that are killed and start again every second or two do not gain requests.
#[test]
fn restarted_daemons_exceed_limit() {
    for (daemons, per_second) in [(4, 1.0), (32, 1.0), (32, 7.5)] {
        let mut sharers = Sharers::new(daemons, per_second);
        let sharing = sharers.with_share();
        for ms in (0..LENGTH_MS).step_by(10) {
            if ms % 1_500 == 0 {
                let killed = sharing[(ms / 1_500) as usize % sharing.len()];
                sharers.start(ms, killed);
            }
            sharers.step(ms, |_| true);
        }
        sharers.assert_within(&format!("{daemons} daemons, {per_second}/s"));
    }
}

/// While a fleet is divided, both parts together stay under the limit.
#[test]
fn divided_fleet_uses_limit_twice() {
    let mut sharers = Sharers::new(32, 1.0);
    let cut: BTreeSet<usize> = (0..16).collect();
    for ms in (0..LENGTH_MS).step_by(10) {
        // Members stay known until they are no longer registered.
        sharers.step(ms, |index| {
            ms < 20_000 || cut.contains(&index) || ms >= 30_000
        });
    }
    sharers.assert_within("divided");
}

/// Returns a gateway of four daemons whose endpoint `a` names a limit of 1 a second, or all
/// endpoints do.
fn limited(ids: &[&str]) -> Gateway {
    let mut gateway = two_endpoints();
    for number in 2..=4 {
        gateway.on_member(at(0), member(number));
    }
    for id in ids {
        let process = EndpointProcess {
            id: id.parse().unwrap(),
            started_at_ms: 1,
        };
        let notice = notice(LimitNotice::Rate(limit(1.0)));
        gateway.on_endpoint_notice(at(100), &process, at(90), &notice);
    }
    gateway
}

/// Calls without room at a limited endpoint go to others; retries count against the limit.
#[test]
fn retries_go_past_limit() {
    let mut gateway = limited(&["a"]);
    // A share of a quarter of a request per second has one request saved up by then.
    let mut at_limited = 0;
    for n in 0..40 {
        let attributes = call_attributes(&format!("call-{n}"), "/read/1");
        let (mut call, attempt) = begin_call(&mut gateway, at(5_000), attributes).unwrap();
        at_limited += usize::from(attempt.endpoint.as_str() == "a");
        let failed = gateway.after_failure(at(5_000), &mut call, attempt, CallFailure::NotRun);
        if failed == Ok(FailureAction::Retry)
            && let Ok(retry) = gateway.select_endpoint(at(5_000), &mut call)
        {
            at_limited += usize::from(retry.endpoint.as_str() == "a");
        }
    }
    assert_eq!(at_limited, 1);
    assert_eq!(selected(&mut gateway, at(5_000)), only("b"));
}

/// With no room at any endpoint, callers are refused at once, and told to come back one after the
/// other when there is room.
#[test]
fn callers_without_room_return_together() {
    let mut gateway = limited(&["a", "b"]);
    let waits: Vec<Duration> = (0..8)
        .filter_map(|n| {
            let attributes = call_attributes(&format!("call-{n}"), "/order/1");
            let refusal = begin_call(&mut gateway, at(5_000), attributes).err()?;
            assert_eq!(refusal.kind, ErrorKind::NoEndpoint);
            refusal.retry_after
        })
        .collect();
    assert_eq!(waits.len(), 6, "two requests are saved up");
    assert!(waits.is_sorted() && waits[0] > Duration::from_secs(3));
    let distinct: BTreeSet<Duration> = waits.iter().copied().collect();
    assert!(distinct.len() >= 3, "{waits:?}");
    let at_return = at(5_000).after(waits[0]);
    let attributes = call_attributes("again", "/order/1");
    assert!(begin_call(&mut gateway, at_return, attributes).is_ok());
}

/// A daemon without a share sends callers to others, and none to the endpoint.
#[test]
fn daemon_without_share_sends_requests() {
    let mut refusing = 0;
    for own in 1..=32 {
        let own = member(own);
        let mut gateway = Gateway::new(
            own.id.clone(),
            own.zone,
            own.caller_address,
            crate::support::bounds(),
        );
        gateway.on_store_confirmed(at(0), at(0));
        gateway.on_rules(at(0), crate::support::rules(1));
        gateway.on_endpoints(at(0), vec![endpoint("a", "app", "north-a")]);
        for number in (1..=32).filter(|number| daemon(*number) != own.id) {
            gateway.on_member(at(0), member(number));
        }
        say(&mut gateway, at(100), at(90), LimitNotice::Rate(limit(1.0)));
        let attributes = call_attributes("call", "/order/1");
        if let Err(refusal) = begin_call(&mut gateway, at(10_000), attributes) {
            assert!(refusal.retry_after.is_some());
            refusing += 1;
        }
    }
    assert_eq!(refusing, 32 - 5);
}

/// Returns how many endpoints there would be by the orders of the scaler.
fn planned(is_limited: bool) -> u32 {
    let mut records = ["a", "b", "c", "d"].map(|id| endpoint(id, "model", "north-a"));
    records[0].is_spot = true;
    let mut gateway = gateway(&records);
    if is_limited {
        say(&mut gateway, at(100), at(90), LimitNotice::Rate(limit(1.0)));
    }
    let zone: AvailabilityZone = "north-a".parse().unwrap();
    let mut counts = BTreeMap::from([((zone.clone(), false), 3), ((zone, true), 1)]);
    let (service, rule) = ("model".parse().unwrap(), crate::support::scaling());
    let (endpoints, mut journal) = (gateway.endpoints(), Journal::default());
    for order in Scaler::default().plan(at(200), &service, &rule, endpoints, &mut journal) {
        counts.insert((order.zone, order.is_spot), order.desired);
    }
    counts.values().sum()
}

/// An endpoint that takes few requests by its own word is replaced by another one.
#[test]
fn room_of_limited_endpoint_is_lost() {
    assert_eq!(planned(true), planned(false) + 1);
}

/// Returns a gateway of a fleet that knows `endpoints` endpoints, each of which names a limit.
fn in_fleet(daemons: u32, endpoints: usize) -> Gateway {
    let records: Vec<_> = (0..endpoints)
        .map(|n| endpoint(&format!("e{n}"), "app", "north-a"))
        .collect();
    let mut gateway = gateway(&records);
    for number in 2..=daemons {
        gateway.on_member(at(0), member(number));
        gateway.set_peer_protocol(&daemon(number), PeerProtocol::NEWEST);
    }
    hear_peers(&mut gateway, at(90), daemons);
    for record in &records {
        let notice = notice(LimitNotice::Rate(limit(1.0)));
        gateway.on_endpoint_notice(at(100), &record.process(), at(90), &notice);
    }
    gateway
}

fn hear_peers(gateway: &mut Gateway, now: Timestamp, daemons: u32) {
    for number in 2..=daemons {
        gateway.on_gossip(now, &daemon(number), gossip_of_era(now.0, 0, 0, 0));
    }
}

/// A daemon of a large fleet spends less than 4 KB/s on notices, also with many endpoints.
#[test]
fn notices_flood_large_fleet() {
    const SECONDS: u64 = 600;
    for (daemons, endpoints) in [(32, 10), (880, 100)] {
        let mut gateway = in_fleet(daemons, endpoints);
        let mut bytes = 0;
        for ms in (0..SECONDS * 1_000).step_by(250) {
            let period = gateway.peer_table().gossip_period().as_millis() as u64;
            if ms % (period * 2 / 250 * 250) == 0 {
                hear_peers(&mut gateway, at(1_000 + ms), daemons);
            }
            let Some(broadcast) = gateway.take_endpoint_notices(at(1_000 + ms)) else {
                continue;
            };
            let message = PeerMessage::Notices(broadcast.notices);
            let size = postcard::to_allocvec(&message).unwrap().len() + 96;
            bytes += size as u64 * broadcast.peers.len() as u64;
        }
        let per_second = bytes / SECONDS;
        assert!(per_second < 4_096, "{daemons} daemons: {per_second} B/s");
    }
}

/// Each peer is told again in turn, also one that has just started.
#[test]
fn peer_is_never_told_again() {
    let mut gateway = in_fleet(32, 1);
    let mut told = BTreeSet::new();
    for second in 1..=20 {
        hear_peers(&mut gateway, at(second * 1_000), 32);
        let broadcast = gateway.take_endpoint_notices(at(second * 1_000)).unwrap();
        told.extend(broadcast.peers.into_iter().map(|(peer, _)| peer));
    }
    assert_eq!(told.len(), 31);
}

/// A limit of which nothing was heard for a long time does not hold: its end may have been missed.
#[test]
fn limit_whose_end_was_missed_lasts() {
    let mut gateway = limited(&["a"]);
    gateway.tick(at(20_000));
    assert_eq!(limit_of(&gateway, "a"), Some(limit(1.0)));
    gateway.tick(at(30_100));
    assert_eq!(limit_of(&gateway, "a"), None);
}

/// Second attempts beside a silent one, and streams that callers take up, count against a limit.
#[test]
fn second_attempts_and_resumed_streams_go_past_limit() {
    let ids = ["a", "b"];
    let mut gateway = gateway(&ids.map(|id| endpoint(id, "model", "north-a")));
    for number in 2..=4 {
        gateway.on_member(at(0), member(number));
    }
    say(&mut gateway, at(100), at(90), LimitNotice::Rate(limit(1.0)));
    let mut at_limited = 0;
    for n in 0..40 {
        let mut attributes = call_attributes(&format!("call-{n}"), "/digest/1");
        if n % 2 == 0 {
            attributes.resume_after = Some("3".into());
            attributes.resumed_attempt = Some("first".into());
        }
        let (mut call, attempt) = begin_call(&mut gateway, at(5_000), attributes).unwrap();
        let second = gateway.replace_silent(at(5_000), &mut call, &attempt, false);
        let endpoints = [Some(&attempt), second.as_ref()].into_iter().flatten();
        at_limited += endpoints
            .filter(|attempt| attempt.endpoint.as_str() == "a")
            .count();
    }
    assert_eq!(at_limited, 1);
}
