//! Requests that crash the endpoints that run them, over fleets of daemons.

use crate::fleet::{BAD, Fleet, PATH, begin, check_endpoints, fail, start};
use crate::stream_origins::gossip;
use crate::support::{at, call_attributes, daemon, endpoint};
use laburnumstall_core::gateway::{
    AdmittedCall, BodyDigest, CallFailure, EndpointRecord, EndpointState, PeerMessage, StoredHold,
};
use laburnumstall_core::prelude::*;
use laburnumstall_core::quarantine::{HOLD_TIME, Suspect};

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
