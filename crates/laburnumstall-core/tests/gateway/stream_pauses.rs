//! Speeds of endpoints that the events of streams tell.

use std::time::Duration;

use crate::engine_fleet::{balancer, engine_id};
use crate::support::{at, prompt};
use laburnumstall_core::decision::Journal;
use laburnumstall_core::gateway::{CallOutcome, EndpointQuery, LoadBalancer, VersionGate};
use laburnumstall_core::prelude::*;

const ENGINES: usize = 12;

/// Returns the time that an engine takes: every third one is slow.
fn time(engine: usize) -> f64 {
    if engine % 3 == 2 { 1.7 } else { 0.7 }
}

/// Plays one stream of 8 events from `ms` on, whose first event tells nothing; returns its engine.
fn stream(balancer: &mut LoadBalancer, ms: u64, part: u64, answer: u32) -> usize {
    let mut prompt = prompt(part, 500, 1_500 + part as u32);
    prompt.max_answer_tokens = answer;
    let query = EndpointQuery {
        service: &"model".parse().unwrap(),
        prompt: Some(&prompt),
        seed: part,
        version: None,
        admitted: None,
        gate: VersionGate::Open,
        excluded: &[],
    };
    let mut attempt = balancer.select(at(ms), &query).unwrap();
    let engine = (0..ENGINES).find(|n| engine_id(*n) == attempt.endpoint);
    let engine = engine.unwrap();
    let mut now = at(ms).after(attempt.expected);
    balancer.on_first_output(now, &mut attempt);
    for _ in 0..8 {
        attempt.on_event(now);
        now = now.after(Duration::from_millis(25).mul_f64(time(engine)));
    }
    balancer.end(now, attempt, Some(CallOutcome::Good));
    engine
}

/// Reclaimable endpoints served for ten seconds, and their speeds were known after fifteen: one stream
/// in a hundred milliseconds has to tell slow engines from fast ones within five seconds, and long
/// answers then leave the slow ones, where a third of them had a pause beyond their target.
#[test]
fn pauses_tell_slow_engines() {
    let mut balancer = balancer("north-a", ENGINES, true);
    let mut journal = Journal::default();
    let mut slow_after = 0;
    for step in 0..100_u64 {
        let ms = step * 100;
        let engine = stream(&mut balancer, ms, step, 355);
        balancer.update_speeds(at(ms), &mut journal);
        slow_after += usize::from(step >= 50 && time(engine) > 1.0);
    }
    for slow in [2, 5, 8, 11] {
        let id: EndpointId = engine_id(slow);
        assert!(balancer.speed(&id) > 1.2, "{id}: {}", balancer.speed(&id));
    }
    // A third of the engines has 17 in 100 of the capacity.
    assert!(slow_after <= 8, "{slow_after} of 50 streams");
}
