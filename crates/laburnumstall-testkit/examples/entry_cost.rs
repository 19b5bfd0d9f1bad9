//! What the control state costs for each tick, request and token.
//!
//! `cargo run --release -p laburnumstall-testkit --example entry_cost`
//!
//! Worlds of four entries are run with different numbers of requests and tokens; the
//! slopes between them are printed. They hold the cost of the fakes too, so that they
//! are upper bounds for the core, with both its sides, owner and standby.

use std::time::{Duration, Instant};

use laburnumstall_testkit::{World, WorldSpec, model_request};

/// Virtual time of a run.
const TIME: Duration = Duration::from_secs(20);

/// Entries of a world.
const ENTRIES: usize = 4;

fn main() {
    let idle = run(0, 0);
    let few = run(2_000, 2);
    let many = run(4_000, 2);
    let short = run(2_000, 50);
    let long = run(2_000, 150);
    let seconds = TIME.as_secs_f64() * ENTRIES as f64;
    let micros = |a: Duration, b: Duration| (b.as_secs_f64() - a.as_secs_f64()) * 1e6;
    println!(
        "one idle entry: {:.0} us of processor time a second",
        idle.as_secs_f64() * 1e6 / seconds
    );
    println!(
        "one request of 2 tokens: {:.1} us",
        micros(few, many) / 2_000.0
    );
    println!(
        "one token: {:.2} us",
        micros(short, long) / (2_000.0 * 100.0)
    );
}

/// Returns the processor time of a world with evenly spread requests.
fn run(requests: u64, tokens: u64) -> Duration {
    let mut world = World::new(&WorldSpec {
        models: 60,
        ..WorldSpec::default()
    });
    let gap = TIME / (requests.max(1) as u32 + 1);
    let began = Instant::now();
    for number in 0..requests {
        let prompt = format!("question {number}");
        let request = model_request(world.now, &prompt, tokens, Duration::from_secs(60));
        world.call(request, Some(number as usize % ENTRIES));
        world.run_for(gap);
    }
    world.run_for(TIME.saturating_sub(gap * requests as u32));
    began.elapsed()
}
