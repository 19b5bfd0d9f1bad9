//! Scaling by the capacity of endpoints, and through losses announced in advance.

use std::time::Duration;

use crate::scaling_world::{STEP_MS, World, ZONES};
use crate::support::scaling;
use laburnumstall_core::gateway::ScalingRule;

/// Two thirds take 0.7 times the time, one third 1.7 times.
const MIXED_SPEED: fn(usize) -> f64 = |n| if n % 3 == 2 { 1.7 } else { 0.7 };
/// All take 1.7 times the time.
const SLOW_SPEED: fn(usize) -> f64 = |_| 1.7;

fn large() -> ScalingRule {
    ScalingRule {
        max: 60,
        ..scaling()
    }
}

/// Returns the world after a steady load of `load` for 60 s.
fn steady(speed: fn(usize) -> f64, load: f64) -> World {
    let mut world = World::with(large(), 10);
    world.speed = speed;
    world.run(5, 0.0);
    world.run(60, load);
    world
}

/// A steady load of 8 on engines of three speeds: a fleet is as large as the work that it
/// carries needs, and its size stays. Fails if endpoints are counted without their speeds.
#[test]
fn fleet_fits_speeds() {
    let typical = steady(|_| 1.0, 8.0);
    for speed in [MIXED_SPEED, SLOW_SPEED] {
        let mut world = steady(speed, 8.0);
        let ratio = world.carried() / typical.carried();
        assert!((0.9..1.25).contains(&ratio), "carries {ratio:.2} times");
        let orders = world.orders;
        world.run(60, 8.0);
        assert_eq!(world.orders, orders, "flapping");
    }
}

/// Speeds that differ by less than an eighth are alike: the orders are the same, as many and
/// as large. Fails if capacities are not counted in steps.
#[test]
fn alike_speeds_change_nothing() {
    let plain = steady(|_| 1.0, 8.0);
    let alike = steady(|n| [0.95, 1.0, 1.08][n % 3], 8.0);
    assert_eq!(alike.ordered, plain.ordered);
    assert_eq!(alike.orders, plain.orders);
}

/// Three zones are lost, one every 1.5 or 3.5 s, each with a notice of 2 s, and refuse
/// reclaimable endpoints for 15 s, under a load of 20 on engines of two speeds. What serves
/// carries the load at all times, and nothing is released and ordered again. Fails if leaving
/// endpoints count until they are gone.
#[test]
fn three_losses_in_ten_seconds() {
    for interval in [1_500, 3_500] {
        let mut world = steady(MIXED_SPEED, 20.0);
        let changes = world.changes.len();
        let mut lowest = f64::MAX;
        for step in 0..40_000 / STEP_MS {
            let at = step * STEP_MS;
            if at.is_multiple_of(interval)
                && let Some(zone) = ZONES.get((at / interval) as usize)
            {
                world.announce_loss(zone, 2_000, Duration::from_secs(15));
            }
            world.step(20.0);
            lowest = lowest.min(world.carried());
        }
        world.changes.drain(..changes);
        assert!(lowest >= 20.0, "{interval}: {lowest:.1} left of 20");
        assert_eq!(world.ordered_again(), 0, "{:?}", world.changes);
    }
}

/// The first on-demand endpoints are released once reclaimable ones serve and the load is known,
/// and not while it varies. Fails without `DemandMeter::early_rate`, and without its `is_settled`.
#[test]
fn start_waits_for_evidence() {
    let released_at = |world: &mut World, loads: [f64; 2]| {
        let count = world.on_demand();
        world.step(0.0);
        for step in 0..80 {
            world.step(loads[step % 2]);
            if world.on_demand() < count {
                return world.now_ms;
            }
        }
        panic!("no on-demand endpoint is released");
    };
    let plain = released_at(&mut World::with(large(), 20), [20.0; 2]);
    let mut world = World::with(large(), 20).with_engine();
    let steady = released_at(&mut world, [20.0; 2]);
    world.run(20, 20.0);
    assert_eq!(world.ordered_again(), 0, "{:?}", world.changes);
    let varied = World::with(large(), 20);
    let varied = released_at(&mut varied.with_engine(), [40.0, 0.0]);
    assert!(
        steady + 3_000 <= plain,
        "{steady} ms, {plain} without an engine"
    );
    assert_eq!(varied, plain);
}

/// Streams with short prompts and long answers fill the batches of 20 engines, whose prefill would
/// take two: the fleet has slots for them, and few while few calls run. Without an engine nothing
/// changes. Fails without `SlotMeter`.
#[test]
fn long_streams_need_slots() {
    let serving = |mut world: World, calls: u64| {
        world.run(5, 0.0);
        world.calls = calls;
        world.run(60, 2.0);
        world.serving()
    };
    let plain = World::with(large(), 10);
    assert!(serving(plain, 20 * 48) < 20);
    let engines = serving(World::with(large(), 10).with_engine(), 20 * 48);
    // From the highest sustained load, 20 / 0.6, to the headroom for lost zones, 20 / 0.22.
    assert!((33..=91).contains(&engines), "{engines}");
    let few = serving(World::with(large(), 10).with_engine(), 48);
    assert!(few < 20, "{few}");
}

/// A zone is lost while the platform has reclaimable endpoints everywhere: the base that carries
/// the load alone is ordered in the next plan, at the notice. Without an engine nothing changes.
/// Fails without `ServiceState::on_listed`.
#[test]
fn base_is_raised_at_notice() {
    let on_demand_after = |world: &mut World| {
        world.run(5, 0.0);
        world.run(60, 20.0);
        world.announce_loss(ZONES[0], 2_000, Duration::ZERO);
        world.step(20.0);
        let at_notice = world.on_demand();
        world.run(40, 20.0);
        (at_notice, world.on_demand())
    };
    let with_engine = on_demand_after(&mut World::with(large(), 10).with_engine());
    assert_eq!(with_engine, (20, 10));
    assert_eq!(on_demand_after(&mut World::with(large(), 10)), (10, 10));
}

/// A burst of 3 s at 1.8 times the load orders nothing; one that lasts is followed within 15 s, and
/// so is at once a load that the endpoints do not carry. Fails if the plan follows the average.
#[test]
fn short_burst_is_not_chased() {
    let mut world = World::with(large(), 10).with_engine();
    world.run(5, 0.0);
    world.run(60, 20.0);
    let (orders, serving) = (world.orders, world.serving());
    world.run(3, 36.0);
    world.run(20, 20.0);
    assert_eq!(world.orders, orders, "{:?}", world.changes);
    world.run(15, 36.0);
    assert!(world.serving() * 10 >= serving * 16, "{}", world.serving());
    let orders = world.orders;
    world.run(3, 150.0);
    assert!(world.orders > orders);
}

/// Calls that come in one second of four are carried though most seconds have none. Fails if the
/// median counts whatever it is.
#[test]
fn sparse_calls_are_carried() {
    let mut world = World::with(large(), 10).with_engine();
    world.run(5, 0.0);
    for second in 0..80 {
        world.run(1, if second % 4 == 0 { 40.0 } else { 0.0 });
        let least = if second < 30 { 10.0 } else { 24.0 };
        assert!(
            world.carried() >= least,
            "{:.1} after {second} s",
            world.carried()
        );
    }
}

/// Waves of 30 % over 40 s are carried without endpoints that are released and ordered again.
#[test]
fn waves_are_carried() {
    let mut world = World::with(large(), 10).with_engine();
    world.run(5, 0.0);
    world.run(40, 20.0);
    let start = world.now_ms;
    for step in 0..640_u32 {
        let phase = f64::from(step) / 160.0 * std::f64::consts::TAU;
        let load = 20.0 * (1.0 + 0.15 * phase.sin());
        world.step(load);
        assert!(world.carried() >= load / 0.6, "{:.1}", world.carried());
    }
    world.changes.retain(|(at, ..)| *at > start + 40_000);
    assert_eq!(world.ordered_again(), 0, "{:?}", world.changes);
}

/// The holder of the lease changes while the load rises in a wave of 30 % over 40 s: the next one
/// knows the load, releases nothing that the wave needs and orders no more than the first one
/// would have. Fails if only the holder observes the load.
#[test]
fn holder_changes_in_wave() {
    let wave = |world: &mut World, changes: bool| {
        let mut most = 0;
        for step in 0..160_u32 {
            let phase = f64::from(step) / 160.0 * std::f64::consts::TAU;
            if changes && step == 30 {
                world.scaler.reset();
            }
            world.step(10.0 * (1.0 + 0.15 * phase.sin()));
            most = most.max(world.ordered_count());
            assert!(
                world.carried() >= 10.0 * 1.15 / 0.6,
                "{:.1}",
                world.carried()
            );
        }
        most
    };
    let kept = wave(&mut steady(MIXED_SPEED, 10.0), false);
    let changed = wave(&mut steady(MIXED_SPEED, 10.0), true);
    assert!(changed <= kept + 2, "{changed} ordered, else {kept}");
}

/// Orders are executed and their answers lost for 6 s after a loss: no endpoint is ordered twice.
/// Fails if a number to add is ordered in place of the desired number.
#[test]
fn orders_without_answer() {
    let mut world = steady(|_| 1.0, 10.0);
    let before = world.ordered_count();
    world.no_answer_until = world.now_ms + 6_000;
    world.lose(ZONES[1]);
    world.run(20, 10.0);
    assert_eq!(world.ordered_count(), before);
}
