//! Quarantines that have ended, at daemons and in stores that missed it.

use crate::fleet::{BAD, Fleet, begin, start};
use crate::support::{at, daemon};
use laburnumstall_core::gateway::{
    HoldWrite, QuarantineUpdate, StoredHold, SuspectClearance, SuspectHold,
};
use laburnumstall_core::quarantine::{ProcessKey, Suspect};

/// Quarantines a request, stores that, and clears it again while daemon 4 is cut off; returns the
/// stored quarantine.
fn clear_beside_cut_off(fleet: &mut Fleet) -> (Suspect, StoredHold) {
    let begun = begin(fleet.at(1), at(50), BAD).unwrap();
    for (number, ms) in [(1, 100), (2, 300), (3, 500)] {
        fleet.crash(at(ms), number, BAD);
    }
    let write = fleet.at(3).hold_writes(at(510))[0];
    let stored = (write.suspect, write.value.unwrap());
    for gateway in fleet.gateways.values_mut() {
        gateway.on_stored_hold(at(520), stored.0, stored.1);
    }
    fleet.cut.insert(daemon(4));
    fleet.at(1).on_completed(at(600), &begun.0);
    fleet.deliver(at(600));
    fleet.tick(at(1_500));
    fleet.tick(at(4_500));
    stored
}

/// A daemon that starts later hears of the quarantine from the one that missed its end.
#[test]
fn started_daemon_does_not_bring_an_ended_quarantine_back() {
    let mut fleet = Fleet::new(4);
    clear_beside_cut_off(&mut fleet);
    let endpoints = fleet.endpoints.clone();
    fleet.gateways.insert(daemon(3), start(3, 4, &endpoints));
    fleet.tick(at(4_800));
    fleet.cut.clear();
    for ms in [5_000, 5_100, 5_200] {
        fleet.tick(at(ms));
    }
    assert_eq!(fleet.refusing(at(5_210), BAD), 0);
}

#[test]
fn store_restored_from_an_older_copy_brings_no_ended_quarantine_back() {
    let mut fleet = Fleet::new(4);
    let (suspect, stored) = clear_beside_cut_off(&mut fleet);
    let deletes = fleet.at(1).hold_writes(at(5_000));
    assert!(deletes.iter().all(|write| write.value.is_none()));
    for write in deletes {
        fleet.at(1).on_hold_written(at(5_010), &write);
    }
    fleet.at(1).on_stored_hold(at(6_000), suspect, stored);
    assert!(begin(fleet.at(1), at(6_010), BAD).is_ok());
    let deletes = fleet.at(1).hold_writes(at(6_020));
    assert_eq!(deletes.len(), 1);
    assert_eq!(deletes[0].value, None);
}

/// Crashes after the completion quarantine the request again, which a delayed removal of the
/// earlier quarantine must not end.
#[test]
fn delayed_delete_keeps_a_later_quarantine() {
    let mut fleet = Fleet::new(4);
    let (_, stored) = clear_beside_cut_off(&mut fleet);
    let delete: HoldWrite = fleet.at(2).hold_writes(at(5_000))[0];
    assert_eq!(delete.value, None);
    assert!(!delete.is_done(&stored));
    fleet.tick(at(5_900));
    for (number, ms) in [(1, 6_000), (2, 6_200), (3, 6_400)] {
        fleet.crash(at(ms), number, BAD);
    }
    let writes = fleet.at(3).hold_writes(at(6_410));
    let later = writes.iter().find_map(|write| write.value).unwrap();
    assert!(delete.is_done(&later));
}

/// An operator deletes the key of a quarantine while a daemon is cut off.
#[test]
fn daemon_that_missed_a_release_does_not_bring_the_quarantine_back() {
    let mut fleet = Fleet::new(4);
    for (number, ms) in [(1, 100), (2, 300), (3, 500)] {
        fleet.crash(at(ms), number, BAD);
    }
    let write = fleet.at(3).hold_writes(at(510))[0];
    fleet.cut.insert(daemon(4));
    for number in 1..=3 {
        let gateway = fleet.at(number);
        gateway.on_stored_hold(at(520), write.suspect, write.value.unwrap());
        gateway.on_stored_hold_removed(at(1_000), write.suspect);
    }
    fleet.tick(at(4_500));
    fleet.cut.clear();
    for ms in [5_000, 5_100, 5_200] {
        fleet.tick(at(ms));
    }
    assert_eq!(fleet.refusing(at(5_210), BAD), 0);
}

/// The message about the completion overtakes the one about the quarantine.
#[test]
fn quarantine_that_arrives_after_its_clearance_is_not_adopted() {
    let mut fleet = Fleet::new(60);
    let (call, _) = begin(fleet.at(1), at(50), BAD).unwrap();
    let suspect = Suspect::Request(call.fingerprint);
    let clearance = SuspectClearance { suspect, age_ms: 0 };
    let hold = SuspectHold {
        suspect,
        depth: 0,
        since_ms: 510,
        crashes: 3,
        remaining_s: 600,
        processes: [1, 2, 3].map(ProcessKey).to_vec(),
    };
    let clearances = QuarantineUpdate {
        clearances: vec![clearance],
        ..QuarantineUpdate::default()
    };
    let holds = QuarantineUpdate {
        holds: vec![hold],
        ..QuarantineUpdate::default()
    };
    fleet.at(1).on_quarantine_update(at(600), clearances);
    fleet.at(1).on_quarantine_update(at(610), holds);
    assert!(begin(fleet.at(1), at(620), BAD).is_ok());
}
