//! Streams go on only at the software version that began them.

use std::sync::Arc;
use std::time::Duration;

use crate::support::{
    at, bounds, call_attributes, daemon, endpoint, gateway, member, prompt, rules,
};
use laburnumstall_core::gateway::{
    AdmittedCall, AttemptDigest, CallAttempt, CallFailure, EndpointRecord, FailureAction, Gateway,
    GossipMessage, MAX_ORIGINS, OriginAnswer, OriginLookup, OriginQuery, OriginSource, OriginTable,
    StreamOrigin, ViewUpdate,
};
use laburnumstall_core::prelude::*;

pub(crate) const PATH: &str = "/digest/1";
/// Longer than any stream of the test's routes can be taken up.
const LONG_AFTER: u64 = 60_000;

pub(crate) fn versioned(id: &str, version: &str) -> EndpointRecord {
    EndpointRecord {
        version: Some(version.parse().unwrap()),
        ..endpoint(id, "model", "north-a")
    }
}

pub(crate) fn one_version() -> Vec<EndpointRecord> {
    vec![versioned("a", "v1"), versioned("b", "v1")]
}

pub(crate) fn two_versions() -> Vec<EndpointRecord> {
    let later = ["c", "d", "e"].map(|id| versioned(id, "v1.1"));
    one_version().into_iter().chain(later).collect()
}

pub(crate) fn fleet(endpoints: &[EndpointRecord]) -> Gateway {
    let mut gateway = gateway(endpoints);
    for number in 2..5 {
        gateway.on_member(at(0), member(number));
        gateway.set_extension_support(&daemon(number), true);
        gateway.on_gossip(at(0), &daemon(number), gossip(1));
    }
    gateway
}

pub(crate) fn gossip(sequence: u64) -> GossipMessage {
    GossipMessage {
        sequence,
        is_ready: true,
        loads: Vec::new(),
        quota_usage: Vec::new(),
        started_requests: Vec::new(),
        demand: Vec::new(),
        view: ViewUpdate::default(),
    }
}

pub(crate) fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: "model".parse().unwrap(),
        version: version.parse().unwrap(),
    }
}

fn admit(gateway: &mut Gateway, now: Timestamp, id: &str, resumes: Option<&str>) -> AdmittedCall {
    let mut attributes = call_attributes(id, PATH);
    attributes.prompt = Some(prompt(1, 500, 500));
    if let Some(attempt) = resumes {
        attributes.resume_after = Some("3".into());
        attributes.resumed_attempt = Some(attempt.into());
    }
    gateway.on_store_confirmed(now, now);
    gateway.admit(now, attributes).unwrap()
}

/// Admits a stream and selects its endpoint.
pub(crate) fn select(
    gateway: &mut Gateway,
    now: Timestamp,
    id: &str,
) -> (AdmittedCall, CallAttempt) {
    let mut call = admit(gateway, now, id, None);
    let attempt = gateway.select_endpoint(now, &mut call).unwrap();
    (call, attempt)
}

/// Starts a stream and delivers its first event.
pub(crate) fn start(
    gateway: &mut Gateway,
    now: Timestamp,
    id: &str,
) -> (AdmittedCall, CallAttempt) {
    let (mut call, mut attempt) = select(gateway, now, id);
    gateway.on_sent(&mut call);
    gateway.on_started(now, &mut call, &mut attempt);
    call.events += 1;
    (call, attempt)
}

/// Takes up a stream; returns the version at which it goes on.
pub(crate) fn take_up(
    gateway: &mut Gateway,
    now: Timestamp,
    answers: &[OriginAnswer],
) -> Result<SoftwareVersion, Refusal> {
    let mut call = admit(gateway, now, "call-2", Some("call-1"));
    if let Some(mut lookup) = gateway.begin_resumption(now, &mut call)? {
        for answer in answers {
            lookup.on_answer(answer.clone());
        }
        gateway.end_resumption(now, &mut call, &lookup)?;
    }
    let attempt = gateway.select_endpoint(now, &mut call)?;
    Ok(attempt.version.unwrap())
}

fn lookup(gateway: &mut Gateway, now: Timestamp) -> OriginLookup {
    let mut call = admit(gateway, now, "call-2", Some("call-1"));
    gateway.begin_resumption(now, &mut call).unwrap().unwrap()
}

/// A stream that loses its endpoint after its first event goes on at the same version, however
/// short the wait at others. Fails without `EndpointQuery::version`.
#[test]
fn broken_stream_stays_at_its_version() {
    for number in 0..20 {
        let mut gateway = gateway(&two_versions());
        let (mut call, mut attempt) = start(&mut gateway, at(100), &format!("call-{number}"));
        let version = attempt.version.clone();
        for _ in 0..2 {
            let failed = gateway.after_failure(at(200), &mut call, attempt, CallFailure::NotSent);
            assert_eq!(failed, Ok(FailureAction::Retry));
            attempt = gateway.select_endpoint(at(200), &mut call).unwrap();
            assert_eq!(attempt.version, version);
        }
    }
}

/// A stream whose version has left is not continued at another one. Fails if
/// `Gateway::select_endpoint` falls back to any endpoint.
#[test]
fn broken_stream_ends_with_its_version() {
    let mut gateway = gateway(&two_versions());
    let (mut call, attempt) = start(&mut gateway, at(100), "call-1");
    let version = attempt.version.clone();
    let others = two_versions();
    let others = others
        .into_iter()
        .filter(|record| record.version != version);
    gateway.on_endpoints(at(150), others.collect());
    let failed = gateway.after_failure(at(200), &mut call, attempt, CallFailure::Broken);
    assert_eq!(failed, Ok(FailureAction::Retry));
    assert!(gateway.select_endpoint(at(200), &mut call).is_err());
}

/// A stream without an event yet may be tried at any version.
#[test]
fn stream_without_an_event_is_not_pinned() {
    let mut gateway = gateway(&[versioned("a", "v1"), versioned("b", "v1.1")]);
    let mut call = admit(&mut gateway, at(100), "call-1", None);
    let first = gateway.select_endpoint(at(100), &mut call).unwrap();
    let version = first.version.clone();
    let failed = gateway.after_failure(at(200), &mut call, first, CallFailure::NotRun);
    assert_eq!(failed, Ok(FailureAction::Retry));
    let second = gateway.select_endpoint(at(200), &mut call).unwrap();
    assert_ne!(second.version, version);
}

/// A caller's next try goes on at the version of the first, also over several tries that each
/// name the first attempt.
#[test]
fn own_stream_is_taken_up_at_its_version() {
    for number in 0..20 {
        let mut gateway = fleet(&two_versions());
        let first = format!("call-{number}");
        let (_, attempt) = start(&mut gateway, at(100), &first);
        for (step, id) in ["try-2", "try-3"].into_iter().enumerate() {
            let now = at(200 + step as u64);
            let mut call = admit(&mut gateway, now, id, Some(&first));
            assert!(gateway.begin_resumption(now, &mut call).unwrap().is_none());
            let mut taken_up = gateway.select_endpoint(now, &mut call).unwrap();
            assert_eq!(taken_up.version, attempt.version);
            gateway.on_started(now, &mut call, &mut taken_up);
        }
    }
}

/// Every origin reaches the peers that are asked for it: the daemon that began the stream may
/// be gone. Fails if sender and asker rank the peers differently.
#[test]
fn origins_are_sent_to_the_peers_that_are_asked() {
    let mut gateway = fleet(&two_versions());
    let (_, attempt) = start(&mut gateway, at(100), "call-1");
    assert!(gateway.has_origins_to_send());
    let sent = gateway.take_origins(at(110));
    assert_eq!(sent.len(), 3);
    assert!(!gateway.has_origins_to_send());
    for (_, _, groups) in sent {
        let mut peer = fleet(&two_versions());
        peer.on_origins(at(111), groups);
        let version = take_up(&mut peer, at(200), &[]);
        assert_eq!(version.ok(), attempt.version);
    }
    assert_eq!(lookup(&mut fleet(&two_versions()), at(200)).peers.len(), 3);
}

/// In a large fleet a few peers are asked, among them those that the origin is sent to.
#[test]
fn few_peers_are_asked_in_a_large_fleet() {
    let mut gateway = fleet(&two_versions());
    start(&mut gateway, at(100), "call-1");
    let mut call = admit(&mut gateway, at(100), "call-2", Some("elsewhere"));
    call.stream = AttemptDigest::of("call-1");
    for number in 5..=40 {
        gateway.on_member(at(100), member(number));
        gateway.set_extension_support(&daemon(number), true);
        gateway.on_gossip(at(100), &daemon(number), gossip(1));
    }
    let sent = gateway.take_origins(at(110));
    assert_eq!(sent.len(), 3);
    // The daemon itself knows the stream only until then.
    let later = at(100 + LONG_AFTER);
    for number in 2..=40 {
        gateway.on_gossip(later, &daemon(number), gossip(2));
    }
    let lookup = gateway.begin_resumption(later, &mut call);
    let asked = lookup.unwrap().unwrap().peers;
    assert_eq!(asked.len(), 4);
    let is_asked = |id: &DaemonId| asked.iter().any(|(asked, _)| asked == id);
    assert!(sent.iter().all(|(id, _, _)| is_asked(id)));
}

/// With one version nothing is sent; the own streams follow when a second one appears.
#[test]
fn origins_are_sent_once_there_are_two_versions() {
    let mut gateway = fleet(&one_version());
    start(&mut gateway, at(100), "call-1");
    assert!(!gateway.has_origins_to_send());
    assert!(gateway.take_origins(at(110)).is_empty());
    gateway.on_endpoint(at(500), versioned("c", "v1.1"));
    assert!(gateway.has_origins_to_send());
    let sent = gateway.take_origins(at(510));
    assert_eq!(sent.len(), 3);
    assert!(
        sent.iter()
            .all(|(_, _, groups)| groups[0].origin == origin("v1"))
    );
}

/// Origins stay within the bytes that a daemon may send.
#[test]
fn sent_origins_are_bounded() {
    let mut gateway = fleet(&two_versions());
    let mut streams = 0;
    let first = admit(&mut gateway, at(100), "first", None);
    for number in 0..5_000 {
        let mut call = first.clone();
        call.stream = AttemptDigest(number);
        let mut attempt = gateway.select_endpoint(at(100), &mut call).unwrap();
        gateway.on_started(at(100), &mut call, &mut attempt);
        let sent = gateway.take_origins(at(100));
        let groups = sent.iter().flat_map(|(_, _, groups)| groups);
        streams += groups.map(|group| group.streams.len()).sum::<usize>();
    }
    assert!((1..3 * 1_000).contains(&streams), "{streams} origins");
}

/// A peer's word decides, against the daemon's own view of a single version.
#[test]
fn known_origin_goes_before_a_sole_version() {
    let mut gateway = fleet(&two_versions());
    let known = OriginAnswer::Known(origin("v1.1"));
    let answers = [OriginAnswer::Unknown, known];
    let version = take_up(&mut gateway, at(100), &answers);
    assert_eq!(version, Ok("v1.1".parse().unwrap()));
}

/// A stream of unknown origin is refused while there are several versions, or were so
/// recently; its run did not begin, so the answer says "not run".
#[test]
fn stream_of_unknown_origin_is_refused() {
    let answers = [const { OriginAnswer::Unknown }; 3];
    let mut gateway = fleet(&two_versions());
    let refusal = take_up(&mut gateway, at(100), &answers).unwrap_err();
    assert_eq!(refusal.kind.response().status, 503);
    assert_eq!(refusal.retry_after, None);
    // One peer has not answered in time.
    let refusal = take_up(&mut gateway, at(100), &answers[1..]).unwrap_err();
    assert!(refusal.retry_after.is_some());

    gateway.on_endpoints(at(1_000), one_version());
    assert!(take_up(&mut gateway, at(2_000), &answers).is_err());
    let version = take_up(&mut gateway, at(1_000 + LONG_AFTER), &answers);
    assert_eq!(version, Ok("v1".parse().unwrap()));
}

/// With a single version all the time, every stream goes on, also after a restart.
#[test]
fn stream_goes_on_at_the_sole_version() {
    let answers = [const { OriginAnswer::Unknown }; 3];
    let version = take_up(&mut fleet(&one_version()), at(100), &answers);
    assert_eq!(version, Ok("v1".parse().unwrap()));
}

/// A peer that knows of several versions, or of another single one, contradicts the daemon's
/// view. Fails if `end_resumption` takes the first answer.
#[test]
fn contradicted_sole_version_is_refused() {
    let other = OriginAnswer::Sole("v1.1".parse().unwrap());
    for answer in [OriginAnswer::Mixed, other] {
        let answers = [OriginAnswer::Unknown, answer];
        assert!(take_up(&mut fleet(&one_version()), at(100), &answers).is_err());
    }
}

/// A daemon without contact to the store does not take its old view for the present one, but
/// a peer's.
#[test]
fn old_view_of_a_sole_version_does_not_count() {
    let mut gateway = fleet(&one_version());
    let mut call = admit(&mut gateway, at(100), "call-2", Some("call-1"));
    let lookup = gateway
        .begin_resumption(at(100), &mut call)
        .unwrap()
        .unwrap();
    assert!(
        gateway
            .end_resumption(at(3_000), &mut call, &lookup)
            .is_err()
    );
    let mut lookup = lookup;
    lookup.on_answer(OriginAnswer::Sole("v1".parse().unwrap()));
    assert_eq!(
        gateway.end_resumption(at(3_000), &mut call, &lookup),
        Ok(())
    );
}

/// After a restart of all daemons, a mark tells of versions that are no longer listed. Without
/// a mark the listed version was alone, unless a daemon is too old to write marks.
#[test]
fn mark_tells_of_earlier_versions() {
    let answers = [OriginAnswer::Unknown];
    let mut gateway = fleet(&[]);
    gateway.on_version_mark("model".parse().unwrap(), true);
    gateway.on_endpoints(at(50), one_version());
    assert!(take_up(&mut gateway, at(100), &answers).is_err());
    gateway.on_version_mark("model".parse().unwrap(), false);
    assert!(take_up(&mut gateway, at(200), &answers).is_ok());

    let mut gateway = fleet(&[]);
    gateway.set_extension_support(&daemon(2), false);
    gateway.on_endpoints(at(50), one_version());
    assert!(take_up(&mut gateway, at(100), &answers).is_err());
    assert!(take_up(&mut gateway, at(50 + LONG_AFTER), &answers).is_ok());
}

/// One ready daemon marks the services with several versions, by its own view alone: a mark
/// must not keep itself alive.
#[test]
fn one_daemon_marks_mixed_services() {
    let marks = |endpoints: &[EndpointRecord], is_marked: bool| {
        let mut writers = 0;
        for own in 1..=4 {
            let own = member(own);
            let mut gateway = Gateway::new(own.id.clone(), own.zone, own.caller_address, bounds());
            gateway.on_store_confirmed(at(0), at(0));
            gateway.on_rules(at(0), rules(1));
            for number in (1..=4).filter(|number| daemon(*number) != own.id) {
                gateway.on_member(at(0), member(number));
                gateway.set_extension_support(&daemon(number), true);
                gateway.on_gossip(at(0), &daemon(number), gossip(1));
            }
            gateway.on_endpoints(at(0), endpoints.to_vec());
            gateway.on_version_mark("model".parse().unwrap(), is_marked);
            writers += gateway.services_to_mark(at(100)).len();
        }
        writers
    };
    assert_eq!(marks(&two_versions(), false), 1);
    assert_eq!(marks(&one_version(), true), 0);
}

/// A route with weights moves a stream to another service neither by its new attempt's id nor
/// by a new configuration.
#[test]
fn stream_stays_at_its_service() {
    let mut endpoints = two_versions();
    let other = |id: &str| EndpointRecord {
        version: Some("v1".parse().unwrap()),
        ..endpoint(id, "other", "north-a")
    };
    endpoints.extend(["x", "y"].map(other));
    let with_targets = |version, services: &[&str]| {
        let mut rules = rules(version);
        let mut route = (*rules.routes[0]).clone();
        let target = route.targets[0].clone();
        let targets = services.iter().map(|service| {
            let mut target = target.clone();
            target.service = service.parse().unwrap();
            target
        });
        route.targets = targets.collect();
        rules.routes[0] = Arc::new(route);
        rules
    };
    for number in 0..20 {
        let mut gateway = fleet(&endpoints);
        gateway.on_rules(at(10), with_targets(2, &["model", "other"]));
        let first = format!("call-{number}");
        let (_, attempt) = start(&mut gateway, at(100), &first);
        let mut call = admit(&mut gateway, at(200), "next", Some(&first));
        assert!(gateway.begin_resumption(at(200), &mut call).is_ok());
        let taken_up = gateway.select_endpoint(at(200), &mut call).unwrap();
        assert_eq!(taken_up.service, attempt.service);

        let left = if attempt.service.as_str() == "model" {
            "other"
        } else {
            "model"
        };
        gateway.on_rules(at(300), with_targets(3, &[left]));
        let mut call = admit(&mut gateway, at(400), "last", Some(&first));
        assert!(gateway.begin_resumption(at(400), &mut call).is_err());
    }
}

/// What a daemon answers to a peer.
#[test]
fn answers_to_peers() {
    let query = OriginQuery {
        id: 7,
        attempt: AttemptDigest::of("call-1"),
        service: "model".parse().unwrap(),
    };
    let answer = |gateway: &mut Gateway| gateway.on_origin_query(at(300), &query).answer;
    let sole = OriginAnswer::Sole("v1".parse().unwrap());
    assert_eq!(answer(&mut fleet(&one_version())), sole);
    assert_eq!(answer(&mut fleet(&two_versions())), OriginAnswer::Mixed);
    assert_eq!(answer(&mut fleet(&[])), OriginAnswer::Unknown);
    let mut gateway = fleet(&two_versions());
    let (call, _) = start(&mut gateway, at(100), "call-1");
    let known = call.origin.as_deref().cloned().unwrap();
    assert_eq!(answer(&mut gateway), OriginAnswer::Known(known));
}

/// The table is bounded and forgets what no caller can take up any more.
#[test]
fn origin_table_is_bounded() {
    let mut table = OriginTable::default();
    let begun = Arc::new(origin("v1"));
    for number in 0..MAX_ORIGINS as u64 + 100 {
        let (attempt, expires_at) = (AttemptDigest(number), at(1_000 + number));
        table.record(at(0), attempt, &begun, OriginSource::Peer, expires_at);
    }
    assert_eq!(table.len(), MAX_ORIGINS);
    assert!(table.get(at(0), AttemptDigest(0)).is_none());
    assert!(table.get(at(0), AttemptDigest(200)).is_some());
    assert!(table.get(at(1_200), AttemptDigest(200)).is_none());
    table.remove_expired(at(1_000 + MAX_ORIGINS as u64 + 100));
    assert!(table.is_empty());
}

/// A lookup is decided by the first peer that knows the stream, or by all answers.
#[test]
fn first_known_answer_decides() {
    let mut gateway = fleet(&two_versions());
    let mut lookup = lookup(&mut gateway, at(100));
    assert!(!lookup.is_decided());
    lookup.on_answer(OriginAnswer::Unknown);
    assert!(!lookup.is_decided());
    lookup.on_answer(OriginAnswer::Known(origin("v1")));
    assert!(lookup.is_decided());
}

/// A stream of a route that cannot be resumed, or without an event, is new.
#[test]
fn new_streams_need_no_origin() {
    let mut gateway = fleet(&two_versions());
    let mut attributes = call_attributes("call-2", "/query/1");
    attributes.resume_after = Some("3".into());
    attributes.caller_timeout = Some(Duration::from_secs(1));
    let mut call = gateway.admit(at(100), attributes).unwrap();
    assert!(
        gateway
            .begin_resumption(at(100), &mut call)
            .unwrap()
            .is_none()
    );
    let mut attributes = call_attributes("call-3", PATH);
    attributes.resumed_attempt = Some("call-1".into());
    let mut call = gateway.admit(at(100), attributes).unwrap();
    assert!(
        gateway
            .begin_resumption(at(100), &mut call)
            .unwrap()
            .is_none()
    );
}
