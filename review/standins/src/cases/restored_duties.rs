//! Usage reports while the store comes back from copies and daemons are killed.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use crate::record::Record;
use crate::store::Path;
use crate::world::{World, read_client};

const AWAY: Duration = Duration::from_millis(1_500);
const COPY_AGE: Duration = Duration::from_millis(7_000);
const DRILLS: usize = 6;

pub fn run(record: &Record, folder: PathBuf, has_trouble: bool) -> io::Result<Option<bool>> {
    let mut world = World::start(record, 4, folder)?;
    world.store.keep_copies();
    for number in 1..=4 {
        world.replica(number, "v1")?;
    }
    if !world.start_daemons()? {
        return Ok(None);
    }
    world.follow_directory();
    for _ in 0..16 {
        world.client(move |traffic| read_client(traffic, Duration::from_millis(100)));
    }
    thread::sleep(Duration::from_secs(12));
    world.duties.set_late(3);
    for round in 0..DRILLS {
        if has_trouble {
            let paths: Vec<SocketAddr> = world.daemons.iter().map(|daemon| daemon.store).collect();
            for path in &paths {
                world.store.set_path(*path, Path::Busy);
            }
            record.say("the store is away");
            thread::sleep(Duration::from_millis(300));
            // All of them, none, or two.
            let killed = [4, 0, 2][round % 3];
            for daemon in world.daemons.iter_mut().take(killed) {
                daemon.kill();
            }
            thread::sleep(Duration::from_millis(300));
            for daemon in world.daemons.iter_mut().take(killed) {
                daemon.start()?;
            }
            thread::sleep(AWAY - Duration::from_millis(600));
            world.store.restore(COPY_AGE);
            for path in &paths {
                world.store.set_path(*path, Path::Open);
            }
            record.say(format!(
                "the store is back from a copy; {killed} daemons were killed"
            ));
        }
        thread::sleep(Duration::from_millis(13_700));
    }
    world.end_traffic();
    let (windows, different, shared) = world.duties.faults();
    record.say(format!(
        "windows reported: {windows}; with different counts: {different}; tokens of several holders: {shared}"
    ));
    Ok((windows > 3).then_some(different + shared == 0))
}
