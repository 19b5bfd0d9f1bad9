//! Stand-in for the platform's store: keys, leases, conditional writes and a watch.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Caller, Message, Server};
use crate::json::{Json, from_base64, quoted, to_base64};

/// Time that an answer takes, as the sheets of the small deployments say.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Time for which changes can be watched, as the sheets say.
const HISTORY: Duration = Duration::from_secs(20);
/// Most items in one page.
const PAGE_ITEMS: usize = 500;
/// Most bytes of values in one page.
const PAGE_BYTES: usize = 1 << 20;
/// Interval at which leases are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Revision of the first change.
const FIRST_REVISION: u64 = 100_000_000;

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    revision: u64,
    at: Instant,
    key: String,
    /// `None` if the key was deleted.
    item: Option<Item>,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Default)]
struct Table {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: VecDeque<Change>,
    /// Highest revision that is no longer in the history.
    forgotten: u64,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
}

#[derive(Default)]
struct Shared {
    table: Mutex<Table>,
    changed: Condvar,
    /// Whether all calls are answered with 503, while leases pause.
    is_away: AtomicBool,
}

/// A running store.
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _server: Server,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        {
            let mut table = shared.table.lock().unwrap();
            table.revision = FIRST_REVISION;
            table.forgotten = FIRST_REVISION;
            table.next_lease = 1;
        }
        let known = Arc::clone(&shared);
        let server = Server::start(address, move |caller| known.serve(caller))?;
        let known = Arc::clone(&shared);
        http::spawn(move || {
            loop {
                thread::sleep(CHECK_INTERVAL);
                match known.is_away.load(Ordering::SeqCst) {
                    true => known.pause_leases(),
                    false => known.expire(),
                }
            }
        });
        Ok(Self {
            address: server.address,
            shared,
            _server: server,
        })
    }

    /// Writes a key for the operator or a replica. One that holds the same value is left alone.
    pub fn write(&self, key: &str, value: &str) {
        let mut table = self.shared.table.lock().unwrap();
        let known = table.items.get(key).map(|item| item.value.clone());
        if known.as_deref() != Some(value.as_bytes()) {
            table.write(key, value.as_bytes().to_vec(), 0);
            drop(table);
            self.shared.changed.notify_all();
        }
    }

    /// Removes a key for a replica.
    pub fn delete(&self, key: &str) {
        self.shared.table.lock().unwrap().remove(key);
        self.shared.changed.notify_all();
    }

    /// Sets whether the store is away for the daemons; watches that wait are cut.
    pub fn set_away(&self, is_away: bool) {
        let table = self.shared.table.lock().unwrap();
        self.shared.is_away.store(is_away, Ordering::SeqCst);
        drop(table);
        self.shared.changed.notify_all();
    }

    /// Returns the keys with a prefix, with their leases.
    pub fn keys(&self, prefix: &str) -> Vec<(String, u64, String)> {
        let table = self.shared.table.lock().unwrap();
        let items = table
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        let text = |item: &Item| String::from_utf8_lossy(&item.value).into_owned();
        items
            .map(|(key, item)| (key.clone(), item.lease, text(item)))
            .collect()
    }
}

impl Table {
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
        self.items.insert(key.to_owned(), item.clone());
        self.note(key, Some(item));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.note(key, None);
        }
    }

    fn note(&mut self, key: &str, item: Option<Item>) {
        let (revision, at) = (self.revision, Instant::now());
        self.history.push_back(Change {
            revision,
            at,
            key: key.to_owned(),
            item,
        });
        while let Some(first) = self
            .history
            .front()
            .filter(|first| first.at.elapsed() > HISTORY)
        {
            self.forgotten = first.revision;
            self.history.pop_front();
        }
    }

    /// Returns a page of the keys after `after`, and whether there are more.
    fn page(&self, prefix: &str, after: &str) -> (Vec<String>, bool) {
        let from = if after < prefix {
            Bound::Included(prefix)
        } else {
            Bound::Excluded(after)
        };
        let mut page = Vec::new();
        let mut bytes = 0;
        for (key, item) in self.items.range::<str, _>((from, Bound::Unbounded)) {
            if !key.starts_with(prefix) {
                break;
            }
            if page.len() >= PAGE_ITEMS || bytes >= PAGE_BYTES {
                return (page, true);
            }
            let entry = encode(key, item);
            bytes += entry.len();
            page.push(entry);
        }
        (page, false)
    }
}

fn encode(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quoted(key),
        to_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl Shared {
    fn pause_leases(&self) {
        let mut table = self.table.lock().unwrap();
        for lease in table.leases.values_mut() {
            lease.ends_at += CHECK_INTERVAL;
        }
    }

    fn expire(&self) {
        let mut table = self.table.lock().unwrap();
        let now = Instant::now();
        let ended = table
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in &ended {
            end_lease(&mut table, *id);
        }
        drop(table);
        if !ended.is_empty() {
            self.changed.notify_all();
        }
    }

    fn serve(&self, caller: &mut Caller) -> io::Result<()> {
        while let Some(mut message) = http::read_head(&mut caller.reader)? {
            http::read_body(&mut caller.reader, &mut message)?;
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&message);
            let headers = "content-type: application/json\r\nstore-era: 1\r\n";
            caller.reply(status, headers, body.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, message: &Message) -> (u16, String) {
        if self.is_away.load(Ordering::SeqCst) {
            return (503, "{}".into());
        }
        let key = message.parameter("key").unwrap_or_default();
        let prefix = message.parameter("prefix").unwrap_or_default();
        let after = message.parameter("after").unwrap_or_default();
        let wait = message
            .parameter("wait_ms")
            .and_then(|text| text.parse().ok());
        let body = Json::parse(&message.body).unwrap_or(Json::Null);
        let path = message.path();
        match (message.method(), path) {
            ("GET", "/api/kv-key") => {
                let table = self.table.lock().unwrap();
                let item = table.items.get(&key).map(|item| encode(&key, item));
                item.map_or((404, "{}".into()), |item| (200, item))
            }
            ("GET", "/api/kv-range") => {
                let table = self.table.lock().unwrap();
                let (entries, has_more) = table.page(&prefix, &after);
                let (entries, at) = (entries.join(","), table.revision);
                let body =
                    format!("{{\"entries\":[{entries}],\"has_more\":{has_more},\"at\":{at}}}");
                (200, body)
            }
            ("GET", "/api/kv-watch") => {
                let after = after.parse().unwrap_or(0);
                self.watch(&prefix, after, Duration::from_millis(wait.unwrap_or(0)))
            }
            ("POST", "/api/kv-txn") => self.transact(&body),
            ("POST", "/api/kv-lease") => {
                let mut table = self.table.lock().unwrap();
                let ttl = body.get("ttl_ms").and_then(Json::number).unwrap_or(1_000);
                let ttl = Duration::from_millis(ttl.clamp(1_000, 600_000));
                let id = table.next_lease;
                table.next_lease += 1;
                table.leases.insert(
                    id,
                    Lease {
                        ttl,
                        ends_at: Instant::now() + ttl,
                    },
                );
                (
                    200,
                    format!("{{\"lease\":{id},\"ttl_ms\":{}}}", ttl.as_millis()),
                )
            }
            ("POST", _) if path.starts_with("/api/kv-keep/") => {
                let id = path
                    .trim_start_matches("/api/kv-keep/")
                    .parse()
                    .unwrap_or(0);
                let mut table = self.table.lock().unwrap();
                match table.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.ends_at = Instant::now() + lease.ttl;
                        (200, format!("{{\"ttl_ms\":{}}}", lease.ttl.as_millis()))
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", _) if path.starts_with("/api/kv-lease-end/") => {
                let id = path
                    .trim_start_matches("/api/kv-lease-end/")
                    .parse()
                    .unwrap_or(0);
                let mut table = self.table.lock().unwrap();
                end_lease(&mut table, id);
                drop(table);
                self.changed.notify_all();
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let deadline = Instant::now() + wait;
        let mut table = self.table.lock().unwrap();
        loop {
            if self.is_away.load(Ordering::SeqCst) {
                return (503, "{}".into());
            }
            if after < table.forgotten {
                return (410, "{}".into());
            }
            let changes = table
                .history
                .iter()
                .filter(|change| change.revision > after);
            let changes = changes.filter(|change| change.key.starts_with(prefix));
            let events: Vec<String> = changes.map(encode_change).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"at\":{}}}",
                    events.join(","),
                    table.revision
                );
                return (200, body);
            }
            table = self.changed.wait_timeout(table, left).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut table: MutexGuard<'_, Table> = self.table.lock().unwrap();
        let mut conflicts = Vec::new();
        let mut is_conflict = false;
        for row in body.list("expected") {
            let key = row.get("key").and_then(Json::text).unwrap_or_default();
            let expected = row.get("revision").and_then(Json::number).unwrap_or(0);
            let known = table.items.get(key);
            is_conflict |= known.map_or(0, |item| item.revision) != expected;
            conflicts.push(match known {
                Some(item) => encode(key, item),
                None => format!("{{\"key\":{},\"revision\":0}}", quoted(key)),
            });
        }
        if is_conflict {
            return (412, format!("{{\"entries\":[{}]}}", conflicts.join(",")));
        }
        let lease_of = |row: &Json| row.get("lease").and_then(Json::number).unwrap_or(0);
        let writes = body.list("writes");
        if writes
            .iter()
            .any(|row| lease_of(row) != 0 && !table.leases.contains_key(&lease_of(row)))
        {
            return (404, "{}".into());
        }
        for row in writes {
            let key = row.get("key").and_then(Json::text).unwrap_or_default();
            let value = row.get("value").and_then(Json::text).and_then(from_base64);
            table.write(key, value.unwrap_or_default(), lease_of(row));
        }
        for key in body.list("deletes").iter().filter_map(Json::text) {
            table.remove(key);
        }
        let revision = table.revision;
        drop(table);
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

fn encode_change(change: &Change) -> String {
    match &change.item {
        Some(item) => encode(&change.key, item),
        None => format!(
            "{{\"key\":{},\"revision\":{},\"deleted\":true}}",
            quoted(&change.key),
            change.revision
        ),
    }
}

fn end_lease(table: &mut Table, id: u64) {
    if table.leases.remove(&id).is_none() {
        return;
    }
    let bound = table.items.iter().filter(|(_, item)| item.lease == id);
    let bound: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
    for key in bound {
        table.remove(&key);
    }
}
