//! A part of prompts crashes replicas for longer than a minute.

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
use crate::http::{self, Message};
use crate::store::Store;

const SERVICE: &str = "summary-model";
const REPLICAS: u8 = 12;
/// Part that all prompts share, the one that crashes replicas, and their tokens.
const SHARED: &str = "5c1e07a2:5382";
const DEADLY: &str = "de4d91b3:4870";
/// Tokens of the last part of a prompt with it.
const LAST_TOKENS: u32 = 34_748;
/// Time in which a replica reads such a prompt of 45,000 tokens, at 61.2 a millisecond.
const READ: Duration = Duration::from_millis(735);
/// Time of sound requests alone.
const BEFORE: Duration = Duration::from_secs(4);
/// Time for which requests with the part come.
const TROUBLE: Duration = Duration::from_secs(85);
/// Pause between two of them: six a second.
const BETWEEN_DEADLY: Duration = Duration::from_millis(167);
/// Pause between two sound requests.
const BETWEEN_SOUND: Duration = Duration::from_millis(90);
/// `contact_ms` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Crashes after which the part counts as one that crashes replicas.
const CRASHES: usize = 5;
/// Most requests with it that may reach replicas after that.
const REQUESTS: usize = 3;

pub fn run(folder: &Path, temporary: &Path, has_trouble: bool) -> io::Result<Outcome> {
    let record = Record::create(&folder.join("record.txt"))?;
    let addresses = Addresses::new();
    let store = Arc::new(Store::start(addresses.at(1, 0))?);
    let provider = fleet::start_provider(addresses.at(2, 0), Arc::clone(&record))?;
    store.write("op/config", &configuration());
    let plan = Arc::new(Plan {
        store: Arc::clone(&store),
        record: Arc::clone(&record),
        deadly: has_trouble.then_some(Deadly {
            matches: has_part,
            after: READ,
        }),
        reached: Mutex::default(),
        crashes: Mutex::default(),
        next_id: AtomicU64::new(0),
    });
    for index in 0..REPLICAS {
        let seat = Seat {
            service: SERVICE,
            zone: ZONES[usize::from(index) % ZONES.len()],
            capacity: 64,
            ip: addresses.at(100 + index, 0).ip(),
        };
        fragile::start(&plan, seat)?;
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
    let clients = |prompt: fn(usize) -> Prompt, between| {
        start_clients(&fronts, &is_over, &record, prompt, between)
    };
    let sound = clients(sound_prompt, BETWEEN_SOUND);
    thread::sleep(BEFORE);
    let deadly = clients(deadly_prompt, BETWEEN_DEADLY);
    thread::sleep(TROUBLE);
    is_over.store(true, Ordering::SeqCst);
    let (sent, _) = deadly.join().unwrap_or_default();
    let (sound_sent, served) = sound.join().unwrap_or_default();
    record.print(&format!(
        "{sent} requests with the part were sent; of {sound_sent} others {served} were served"
    ));
    let (reached, crashes) = (plan.reached.lock().unwrap(), plan.crashes.lock().unwrap());
    Ok(judge(&reached, &crashes, has_trouble, &record))
}

fn judge(reached: &[Instant], crashes: &[Instant], has_trouble: bool, record: &Record) -> Outcome {
    let Some(fifth) = crashes.get(CRASHES - 1) else {
        record.print("the part crashed fewer than five replicas; BUDGET holds");
        return match has_trouble {
            true => Outcome::CannotRun("the part did not crash five replicas".into()),
            false => Outcome::Held,
        };
    };
    let is_late = |at: &&Instant| **at > *fifth + CONTACT;
    let late = reached.iter().filter(is_late).count();
    record.print(&format!(
        "requests with the part reached replicas {} times, and crashed {}; {late} reached one later \
         than contact_ms after the fifth crash",
        reached.len(),
        crashes.len()
    ));
    match late > REQUESTS {
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

fn has_part(message: &Message) -> bool {
    let parts = message.header("x-prefix-hash");
    parts.is_some_and(|parts| parts.contains(DEADLY))
}

struct Prompt {
    id: String,
    tokens: u32,
    parts: String,
}

fn sound_prompt(number: usize) -> Prompt {
    Prompt {
        id: format!("a{number:015x}"),
        tokens: 5_382 + 1_200,
        parts: format!("{SHARED},a{number:07x}:1200"),
    }
}

fn deadly_prompt(number: usize) -> Prompt {
    Prompt {
        id: format!("d{number:015x}"),
        tokens: 5_382 + 4_870 + LAST_TOKENS,
        parts: format!("{SHARED},{DEADLY},d{number:07x}:{LAST_TOKENS}"),
    }
}

/// Starts a client for each request, at an even rate; returns how many were sent and served.
fn start_clients(
    fronts: &Arc<[SocketAddr]>,
    is_over: &Arc<AtomicBool>,
    record: &Arc<Record>,
    prompt: fn(usize) -> Prompt,
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
            clients.push(http::spawn(move || send(front, &prompt(number), &record)));
            thread::sleep(between);
        }
        let sent = clients.len();
        let served = clients.into_iter().map(|client| client.join());
        let served = served.filter(|served| matches!(served, Ok(true))).count();
        (sent, served)
    })
}

/// Sends a request once; returns whether its answer is a success.
fn send(front: SocketAddr, prompt: &Prompt, record: &Record) -> bool {
    let Prompt { id, tokens, parts } = prompt;
    let message = format!(
        "POST /lohu930/{id} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {id}\r\n\
         x-deadline-ms: 15000\r\nauthorization: Bearer {KEY}\r\nx-model: m\r\n\
         x-token-usage: {tokens},380\r\nx-prefix-hash: {parts}\r\ncontent-length: 0\r\n\r\n"
    );
    let (status, outcome) = match http::call(front, &message, Duration::from_secs(16)) {
        Ok(reply) => (reply.status(), reply.status().to_string()),
        Err(error) => (0, format!("no answer: {error}")),
    };
    record.note(&format!("client: {id} to {front}: {outcome}"));
    status == 200
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\
         \"prefix\":\"/lohu930/\",\"kind\":\"streaming\",\"timeout_ms\":15000,\
         \"target_latency_ms\":1000,\"target_itl_ms\":300,\"priority\":0,\
         \"service\":\"{SERVICE}\",\"max_attempts\":2,\"public\":false,\
         \"session_affinity\":true,\"stream_resume\":true}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\
         \"max_connections\":370,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}
