//! Stand-in for the platform's store, with the rates of the sheet of a small deployment.

use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::ops::Bound;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Head, parameter};
use crate::json::{Json, base64};

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Rate of the link, in bytes a second: 1,000 Mbit/s.
const LINK_RATE: f64 = 125e6;
/// Calls a second of all daemons together: reading and writing.
const RATES: [u32; 2] = [2_000, 400];
/// Time for which changes are kept.
const HISTORY: Duration = Duration::from_secs(20);
/// Most items and most bytes of a page.
const PAGE: (usize, usize) = (500, 1 << 20);

#[derive(Clone)]
struct Item {
    /// Value in base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Default)]
struct Table {
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    history: VecDeque<(Instant, u64, String, String)>,
    revision: u64,
    /// Revision up to which the history was dropped.
    dropped: u64,
    last_lease: u64,
    /// Keys that were deleted by a call or the end of a lease.
    deleted: Vec<String>,
}

pub struct Store {
    table: Mutex<Table>,
    changed: Condvar,
    link_free_at: Mutex<Instant>,
    calls: Mutex<(Instant, [u32; 2], u64)>,
    pub address: SocketAddr,
}

fn row(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

impl Table {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.push(key, row(key, &item));
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = format!(
                "{{\"key\":\"{key}\",\"revision\":{},\"deleted\":true}}",
                self.revision
            );
            self.push(key, event);
            self.deleted.push(key.to_owned());
        }
    }

    fn push(&mut self, key: &str, event: String) {
        let now = Instant::now();
        self.history
            .push_back((now, self.revision, key.to_owned(), event));
        while self
            .history
            .front()
            .is_some_and(|(at, ..)| now - *at > HISTORY)
        {
            let (_, revision, ..) = self.history.pop_front().expect("it has a front");
            self.dropped = revision;
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let bound = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease && lease != 0);
        for key in bound.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.delete(&key);
        }
    }
}

impl Store {
    pub fn start(ip: &str) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let store = Arc::new(Self {
            table: Mutex::default(),
            changed: Condvar::new(),
            link_free_at: Mutex::new(Instant::now()),
            calls: Mutex::new((Instant::now(), [0, 0], 0)),
            address: listener.local_addr().expect("the store's address"),
        });
        let accepting = Arc::clone(&store);
        thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let store = Arc::clone(&accepting);
                thread::spawn(move || store.serve(Conn::new(io)));
            }
        });
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                let now = Instant::now();
                let mut table = expiring.lock();
                let ended = table
                    .leases
                    .iter()
                    .filter(|(_, lease)| lease.ends_at <= now);
                let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
                for lease in &ended {
                    table.end_lease(*lease);
                }
                if !ended.is_empty() {
                    expiring.changed.notify_all();
                }
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().expect("the table")
    }

    /// Writes a key for the operator or a replica.
    pub fn write(&self, key: &str, value: &str) {
        self.lock().write(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Deletes a key for the platform or a replica that has ended.
    pub fn delete(&self, key: &str) {
        self.lock().delete(key);
        self.changed.notify_all();
    }

    /// Returns the keys with a prefix and their values in base64.
    pub fn list(&self, prefix: &str) -> Vec<(String, String)> {
        let table = self.lock();
        let from = table.items.range(prefix.to_owned()..);
        let listed = from.take_while(|(key, _)| key.starts_with(prefix));
        listed
            .map(|(key, item)| (key.clone(), item.value.clone()))
            .collect()
    }

    pub fn deleted(&self) -> Vec<String> {
        self.lock().deleted.clone()
    }

    /// Adds keys that were written long ago: they have revisions of their own and are in no history.
    pub fn add_old(&self, rows: impl Iterator<Item = (String, String)>) {
        let mut table = self.lock();
        for (number, (key, value)) in rows.enumerate() {
            let revision = 1 + number as u64 % 1_000;
            let item = Item {
                value,
                revision,
                created: revision,
                lease: 0,
            };
            table.items.entry(key).or_insert(item);
        }
    }

    /// Lets revisions begin high enough for [`Store::add_old`].
    pub fn begin_at(&self, revision: u64) {
        let mut table = self.lock();
        table.revision = revision;
        table.dropped = revision;
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(head)) = conn.head() {
            let Ok(body) = conn.body(&head) else {
                return;
            };
            let (status, reply) = match self.is_over_rate(&head) {
                true => (429, "{}".to_owned()),
                false => self.answer(&head, &String::from_utf8_lossy(&body)),
            };
            thread::sleep(ANSWER_TIME);
            self.take_link(reply.len());
            let message = format!(
                "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\nstore-era: 1\r\n\
                 content-length: {}\r\n\r\n{reply}",
                reply.len()
            );
            if conn.send(message.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn take_link(&self, bytes: usize) {
        let free_at = {
            let mut free_at = self.link_free_at.lock().expect("the link");
            let time = Duration::from_secs_f64(bytes as f64 / LINK_RATE);
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        thread::sleep(free_at.saturating_duration_since(Instant::now()));
    }

    fn is_over_rate(&self, head: &Head) -> bool {
        let is_read = head.start.starts_with("GET") || head.second().starts_with("/api/kv-keep/");
        let kind = usize::from(!is_read);
        let mut calls = self.calls.lock().expect("the counters");
        if calls.0.elapsed() >= Duration::from_secs(1) {
            calls.0 = Instant::now();
            calls.1 = [0, 0];
        }
        calls.1[kind] += 1;
        let is_over = calls.1[kind] > RATES[kind];
        calls.2 += u64::from(is_over);
        is_over
    }

    /// Returns the number of calls that were refused as too many.
    pub fn refused(&self) -> u64 {
        self.calls.lock().expect("the counters").2
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let target = head.second();
        let path = target.split('?').next().unwrap_or_default();
        let text = |name: &str| parameter(target, name).unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        let json = Json::parse(body).unwrap_or(Json::Null);
        match path {
            "/api/kv-key" => match self.lock().items.get(&text("key")) {
                Some(item) => (200, row(&text("key"), item)),
                None => (404, "{}".to_owned()),
            },
            "/api/kv-range" => (200, self.page(&text("prefix"), &text("after"))),
            "/api/kv-watch" => self.watch(&text("prefix"), number("after"), number("wait_ms")),
            "/api/kv-txn" => self.transact(&json),
            "/api/kv-lease" => {
                let ttl = json.get("ttl_ms").and_then(Json::number).unwrap_or(1_000.0);
                let ttl = Duration::from_millis(ttl as u64);
                let mut table = self.lock();
                table.last_lease += 1;
                let lease = table.last_lease;
                let ends_at = Instant::now() + ttl;
                table.leases.insert(lease, Lease { ttl, ends_at });
                let ttl = ttl.as_millis();
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            _ => self.lease(path),
        }
    }

    fn lease(&self, path: &str) -> (u16, String) {
        let mut table = self.lock();
        if let Some(lease) = path.strip_prefix("/api/kv-keep/") {
            let lease = lease.parse().unwrap_or(0);
            return match table.leases.get_mut(&lease) {
                Some(lease) => {
                    lease.ends_at = Instant::now() + lease.ttl;
                    (200, format!("{{\"ttl_ms\":{}}}", lease.ttl.as_millis()))
                }
                None => (404, "{}".to_owned()),
            };
        }
        if let Some(lease) = path.strip_prefix("/api/kv-lease-end/") {
            table.end_lease(lease.parse().unwrap_or(0));
            self.changed.notify_all();
            return (200, "{}".to_owned());
        }
        (400, "{}".to_owned())
    }

    fn page(&self, prefix: &str, after: &str) -> String {
        let table = self.lock();
        let from = match after.is_empty() {
            true => Bound::Included(prefix.to_owned()),
            false => Bound::Excluded(after.to_owned()),
        };
        let mut out = "{\"entries\":[".to_owned();
        let mut count = 0;
        let mut has_more = false;
        for (key, item) in table.items.range((from, Bound::Unbounded)) {
            if !key.starts_with(prefix) {
                break;
            }
            if count == PAGE.0 || out.len() >= PAGE.1 {
                has_more = true;
                break;
            }
            if count > 0 {
                out.push(',');
            }
            out.push_str(&row(key, item));
            count += 1;
        }
        out.push_str(&format!(
            "],\"has_more\":{has_more},\"at\":{}}}",
            table.revision
        ));
        out
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut table = self.lock();
        loop {
            if after < table.dropped || after > table.revision {
                return (410, "{}".to_owned());
            }
            let new = table
                .history
                .iter()
                .filter(|(_, revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<&str> = new.map(|(.., event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return (
                    200,
                    format!("{{\"events\":[{events}],\"at\":{}}}", table.revision),
                );
            }
            table = self.changed.wait_timeout(table, left).expect("the table").0;
        }
    }

    fn transact(&self, json: &Json) -> (u16, String) {
        let text = |row: &Json, name: &str| {
            row.get(name)
                .and_then(Json::text)
                .unwrap_or_default()
                .to_owned()
        };
        let number =
            |row: &Json, name: &str| row.get(name).and_then(Json::number).unwrap_or(0.0) as u64;
        let rows = |name: &str| json.get(name).map(Json::list).unwrap_or_default();
        let mut table = self.lock();
        let revision = |table: &Table, key: &str| table.items.get(key).map_or(0, |i| i.revision);
        let is_met = |row: &Json| revision(&table, &text(row, "key")) == number(row, "revision");
        if !rows("expected").iter().all(is_met) {
            let keys = rows("expected").iter().map(|row| text(row, "key"));
            let known = keys.filter_map(|key| Some(row(&key, table.items.get(&key)?)));
            let entries = known.collect::<Vec<_>>().join(",");
            return (412, format!("{{\"entries\":[{entries}]}}"));
        }
        let is_alive = |row: &Json| {
            let lease = number(row, "lease");
            lease == 0 || table.leases.contains_key(&lease)
        };
        if !rows("writes").iter().all(is_alive) {
            return (404, "{}".to_owned());
        }
        for row in rows("writes") {
            table.write(&text(row, "key"), text(row, "value"), number(row, "lease"));
        }
        for key in rows("deletes") {
            table.delete(key.text().unwrap_or_default());
        }
        self.changed.notify_all();
        (200, format!("{{\"revision\":{}}}", table.revision))
    }
}
