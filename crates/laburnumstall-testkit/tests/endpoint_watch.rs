//! Each endpoint is read by two daemons, and all daemons learn what they need of it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use laburnumstall_core::ids::{DaemonId, EndpointId};
use laburnumstall_core::watch::{FIRST_UPDATE_TIMEOUT, LOAD_TTL, MAX_READ_PERIOD};
use laburnumstall_testkit::{Condition, Counts, World, WorldSpec, checks, model_request};

/// Time in which every daemon knows its watches and what the others tell.
const SETTLING: Duration = Duration::from_secs(10);

/// Time between two looks at a condition that is waited for.
const LOOK: Duration = Duration::from_millis(50);

fn world(seed: u64) -> World {
    let mut world = World::new(&WorldSpec {
        seed,
        models: 12,
        ..WorldSpec::default()
    });
    world.run_for(SETTLING);
    world
}

/// Lets time pass, and returns who read which endpoint in it.
fn readers(world: &mut World, time: Duration) -> BTreeMap<EndpointId, BTreeSet<DaemonId>> {
    let before: Counts = world.counts.clone();
    world.run_for(time);
    let mut readers: BTreeMap<EndpointId, BTreeSet<DaemonId>> = BTreeMap::new();
    for (endpoint, daemon) in world.counts.since(&before).readers.into_keys() {
        readers.entry(endpoint).or_default().insert(daemon);
    }
    readers
}

/// Returns the numbers of the nodes that read an endpoint.
fn nodes_reading(world: &mut World, endpoint: &EndpointId) -> Vec<usize> {
    let readers = readers(world, SETTLING).remove(endpoint).unwrap();
    readers.iter().filter_map(|id| world.node_of(id)).collect()
}

fn is_failed(world: &World, number: usize, endpoint: &EndpointId) -> bool {
    let entry = world.nodes[number].entry.as_ref();
    entry.is_none_or(|entry| {
        let endpoints = entry.status().endpoints;
        endpoints.iter().any(|e| e.id == *endpoint && e.is_failed)
    })
}

/// Lets time pass until all daemons hold an endpoint for failed, or not.
fn time_until_all(world: &mut World, endpoint: &EndpointId, failed: bool) -> Duration {
    let began = world.now;
    let agrees = |world: &World| {
        (0..world.nodes.len())
            .filter(|number| world.nodes[*number].is_running())
            .all(|number| is_failed(world, number, endpoint) == failed)
    };
    while !agrees(world) {
        world.run_for(LOOK);
        assert!(world.now.since(began) < LOAD_TTL, "{endpoint} {failed}");
    }
    world.now.since(began)
}

/// Fails without the condition on `watch` in `ReadSchedule::due`: then all read all.
#[test]
fn two_daemons_in_different_zones_read_an_endpoint() {
    for seed in 1..=20 {
        let mut world = world(seed);
        let readers = readers(&mut world, MAX_READ_PERIOD);
        assert_eq!(readers.len(), 12);
        for (endpoint, daemons) in readers {
            let zones: BTreeSet<_> = daemons
                .iter()
                .map(|id| world.nodes[world.node_of(id).unwrap()].zone.clone())
                .collect();
            assert_eq!(
                (daemons.len(), zones.len()),
                (2, 2),
                "{endpoint} seed {seed}"
            );
        }
    }
}

/// Fails without `notify_refused` in `Entry::on_endpoint_lost`.
#[test]
fn a_refused_connection_is_known_to_all_at_once() {
    for seed in 1..=20 {
        let mut world = world(seed);
        let endpoint = world.endpoints[3].id.clone();
        let watching = nodes_reading(&mut world, &endpoint);
        world.crash_endpoint(3, Condition::Down);
        // Who sees it first is a watcher; the others follow without a poll of their own.
        while !watching
            .iter()
            .any(|number| is_failed(&world, *number, &endpoint))
        {
            world.run_for(Duration::from_millis(1));
        }
        let time = time_until_all(&mut world, &endpoint, true);
        assert!(time <= LOOK * 2, "{time:?} seed {seed}");
        world.restart_endpoint(3);
        let time = time_until_all(&mut world, &endpoint, false);
        assert!(time <= Duration::from_secs(1), "{time:?} seed {seed}");
    }
}

/// Fails if `ReadSchedule::set_input` keeps the daemons that it was given first.
#[test]
fn others_watch_when_both_watchers_are_killed() {
    for seed in 1..=20 {
        let mut world = world(seed);
        let endpoint = world.endpoints[5].id.clone();
        let watching = nodes_reading(&mut world, &endpoint);
        assert_eq!(watching.len(), 2);
        let busy = (0..4).find(|number| !watching.contains(number));
        let request = model_request(world.now, "across", 400, Duration::from_secs(60));
        world.call(request, busy);
        world.run_for(Duration::from_millis(300));
        for number in &watching {
            match seed.is_multiple_of(2) {
                true => world.kill_entry(*number),
                false => world.take_entry_vm(*number),
            }
        }
        world.run_for(SETTLING);
        let after = nodes_reading(&mut world, &endpoint);
        assert_eq!(after.len(), 2, "seed {seed}");
        assert!(after.iter().all(|number| !watching.contains(number)));
        world.crash_endpoint(5, Condition::Down);
        time_until_all(&mut world, &endpoint, true);
        world.run_for(Duration::from_secs(30));
        checks::own_whole_answer(&world).unwrap();
        checks::nothing_lost(&world).unwrap();
    }
}

/// Fails without `news_by` in `ReadSchedule::due`.
#[test]
fn a_daemon_without_news_reads_by_itself() {
    let mut world = world(1);
    let endpoint = world.endpoints[7].id.clone();
    let watching = nodes_reading(&mut world, &endpoint);
    let other = (0..4).find(|number| !watching.contains(number)).unwrap();
    let other_id = world.nodes[other].id.clone();
    for number in &watching {
        let vms = [*number, other].map(|number| world.nodes[number].vm.clone());
        world.network.cut(&vms[0], &vms[1]);
    }
    world.run_for(LOAD_TTL + FIRST_UPDATE_TIMEOUT);
    let alone = readers(&mut world, MAX_READ_PERIOD)
        .remove(&endpoint)
        .unwrap();
    assert!(alone.contains(&other_id), "no news for {LOAD_TTL:?}");
    world.network.mend();
    // A subscription is repeated, and the load told anew.
    world.run_for(LOAD_TTL * 2);
    let again = readers(&mut world, MAX_READ_PERIOD)
        .remove(&endpoint)
        .unwrap();
    assert_eq!(again.len(), 2, "{again:?}");
}
