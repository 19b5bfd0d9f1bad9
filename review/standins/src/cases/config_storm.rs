//! Configurations come in quick succession while the store turns one machine away.

use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Call, End};
use crate::record::Record;
use crate::store::Path;
use crate::world::{HOST, READ_DEADLINE, READ_TIMEOUT, World, big_configuration};

/// Routes of the configuration beside those that clients use.
const ROUTES: usize = 1_400;
/// Configurations, and the time between two of them.
const VERSIONS: u64 = 44;
const GAP: Duration = Duration::from_millis(90);
/// Time for which the store turns the machine away.
const TURNED_AWAY: Duration = Duration::from_millis(9_000);
/// `contact_ms` and `apply_ms` of the settings, in seconds.
const CONTACT: f64 = 3.0;
const APPLY: f64 = 2.0;

pub fn run(record: &Record, folder: PathBuf, has_trouble: bool) -> io::Result<Option<bool>> {
    let mut world = World::start(record, 4, folder)?;
    world
        .store
        .put("op/config", &big_configuration(7, "models", ROUTES));
    for number in 1..=3 {
        world.replica(number, "v1")?;
    }
    for number in 4..=6 {
        world.replica_of("others", number, "v1")?;
    }
    if !world.start_daemons()? {
        return Ok(None);
    }
    let fronts: Vec<_> = world.daemons.iter().map(|daemon| daemon.front()).collect();
    let sent = Arc::new(Mutex::new(Vec::<(String, usize, f64, End)>::new()));
    for (index, to) in fronts.into_iter().enumerate() {
        let sent = Arc::clone(&sent);
        world.client(move |traffic| {
            while !traffic.is_over() {
                let id = traffic.id();
                let at = traffic.record.now();
                let path = format!("/public/{id}");
                let call = Call {
                    method: "GET",
                    path: &path,
                    host: HOST,
                    id: &id,
                    key: "",
                    headers: "",
                    body: b"",
                    deadline: READ_DEADLINE,
                    patience: READ_DEADLINE,
                };
                let answer = traffic.attempt("public", to, READ_TIMEOUT, &call);
                if let Ok(mut sent) = sent.lock() {
                    sent.push((id, index, at, answer.end));
                }
                thread::sleep(Duration::from_millis(50));
            }
        });
    }
    thread::sleep(Duration::from_secs(8));
    let path = world.daemons[0].store;
    let begin = Instant::now();
    if has_trouble {
        world.store.set_path(path, Path::Busy);
        record.say(format!("the store turns {} away", world.daemons[0].name));
    }
    thread::sleep(Duration::from_secs(2));
    let last = 8 + VERSIONS;
    for number in 8..=last {
        let service = if number == last { "others" } else { "models" };
        let text = big_configuration(number, service, ROUTES);
        if number == 8 {
            record.say(format!("a configuration has {} bytes", text.len()));
        }
        world.store.put("op/config", &text);
        thread::sleep(GAP);
    }
    let acknowledged = record.now();
    record.say(format!(
        "the store has acknowledged version {last}, by which `others` serves the public route"
    ));
    thread::sleep(TURNED_AWAY.saturating_sub(begin.elapsed()));
    world.store.set_path(path, Path::Open);
    let open = record.now();
    record.say("the store serves all machines");
    thread::sleep(Duration::from_secs(25));
    world.end_traffic();
    let runs = world
        .runs
        .lock()
        .map(|runs| runs.clone())
        .unwrap_or_default();
    let sent = sent.lock().map(|sent| sent.clone()).unwrap_or_default();
    let in_touch = |index: usize, at: f64| index > 0 || !has_trouble || at > open + CONTACT;
    let mut old = [0; 4];
    let mut latest = 0.0_f64;
    for (id, index, at, _) in &sent {
        let Some(run) = runs.get(id) else {
            continue;
        };
        let is_old = run.iter().any(|(replica, _)| replica.as_str() < "i-4");
        if is_old && *at > acknowledged + APPLY && in_touch(*index, *at) {
            old[*index] += 1;
            latest = latest.max(*at - acknowledged);
        }
    }
    record.say(format!(
        "requests that the old service ran, sent over {APPLY} s after the acknowledgement to machines in touch, \
         by machine: {old:?}; the last one {latest:.1} s after it"
    ));
    Ok(Some(old.iter().sum::<u32>() == 0))
}
