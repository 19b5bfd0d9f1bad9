//! Stand-in for a replica: serves plain requests, and registers itself in the store.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
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
    pub capacity: u32,
    /// Time after which it answers, with 800 bytes.
    pub work: Duration,
}

/// A running replica.
pub struct Replica {
    _server: Server,
}

struct State {
    spec: Spec,
    runs: Arc<AtomicU64>,
    record: Arc<Record>,
}

impl Replica {
    /// Starts a replica, which counts in `runs` what it runs. Its entry does not change: only its
    /// sequence number would.
    pub fn start(
        spec: Spec,
        address: SocketAddr,
        store: &Store,
        runs: &Arc<AtomicU64>,
        record: &Arc<Record>,
    ) -> io::Result<Self> {
        let (key, entry) = (format!("servers/{}", spec.id), entry(&spec));
        let (runs, record) = (Arc::clone(runs), Arc::clone(record));
        let state = State { spec, runs, record };
        let server = Server::start(address, move |caller| state.serve(caller))?;
        store.write(&key, &entry.replace("ADDRESS", &server.address.to_string()));
        Ok(Self { _server: server })
    }
}

fn entry(spec: &Spec) -> String {
    format!(
        "{{\"service\":\"{}\",\"address\":\"ADDRESS\",\"zone\":\"{}\",\"version\":\"1\",\
         \"capacity\":{},\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":1,\"born\":{}}}",
        spec.service,
        spec.zone,
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
        let expected = message.header("x-expected-replica");
        if expected.is_some_and(|expected| expected != own) {
            let headers = format!("x-attempt-id: {id}\r\nx-not-executed: 1\r\n");
            return caller.reply(421, &headers, b"");
        }
        self.runs.fetch_add(1, Ordering::SeqCst);
        let tenant = message.header("x-tenant").unwrap_or("none");
        self.record
            .note(&format!("replica {own} runs {id}, tenant {tenant}"));
        thread::sleep(self.spec.work);
        let headers = format!(
            "x-attempt-id: {id}\r\nx-replica-signature: {own}.{id}\r\nkeep-alive: timeout=5\r\n"
        );
        caller.reply(200, &headers, &[b'a'; 800])
    }
}
