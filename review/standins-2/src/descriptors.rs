//! The replicas of a service are replaced one after the other, again and again.
//!
//! A daemon keeps idle connections by the address of the replica. Those to the address of a replica
//! that is gone are looked at no more, so that each replaced replica costs the process up to 24
//! descriptors for good.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::daemon::{Daemon, Sheet, Site, free_net};
use crate::http::Conn;
use crate::platform::{self, End, KEY, Rules};
use crate::record::Record;
use crate::replica::{Replica, Spec};
use crate::store::Store;
use crate::{Case, Verdict};

const SHEET: Sheet = Sheet::TiitelmajaRouteGrown;
/// Descriptors that are for files.
const FOR_FILES: u32 = 200;
const REPLICAS: usize = 24;
/// Replicas that are replaced at a time, the pause between, and how many of them in all: `release`.
const AT_A_TIME: usize = 8;
const GAP: Duration = Duration::from_secs(1);
const PER_RELEASE: usize = 11;
/// Time from the end of one release to the next.
const BETWEEN: Duration = Duration::from_secs(2);
/// Time for which a replica serves on after it has reported that it leaves: `drain_ms`, and a little
/// longer.
const DRAIN: Duration = Duration::from_millis(3_500);
/// `contact_ms`.
const CONTACT: Duration = Duration::from_secs(4);
/// Clients that have to try in that time.
const TRIES: usize = 7;
/// Time in which releases come, and the time after them.
const RELEASES: Duration = Duration::from_secs(75);
const AFTER: Duration = Duration::from_secs(15);
/// Clients; all of them send once in a while at the same moment.
const CLIENTS: usize = 480;
const WAVE: Duration = Duration::from_secs(1);

struct Try {
    at: Duration,
    client: usize,
    is_new: bool,
    end: End,
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let net = free_net();
    let ip = format!("{net}.100");
    let store = Store::start(&ip);
    let duties = platform::start_duties(&ip, record);
    let rules = Rules {
        version: 1,
        service: "tiitel-desk",
        kind: "idempotent",
        timeout_ms: 1_000,
        attempts: 2,
    };
    store.write("op/config", &rules.value());
    let mut replicas: Vec<Arc<Replica>> = Vec::new();
    let mut started = 0;
    let mut start = |zone: usize| {
        started += 1;
        let spec = Spec {
            id: format!("i-{started}"),
            service: "tiitel-desk".to_owned(),
            zone: ["tt-north-a", "tt-north-b", "tt-north-c"][zone % 3].to_owned(),
            version: "v1".to_owned(),
            slots: 64,
            work: Duration::from_millis(200),
            events: 0,
        };
        Replica::start(spec, &ip, &store, record)
    };
    replicas.extend((0..REPLICAS).map(&mut start));
    let site = Site {
        store: store.address,
        provider: duties,
        folder: case.folder.clone(),
        net,
        sheet: SHEET,
    };
    let mut daemon = Daemon::new(&site, 0, "tt-north-a");
    daemon.max_sockets = Some(SHEET.max_fds() - FOR_FILES);
    daemon.start();
    if !daemon.wait_ready(Duration::from_secs(10)) {
        record.note("the machine is not ready");
        return Verdict::CouldNotRun;
    }
    record.note("the machine is ready");
    let log: Mutex<Vec<Try>> = Mutex::default();
    let readiness: Mutex<Vec<(Duration, bool)>> = Mutex::default();
    let is_over = AtomicBool::new(false);
    let (front, ready_at) = (daemon.front, daemon.readiness);
    thread::scope(|scope| {
        let began = Instant::now() + Duration::from_millis(500);
        let (log, readiness, is_over) = (&log, &readiness, &is_over);
        for client in 0..CLIENTS {
            thread::Builder::new()
                .stack_size(128 << 10)
                .spawn_scoped(scope, move || {
                    run_client(record, client, front, began, log, is_over)
                })
                .expect("a thread");
        }
        scope.spawn(move || poll_readiness(record, ready_at, readiness, is_over));
        let until = Instant::now() + RELEASES;
        let mut replaced = 0;
        let mut oldest = 0;
        while Instant::now() < until {
            for batch in 0..PER_RELEASE.div_ceil(AT_A_TIME) {
                let count = AT_A_TIME.min(PER_RELEASE - batch * AT_A_TIME);
                for _ in 0..count {
                    if case.has_trouble {
                        let new = start(oldest);
                        let old = std::mem::replace(&mut replicas[oldest % REPLICAS], new);
                        replaced += 1;
                        scope.spawn(move || {
                            old.drain();
                            thread::sleep(DRAIN);
                            old.end(true);
                        });
                    }
                    oldest = (oldest + 1) % REPLICAS;
                }
                thread::sleep(GAP);
            }
            record.note(&format!(
                "{replaced} replicas replaced, the process has {} descriptors",
                daemon.descriptors()
            ));
            thread::sleep(BETWEEN);
        }
        record.note("no more releases");
        thread::sleep(AFTER);
        record.note(&format!(
            "the process has {} descriptors",
            daemon.descriptors()
        ));
        is_over.store(true, Ordering::SeqCst);
    });
    judge(
        case,
        &log.into_inner().expect("the log"),
        &readiness.into_inner().expect("the polls"),
    )
}

fn run_client(
    record: &Record,
    client: usize,
    front: SocketAddr,
    began: Instant,
    log: &Mutex<Vec<Try>>,
    is_over: &AtomicBool,
) {
    let mut kept = None;
    for number in 0.. {
        let wave = began + WAVE * number;
        thread::sleep(wave.saturating_duration_since(Instant::now()));
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        if Instant::now() > wave + WAVE {
            continue;
        }
        // Some clients keep their connections, the others open a new one each time.
        if client % 2 == 0 {
            kept = None;
        }
        let is_new = kept.is_none();
        let id = format!("c{client}n{number}");
        let at = record.now();
        let end = platform::call(&mut kept, front, &id, KEY, Duration::from_secs(1));
        let text = if is_new { "new" } else { "kept" };
        record.line(&format!(
            "request {id} sent {:.3} {text} {}",
            at.as_secs_f64(),
            end.name()
        ));
        let sent = Try {
            at,
            client,
            is_new,
            end,
        };
        log.lock().expect("the log").push(sent);
    }
}

/// Asks once a second whether the machine is ready, on one connection.
fn poll_readiness(
    record: &Record,
    address: SocketAddr,
    polls: &Mutex<Vec<(Duration, bool)>>,
    is_over: &AtomicBool,
) {
    let limit = Duration::from_secs(1);
    let mut conn: Option<Conn> = None;
    while !is_over.load(Ordering::SeqCst) {
        let at = record.now();
        if conn.is_none() {
            conn = Conn::connect(address, limit).ok();
        }
        let mut is_ready = false;
        if let Some(open) = &mut conn {
            open.until = Some(Instant::now() + limit);
            let sent = open.send(b"GET /api/ready HTTP/1.1\r\nhost: ready\r\n\r\n");
            match (sent, open.head()) {
                (Ok(()), Ok(Some(head))) => is_ready = head.status() == 200,
                _ => conn = None,
            }
        }
        record.line(&format!("ready {is_ready}"));
        polls.lock().expect("the polls").push((at, is_ready));
        thread::sleep(Duration::from_secs(1));
    }
}

fn judge(case: &Case, log: &[Try], polls: &[(Duration, bool)]) -> Verdict {
    let record = &case.record;
    let last = log.iter().map(|sent| sent.at).max().unwrap_or_default();
    let first_ten = log.iter().filter(|sent| sent.at < Duration::from_secs(10));
    record.note(&format!(
        "in the first 10 s: {}",
        platform::tally(first_ten.map(|sent| &sent.end))
    ));
    let last_ten = || {
        log.iter()
            .filter(|sent| sent.at + Duration::from_secs(10) > last)
    };
    for (name, is_new) in [("new", true), ("kept", false)] {
        let ends = last_ten()
            .filter(|sent| sent.is_new == is_new)
            .map(|sent| &sent.end);
        record.note(&format!(
            "in the last 10 s on {name} connections: {}",
            platform::tally(ends)
        ));
    }
    let is_answered = |end: &End| matches!(end, End::Served | End::Status(_));
    let mut longest = (Duration::ZERO, Duration::ZERO, 0);
    let mut from = Duration::ZERO;
    // Spans between two answers on new connections.
    let mut answers: Vec<Duration> = log
        .iter()
        .filter(|t| t.is_new && is_answered(&t.end))
        .map(|t| t.at)
        .collect();
    answers.push(last);
    answers.sort();
    for until in answers {
        let span = from..until;
        let tries = log
            .iter()
            .filter(|t| t.is_new && t.at > span.start && t.at < span.end);
        let mut clients: Vec<usize> = tries.map(|t| t.client).collect();
        clients.sort_unstable();
        clients.dedup();
        let in_span = polls.iter().filter(|(at, _)| span.contains(at));
        let is_ready = in_span.clone().count() > 0 && in_span.clone().all(|(_, ready)| *ready);
        if clients.len() >= TRIES && is_ready && until - from > longest.1 - longest.0 {
            longest = (from, until, clients.len());
        }
        from = until;
    }
    let (from, until, clients) = longest;
    record.note(&format!(
        "longest time in which the machine said that it is ready and took no new connection: \
         {:.1} s to {:.1} s, {clients} clients tried",
        from.as_secs_f64(),
        until.as_secs_f64()
    ));
    match until - from > CONTACT {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
