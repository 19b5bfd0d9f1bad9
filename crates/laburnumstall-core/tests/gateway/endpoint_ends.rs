//! Times at which reclaimed endpoints end, and the runs there.

use std::time::Duration;

use laburnumstall_core::gateway::{
    AdmittedCall, BackendRule, CallAttempt, EndpointRecord, Gateway, KvHandle, PeerMessage,
    PeerProtocol, ReclaimState, ReclaimStep,
};
use laburnumstall_core::prelude::*;

use crate::stream_origins::gossip;
use crate::support::{at, call_attributes, daemon, endpoint, gateway, member, prompt, rules};

const BACKEND: BackendRule = BackendRule {
    batch: 48,
    kv_tokens: 636_076,
    token_size: Bytes(163_840),
    link_rate: 1_100_000 / 8 * 1_000_000,
    can_move: true,
    move_ttl: Duration::from_secs(5),
};

fn spot(id: &str) -> EndpointRecord {
    EndpointRecord {
        is_spot: true,
        ..endpoint(id, "model", "north-a")
    }
}

fn leaving(id: &str, left_ms: u64) -> EndpointRecord {
    EndpointRecord {
        is_leaving: true,
        leaves_in: Some(Duration::from_millis(left_ms)),
        ..spot(id)
    }
}

fn with_backend(mut gateway: Gateway, backend: Option<BackendRule>) -> Gateway {
    let mut rules = rules(2);
    let model = rules.services.get_mut(&"model".parse().unwrap());
    model.unwrap().backend = backend;
    rules.customers.as_mut().unwrap()[0].quota = None;
    gateway.on_rules(at(0), rules);
    gateway
}

fn movable() -> Gateway {
    let endpoints = ["a", "b", "c"].map(spot);
    with_backend(gateway(&endpoints), Some(BACKEND))
}

/// Starts a stream of 100 events, half of which come by `at(1_000)`.
fn begin(gateway: &mut Gateway, path: &str) -> (AdmittedCall, CallAttempt) {
    let mut attributes = call_attributes("call-1", path);
    let mut prompt = prompt(7, 5_382, 6_610);
    prompt.max_answer_tokens = 100;
    attributes.prompt = Some(prompt);
    let mut call = gateway.admit(at(0), attributes).unwrap();
    let mut attempt = gateway.select_endpoint(at(0), &mut call).unwrap();
    gateway.on_sent(&mut call);
    gateway.on_started(at(0), &mut call, &mut attempt);
    call.events = 50;
    (call, attempt)
}

fn step(gateway: &mut Gateway, ms: u64, call: &AdmittedCall, source: &CallAttempt) -> ReclaimStep {
    gateway.next_reclaim_step(at(ms), call, source, &mut ReclaimState::default())
}

/// Returns the choice that is logged for a run, with its reason.
fn choice(gateway: &mut Gateway, ms: u64, call: &AdmittedCall, source: &CallAttempt) -> String {
    gateway.take_decisions();
    step(gateway, ms, call, source);
    let mut decisions = gateway.take_decisions().into_iter();
    let logged = decisions.rfind(|decision| decision.kind.name() == "reclaim");
    logged.map_or("none".into(), |decision| {
        format!("{} {}", decision.choice, decision.reason)
    })
}

/// A run that ends within the notice was moved for nothing, and one that does not was cut.
#[test]
fn notice_decides_who_moves() {
    for (left, expected) in [
        (5_000, "finish ends-in-time"),
        (1_200, "move cheapest"),
        (20, "move cheapest"),
    ] {
        let mut gateway = movable();
        let (call, source) = begin(&mut gateway, "/digest/1");
        assert_eq!(choice(&mut gateway, 1_000, &call, &source), "none");
        gateway.on_endpoint(at(1_000), leaving(source.endpoint.as_str(), left));
        assert_eq!(choice(&mut gateway, 1_000, &call, &source), expected);
    }
}

/// Earlier deployments, and streams that cannot be resumed, are served as before.
#[test]
fn moves_need_their_settings() {
    let fixed = BackendRule {
        can_move: false,
        ..BACKEND
    };
    let endpoints = ["a", "b"].map(spot);
    for (mut gateway, path) in [
        (with_backend(gateway(&endpoints), Some(fixed)), "/digest/1"),
        (with_backend(gateway(&endpoints), None), "/digest/1"),
        (movable(), "/query/1"),
    ] {
        let (call, source) = begin(&mut gateway, path);
        gateway.on_endpoint(at(1_000), leaving(source.endpoint.as_str(), 1_500));
        assert_eq!(choice(&mut gateway, 1_000, &call, &source), "none");
    }
}

/// No run is stopped for a destination that cannot take it.
#[test]
fn runs_stay_without_a_destination() {
    let full = |id: &str| EndpointRecord {
        slots: 1,
        ..spot(id)
    };
    let other = |id: &str| EndpointRecord {
        version: Some("v2".parse().unwrap()),
        ..spot(id)
    };
    let small = BackendRule {
        kv_tokens: 12_000,
        ..BACKEND
    };
    for (records, backend) in [
        (["a", "b"].map(other), BACKEND),
        (["a", "b"].map(spot), small),
        ([leaving("a", 900), leaving("b", 900)], BACKEND),
        (["a", "b"].map(full), BACKEND),
    ] {
        let mut gateway = with_backend(gateway(&[spot("c")]), Some(backend));
        let (call, source) = begin(&mut gateway, "/digest/1");
        for record in records {
            gateway.on_endpoint(at(900), record);
        }
        // A second call at each of the other endpoints, which fills those with one slot.
        let mut busy = gateway
            .admit(at(950), call_attributes("call-2", "/digest/2"))
            .unwrap();
        busy.tried.push(source.endpoint.clone());
        let first = gateway.select_endpoint(at(950), &mut busy);
        let second = gateway.select_endpoint(at(950), &mut busy);
        gateway.on_endpoint(at(1_000), leaving("c", 1_000));
        assert_eq!(
            choice(&mut gateway, 1_000, &call, &source),
            "stay no-destination"
        );
        drop((first, second));
    }
}

/// A notice that is taken back, or for another process, concerns no run.
#[test]
fn withdrawn_notice_concerns_no_run() {
    let mut gateway = movable();
    let (call, source) = begin(&mut gateway, "/digest/1");
    let id = source.endpoint.as_str();
    gateway.on_endpoint(at(1_000), leaving(id, 1_500));
    let ReclaimStep::Copy(destination, _) = step(&mut gateway, 2_000, &call, &source) else {
        panic!("no copy");
    };
    gateway.on_endpoint(at(2_010), spot(id));
    let may_stop = gateway.may_stop_run(at(2_010), &call, &source, &destination);
    assert_eq!(may_stop, Err("notice-withdrawn"));
    gateway.on_move_ended(at(2_010), &call, &source, *destination, "notice-withdrawn");
    assert_eq!(choice(&mut gateway, 2_020, &call, &source), "none");
    let restarted = EndpointRecord {
        started_at_ms: 2,
        ..leaving(id, 500)
    };
    gateway.on_endpoint(at(2_030), restarted);
    assert_eq!(choice(&mut gateway, 2_040, &call, &source), "none");
}

/// A destination that leaves after the copy would cut the run a second time.
#[test]
fn run_is_not_stopped_for_a_leaving_destination() {
    let mut gateway = movable();
    let (call, source) = begin(&mut gateway, "/digest/1");
    gateway.on_endpoint(at(1_000), leaving(source.endpoint.as_str(), 1_500));
    let ReclaimStep::Copy(destination, size) = step(&mut gateway, 2_000, &call, &source) else {
        panic!("no copy");
    };
    assert_eq!(size, Bytes((5_382 + 6_610 + 100) * 163_840));
    gateway.on_endpoint(at(2_010), leaving(destination.endpoint.as_str(), 1_500));
    let may_stop = gateway.may_stop_run(at(2_010), &call, &source, &destination);
    assert_eq!(may_stop, Err("destination-gone"));
}

/// A move takes a retry, and the source counts as one of the endpoints that may run the call.
#[test]
fn move_counts_as_a_retry() {
    let mut gateway = movable();
    let (mut call, source) = begin(&mut gateway, "/digest/1");
    gateway.on_endpoint(at(1_000), leaving(source.endpoint.as_str(), 1_500));
    let mut moves = 0;
    loop {
        let ReclaimStep::Copy(destination, _) = step(&mut gateway, 2_000, &call, &source) else {
            panic!("no copy");
        };
        match gateway.may_stop_run(at(2_000), &call, &source, &destination) {
            Ok(()) => moves += 1,
            Err(reason) => {
                assert_eq!(reason, "retry-window-full");
                break;
            }
        }
        gateway.on_move_ended(at(2_000), &call, &source, *destination, "no-such-run");
    }
    assert!((1..58).contains(&moves), "{moves}");
    let ReclaimStep::Copy(destination, _) = step(&mut gateway, 2_010, &call, &source) else {
        panic!("no copy");
    };
    let handle: KvHandle = "copy".parse().unwrap();
    let source_address = source.address;
    let moved = gateway.on_run_moved(
        at(2_020),
        &mut call,
        source,
        *destination,
        &handle,
        "stopped",
    );
    assert_eq!(moved.kv_source.as_ref().unwrap().address, source_address);
    assert_eq!(call.executions, 1);
    gateway.on_endpoint(at(2_030), leaving(moved.endpoint.as_str(), 1_500));
    assert_eq!(
        choice(&mut gateway, 2_500, &call, &moved),
        "stay attempts-used"
    );
}

/// Daemons that do not read the store assumed the shortest notice, and moved all runs.
#[test]
fn peers_learn_the_end() {
    let mut reader = movable();
    reader.on_member(at(0), member(2));
    reader.on_member(at(0), member(3));
    reader.set_peer_protocol(&daemon(2), PeerProtocol::SHARED_LOAD);
    reader.set_peer_protocol(&daemon(3), PeerProtocol::STORED_VERSIONS);
    for peer in [2, 3] {
        reader.on_gossip(at(900), &daemon(peer), gossip(1));
    }
    let mut other = movable();
    let (call, source) = begin(&mut other, "/digest/1");
    let id = source.endpoint.as_str();
    let by_gossip = EndpointRecord {
        leaves_in: None,
        ..leaving(id, 0)
    };
    other.on_endpoint(at(1_000), by_gossip);
    assert_eq!(choice(&mut other, 1_000, &call, &source), "move cheapest");

    reader.on_endpoint(at(1_000), leaving(id, 5_000));
    assert!(
        reader.take_endpoint_ends(at(1_000)).is_none(),
        "ends are collected"
    );
    let broadcast = reader.take_endpoint_ends(at(1_050)).unwrap();
    assert_eq!(broadcast.peers, [(daemon(2), member(2).peer_address)]);
    let message = PeerMessage::EndpointEnds(broadcast.ends.clone());
    let bytes = postcard::to_allocvec(&message).unwrap();
    assert_eq!(postcard::from_bytes(&bytes), Ok(message));
    other.on_peer_ends(at(1_060), broadcast.ends);
    assert_eq!(
        choice(&mut other, 1_060, &call, &source),
        "finish ends-in-time"
    );
    // The entry is written again every few hundred milliseconds.
    reader.on_endpoint(at(1_400), leaving(id, 4_600));
    assert!(reader.take_endpoint_ends(at(1_500)).is_none());
    assert!(other.take_endpoint_ends(at(1_500)).is_none());
}
