//! Placement end to end: holders that pause, crash and race, lost replies, refusals,
//! reclaim waves and version changes, on endpoints that check the fencing token and
//! endpoints that ignore it.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/store.rs"]
mod store;
#[path = "support/world.rs"]
#[allow(dead_code, reason = "other tests use the rest of it")]
mod world;

use std::time::Duration;

use fleet::system;
use laburnumstall_core::cloud::ReclaimNotice;
use laburnumstall_core::placement::{DRAIN_TIME, SURPLUS_TIME};
use laburnumstall_core::prelude::*;
use laburnumstall_core::resources::Market;
use world::World;

const MINUTE: Duration = Duration::from_secs(60);

fn set_version(world: &mut World, version: &str) {
    let model = world.system.services[0].model.as_mut().unwrap();
    model.version = version.parse().unwrap();
    world.configuration += 1;
}

/// Fails without `is_current` in `Placement::may_send`, or if `LastOrder::settled_at` does
/// not wait for unanswered copies.
#[test]
fn no_conflicting_orders_and_no_vm_paid_twice() {
    let mut takeovers = 0;
    for seed in 0..1_000 {
        let mut world = World::new(seed, system(2));
        world.system.services[0].checks_fencing = seed % 2 == 0;
        world.holds_two_versions = seed % 3 != 0;
        world.fault_percent = 25;
        for round in 0..6 {
            let index = world.rng.usize(0..2);
            let pause = Duration::from_millis(world.rng.u64(0..20_000));
            match world.rng.u32(0..4) {
                0 => world.daemons[index].paused_until = world.now.after(pause),
                1 => world.restart(index),
                2 => set_version(&mut world, ["v1", "v2"][round % 2]),
                _ => world.store.is_down = !world.store.is_down,
            }
            let time = Duration::from_millis(world.rng.u64(0..20_000));
            world.run_for(time);
        }
        world.fault_percent = 0;
        world.store.is_down = false;
        assert!(world.settle(5 * MINUTE), "seed {seed} does not settle");
        let slots = world.slots().unwrap().len();
        assert_eq!(world.cloud.by_token.len(), slots, "seed {seed} paid twice");
        let mut daemons = world.daemons.iter();
        let token = daemons.find_map(|daemon| daemon.placement.lease().token(world.now));
        takeovers += u64::from(token.unwrap() > FencingToken(1));
    }
    assert!(takeovers > 500);
}

/// Fails without the union of versions in `EndpointOrders::next_loads`.
#[test]
fn versions_change_without_capacity_loss_if_both_fit() {
    let mut world = World::new(7, system(20));
    assert!(world.settle(5 * MINUTE));
    let before = world.serving();
    set_version(&mut world, "v2");
    let end = world.now.after(10 * MINUTE);
    while world.now < end && !world.is_settled() {
        world.step();
        assert_eq!(world.serving(), before, "at {}", world.now);
    }
    assert!(world.is_settled());
}

/// Fails without `others_serve` in `EndpointOrders::next_loads`.
#[test]
fn versions_change_one_endpoint_at_a_time_if_one_fits() {
    let mut world = World::new(7, system(20));
    world.holds_two_versions = false;
    assert!(world.settle(5 * MINUTE));
    let before = world.serving();
    set_version(&mut world, "v2");
    let end = world.now.after(30 * MINUTE);
    while world.now < end && !world.is_settled() {
        world.step();
        assert!(world.serving() + 1 >= before, "at {}", world.now);
    }
    assert!(world.is_settled());
}

/// Fails without the check of listed tokens in `Planner::new`.
#[test]
fn a_second_zone_is_lost_before_recovery_and_the_holder_restarts_each_time() {
    for step in 0..60 {
        let mut world = World::new(step, system(10));
        assert!(world.settle(5 * MINUTE));
        for (lost, wait_steps) in [("a", step), ("b", 60 - step)] {
            let zone: AvailabilityZone = lost.parse().unwrap();
            world.remove_vms(|vm| vm.zone == zone);
            for class in ["large", "small"] {
                let refused = fleet::offer(class, Market::Reclaimable, lost);
                world.cloud.refused.insert(refused);
            }
            world.run_for(Duration::from_millis(250 * wait_steps));
            let holder = world
                .daemons
                .iter()
                .position(|daemon| daemon.placement.lease().may_order(world.now));
            world.restart(holder.unwrap_or(0));
        }
        assert!(world.settle(10 * MINUTE), "step {step}");
        let provisioned = world.cloud.by_token.len();
        world.run_for(MINUTE);
        assert_eq!(
            world.cloud.by_token.len(),
            provisioned,
            "step {step} keeps requesting VMs"
        );
    }
}

/// Fails without the comparison of `Basis` in `Placement::replan`.
#[test]
fn a_notice_starts_replacement_at_once() {
    let mut world = World::new(7, system(10));
    assert!(world.settle(5 * MINUTE));
    let before = world.cloud.by_token.len();
    let zone: AvailabilityZone = "a".parse().unwrap();
    let deadline = world.now.after(Duration::from_secs(5));
    for owned in &world.cloud.vms {
        if owned.vm.zone == zone {
            let vm = owned.vm.id.clone();
            let notice = ReclaimNotice { vm, deadline };
            for daemon in &mut world.daemons {
                daemon.placement.on_notice(&notice);
            }
        }
    }
    world.run_for(Duration::from_secs(1));
    assert!(world.cloud.by_token.len() > before);
}

/// Fails if `VmRequests::on_unknown` does not list again before a new plan.
#[test]
fn a_lost_reply_and_a_refusal_of_the_same_offer_request_no_vm_twice() {
    for lost in 1..8 {
        let mut world = World::new(7, system(12));
        world.cloud.max_per_offer = Some(1);
        world.lost_grants = lost;
        assert!(world.settle(5 * MINUTE), "{lost} replies lost");
        let slots = world.slots().unwrap().len();
        assert_eq!(world.cloud.by_token.len(), slots, "{lost} replies lost");
    }
}

/// Fails without `Refusals::refuse` in `VmRequests::on_reply`.
#[test]
fn a_class_that_is_refused_everywhere_backs_off_and_is_replaced() {
    let mut world = World::new(7, system(10));
    assert!(world.settle(5 * MINUTE));
    let preferred_class = world.slots().unwrap()[0].offer.class.clone();
    let mut world = World::new(7, system(10));
    for zone in ["a", "b", "c"] {
        for market in [Market::Reclaimable, Market::OnDemand] {
            let refused = fleet::offer(preferred_class.as_str(), market, zone);
            world.cloud.refused.insert(refused);
        }
    }
    assert!(world.settle(5 * MINUTE));
    let slots = world.slots().unwrap();
    assert!(slots.iter().all(|slot| slot.offer.class != preferred_class));
    let refusals = world.journal.take();
    let back_offs = refusals.iter().filter(|d| d.choice == "back-off").count();
    assert!((1..30).contains(&back_offs), "{back_offs} refusals");
}

/// Fails without `SURPLUS_TIME` in `VmRequests::drain`.
#[test]
fn surplus_vms_are_drained_and_released_after_their_replacements_are_ready() {
    let mut world = World::new(7, system(20));
    assert!(world.settle(5 * MINUTE));
    let before = world.cloud.vms.len();
    world.system.services[0].target.as_mut().unwrap().requests = RequestRate(6);
    world.configuration += 1;
    world.run_for(SURPLUS_TIME);
    assert_eq!(world.cloud.vms.len(), before, "hysteresis");
    world.run_for(DRAIN_TIME + 2 * MINUTE);
    let slots = world.slots().unwrap().len();
    assert!(slots < before && world.cloud.vms.len() == slots && world.is_settled());
}

/// Fails without `is_ready` in `Placement::tick`.
#[test]
fn no_vm_is_released_while_its_replacement_loads() {
    let mut world = World::new(7, system(10));
    assert!(world.settle(5 * MINUTE));
    let before = world.serving();
    let preferred_class = world.slots().unwrap()[0].offer.class.clone();
    for class in &mut world.system.classes {
        class.reclaimable.0 *= if class.name == preferred_class { 8 } else { 1 };
    }
    world.configuration += 1;
    world.load_time = 2 * (SURPLUS_TIME + DRAIN_TIME);
    let end = world.now.after(world.load_time);
    while world.now < end {
        world.step();
        assert!(world.serving() >= before, "at {}", world.now);
    }
    world.run_for(SURPLUS_TIME + DRAIN_TIME + 2 * MINUTE);
    assert!(world.is_settled() && world.cloud.vms.len() == world.slots().unwrap().len());
}
