//! Random walks that once broke a promise, each with the cause.

use laburnumstall_testkit::WorldSpec;
use laburnumstall_testkit::walk::{Faults, walk};

/// Steps of one walk, each followed by a wait.
const STEPS: usize = 100;

fn holds(seed: u64) {
    let spec = WorldSpec {
        seed,
        orders_check_keys: seed.is_multiple_of(3),
        ..WorldSpec::default()
    };
    if let Err(broken) = walk(&spec, STEPS, Faults::All) {
        panic!("{broken}");
    }
}

/// An owner whose standby had taken over with an old copy gave way to it.
#[test]
fn dropped_standby_gives_way() {
    for seed in [2769, 2738, 3586] {
        holds(seed);
    }
}

/// A caller came back to an owner with an old copy, which had not met the other one yet.
#[test]
fn early_caller_waits() {
    for seed in [2858, 3793] {
        holds(seed);
    }
}

/// A daemon gave way after its dispatch, took over again, and took its old claim for leave
/// to dispatch once more.
#[test]
fn old_claim_runs_once() {
    holds(647);
}

/// The owner answered "not run" at its deadline while another daemon held the claim.
#[test]
fn claim_elsewhere_may_run() {
    holds(2631);
}
