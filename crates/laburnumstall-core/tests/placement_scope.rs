//! What placement never changes: anything if the configuration has no targets, VMs that it
//! did not provision, and VMs that serve a service without a target.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/store.rs"]
mod store;
#[path = "support/world.rs"]
#[allow(dead_code, reason = "other tests use the rest of it")]
mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fleet::{granted, offer, service, system};
use laburnumstall_core::cloud::{EndpointOrder, LoadOrder, OwnedVm};
use laburnumstall_core::placement::{
    DRAIN_TIME, Placement, PlacementInput, PlanSlot, SURPLUS_TIME,
};
use laburnumstall_core::prelude::*;
use laburnumstall_core::resources::{Market, TargetLoad};
use world::World;

const MINUTE: Duration = Duration::from_secs(60);

/// Long enough for a surplus VM to be drained and released.
const LONG: Duration = SURPLUS_TIME
    .saturating_add(DRAIN_TIME)
    .saturating_add(MINUTE);

fn set_target(world: &mut World, index: usize, target: Option<TargetLoad>) -> Option<TargetLoad> {
    world.configuration += 1;
    std::mem::replace(&mut world.system.services[index].target, target)
}

/// Returns what each VM has loaded.
fn loaded(world: &World) -> BTreeMap<VmId, Vec<LoadOrder>> {
    let engines = world.engines.values();
    engines.map(|e| (e.vm.clone(), e.loads.clone())).collect()
}

/// Returns the VMs that were drained.
fn drained(world: &World) -> BTreeSet<VmId> {
    let decisions = world.journal.decisions().iter();
    let drains = decisions.filter(|decision| decision.choice == "drain");
    drains
        .filter_map(|decision| decision.field("vm")?.parse().ok())
        .collect()
}

fn holders(world: &World) -> usize {
    let daemons = world.daemons.iter();
    daemons
        .filter(|daemon| daemon.placement.lease().may_order(world.now))
        .count()
}

fn vm(token: &str, zone: &str) -> OwnedVm {
    granted(&PlanSlot {
        token: token.parse().unwrap(),
        offer: offer("large", Market::Reclaimable, zone),
        pool: "answers".parse().unwrap(),
        loads: Vec::new(),
        vm: None,
    })
}

/// Fails without `is_enabled` in `Placement::tick`: a plan without pools has no VMs.
#[test]
fn a_configuration_without_targets_changes_nothing() {
    let mut world = World::new(7, system(10));
    assert!(world.settle(5 * MINUTE));
    world.run_for(MINUTE);
    let (before, orders) = (loaded(&world), world.orders);
    let target = set_target(&mut world, 0, None);
    world.run_for(LONG);
    assert_eq!(holders(&world), 0);
    assert_eq!((loaded(&world), world.orders), (before.clone(), orders));
    set_target(&mut world, 0, target);
    assert!(world.settle(5 * MINUTE));
    world.run_for(LONG);
    assert_eq!(loaded(&world), before);
}

/// Fails without `has_targets` in `Placement::may_send`.
#[test]
fn an_order_issued_before_the_target_is_removed_is_not_sent() {
    let mut world = World::new(7, system(20));
    assert!(world.settle(5 * MINUTE));
    let mut untargeted = world.system.clone();
    untargeted.services[0].target = None;
    let model = world.system.services[0].model.as_mut().unwrap();
    model.version = "v2".parse().unwrap();
    world.configuration += 1;
    let end = world.now.after(5 * MINUTE);
    while world.now < end {
        world.step();
        let Some((placement, order)) = next_order(&world) else {
            continue;
        };
        assert!(placement.may_send(world.now, &order, &world.system));
        assert!(!placement.may_send(world.now, &order, &untargeted));
        return;
    }
    panic!("no order was issued");
}

/// Returns an order that the holder would issue now with an unlimited number of concurrent
/// loads.
fn next_order(world: &World) -> Option<(Placement, EndpointOrder)> {
    let mut daemons = world.daemons.iter();
    let holder = daemons.find(|daemon| daemon.placement.lease().may_order(world.now))?;
    let mut placement = holder.placement.clone();
    let input = PlacementInput {
        system: &world.system,
        configuration: Revision(world.configuration),
        share_permille: 1_000,
        max_concurrent_loads: usize::MAX,
    };
    let output = placement.tick(world.now, &input, &mut Journal::default());
    let order = output.orders.into_iter().next()?;
    Some((placement, order))
}

/// Fails without `serves_untargeted` in `Scope::is_own`. The holders restart, so that they
/// have no observations at first.
#[test]
fn a_service_that_loses_its_target_keeps_its_vms() {
    let mut system = system(10);
    let mut other = service("drafts", 10, &["large", "small"]);
    other.model.as_mut().unwrap().model = "other".parse().unwrap();
    system.services.push(other);
    let mut world = World::new(7, system);
    assert!(world.settle(5 * MINUTE));
    world.run_for(MINUTE);
    let before = loaded(&world);
    let serving = world.serving();
    set_target(&mut world, 1, None);
    for daemon in 0..world.daemons.len() {
        world.restart(daemon);
    }
    world.run_for(LONG);
    assert_eq!(loaded(&world), before);
    assert_eq!(world.serving(), serving);
}

/// Fails without `has_token_of` or the check of the zone's region in `Scope::is_own`.
#[test]
fn unmanaged_vms_are_neither_used_nor_released() {
    let mut world = World::new(7, system(10));
    let mut far = fleet::zone("far", 1_000);
    far.region = "south".parse().unwrap();
    world.system.zones.push(far);
    let mut unknown = vm("none", "a");
    unknown.token = None;
    for owned in [unknown, vm("tool-1", "a"), vm("north-9-9-0", "far")] {
        world.add_vm(owned, Vec::new());
    }
    let unmanaged = loaded(&world);
    assert!(world.settle(5 * MINUTE));
    world.run_for(LONG);
    let after = loaded(&world);
    for (vm, loads) in unmanaged {
        assert_eq!(after.get(&vm), Some(&loads), "{vm}");
    }
}

/// Fails without `is_drained` in `Placement::replan`: the plan would count a VM to which the
/// daemons send no work.
#[test]
fn a_drained_vm_is_not_planned_again() {
    let mut world = World::new(7, system(20));
    assert!(world.settle(5 * MINUTE));
    let target = world.system.services[0].target.clone();
    let lower = target.clone().map(|target| TargetLoad {
        requests: RequestRate(6),
        ..target
    });
    set_target(&mut world, 0, lower);
    let end = world.now.after(LONG);
    while world.now < end && drained(&world).is_empty() {
        world.step();
    }
    let drained = drained(&world);
    assert!(!drained.is_empty());
    set_target(&mut world, 0, target);
    assert!(world.settle(5 * MINUTE));
    world.run_for(LONG);
    let loaded_vms = loaded(&world);
    assert!(world.is_settled());
    assert!(drained.iter().all(|vm| !loaded_vms.contains_key(vm)));
}
