//! Quarantine through whole entries, where other faults fall together with a crash.

use std::time::Duration;

use laburnumstall_testkit::{Condition, Outcome, World, WorldSpec, checks, model_request};

/// Time that callers wait.
const PATIENCE: Duration = Duration::from_secs(25);

fn world(models: u16) -> World {
    World::new(&WorldSpec {
        models,
        ..WorldSpec::default()
    })
}

fn ask(world: &mut World, prompt: &str, tokens: u64, entry: usize) -> usize {
    let request = model_request(world.now, prompt, tokens, PATIENCE);
    world.call(request, Some(entry))
}

fn run(world: &mut World, millis: u64) {
    world.run_for(Duration::from_millis(millis));
}

/// Returns the endpoints that have begun an attempt since `before`.
fn begun_since(world: &World, before: &[u64]) -> Vec<usize> {
    let is_new = |index: &usize| world.endpoints[*index].runs.begun > before[*index];
    (0..world.endpoints.len()).filter(is_new).collect()
}

fn begun(world: &World) -> Vec<u64> {
    let counts = world.endpoints.iter().map(|endpoint| endpoint.runs.begun);
    counts.collect()
}

/// Fails without the call of `warn` in the core's `copies.rs`: an entry that was cut off
/// would run what the others have convicted.
#[test]
fn standby_warns_returned_entry() {
    let mut world = world(6);
    let vms: Vec<_> = world.nodes.iter().map(|node| node.vm.clone()).collect();
    for other in [0, 1, 3] {
        world.network.cut(&vms[2], &vms[other]);
    }
    run(&mut world, 500);
    ask(&mut world, "poison", 20, 1);
    run(&mut world, 3_000);
    assert_eq!(world.poisoned, 2);
    world.network.mend();
    ask(&mut world, "poison", 20, 2);
    run(&mut world, 20_000);
    checks::poison_is_contained(&world).expect("the entry learns it in time");
}

/// Fails without the line in the core's `end_lost` that forgets the place: a suspect that
/// waits would ask for its lost stream again and again.
#[test]
fn lost_stream_is_left() {
    let mut world = world(1);
    world.keeps_lines = true;
    let callers = [0, 1].map(|number| ask(&mut world, &format!("question {number}"), 60, 0));
    run(&mut world, 400);
    world.crash_endpoint(0, Condition::Down);
    run(&mut world, 300);
    world.restart_endpoint(0);
    run(&mut world, 24_000);
    for caller in callers {
        assert_eq!(world.callers[caller].outcome(), Some(&Outcome::Whole));
    }
    let asks_again = |line: &&String| line.contains("reason=unknown-stream");
    assert_eq!(world.lines.iter().find(asks_again), None);
}

/// Fails without the call of `is_crash_recorded` in the core's `on_unknown_stream`: the new
/// owner of a request would count a crash that the former one has told already.
#[test]
fn new_owner_counts_no_crash_twice() {
    let mut world = world(1);
    let caller = ask(&mut world, "a question", 60, 0);
    run(&mut world, 400);
    world.crash_endpoint(0, Condition::Down);
    run(&mut world, 6_000);
    world.restart_endpoint(0);
    run(&mut world, 20);
    world.kill_entry(0);
    run(&mut world, 18_000);
    assert_eq!(world.callers[caller].outcome(), Some(&Outcome::Whole));
}

/// Fails without the call of `on_lost` in the core's `failure.rs`: the copy on the silent
/// endpoint would bar every retry of the request until its deadline.
#[test]
fn silent_endpoint_bars_no_retry() {
    let mut world = world(6);
    let mut before = begun(&world);
    let caller = ask(&mut world, "a long answer", 120, 0);
    run(&mut world, 400);
    for condition in [Condition::Gone, Condition::Down] {
        let at = begun_since(&world, &before)[0];
        before = begun(&world);
        world.crash_endpoint(at, condition);
        run(&mut world, 4_000);
    }
    run(&mut world, 12_000);
    assert_eq!(world.callers[caller].outcome(), Some(&Outcome::Whole));
}
