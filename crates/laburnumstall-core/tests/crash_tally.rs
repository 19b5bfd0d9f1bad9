//! Which crashes quarantine a request, and what ends that.

use std::time::Duration;

use laburnumstall_core::prelude::*;
use laburnumstall_core::quarantine::{
    CRASH_TTL, CountedCrash, CrashTally, HOLD_TIME, MAX_RECORDS, MIN_CRASHES, ProcessKey,
    SAME_CAUSE,
};

const BAD: Fingerprint = Fingerprint(7);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + ms)
}

fn crash(process: u64, ms: u64) -> CountedCrash {
    CountedCrash {
        process: ProcessKey(process),
        at: at(ms),
    }
}

/// Counts crashes 100 ms apart; returns whether one of them decided a quarantine.
fn count(tally: &mut CrashTally, request: Fingerprint, crashes: &[CountedCrash]) -> bool {
    let decided = crashes
        .iter()
        .filter(|crash| tally.on_crash(crash.at, request, **crash).is_some());
    decided.count() > 0
}

#[test]
fn crashes_of_several_processes_quarantine() {
    let mut tally = CrashTally::default();
    assert!(!count(&mut tally, BAD, &[crash(1, 0), crash(2, 100)]));
    assert!(tally.held_until(at(100), BAD).is_none());
    assert!(count(&mut tally, BAD, &[crash(3, 200)]));
    assert!(tally.held_until(at(200), BAD).is_some());
    let end = at(200).after(HOLD_TIME);
    assert!(tally.held_until(end, BAD).is_none());
}

#[test]
fn reports_in_any_order_count_once() {
    let mut tally = CrashTally::default();
    let repeated = [crash(2, 100), crash(1, 0), crash(2, 105), crash(1, 3)];
    assert!(!count(&mut tally, BAD, &repeated));
    assert!(count(&mut tally, BAD, &[crash(3, 200)]));
}

#[test]
fn simultaneous_crashes_count_once() {
    let mut tally = CrashTally::default();
    let gap = SAME_CAUSE.as_millis() as u64 - 1;
    let wave: Vec<CountedCrash> = (0..20).map(|n| crash(n, n % 2 * gap)).collect();
    assert!(!count(&mut tally, BAD, &wave));
    assert!(!count(&mut tally, BAD, &[crash(50, 500)]));
    assert!(count(&mut tally, BAD, &[crash(51, 900)]));
}

#[test]
fn completion_clears_earlier_crashes() {
    let mut tally = CrashTally::default();
    count(&mut tally, BAD, &[crash(1, 0), crash(2, 100)]);
    assert!(tally.on_completed(at(150), BAD));
    assert!(!tally.on_cleared(at(150), BAD, at(150)));
    assert!(!count(&mut tally, BAD, &[crash(3, 140), crash(4, 200)]));
    assert!(tally.is_sound(at(200), BAD) && !tally.is_sound(at(9_000), BAD));
}

#[test]
fn completion_ends_a_quarantine() {
    let mut tally = CrashTally::default();
    tally.on_held(at(0), BAD, at(60_000));
    assert!(tally.held_until(at(10), BAD).is_some());
    assert!(tally.on_cleared(at(20), BAD, at(20)));
    assert!(tally.held_until(at(20), BAD).is_none());
}

#[test]
fn one_crash_after_a_quarantine_renews_it() {
    let mut tally = CrashTally::default();
    count(
        &mut tally,
        BAD,
        &[crash(1, 0), crash(2, 100), crash(3, 200)],
    );
    let later = CRASH_TTL.as_millis() as u64 + HOLD_TIME.as_millis() as u64;
    tally.tick(at(later));
    assert!(tally.held_until(at(later), BAD).is_none());
    assert!(count(&mut tally, BAD, &[crash(4, later)]));
}

#[test]
fn old_crashes_expire() {
    let mut tally = CrashTally::default();
    count(&mut tally, BAD, &[crash(1, 0), crash(2, 100)]);
    let later = CRASH_TTL.as_millis() as u64 + 200;
    tally.tick(at(later));
    assert!(tally.is_empty());
    assert!(!count(&mut tally, BAD, &[crash(3, later)]));
}

/// Many requests with one crash each evict neither a quarantined one nor one with more.
#[test]
fn many_suspects_evict_no_evidence() {
    let mut tally = CrashTally::default();
    let held = Fingerprint(8);
    tally.on_held(at(0), held, at(500_000));
    count(&mut tally, BAD, &[crash(1, 0), crash(2, 100)]);
    for number in 0..2 * MAX_RECORDS as u64 {
        let now = at(200 + number);
        tally.on_crash(now, Fingerprint(1_000 + number), crash(3, 200 + number));
    }
    assert_eq!(tally.len(), MAX_RECORDS);
    let end = 300 + 2 * MAX_RECORDS as u64;
    assert!(tally.held_until(at(end), held).is_some());
    assert!(count(&mut tally, BAD, &[crash(4, end)]));
}

/// Of requests that are in flight at random crashes and run to completion in between, none is
/// quarantined; the one that is in flight at each crash is.
#[test]
fn chance_quarantines_nobody() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut tally = CrashTally::default();
        for round in 0..MIN_CRASHES as u64 {
            let now = at(round * 400 + rng.u64(0..200));
            let process = ProcessKey(round);
            let crash = CountedCrash { process, at: now };
            tally.on_crash(now, BAD, crash);
            for sound in 100..130 {
                if rng.bool() {
                    continue;
                }
                tally.on_crash(now, Fingerprint(sound), crash);
                let end = now.after(Duration::from_millis(rng.u64(1..200)));
                tally.on_cleared(end, Fingerprint(sound), end);
            }
        }
        let held: Vec<_> = tally.held(at(2_000)).map(|(request, _)| request).collect();
        assert_eq!(held, [BAD], "seed {seed}");
    }
}
