//! Replicas that ask for rest.

use std::io;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use crate::record::Record;
use crate::world::{World, read_client};

/// Time for which a replica asks for rest.
const REST: Duration = Duration::from_millis(4_000);
const DAEMONS: usize = 4;

pub fn run(record: &Record, folder: PathBuf, has_trouble: bool) -> io::Result<Option<bool>> {
    let mut world = World::start(record, DAEMONS, folder)?;
    for number in 1..=4 {
        world.replica(number, "v1")?;
    }
    if !world.start_daemons()? {
        return Ok(None);
    }
    world.follow_directory();
    for _ in 0..48 {
        world.client(move |traffic| read_client(traffic, Duration::from_millis(20)));
    }
    thread::sleep(Duration::from_secs(6));
    let mut most = 0;
    for round in 0..8 {
        if has_trouble {
            let id = format!("i-{}", round % 4 + 1);
            let Some(replica) = world.replicas.get(&id) else {
                return Ok(None);
            };
            replica.rest(REST, round % 2 == 1);
            thread::sleep(REST);
            let counts = replica.rest_arrivals();
            record.say(format!("{id} asked for rest; later arrivals {counts}"));
            most = most.max(counts);
        }
        thread::sleep(Duration::from_secs(2));
    }
    world.end_traffic();
    Ok(Some(most <= 2 * DAEMONS))
}
