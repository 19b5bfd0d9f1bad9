//! Random walks with every fault: the promises that hold without notice of a loss.
//!
//! Fails without: the lookup of a running request before a refusal (`locate_key` in the
//! core's `accept.rs`), the output commit (`Owned::committed`), the check of positions in
//! `relay.rs`, the epochs in `copies.rs`; each was taken out once and broke a walk.

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
