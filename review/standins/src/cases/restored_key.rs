//! The store comes back from a copy that still has a key that was taken away, and a daemon that
//! was killed meanwhile has started again.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Call;
use crate::fleet::Daemon;
use crate::record::Record;
use crate::store::Path;
use crate::world::{
    HOST, KEY, READ_DEADLINE, READ_TIMEOUT, Traffic, World, configuration, read_client,
};

/// `revoke_ms` of the settings.
const REVOCATION: f64 = 5.0;
/// Time from the withdrawal of a key until the store is away.
const UNTIL_AWAY: Duration = Duration::from_millis(4_200);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(1_500);
/// Age of the copy when the store is back.
const COPY_AGE: Duration = Duration::from_millis(6_200);
/// Time after which the operator has written the configuration again.
const OPERATOR_DELAY: Duration = Duration::from_millis(1_000);
/// Time until a process that ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Keys that are taken away, one after the other.
const KEYS: [&str; 3] = ["first-key", "second-key", "third-key"];

pub fn run(record: &Record, folder: PathBuf, has_trouble: bool) -> io::Result<Option<bool>> {
    let mut world = World::start(record, 4, folder)?;
    world.store.keep_copies();
    let version = |number: u64, taken: usize| {
        let keys: Vec<&str> = [KEY].iter().chain(&KEYS[taken..]).copied().collect();
        configuration(number, &keys)
    };
    world.store.put("op/config", &version(7, 0));
    for number in 1..=4 {
        world.replica(number, "v1")?;
    }
    if !world.start_daemons()? {
        return Ok(None);
    }
    world.follow_directory();
    for _ in 0..8 {
        world.client(move |traffic| read_client(traffic, Duration::from_millis(100)));
    }
    // Clients that go on with a key that was taken away, near each daemon.
    let sent = Arc::new(Mutex::new(BTreeMap::<String, (usize, f64)>::new()));
    let current = Arc::new(Mutex::new(0_usize));
    for index in 0..world.daemons.len() {
        let (sent, current) = (Arc::clone(&sent), Arc::clone(&current));
        let nearest = world.directory_client(index);
        world.client(move |traffic| key_client(traffic, &nearest, &sent, &current));
    }
    thread::sleep(Duration::from_secs(6));
    let mut withdrawn = Vec::new();
    for (round, key) in KEYS.iter().enumerate() {
        if let Ok(mut current) = current.lock() {
            *current = round;
        }
        thread::sleep(Duration::from_secs(6));
        let number = 8 + round as u64;
        let newer = version(number, round + 1);
        world.store.put("op/config", &newer);
        withdrawn.push(record.now());
        record.say(format!(
            "the store acknowledges version {number}, without {key}"
        ));
        thread::sleep(UNTIL_AWAY);
        if has_trouble {
            drill(&mut world)?;
            thread::sleep(OPERATOR_DELAY);
            world.store.put("op/config", &newer);
            record.say(format!("the operator has written version {number} again"));
        } else {
            thread::sleep(AWAY + OPERATOR_DELAY);
        }
        thread::sleep(Duration::from_secs(6));
    }
    world.end_traffic();
    let runs = world
        .runs
        .lock()
        .map(|runs| runs.clone())
        .unwrap_or_default();
    let sent = sent.lock().map(|sent| sent.clone()).unwrap_or_default();
    let (mut before, mut late) = (0, 0);
    for (id, (key, at)) in &sent {
        let Some(taken_at) = withdrawn.get(*key).filter(|_| runs.contains_key(id)) else {
            continue;
        };
        if *at > taken_at + REVOCATION {
            late += 1;
            record.line(format!(
                "{id} ran, sent {:.3} s after the acknowledgement that took {} away",
                at - taken_at,
                KEYS[*key]
            ));
        } else {
            before += 1;
        }
    }
    record.say(format!(
        "requests with the keys that ran: {before} sent in time, {late} sent too late"
    ));
    Ok((before > 0).then_some(late == 0))
}

/// The store is away for a moment, one daemon is killed and started again, and the store comes
/// back from a copy.
fn drill(world: &mut World) -> io::Result<()> {
    let record = world.record.clone();
    let paths: Vec<SocketAddr> = world.daemons.iter().map(|daemon| daemon.store).collect();
    for path in &paths {
        world.store.set_path(*path, Path::Silent);
    }
    let away = Instant::now();
    record.say("the store is away");
    thread::sleep(Duration::from_millis(200));
    let daemon = &mut world.daemons[0];
    record.say(format!("{} is killed", daemon.name));
    daemon.kill();
    thread::sleep(RESTART_DELAY);
    daemon.start()?;
    record.say(format!("{} is started again", daemon.name));
    thread::sleep(AWAY.saturating_sub(away.elapsed()));
    world.store.restore(COPY_AGE);
    for path in &paths {
        world.store.set_path(*path, Path::Open);
    }
    record.say(format!("the store is back from a copy {COPY_AGE:?} old"));
    Ok(())
}

fn key_client(
    traffic: &Traffic,
    nearest: &Daemon,
    sent: &Mutex<BTreeMap<String, (usize, f64)>>,
    current: &Mutex<usize>,
) {
    let mut addresses = Vec::new();
    let mut resolved_at = None::<Instant>;
    while !traffic.is_over() {
        if resolved_at.is_none_or(|at| at.elapsed() > Duration::from_millis(500)) {
            let found = nearest.resolve(HOST);
            if !found.is_empty() {
                addresses = found;
            }
            resolved_at = Some(Instant::now());
        }
        let id = traffic.id();
        let key = current.lock().map_or(0, |current| *current);
        let number = u64::from_str_radix(&id, 16).unwrap_or(0) as usize;
        if let Some(to) = addresses.get(number % addresses.len().max(1)) {
            if let Ok(mut sent) = sent.lock() {
                sent.insert(id.clone(), (key, traffic.record.now()));
            }
            let path = format!("/read/{id}");
            let call = Call {
                method: "GET",
                path: &path,
                host: HOST,
                id: &id,
                key: KEYS[key],
                headers: "",
                body: b"",
                deadline: READ_DEADLINE,
                patience: READ_DEADLINE,
            };
            traffic.attempt("key", *to, READ_TIMEOUT, &call);
        }
        thread::sleep(Duration::from_millis(20));
    }
}
