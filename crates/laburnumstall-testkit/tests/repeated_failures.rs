//! Attempts that fail again and again, without pause or bound.

use std::time::Duration;

use laburnumstall_testkit::{Condition, Outcome, World, WorldSpec, model_request};

/// Time limit of the requests.
const TIME_LIMIT: Duration = Duration::from_secs(20);

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
