//! A request that crashes replicas comes again on a route that is split among services.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::fleet::{self, Addresses, Daemon, HOST, KEY, Record, ZONES};
use crate::fragile::{self, Deadly, Plan, Seat};
use crate::http;
use crate::store::Store;

/// Services with the weights of the route, and the replicas of each.
const SPLIT: [(&str, u32); 3] = [("wuno96b", 34), ("huvo11a", 33), ("pako52c", 33)];
const REPLICAS: u8 = 4;
/// Path of the request that crashes replicas.
const DEADLY: &str = "/pule252/deadly";
/// Time until it begins to run.
const START: Duration = Duration::from_millis(20);
/// Time of sound requests alone.
const BEFORE: Duration = Duration::from_secs(5);
/// Pause between two copies of the request, and their number.
const BETWEEN_COPIES: Duration = Duration::from_millis(2_000);
const COPIES: u32 = 30;
/// Pause between two sound requests.
const BETWEEN_SOUND: Duration = Duration::from_millis(50);
/// `contact_ms` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Crashes after which the request counts as one that crashes replicas.
const CRASHES: usize = 3;
/// Most retries that may reach replicas after that.
const RETRIES: usize = 3;

pub fn run(folder: &Path, temporary: &Path, has_trouble: bool) -> io::Result<Outcome> {
    // The same with a route that one service serves, to compare.
    let is_alone = std::env::var("TROUBLE").as_deref() == Ok("alone");
    let record = Record::create(&folder.join("record.txt"))?;
    let addresses = Addresses::new();
    let store = Arc::new(Store::start(addresses.at(1, 0))?);
    let provider = fleet::start_provider(addresses.at(2, 0), Arc::clone(&record))?;
    let split = if is_alone { &SPLIT[..1] } else { &SPLIT[..] };
    store.write("op/config", &configuration(split));
    let plan = Arc::new(Plan {
        store: Arc::clone(&store),
        record: Arc::clone(&record),
        deadly: has_trouble.then_some(Deadly {
            matches: |message| message.path() == DEADLY,
            after: START,
        }),
        reached: Mutex::default(),
        crashes: Mutex::default(),
        next_id: AtomicU64::new(0),
    });
    for (service, _) in SPLIT {
        for index in 0..REPLICAS {
            let host = 100 + plan.next_id.load(Ordering::SeqCst) as u8;
            let seat = Seat {
                service,
                zone: ZONES[usize::from(index) % ZONES.len()],
                ip: addresses.at(host, 0).ip(),
            };
            fragile::start(&plan, seat)?;
        }
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
    let fronts: Arc<[SocketAddr]> = daemons.iter().map(|daemon| daemon.front).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let sound = start_sound(&fronts, &is_over, &record);
    thread::sleep(BEFORE);
    let mut copies = Vec::new();
    for copy in 0..COPIES {
        let front = fronts[copy as usize % fronts.len()];
        let record = Arc::clone(&record);
        copies.push(http::spawn(move || {
            send(front, DEADLY, &format!("d{copy:015x}"), &record);
        }));
        thread::sleep(BETWEEN_COPIES);
    }
    is_over.store(true, Ordering::SeqCst);
    copies.into_iter().for_each(|copy| drop(copy.join()));
    let (sent, served) = sound.join().unwrap_or_default();
    record.print(&format!(
        "{COPIES} copies of the request were sent; of {sent} sound requests {served} were served"
    ));
    let reached = plan.reached.lock().unwrap();
    Ok(judge(&reached, has_trouble, &record))
}

fn judge(reached: &[Instant], has_trouble: bool, record: &Record) -> Outcome {
    let Some(third) = reached.get(CRASHES - 1) else {
        record.print("the request crashed fewer than three replicas; BUDGET holds");
        return match has_trouble {
            true => Outcome::CannotRun("the request did not crash three replicas".into()),
            false => Outcome::Held,
        };
    };
    let is_late = |at: &&Instant| **at > *third + CONTACT;
    let late = reached.iter().filter(is_late).count();
    record.print(&format!(
        "the request reached {} replicas, {late} of them later than contact_ms after it had crashed \
         the third",
        reached.len()
    ));
    match late > RETRIES {
        true => {
            record.print("BUDGET is broken");
            Outcome::Broken
        }
        false => {
            record.print("BUDGET holds");
            Outcome::Held
        }
    }
}

/// Starts a client for each sound request, at an even rate; returns how many were sent and served.
fn start_sound(
    fronts: &Arc<[SocketAddr]>,
    is_over: &Arc<AtomicBool>,
    record: &Arc<Record>,
) -> thread::JoinHandle<(usize, usize)> {
    let (fronts, is_over) = (Arc::clone(fronts), Arc::clone(is_over));
    let record = Arc::clone(record);
    http::spawn(move || {
        let mut clients = Vec::new();
        while !is_over.load(Ordering::SeqCst) {
            let number = clients.len();
            let front = fronts[number % fronts.len()];
            let record = Arc::clone(&record);
            clients.push(http::spawn(move || {
                let path = format!("/pule252/{number}");
                send(front, &path, &format!("{number:016x}"), &record) == 200
            }));
            thread::sleep(BETWEEN_SOUND);
        }
        let sent = clients.len();
        let served = clients.into_iter().map(|client| client.join());
        (
            sent,
            served.filter(|served| matches!(served, Ok(true))).count(),
        )
    })
}

/// Sends a request once; returns the status of its answer, or 0.
fn send(front: SocketAddr, path: &str, id: &str, record: &Record) -> u16 {
    let body = "b".repeat(800);
    let message = format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {id}\r\nx-deadline-ms: 4000\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let (status, outcome) = match http::call(front, &message, Duration::from_secs(5)) {
        Ok(reply) => (reply.status(), reply.status().to_string()),
        Err(error) => (0, format!("no answer: {error}")),
    };
    record.note(&format!("client: {id} {path} to {front}: {outcome}"));
    status
}

fn configuration(split: &[(&str, u32)]) -> String {
    let targets: Vec<String> = split
        .iter()
        .map(|(service, weight)| format!("{{\"service\":\"{service}\",\"weight\":{weight}}}"))
        .collect();
    let targets = match split {
        [(service, _)] => format!("\"service\":\"{service}\""),
        _ => format!("\"split\":[{}]", targets.join(",")),
    };
    let services: Vec<String> = SPLIT
        .iter()
        .map(|(service, _)| {
            format!(
                "{{\"name\":\"{service}\",\"health_path\":\"/healthz\",\"max_connections\":110,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\
         \"prefix\":\"/pule252/\",\"kind\":\"non_idempotent\",\"timeout_ms\":4000,\
         \"target_latency_ms\":300,\"priority\":2,{targets},\"max_attempts\":1,\
         \"public\":false,\"session_affinity\":false,\"stream_resume\":false}}],\
         \"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        services.join(",")
    )
}
