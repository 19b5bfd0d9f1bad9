//! Scaling of endpoints, simulated with a platform that reclaims whole zones.

use std::time::Duration;

use crate::scaling_world::{BOOT_MS, STEP_MS, World, ZONES};
use crate::support::scaling;
use laburnumstall_core::gateway::{Scaler, ScalingRule};

/// Fails if the plan keeps the on-demand endpoints, or alternates between orders.
#[test]
fn steady_load_becomes_cheap() {
    let mut world = World::new();
    world.run(10, 0.0);
    world.run(30, 4.0);
    let (cost, orders) = (world.cost, world.orders);
    world.run(60, 4.0);
    let cost_per_second = (world.cost - cost) / 60.0;
    assert!(
        cost_per_second < 6.0,
        "{cost_per_second} a second; twelve on-demand endpoints cost 12.2"
    );
    assert!(world.serving() >= 14, "{} serve", world.serving());
    assert_eq!(world.orders, orders, "flapping");
}

/// While all zones are reclaimed one after the other and have no capacity, the load is still
/// served: only while replacements boot may fewer engines than needed serve. Fails without
/// `is_loss` in `Pool::due`, and if blocked zones count as offers.
#[test]
fn load_is_served_through_reclaims() {
    let mut world = World::new();
    world.run(10, 0.0);
    world.run(30, 4.0);
    let mut short = 0;
    for zone in ZONES {
        world.reclaim_zone(zone, Duration::from_secs(14));
        for _ in 0..6 * 1_000 / STEP_MS {
            world.step(4.0);
            short += u32::from(world.serving() < 4);
        }
    }
    for _ in 0..10 * 1_000 / STEP_MS {
        world.step(4.0);
        short += u32::from(world.serving() < 6);
    }
    assert!(
        u64::from(short) <= BOOT_MS * 5 / 4 / STEP_MS,
        "short for {short} steps"
    );
    world.run(30, 4.0);
    assert!(
        world.on_demand() <= 3,
        "{} on-demand endpoints stay",
        world.on_demand()
    );
}

/// A new lease holder without a measurement releases nothing. Fails without `is_known`.
#[test]
fn new_lease_holder_releases_nothing() {
    let mut world = World::new();
    world.run(10, 0.0);
    world.run(30, 6.0);
    let serving = world.serving();
    world.scaler = Scaler::default();
    for _ in 0..7 * 1_000 / STEP_MS {
        world.step(6.0);
        assert!(
            world.serving() >= serving,
            "{} of {serving}",
            world.serving()
        );
    }
}

/// Fails if the peak of a wave is not held through its trough.
#[test]
fn peak_is_held_through_trough() {
    let mut world = World::new();
    world.run(10, 0.0);
    world.run(20, 6.0);
    let serving = world.serving();
    world.run(15, 3.0);
    assert!(
        world.serving() + 1 >= serving,
        "{} of {serving}",
        world.serving()
    );
}

/// A zone full of reclaimable endpoints hides no shortfall: the load that they do not carry is
/// met by on-demand endpoints ordered in the other zones. Fails if `targets` counts
/// unavailable reclaimable endpoints.
#[test]
fn full_zone_hides_no_shortfall() {
    let mut world = World::new();
    world.run(10, 0.0);
    world.run(30, 8.0);
    world.reclaim_zone("north-b", Duration::from_secs(30));
    world.reclaim_zone("north-c", Duration::from_secs(30));
    world.run(12, 8.0);
    assert!(
        world.serving() >= 13,
        "{} serve a load of 8",
        world.serving()
    );
}

/// After the loss of the first zone the plan allows for the loss of the others: when the last
/// zone is lost, the on-demand endpoints carry the load at its limit. Fails with `BASE_LOAD`
/// for `SHORTAGE_LOAD`, or if endpoints are released between two losses.
#[test]
fn waves_of_reclaims_are_expected() {
    let mut world = World::new();
    world.run(10, 0.0);
    world.run(30, 6.0);
    for zone in ZONES {
        world.reclaim_zone(zone, Duration::from_secs(14));
        // The load is a little lower during the reclaims.
        world.run(6, 5.0);
        assert!(
            world.serving() >= 6,
            "{} serve after {zone}",
            world.serving()
        );
    }
}

/// A zone that is lost while fewer endpoints are wanted than were ordered is ordered again.
/// Fails if `Pool::due` skips the check for losses when fewer are wanted.
#[test]
fn loss_after_lower_load_is_replaced() {
    let rule = ScalingRule {
        max: 60,
        ..scaling()
    };
    // The plan assumes a load of 38 until one is measured, while the first zone is lost.
    let mut world = World::with(rule, 30);
    world.run(14, 0.0);
    world.run(6, 21.0);
    for zone in ["north-c", "north-b"] {
        world.reclaim_only_zone(zone, Duration::from_secs(30));
        world.run(3, 21.0);
    }
    world.reclaim_only_zone("north-a", Duration::from_secs(2));
    world.run(10, 21.0);
    let back = world.ordered.get(&("north-a".to_owned(), true));
    assert!(back.is_some_and(|count| *count >= 20), "{back:?} ordered");
}
