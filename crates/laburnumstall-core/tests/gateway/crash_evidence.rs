//! Fleets of gateways that share what crashes their endpoints.

use std::collections::{BTreeMap, BTreeSet};

use crate::stream_origins::gossip;
use crate::support::{at, bounds, call_attributes, daemon, endpoint, member, rules};
use laburnumstall_core::gateway::{
    AdmittedCall, BodyDigest, CallAttempt, CallAttributes, CallFailure, EndpointRecord,
    EndpointState, Gateway, PeerMessage, StoredHold,
};
use laburnumstall_core::prelude::*;
use laburnumstall_core::quarantine::{HOLD_TIME, Suspect};

const PATH: &str = "/read/1";
pub(crate) const BAD: &[u8] = b"crashes endpoints";

/// Gateways that receive each other's messages at once.
pub(crate) struct Fleet {
    pub(crate) gateways: BTreeMap<DaemonId, Gateway>,
    pub(crate) endpoints: Vec<EndpointRecord>,
    /// Daemons that neither send nor receive.
    pub(crate) cut: BTreeSet<DaemonId>,
    sent_bytes: usize,
    messages: usize,
}

impl Fleet {
    pub(crate) fn new(daemons: u32) -> Self {
        let plain = ["a", "b", "c", "d", "e", "f"].map(|id| endpoint(id, "app", "north-a"));
        let models = ["u", "v", "w", "x", "y", "z"].map(|id| endpoint(id, "model", "north-a"));
        let endpoints: Vec<EndpointRecord> = plain.into_iter().chain(models).collect();
        let gateways = (1..=daemons).map(|own| {
            let gateway = start(own, daemons, &endpoints);
            (daemon(own), gateway)
        });
        let mut fleet = Self {
            gateways: gateways.collect(),
            endpoints,
            cut: BTreeSet::new(),
            sent_bytes: 0,
            messages: 0,
        };
        fleet.tick(at(0));
        fleet
    }

    pub(crate) fn at(&mut self, number: u32) -> &mut Gateway {
        self.gateways.get_mut(&daemon(number)).unwrap()
    }

    pub(crate) fn deliver(&mut self, now: Timestamp) {
        loop {
            let mut updates = Vec::new();
            for (from, gateway) in &mut self.gateways {
                if !self.cut.contains(from) {
                    updates.extend(gateway.take_quarantine_updates());
                }
            }
            if updates.is_empty() {
                return;
            }
            for (to, _, update) in updates {
                let message = PeerMessage::Quarantine(update.clone());
                let bytes = postcard::to_allocvec(&message).unwrap();
                assert_eq!(postcard::from_bytes(&bytes), Ok(message));
                self.sent_bytes += bytes.len();
                self.messages += 1;
                if !self.cut.contains(&to)
                    && let Some(gateway) = self.gateways.get_mut(&to)
                {
                    gateway.on_quarantine_update(now, update);
                }
            }
        }
    }

    /// Lets daemons that are not cut off hear from each other.
    pub(crate) fn tick(&mut self, now: Timestamp) {
        let connected: Vec<DaemonId> = self
            .gateways
            .keys()
            .filter(|id| !self.cut.contains(*id))
            .cloned()
            .collect();
        for (own, gateway) in &mut self.gateways {
            for peer in connected
                .iter()
                .filter(|peer| *peer != own && !self.cut.contains(own))
            {
                gateway.on_gossip(now, peer, gossip(now.0));
            }
            gateway.tick(now);
        }
        self.deliver(now);
    }

    /// Crashes the endpoint that a daemon sends a request to; a new process takes its place.
    pub(crate) fn crash(&mut self, now: Timestamp, number: u32, body: &[u8]) {
        self.crash_by(now, number, with_body(now, body));
    }

    /// Like `crash`, by any call.
    pub(crate) fn crash_by(&mut self, now: Timestamp, number: u32, attributes: CallAttributes) {
        let (mut call, attempt) = begin_call(self.at(number), now, attributes).unwrap();
        let endpoint = attempt.endpoint.clone();
        fail(self.at(number), now, &mut call, attempt);
        check_endpoints(self.at(number), now, EndpointState::Refusing);
        self.deliver(now);
        let known = self.endpoints.iter_mut().find(|known| known.id == endpoint);
        let record = known.unwrap();
        record.started_at_ms += 1;
        let record = record.clone();
        for gateway in self.gateways.values_mut() {
            gateway.on_endpoint(now, record.clone());
        }
    }

    /// Returns how many daemons refuse a request as quarantined.
    pub(crate) fn refusing(&mut self, now: Timestamp, body: &[u8]) -> usize {
        self.refusing_call(now, &with_body(now, body))
    }

    /// Like `refusing`, for any call.
    pub(crate) fn refusing_call(&mut self, now: Timestamp, attributes: &CallAttributes) -> usize {
        let refused = self.gateways.values_mut().filter_map(|gateway| {
            let refusal = begin_call(gateway, now, attributes.clone()).err()?;
            assert_eq!(refusal.kind, ErrorKind::Quarantined);
            Some(refusal)
        });
        refused.count()
    }
}

pub(crate) fn start(own: u32, daemons: u32, endpoints: &[EndpointRecord]) -> Gateway {
    let own = member(own);
    let mut gateway = Gateway::new(own.id.clone(), own.zone, own.caller_address, bounds());
    gateway.on_store_confirmed(at(0), at(0));
    gateway.on_rules(at(0), rules(1));
    gateway.on_endpoints(at(0), endpoints.to_vec());
    for number in (1..=daemons).filter(|number| daemon(*number) != own.id) {
        gateway.on_member(at(0), member(number));
        gateway.set_quarantine_support(&daemon(number), true);
    }
    gateway
}

pub(crate) fn begin(
    gateway: &mut Gateway,
    now: Timestamp,
    body: &[u8],
) -> Result<(AdmittedCall, CallAttempt), Refusal> {
    begin_call(gateway, now, with_body(now, body))
}

fn with_body(now: Timestamp, body: &[u8]) -> CallAttributes {
    let mut attributes = call_attributes(&format!("call-{}", now.0), PATH);
    attributes.body = BodyDigest::of(body);
    attributes
}

pub(crate) fn begin_call(
    gateway: &mut Gateway,
    now: Timestamp,
    attributes: CallAttributes,
) -> Result<(AdmittedCall, CallAttempt), Refusal> {
    gateway.on_store_confirmed(now, now);
    let mut call = gateway.admit(now, attributes)?;
    let attempt = gateway.select_endpoint(now, &mut call)?;
    gateway.on_sent(&mut call);
    Ok((call, attempt))
}

fn fail(gateway: &mut Gateway, now: Timestamp, call: &mut AdmittedCall, attempt: CallAttempt) {
    // The call goes on or is given up, which does not matter here.
    let _ = gateway.after_failure(now, call, attempt, CallFailure::Lost);
}

fn check_endpoints(gateway: &mut Gateway, now: Timestamp, state: EndpointState) {
    for check in gateway.take_endpoint_checks() {
        gateway.on_endpoint_checked(now, &check.endpoint, state);
    }
}

#[test]
fn third_crash_is_known_to_all_daemons() {
    let mut fleet = Fleet::new(4);
    for (number, ms) in [(1, 100), (2, 300), (3, 500)] {
        assert_eq!(fleet.refusing(at(ms), BAD), 0);
        fleet.crash(at(ms), number, BAD);
    }
    assert_eq!(fleet.refusing(at(510), BAD), 4);
    assert_eq!(fleet.refusing(at(510), b"sound"), 0);
}

#[test]
fn crashes_are_known_after_their_daemon_ended() {
    let mut fleet = Fleet::new(4);
    fleet.crash(at(100), 1, BAD);
    fleet.crash(at(300), 1, BAD);
    fleet.gateways.remove(&daemon(1));
    fleet.crash(at(500), 2, BAD);
    assert_eq!(fleet.refusing(at(510), BAD), 3);
}

#[test]
fn daemon_that_was_cut_off_learns_and_tells() {
    let mut fleet = Fleet::new(4);
    fleet.cut.insert(daemon(4));
    fleet.tick(at(1_000));
    fleet.crash(at(1_010), 4, BAD);
    fleet.crash(at(1_200), 1, BAD);
    fleet.crash(at(1_400), 2, BAD);
    fleet.cut.clear();
    fleet.tick(at(2_600));
    assert_eq!(fleet.refusing(at(2_610), BAD), 4);
}

#[test]
fn sound_copy_clears_a_request_everywhere() {
    let mut fleet = Fleet::new(4);
    let begun = begin(fleet.at(4), at(50), BAD).unwrap();
    for (number, ms) in [(1, 100), (2, 300), (3, 500)] {
        fleet.crash(at(ms), number, BAD);
    }
    assert_eq!(fleet.refusing(at(510), BAD), 4);
    fleet.at(4).on_completed(at(600), &begun.0);
    fleet.deliver(at(600));
    assert_eq!(fleet.refusing(at(610), BAD), 0);
}

#[test]
fn lost_connections_are_no_crashes() {
    let mut fleet = Fleet::new(1);
    for ms in [100, 300, 500, 700, 900] {
        let (mut call, attempt) = begin(fleet.at(1), at(ms), BAD).unwrap();
        fail(fleet.at(1), at(ms), &mut call, attempt);
        check_endpoints(fleet.at(1), at(ms + 1), EndpointState::Accepting);
    }
    assert_eq!(fleet.refusing(at(1_000), BAD), 0);
}

/// A response without a length ends with its connection, as one that a crash has cut off does.
#[test]
fn response_that_ends_by_close_completes_on_a_live_endpoint() {
    let mut fleet = Fleet::new(1);
    fleet.crash(at(100), 1, BAD);
    fleet.crash(at(300), 1, BAD);
    let (call, attempt) = begin(fleet.at(1), at(400), BAD).unwrap();
    fleet.at(1).on_ended_by_close(at(450), &call, &attempt);
    check_endpoints(fleet.at(1), at(455), EndpointState::Accepting);
    fleet.crash(at(5_000), 1, BAD);
    fleet.crash(at(5_300), 1, BAD);
    assert_eq!(fleet.refusing(at(5_310), BAD), 0);

    let (call, attempt) = begin(fleet.at(1), at(5_400), BAD).unwrap();
    fleet.at(1).on_ended_by_close(at(5_450), &call, &attempt);
    check_endpoints(fleet.at(1), at(5_455), EndpointState::Refusing);
    assert_eq!(fleet.refusing(at(5_460), BAD), 1);
}

#[test]
fn ends_of_leaving_endpoints_are_no_crashes() {
    let mut fleet = Fleet::new(1);
    for (index, ms) in [100, 300, 500].into_iter().enumerate() {
        let (mut call, attempt) = begin(fleet.at(1), at(ms), BAD).unwrap();
        let known = fleet.endpoints.iter();
        let mut record = known
            .clone()
            .find(|known| known.id == attempt.endpoint)
            .unwrap()
            .clone();
        record.is_leaving = true;
        fleet.at(1).on_endpoint(at(ms), record);
        fail(fleet.at(1), at(ms), &mut call, attempt);
        check_endpoints(fleet.at(1), at(ms), EndpointState::Refusing);
        assert!(index < fleet.endpoints.len());
    }
    assert_eq!(fleet.refusing(at(1_000), BAD), 0);
}

#[test]
fn call_that_ran_is_not_told_that_it_did_not() {
    let mut fleet = Fleet::new(2);
    let (mut ran, attempt) = begin(fleet.at(1), at(10), BAD).unwrap();
    fail(fleet.at(1), at(20), &mut ran, attempt);
    let mut attributes = call_attributes("waits", PATH);
    attributes.body = BodyDigest::of(BAD);
    let mut waits = fleet.at(1).admit(at(30), attributes).unwrap();
    for ms in [100, 300, 500] {
        fleet.crash(at(ms), 2, BAD);
    }
    let select = |fleet: &mut Fleet, call: &mut AdmittedCall| {
        let refused = fleet.at(1).select_endpoint(at(600), call);
        refused.map(|_| ()).unwrap_err().kind
    };
    assert_eq!(select(&mut fleet, &mut ran), ErrorKind::EndpointCrashed);
    assert_eq!(select(&mut fleet, &mut waits), ErrorKind::Quarantined);
}

#[test]
fn older_builds_get_no_updates() {
    let mut fleet = Fleet::new(3);
    fleet.at(1).set_quarantine_support(&daemon(3), false);
    fleet.crash(at(100), 1, BAD);
    let (mut call, attempt) = begin(fleet.at(1), at(200), BAD).unwrap();
    fail(fleet.at(1), at(210), &mut call, attempt);
    check_endpoints(fleet.at(1), at(220), EndpointState::Refusing);
    let updates = fleet.at(1).take_quarantine_updates();
    let recipients: Vec<DaemonId> = updates.into_iter().map(|(to, _, _)| to).collect();
    assert_eq!(recipients, [daemon(2)]);
}

#[test]
fn restarted_daemon_reads_quarantines_from_the_store() {
    let mut fleet = Fleet::new(2);
    for ms in [100, 300, 500] {
        fleet.crash(at(ms), 1, BAD);
    }
    let writes = fleet.at(1).hold_writes(at(510));
    let [write] = writes.as_slice() else {
        panic!("one write is due: {writes:?}");
    };
    assert!(fleet.at(2).hold_writes(at(510)).is_empty());
    assert_eq!(fleet.at(2).hold_writes(at(3_000)).len(), 1);

    let endpoints = fleet.endpoints.clone();
    let mut restarted = start(1, 2, &endpoints);
    let stored: (Suspect, StoredHold) = (write.suspect, write.value.unwrap());
    restarted.on_stored_holds(at(600), vec![stored]);
    let refusal = begin(&mut restarted, at(610), BAD).map(|_| ()).unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::Quarantined);
    restarted.on_stored_hold_removed(at(700), write.suspect);
    assert!(begin(&mut restarted, at(710), BAD).is_ok());
}

#[test]
fn quarantine_that_the_store_lost_is_written_again() {
    let mut fleet = Fleet::new(1);
    for ms in [100, 300, 500] {
        fleet.crash(at(ms), 1, BAD);
    }
    for write in fleet.at(1).hold_writes(at(510)) {
        fleet.at(1).on_hold_written(at(520), &write);
    }
    assert!(fleet.at(1).hold_writes(at(9_000)).is_empty());
    fleet.at(1).on_stored_holds(at(9_000), Vec::new());
    assert_eq!(fleet.at(1).hold_writes(at(12_000)).len(), 1);
    assert_eq!(fleet.refusing(at(12_000), BAD), 1);
}

#[test]
fn quarantine_that_ends_while_it_is_written_is_deleted() {
    let mut fleet = Fleet::new(1);
    let begun = begin(fleet.at(1), at(50), BAD).unwrap();
    for ms in [100, 300, 500] {
        fleet.crash(at(ms), 1, BAD);
    }
    let writes = fleet.at(1).hold_writes(at(510));
    fleet.at(1).on_completed(at(520), &begun.0);
    fleet.at(1).on_hold_written(at(530), &writes[0]);
    let deletes = fleet.at(1).hold_writes(at(540));
    assert_eq!(deletes.len(), 1);
    assert!(deletes[0].value.is_none());
    fleet.at(1).on_hold_written(at(550), &deletes[0]);
    assert!(fleet.at(1).hold_writes(at(560)).is_empty());
}

/// The lease of an earlier quarantine ends after the request was quarantined again.
#[test]
fn end_of_an_earlier_lease_ends_no_later_quarantine() {
    let mut fleet = Fleet::new(1);
    for ms in [100, 300, 500] {
        fleet.crash(at(ms), 1, BAD);
    }
    let first = fleet.at(1).hold_writes(at(510))[0];
    fleet.at(1).on_hold_written(at(520), &first);
    let end = 500 + HOLD_TIME.as_millis() as u64;
    fleet.tick(at(end + 10));
    fleet.crash(at(end + 20), 1, BAD);
    fleet
        .at(1)
        .on_stored_hold_removed(at(end + 500), first.suspect);
    assert_eq!(fleet.refusing(at(end + 600), BAD), 1);
    assert_eq!(fleet.at(1).hold_writes(at(end + 3_000)).len(), 1);
}

/// In a large fleet the few daemons that count for a request tell the others that it is sound.
#[test]
fn large_fleet_clears_by_request() {
    let mut fleet = Fleet::new(60);
    let begun = begin(fleet.at(33), at(50), BAD).unwrap();
    for (number, ms) in [(1, 100), (20, 300), (40, 500)] {
        fleet.crash(at(ms), number, BAD);
    }
    assert_eq!(fleet.refusing(at(510), BAD), 60);
    fleet.messages = 0;
    fleet.at(33).on_completed(at(600), &begun.0);
    fleet.deliver(at(600));
    assert_eq!(fleet.refusing(at(610), BAD), 0);
    assert!(fleet.messages <= 4 * 60, "{}", fleet.messages);
}

/// In a large fleet a crash is reported to the few peers that count for each request, and a
/// quarantine to all.
#[test]
fn large_fleet_counts_by_request() {
    let mut fleet = Fleet::new(60);
    fleet.messages = 0;
    fleet.crash(at(100), 1, BAD);
    assert!((1..=3).contains(&fleet.messages), "{}", fleet.messages);
    fleet.crash(at(300), 20, BAD);
    fleet.crash(at(500), 40, BAD);
    assert_eq!(fleet.refusing(at(510), BAD), 60);
}

/// Thousands of endpoints that crash at once do not fill the links of a large fleet.
#[test]
fn wave_of_crashes_stays_within_the_budget() {
    const DAEMONS: u32 = 880;
    const BUDGET_PER_SECOND: usize = 4_096;
    let endpoints: Vec<EndpointRecord> = (0..400)
        .map(|number| endpoint(&format!("e-{number}"), "app", "north-a"))
        .collect();
    let mut gateway = start(1, DAEMONS, &endpoints);
    for number in 2..=DAEMONS {
        gateway.on_gossip(at(0), &daemon(number), gossip(1));
    }
    let mut bytes = 0;
    for second in 0..10 {
        for number in 0..100 {
            let now = at(second * 1_000 + number * 5);
            let body = now.0.to_le_bytes();
            let (mut call, attempt) = begin(&mut gateway, now, &body).unwrap();
            fail(&mut gateway, now, &mut call, attempt);
            check_endpoints(&mut gateway, now, EndpointState::Refusing);
            for (_, _, update) in gateway.take_quarantine_updates() {
                let message = PeerMessage::Quarantine(update);
                bytes += 96 + postcard::to_allocvec(&message).unwrap().len();
            }
        }
    }
    assert!(
        bytes > 0 && bytes <= 10 * BUDGET_PER_SECOND,
        "{bytes} bytes in 10 s"
    );
}

/// A stream that its caller takes up, and a retry after a refusal, are checked like a first try.
#[test]
fn resumed_and_retried_calls_are_refused_too() {
    let mut fleet = Fleet::new(2);
    let mut stream = call_attributes("first", "/digest/1");
    stream.body = BodyDigest::of(BAD);
    let mut waiting = fleet.at(1).admit(at(20), stream.clone()).unwrap();
    let attempt = fleet.at(1).select_endpoint(at(20), &mut waiting).unwrap();
    fleet.at(1).on_sent(&mut waiting);
    for ms in [100, 300, 500] {
        fleet.crash_by(at(ms), 2, stream.clone());
    }
    let _ = fleet
        .at(1)
        .after_failure(at(520), &mut waiting, attempt, CallFailure::NotRun);
    let retried = fleet.at(1).select_endpoint(at(520), &mut waiting);
    assert_eq!(
        retried.map(|_| ()).unwrap_err().kind,
        ErrorKind::Quarantined
    );
    let mut resumed = stream;
    resumed.id = "second".into();
    resumed.resumed_attempt = Some("first".into());
    resumed.resume_after = Some("3".into());
    let refused = fleet.at(1).admit(at(530), resumed).map(|_| ()).unwrap_err();
    assert_eq!(refused.kind, ErrorKind::Quarantined);
}

#[test]
fn daemon_that_missed_a_clearance_does_not_bring_the_quarantine_back() {
    let mut fleet = Fleet::new(4);
    let begun = begin(fleet.at(1), at(50), BAD).unwrap();
    for (number, ms) in [(1, 100), (2, 300), (3, 500)] {
        fleet.crash(at(ms), number, BAD);
    }
    assert_eq!(fleet.refusing(at(510), BAD), 4);
    fleet.cut.insert(daemon(4));
    fleet.at(1).on_completed(at(600), &begun.0);
    fleet.deliver(at(600));
    fleet.tick(at(1_500));
    fleet.tick(at(4_500));
    fleet.cut.clear();
    fleet.tick(at(5_000));
    fleet.tick(at(5_100));
    assert_eq!(fleet.refusing(at(5_110), BAD), 0);
    let writes = fleet.at(4).hold_writes(at(9_000));
    assert!(
        writes.iter().all(|write| write.value.is_none()),
        "{writes:?}"
    );
}
