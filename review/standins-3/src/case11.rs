//! Machines are added in a second region.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::fleet::{self, Addresses, Daemon, HOST, KEY, Place, Record, ZONES};
use crate::http::{self, Server};
use crate::json::Json;
use crate::replica::{Replica, Spec};
use crate::store::Store;

/// Zones and regions of the machines that are there from the start.
const FIRST: [Place; 4] = [
    Place {
        zone: "tt-north-a",
        region: "tt-north",
    },
    Place {
        zone: "tt-north-b",
        region: "tt-north",
    },
    Place {
        zone: "tt-north-a",
        region: "tt-north",
    },
    Place {
        zone: "tt-north-b",
        region: "tt-north",
    },
];
/// Zones and regions of the machines that are added.
const ADDED: [Place; 2] = [
    Place {
        zone: "tt-south-a",
        region: "tt-south",
    },
    Place {
        zone: "tt-south-a",
        region: "tt-south",
    },
];
/// Time before the machines are added.
const BEFORE: Duration = Duration::from_secs(20);
/// Time after that.
const AFTER: Duration = Duration::from_secs(40);
/// Pause between two requests of a client.
const PAUSE: Duration = Duration::from_millis(200);

/// A report that the platform got.
struct Report {
    at: Instant,
    owner: String,
    token: u64,
    window: u64,
    counts: String,
    is_accepted: bool,
}

type Reports = Arc<Mutex<Vec<Report>>>;

pub fn run(folder: &Path, temporary: &Path, has_trouble: bool) -> io::Result<Outcome> {
    let record = Record::create(&folder.join("record.txt"))?;
    let addresses = Addresses::new();
    let store = Arc::new(Store::start(addresses.at(1, 0))?);
    let reports: Reports = Arc::default();
    let provider = start_provider(addresses.at(2, 0), &reports, &record)?;
    store.write("op/config", &configuration());
    let runs = Arc::new(AtomicU64::new(0));
    let mut replicas = Vec::new();
    for (index, zone) in ZONES.into_iter().enumerate() {
        let spec = Spec {
            id: format!("i-{index:08x}"),
            service: "wuno96b",
            zone,
            capacity: 6,
            work: Duration::from_millis(60),
        };
        let address = addresses.at(100 + index as u8, 0);
        replicas.push(Replica::start(spec, address, &store, &runs, &record)?);
    }
    let prepare = |number: u8, place: Place| {
        let (store, provider) = (store.address, provider.address);
        Daemon::prepare_at(temporary, &addresses, number, place, store, provider)
    };
    let mut daemons = Vec::new();
    for (number, place) in (1..).zip(FIRST) {
        let mut daemon = prepare(number, place)?;
        daemon.start()?;
        daemons.push(daemon);
    }
    if !fleet::wait_ready(&daemons, Duration::from_secs(10)) {
        return Ok(Outcome::CannotRun("the daemons do not get ready".into()));
    }
    record.print("four daemons in region tt-north are ready");
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (number, daemon) in (1..).zip(&daemons) {
        clients.push(start_client(number, daemon.front, &is_over, &record));
    }
    thread::sleep(BEFORE);
    let added_at = Instant::now();
    if has_trouble {
        for (number, place) in (1 + FIRST.len() as u8..).zip(ADDED) {
            let mut daemon = prepare(number, place)?;
            daemon.start()?;
            clients.push(start_client(
                u32::from(number),
                daemon.front,
                &is_over,
                &record,
            ));
            daemons.push(daemon);
        }
        if !fleet::wait_ready(&daemons, Duration::from_secs(10)) {
            return Ok(Outcome::CannotRun(
                "the added daemons do not get ready".into(),
            ));
        }
        record.print("two daemons in region tt-south are added, and ready");
    }
    thread::sleep(AFTER);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    for (key, _, value) in store.keys("laburnumstall/placement/") {
        record.note(&format!("in the store: {key}: {value}"));
    }
    let reports = reports.lock().unwrap();
    let before = reports.iter().filter(|report| report.at < added_at).count();
    let mut owners: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    for report in reports.iter() {
        owners
            .entry(report.token)
            .or_default()
            .insert(&report.owner);
    }
    let shared: Vec<String> = owners
        .iter()
        .filter(|(_, owners)| owners.len() > 1)
        .map(|(token, owners)| format!("{token} by {owners:?}"))
        .collect();
    let mut accepted: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    for report in reports.iter().filter(|report| report.is_accepted) {
        accepted
            .entry(report.window)
            .or_default()
            .insert(&report.counts);
    }
    let differing = accepted.values().filter(|counts| counts.len() > 1).count();
    record.print(&format!(
        "{} usage reports, {before} of them before; tokens that two holders sent: {shared:?}; \
         windows accepted with different counts: {differing}; replicas ran {} requests",
        reports.len(),
        runs.load(Ordering::SeqCst)
    ));
    if before == 0 || reports.len() <= before {
        return Ok(Outcome::CannotRun("no usage reports came".into()));
    }
    let is_broken = !shared.is_empty() || differing > 0;
    record.print(if is_broken {
        "ONE is broken"
    } else {
        "ONE holds"
    });
    Ok(if is_broken {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// Starts the platform's API, which refuses a fencing token below one that it has seen. All windows
/// are one subject.
fn start_provider(
    address: SocketAddr,
    reports: &Reports,
    record: &Arc<Record>,
) -> io::Result<Server> {
    let (reports, record) = (Arc::clone(reports), Arc::clone(record));
    let highest = Mutex::new(0);
    Server::start(address, move |caller| {
        while let Some(mut message) = http::read_head(&mut caller.reader)? {
            http::read_body(&mut caller.reader, &mut message)?;
            let owner = message
                .header("x-duty-owner")
                .unwrap_or_default()
                .to_owned();
            let token = message
                .header("x-fencing-token")
                .and_then(|text| text.parse().ok());
            let token: u64 = token.unwrap_or_default();
            let body = Json::parse(&message.body).unwrap_or(Json::Null);
            let text = String::from_utf8_lossy(&message.body).into_owned();
            let is_accepted = {
                let mut highest = highest.lock().unwrap();
                let is_accepted = token >= *highest;
                *highest = token.max(*highest);
                is_accepted
            };
            let status = if is_accepted { 200 } else { 409 };
            record.note(&format!(
                "{} by {owner}, token {token}: {text}: {status}",
                message.line
            ));
            if message.path() == "/usage" {
                let counts = text
                    .split_once("\"counts\":")
                    .map(|(_, counts)| counts.to_owned());
                reports.lock().unwrap().push(Report {
                    at: Instant::now(),
                    owner,
                    token,
                    window: body.get("window_id").and_then(Json::number).unwrap_or(0),
                    counts: counts.unwrap_or_default(),
                    is_accepted,
                });
            }
            caller.reply(status, "content-type: application/json\r\n", b"{}")?;
        }
        Ok(())
    })
}

fn start_client(
    client: u32,
    front: SocketAddr,
    is_over: &Arc<AtomicBool>,
    record: &Arc<Record>,
) -> thread::JoinHandle<()> {
    let (is_over, record) = (Arc::clone(is_over), Arc::clone(record));
    http::spawn(move || {
        let (mut sent, mut served) = (0, 0);
        while !is_over.load(Ordering::SeqCst) {
            sent += 1;
            let message = format!(
                "GET /pule252/{sent} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: \
                 {client:04x}{sent:012x}\r\nx-deadline-ms: 4000\r\nauthorization: Bearer {KEY}\
                 \r\n\r\n"
            );
            let reply = http::call(front, &message, Duration::from_secs(5));
            served += u32::from(reply.is_ok_and(|reply| reply.status() == 200));
            thread::sleep(PAUSE);
        }
        record.note(&format!(
            "client of {front}: {sent} requests sent, {served} served"
        ));
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
