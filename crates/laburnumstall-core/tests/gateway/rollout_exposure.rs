//! How many calls the new version gets, summed over all daemons.

use crate::rollout_world::{DURATION_MS, World};
use laburnumstall_core::gateway::RolloutPhase;

/// Runs a good version in a fleet until it moves, and checks its share at each time.
fn assert_share(daemons: u32, calls_per_ms: f64) {
    let mut world = World::new(daemons, 3, Box::new(|_| (1.0, 0.0)));
    world.calls_per_ms = Box::new(move |_| calls_per_ms);
    for ms in (500..DURATION_MS - 1_600).step_by(500) {
        world.run_until(ms);
        let (all, new) = world.exposure();
        assert!(
            new as f64 <= all as f64 * 0.1 + 50.0,
            "{ms}: {new} of {all}"
        );
    }
    let (all, new) = world.exposure();
    println!("{daemons} daemons: {new} of {all}");
    assert!(new as f64 >= all as f64 * 0.02, "{new} of {all}");
    world.run_until(DURATION_MS);
    assert_eq!(world.phase(), Some(RolloutPhase::Complete));
}

/// The sum of the shares of all daemons exceeded the bound, or rounding left the version without
/// calls.
#[test]
fn share_holds_in_small_fleet() {
    assert_share(4, 0.3);
}

/// The same at the size of a deployment.
#[test]
fn share_holds_in_fleet_of_35() {
    assert_share(35, 0.4);
}

/// The same in a fleet in which a daemon sees a handful of calls, and hears from no peer.
#[test]
fn share_holds_in_fleet_of_880() {
    assert_share(880, 0.4);
}

/// Daemons that restarted or were cut off sent more than their share.
#[test]
fn restarted_and_partitioned_daemons_keep_their_share() {
    let mut world = World::new(
        4,
        5,
        Box::new(|run| (1.0, if run.is_new { 0.4 } else { 0.0 })),
    );
    world.cut.insert(3);
    for ms in (2_500..10_000).step_by(1_500) {
        world.run_until(ms);
        world.restart(1);
    }
    world.run_until(DURATION_MS);
    let (all, new) = world.exposure();
    println!("{new} of {all}");
    assert_eq!(world.phase(), Some(RolloutPhase::Reverted));
    assert!(new as f64 <= all as f64 * 0.1 + 50.0, "{new} of {all}");
}
