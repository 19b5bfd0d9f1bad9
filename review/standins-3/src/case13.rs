//! Replicas are upgraded in place, one after the other, while they write streams.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::fleet::{self, Addresses, Daemon, HOST, KEY, Record, ZONES};
use crate::http::{self, Link};
use crate::replica::{Replica, Spec, Work};
use crate::store::Store;

/// Replicas of the service.
const REPLICAS: usize = 6;
/// Rounds of upgrades.
const ROUNDS: usize = 3;
/// Events of a stream, and the pause before each.
const EVENTS: u64 = 76;
const EVENT_PAUSE: Duration = Duration::from_millis(150);
/// Streams that begin in a second.
const STREAMS_PER_S: u64 = 12;
/// Time of traffic before the first upgrade.
const BEFORE: Duration = Duration::from_secs(8);
/// Time that the process of a replica takes to start.
const START_TIME_MS: [u64; 6] = [2_000, 2_200, 2_100, 2_300, 2_050, 2_150];
/// Time from the entry of an upgraded replica to the end of the next one.
const NEXT_AFTER: Duration = Duration::from_millis(200);
/// Time between two rounds: streams of the earlier version have ended.
const BETWEEN: Duration = Duration::from_secs(10);

type Streams = Arc<Mutex<BTreeMap<String, Vec<(u64, String)>>>>;

pub fn run(folder: &Path, temporary: &Path, has_trouble: bool) -> io::Result<Outcome> {
    let record = Record::create(&folder.join("record.txt"))?;
    let addresses = Addresses::new();
    let store = Arc::new(Store::start(addresses.at(1, 0))?);
    let provider = fleet::start_provider(addresses.at(2, 0), Arc::clone(&record))?;
    store.write("op/config", &configuration());
    let runs = Arc::new(AtomicU64::new(0));
    let spec = |index: usize, version| Spec {
        id: format!("i-{index:08x}"),
        service: "huvo11a",
        zone: ZONES[index % ZONES.len()],
        version,
        capacity: 64,
        work: Work::Stream(EVENTS, EVENT_PAUSE),
        keep_alive: 5,
    };
    let mut replicas = Vec::new();
    for index in 0..REPLICAS {
        let address = addresses.at(100 + index as u8, 0);
        replicas.push(Replica::start(
            spec(index, "1.0"),
            address,
            &store,
            &runs,
            Some(&record),
        )?);
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
    let fronts: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.front).collect();
    let streams: Streams = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let traffic = {
        let (streams, record) = (Arc::clone(&streams), Arc::clone(&record));
        let is_over = Arc::clone(&is_over);
        http::spawn(move || run_traffic(&fronts, &streams, &is_over, &record))
    };
    thread::sleep(BEFORE);
    let versions = ["1.0", "1.1", "1.2", "1.3", "1.4", "1.5"];
    for round in 1..=ROUNDS {
        for index in 0..REPLICAS {
            let start_time = Duration::from_millis(START_TIME_MS[(index + round) % 6]);
            if !has_trouble {
                thread::sleep(start_time + NEXT_AFTER);
                continue;
            }
            let address = replicas[index].address;
            replicas[index].crash();
            record.note(&format!("replica i-{index:08x} is killed"));
            thread::sleep(start_time);
            let spec = spec(index, versions[round]);
            replicas[index] = Replica::start(spec, address, &store, &runs, Some(&record))?;
            record.note(&format!(
                "replica i-{index:08x} is back with software {}; the store has its entry",
                versions[round]
            ));
            thread::sleep(NEXT_AFTER);
        }
        record.print(&format!("round {round} is over"));
        thread::sleep(BETWEEN);
    }
    is_over.store(true, Ordering::SeqCst);
    let _ = traffic.join();
    let streams = streams.lock().unwrap();
    let mut mixed = 0;
    for (id, events) in streams.iter() {
        let versions: BTreeSet<&str> = events
            .iter()
            .filter_map(|(_, data)| data.split(' ').next())
            .collect();
        if versions.len() > 1 {
            mixed += 1;
            let texts: Vec<String> = events
                .iter()
                .map(|(id, data)| format!("{id}:{data}"))
                .collect();
            record.note(&format!(
                "stream {id} holds two versions: {}",
                texts.join(", ")
            ));
        }
    }
    let whole = streams
        .values()
        .filter(|events| events.len() as u64 == EVENTS)
        .count();
    record.print(&format!(
        "{} streams with events, {whole} of them whole; {mixed} hold events of two software \
         versions",
        streams.len()
    ));
    if streams.len() < 50 {
        return Ok(Outcome::CannotRun("too few streams".into()));
    }
    let is_broken = mixed > 2;
    record.print(if is_broken {
        "ORDER is broken"
    } else {
        "ORDER holds"
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
         \"prefix\":\"/lohu930/\",\"kind\":\"streaming\",\"timeout_ms\":15000,\
         \"target_latency_ms\":1000,\"priority\":0,\"service\":\"huvo11a\",\"max_attempts\":2,\
         \"public\":false,\"session_affinity\":true,\"stream_resume\":true,\
         \"target_itl_ms\":300}}],\
         \"services\":[{{\"name\":\"huvo11a\",\"health_path\":\"/healthz\",\
         \"max_connections\":370,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

fn run_traffic(
    fronts: &[SocketAddr],
    streams: &Streams,
    is_over: &AtomicBool,
    record: &Arc<Record>,
) {
    let mut threads = Vec::new();
    for number in 0_u64.. {
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        let front = fronts[number as usize % fronts.len()];
        let (streams, record) = (Arc::clone(streams), Arc::clone(record));
        threads.push(http::spawn(move || {
            let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            let outcome = match read_stream(front, &id, number, &streams) {
                Ok(()) => "whole".to_owned(),
                Err(error) => format!("not whole: {error}"),
            };
            record.note(&format!("client: stream {id} from {front} is {outcome}"));
        }));
        thread::sleep(Duration::from_millis(1_000 / STREAMS_PER_S));
    }
    for thread in threads {
        let _ = thread.join();
    }
}

fn read_stream(front: SocketAddr, id: &str, number: u64, streams: &Streams) -> io::Result<()> {
    let deadline = Instant::now() + Duration::from_secs(15);
    let mut link = Link::open(front, Duration::from_secs(1))?;
    link.set_limit(Duration::from_secs(4))?;
    let (shared, own) = (number % 20, number);
    let message = format!(
        "POST /lohu930/2f HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {id}\r\n\
         x-model: m\r\nx-token-usage: 1460,200\r\nx-prefix-hash: {:x}:800,{:x}:660\r\n\
         x-deadline-ms: 15000\r\nauthorization: Bearer {KEY}\r\ncontent-length: 2\r\n\r\nhi",
        0x5000 + shared,
        0x90_0000 + own
    );
    link.send(message.as_bytes())?;
    let head = link.head()?;
    if head.status() != 200 {
        return Err(io::Error::other(format!("status {}", head.status())));
    }
    let mut text = String::new();
    while Instant::now() < deadline {
        let Some(chunk) = http::read_chunk(&mut link.reader)? else {
            return Ok(());
        };
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some((event, rest)) = text.split_once("\n\n") {
            let line = |name: &str| {
                let mut lines = event.lines();
                lines
                    .find_map(|line| line.strip_prefix(name))
                    .unwrap_or_default()
                    .trim()
                    .to_owned()
            };
            let event = (line("id:").parse().unwrap_or(0), line("data:"));
            streams
                .lock()
                .unwrap()
                .entry(id.to_owned())
                .or_default()
                .push(event);
            text = rest.to_owned();
        }
    }
    Err(io::ErrorKind::TimedOut.into())
}
