//! Endpoints that crash together convict no request that was in flight at one crash only.

use std::time::Duration;

use laburnumstall_testkit::{Condition, MODEL, World, WorldSpec, checks, model_request};

/// Sessions in one run.
const SESSIONS: u64 = 100;

/// Callers of one session.
const CALLERS: usize = 16;

/// Endpoints of six that crash at the same moment.
const CRASHES: usize = 4;

fn endpoints_crash_together(seed: u64) {
    let mut world = World::new(&WorldSpec {
        seed,
        ..WorldSpec::default()
    });
    world.run_for(Duration::from_secs(1));
    for number in 0..CALLERS {
        let prompt = format!("question {number}");
        let request = model_request(world.now, &prompt, 20, Duration::from_secs(25));
        world.call(request, Some(number % 4));
    }
    let moment = Duration::from_micros(world.rng.u64(100_000..700_000));
    world.run_for(moment);
    let models = world
        .endpoints
        .iter()
        .filter(|e| e.service.as_str() == MODEL);
    let first = world.rng.usize(..models.count());
    for offset in 0..CRASHES {
        world.crash_endpoint((first + offset) % 6, Condition::Down);
    }
    world.run_for(Duration::from_secs(26));
    checks::all_answered(&world).unwrap();
    checks::poison_is_contained(&world).unwrap_or_else(|what| panic!("seed {seed}: {what}"));
}

/// Fails without: `may_have_received` in the core's `failure.rs`.
#[test]
fn one_crash_convicts_nobody() {
    (1..=SESSIONS).for_each(endpoints_crash_together);
}
