//! No caller sees an event that a take-over can change: owners die between an event of a
//! stream and its standby's acknowledgement, and answers differ each time they are begun.

use std::time::Duration;

use laburnumstall_core::error::ErrorKind;
use laburnumstall_testkit::{Outcome, World, WorldSpec, checks, model_request};

/// Time that callers wait.
const PATIENCE: Duration = Duration::from_secs(25);

/// Tokens of an answer.
const TOKENS: u64 = 20;

/// Distance of two moments at which an owner dies.
const MOMENT: Duration = Duration::from_micros(20);

/// Moments tried.
const MOMENTS: u32 = 300;

/// First moment: events are 40 ms apart, so that all stations of the next one follow.
const FIRST_MOMENT: Duration = Duration::from_millis(37);

/// Walks in one run.
const WALKS: u64 = 20;

/// Callers between two deaths.
const CALLERS: usize = 16;

/// Owners that die in one walk.
const DEATHS: usize = 4;

fn world(seed: u64) -> World {
    World::new(&WorldSpec {
        seed,
        samples: true,
        ..WorldSpec::default()
    })
}

fn check(world: &World) {
    checks::own_whole_answer(world).unwrap();
    checks::one_answer(world).unwrap();
}

/// Asks through one entry, reads along through another, and lets the owner die with its
/// endpoint `moment` after the caller's fifth event; returns the events that the caller
/// had then.
fn owner_dies(moment: Duration) -> usize {
    let mut world = world(1);
    let request = model_request(world.now, "sampled answer", TOKENS, PATIENCE);
    let caller = world.call(request, Some(0));
    while world.callers[caller].events.len() < 3 {
        world.run_for(MOMENT);
    }
    let along = world.read_again(caller, 1);
    while world.callers[caller].events.len() < 5 {
        world.run_for(MOMENT);
    }
    world.run_for(moment);
    let seen = world.callers[caller].events.len();
    world.kill_with_endpoints(0);
    world.run_for(Duration::from_secs(8));
    let late = world.read_again(caller, 2);
    world.run_for(Duration::from_secs(2));
    check(&world);
    for reader in [caller, along, late] {
        let outcome = world.callers[reader].outcome();
        assert_eq!(outcome, Some(&Outcome::Whole), "{moment:?} caller {reader}");
    }
    seen
}

/// Fails without: `standby.acked` in `OwnedRequest::committed` (all events given instead).
#[test]
fn owner_dies_at_each_moment() {
    let moments = (0..MOMENTS).map(|number| FIRST_MOMENT + MOMENT * number);
    let seen: Vec<usize> = moments.map(owner_dies).collect();
    assert_eq!((seen[0], seen.last()), (5, Some(&6)));
}

/// Lets owners die with their endpoints at drawn moments.
fn seeded_deaths(seed: u64) {
    let mut world = world(seed);
    for death in 0..DEATHS {
        let first = world.callers.len();
        for number in 0..CALLERS {
            let prompt = format!("question {death} {number}");
            let request = model_request(world.now, &prompt, TOKENS, PATIENCE);
            world.call(request, Some(number % 4));
        }
        world.run_for(Duration::from_millis(300));
        read_along(&mut world, first);
        let moment = Duration::from_micros(world.rng.u64(1_000..400_000));
        world.run_for(moment);
        let entry = world.rng.usize(..4);
        world.kill_with_endpoints(entry);
        world.run_for(Duration::from_secs(1));
        read_along(&mut world, first);
        world.run_for(Duration::from_secs(3));
        check(&world);
        world.restart_entry(entry);
        for index in 0..world.endpoints.len() {
            world.restart_endpoint(index);
        }
        world.run_for(Duration::from_secs(2));
    }
    world.run_for(PATIENCE);
    check(&world);
    checks::all_answered(&world).unwrap();
    checks::poison_is_contained(&world).unwrap();
    let refusals = checks::refusals(&world);
    // A request that alone was in flight at two crashes may be refused (design note 012).
    let is_allowed = |kind: &ErrorKind| *kind == ErrorKind::EndpointCrashed;
    assert!(refusals.keys().all(is_allowed), "seed {seed}: {refusals:?}");
}

/// Reads the requests of the callers from `first` on through the next entries.
fn read_along(world: &mut World, first: usize) {
    for caller in first..first + CALLERS {
        if world.callers[caller].id.is_some() {
            world.read_again(caller, (caller + 1) % 4);
        }
    }
}

/// Fails without: `standby.acked` in `OwnedRequest::committed` (all events given instead).
#[test]
fn owners_die_at_seeded_moments() {
    (1..=WALKS).for_each(seeded_deaths);
}
