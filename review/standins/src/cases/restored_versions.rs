//! The store comes back from a copy that does not list the replicas of a newer version, and all
//! daemons start again.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::versions::{ALLOWED, mixed_streams};
use crate::record::Record;
use crate::store::Path;
use crate::world::{Stream, World, stream_client};

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(1_500);
/// Age of the copy when the store is back.
const COPY_AGE: Duration = Duration::from_millis(7_800);
/// Time from the start of the newer replicas until the store is away.
const UNTIL_AWAY: Duration = Duration::from_millis(5_800);
const RESTART_DELAY: Duration = Duration::from_millis(300);

pub fn run(record: &Record, folder: PathBuf, has_trouble: bool) -> io::Result<Option<bool>> {
    let mut world = World::start(record, 4, folder)?;
    world.store.keep_copies();
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
    thread::sleep(UNTIL_AWAY);
    if has_trouble {
        let paths: Vec<SocketAddr> = world.daemons.iter().map(|daemon| daemon.store).collect();
        for path in &paths {
            world.store.set_path(*path, Path::Busy);
        }
        let away = Instant::now();
        record.say("the store is away");
        thread::sleep(Duration::from_millis(700));
        record.say("all daemons are killed");
        for daemon in &mut world.daemons {
            daemon.kill();
        }
        thread::sleep(RESTART_DELAY);
        for daemon in &mut world.daemons {
            daemon.start()?;
        }
        record.say("all daemons are started again");
        thread::sleep(AWAY.saturating_sub(away.elapsed()));
        world.store.restore(COPY_AGE);
        for path in &paths {
            world.store.set_path(*path, Path::Open);
        }
        record.say(format!("the store is back from a copy {COPY_AGE:?} old"));
    }
    thread::sleep(Duration::from_secs(22));
    world.end_traffic();
    let streams = streams
        .lock()
        .map(|streams| streams.clone())
        .unwrap_or_default();
    Ok(Some(mixed_streams(record, &streams) <= ALLOWED))
}
