//! Daemons restart beside a store that holds the usage reports of half a year.

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::fleet::{self, Addresses, Daemon, HOST, KEY, Record, ZONES};
use crate::http;
use crate::replica::{Replica, Spec, Work};
use crate::store::{Past, Store};

/// Days for which the system has run.
const DAYS: u64 = 180;
/// Length of a usage window in seconds, as the settings say.
const WINDOW_S: u64 = 5;
/// Time of traffic before the fault.
const BEFORE: Duration = Duration::from_secs(18);
/// Time for which killed daemons are down.
const DOWN: Duration = Duration::from_millis(1_400);
/// Time after which the daemons have to serve again: `recover_s`.
const RECOVER: Duration = Duration::from_secs(12);
/// Time of traffic that is judged.
const JUDGED: Duration = Duration::from_secs(40);
/// Clients, each with a request every 250 ms.
const CLIENTS: usize = 12;
const PAUSE: Duration = Duration::from_millis(250);

#[derive(Debug, Clone, Copy)]
struct Sent {
    at: Instant,
    is_served: bool,
}

pub fn run(folder: &Path, temporary: &Path, has_trouble: bool) -> io::Result<Outcome> {
    let record = Record::create(&folder.join("record.txt"))?;
    let addresses = Addresses::new();
    let store = Arc::new(Store::start(addresses.at(1, 0))?);
    let provider = fleet::start_provider(addresses.at(2, 0), Arc::clone(&record))?;
    store.write("op/config", &configuration());
    let runs = Arc::new(AtomicU64::new(0));
    let mut replicas = Vec::new();
    for (index, zone) in ZONES.into_iter().enumerate() {
        let spec = Spec {
            id: format!("i-{index:08x}"),
            service: "wuno96b",
            zone,
            version: "1",
            capacity: 6,
            work: Work::Plain(Duration::from_millis(60)),
            keep_alive: 5,
        };
        let address = addresses.at(100 + index as u8, 0);
        replicas.push(Replica::start(spec, address, &store, &runs, None)?);
    }
    let mut daemons = Vec::new();
    for number in 1..=4 {
        let (store, provider) = (store.address, provider.address);
        let mut daemon = Daemon::prepare(temporary, &addresses, number, store, provider)?;
        daemon.start()?;
        daemons.push(daemon);
    }
    if !fleet::wait_ready(&daemons, Duration::from_secs(10)) {
        return Ok(Outcome::CannotRun("the daemons do not get ready".into()));
    }
    record.print("four daemons are ready");

    let directories: Vec<_> = daemons.iter().map(|daemon| daemon.directory).collect();
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (directories, sent) = (directories.clone(), Arc::clone(&sent));
            let (is_over, record) = (Arc::clone(&is_over), Arc::clone(&record));
            http::spawn(move || run_client(client, &directories, &sent, &is_over, &record))
        })
        .collect();
    thread::sleep(BEFORE);

    let reports = store.keys("laburnumstall/usage/");
    for (key, lease, value) in &reports {
        record.note(&format!("in the store: {key}, lease {lease}, {value}"));
    }
    let Some((first, _, _)) = reports.first() else {
        return Ok(Outcome::CannotRun(
            "the daemons stored no usage report".into(),
        ));
    };
    let unbound = reports.iter().filter(|(_, lease, _)| *lease == 0).count();
    record.print(&format!(
        "the daemons have written {} usage reports, {unbound} of them without a lease",
        reports.len()
    ));
    let first: u64 = first
        .rsplit('/')
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let count = DAYS * 86_400 / WINDOW_S;
    store.set_past(Past {
        prefix: "laburnumstall/usage/".into(),
        first: first - count,
        count,
        value: |window| format!("{{\"window\":{window},\"counts\":{{\"huka270\":251}}}}"),
    });
    record.print(&format!(
        "the store holds the {count} reports of the {DAYS} days before, too"
    ));

    let pages_before = store.pages();
    if has_trouble {
        for daemon in &mut daemons {
            daemon.kill();
        }
        record.print("all daemons are killed");
        thread::sleep(DOWN);
        for daemon in &mut daemons {
            daemon.start()?;
        }
        record.print("all daemons are started again");
    } else {
        thread::sleep(DOWN);
    }
    let back_at = Instant::now();
    let judged_from = back_at + RECOVER;
    while back_at.elapsed() < RECOVER + JUDGED {
        thread::sleep(Duration::from_secs(4));
        let ready = daemons.iter().filter(|daemon| daemon.is_ready()).count();
        let running = daemons
            .iter_mut()
            .filter_map(|d| d.is_running().then_some(()))
            .count();
        record.print(&format!(
            "{:.0} s later: {running} daemons run, {ready} are ready; {} pages of the store read; \
             the first daemon's memory: {}",
            back_at.elapsed().as_secs_f64(),
            store.pages() - pages_before,
            daemons[0].status("VmRSS")
        ));
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().unwrap();
    let share = |from: Instant, to: Instant| {
        let all: Vec<_> = sent
            .iter()
            .filter(|sent| sent.at >= from && sent.at < to)
            .collect();
        let served = all.iter().filter(|sent| sent.is_served).count();
        (all.len(), served)
    };
    let start = sent.first().map_or(back_at, |sent| sent.at);
    let (before, served_before) = share(start, start + BEFORE);
    let (after, served_after) = share(judged_from, judged_from + JUDGED - Duration::from_secs(4));
    record.print(&format!(
        "before: {served_before} of {before} requests served"
    ));
    record.print(&format!(
        "sent later than recover_s after the daemons were back: {served_after} of {after} served; \
         the replicas ran {}",
        runs.load(Ordering::SeqCst)
    ));
    if served_before * 4 < before || before < 100 || after < 100 {
        return Ok(Outcome::CannotRun(
            "too few requests, or few served before".into(),
        ));
    }
    let is_broken = served_after * 4 < after;
    record.print(if is_broken {
        "RECOVER is broken"
    } else {
        "RECOVER holds"
    });
    Ok(if is_broken {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\
         \"prefix\":\"/pule252/\",\"kind\":\"idempotent\",\"timeout_ms\":4000,\
         \"target_latency_ms\":300,\"priority\":2,\"service\":\"wuno96b\",\"max_attempts\":2,\
         \"public\":false,\"session_affinity\":false,\"stream_resume\":false}}],\
         \"services\":[{{\"name\":\"wuno96b\",\"health_path\":\"/healthz\",\
         \"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// Sends a request every 250 ms to one of the addresses that the directory names, on a new
/// connection, and once more to another one if it fails.
fn run_client(
    client: usize,
    directories: &[std::net::SocketAddr],
    sent: &Mutex<Vec<Sent>>,
    is_over: &AtomicBool,
    record: &Record,
) {
    let mut known = Vec::new();
    for number in 0_usize.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let at = Instant::now();
        if number.is_multiple_of(4) {
            let first = (client + number / 4) % directories.len();
            let mut order = directories.to_vec();
            order.rotate_left(first);
            order.truncate(3);
            let addresses = fleet::resolve(&order);
            if !addresses.is_empty() {
                known = addresses;
            }
        }
        let mut is_served = false;
        for attempt in 0..2 {
            let Some(address) = known.get((client + number + attempt) % known.len().max(1)) else {
                break;
            };
            let id = format!("{client:04x}{number:010x}{attempt:02x}");
            let message = format!(
                "GET /pule252/2f HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {id}\r\n\
                 x-deadline-ms: 4000\r\nauthorization: Bearer {KEY}\r\n\r\n"
            );
            let reply = http::call(*address, &message, Duration::from_secs(1));
            let outcome = match &reply {
                Ok(reply) => format!("{}", reply.status()),
                Err(error) => format!("no answer: {error}"),
            };
            record.note(&format!("client {client}: {id} to {address}: {outcome}"));
            let has_signature =
                |reply: &http::Message| reply.header("x-replica-signature").is_some();
            if reply.is_ok_and(|reply| reply.status() == 200 && has_signature(&reply)) {
                is_served = true;
                break;
            }
        }
        sent.lock().unwrap().push(Sent { at, is_served });
        thread::sleep(PAUSE.saturating_sub(at.elapsed()));
    }
}
