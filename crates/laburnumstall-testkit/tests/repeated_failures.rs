//! Attempts that fail again and again, without pause or bound.

use std::time::Duration;

use laburnumstall_testkit::{
    Condition, Outcome, STOCK, World, WorldSpec, model_request, plain_request,
};

/// Time limit of the requests.
const TIME_LIMIT: Duration = Duration::from_secs(20);

/// Tries of one request that do not spend the retry budget.
const FREE_TRIES: usize = 3;

fn world() -> World {
    let mut world = World::new(&WorldSpec {
        models: 1,
        ..WorldSpec::default()
    });
    world.keeps_lines = true;
    world.run_for(Duration::from_secs(1));
    world
}

fn count_lines(world: &World, pattern: &str) -> usize {
    let lines = world.lines.iter();
    lines.filter(|line| line.contains(pattern)).count()
}

/// Requests that waited for an endpoint resumed an attempt that was never sent.
#[test]
fn unsent_attempt_is_resumed() {
    let mut world = world();
    world.crash_endpoint(0, Condition::Down);
    let callers: Vec<usize> = (0..60)
        .map(|number| {
            let prompt = format!("question {number}");
            let request = model_request(world.now, &prompt, 4, TIME_LIMIT);
            world.call(request, Some(0))
        })
        .collect();
    world.run_for(Duration::from_millis(300));
    world.restart_endpoint(0);
    world.run_for(Duration::from_secs(15));
    assert!(count_lines(&world, "reason=not-sent") > 0);
    assert_eq!(count_lines(&world, "reason=resume-stream"), 0);
    for caller in callers {
        assert_eq!(world.callers[caller].outcome(), Some(&Outcome::Whole));
    }
}

/// A stream whose resumption failed was resumed again, thousands of times, until its deadline.
#[test]
fn failed_resumption_is_repeated() {
    let mut world = world();
    let request = model_request(world.now, "a question", 60, TIME_LIMIT);
    let caller = world.call(request, Some(0));
    world.run_for(Duration::from_millis(400));
    world.endpoints[0].fails_resumptions = true;
    world.reset_connections(0);
    world.run_for(Duration::from_secs(12));
    let resumptions = count_lines(&world, "reason=resume-stream");
    assert!((1..=FREE_TRIES).contains(&resumptions), "{resumptions}");
    assert_eq!(world.callers[caller].outcome(), Some(&Outcome::Whole));
}

/// An idempotent call whose endpoint resets each connection was sent again without a pause.
#[test]
fn reset_call_is_sent_without_pause() {
    let mut world = world();
    let is_stock = |index: &usize| world.endpoints[*index].service.as_str() == STOCK;
    let stock: Vec<usize> = (0..world.endpoints.len()).filter(is_stock).collect();
    for index in &stock {
        world.endpoints[*index].resets_calls = true;
    }
    let before: u64 = stock.iter().map(|i| world.endpoints[*i].runs.begun).sum();
    let mut request = plain_request(world.now, STOCK, "a call", None, Duration::from_secs(5));
    request.idempotent = true;
    world.call(request, Some(0));
    world.run_for(Duration::from_secs(6));
    let begun: u64 = stock.iter().map(|i| world.endpoints[*i].runs.begun).sum();
    // The retry budget allows ten at once and one a second; beyond it a retry waits for 500 ms.
    let bound = FREE_TRIES as u64 + 10 + 5 + 10;
    assert!(
        (2..=bound).contains(&(begun - before)),
        "{}",
        begun - before
    );
}
