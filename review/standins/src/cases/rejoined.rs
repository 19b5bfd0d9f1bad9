//! Streams that callers take up after daemons were killed beside two software versions, without a
//! restore: the variants that issue 30 names.

use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::versions::{ALLOWED, mixed_streams};
use crate::record::Record;
use crate::store::Path;
use crate::world::{Stream, World, stream_client};

/// Which daemons are killed, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// Half of them, and a little later the other half.
    Halves,
    /// All of them, right after the first entry of the second version.
    Early,
    /// All of them, and the store is away while they start.
    Away,
}

pub fn run(
    record: &Record,
    folder: PathBuf,
    has_trouble: bool,
    variant: Variant,
) -> io::Result<Option<bool>> {
    let mut world = World::start(record, 4, folder)?;
    for number in 1..=3 {
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
            stream_client(traffic, (80, 60), 12, Duration::from_millis(20), &streams);
        });
    }
    thread::sleep(Duration::from_secs(12));
    for number in 4..=6 {
        world.replica(number, "v2")?;
    }
    let paths: Vec<_> = world.daemons.iter().map(|daemon| daemon.store).collect();
    let groups: &[std::ops::Range<usize>] = match variant {
        Variant::Halves => &[0..2, 2..4],
        Variant::Early | Variant::Away => &[0..4],
    };
    for _ in 0..3 {
        thread::sleep(match variant {
            Variant::Early => Duration::from_millis(50),
            _ => Duration::from_millis(5_000),
        });
        if !has_trouble {
            continue;
        }
        for group in groups {
            if variant == Variant::Away {
                for path in &paths {
                    world.store.set_path(*path, Path::Busy);
                }
            }
            record.say(format!("daemons {group:?} are killed"));
            for daemon in &mut world.daemons[group.clone()] {
                daemon.kill();
            }
            thread::sleep(Duration::from_millis(300));
            for daemon in &mut world.daemons[group.clone()] {
                daemon.start()?;
            }
            thread::sleep(Duration::from_millis(900));
            for path in &paths {
                world.store.set_path(*path, Path::Open);
            }
        }
        if variant == Variant::Early {
            break;
        }
        thread::sleep(Duration::from_secs(6));
    }
    thread::sleep(Duration::from_secs(20));
    world.end_traffic();
    let streams = streams
        .lock()
        .map(|streams| streams.clone())
        .unwrap_or_default();
    Ok(Some(mixed_streams(record, &streams) <= ALLOWED))
}
