//! Stand-in for a replica that answers with event streams, which may be resumed.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use crate::fleet::{Record, unix_ms};
use crate::http::{self, Caller, Message, Server};
use crate::store::Store;

#[derive(Debug, Clone)]
pub struct Spec {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    /// Version of its software, which each event names.
    pub version: &'static str,
    pub capacity: u32,
    /// Number of events of each stream.
    pub events: u32,
    /// Time before the first event, and between two.
    pub pauses: (Duration, Duration),
}

/// A running replica.
pub struct Engine {
    _server: Server,
}

struct State {
    spec: Spec,
    active: AtomicU32,
    record: Arc<Record>,
}

impl Engine {
    pub fn start(
        spec: Spec,
        address: SocketAddr,
        store: &Store,
        record: &Arc<Record>,
    ) -> io::Result<Self> {
        let (key, entry) = (format!("servers/{}", spec.id), entry(&spec));
        let state = State {
            spec,
            active: AtomicU32::new(0),
            record: Arc::clone(record),
        };
        let server = Server::start(address, move |caller| state.serve(caller))?;
        store.write(&key, &entry.replace("ADDRESS", &server.address.to_string()));
        Ok(Self { _server: server })
    }
}

fn entry(spec: &Spec) -> String {
    format!(
        "{{\"service\":\"{}\",\"address\":\"ADDRESS\",\"zone\":\"{}\",\"version\":\"{}\",\
         \"capacity\":{},\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":1,\"born\":{}}}",
        spec.service,
        spec.zone,
        spec.version,
        spec.capacity,
        unix_ms()
    )
}

impl State {
    fn serve(&self, caller: &mut Caller) -> io::Result<()> {
        while let Some(mut message) = http::read_head(&mut caller.reader)? {
            http::read_body(&mut caller.reader, &mut message)?;
            self.serve_one(caller, &message)?;
            if message.should_close() {
                break;
            }
        }
        Ok(())
    }

    fn serve_one(&self, caller: &mut Caller, message: &Message) -> io::Result<()> {
        let own = self.spec.id.as_str();
        if message.path() == "/healthz" {
            return caller.reply(200, &format!("x-replica-id: {own}\r\n"), b"");
        }
        let Some(id) = message.header("x-attempt-id").map(str::to_owned) else {
            return caller.reply(400, "x-not-executed: 1\r\n", b"");
        };
        let refusal = format!("x-attempt-id: {id}\r\nx-not-executed: 1\r\n");
        let expected = message.header("x-expected-replica");
        if expected.is_some_and(|expected| expected != own) {
            return caller.reply(421, &refusal, b"");
        }
        if self.active.fetch_add(1, Ordering::SeqCst) >= self.spec.capacity {
            self.active.fetch_sub(1, Ordering::SeqCst);
            return caller.reply(503, &refusal, b"");
        }
        let outcome = self.stream(caller, message, &id);
        self.active.fetch_sub(1, Ordering::SeqCst);
        outcome
    }

    fn stream(&self, caller: &mut Caller, message: &Message, id: &str) -> io::Result<()> {
        let Spec {
            id: own, version, ..
        } = &self.spec;
        let last = message.header("last-event-id");
        let last = last.and_then(|text| text.parse().ok()).unwrap_or(0);
        self.record.note(&format!(
            "replica {own} of {version} runs {id} after event {last}"
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-replica-signature: {own}.{id}\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
             keep-alive: timeout=5\r\n\r\n"
        );
        let (first, between) = self.spec.pauses;
        thread::sleep(first);
        caller.send(head.as_bytes())?;
        for number in last + 1..=self.spec.events {
            let event = format!("id: {number}\ndata: {version} {number}\n\n");
            caller.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(between);
        }
        caller.send(b"0\r\n\r\n")
    }
}
