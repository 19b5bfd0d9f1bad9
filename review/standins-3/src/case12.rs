//! The operator takes the last tenant with its keys away.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::fleet::{self, Addresses, Daemon, HOST, KEY, Record, ZONES};
use crate::http;
use crate::replica::{Replica, Spec};
use crate::store::Store;

/// A key that no configuration ever holds.
const UNKNOWN_KEY: &str = "9zzzzzzzzzzzzzzzzzzz";
/// Time of requests before the keys are taken away.
const BEFORE: Duration = Duration::from_secs(6);
/// Time after which a key that was taken away must not serve: `revoke_ms`.
const REVOKE: Duration = Duration::from_millis(5_000);
/// Time of requests after that.
const AFTER: Duration = Duration::from_secs(15);
/// Pause between two requests of each kind.
const PAUSE: Duration = Duration::from_millis(100);

pub fn run(folder: &Path, temporary: &Path, has_trouble: bool) -> io::Result<Outcome> {
    let record = Record::create(&folder.join("record.txt"))?;
    let addresses = Addresses::new();
    let store = Arc::new(Store::start(addresses.at(1, 0))?);
    let provider = fleet::start_provider(addresses.at(2, 0), Arc::clone(&record))?;
    let tenant = format!(
        "{{\"name\":\"huka270\",\"api_keys\":[\"{KEY}\",\"xd9dnn2ctnfzs989anu6\"],\"priority\":1}}"
    );
    store.write("op/config", &configuration(7, &tenant));
    let runs = Arc::new(AtomicU64::new(0));
    let mut replicas = Vec::new();
    for (index, zone) in ZONES.into_iter().enumerate() {
        let spec = Spec {
            id: format!("i-{index:08x}"),
            service: "wuno96b",
            zone,
            capacity: 6,
            work: Duration::from_millis(60),
        };
        let address = addresses.at(100 + index as u8, 0);
        replicas.push(Replica::start(spec, address, &store, &runs, &record)?);
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
    let mut caller = Caller {
        fronts,
        sent: 0,
        runs: Arc::clone(&runs),
        record: Arc::clone(&record),
    };
    let (known, unknown) = caller.call_for(BEFORE);
    record.print(&format!(
        "before: of {} requests with the tenant's key, {} ran; of {} with an unknown key, {} ran",
        known.0, known.1, unknown.0, unknown.1
    ));
    if known.1 < known.0 / 2 || unknown.1 > 0 {
        return Ok(Outcome::CannotRun("keys do not work before".into()));
    }
    let left = if has_trouble { "" } else { tenant.as_str() };
    store.write("op/config", &configuration(8, left));
    record.print(match has_trouble {
        true => "version 8 is acknowledged: it holds no tenant any more",
        false => "version 8 is acknowledged: it holds the same tenant",
    });
    thread::sleep(REVOKE);
    let (known, unknown) = caller.call_for(AFTER);
    record.print(&format!(
        "later than revoke_ms: of {} requests with the tenant's key, {} ran; of {} with a key that \
         no configuration ever held, {} ran",
        known.0, known.1, unknown.0, unknown.1
    ));
    let withdrawn = if has_trouble { known.1 } else { 0 };
    let is_broken = withdrawn + unknown.1 > 0;
    record.print(if is_broken {
        "CONFIG is broken"
    } else {
        "CONFIG holds"
    });
    Ok(if is_broken {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

struct Caller {
    fronts: Vec<SocketAddr>,
    sent: usize,
    runs: Arc<AtomicU64>,
    record: Arc<Record>,
}

impl Caller {
    /// Sends requests with the tenant's key and with an unknown one by turns; returns how many were
    /// sent with each, and how many of them replicas ran.
    fn call_for(&mut self, time: Duration) -> ((u64, u64), (u64, u64)) {
        let from = Instant::now();
        let (mut known, mut unknown) = ((0, 0), (0, 0));
        while from.elapsed() < time {
            for (key, counts) in [(KEY, &mut known), (UNKNOWN_KEY, &mut unknown)] {
                let before = self.runs.load(Ordering::SeqCst);
                self.call(key);
                counts.0 += 1;
                counts.1 += u64::from(self.runs.load(Ordering::SeqCst) > before);
            }
            thread::sleep(PAUSE);
        }
        (known, unknown)
    }

    fn call(&mut self, key: &str) {
        let front = self.fronts[self.sent % self.fronts.len()];
        self.sent += 1;
        let id = format!("{:016x}", self.sent);
        let message = format!(
            "GET /pule252/{} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {id}\r\n\
             x-deadline-ms: 4000\r\nauthorization: Bearer {key}\r\n\r\n",
            self.sent
        );
        let outcome = match http::call(front, &message, Duration::from_secs(5)) {
            Ok(reply) => reply.status().to_string(),
            Err(error) => format!("no answer: {error}"),
        };
        self.record.note(&format!(
            "client: {id} with key {key} to {front}: {outcome}"
        ));
    }
}

fn configuration(version: u32, tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\
         \"prefix\":\"/pule252/\",\"kind\":\"idempotent\",\"timeout_ms\":4000,\
         \"target_latency_ms\":300,\"priority\":2,\"service\":\"wuno96b\",\"max_attempts\":2,\
         \"public\":false,\"session_affinity\":false,\"stream_resume\":false}}],\
         \"services\":[{{\"name\":\"wuno96b\",\"health_path\":\"/healthz\",\
         \"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{tenants}]}}"
    )
}
