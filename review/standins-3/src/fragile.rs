//! Stand-in for a replica that some requests crash; it is back some seconds later.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Record, unix_ms};
use crate::http::{self, Caller, Message};
use crate::store::Store;

/// Time from a crash until the replica is back, as a new incarnation with a new id.
const RETURN: Duration = Duration::from_millis(2_500);
/// Time from a crash until the entry of the old one is removed: three heartbeat intervals.
const REMOVAL: Duration = Duration::from_millis(3_600);
/// Time for which a plain request runs.
const WORK: Duration = Duration::from_millis(60);
/// Number of events of a stream, and the pause after each.
const EVENTS: u32 = 20;
const PAUSE: Duration = Duration::from_millis(20);

/// What the replicas of a case share.
pub struct Plan {
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    /// What crashes replicas; `None` if nothing does.
    pub deadly: Option<Deadly>,
    /// When such requests reached replicas.
    pub reached: Mutex<Vec<Instant>>,
    /// When replicas crashed.
    pub crashes: Mutex<Vec<Instant>>,
    pub next_id: AtomicU64,
}

/// Requests that crash the replicas that run them.
#[derive(Clone, Copy)]
pub struct Deadly {
    pub matches: fn(&Message) -> bool,
    /// Time until one begins to run.
    pub after: Duration,
}

/// Service and place of a replica.
#[derive(Debug, Clone, Copy)]
pub struct Seat {
    pub service: &'static str,
    pub zone: &'static str,
    /// Number of its slots.
    pub capacity: u32,
    /// Each incarnation takes a free port.
    pub ip: IpAddr,
}

struct Incarnation {
    id: String,
    seat: Seat,
    address: SocketAddr,
    plan: Arc<Plan>,
    has_crashed: AtomicBool,
    conns: Mutex<BTreeMap<u64, TcpStream>>,
}

/// Starts a replica, which registers itself.
pub fn start(plan: &Arc<Plan>, seat: Seat) -> io::Result<()> {
    let listener = TcpListener::bind((seat.ip, 0))?;
    let address = listener.local_addr()?;
    let number = plan.next_id.fetch_add(1, Ordering::SeqCst);
    let replica = Arc::new(Incarnation {
        id: format!("i-{number:08x}"),
        seat,
        address,
        plan: Arc::clone(plan),
        has_crashed: AtomicBool::new(false),
        conns: Mutex::default(),
    });
    let entry = format!(
        "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"1\",\
         \"capacity\":{},\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":1,\
         \"born\":{}}}",
        seat.service,
        address,
        seat.zone,
        seat.capacity,
        unix_ms()
    );
    plan.store.write(&replica.key(), &entry);
    http::spawn(move || replica.accept(&listener));
    Ok(())
}

impl Incarnation {
    fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        for number in 0.. {
            let Ok((io, _)) = listener.accept() else {
                continue;
            };
            if self.has_crashed.load(Ordering::SeqCst) {
                return;
            }
            let (Ok(clone), Ok(())) = (io.try_clone(), io.set_nodelay(true)) else {
                continue;
            };
            self.conns.lock().unwrap().insert(number, clone);
            let replica = Arc::clone(&self);
            http::spawn(move || {
                let mut caller = Caller::new(io);
                let _ = replica.serve(&mut caller);
                replica.conns.lock().unwrap().remove(&number);
                caller.close();
            });
        }
    }

    fn serve(&self, caller: &mut Caller) -> io::Result<()> {
        while let Some(mut message) = http::read_head(&mut caller.reader)? {
            http::read_body(&mut caller.reader, &mut message)?;
            self.serve_one(caller, &message)?;
            if message.should_close() || self.has_crashed.load(Ordering::SeqCst) {
                break;
            }
        }
        Ok(())
    }

    fn serve_one(&self, caller: &mut Caller, message: &Message) -> io::Result<()> {
        let own = self.id.as_str();
        if message.path() == "/healthz" {
            return caller.reply(200, &format!("x-replica-id: {own}\r\n"), b"");
        }
        let Some(id) = message.header("x-attempt-id").map(str::to_owned) else {
            return caller.reply(400, "x-not-executed: 1\r\n", b"");
        };
        let expected = message.header("x-expected-replica");
        if expected.is_some_and(|expected| expected != own) {
            let headers = format!("x-attempt-id: {id}\r\nx-not-executed: 1\r\n");
            return caller.reply(421, &headers, b"");
        }
        let service = self.seat.service;
        let deadly = self.plan.deadly.filter(|deadly| (deadly.matches)(message));
        if let Some(deadly) = deadly {
            self.plan.reached.lock().unwrap().push(Instant::now());
            self.plan.record.note(&format!(
                "replica {own} of {service} has {id}, which crashes it"
            ));
            thread::sleep(deadly.after);
            self.crash();
            return Ok(());
        }
        let headers = format!(
            "x-attempt-id: {id}\r\nx-replica-signature: {own}.{id}\r\nkeep-alive: timeout=5\r\n"
        );
        thread::sleep(WORK);
        if self.has_crashed.load(Ordering::SeqCst) {
            return Ok(());
        }
        self.plan
            .record
            .note(&format!("replica {own} of {service} runs {id}"));
        match message.header("x-prefix-hash") {
            None => caller.reply(200, &headers, &[b'a'; 800]),
            Some(_) => stream(caller, &headers),
        }
    }

    /// Ends the process: its port refuses connections, and those that it has are closed.
    fn crash(&self) {
        if self.has_crashed.swap(true, Ordering::SeqCst) {
            return;
        }
        self.plan.crashes.lock().unwrap().push(Instant::now());
        self.plan
            .record
            .note(&format!("replica {} crashes", self.id));
        // Wakes the listener, so that it closes.
        let _ = TcpStream::connect(self.address);
        for conn in self.conns.lock().unwrap().values() {
            let _ = conn.shutdown(Shutdown::Both);
        }
        let (plan, seat, key) = (Arc::clone(&self.plan), self.seat, self.key());
        http::spawn(move || {
            thread::sleep(RETURN);
            if let Err(error) = start(&plan, seat) {
                plan.record.note(&format!("a replica is not back: {error}"));
            }
            thread::sleep(REMOVAL - RETURN);
            plan.store.delete(&key);
        });
    }
}

fn stream(caller: &mut Caller, headers: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}content-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    caller.send(head.as_bytes())?;
    for number in 1..=EVENTS {
        let event = format!("id: {number}\ndata: {number}\n\n");
        caller.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        thread::sleep(PAUSE);
    }
    caller.send(b"0\r\n\r\n")
}
