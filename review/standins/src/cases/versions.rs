//! Replicas crash and start again at another software version, under the id that they had.

use std::collections::BTreeSet;
use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::record::Record;
use crate::world::{Stream, World, stream_client};

/// Streams with events of two versions that the rule allows.
pub const ALLOWED: usize = 2;
/// Times for which a crashed replica is down, in milliseconds, by turns.
const DOWN_MS: [u64; 3] = [300, 500, 700];
/// Time from its start to its next crash.
const UP: Duration = Duration::from_millis(2_000);

pub fn run(record: &Record, folder: PathBuf, has_trouble: bool) -> io::Result<Option<bool>> {
    let mut world = World::start(record, 4, folder)?;
    for number in 1..=4 {
        world.replica(number, "v1")?;
    }
    if !world.start_daemons()? {
        return Ok(None);
    }
    world.follow_directory();
    let streams = Arc::new(Mutex::new(Vec::<Stream>::new()));
    for _ in 0..60 {
        let streams = Arc::clone(&streams);
        world.client(move |traffic| {
            stream_client(traffic, (60, 50), 3, Duration::from_millis(20), &streams);
        });
    }
    thread::sleep(Duration::from_secs(10));
    for round in 0..6_u16 {
        if has_trouble {
            let down = Duration::from_millis(DOWN_MS[usize::from(round) % DOWN_MS.len()]);
            let version = format!("v{}", round + 2);
            let number = round % 4 + 1;
            world.crash(number);
            thread::sleep(down);
            world.replica(number, &version)?;
            thread::sleep(UP);
            world.crash(number);
            thread::sleep(down);
            world.replica(number, &version)?;
        }
        thread::sleep(Duration::from_secs(9));
    }
    world.end_traffic();
    let streams = streams
        .lock()
        .map(|streams| streams.clone())
        .unwrap_or_default();
    Ok(Some(mixed_streams(record, &streams) <= ALLOWED))
}

/// Counts the streams with events of two software versions.
pub fn mixed_streams(record: &Record, streams: &[Stream]) -> usize {
    let (mut mixed, mut whole, mut resumed) = (0, 0, 0);
    for stream in streams {
        let versions: BTreeSet<&str> = stream
            .events
            .iter()
            .filter_map(|(_, data)| data.split(' ').next())
            .collect();
        whole += usize::from(stream.is_whole);
        resumed += usize::from(stream.attempts.len() > 1);
        if versions.len() > 1 {
            mixed += 1;
            record.line(format!(
                "mixed: attempts {:?}, versions {versions:?}",
                stream.attempts
            ));
        }
    }
    record.say(format!(
        "streams {}, whole {whole}, taken up {resumed}, with events of two versions {mixed}",
        streams.len()
    ));
    mixed
}
