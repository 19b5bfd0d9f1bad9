//! Stand-in for the platform's metadata store, with one listener for each daemon.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Head, parameter};
use crate::json::{Json, from_base64, to_base64};

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const HISTORY_TIME: Duration = Duration::from_secs(20);
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;
const COPY_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Event {
    at: Instant,
    revision: u64,
    key: String,
    text: Arc<String>,
}

#[derive(Clone, Default)]
struct Table {
    items: BTreeMap<String, Item>,
    /// Time to live, and end.
    leases: BTreeMap<u64, (Duration, Instant)>,
    history: VecDeque<Event>,
    revision: u64,
    compacted: u64,
    next_lease: u64,
}

/// What a machine gets from the store.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Path {
    Open,
    /// Calls get no answer.
    Silent,
    /// Calls get 503.
    Busy,
}

struct State {
    table: Table,
    copies: VecDeque<(Instant, Table)>,
    era: u64,
    keeps_copies: bool,
    paths: BTreeMap<SocketAddr, Path>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        to_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl Table {
    fn push(&mut self, key: &str, text: String) {
        self.history.push_back(Event {
            at: Instant::now(),
            revision: self.revision,
            key: key.to_owned(),
            text: Arc::new(text),
        });
        while self
            .history
            .front()
            .is_some_and(|event| event.at.elapsed() > HISTORY_TIME)
        {
            if let Some(event) = self.history.pop_front() {
                self.compacted = event.revision;
            }
        }
    }

    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        let text = item_text(key, &item);
        self.items.insert(key.to_owned(), item);
        self.push(key, text);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.push(
                key,
                format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
            );
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn transact(&mut self, body: &[u8]) -> (u16, String) {
        let Some(call) = Json::parse(body) else {
            return (400, "{}".into());
        };
        let rows = |name: &str| call.get(name).map_or(&[][..], Json::list);
        let expected = rows("expected");
        let holds = |row: &Json| {
            let key = row.get("key").and_then(Json::text).unwrap_or_default();
            let revision = row.get("revision").and_then(Json::number).unwrap_or(0);
            self.items.get(key).map_or(0, |item| item.revision) == revision
        };
        if !expected.iter().all(holds) {
            let entries: Vec<String> = expected
                .iter()
                .filter_map(|row| row.get("key").and_then(Json::text))
                .filter_map(|key| self.items.get(key).map(|item| item_text(key, item)))
                .collect();
            return (412, format!("{{\"entries\":[{}]}}", entries.join(",")));
        }
        let lease_of = |row: &Json| row.get("lease").and_then(Json::number).unwrap_or(0);
        for row in rows("writes") {
            let lease = lease_of(row);
            if lease != 0 && !self.leases.contains_key(&lease) {
                return (404, "{}".into());
            }
        }
        for row in rows("writes") {
            let key = row.get("key").and_then(Json::text).unwrap_or_default();
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, "{}".into());
            }
            let value = row.get("value").and_then(Json::text).unwrap_or_default();
            let Some(value) = from_base64(value) else {
                return (400, "{}".into());
            };
            self.write(key, value, lease_of(row));
        }
        for key in rows("deletes").iter().filter_map(Json::text) {
            self.remove(key);
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }

    fn page(&self, prefix: &str, after: &str) -> String {
        let mut entries: Vec<String> = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        let start = if after.is_empty() { prefix } else { after };
        for (key, item) in self.items.range(start.to_owned()..) {
            if !key.starts_with(prefix) {
                if key.as_str() > prefix {
                    break;
                }
                continue;
            }
            if !after.is_empty() && key.as_str() <= after {
                continue;
            }
            if entries.len() >= PAGE_ITEMS || bytes > PAGE_BYTES {
                more = true;
                break;
            }
            let text = item_text(key, item);
            bytes += text.len();
            entries.push(text);
        }
        format!(
            "{{\"entries\":[{}],\"has_more\":{more},\"at\":{}}}",
            entries.join(","),
            self.revision
        )
    }
}

impl Store {
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::new(State {
                table: Table {
                    revision: 10,
                    ..Table::default()
                },
                copies: VecDeque::new(),
                era: 1,
                keeps_copies: false,
                paths: BTreeMap::new(),
            }),
            changed: Condvar::new(),
        });
        let ticking = Arc::clone(&store);
        thread::spawn(move || {
            let mut copied_at = None::<Instant>;
            loop {
                thread::sleep(Duration::from_millis(20));
                let mut state = ticking.lock();
                let now = Instant::now();
                let ended: Vec<u64> = state
                    .table
                    .leases
                    .iter()
                    .filter(|(_, (_, end))| *end <= now)
                    .map(|(lease, _)| *lease)
                    .collect();
                for lease in &ended {
                    state.table.end_lease(*lease);
                }
                if state.keeps_copies && copied_at.is_none_or(|at| at.elapsed() >= COPY_INTERVAL) {
                    copied_at = Some(now);
                    let copy = state.table.clone();
                    state.copies.push_back((now, copy));
                    if state.copies.len() > 80 {
                        state.copies.pop_front();
                    }
                }
                drop(state);
                if !ended.is_empty() {
                    ticking.changed.notify_all();
                }
            }
        });
        store
    }

    /// Opens one more listener.
    pub fn listen(self: &Arc<Self>) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        self.lock().paths.insert(address, Path::Open);
        let store = Arc::clone(self);
        thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                thread::spawn(move || store.serve(address, Conn::new(io)));
            }
        });
        Ok(address)
    }

    pub fn set_path(&self, address: SocketAddr, path: Path) {
        self.lock().paths.insert(address, path);
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Writes on behalf of the operator or of a replica.
    pub fn put(&self, key: &str, value: &str) {
        self.lock().table.write(key, value.as_bytes().to_vec(), 0);
        self.changed.notify_all();
    }

    /// Writes the heartbeat of a replica, which changes the entry if more than `sequence` differs;
    /// returns whether it did.
    pub fn refresh(&self, key: &str, value: &str) -> bool {
        let without_sequence = |value: &[u8]| {
            let text = String::from_utf8_lossy(value).into_owned();
            let begin = text.find("\"sequence\":").unwrap_or(text.len());
            let end = text[begin..].find(',').map_or(text.len(), |at| begin + at);
            text[..begin].to_owned() + &text[end..]
        };
        let mut state = self.lock();
        if state.paths.values().all(|path| *path != Path::Open) && !state.paths.is_empty() {
            return false;
        }
        let known = state.table.items.get(key);
        let known = known.map(|item| without_sequence(&item.value));
        if known == Some(without_sequence(value.as_bytes())) {
            return false;
        }
        state.table.write(key, value.as_bytes().to_vec(), 0);
        drop(state);
        self.changed.notify_all();
        true
    }

    /// Makes copies from now on, from which the store can come back.
    pub fn keep_copies(&self) {
        self.lock().keeps_copies = true;
    }

    /// Adds keys that were written so long ago that the history does not have them.
    pub fn add_old(&self, items: impl Iterator<Item = (String, String)>) {
        let mut state = self.lock();
        for (key, value) in items {
            let item = Item {
                value: value.into_bytes(),
                revision: 1,
                created: 1,
                lease: 0,
            };
            state.table.items.insert(key, item);
        }
    }

    /// Returns the number of keys with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let state = self.lock();
        let items = state.table.items.range(prefix.to_owned()..);
        items.take_while(|(key, _)| key.starts_with(prefix)).count()
    }

    /// Comes back from a copy that is `age` old, in a new era.
    pub fn restore(&self, age: Duration) {
        let mut state = self.lock();
        while state.copies.len() > 1
            && state
                .copies
                .back()
                .is_some_and(|(at, _)| at.elapsed() < age)
        {
            state.copies.pop_back();
        }
        if let Some((_, copy)) = state.copies.back() {
            state.table = copy.clone();
        }
        state.copies.clear();
        state.era += 1;
        drop(state);
        self.changed.notify_all();
    }

    fn path(&self, address: SocketAddr) -> Path {
        let state = self.lock();
        state.paths.get(&address).copied().unwrap_or(Path::Open)
    }

    fn serve(&self, address: SocketAddr, mut conn: Conn) {
        while let Ok(head) = conn.head(None) {
            let Ok(body) = conn.body(&head, None) else {
                return;
            };
            match self.path(address) {
                Path::Open => {}
                Path::Silent => {
                    thread::sleep(Duration::from_secs(3));
                    return;
                }
                Path::Busy => {
                    if conn.reply(503, "", b"{}").is_err() {
                        return;
                    }
                    continue;
                }
            }
            thread::sleep(ANSWER_TIME);
            let (status, text) = self.call(&head, &body);
            match self.path(address) {
                Path::Open => {}
                Path::Silent => {
                    thread::sleep(Duration::from_secs(3));
                    return;
                }
                Path::Busy => return,
            }
            let era = self.lock().era;
            let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            if conn.reply(status, &headers, text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn call(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let method = head.first.first().map_or("", String::as_str);
        let target = head.first.get(1).map_or("", String::as_str);
        let path = target.split('?').next().unwrap_or_default();
        let empty = || String::from("{}");
        match (method, path) {
            ("GET", "/api/kv-key") => {
                let key = parameter(target, "key");
                match self.lock().table.items.get(&key) {
                    Some(item) => (200, item_text(&key, item)),
                    None => (404, empty()),
                }
            }
            ("GET", "/api/kv-range") => {
                let (prefix, after) = (parameter(target, "prefix"), parameter(target, "after"));
                (200, self.lock().table.page(&prefix, &after))
            }
            ("GET", "/api/kv-watch") => self.watch(target),
            ("POST", "/api/kv-txn") => {
                let answer = self.lock().table.transact(body);
                self.changed.notify_all();
                answer
            }
            ("POST", "/api/kv-lease") => {
                let ttl = Json::parse(body).and_then(|body| body.get("ttl_ms")?.number());
                let ttl = Duration::from_millis(ttl.unwrap_or(1_000).clamp(1_000, 600_000));
                let mut state = self.lock();
                state.table.next_lease += 1;
                let lease = state.table.next_lease;
                let end = Instant::now() + ttl;
                state.table.leases.insert(lease, (ttl, end));
                let text = format!("{{\"lease\":{lease},\"ttl_ms\":{}}}", ttl.as_millis());
                (200, text)
            }
            _ => self.lease_call(method, path).unwrap_or((404, empty())),
        }
    }

    fn lease_call(&self, method: &str, path: &str) -> Option<(u16, String)> {
        if let Some(lease) = path.strip_prefix("/api/kv-keep/") {
            let lease = lease.parse().ok()?;
            let mut state = self.lock();
            let (ttl, end) = state.table.leases.get_mut(&lease)?;
            *end = Instant::now() + *ttl;
            let text = format!("{{\"ttl_ms\":{}}}", ttl.as_millis());
            return Some((200, text));
        }
        let lease = path.strip_prefix("/api/kv-lease-end/")?.parse().ok()?;
        if method != "DELETE" {
            return None;
        }
        self.lock().table.end_lease(lease);
        self.changed.notify_all();
        Some((200, "{}".into()))
    }

    fn watch(&self, target: &str) -> (u16, String) {
        let prefix = parameter(target, "prefix");
        let after: u64 = parameter(target, "after").parse().unwrap_or(0);
        let wait: u64 = parameter(target, "wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.lock();
        let era = state.era;
        loop {
            let table = &state.table;
            if after < table.compacted || after > table.revision || state.era != era {
                return (410, "{}".into());
            }
            let events: Vec<&str> = table
                .history
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(&prefix))
                .map(|event| event.text.as_str())
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let text = format!(
                    "{{\"events\":[{}],\"at\":{}}}",
                    events.join(","),
                    table.revision
                );
                return (200, text);
            }
            state = match self.changed.wait_timeout(state, left) {
                Ok((state, _)) => state,
                Err(error) => error.into_inner().0,
            };
        }
    }
}
