//! A small deployment: daemons, replicas, the platform and clients.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::client::{self, Answer, Call, End};
use crate::duties;
use crate::fleet::{Daemon, free_subnet};
use crate::record::Record;
use crate::replica::{Replica, Runs, Spec};
use crate::store::Store;

pub const HOST: &str = "desk.example";
pub const KEY: &str = "key-of-tenant-one";
pub const STREAM_TIMEOUT: Duration = Duration::from_millis(15_000);
/// Time for which clients wait for a whole stream.
pub const STREAM_DEADLINE: Duration = Duration::from_millis(18_000);
pub const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which clients wait for a plain answer.
pub const READ_DEADLINE: Duration = Duration::from_millis(4_000);
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

pub struct World {
    pub record: Record,
    pub store: Arc<Store>,
    pub daemons: Vec<Daemon>,
    pub replicas: BTreeMap<String, Replica>,
    pub runs: Runs,
    pub traffic: Arc<Traffic>,
    clients: Vec<JoinHandle<()>>,
    subnet: String,
}

/// What all clients share.
pub struct Traffic {
    pub record: Record,
    /// Addresses that clients may use.
    pub addresses: Mutex<Vec<SocketAddr>>,
    pub is_over: AtomicBool,
    next_id: AtomicU64,
    pub results: Mutex<Vec<Done>>,
}

/// One finished attempt of a client.
#[derive(Debug, Clone)]
pub struct Done {
    pub id: String,
    pub kind: &'static str,
    /// Seconds since the start.
    pub sent: f64,
    pub timeout: Duration,
    pub answer: Answer,
}

impl Traffic {
    pub fn id(&self) -> String {
        let number = self.next_id.fetch_add(1, Ordering::SeqCst);
        format!("{:08x}{number:08x}", std::process::id())
    }

    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }

    /// Picks an address at random, by the number of the attempt.
    pub fn pick(&self, id: &str) -> Option<SocketAddr> {
        let hash = id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        let addresses = self.addresses.lock().ok()?;
        let index = (hash >> 24) as usize % addresses.len().max(1);
        addresses.get(index).copied()
    }

    /// Makes one attempt and records it.
    pub fn attempt(
        &self,
        kind: &'static str,
        to: SocketAddr,
        timeout: Duration,
        call: &Call<'_>,
    ) -> Answer {
        let sent = self.record.now();
        self.record
            .line(format!("sent {} {kind} {} to {to}", call.id, call.path));
        let answer = client::call(to, call);
        self.record.line(format!(
            "ended {} {:?} after {} ms, signed {}",
            call.id,
            answer.end,
            answer.took.as_millis(),
            answer.is_signed
        ));
        if let Ok(mut results) = self.results.lock() {
            results.push(Done {
                id: call.id.to_owned(),
                kind,
                sent,
                timeout,
                answer: answer.clone(),
            });
        }
        answer
    }
}

/// Configuration with three routes to the service `models`: resumable streams, plain reads and
/// orders that must not be repeated.
pub fn configuration(version: u64, keys: &[&str]) -> String {
    let keys = keys.join("\",\"");
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-stream\",\"host\":\"{HOST}\",\"prefix\":\"/stream/\",\"kind\":\"streaming\",\"timeout_ms\":15000,\
         \"target_latency_ms\":1000,\"priority\":0,\"service\":\"models\",\"max_attempts\":2,\"public\":false,\
         \"session_affinity\":true,\"stream_resume\":true,\"target_itl_ms\":300}},\
         {{\"name\":\"r-read\",\"host\":\"{HOST}\",\"prefix\":\"/read/\",\"kind\":\"idempotent\",\"timeout_ms\":1500,\
         \"target_latency_ms\":300,\"priority\":2,\"service\":\"models\",\"max_attempts\":2,\"public\":false}},\
         {{\"name\":\"r-order\",\"host\":\"{HOST}\",\"prefix\":\"/order/\",\"kind\":\"non_idempotent\",\"timeout_ms\":4000,\
         \"target_latency_ms\":300,\"priority\":2,\"service\":\"models\",\"max_attempts\":2,\"public\":false}}],\
         \"services\":[{{\"name\":\"models\",\"health_path\":\"/healthz\",\"max_connections\":370,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-one\",\"api_keys\":[\"{keys}\"],\"priority\":1,\"unit\":\"tokens\",\"uncached_tokens\":200,\
         \"rate_per_s\":0,\"burst\":0}}]}}"
    )
}

/// Configuration like [`configuration`], with a public route to `service` and many routes that no
/// client uses.
pub fn big_configuration(version: u64, service: &str, routes: usize) -> String {
    let mut more = format!(
        "\"routes\":[{{\"name\":\"r-public\",\"host\":\"{HOST}\",\"prefix\":\"/public/\",\"kind\":\"idempotent\",\"timeout_ms\":1500,\
         \"target_latency_ms\":300,\"priority\":2,\"service\":\"{service}\",\"max_attempts\":2,\"public\":true}},"
    );
    for number in 0..routes {
        more += &format!(
            "{{\"name\":\"r-idle-{number:06}\",\"host\":\"idle-{number:06}.example\",\"prefix\":\"/idle-{number:06}/\",\
             \"kind\":\"idempotent\",\"timeout_ms\":4000,\"target_latency_ms\":300,\"priority\":2,\"service\":\"models\",\
             \"max_attempts\":2,\"public\":false,\"session_affinity\":false,\"stream_resume\":false}},"
        );
    }
    let services = "\"services\":[{\"name\":\"others\",\"health_path\":\"/healthz\",\"max_connections\":370,\"protocol\":\"h1\",\"tls\":false},";
    configuration(version, &[KEY])
        .replacen("\"routes\":[", &more, 1)
        .replacen("\"services\":[", services, 1)
}

impl World {
    /// Starts the platform and as many daemons; replicas are started with [`World::replica`].
    pub fn start(record: &Record, daemons: usize, folder: PathBuf) -> io::Result<Self> {
        let store = Store::start();
        let duties = duties::start(record)?;
        store.put("op/config", &configuration(7, &[KEY]));
        let subnet = free_subnet()?;
        let mut fleet = Vec::new();
        for index in 1..=daemons {
            let path = store.listen()?;
            let zone = ZONES[index % ZONES.len()];
            fleet.push(Daemon::new(index, &subnet, zone, path, duties, &folder));
        }
        Ok(Self {
            record: record.clone(),
            store,
            daemons: fleet,
            replicas: BTreeMap::new(),
            runs: Runs::default(),
            traffic: Arc::new(Traffic {
                record: record.clone(),
                addresses: Mutex::new(Vec::new()),
                is_over: AtomicBool::new(false),
                next_id: AtomicU64::new(1),
                results: Mutex::new(Vec::new()),
            }),
            clients: Vec::new(),
            subnet,
        })
    }

    /// Starts the replica with a number, or starts it again under the id that it had.
    pub fn replica(&mut self, number: u16, version: &str) -> io::Result<()> {
        self.replica_of("models", number, version)
    }

    pub fn replica_of(&mut self, service: &str, number: u16, version: &str) -> io::Result<()> {
        let id = format!("i-{number}");
        let spec = Spec {
            id: id.clone(),
            service: service.to_owned(),
            zone: ZONES[usize::from(number) % ZONES.len()].to_owned(),
            version: version.to_owned(),
            address: crate::fleet::address(&format!("{}.{}", self.subnet, 100 + number), 8080),
        };
        self.record.say(format!("replica {id} starts at {version}"));
        let replica = Replica::start(spec, &self.store, &self.record, &self.runs)?;
        self.replicas.insert(id, replica);
        Ok(())
    }

    pub fn crash(&mut self, number: u16) {
        let id = format!("i-{number}");
        if let Some(replica) = self.replicas.remove(&id) {
            self.record.say(format!("replica {id} crashes"));
            replica.crash();
        }
    }

    /// Starts all daemons, and waits until they are ready and know each other.
    pub fn start_daemons(&mut self) -> io::Result<bool> {
        for daemon in &mut self.daemons {
            daemon.start()?;
        }
        let start = Instant::now();
        let all = self.daemons.len();
        while start.elapsed() < Duration::from_secs(15) {
            let know_all = |daemon: &Daemon| daemon.resolve(HOST).len() == all;
            if self.daemons.iter().all(know_all) {
                self.record.say("all daemons are ready");
                return Ok(true);
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(false)
    }

    /// Returns what a client needs to ask a daemon for addresses.
    pub fn directory_client(&self, index: usize) -> Daemon {
        let daemon = &self.daemons[index];
        let folder = PathBuf::new();
        let (store, duties) = (daemon.store, daemon.duties);
        Daemon::new(
            index + 1,
            &self.subnet,
            &daemon.zone,
            store,
            duties,
            &folder,
        )
    }

    /// Lets clients use the addresses that a daemon names, now and every second.
    pub fn follow_directory(&mut self) {
        let traffic = Arc::clone(&self.traffic);
        let fronts: Vec<Daemon> = (0..self.daemons.len())
            .map(|index| self.directory_client(index))
            .collect();
        let all: Vec<SocketAddr> = fronts.iter().map(Daemon::front).collect();
        if let Ok(mut addresses) = traffic.addresses.lock() {
            *addresses = all;
        }
        self.clients.push(thread::spawn(move || {
            while !traffic.is_over() {
                let found = fronts
                    .iter()
                    .map(|daemon| daemon.resolve(HOST))
                    .find(|found| !found.is_empty());
                if let (Some(found), Ok(mut addresses)) = (found, traffic.addresses.lock()) {
                    *addresses = found;
                }
                thread::sleep(Duration::from_millis(500));
            }
        }));
    }

    pub fn client(&mut self, run: impl FnOnce(&Traffic) + Send + 'static) {
        let traffic = Arc::clone(&self.traffic);
        self.clients.push(thread::spawn(move || run(&traffic)));
    }

    /// Ends the traffic and waits for the clients.
    pub fn end_traffic(&mut self) {
        self.traffic.is_over.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }

    pub fn results(&self) -> Vec<Done> {
        let results = self.traffic.results.lock();
        results.map(|results| results.clone()).unwrap_or_default()
    }
}

/// Reads again and again.
pub fn read_client(traffic: &Traffic, pause: Duration) {
    while !traffic.is_over() {
        let id = traffic.id();
        if let Some(to) = traffic.pick(&id) {
            let path = format!("/read/{id}");
            let call = Call {
                method: "GET",
                path: &path,
                host: HOST,
                id: &id,
                key: KEY,
                headers: "",
                body: b"",
                deadline: READ_DEADLINE,
                patience: READ_DEADLINE,
            };
            traffic.attempt("read", to, READ_TIMEOUT, &call);
        }
        thread::sleep(pause);
    }
}

/// A stream over all tries of its client.
#[derive(Debug, Clone, Default)]
pub struct Stream {
    pub attempts: Vec<String>,
    pub events: Vec<(u64, String)>,
    pub is_whole: bool,
}

/// Reads streams of `count` events, and takes each one up a few times within its deadline.
pub fn stream_client(
    traffic: &Traffic,
    (count, gap): (u64, u64),
    retries: u32,
    pause: Duration,
    streams: &Mutex<Vec<Stream>>,
) {
    while !traffic.is_over() {
        let mut stream = Stream::default();
        let mut begun_by = None::<String>;
        let begun_at = Instant::now();
        for _ in 0..=retries {
            let id = traffic.id();
            let Some(to) = traffic.pick(&id) else {
                break;
            };
            let mut headers = format!(
                "X-Model: m\r\nX-Token-Usage: 500,{}\r\nX-Prefix-Hash: {}:100,{}:400\r\n",
                count * 5,
                id.get(14..).unwrap_or("1"),
                id
            );
            if let (Some(begun_by), Some((last, _))) = (&begun_by, stream.events.last()) {
                headers += &format!("Last-Event-Id: {last}\r\nResumes: {begun_by}\r\n");
            }
            let path = format!(
                "/stream/{}?n={count}&gap={gap}",
                traffic.record.now() as u64
            );
            let call = Call {
                method: "POST",
                path: &path,
                host: HOST,
                id: &id,
                key: KEY,
                headers: &headers,
                body: b"{}",
                deadline: STREAM_DEADLINE.saturating_sub(begun_at.elapsed()),
                patience: STREAM_DEADLINE.saturating_sub(begun_at.elapsed()),
            };
            let answer = traffic.attempt("stream", to, STREAM_TIMEOUT, &call);
            stream.attempts.push(id.clone());
            if answer.end == End::Status(200) || answer.is_signed {
                let events = client::events(&answer.body);
                if !events.is_empty() {
                    begun_by.get_or_insert(id);
                }
                stream.events.extend(events);
            }
            if answer.end == End::Status(200) {
                stream.is_whole = true;
                break;
            }
            let wait = answer.retry_after.unwrap_or(0.3);
            thread::sleep(Duration::from_secs_f64(wait.clamp(0.05, 3.0)));
            if traffic.is_over() || begun_at.elapsed() > STREAM_DEADLINE {
                break;
            }
        }
        if let Ok(mut streams) = streams.lock() {
            streams.push(stream);
        }
        thread::sleep(pause);
    }
}
