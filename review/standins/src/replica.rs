//! Stand-in for a replica: serves plain requests and event streams.

use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Conn, Head, parameter};
use crate::record::Record;
use crate::store::Store;

/// Heartbeat of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const SLOTS: u32 = 64;
const WORK_TIME: Duration = Duration::from_millis(20);

/// How a share of the answers has no end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spoil {
    /// An event without an end, one token in each chunk.
    EndlessEvent,
    /// Interim responses without an end.
    EndlessInterim,
}

#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub address: SocketAddr,
}

/// Requests that replicas ran, by attempt: replica and version of each run.
pub type Runs = Arc<Mutex<BTreeMap<String, Vec<(String, String)>>>>;

struct State {
    spec: Spec,
    born: u64,
    is_dead: AtomicBool,
    active: AtomicU32,
    answers: AtomicU64,
    sequence: AtomicU64,
    conns: Mutex<Vec<TcpStream>>,
    spoil: Mutex<Option<(Spoil, u64)>>,
    store: Arc<Store>,
    record: Record,
    runs: Runs,
}

pub struct Replica {
    state: Arc<State>,
}

impl Replica {
    /// Starts a replica that registers itself and then serves.
    pub fn start(spec: Spec, store: &Arc<Store>, record: &Record, runs: &Runs) -> io::Result<Self> {
        let listener = bind(spec.address)?;
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let state = Arc::new(State {
            spec,
            born: since.map_or(0, |since| since.as_millis() as u64),
            is_dead: AtomicBool::new(false),
            active: AtomicU32::new(0),
            answers: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            conns: Mutex::new(Vec::new()),
            spoil: Mutex::new(None),
            store: Arc::clone(store),
            record: record.clone(),
            runs: Arc::clone(runs),
        });
        state.register();
        let beating = Arc::clone(&state);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if beating.is_dead.load(Ordering::SeqCst) {
                    return;
                }
                beating.sequence.fetch_add(1, Ordering::SeqCst);
                beating.register();
            }
        });
        let accepting = Arc::clone(&state);
        thread::spawn(move || {
            loop {
                match listener.accept() {
                    Ok((io, _)) => {
                        let _ = io.set_nonblocking(false);
                        let serving = Arc::clone(&accepting);
                        if let (Ok(mut conns), Ok(copy)) = (serving.conns.lock(), io.try_clone()) {
                            conns.push(copy);
                        }
                        if serving.is_dead.load(Ordering::SeqCst) {
                            let _ = io.shutdown(Shutdown::Both);
                        }
                        thread::spawn(move || serving.serve(Conn::new(io)));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
                if accepting.is_dead.load(Ordering::SeqCst) {
                    return;
                }
            }
        });
        Ok(Self { state })
    }

    /// Spoils one in `period` answers from now on.
    pub fn spoil(&self, spoil: Option<(Spoil, u64)>) {
        if let Ok(mut known) = self.state.spoil.lock() {
            *known = spoil;
        }
    }

    /// Ends the process: its connections break, new ones are refused, and nothing is said to the
    /// store.
    pub fn crash(self) {
        self.state.is_dead.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(5));
        if let Ok(conns) = self.state.conns.lock() {
            for conn in conns.iter() {
                let _ = conn.shutdown(Shutdown::Both);
            }
        }
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let mut last = None;
    for _ in 0..200 {
        match TcpListener::bind(address) {
            Ok(listener) => {
                listener.set_nonblocking(true)?;
                return Ok(listener);
            }
            Err(error) => last = Some(error),
        }
        thread::sleep(Duration::from_millis(5));
    }
    Err(last.unwrap_or_else(|| io::ErrorKind::AddrInUse.into()))
}

impl State {
    fn register(&self) {
        let Spec {
            id,
            service,
            zone,
            version,
            address,
        } = &self.spec;
        let sequence = self.sequence.load(Ordering::SeqCst);
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"{version}\",\"capacity\":{SLOTS},\"state\":\"ready\",\
             \"warmup_left_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.born
        );
        if self.store.refresh(&format!("servers/{id}"), &entry) {
            self.record.line(format!("registered {id} {version}"));
        }
    }

    fn is_dead(&self) -> bool {
        self.is_dead.load(Ordering::SeqCst)
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(head) = conn.head(None) {
            let Ok(body) = conn.body(&head, None) else {
                return;
            };
            if self.is_dead() || !self.answer(&mut conn, &head, &body) {
                let _ = conn.io.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn answer(&self, conn: &mut Conn, head: &Head, body: &[u8]) -> bool {
        let id = head.get("x-attempt-id").unwrap_or_default().to_owned();
        let not_run = format!(
            "X-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nX-Replica-Id: {}\r\n",
            self.spec.id
        );
        let expected = head.get("x-expected-replica");
        if expected.is_some_and(|expected| expected != self.spec.id) {
            return conn.reply(421, &not_run, b"").is_ok();
        }
        if id.is_empty() {
            return conn.reply(400, &not_run, b"").is_ok();
        }
        if self.active.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            self.active.fetch_sub(1, Ordering::SeqCst);
            return conn.reply(503, &not_run, b"").is_ok();
        }
        let Spec {
            id: own, version, ..
        } = &self.spec;
        self.record.line(format!("run {id} at {own} {version}"));
        if let Ok(mut runs) = self.runs.lock() {
            let known = runs.entry(id.clone()).or_default();
            known.push((own.clone(), version.clone()));
        }
        let target = head.first.get(1).cloned().unwrap_or_default();
        let headers = format!(
            "X-Attempt-Id: {id}\r\nX-Replica-Signature: {own}.{version}.{id}\r\nKeep-Alive: timeout=5\r\n"
        );
        let is_stream = target.starts_with("/stream");
        let spoil = self.spoil.lock().ok().and_then(|spoil| *spoil);
        let spoil = spoil.filter(|(spoil, period)| {
            is_stream == (*spoil == Spoil::EndlessEvent)
                && (self.answers.fetch_add(1, Ordering::SeqCst) + 1).is_multiple_of(*period)
        });
        let is_kept = match spoil {
            Some((spoil, _)) => {
                self.record
                    .line(format!("spoiled {id} at {own}: {spoil:?}"));
                self.endless(conn, spoil, &headers)
            }
            None if is_stream => self.stream(conn, head, &target, &headers),
            None => {
                thread::sleep(WORK_TIME);
                let mut text = format!("{target} {id} ").into_bytes();
                text.extend_from_slice(body);
                !self.is_dead() && conn.reply(200, &headers, &text).is_ok()
            }
        };
        self.active.fetch_sub(1, Ordering::SeqCst);
        is_kept
    }

    fn stream(&self, conn: &mut Conn, head: &Head, target: &str, headers: &str) -> bool {
        let count: u64 = parameter(target, "n").parse().unwrap_or(20);
        let gap: u64 = parameter(target, "gap").parse().unwrap_or(50);
        let after = head.get("last-event-id").and_then(|id| id.parse().ok());
        let begin = format!(
            "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if conn.send(begin.as_bytes()).is_err() {
            return false;
        }
        for number in after.unwrap_or(0) + 1..=count {
            thread::sleep(Duration::from_millis(gap));
            if self.is_dead() {
                return false;
            }
            let event = format!("id: {number}\ndata: {} {number}\n\n", self.spec.version);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if conn.send(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        conn.send(b"0\r\n\r\n").is_ok()
    }

    /// Sends bytes until the caller closes.
    fn endless(&self, conn: &mut Conn, spoil: Spoil, headers: &str) -> bool {
        let (begin, part) = match spoil {
            Spoil::EndlessEvent => (
                format!(
                    "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                ),
                "4\r\nword\r\n",
            ),
            Spoil::EndlessInterim => (String::new(), "HTTP/1.1 102 Processing\r\n\r\n"),
        };
        let data = part.repeat(2_048);
        let _ = conn.send(begin.as_bytes());
        while !self.is_dead() && conn.send(data.as_bytes()).is_ok() {}
        false
    }
}
