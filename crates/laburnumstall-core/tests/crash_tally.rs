//! Which crashes quarantine a request, and what ends that.

use std::time::Duration;

use laburnumstall_core::prelude::*;
use laburnumstall_core::quarantine::{
    CRASH_TTL, CountedCrash, CrashTally, FIRST_PART_HOLD, HOLD_TIME, HoldBasis, MAX_RECORDS,
    MIN_CRASHES, MIN_CRASHES_OF_KNOWN, ProcessKey, SAME_CAUSE, Suspect, SuspectNote,
};

const BAD: Suspect = request(7);
const BAD_PART: Suspect = Suspect::Part(Fingerprint(8));
const FIRST_PART: Suspect = Suspect::Part(Fingerprint(9));

const BASIS: HoldBasis = HoldBasis {
    since: Timestamp::from_millis(1_000_000),
    crashes: 3,
};

const fn request(number: u64) -> Suspect {
    Suspect::Request(Fingerprint(number))
}

fn note(suspect: Suspect) -> SuspectNote {
    SuspectNote {
        suspect,
        requests: Fingerprint(7).into(),
        ran_ms: 1_000,
        depth: 0,
        has_completed: false,
    }
}

/// Note of a part of the prompt of a request.
fn part(suspect: Suspect, depth: u8, request: u64) -> SuspectNote {
    SuspectNote {
        requests: Fingerprint(request).into(),
        depth,
        ..note(suspect)
    }
}

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
fn count(tally: &mut CrashTally, suspect: Suspect, crashes: &[CountedCrash]) -> bool {
    let decided = crashes
        .iter()
        .filter(|crash| tally.on_crash(crash.at, note(suspect), **crash).is_some());
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

/// A retry may crash the next endpoint within a few milliseconds.
#[test]
fn attempts_one_after_another_count_each() {
    let mut tally = CrashTally::default();
    let quick = SuspectNote {
        ran_ms: 5,
        ..note(BAD)
    };
    let crashes = [crash(1, 0), crash(2, 6), crash(3, 12)];
    let decided = crashes.map(|crash| tally.on_crash(crash.at, quick, crash).is_some());
    assert_eq!(decided, [false, false, true]);
}

#[test]
fn completion_clears_earlier_crashes() {
    let mut tally = CrashTally::default();
    count(&mut tally, BAD, &[crash(1, 0), crash(2, 100)]);
    assert!(tally.on_completed(at(150), BAD));
    assert!(!tally.on_cleared(at(150), BAD, at(150)));
    assert!(!count(&mut tally, BAD, &[crash(3, 140), crash(4, 200)]));
    assert!(tally.completed_at(at(200), BAD).is_some());
    assert!(tally.completed_at(at(9_000), BAD).is_none());
}

#[test]
fn completion_ends_a_quarantine() {
    let mut tally = CrashTally::default();
    tally.on_held(at(0), BAD, BASIS, at(60_000));
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
    let held = request(8);
    tally.on_held(at(0), held, BASIS, at(500_000));
    count(&mut tally, BAD, &[crash(1, 0), crash(2, 100)]);
    for number in 0..2 * MAX_RECORDS as u64 {
        let now = at(200 + number);
        tally.on_crash(now, note(request(1_000 + number)), crash(3, 200 + number));
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
            tally.on_crash(now, note(BAD), crash);
            for sound in 100..130 {
                if rng.bool() {
                    continue;
                }
                tally.on_crash(now, note(request(sound)), crash);
                let end = now.after(Duration::from_millis(rng.u64(1..200)));
                tally.on_cleared(end, request(sound), end);
            }
        }
        let held: Vec<_> = tally.held(at(2_000)).map(|(request, _)| request).collect();
        assert_eq!(held, [BAD], "seed {seed}");
    }
}

/// Counts one crash by each request, 100 ms apart; returns the number that decided a quarantine.
fn count_requests(tally: &mut CrashTally, note: SuspectNote, requests: &[u64]) -> Option<usize> {
    requests.iter().position(|request| {
        let crash = crash(*request, request * 100);
        let note = SuspectNote {
            requests: Fingerprint(*request).into(),
            ..note
        };
        tally.on_crash(crash.at, note, crash).is_some()
    })
}

#[test]
fn crashes_by_different_requests_quarantine_a_part() {
    let mut tally = CrashTally::default();
    let decided = count_requests(&mut tally, part(BAD_PART, 1, 0), &[1, 2, 3, 4]);
    assert_eq!(decided, Some(MIN_CRASHES - 1));
}

#[test]
fn repeats_of_one_request_count_once_against_a_part() {
    let mut tally = CrashTally::default();
    for number in 1..8 {
        let crash = crash(number, number * 100);
        let decided = tally.on_crash(crash.at, part(BAD_PART, 1, 77), crash);
        assert!(decided.is_none());
    }
}

/// A part that was sound needs more evidence, so that one beside it that never was is found first.
#[test]
fn completed_part_needs_more_crashes() {
    let mut tally = CrashTally::default();
    let known = SuspectNote {
        has_completed: true,
        ..part(BAD_PART, 1, 0)
    };
    let decided = count_requests(&mut tally, known, &[1, 2, 3, 4, 5, 6]);
    assert_eq!(decided, Some(MIN_CRASHES_OF_KNOWN - 1));
}

#[test]
fn quarantined_part_explains_the_crashes_of_earlier_parts() {
    let mut tally = CrashTally::default();
    for number in 1..=3 {
        let crash = crash(number, number * 100);
        let decided = tally.on_crash(crash.at, part(BAD_PART, 1, number), crash);
        if decided.is_some() {
            let (processes, depth) = tally.crashes(BAD_PART);
            assert!(
                tally
                    .explain(crash.at, BAD_PART, depth, &processes)
                    .is_empty()
            );
        }
        let first = tally.on_crash(crash.at, part(FIRST_PART, 2, number), crash);
        assert!(first.is_none());
    }
    assert!(tally.held_until(at(400), BAD_PART).is_some());
    let later = tally.on_crash(at(400), part(FIRST_PART, 2, 4), crash(4, 400));
    assert!(later.is_none(), "earlier crashes count no longer");
}

#[test]
fn first_part_that_was_blamed_for_a_later_one_is_released() {
    let mut tally = CrashTally::default();
    count_requests(&mut tally, part(FIRST_PART, 2, 0), &[1, 2, 3]);
    assert!(tally.held_until(at(300), FIRST_PART).is_some());
    let processes = [1, 2, 3].map(ProcessKey);
    let released = tally.explain(at(310), BAD_PART, 1, &processes);
    assert_eq!(released, [FIRST_PART]);
    assert!(tally.held_until(at(310), FIRST_PART).is_none());
}

#[test]
fn part_is_quarantined_for_longer_each_time() {
    let mut tally = CrashTally::default();
    count_requests(&mut tally, part(BAD_PART, 1, 0), &[1, 2, 3]);
    let first_end = tally.held_until(at(300), BAD_PART).unwrap();
    assert_eq!(first_end, at(300).after(FIRST_PART_HOLD));
    let again = CountedCrash {
        process: ProcessKey(9),
        at: first_end.after(Duration::from_secs(1)),
    };
    let second_end = tally.on_crash(again.at, part(BAD_PART, 1, 9), again);
    assert_eq!(
        second_end,
        Some((BAD_PART, again.at.after(FIRST_PART_HOLD * 2)))
    );
}

#[test]
fn suspects_have_a_text_form() {
    for suspect in [BAD, BAD_PART] {
        assert_eq!(suspect.to_string().parse(), Ok(suspect));
    }
    assert!("request".parse::<Suspect>().is_err());
}

/// Retries of a sound request are lost one after another while copies of the bad one crash
/// endpoints at the same moment, which count as one crash.
#[test]
fn request_in_flight_at_more_crashes_is_blamed() {
    let mut tally = CrashTally::default();
    let sound = request(70);
    let quick = SuspectNote {
        ran_ms: 1,
        ..note(sound)
    };
    let crashes = [crash(1, 0), crash(2, 2), crash(3, 5), crash(4, 7)];
    for crash in crashes {
        assert!(tally.on_crash(crash.at, note(BAD), crash).is_none());
    }
    let decided =
        [crashes[0], crashes[2], crashes[3]].map(|crash| tally.on_crash(crash.at, quick, crash));
    assert!(decided.iter().flatten().all(|(suspect, _)| *suspect == BAD));
    assert!(tally.held_until(at(20), BAD).is_some());
    assert!(tally.held_until(at(20), sound).is_none());
}

/// The later part's crashes come at the same moment and count as one, the first part's do not.
#[test]
fn later_part_of_the_same_prompts_is_blamed() {
    let mut tally = CrashTally::default();
    let mut decided = Vec::new();
    for (number, ms) in [(1, 0), (2, 5), (3, 100)] {
        let later = part(BAD_PART, 1, number);
        let first = SuspectNote {
            ran_ms: 1,
            ..part(FIRST_PART, 2, 10 + number)
        };
        let crash = crash(number, ms);
        decided.extend(tally.on_crash(crash.at, later, crash));
        decided.extend(tally.on_crash(crash.at, first, crash));
    }
    assert_eq!(decided.len(), 1);
    assert_eq!(decided[0].0, BAD_PART);
}

#[test]
fn repeated_request_is_blamed_before_a_part() {
    let mut tally = CrashTally::default();
    let mut decided = Vec::new();
    for number in 1..=3 {
        let crash = crash(number, number * 4);
        let beside = SuspectNote {
            ran_ms: 1,
            ..part(FIRST_PART, 1, 10 + number)
        };
        decided.extend(tally.on_crash(crash.at, note(BAD), crash));
        decided.extend(tally.on_crash(crash.at, beside, crash));
    }
    assert_eq!(decided.len(), 1);
    assert_eq!(decided[0].0, BAD);
}

#[test]
fn quarantined_part_explains_the_crashes_of_requests() {
    let mut tally = CrashTally::default();
    count(
        &mut tally,
        request(70),
        &[crash(1, 0), crash(2, 100), crash(3, 200)],
    );
    assert!(tally.held_until(at(200), request(70)).is_some());
    let released = tally.explain(at(210), BAD_PART, 1, &[1, 2, 3].map(ProcessKey));
    assert_eq!(released, [request(70)]);
}

/// A sound request that was blamed first goes free when the bad one was in flight at more crashes.
#[test]
fn request_that_was_blamed_for_another_is_released() {
    let mut tally = CrashTally::default();
    let sound = request(70);
    count(
        &mut tally,
        sound,
        &[crash(1, 0), crash(2, 100), crash(3, 200)],
    );
    assert!(tally.held_until(at(200), sound).is_some());
    let all = [1, 2, 3, 4].map(ProcessKey);
    assert!(tally.explain(at(300), BAD, 0, &all[..3]).is_empty());
    assert_eq!(tally.explain(at(300), BAD, 0, &all), [sound]);
}

#[test]
fn request_waits_after_its_second_crash() {
    let mut tally = CrashTally::default();
    count(&mut tally, BAD, &[crash(1, 0)]);
    assert!(tally.settles_at(Fingerprint(7)).is_none());
    count(&mut tally, BAD, &[crash(2, 100)]);
    let settles_at = tally.settles_at(Fingerprint(7)).unwrap();
    assert!((at(200)..at(1_100)).contains(&settles_at));
}

/// The daemon that lost requests with both parts reports the third crash after the others.
#[test]
fn late_report_of_the_later_part_releases_the_first() {
    let mut tally = CrashTally::default();
    let bad = part(BAD_PART, 1, 1);
    for number in [1, 2] {
        let crash = crash(number, number * 100);
        assert!(tally.on_crash(crash.at, bad, crash).is_none());
        let first = tally.on_crash(crash.at, part(FIRST_PART, 2, 10 + number), crash);
        assert!(first.is_none());
    }
    let third = crash(3, 300);
    let decided = tally.on_crash(third.at, part(FIRST_PART, 2, 13), third);
    assert_eq!(decided.map(|(suspect, _)| suspect), Some(FIRST_PART));
    let (processes, depth) = tally.crashes(FIRST_PART);
    tally.explain(third.at, FIRST_PART, depth, &processes);
    let decided = tally.on_crash(third.at, bad, third);
    assert_eq!(decided.map(|(suspect, _)| suspect), Some(BAD_PART));
    let (processes, depth) = tally.crashes(BAD_PART);
    assert_eq!(
        tally.explain(third.at, BAD_PART, depth, &processes),
        [FIRST_PART]
    );
}
