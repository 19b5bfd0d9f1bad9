//! Requests that wait for a place on an endpoint, through whole entries.

use std::time::Duration;

use laburnumstall_core::error::ErrorKind;
use laburnumstall_testkit::{OTHER_CUSTOMER, Outcome, World, WorldSpec, checks, model_request};

/// Tokens of each answer: two seconds at the endpoint's rate.
const TOKENS: u64 = 50;

/// Requests that the large customer sends at once: over five times what the endpoint runs
/// at once. Their names come before those of the small customer.
const LARGE: usize = 90;

/// Requests that the small customer sends after them.
const SMALL: usize = 4;

fn world() -> World {
    World::new(&WorldSpec {
        models: 1,
        keeps_lines: true,
        ..WorldSpec::default()
    })
}

fn ask(world: &mut World, customer: &str, prompt: &str, patience: Duration) -> usize {
    let mut request = model_request(world.now, prompt, TOKENS, patience);
    request.customer = customer.parse().expect("the customer's name is valid");
    world.call(request, Some(0))
}

fn ask_many(world: &mut World, count: usize, customer: &str) -> Vec<usize> {
    let patience = Duration::from_secs(25);
    let ask = |number| ask(world, customer, &format!("{customer} {number}"), patience);
    (0..count).map(ask).collect()
}

fn whole(world: &World, callers: &[usize]) -> usize {
    let is_whole = |caller: &&usize| world.callers[**caller].outcome() == Some(&Outcome::Whole);
    callers.iter().filter(is_whole).count()
}

/// Fails without the call of `enqueue` in the core's `dispatch.rs`: the small customer would
/// wait for all requests of the large one.
#[test]
fn large_customer_starves_nobody() {
    let mut world = world();
    let large = ask_many(&mut world, LARGE, laburnumstall_testkit::CUSTOMER);
    world.run_for(Duration::from_millis(120));
    let small = ask_many(&mut world, SMALL, OTHER_CUSTOMER);
    while whole(&world, &small) < SMALL {
        assert!(whole(&world, &large) < LARGE / 2, "the small one waits");
        world.run_for(Duration::from_millis(50));
    }
    world.run_for(Duration::from_secs(20));
    assert_eq!(whole(&world, &large), LARGE);
    checks::own_whole_answer(&world).expect("each caller has its own answer");
}

/// Fails without the call of `check_queued` in the core's `timers.rs`: the request would be
/// held back until its deadline, as it would without `enqueue`.
#[test]
fn hopeless_wait_ends_early() {
    let mut world = world();
    ask_many(&mut world, LARGE, laburnumstall_testkit::CUSTOMER);
    world.run_for(Duration::from_millis(100));
    let patience = Duration::from_millis(1_500);
    let caller = ask(&mut world, OTHER_CUSTOMER, "in a hurry", patience);
    let deadline = world.callers[caller].request.deadline;
    while world.callers[caller].outcome().is_none() {
        world.run_for(Duration::from_millis(10));
    }
    assert!(world.now < deadline);
    let outcome = world.callers[caller].outcome();
    let is_no_endpoint = |outcome: &Outcome| matches!(outcome, Outcome::Refused(refusal) if refusal.kind == ErrorKind::NoEndpoint);
    assert!(outcome.is_some_and(is_no_endpoint), "{outcome:?}");
}
