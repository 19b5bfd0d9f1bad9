//! A request that crashes replicas comes again after its route has been moved to another service.

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

/// Services of the route before and after it is moved, with their replicas and the slots of each.
const SERVICES: [(&str, u8, u32); 2] = [("summary-model", 12, 64), ("retention-app", 3, 6)];
/// Path of the request that crashes replicas.
const DEADLY: &str = "/lohu930/deadly";
/// Parts of prompts: the one that all share, and the last one of the request and of sound ones.
const SHARED: (&str, u32) = ("5c1e07a2", 5_382);
const DEADLY_LAST: (&str, u32) = ("de4d91b3", 39_618);
const SOUND_TOKENS: u32 = 1_200;
/// Time in which a replica reads the request's 45,000 tokens, at 61.2 a millisecond.
const READ: Duration = Duration::from_millis(735);
/// Time of sound requests alone.
const BEFORE: Duration = Duration::from_secs(5);
/// Time for which the request comes before the route is moved, and after.
const AT_FIRST: Duration = Duration::from_secs(10);
const MOVED: Duration = Duration::from_secs(15);
/// Pause between two copies of the request: six a second.
const BETWEEN_COPIES: Duration = Duration::from_millis(167);
/// Pause between two sound requests.
const BETWEEN_SOUND: Duration = Duration::from_millis(90);
/// `contact_ms` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Crashes after which the request counts as one that crashes replicas.
const CRASHES: usize = 3;
/// Most retries that may reach replicas after that.
const RETRIES: usize = 3;

pub fn run(folder: &Path, temporary: &Path, has_trouble: bool) -> io::Result<Outcome> {
    // The request without the move, to compare.
    let is_moved = std::env::var("TROUBLE").as_deref() != Ok("stay");
    let record = Record::create(&folder.join("record.txt"))?;
    let addresses = Addresses::new();
    let store = Arc::new(Store::start(addresses.at(1, 0))?);
    let provider = fleet::start_provider(addresses.at(2, 0), Arc::clone(&record))?;
    let [(first, ..), (second, ..)] = SERVICES;
    store.write("op/config", &configuration(7, first));
    let plan = Arc::new(Plan {
        store: Arc::clone(&store),
        record: Arc::clone(&record),
        deadly: has_trouble.then_some(Deadly {
            matches: |message| message.path() == DEADLY,
            after: READ,
        }),
        reached: Mutex::default(),
        crashes: Mutex::default(),
        next_id: AtomicU64::new(0),
    });
    for (service, replicas, capacity) in SERVICES {
        for index in 0..replicas {
            let host = 100 + plan.next_id.load(Ordering::SeqCst) as u8;
            let seat = Seat {
                service,
                zone: ZONES[usize::from(index) % ZONES.len()],
                capacity,
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
    let clients = |request: fn(usize) -> Request, between| {
        start_clients(&fronts, &is_over, &record, request, between)
    };
    let sound = clients(sound_request, BETWEEN_SOUND);
    thread::sleep(BEFORE);
    let copies = clients(deadly_request, BETWEEN_COPIES);
    thread::sleep(AT_FIRST);
    if is_moved {
        store.write("op/config", &configuration(8, second));
        record.print("version 8 is acknowledged: it moves the route to the other service");
    }
    thread::sleep(MOVED);
    is_over.store(true, Ordering::SeqCst);
    let (copies, _) = copies.join().unwrap_or_default();
    let (sent, served) = sound.join().unwrap_or_default();
    record.print(&format!(
        "{copies} copies of the request were sent; of {sent} sound requests {served} were served"
    ));
    let (reached, crashes) = (plan.reached.lock().unwrap(), plan.crashes.lock().unwrap());
    Ok(judge(&reached, &crashes, has_trouble, &record))
}

fn judge(reached: &[Instant], crashes: &[Instant], has_trouble: bool, record: &Record) -> Outcome {
    let Some(third) = crashes.get(CRASHES - 1) else {
        record.print("the request crashed fewer than three replicas; BUDGET holds");
        return match has_trouble {
            true => Outcome::CannotRun("the request did not crash three replicas".into()),
            false => Outcome::Held,
        };
    };
    let is_late = |at: &&Instant| **at > *third + CONTACT;
    let late = reached.iter().filter(is_late).count();
    record.print(&format!(
        "the request reached replicas {} times and crashed {}; {late} times later than contact_ms \
         after the third crash",
        reached.len(),
        crashes.len()
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

struct Request {
    id: String,
    path: String,
    tokens: u32,
    parts: String,
}

fn request(id: String, path: String, last: (&str, u32)) -> Request {
    let ((shared, shared_tokens), (last, last_tokens)) = (SHARED, last);
    Request {
        id,
        path,
        tokens: shared_tokens + last_tokens,
        parts: format!("{shared}:{shared_tokens},{last}:{last_tokens}"),
    }
}

fn sound_request(number: usize) -> Request {
    let last = format!("a{number:07x}");
    let (id, path) = (format!("a{number:015x}"), format!("/lohu930/{number}"));
    request(id, path, (&last, SOUND_TOKENS))
}

fn deadly_request(number: usize) -> Request {
    request(format!("d{number:015x}"), DEADLY.to_owned(), DEADLY_LAST)
}

/// Starts a client for each request, at an even rate; returns how many were sent and served.
fn start_clients(
    fronts: &Arc<[SocketAddr]>,
    is_over: &Arc<AtomicBool>,
    record: &Arc<Record>,
    request: fn(usize) -> Request,
    between: Duration,
) -> thread::JoinHandle<(usize, usize)> {
    let (fronts, is_over) = (Arc::clone(fronts), Arc::clone(is_over));
    let record = Arc::clone(record);
    http::spawn(move || {
        let mut clients = Vec::new();
        while !is_over.load(Ordering::SeqCst) {
            let number = clients.len();
            let front = fronts[number % fronts.len()];
            let record = Arc::clone(&record);
            clients.push(http::spawn(move || send(front, &request(number), &record)));
            thread::sleep(between);
        }
        let sent = clients.len();
        let served = clients.into_iter().map(|client| client.join());
        let served = served.filter(|served| matches!(served, Ok(true))).count();
        (sent, served)
    })
}

/// Sends a request once; returns whether its answer is a success.
fn send(front: SocketAddr, request: &Request, record: &Record) -> bool {
    let Request {
        id,
        path,
        tokens,
        parts,
    } = request;
    let message = format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {id}\r\nx-deadline-ms: 15000\r\n\
         authorization: Bearer {KEY}\r\nx-model: m\r\nx-token-usage: {tokens},380\r\n\
         x-prefix-hash: {parts}\r\ncontent-length: 0\r\n\r\n"
    );
    let (status, outcome) = match http::call(front, &message, Duration::from_secs(16)) {
        Ok(reply) => (reply.status(), reply.status().to_string()),
        Err(error) => (0, format!("no answer: {error}")),
    };
    record.note(&format!("client: {id} {path} to {front}: {outcome}"));
    status == 200
}

fn configuration(version: u32, service: &str) -> String {
    let services = SERVICES.map(|(name, _, slots)| {
        let connections = if slots == 64 { 370 } else { 110 };
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\
             \"max_connections\":{connections},\"protocol\":\"h1\",\"tls\":false}}"
        )
    });
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\
         \"prefix\":\"/lohu930/\",\"kind\":\"streaming\",\"timeout_ms\":15000,\
         \"target_latency_ms\":1000,\"target_itl_ms\":300,\"priority\":0,\
         \"service\":\"{service}\",\"max_attempts\":2,\"public\":false,\
         \"session_affinity\":true,\"stream_resume\":true}}],\
         \"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        services.join(",")
    )
}
