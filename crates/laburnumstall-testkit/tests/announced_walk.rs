//! Random walks with the faults that the platform announces: nothing accepted is lost.

use laburnumstall_testkit::WorldSpec;
use laburnumstall_testkit::walk::{Faults, walk};

/// Walks in one run.
const WALKS: u64 = 200;

/// Steps of one walk.
const STEPS: usize = 30;

#[test]
fn nothing_is_lost_when_faults_are_announced() {
    for seed in 1..=WALKS {
        let spec = WorldSpec {
            seed,
            ..WorldSpec::default()
        };
        if let Err(broken) = walk(&spec, STEPS, Faults::Announced) {
            panic!("{broken}");
        }
    }
}
