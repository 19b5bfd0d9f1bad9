//! What a kept request takes in memory, with its copy at the standby.
//!
//! `cargo run --release -p laburnumstall-testkit --example entry_memory`

use std::time::Duration;

use laburnumstall_testkit::{World, WorldSpec, model_request};

/// Requests that are kept.
const REQUESTS: u64 = 1_500;

/// Tokens of an answer: 28 million tokens over 82,000 requests a second.
const TOKENS: u64 = 341;

/// Bytes of a prompt.
const PROMPT: usize = 4_000;

/// Bytes of a page of memory.
const PAGE: u64 = 4_096;

fn main() {
    let mut world = World::new(&WorldSpec {
        models: 200,
        ..WorldSpec::default()
    });
    world.run_for(Duration::from_secs(1));
    let before = resident();
    for number in 0..REQUESTS {
        let prompt = format!("{number:0PROMPT$}");
        let request = model_request(world.now, &prompt, TOKENS, Duration::from_secs(60));
        world.call(request, Some(number as usize % 4));
        world.run_for(Duration::from_millis(10));
    }
    world.run_for(Duration::from_secs(20));
    // The callers and the endpoints of the world hold the answer too; they are dropped first.
    world.callers = Vec::new();
    world.endpoints = Vec::new();
    let grown = resident().saturating_sub(before);
    println!("one kept request with its copy: {} bytes", grown / REQUESTS);
}

/// Returns the resident memory in bytes.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE
}
