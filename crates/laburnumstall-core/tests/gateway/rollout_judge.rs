//! Which versions are found to be bad, and which are not.

use crate::rollout_world::{DURATION_MS, Quality, Run, World};
use laburnumstall_core::gateway::RolloutPhase;

/// Time after the fiftieth bad response in which calls may still be sent.
const ROLLBACK_MS: u64 = 5_000;
/// Duration of an order in whose last tenth a version can be judged.
const LONG_MS: u64 = 30_000;
/// Half of the load of an old endpoint at the rate of the tests.
const HALF_LOAD: f64 = 0.25;

fn endpoint_speed(run: &Run, seed: u64) -> f64 {
    if (run.endpoint as u64 + seed).is_multiple_of(3) {
        1.7
    } else {
        0.7
    }
}

/// Runs a bad version, and checks that it is reverted in time and within the bounds.
fn assert_reverted(name: &str, duration_ms: u64, quality: fn(&Run) -> (f64, f64)) {
    for seed in 1..=5 {
        let mut world = World::new(4, seed, Box::new(quality));
        world.duration_ms = duration_ms;
        world.calls_per_ms = Box::new(|_| 0.45);
        world.run_until(duration_ms + 500);
        let (all, new) = world.exposure();
        let at = world
            .stored
            .as_ref()
            .map(|(stored, _)| (stored.phase, stored.elapsed_ms));
        let (last, fiftieth) = world.last_new_and_bad(50);
        println!("{name} {seed}: {at:?}, {new} of {all}, last {last}, 50th bad {fiftieth:?}");
        assert_eq!(world.phase(), Some(RolloutPhase::Reverted), "{name} {seed}");
        assert!(
            new as f64 <= all as f64 * 0.1 + 50.0,
            "{name} {seed}: {new} of {all}"
        );
        if let Some(fiftieth) = fiftieth {
            assert!(last <= fiftieth + ROLLBACK_MS, "{name} {seed}");
        }
    }
}

/// A version that fails 30 in 100 calls from the start on was moved to.
#[test]
fn version_that_fails_is_reverted() {
    assert_reverted("fails", DURATION_MS, |run| {
        (1.0, if run.is_new { 0.3 } else { 0.0 })
    });
}

/// A version that fails on one route only was hidden by the other ones.
#[test]
fn version_bad_on_one_route_is_reverted() {
    assert_reverted("one route", DURATION_MS, |run| {
        let is_bad = run.is_new && run.route == "order";
        (1.0, if is_bad { 0.5 } else { 0.02 })
    });
}

/// A version that takes three times the time under load only was moved to.
#[test]
fn version_slow_under_load_is_reverted() {
    assert_reverted("slow", DURATION_MS, |run| {
        let is_bad = run.is_new && run.load > HALF_LOAD;
        (if is_bad { 3.0 } else { 1.0 }, 0.0)
    });
}

/// A version that turns bad while its calls are moved was hidden by its good start.
#[test]
fn version_that_turns_bad_late_is_reverted() {
    assert_reverted("late", LONG_MS, |run| {
        let is_bad = run.is_new && run.ms >= LONG_MS * 9 / 10;
        (1.0, if is_bad { 0.5 } else { 0.0 })
    });
}

/// Returns what a sound version does beside disturbances that meet any endpoint.
fn noisy(seed: u64) -> Quality {
    Box::new(move |run: &Run| {
        let phase = (run.ms + seed * 331 + run.endpoint as u64 * 1_777) % 4_000;
        let is_disturbed = phase < 600;
        let is_cold = run.is_new && run.ms < 3_500;
        let is_burst = (run.ms / 500 + seed).is_multiple_of(9);
        let mut factor = endpoint_speed(run, seed);
        factor *= if is_disturbed { 2.5 } else { 1.0 };
        factor *= if is_cold || is_burst { 2.0 } else { 1.0 };
        (factor, if run.route == "read" { 0.14 } else { 0.01 })
    })
}

/// A good version was reverted because of chance, a burst, crashes, disturbed or cold endpoints.
#[test]
fn good_version_under_noise_is_complete() {
    let mut reverted = Vec::new();
    for seed in 1..=200 {
        let mut world = World::new(3, seed, noisy(seed));
        world.calls_per_ms = Box::new(move |ms| {
            let is_burst = (ms / 500 + seed).is_multiple_of(9);
            if is_burst { 0.45 } else { 0.3 }
        });
        let crashes =
            (0..8).map(|n| (2_000 + n * 1_000 + seed * 13, 10 + (seed + n) as usize % 10));
        world.crashes = crashes.collect();
        world.run_until(DURATION_MS);
        let (stored, _) = world.stored.as_ref().unwrap();
        if stored.phase != RolloutPhase::Complete {
            reverted.push((seed, stored.phase, stored.reason.clone()));
        }
    }
    assert!(reverted.is_empty(), "{reverted:?}");
}

/// In a fleet that does not send evidence from all to all, a bad version was not stopped in time, or
/// the evidence of a good one cost too much.
#[test]
fn large_fleet_judges_within_its_budget() {
    for (failure, phase) in [(0.4, RolloutPhase::Reverted), (0.0, RolloutPhase::Complete)] {
        let quality = move |run: &Run| (1.0, if run.is_new { failure } else { 0.0 });
        let mut world = World::new(86, 2, Box::new(quality));
        world.calls_per_ms = Box::new(|_| 0.45);
        world.run_until(DURATION_MS);
        let (all, new) = world.exposure();
        let (last, fiftieth) = world.last_new_and_bad(50);
        let bytes = world.received_bytes.iter().max().unwrap() * 1_000 / DURATION_MS as usize;
        println!("{phase}: {new} of {all}, last {last}, 50th bad {fiftieth:?}, {bytes} B/s");
        assert_eq!(world.phase(), Some(phase));
        assert!(fiftieth.is_none_or(|ms| last <= ms + ROLLBACK_MS));
        assert!(bytes <= 4_096, "{bytes}");
    }
}
