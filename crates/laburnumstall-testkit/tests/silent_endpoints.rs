//! Endpoints that send nothing for a moment and then go on.

use std::time::Duration;

use laburnumstall_testkit::{Condition, Outcome, STOCK, World, WorldSpec, key_at, plain_request};

/// Time limit of the idempotent calls; their endpoint is probed after a quarter of it.
const READ_LIMIT: Duration = Duration::from_millis(2_400);

/// Time limit of the calls that must not be repeated.
const WRITE_LIMIT: Duration = Duration::from_secs(20);

/// Calls of each kind.
const CALLS: u64 = 4;

/// Outcomes of calls whose endpoints fall silent while they run.
struct Outcomes {
    world: World,
    reads: Vec<usize>,
    writes: Vec<usize>,
}

fn stock_endpoints(world: &World) -> Vec<usize> {
    let is_stock = |index: &usize| world.endpoints[*index].service.as_str() == STOCK;
    (0..world.endpoints.len()).filter(is_stock).collect()
}

fn set_condition(world: &mut World, condition: Condition) {
    for index in stock_endpoints(world) {
        world.endpoints[index].condition = condition;
    }
}

fn call(world: &mut World, number: u64, idempotent: bool) -> usize {
    let limit = if idempotent { READ_LIMIT } else { WRITE_LIMIT };
    let key = (!idempotent).then(|| key_at(world.now, number));
    let mut request = plain_request(world.now, STOCK, &format!("call {number}"), key, limit);
    request.idempotent = idempotent;
    world.call(request, Some(0))
}

fn play_silence(silence: Duration) -> Outcomes {
    let mut world = World::new(&WorldSpec::default());
    world.run_for(Duration::from_secs(1));
    let reads = (0..CALLS).map(|n| call(&mut world, n, true)).collect();
    let writes = (CALLS..CALLS * 2)
        .map(|n| call(&mut world, n, false))
        .collect();
    world.run_for(Duration::from_millis(100));
    set_condition(&mut world, Condition::Frozen);
    world.run_for(silence);
    set_condition(&mut world, Condition::Up);
    world.run_for(Duration::from_secs(8));
    Outcomes {
        world,
        reads,
        writes,
    }
}

fn assert_whole(world: &World, callers: &[usize]) {
    let outcomes: Vec<_> = callers
        .iter()
        .map(|c| world.callers[*c].outcome())
        .collect();
    let is_whole = |outcome: &Option<&Outcome>| *outcome == Some(&Outcome::Whole);
    assert!(outcomes.iter().all(is_whole), "{outcomes:?}");
}

/// A probe without an answer ended calls whose endpoint went on a moment later.
#[test]
fn silent_endpoint_keeps_unrepeatable_calls() {
    let played = play_silence(Duration::from_millis(1_700));
    assert_whole(&played.world, &played.writes);
}

/// Calls were dropped for a retry that no endpoint could take.
#[test]
fn silent_service_keeps_repeatable_calls() {
    let played = play_silence(Duration::from_millis(1_700));
    assert_whole(&played.world, &played.reads);
}

/// A probe without an answer left the endpoints without new calls after they went on.
#[test]
fn silent_service_serves_again() {
    let mut played = play_silence(Duration::from_millis(1_700));
    let later =
        [true, false].map(|is_read| call(&mut played.world, 100 + u64::from(is_read), is_read));
    played.world.run_for(Duration::from_secs(5));
    assert_whole(&played.world, &later);
}

/// After a silence that outlasts all calls, none was admitted to find that the service went on.
#[test]
fn long_silence_does_not_bar_later_calls() {
    let mut world = World::new(&WorldSpec::default());
    world.run_for(Duration::from_secs(1));
    (0..CALLS).for_each(|n| {
        call(&mut world, n, true);
    });
    world.run_for(Duration::from_millis(100));
    set_condition(&mut world, Condition::Frozen);
    world.run_for(READ_LIMIT * 2);
    set_condition(&mut world, Condition::Up);
    world.run_for(Duration::from_secs(2));
    let later = call(&mut world, CALLS, true);
    world.run_for(Duration::from_secs(3));
    assert_whole(&world, &[later]);
}

/// Plays a silence of the only endpoint that has not failed; returns a read's outcome.
fn outcome_without_replacement(silence: Duration) -> Option<Outcome> {
    let mut world = World::new(&WorldSpec::default());
    world.run_for(Duration::from_secs(1));
    let others = stock_endpoints(&world).split_off(1);
    for index in &others {
        world.crash_endpoint(*index, Condition::Down);
    }
    (0..CALLS * 2).for_each(|n| {
        call(&mut world, n, true);
    });
    world.run_for(Duration::from_millis(500));
    let read = call(&mut world, CALLS * 2, true);
    world.run_for(Duration::from_millis(100));
    set_condition(&mut world, Condition::Frozen);
    for index in &others {
        world.endpoints[*index].condition = Condition::Down;
    }
    world.run_for(silence);
    let first = stock_endpoints(&world)[0];
    world.endpoints[first].condition = Condition::Up;
    world.run_for(Duration::from_secs(3));
    world.callers[read].outcome().cloned()
}

/// A silent attempt was dropped to probe an endpoint that had failed before.
#[test]
fn silent_attempt_does_not_move_to_failed_endpoint() {
    let outcome = outcome_without_replacement(Duration::from_millis(1_700));
    assert_eq!(outcome, Some(Outcome::Whole));
}

/// A probe that was answered just after a silence cancelled a call that no endpoint could take.
#[test]
fn answered_probe_keeps_call_without_replacement() {
    let silences = (1_400..1_700).step_by(5).map(Duration::from_millis);
    let outcomes = silences.map(|silence| (silence, outcome_without_replacement(silence)));
    let lost: Vec<_> = outcomes
        .filter(|(_, outcome)| *outcome != Some(Outcome::Whole))
        .collect();
    assert!(lost.is_empty(), "{lost:?}");
}

/// A silent endpoint whose process then exits still ends its calls at once.
#[test]
fn exit_after_silence_ends_unrepeatable_calls() {
    let mut world = World::new(&WorldSpec::default());
    world.run_for(Duration::from_secs(1));
    call(&mut world, 0, true);
    let writes: Vec<usize> = (1..=CALLS).map(|n| call(&mut world, n, false)).collect();
    world.run_for(Duration::from_millis(100));
    set_condition(&mut world, Condition::Frozen);
    world.run_for(Duration::from_millis(1_700));
    for index in stock_endpoints(&world) {
        world.crash_endpoint(index, Condition::Down);
    }
    world.run_for(Duration::from_millis(500));
    let is_failed = |caller: &usize| {
        matches!(world.callers[*caller].outcome(), Some(Outcome::Refused(refusal))
            if refusal.kind.name() == "connection-lost")
    };
    assert!(writes.iter().all(is_failed));
}
