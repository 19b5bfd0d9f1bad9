//! A caller that comes back at any moment after its owner's death gets its whole answer.

use std::time::Duration;

use laburnumstall_testkit::{Outcome, World, WorldSpec, checks, model_request};

/// Distance of two moments at which the caller comes back.
const MOMENT: Duration = Duration::from_micros(250);

/// Moments tried at each entry: the death is noticed and the copy taken over meanwhile.
const MOMENTS: u32 = 240;

fn comes_back(moment: Duration, entry: usize) {
    let mut world = World::new(&WorldSpec::default());
    let patience = Duration::from_secs(25);
    let request = model_request(world.now, "an answer in two parts", 20, patience);
    let caller = world.call(request, Some(0));
    world.run_for(Duration::from_millis(300));
    world.kill_entry(0);
    world.run_for(moment);
    world.connect(caller, entry);
    world.run_for(Duration::from_secs(5));
    checks::own_whole_answer(&world).unwrap();
    let outcome = world.callers[caller].outcome();
    let whole = Some(&Outcome::Whole);
    assert_eq!(
        outcome, whole,
        "{moment:?} after the death, at entry {entry}"
    );
}

/// Fails without: `wait_for_takeover` in the core's `locate.rs`.
#[test]
fn caller_returns_at_each_moment() {
    for entry in 1..4 {
        for number in 0..MOMENTS {
            comes_back(MOMENT * number, entry);
        }
    }
}
