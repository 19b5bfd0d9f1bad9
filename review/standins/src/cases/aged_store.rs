//! All processes are killed after the system has run for half a year.

use std::io;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::client::End;
use crate::record::Record;
use crate::world::{World, read_client};

/// `usage_window_s` of the settings.
const WINDOW_S: u64 = 5;
/// Days for which the system has reported usage.
const DAYS: u64 = 180;
/// `recover_s` of the settings.
const RECOVERY: f64 = 12.0;
/// Time after that for which requests are counted.
const COUNTED: f64 = 18.0;
const DOWN: Duration = Duration::from_millis(1_000);

pub fn run(record: &Record, folder: PathBuf, has_trouble: bool) -> io::Result<Option<bool>> {
    let mut world = World::start(record, 4, folder)?;
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
    thread::sleep(Duration::from_secs(22));
    // What the daemons write for each window of usage, and leave there.
    let prefix = "laburnumstall/usage/";
    let written = world.store.count(prefix);
    record.say(format!("reports in the store after 22 s: {written}"));
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let newest = since.map_or(0, |since| since.as_secs()) / WINDOW_S - 100;
    let windows = DAYS * 24 * 3_600 / WINDOW_S;
    world
        .store
        .add_old((newest - windows..newest).map(|window| {
            let value = format!("{{\"window\":{window},\"counts\":{{\"tenant-one\":1000}}}}");
            (format!("{prefix}{window}"), value)
        }));
    record.say(format!(
        "reports of {DAYS} days: {}",
        world.store.count(prefix)
    ));
    let begin = record.now();
    thread::sleep(Duration::from_secs(6));
    let fault = record.now();
    if has_trouble {
        record.say("all processes are killed");
        for daemon in &mut world.daemons {
            daemon.kill();
        }
        thread::sleep(DOWN);
        for daemon in &mut world.daemons {
            daemon.start()?;
        }
    }
    let back = record.now();
    record.say("the machines are back");
    thread::sleep(Duration::from_secs_f64(RECOVERY + COUNTED + 1.0));
    world.end_traffic();
    let results = world.results();
    let share = |from: f64, to: f64| {
        let sent = results
            .iter()
            .filter(|done| done.sent > from && done.sent <= to);
        let sent: Vec<_> = sent.collect();
        let served = sent
            .iter()
            .filter(|done| done.answer.end == End::Status(200));
        let served = served.count();
        (served, sent.len(), served as f64 / sent.len().max(1) as f64)
    };
    let before = share(begin, fault);
    let after = share(back + RECOVERY, back + RECOVERY + COUNTED);
    record.say(format!(
        "served before: {} of {}; sent later than {RECOVERY} s after the machines were back: {} of {}",
        before.0, before.1, after.0, after.1
    ));
    let is_valid = before.2 >= 0.25 && written >= 2;
    Ok(is_valid.then_some(after.2 >= 0.25))
}
