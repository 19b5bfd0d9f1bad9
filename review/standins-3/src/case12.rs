//! Replicas are replaced one after the other, as a fleet of reclaimable machines does all day.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::fleet::{self, Addresses, Daemon, HOST, KEY, Record, ZONES};
use crate::http::{self, Link};
use crate::replica::{Replica, Spec, Work};
use crate::store::Store;

/// Replicas of the service at a time.
const REPLICAS: usize = 12;
/// Daemons.
const DAEMONS: u8 = 2;
/// Clients of each daemon, each with one stream at a time.
const CLIENTS: usize = 340;
/// Events of a stream, and the pause before each.
const EVENTS: u64 = 5;
const EVENT_PAUSE: Duration = Duration::from_millis(200);
/// Replicas that are replaced at a time, and the time between two such steps.
const AT_A_TIME: usize = 8;
const GAP: Duration = Duration::from_millis(1_000);
/// Steps of the release.
const STEPS: usize = 70;
/// Time for which a replica serves after the store has accepted that it drains: `drain_ms` and a
/// little longer.
const DRAIN: Duration = Duration::from_millis(2_500);
/// Time of traffic before the release.
const BEFORE: Duration = Duration::from_secs(4);
/// Time without any disruption before the check: more than `contact_ms`.
const CALM: Duration = Duration::from_secs(6);
/// Time for which a daemon has to take a new connection: `contact_ms`.
const CONTACT: Duration = Duration::from_millis(3_000);
/// New clients that try at a time.
const NEW_CLIENTS: usize = 10;
/// Descriptors of a daemon, as the settings say.
const MAX_DESCRIPTORS: u32 = 8_200;

#[derive(Default)]
struct Counts {
    served: AtomicUsize,
    refused: AtomicUsize,
    failed: AtomicUsize,
}

impl Counts {
    fn take(&self) -> (usize, usize, usize) {
        let take = |count: &AtomicUsize| count.swap(0, Ordering::SeqCst);
        (take(&self.served), take(&self.refused), take(&self.failed))
    }
}

pub fn run(folder: &Path, temporary: &Path, has_trouble: bool) -> io::Result<Outcome> {
    let record = Record::create(&folder.join("record.txt"))?;
    let addresses = Addresses::new();
    let store = Arc::new(Store::start(addresses.at(1, 0))?);
    let provider = fleet::start_provider(addresses.at(2, 0), Arc::clone(&record))?;
    store.write("op/config", &configuration());
    let runs = Arc::new(AtomicU64::new(0));
    let mut next = 0_usize;
    let mut start = || {
        let spec = Spec {
            id: format!("i-{next:08x}"),
            service: "huvo11a",
            zone: ZONES[next % ZONES.len()],
            version: "1.0",
            capacity: 64,
            work: Work::Stream(EVENTS, EVENT_PAUSE),
            keep_alive: 5,
        };
        // Each replica has an address of its own.
        let address = addresses.at(100 + (next % 100) as u8, 0);
        next += 1;
        Replica::start(spec, address, &store, &runs, None)
    };
    let mut replicas = VecDeque::new();
    for _ in 0..REPLICAS {
        replicas.push_back(start()?);
    }
    let mut daemons = Vec::new();
    for number in 1..=DAEMONS {
        let (store, provider) = (store.address, provider.address);
        let mut daemon = Daemon::prepare(temporary, &addresses, number, store, provider)?;
        daemon.set_max_descriptors(MAX_DESCRIPTORS);
        daemon.start()?;
        daemons.push(daemon);
    }
    if !fleet::wait_ready(&daemons, Duration::from_secs(10)) {
        return Ok(Outcome::CannotRun("the daemons do not get ready".into()));
    }
    record.print(&format!(
        "{DAEMONS} daemons are ready, with {MAX_DESCRIPTORS} descriptors each"
    ));
    let is_over = Arc::new(AtomicBool::new(false));
    let probes: Vec<_> = daemons
        .iter()
        .map(|daemon| {
            let (address, is_over) = (daemon.readiness, Arc::clone(&is_over));
            let log: Probes = Arc::default();
            let known = Arc::clone(&log);
            http::spawn(move || probe(address, &is_over, &known));
            log
        })
        .collect();
    let counts: Arc<Counts> = Arc::default();
    let mut clients = Vec::new();
    for daemon in &daemons {
        for client in 0..CLIENTS {
            let (front, counts) = (daemon.front, Arc::clone(&counts));
            let is_over = Arc::clone(&is_over);
            clients.push(http::spawn(move || {
                run_client(client, front, &counts, &is_over)
            }));
        }
    }
    thread::sleep(BEFORE);
    let mut draining: VecDeque<(Instant, Replica)> = VecDeque::new();
    let mut replaced = 0;
    let mut leave = |draining: &mut VecDeque<(Instant, Replica)>, is_last: bool| {
        while draining
            .front()
            .is_some_and(|(at, _)| is_last || at.elapsed() >= DRAIN)
        {
            if let Some((at, replica)) = draining.pop_front() {
                thread::sleep(DRAIN.saturating_sub(at.elapsed()));
                replica.leave();
                replaced += 1;
            }
        }
        replaced
    };
    for step in 0..STEPS {
        let at = Instant::now();
        if has_trouble {
            for _ in 0..AT_A_TIME {
                replicas.push_back(start()?);
                if let Some(old) = replicas.pop_front() {
                    old.drain();
                    draining.push_back((Instant::now(), old));
                }
            }
        }
        let replaced = leave(&mut draining, false);
        if step % 6 == 0 {
            let open: Vec<usize> = daemons.iter().map(Daemon::descriptors).collect();
            let (served, refused, failed) = counts.take();
            record.print(&format!(
                "{replaced} replicas have been replaced; descriptors of the daemons: {open:?}; \
                 streams since: {served} served, {refused} refused, {failed} failed"
            ));
        }
        thread::sleep(GAP.saturating_sub(at.elapsed()));
    }
    let replaced = leave(&mut draining, true);
    record.print(&format!(
        "the release is over: {replaced} replicas have been replaced"
    ));
    thread::sleep(CALM);
    counts.take();

    let mut is_broken = false;
    for (daemon, probes) in daemons.iter_mut().zip(&probes) {
        let from = Instant::now();
        let taken = Arc::new(AtomicUsize::new(0));
        let tried = Arc::new(AtomicUsize::new(0));
        let threads: Vec<_> = (0..NEW_CLIENTS)
            .map(|client| {
                let (front, taken) = (daemon.front, Arc::clone(&taken));
                let tried = Arc::clone(&tried);
                http::spawn(move || try_new(client, front, &taken, &tried))
            })
            .collect();
        for thread in threads {
            let _ = thread.join();
        }
        let ready = probes.lock().unwrap();
        let ready: Vec<bool> = ready
            .iter()
            .filter(|(at, _)| *at >= from)
            .map(|(_, ready)| *ready)
            .collect();
        let (tried, taken) = (tried.load(Ordering::SeqCst), taken.load(Ordering::SeqCst));
        let is_ready = !ready.is_empty() && ready.iter().all(|ready| *ready);
        let is_running = daemon.is_running();
        record.print(&format!(
            "{}: {NEW_CLIENTS} new clients tried {tried} times in {} ms, {taken} connections were \
             taken; it {} ready; descriptors: {}; it {}",
            daemon.name,
            from.elapsed().as_millis(),
            if is_ready {
                "says that it is"
            } else {
                "does not say that it is"
            },
            daemon.descriptors(),
            if is_running { "runs" } else { "has ended" },
        ));
        is_broken |= taken == 0 && is_ready;
    }
    let (served, refused, failed) = counts.take();
    record.print(&format!(
        "clients with open connections meanwhile: {served} streams served, {refused} refused, \
         {failed} failed; the replicas have run {}",
        runs.load(Ordering::SeqCst)
    ));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
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
         \"prefix\":\"/pufi791/\",\"kind\":\"streaming\",\"timeout_ms\":3000,\
         \"target_latency_ms\":1000,\"priority\":1,\"service\":\"huvo11a\",\"max_attempts\":1,\
         \"public\":false,\"session_affinity\":true,\"stream_resume\":false,\
         \"target_itl_ms\":300}}],\
         \"services\":[{{\"name\":\"huvo11a\",\"health_path\":\"/healthz\",\
         \"max_connections\":370,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

type Probes = Arc<Mutex<Vec<(Instant, bool)>>>;

/// Asks once a second whether a daemon is ready, on a connection that is kept while it is open.
fn probe(address: SocketAddr, is_over: &AtomicBool, log: &Probes) {
    let mut link: Option<Link> = None;
    while !is_over.load(Ordering::SeqCst) {
        let asked = (|| {
            let open = match link.take() {
                Some(link) => link,
                None => Link::open(address, Duration::from_secs(1))?,
            };
            let mut open = open;
            open.set_limit(Duration::from_secs(1))?;
            open.send(b"GET /api/ready HTTP/1.1\r\nhost: x\r\n\r\n")?;
            let status = open.whole()?.status();
            link = Some(open);
            io::Result::Ok(status)
        })();
        let is_ready = asked.is_ok_and(|status| status == 200);
        log.lock().unwrap().push((Instant::now(), is_ready));
        thread::sleep(Duration::from_secs(1));
    }
}

fn request(client: usize, number: u64) -> String {
    let id = format!("{client:06x}{number:010x}");
    format!(
        "POST /pufi791/2f HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {id}\r\nx-model: m\r\n\
         x-token-usage: 2368,25\r\nx-prefix-hash: {id}:2368\r\nx-deadline-ms: 3000\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: 2\r\n\r\nhi"
    )
}

/// Reads one stream after the other, on a connection that is kept while it is open.
fn run_client(client: usize, front: SocketAddr, counts: &Counts, is_over: &AtomicBool) {
    let mut link: Option<Link> = None;
    thread::sleep(Duration::from_millis(
        client as u64 * 1_000 / CLIENTS as u64,
    ));
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let sent = (|| {
            let mut open = match link.take() {
                Some(link) => link,
                None => Link::open(front, Duration::from_secs(1))?,
            };
            open.set_limit(Duration::from_secs(4))?;
            open.send(request(client, number).as_bytes())?;
            let reply = open.whole()?;
            let status = reply.status();
            if !reply.should_close() {
                link = Some(open);
            }
            io::Result::Ok(status)
        })();
        let count = match &sent {
            Ok(200) => &counts.served,
            Ok(_) => &counts.refused,
            Err(_) => &counts.failed,
        };
        count.fetch_add(1, Ordering::SeqCst);
        if !matches!(sent, Ok(200)) {
            thread::sleep(Duration::from_millis(500));
        }
    }
}

/// Tries to be served on new connections for `contact_ms`, and counts those that were answered.
fn try_new(client: usize, front: SocketAddr, taken: &AtomicUsize, tried: &AtomicUsize) {
    let from = Instant::now();
    let mut number = 0;
    while from.elapsed() < CONTACT {
        number += 1;
        tried.fetch_add(1, Ordering::SeqCst);
        let limit = Duration::from_secs(1);
        let answered = (|| {
            let mut link = Link::open(front, limit)?;
            link.set_limit(limit)?;
            link.send(request(900_000 + client, number).as_bytes())?;
            link.head()
        })();
        if answered.is_ok() {
            taken.fetch_add(1, Ordering::SeqCst);
        }
    }
}
