//! Random walks with every fault: the promises that hold without notice of a loss.
//!

use laburnumstall_testkit::WorldSpec;
use laburnumstall_testkit::walk::{Faults, walk};

/// Walks in one run.
const WALKS: u64 = 60;

/// Steps of one walk, each followed by a wait.
const STEPS: usize = 100;

#[test]
fn promises_hold_under_all_faults() {
    for seed in 1..=WALKS {
        let spec = WorldSpec {
            seed,
            orders_check_keys: seed % 3 == 0,
            ..WorldSpec::default()
        };
        if let Err(broken) = walk(&spec, STEPS, Faults::All) {
            panic!("{broken}");
        }
    }
}
