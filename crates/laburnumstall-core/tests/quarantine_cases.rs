//! Quarantine of single requests: which crashes quarantine a request and which do not.

#[path = "support/quarantine.rs"]
mod support;

use std::time::Duration;

use laburnumstall_core::prelude::*;
use laburnumstall_core::quarantine::{Quarantine, Trial, Verdict};
use support::{POISON, at, crash, daemon, endpoint};

fn harmless_requests(first: u64) -> Vec<Fingerprint> {
    (first..first + 30).map(Fingerprint).collect()
}

fn with_poison(mut requests: Vec<Fingerprint>) -> Vec<Fingerprint> {
    requests.push(POISON);
    requests
}

fn verdicts(quarantine: &Quarantine, now: Timestamp, of: &[Fingerprint], expected: Verdict) {
    for f in of {
        assert_eq!(quarantine.verdict(now, *f), expected, "{f}");
    }
}

/// Fails without the line that inserts into `quarantined` in `crash::request_states`.
#[test]
fn second_crash_quarantines() {
    let mut quarantine = Quarantine::new(&daemon(1));
    crash(
        &mut quarantine,
        at(0),
        1,
        &with_poison(harmless_requests(0)),
    );
    assert_eq!(quarantine.verdict(at(0), POISON), Verdict::Suspect);
    crash(
        &mut quarantine,
        at(5_000),
        2,
        &with_poison(harmless_requests(100)),
    );
    assert_eq!(quarantine.verdict(at(5_000), POISON), Verdict::Quarantined);
    assert_eq!(quarantine.held_until(at(5_000), POISON), Some(at(7_000)));
    let trial = quarantine.begin_trial(at(5_000), POISON);
    assert_eq!(trial, Trial::Wait(at(7_000)));
    assert_eq!(quarantine.held_until(at(7_000), POISON), None);
    verdicts(
        &quarantine,
        at(7_000),
        &harmless_requests(0),
        Verdict::Clear,
    );
    verdicts(
        &quarantine,
        at(7_000),
        &harmless_requests(100),
        Verdict::Clear,
    );
}

/// Fails if `only_repeated` drops its check that no second request is repeated.
#[test]
fn shared_crashes_quarantine_no_request() {
    let mut quarantine = Quarantine::new(&daemon(1));
    let all = with_poison(harmless_requests(0));
    crash(&mut quarantine, at(0), 1, &all);
    crash(&mut quarantine, at(5_000), 2, &all);
    verdicts(&quarantine, at(60_000), &all, Verdict::Suspect);
    crash(
        &mut quarantine,
        at(70_000),
        3,
        &with_poison(harmless_requests(100)),
    );
    assert_eq!(quarantine.verdict(at(72_000), POISON), Verdict::Quarantined);
    verdicts(
        &quarantine,
        at(72_000),
        &harmless_requests(0),
        Verdict::Clear,
    );
}

/// Fails without the `others.count() < MASS_RECLAIM_CRASHES` condition in `crash::drop_reclaims`.
#[test]
fn concurrent_reclaims_are_no_crashes() {
    let mut quarantine = Quarantine::new(&daemon(1));
    for wave in 0..2 {
        let start = wave * 60_000;
        for number in 0..4 {
            let now = at(start + number * 300);
            let in_flight = harmless_requests(number * 1_000);
            crash(&mut quarantine, now, wave * 10 + number, &in_flight);
        }
        let after = at(start + 3_000);
        verdicts(&quarantine, after, &harmless_requests(0), Verdict::Clear);
        verdicts(
            &quarantine,
            after,
            &harmless_requests(3_000),
            Verdict::Clear,
        );
    }
}

/// Fails without the `reclaims` lookup in `crash::drop_reclaims`.
#[test]
fn delayed_reclaim_notice_withdraws_quarantine() {
    let mut quarantine = Quarantine::new(&daemon(1));
    let harmless = Fingerprint(1);
    crash(&mut quarantine, at(0), 1, &[harmless]);
    crash(&mut quarantine, at(9_000), 2, &[harmless]);
    assert_eq!(
        quarantine.verdict(at(11_000), harmless),
        Verdict::Quarantined
    );
    quarantine.tick(at(12_000));
    let mut journal = Journal::default();
    quarantine.on_reclaim(at(30_000), &endpoint(2), &mut journal);
    assert_eq!(quarantine.verdict(at(30_000), harmless), Verdict::Suspect);
    assert_eq!(journal.decisions()[0].choice, "withdraw");
    assert!(
        quarantine
            .take_gossip()
            .is_some_and(|gossip| !gossip.reclaims.is_empty())
    );
}

/// Fails if `Crash::includes` always returns false: reports of one crash would count twice.
#[test]
fn one_crash_reported_twice_counts_once() {
    let mut first = Quarantine::new(&daemon(1));
    let mut second = Quarantine::new(&daemon(2));
    let mut journal = Journal::default();
    let suspicion = crash(&mut first, at(0), 1, &[POISON, Fingerprint(1)]).unwrap();
    let own = crash(&mut second, at(80), 1, &[POISON, Fingerprint(2)]).unwrap();
    assert!(first.merge(at(100), &own, &mut journal));
    assert!(second.merge(at(100), &suspicion, &mut journal));
    assert!(!second.merge(at(101), &suspicion, &mut journal));
    for quarantine in [&first, &second] {
        assert_eq!(quarantine.verdict(at(60_000), POISON), Verdict::Suspect);
    }
    assert_eq!(crash(&mut first, at(200), 1, &[POISON]), None);
    assert_eq!(first.verdict(at(60_000), POISON), Verdict::Suspect);
}

/// Fails without the check of the holder and of `own_claim` in `Trials::turn`.
#[test]
fn copies_are_retried_in_turn() {
    let mut first = Quarantine::new(&daemon(1));
    let mut second = Quarantine::new(&daemon(2));
    let mut journal = Journal::default();
    let suspicion = crash(&mut first, at(0), 1, &[POISON]).unwrap();
    second.merge(at(1), &suspicion, &mut journal);
    assert_eq!(first.begin_trial(at(102), POISON), Trial::Run);
    first.on_dispatched(POISON, &endpoint(9));
    let Trial::Notify(claim) = second.begin_trial(at(103), POISON) else {
        panic!("a copy at another entry must notify peers first");
    };
    first.merge(at(104), &claim, &mut journal);
    assert!(matches!(
        second.begin_trial(at(105), POISON),
        Trial::Wait(_)
    ));
    assert!(matches!(first.begin_trial(at(105), POISON), Trial::Wait(_)));
    first.on_survived(at(106), POISON);
    let gossip = first.take_gossip().unwrap();
    second.merge(at(107), &gossip, &mut journal);
    assert_eq!(second.verdict(at(107), POISON), Verdict::Clear);
    assert_eq!(second.begin_trial(at(107), POISON), Trial::Run);
}

/// Fails without `claim_running`: the first daemon would retry while the copy is in flight.
#[test]
fn in_flight_copy_has_precedence() {
    let mut first = Quarantine::new(&daemon(1));
    let mut second = Quarantine::new(&daemon(2));
    let mut journal = Journal::default();
    first.on_dispatched(POISON, &endpoint(1));
    second.on_dispatched(POISON, &endpoint(2));
    let suspicion = crash(&mut first, at(0), 1, &[POISON, Fingerprint(1)]).unwrap();
    second.merge(at(1), &suspicion, &mut journal);
    let reply = second.reply(&suspicion);
    first.merge(at(2), &reply, &mut journal);
    assert_eq!(first.suspect_endpoints(at(2)), [endpoint(2)]);
    assert!(matches!(first.begin_trial(at(103), POISON), Trial::Wait(_)));
    let suspicion = crash(&mut second, at(150), 2, &[POISON, Fingerprint(2)]).unwrap();
    first.merge(at(151), &suspicion, &mut journal);
    for quarantine in [&first, &second] {
        assert_eq!(quarantine.verdict(at(2_150), POISON), Verdict::Quarantined);
        assert_eq!(
            quarantine.verdict(at(2_150), Fingerprint(1)),
            Verdict::Clear
        );
    }
}

/// Fails without the removal in `remove_peer`: the claim of an unreachable daemon would hold.
#[test]
fn claim_of_unreachable_daemon_is_dropped() {
    let mut first = Quarantine::new(&daemon(1));
    let mut second = Quarantine::new(&daemon(2));
    let suspicion = crash(&mut first, at(0), 1, &[Fingerprint(1)]).unwrap();
    second.merge(at(1), &suspicion, &mut Journal::default());
    assert!(matches!(
        second.begin_trial(at(102), Fingerprint(1)),
        Trial::Notify(_)
    ));
    assert!(matches!(
        second.begin_trial(at(102), Fingerprint(1)),
        Trial::Wait(_)
    ));
    second.remove_peer(&daemon(1));
    assert_eq!(second.begin_trial(at(103), Fingerprint(1)), Trial::Run);
}

/// Fails without the `quarantined` records that `drop_reports` writes before it drops reports.
#[test]
fn quarantine_outlives_its_reports() {
    let mut quarantine = Quarantine::new(&daemon(1));
    crash(&mut quarantine, at(0), 1, &[POISON]);
    crash(&mut quarantine, at(5_000), 2, &[POISON]);
    let hours = |h: u64| Timestamp::ZERO.after(Duration::from_secs(h * 3600));
    for hour in 1..100 {
        quarantine.tick(hours(hour));
    }
    assert_eq!(quarantine.verdict(hours(100), POISON), Verdict::Quarantined);
    assert!(quarantine.snapshot().reports.is_empty());
    let mut new_peer = Quarantine::new(&daemon(2));
    new_peer.merge(hours(100), &quarantine.snapshot(), &mut Journal::default());
    assert_eq!(new_peer.verdict(hours(100), POISON), Verdict::Quarantined);
    new_peer.release(hours(101), POISON);
    assert_eq!(new_peer.verdict(hours(101), POISON), Verdict::Clear);
}

/// Fails without the `MAX_REPORTS` limit in `drop_reports`.
#[test]
fn memory_is_bounded() {
    let mut quarantine = Quarantine::new(&daemon(1));
    for number in 0..2_000 {
        crash(
            &mut quarantine,
            at(number * 10_000),
            number,
            &[Fingerprint(number)],
        );
        assert!(quarantine.snapshot().reports.len() <= 256);
    }
}
