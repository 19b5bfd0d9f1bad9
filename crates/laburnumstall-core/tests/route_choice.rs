//! Routing of single requests: which endpoints are chosen, and which must not be.

#[path = "support/attempt.rs"]
mod attempt;
#[path = "support/endpoint.rs"]
mod endpoint;
#[path = "support/request.rs"]
mod request;

use std::time::Duration;

use laburnumstall_core::prelude::*;
use laburnumstall_core::resources::Link;
use laburnumstall_core::routing::{CacheReport, Peer, Route, RouteQuery, Router};

use attempt::{attempt, load};
use endpoint::{daemon, endpoint};
use request::request;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn zone(number: u64) -> AvailabilityZone {
    format!("zone-{}", number % 3).parse().unwrap()
}

fn id(number: u64) -> EndpointId {
    endpoint(number).id
}

fn endpoints(count: u64) -> Vec<Endpoint> {
    (0..count).map(endpoint).collect()
}

fn router(number: u64, count: u64) -> Router {
    let mut router = Router::new(&daemon(number), zone(number));
    router.set_endpoints(at(0), endpoints(count));
    router
}

fn choose(
    router: &mut Router,
    now: Timestamp,
    number: u64,
    request: &Request,
    isolated: bool,
) -> Result<Route, Refusal> {
    let query = RouteQuery {
        attempt: &attempt(number),
        request,
        generated: Tokens(0),
        excluded: &[],
        isolated,
    };
    router.choose(now, &query, &mut Journal::default())
}

/// Fails without `prefix-hash` candidates: each daemon would choose at random.
#[test]
fn daemons_agree_on_a_prefix() {
    for history in 0..20 {
        let prompt = vec![history; 16 * 256];
        let mut routes = (0..6).map(|n| {
            let mut router = router(n, 12);
            choose(&mut router, at(0), 1, &request(&prompt), false)
                .unwrap()
                .endpoint
        });
        let first = routes.next().unwrap();
        assert!(routes.all(|endpoint| endpoint == first));
    }
}

/// Fails without `on_sent` in `EndpointState::on_started`: the longer prompt hashes to another
/// endpoint.
#[test]
fn conversation_stays_where_it_is_cached() {
    let mut router = router(1, 12);
    let mut prompt = vec![3; 4 * 256];
    let first = choose(&mut router, at(0), 0, &request(&prompt), false).unwrap();
    for turn in 1..40 {
        let now = at(turn * 10_000);
        router.started(now, &attempt(turn), &first, &request(&prompt));
        router.first_token(now, &attempt(turn));
        router.finished(now, &attempt(turn));
        prompt.extend(vec![turn as u8; 512]);
        let route = choose(&mut router, now, turn + 1, &request(&prompt), false).unwrap();
        assert_eq!(route.endpoint, first.endpoint, "turn {turn}");
        assert!(route.expected_cached.get() * 2 > request(&prompt).prompt.get() / 2);
    }
}

/// Fails without the reset of the cache in `EndpointState::on_load`.
#[test]
fn sequence_reset_empties_the_cache_view() {
    let mut router = router(1, 1);
    let request = request(&[5; 16 * 256]);
    let cached = |router: &mut Router| {
        let route = choose(router, at(9), 1, &request, false).unwrap();
        route.expected_cached.get()
    };
    let stored = CacheReport {
        endpoint: id(0),
        first: 1,
        last: 1,
        stored: request.prefix.clone(),
        evicted: Vec::new(),
    };
    router.on_load(at(1), &load(0, 700, at(1), 0));
    router.on_cache(at(1), &stored);
    router.on_load(at(2), &load(0, 701, at(2), 0));
    assert_eq!(cached(&mut router), 1_024);
    router.on_load(at(3), &load(0, 5, at(3), 0));
    assert_eq!(cached(&mut router), 0, "the engine restarted");
    router.on_cache(at(3), &stored);
    assert_eq!(cached(&mut router), 1_024, "its first event is applied");
}

/// Fails without `lower_confidence`: each event lost in a gap may have evicted one of the
/// sixteen blocks.
#[test]
fn gap_lowers_confidence_in_the_cache() {
    let mut router = router(1, 1);
    let request = request(&[5; 16 * 256]);
    let report = |first, last, stored: &[BlockHash], evicted: &[BlockHash]| CacheReport {
        endpoint: id(0),
        first,
        last,
        stored: stored.to_vec(),
        evicted: evicted.to_vec(),
    };
    let cached = |router: &mut Router| {
        choose(router, at(0), 1, &request, false)
            .unwrap()
            .expected_cached
            .get()
    };
    router.on_cache(at(0), &report(1, 4, &request.prefix, &[]));
    assert_eq!(cached(&mut router), 1_024);
    router.on_cache(at(1), &report(1, 4, &[], &request.prefix));
    assert_eq!(
        cached(&mut router),
        1_024,
        "a repeated report has no effect"
    );
    router.on_cache(at(2), &report(9, 9, &[], &[]));
    assert_eq!(cached(&mut router), 1_024 * 12 / 16, "four of sixteen lost");
    router.on_cache(at(3), &report(10, 10, &[], &request.prefix[8..]));
    assert_eq!(cached(&mut router), 512 * 12 / 16);
    router.on_cache(at(3), &report(19, 19, &[], &[]));
    assert_eq!(
        cached(&mut router),
        0,
        "as many events lost as blocks cached"
    );
    for restart in 0..3 {
        router.on_cache(at(4), &report(restart, restart, &request.prefix[..4], &[]));
    }
    assert_eq!(
        cached(&mut router),
        256,
        "after a restart, four blocks with full confidence"
    );
}

/// Fails if `on_load` compares sequences alone: a delayed report would replace a newer one.
#[test]
fn outdated_and_duplicate_reports_have_no_effect() {
    let mut router = router(1, 1);
    router.on_load(at(0), &load(0, 7, at(50), 19));
    router.on_load(at(60), &load(0, 6, at(40), 0));
    router.on_load(at(60), &load(0, 7, at(50), 0));
    let refusal = choose(&mut router, at(61), 1, &request(b"x"), false).unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::NoEndpoint);
    assert!(refusal.retry_after.is_some_and(|wait| !wait.is_zero()));
    assert!(
        router
            .expected_first_token(at(61), &request(b"x"))
            .is_some()
    );
    router.on_load(at(70), &load(0, 1, at(65), 0));
    assert!(
        choose(&mut router, at(71), 1, &request(b"x"), false).is_ok(),
        "a new process"
    );
}

/// Fails if `EndpointState::occupancy` omits the attempts that this daemon started since the
/// report.
#[test]
fn burst_between_reports_does_not_overfill_batches() {
    let mut router = router(1, 2);
    for of in 0..2 {
        router.on_load(at(50), &load(of, 1, at(50), 6));
    }
    for number in 0..20 {
        let route = choose(&mut router, at(60), number, &request(b"x"), false).unwrap();
        router.started(at(60), &attempt(number), &route, &request(b"x"));
    }
    for of in 0..2 {
        assert_eq!(router.in_flight(&id(of)).count(), 10);
    }
    assert!(choose(&mut router, at(60), 20, &request(b"x"), false).is_err());
    router.finished(at(61), &attempt(0));
    assert!(choose(&mut router, at(61), 20, &request(b"x"), false).is_ok());
}

/// Fails if `on_load` ignores `since`: a report from before the failure would end the failed
/// state.
#[test]
fn failed_endpoint_waits_for_a_new_report_or_a_probe() {
    let mut router = router(1, 1);
    let mut journal = Journal::default();
    router.mark_failed(at(1_000), &id(0), &mut journal);
    assert_eq!(router.expected_first_token(at(1_000), &request(b"x")), None);
    router.on_load(at(1_100), &load(0, 9, at(900), 0));
    assert!(choose(&mut router, at(1_200), 1, &request(b"x"), false).is_err());
    let probe = choose(&mut router, at(2_000), 2, &request(b"x"), false).unwrap();
    assert!(
        choose(&mut router, at(2_001), 3, &request(b"x"), false).is_err(),
        "one probe at a time"
    );
    router.started(at(2_001), &attempt(2), &probe, &request(b"x"));
    router.finished(at(2_002), &attempt(2));
    assert!(
        choose(&mut router, at(3_500), 4, &request(b"x"), false).is_err(),
        "2 s backoff"
    );
    let mut call = request(b"x");
    call.idempotent = false;
    assert!(
        choose(&mut router, at(4_100), 5, &call, false).is_err(),
        "a request that is not idempotent is no probe"
    );
    let probe = choose(&mut router, at(4_100), 6, &request(b"x"), false).unwrap();
    router.started(at(4_101), &attempt(6), &probe, &request(b"x"));
    router.first_token(at(4_102), &attempt(6));
    assert!(choose(&mut router, at(4_103), 7, &call, false).is_ok());
    router.mark_failed(at(5_000), &id(0), &mut journal);
    router.on_load(at(5_100), &load(0, 10, at(5_050), 0));
    assert!(choose(&mut router, at(5_101), 8, &call, false).is_ok());
}

/// Fails if `with_endpoint` resets the health of an endpoint that remains listed.
#[test]
fn leaving_lasts_until_the_endpoint_is_removed() {
    let mut router = router(1, 2);
    let mut journal = Journal::default();
    let route = loop {
        let route = choose(&mut router, at(0), 1, &request(b"x"), false).unwrap();
        if route.endpoint == id(1) {
            break route;
        }
    };
    router.started(at(0), &attempt(1), &route, &request(b"x"));
    router.mark_leaving(at(1), &id(1), Some(at(30_000)), &mut journal);
    router.on_load(at(2), &load(1, 1, at(2), 0));
    router.mark_failed(at(3), &id(1), &mut journal);
    router.set_endpoints(at(4), endpoints(2));
    for number in 2..100 {
        let route = choose(&mut router, at(5), number, &request(b"x"), false).unwrap();
        assert_eq!(route.endpoint, id(0));
    }
    router.set_endpoints(at(6), endpoints(1));
    assert_eq!(
        router.in_flight(&id(1)).count(),
        1,
        "kept until the attempt ends"
    );
    router.finished(at(7), &attempt(1));
    router.finished(at(7), &attempt(1));
    router.set_endpoints(at(8), endpoints(1));
    assert!(router.endpoint(&id(1)).is_none());
    assert_eq!(journal.decisions().len(), 1);
}

/// Fails without `trial_endpoints`: two daemons would retry suspects on one endpoint.
#[test]
fn daemons_retry_suspects_on_separate_endpoints() {
    let peers: Vec<Peer> = (0..4)
        .map(|n| Peer {
            daemon: daemon(n),
            zone: zone(n),
        })
        .collect();
    let mut used = Vec::new();
    for number in 0..4 {
        let mut router = router(number, 9);
        router.set_peers(&peers);
        let mut own = 0;
        while let Ok(route) = choose(&mut router, at(0), own, &request(b"x"), true) {
            assert!(own < 9, "two suspects on one endpoint");
            if own == 0 {
                router.started(at(0), &attempt(0), &route, &request(b"x"));
            }
            used.push(route.endpoint);
            own += 1;
        }
        assert!(own >= 2, "nine endpoints give each of four daemons two");
        router.finished(at(1), &attempt(0));
        assert!(choose(&mut router, at(1), 9, &request(b"x"), true).is_ok());
    }
    let count = used.len();
    used.sort();
    used.dedup();
    assert_eq!((used.len(), count), (9, 9));
}

/// Fails if `refresh` does not set the round trip for the score of a plain service.
#[test]
fn plain_service_goes_to_the_least_outstanding() {
    let mut router = router(0, 3);
    let link = |from, to| Link {
        from: zone(from),
        to: zone(to),
        latency: Duration::from_micros(1_400),
    };
    let plain: Service = serde_json::from_value(serde_json::json!({
        "name": "clerk", "kind": "plain", "depends_on": [], "model": null,
        "idempotent": true, "calls": [], "checks_keys": false, "checks_fencing": false,
        "key_window": {"secs": 60, "nanos": 0}, "deadline": {"secs": 60, "nanos": 0},
        "endpoints": [], "target": null
    }))
    .unwrap();
    router.set_system(&System {
        links: vec![link(0, 1), link(0, 2), link(1, 2)],
        services: vec![plain],
        ..System::default()
    });
    let mut chosen = Vec::new();
    for number in 0..30 {
        let route = choose(&mut router, at(0), number, &request(b"x"), false).unwrap();
        router.started(at(0), &attempt(number), &route, &request(b"x"));
        chosen.push(route.endpoint);
    }
    assert_eq!(chosen[0], id(0), "own zone first");
    for number in 0..3 {
        assert_eq!(chosen.iter().filter(|c| **c == id(number)).count(), 10);
    }
}

/// Fails if the choice ignores the excluded endpoints or the generated tokens.
#[test]
fn resume_counts_generated_tokens() {
    let mut router = router(1, 2);
    let mut journal = Journal::default();
    let request = request(&[9; 4_096]);
    let excluded = [id(0)];
    let query = RouteQuery {
        attempt: &attempt(1),
        request: &request,
        generated: Tokens(8_000),
        excluded: &excluded,
        isolated: false,
    };
    let route = router.choose(at(0), &query, &mut journal).unwrap();
    assert_eq!(route.endpoint, id(1));
    assert_eq!(route.expected_first_token, Duration::from_millis(1_128));
    let decision = &journal.decisions()[0];
    assert_eq!(decision.field("generated"), Some("8000tok"));
    assert!(
        decision
            .field("alternatives")
            .unwrap()
            .starts_with("ep-0001:")
    );
}
