//! Stand-in for a replica: serves plain requests and streams, and registers itself in the store.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Record, unix_ms};
use crate::http::{self, Caller, Message, Server};
use crate::store::Store;

/// Time between two writes of the entry, as the settings say.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time for which a replica is slow after its start.
const WARMUP: Duration = Duration::from_secs(4);

/// What a replica does with each request.
#[derive(Debug, Clone, Copy)]
pub enum Work {
    /// An answer of 800 bytes after this time.
    Plain(Duration),
    /// So many events, with this pause before each.
    Stream(u64, Duration),
}

#[derive(Debug, Clone)]
pub struct Spec {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub version: &'static str,
    pub capacity: u32,
    pub work: Work,
    /// Seconds that it names in `Keep-Alive`.
    pub keep_alive: u64,
}

/// A running process of a replica.
pub struct Replica {
    pub spec: Spec,
    pub address: SocketAddr,
    server: Server,
    state: Arc<State>,
    store: Arc<Store>,
}

struct State {
    spec: Spec,
    born: u64,
    started_at: Instant,
    is_ended: AtomicBool,
    is_draining: AtomicBool,
    runs: Arc<AtomicU64>,
    record: Option<Arc<Record>>,
}

impl Replica {
    /// Starts a process. Its entry is written, and accepted by the store, before it listens.
    pub fn start(
        spec: Spec,
        address: SocketAddr,
        store: &Arc<Store>,
        runs: &Arc<AtomicU64>,
        record: Option<&Arc<Record>>,
    ) -> io::Result<Self> {
        let state = Arc::new(State {
            spec: spec.clone(),
            born: unix_ms(),
            started_at: Instant::now(),
            is_ended: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            runs: Arc::clone(runs),
            record: record.cloned(),
        });
        let known = Arc::clone(&state);
        let mut server = None;
        if address.port() != 0 {
            store.write(&format!("servers/{}", spec.id), &state.entry(address));
        }
        for _ in 0..100 {
            let known = Arc::clone(&known);
            match Server::start(address, move |caller| known.serve(caller)) {
                Ok(started) => {
                    server = Some(started);
                    break;
                }
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        }
        let server = server.ok_or(io::ErrorKind::AddrInUse)?;
        let address = server.address;
        store.write(&format!("servers/{}", spec.id), &state.entry(address));
        let (known, register) = (Arc::clone(&state), Arc::clone(store));
        http::spawn(move || {
            let key = format!("servers/{}", known.spec.id);
            while !known.is_ended.load(Ordering::SeqCst) {
                thread::sleep(HEARTBEAT);
                if !known.is_ended.load(Ordering::SeqCst) {
                    register.write(&key, &known.entry(address));
                }
            }
        });
        Ok(Self {
            spec,
            address,
            server,
            state,
            store: Arc::clone(store),
        })
    }

    fn key(&self) -> String {
        format!("servers/{}", self.spec.id)
    }

    /// Reports that the replica leaves; it serves on.
    pub fn drain(&self) {
        self.state.is_draining.store(true, Ordering::SeqCst);
        self.store
            .write(&self.key(), &self.state.entry(self.address));
    }

    /// Ends the process after a planned shutdown, and removes its entry.
    pub fn leave(self) {
        self.store.remove(&self.key());
        self.state.is_ended.store(true, Ordering::SeqCst);
        self.server.end();
    }

    /// Ends the process as SIGKILL would; the entry stays.
    pub fn crash(&self) {
        self.state.is_ended.store(true, Ordering::SeqCst);
        self.server.end();
    }
}

impl State {
    fn entry(&self, address: SocketAddr) -> String {
        let spec = &self.spec;
        let state = match self.is_draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"capacity\":{},\"state\":\"{state}\",\"warmup_left_ms\":{},\"sequence\":1,\
             \"born\":{}}}",
            spec.service,
            spec.zone,
            spec.version,
            spec.capacity,
            WARMUP.saturating_sub(self.started_at.elapsed()).as_millis(),
            self.born
        )
    }

    fn serve(&self, caller: &mut Caller) -> io::Result<()> {
        while let Some(mut message) = http::read_head(&mut caller.reader)? {
            http::read_body(&mut caller.reader, &mut message)?;
            if !self.serve_one(caller, &message)? || message.should_close() {
                break;
            }
        }
        Ok(())
    }

    /// Returns whether the connection is kept.
    fn serve_one(&self, caller: &mut Caller, message: &Message) -> io::Result<bool> {
        if message.path() == "/healthz" {
            let id = format!("x-replica-id: {}\r\n", self.spec.id);
            caller.reply(200, &id, b"")?;
            return Ok(true);
        }
        let Some(id) = message.header("x-attempt-id").map(str::to_owned) else {
            caller.reply(400, "x-not-executed: 1\r\n", b"")?;
            return Ok(true);
        };
        let own = self.spec.id.as_str();
        let expected = message.header("x-expected-replica");
        if expected.is_some_and(|expected| expected != own) {
            caller.reply(
                421,
                &format!("x-attempt-id: {id}\r\nx-not-executed: 1\r\n"),
                b"",
            )?;
            return Ok(true);
        }
        let last = message
            .header("last-event-id")
            .and_then(|id| id.parse::<u64>().ok());
        self.runs.fetch_add(1, Ordering::SeqCst);
        self.note(&format!(
            "replica {own} (software {}) runs {id} after event {}",
            self.spec.version,
            last.unwrap_or(0)
        ));
        let headers = format!(
            "x-attempt-id: {id}\r\nx-replica-signature: {own}.{}.{id}\r\n\
             keep-alive: timeout={}\r\n",
            self.spec.version, self.spec.keep_alive
        );
        match self.spec.work {
            Work::Plain(time) => {
                thread::sleep(time);
                if caller.is_closed() {
                    return Ok(false);
                }
                caller.reply(200, &headers, &[b'a'; 800])?;
                Ok(true)
            }
            Work::Stream(events, pause) => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{headers}content-type: text/event-stream\r\n\
                     transfer-encoding: chunked\r\n\r\n"
                );
                caller.send(head.as_bytes())?;
                for number in last.unwrap_or(0) + 1..=events {
                    thread::sleep(pause);
                    if self.is_ended.load(Ordering::SeqCst) || caller.is_closed() {
                        return Ok(false);
                    }
                    let event = format!("id: {number}\ndata: {} {own}\n\n", self.spec.version);
                    caller.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
                }
                caller.send(b"0\r\n\r\n")?;
                Ok(true)
            }
        }
    }

    fn note(&self, text: &str) {
        if let Some(record) = &self.record {
            record.note(text);
        }
    }
}
