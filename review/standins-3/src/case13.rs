//! All processes of the system are killed while the store is away.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::engine::{Engine, Spec};
use crate::fleet::{self, Addresses, Daemon, HOST, KEY, Record, ZONES};
use crate::http::{self, Link};
use crate::store::Store;

const SERVICE: &str = "summary-model";
/// Versions of the replicas, which serve side by side from the start.
const VERSIONS: [&str; 2] = ["v1", "v2"];
const REPLICAS: usize = 12;
/// Events of each stream.
const EVENTS: u32 = 76;
/// Time before the first event, and between two.
const PAUSES: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(20));
/// Pause between the beginnings of two streams.
const BETWEEN_STREAMS: Duration = Duration::from_millis(58);
/// Deadline of a client.
const DEADLINE: Duration = Duration::from_secs(15);
/// Times that a client takes a stream up, or tries again.
const RETRIES: u32 = 1;
/// Pause of a client before it does so: its machine is in touch by then.
const PAUSE: Duration = Duration::from_millis(3_900);
/// Time before the disruption.
const BEFORE: Duration = Duration::from_secs(12);
/// Time for which the store is away before the processes are killed: longer than a stream.
const TO_KILL: Duration = Duration::from_millis(2_700);
/// Time from the kill until the store is back and the processes start again.
const TO_START: Duration = Duration::from_millis(300);
/// `contact_ms` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time from the kill until no further stream begins.
const AFTER: Duration = Duration::from_secs(12);
/// Streams that have to be taken up.
const LEAST: usize = 12;

/// One try of a client.
struct Try {
    at: Instant,
    is_resumed: bool,
    /// Whether an event came.
    goes_on: bool,
}

/// What a client got of one stream.
#[derive(Default)]
struct Stream {
    tries: Vec<Try>,
    /// Attempt that brought the first event.
    first: String,
    versions: Vec<String>,
    last: u32,
    is_complete: bool,
    is_wrong: bool,
}

pub fn run(folder: &Path, temporary: &Path, has_trouble: bool) -> io::Result<Outcome> {
    // One of the two disruptions alone, to compare.
    let only = std::env::var("TROUBLE").unwrap_or_default();
    let (is_away, is_killed) = (
        has_trouble && only != "kill",
        has_trouble && only != "store",
    );
    let record = Record::create(&folder.join("record.txt"))?;
    let addresses = Addresses::new();
    let store = Arc::new(Store::start(addresses.at(1, 0))?);
    let provider = fleet::start_provider(addresses.at(2, 0), Arc::clone(&record))?;
    store.write("op/config", &configuration());
    let mut engines = Vec::new();
    for index in 0..REPLICAS {
        let spec = Spec {
            id: format!("i-{index:08x}"),
            service: SERVICE,
            zone: ZONES[index / VERSIONS.len() % ZONES.len()],
            version: VERSIONS[index % VERSIONS.len()],
            capacity: 64,
            events: EVENTS,
            pauses: PAUSES,
        };
        let address = addresses.at(100 + index as u8, 0);
        engines.push(Engine::start(spec, address, &store, &record)?);
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
    // Traffic starts 10 s after the machines.
    thread::sleep(Duration::from_secs(10));
    let fronts: Arc<[SocketAddr]> = daemons.iter().map(|daemon| daemon.front).collect();
    let streams: Arc<Mutex<Vec<Stream>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = start_clients(&fronts, &streams, &is_over, &record);
    thread::sleep(BEFORE);
    if is_away {
        store.set_away(true);
        record.print("the store is away: it answers 503");
    }
    thread::sleep(TO_KILL);
    let killed_at = Instant::now();
    if is_killed {
        daemons.iter_mut().for_each(Daemon::kill);
        record.print("all processes are killed");
    }
    thread::sleep(TO_START);
    if is_away {
        store.set_away(false);
        record.print("the store is back");
    }
    if is_killed {
        for daemon in &mut daemons {
            daemon.start()?;
        }
    }
    let started_at = Instant::now();
    if is_killed {
        record.print("all processes start");
        if !fleet::wait_ready(&daemons, Duration::from_secs(10)) {
            return Ok(Outcome::CannotRun(
                "the daemons do not get ready again".into(),
            ));
        }
    }
    record.print("all processes are ready");
    thread::sleep((killed_at + AFTER).saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::SeqCst);
    let _ = clients.join();
    let streams = streams.lock().unwrap();
    Ok(judge(
        &streams,
        killed_at,
        started_at + CONTACT,
        is_killed,
        &record,
    ))
}

/// Judges the streams that were cut by the kill. Those that were taken up before the machines are in
/// touch count too if they went on, which the rule does not ask for.
fn judge(
    streams: &[Stream],
    killed_at: Instant,
    in_touch_at: Instant,
    is_killed: bool,
    record: &Record,
) -> Outcome {
    let (mut new, mut begun, mut early, mut taken_up, mut went_on) = (0, 0, 0, 0, 0);
    for stream in streams {
        for one in stream.tries.iter().filter(|one| !one.is_resumed) {
            new += 1;
            begun += usize::from(one.goes_on);
        }
        let resumed = || stream.tries.iter().filter(|one| one.is_resumed);
        let goes_on = resumed().any(|one| one.goes_on);
        let is_early = goes_on && resumed().all(|one| one.at < in_touch_at);
        early += usize::from(is_early);
        if is_early || resumed().any(|one| one.at >= in_touch_at) {
            taken_up += 1;
            went_on += usize::from(goes_on);
        }
    }
    let mixed = streams.iter().filter(|stream| stream.versions.len() > 1);
    let wrong = streams.iter().filter(|stream| stream.is_wrong).count();
    let complete = streams.iter().filter(|stream| stream.is_complete).count();
    let tries_of = |stream: &&Stream| {
        let first = stream.tries.first();
        first.is_some_and(|first| first.at < killed_at)
    };
    record.print(&format!(
        "{} streams, {} of them begun before the kill; {complete} were complete; {} hold events \
         of two versions, {wrong} have a gap",
        streams.len(),
        streams.iter().filter(tries_of).count(),
        mixed.count()
    ));
    record.print(&format!(
        "{taken_up} streams were taken up, {went_on} of them went on ({early} before the machines \
         were in touch); of {new} tries to begin a stream {begun} began"
    ));
    if is_killed && taken_up < LEAST {
        return Outcome::CannotRun("too few streams were taken up".into());
    }
    let is_broken = taken_up >= LEAST && 2 * went_on * new < begun * taken_up;
    record.print(match is_broken {
        true => "LOST is broken",
        false => "LOST holds",
    });
    match is_broken {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

/// Starts a client for each stream, at an even rate.
fn start_clients(
    fronts: &Arc<[SocketAddr]>,
    streams: &Arc<Mutex<Vec<Stream>>>,
    is_over: &Arc<AtomicBool>,
    record: &Arc<Record>,
) -> thread::JoinHandle<()> {
    let (fronts, streams) = (Arc::clone(fronts), Arc::clone(streams));
    let (is_over, record) = (Arc::clone(is_over), Arc::clone(record));
    http::spawn(move || {
        let mut clients = Vec::new();
        for number in 0.. {
            if is_over.load(Ordering::SeqCst) {
                break;
            }
            let (fronts, streams) = (Arc::clone(&fronts), Arc::clone(&streams));
            let record = Arc::clone(&record);
            clients.push(http::spawn(move || {
                let stream = read_stream(&fronts, number, &record);
                streams.lock().unwrap().push(stream);
            }));
            thread::sleep(BETWEEN_STREAMS);
        }
        for client in clients {
            let _ = client.join();
        }
    })
}

/// Reads a stream, and takes it up when its connection breaks.
fn read_stream(fronts: &[SocketAddr], number: usize, record: &Record) -> Stream {
    let mut stream = Stream::default();
    let until = Instant::now() + DEADLINE;
    for attempt in 0..=RETRIES {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        let id = format!("{number:08x}{attempt:08x}");
        let front = fronts[(number + attempt as usize) % fronts.len()];
        let mut request = format!(
            "POST /lohu930/{number} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {id}\r\n\
             x-deadline-ms: {}\r\nauthorization: Bearer {KEY}\r\ncontent-length: 0\r\n",
            left.as_millis()
        );
        let before = stream.last;
        if before > 0 {
            let first = &stream.first;
            request += &format!("last-event-id: {before}\r\nresumes: {first}\r\n");
        }
        request += "\r\n";
        let at = Instant::now();
        let (outcome, retry_after) = read_try(front, &request, until, &mut stream);
        stream.tries.push(Try {
            at,
            is_resumed: before > 0,
            goes_on: stream.last > before,
        });
        if before == 0 && stream.last > 0 {
            stream.first.clone_from(&id);
        }
        record.note(&format!(
            "client: {id} at {front} after event {before}: {outcome}, last event {}, versions {:?}",
            stream.last, stream.versions
        ));
        if stream.is_complete {
            break;
        }
        let left = until.saturating_duration_since(Instant::now());
        thread::sleep(retry_after.unwrap_or(PAUSE).min(left));
    }
    stream
}

fn read_try(
    front: SocketAddr,
    request: &str,
    until: Instant,
    stream: &mut Stream,
) -> (String, Option<Duration>) {
    let mut link = match Link::open(front, Duration::from_secs(1)) {
        Ok(link) => link,
        Err(error) => return (format!("no connection: {error}"), None),
    };
    let left = || until.saturating_duration_since(Instant::now());
    let head = link
        .set_limit(left())
        .and_then(|()| link.send(request.as_bytes()))
        .and_then(|()| link.head());
    let head = match head {
        Ok(head) => head,
        Err(error) => return (format!("no answer: {error}"), None),
    };
    if head.status() != 200 {
        let asked = head
            .header("retry-after")
            .and_then(|text| text.parse().ok());
        let status = format!("status {}", head.status());
        return (status, asked.map(Duration::from_secs_f64));
    }
    let mut text = String::new();
    loop {
        let _ = link.set_limit(left());
        match http::read_chunk(&mut link.reader) {
            Ok(Some(chunk)) => text.push_str(&String::from_utf8_lossy(&chunk)),
            Ok(None) => {
                stream.is_complete = stream.last == EVENTS;
                return ("end".to_owned(), None);
            }
            Err(error) => return (format!("cut: {error}"), None),
        }
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            stream.read_event(&event);
        }
    }
}

impl Stream {
    fn read_event(&mut self, event: &str) {
        let field = |name| event.lines().find_map(|line| line.strip_prefix(name));
        let id = field("id: ").and_then(|id| id.parse().ok());
        let version = field("data: ").and_then(|data: &str| data.split(' ').next());
        let (Some(id), Some(version)) = (id, version) else {
            self.is_wrong = true;
            return;
        };
        self.is_wrong |= id != self.last + 1;
        self.last = id;
        if !self.versions.iter().any(|known| known == version) {
            self.versions.push(version.to_owned());
        }
    }
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\
         \"prefix\":\"/lohu930/\",\"kind\":\"streaming\",\"timeout_ms\":15000,\
         \"target_latency_ms\":1000,\"target_itl_ms\":300,\"priority\":0,\
         \"service\":\"{SERVICE}\",\"max_attempts\":2,\"public\":false,\
         \"session_affinity\":false,\"stream_resume\":true}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\
         \"max_connections\":370,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}
