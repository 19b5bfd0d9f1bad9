//! Stand-in for a replica: a sound server of one service.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Conn, Head};
use crate::record::Record;
use crate::store::Store;

#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub slots: usize,
    /// Time of a call, or between two events of a stream.
    pub work: Duration,
    /// Number of events of a stream.
    pub events: u32,
}

pub struct Replica {
    pub spec: Spec,
    pub address: SocketAddr,
    born: u128,
    store: Arc<Store>,
    record: Arc<Record>,
    is_ended: AtomicBool,
    is_leaving: AtomicBool,
    conns: Mutex<Vec<TcpStream>>,
    active: AtomicUsize,
}

impl Replica {
    /// Starts a replica: it registers in the store and listens at once.
    pub fn start(spec: Spec, ip: &str, store: &Arc<Store>, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0));
        let listener = listener.expect("a port for a replica");
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("the time");
        let replica = Arc::new(Self {
            address: listener.local_addr().expect("the replica's address"),
            born: born.as_millis(),
            store: Arc::clone(store),
            record: Arc::clone(record),
            is_ended: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            conns: Mutex::default(),
            active: AtomicUsize::new(0),
            spec,
        });
        replica.register();
        let accepting = Arc::clone(&replica);
        thread::spawn(move || {
            for io in listener.incoming().flatten() {
                if accepting.is_ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(clone) = io.try_clone() {
                    accepting.conns.lock().expect("the connections").push(clone);
                }
                let replica = Arc::clone(&accepting);
                thread::Builder::new()
                    .stack_size(128 << 10)
                    .spawn(move || {
                        let mut conn = Conn::new(io);
                        replica.serve(&mut conn);
                        let _ = conn.io.shutdown(Shutdown::Both);
                    })
                    .expect("a thread");
            }
        });
        replica
    }

    fn key(&self) -> String {
        format!("servers/{}", self.spec.id)
    }

    fn register(&self) {
        let spec = &self.spec;
        let state = match self.is_leaving.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"capacity\":{},\
             \"state\":\"{state}\",\"warmup_left_ms\":0,\"sequence\":1,\"born\":{}}}",
            spec.service, self.address, spec.zone, spec.version, spec.slots, self.born
        );
        self.store.write(&self.key(), &entry);
    }

    /// Reports `draining`.
    pub fn drain(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
        self.register();
    }

    /// Ends the process, as the system does for it: all connections are closed. A crash leaves the
    /// entry in the store.
    pub fn end(&self, removes_entry: bool) {
        self.is_ended.store(true, Ordering::SeqCst);
        // Wakes the listener, so that it closes.
        let _ = TcpStream::connect(self.address);
        for conn in self.conns.lock().expect("the connections").drain(..) {
            let _ = conn.shutdown(Shutdown::Both);
        }
        if removes_entry {
            self.store.delete(&self.key());
        }
    }

    fn serve(&self, conn: &mut Conn) {
        while let Ok(Some(head)) = conn.head() {
            let Ok(body) = conn.body(&head) else {
                return;
            };
            let id = head.get("x-attempt-id").unwrap_or_default().to_owned();
            let is_expected = head
                .get("x-expected-replica")
                .is_none_or(|id| id == self.spec.id);
            let leaving = match self.is_leaving.load(Ordering::SeqCst) {
                true => "server-leaving: 1\r\nconnection: close\r\n",
                false => "",
            };
            if !is_expected || self.active.fetch_add(1, Ordering::SeqCst) >= self.spec.slots {
                if is_expected {
                    self.active.fetch_sub(1, Ordering::SeqCst);
                }
                let status = if is_expected { 503 } else { 421 };
                let reply = format!(
                    "HTTP/1.1 {status} No\r\nx-attempt-id: {id}\r\nx-not-executed: 1\r\n{leaving}\
                     content-length: 0\r\n\r\n"
                );
                if conn.send(reply.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.record.line(&format!(
                "run {id} at {} version {}",
                self.spec.id, self.spec.version
            ));
            let is_sent = self.run(conn, &head, &id, leaving, body.len());
            self.active.fetch_sub(1, Ordering::SeqCst);
            if !is_sent || !leaving.is_empty() {
                return;
            }
        }
    }

    fn run(&self, conn: &mut Conn, head: &Head, id: &str, leaving: &str, size: usize) -> bool {
        let own = format!(
            "x-attempt-id: {id}\r\nx-replica-signature: {}.{}\r\nkeep-alive: timeout=5\r\n{leaving}",
            self.spec.id, self.spec.version
        );
        if self.spec.events == 0 {
            thread::sleep(self.spec.work);
            let body = format!("{id} {} {size}", head.second());
            let reply = format!(
                "HTTP/1.1 200 OK\r\n{own}content-length: {}\r\n\r\n{body}",
                body.len()
            );
            return !self.is_ended.load(Ordering::SeqCst) && conn.send(reply.as_bytes()).is_ok();
        }
        let last = head
            .get("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        let start = format!(
            "HTTP/1.1 200 OK\r\n{own}content-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\n\r\n"
        );
        if conn.send(start.as_bytes()).is_err() {
            return false;
        }
        for number in last + 1..=self.spec.events {
            thread::sleep(self.spec.work);
            let event = format!("id: {number}\ndata: {} {number}\n\n", self.spec.version);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if self.is_ended.load(Ordering::SeqCst) || conn.send(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        conn.io.write_all(b"0\r\n\r\n").is_ok()
    }
}
