//! Replicas that send bytes without an end in place of some answers.

use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::End;
use crate::record::Record;
use crate::replica::Spoil;
use crate::world::{World, read_client, stream_client};

/// Time after a route's time-out within which an answer is due.
const SLACK: Duration = Duration::from_millis(500);
const REPLICAS: u16 = 4;
/// One in this many answers is spoiled.
const PERIOD: u64 = 20;
/// Time for which answers are spoiled.
const TROUBLE_TIME: Duration = Duration::from_millis(5_000);
/// Time between two such times.
const PAUSE: Duration = Duration::from_millis(4_000);
/// Requests of which the rule judges the share.
const MIN_UNANSWERED: usize = 8;

pub fn run(
    record: &Record,
    folder: PathBuf,
    has_trouble: bool,
    spoil: Spoil,
    spoilt: u16,
    rounds: u32,
) -> io::Result<Option<bool>> {
    let mut world = World::start(record, 4, folder)?;
    for number in 1..=REPLICAS {
        world.replica(number, "v1")?;
    }
    if !world.start_daemons()? {
        return Ok(None);
    }
    world.follow_directory();
    let streams = Arc::new(Mutex::new(Vec::new()));
    for _ in 0..16 {
        let streams = Arc::clone(&streams);
        world.client(move |traffic| {
            stream_client(traffic, (10, 50), 3, Duration::from_millis(50), &streams);
        });
    }
    for _ in 0..48 {
        world.client(move |traffic| read_client(traffic, Duration::from_millis(100)));
    }
    thread::sleep(Duration::from_secs(8));
    let begin = record.now();
    for _ in 0..rounds {
        if has_trouble {
            record.say(format!(
                "one in {PERIOD} answers of {spoilt} of {REPLICAS} replicas has no end: {spoil:?}"
            ));
            for replica in world.replicas.values().take(spoilt.into()) {
                replica.spoil(Some((spoil, PERIOD)));
            }
        }
        thread::sleep(TROUBLE_TIME);
        for replica in world.replicas.values() {
            replica.spoil(None);
        }
        record.say("no further answers are spoiled");
        thread::sleep(PAUSE);
    }
    for _ in 0..20 {
        thread::sleep(Duration::from_secs(1));
        let ready: Vec<_> = world
            .daemons
            .iter()
            .map(|daemon| daemon.ready(Duration::from_millis(500)))
            .collect();
        record.say(format!("readiness {ready:?}"));
    }
    world.end_traffic();
    let results = world.results();
    let mut counts = std::collections::BTreeMap::<String, usize>::new();
    let (mut unanswered, mut late) = (0, 0);
    for done in &results {
        if done.sent < begin {
            continue;
        }
        *counts
            .entry(format!("{} {:?}", done.kind, done.answer.end))
            .or_default() += 1;
        if done.answer.took < done.timeout {
            continue;
        }
        unanswered += 1;
        if done.answer.end == End::GaveUp || done.answer.took > done.timeout + SLACK {
            late += 1;
            record.line(format!(
                "late {} {} {:?}",
                done.id, done.kind, done.answer.end
            ));
        }
    }
    record.say(format!("attempts since the first trouble: {counts:?}"));
    record.say(format!(
        "requests without an answer at their route's time-out: {unanswered}; half a second later: {late}"
    ));
    Ok(Some(unanswered < MIN_UNANSWERED || late * 2 <= unanswered))
}
