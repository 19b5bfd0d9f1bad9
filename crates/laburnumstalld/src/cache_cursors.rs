//! Read positions in the endpoints' prefix-cache events.
//!
//! After each load report the worker asks [`CacheCursors::start_read`] whether to read the
//! endpoint's cache events and from where, and passes the page to
//! [`CacheCursors::finish_read`], which converts it to reports for the core. Gaps stay
//! visible as missing sequence numbers. After a restart, an endpoint is read from its first
//! event again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use laburnumstall_core::ids::EndpointId;
use laburnumstall_core::resources::LoadReport;
use laburnumstall_core::routing::CacheReport;
use laburnumstall_outside::endpoint::{CacheChange, CacheEvent, CachePage};

/// Bytes a second that a daemon reads as cache events from all endpoints, except where
/// [`MAX_CACHE_PERIOD`] requires more.
pub const CACHE_BYTES_PER_SECOND: u64 = 1_024;

/// Longest time between two reads of one endpoint's cache events, regardless of their size.
pub const MAX_CACHE_PERIOD: Duration = Duration::from_secs(30);

/// Time after which the cursor of an endpoint without load reports is removed.
const CURSOR_TTL: Duration = Duration::from_secs(600);

/// Estimated bytes of an empty page with headers.
const PAGE_BYTES: u64 = 256;

/// Estimated bytes of an event without its blocks.
const EVENT_BYTES: u64 = 50;

/// Most bytes of an encoded block hash.
const BLOCK_BYTES: u64 = 21;

#[derive(Debug, Clone)]
struct Cursor {
    after: u64,
    /// Sequence number of the last load report; a lower one indicates a restart.
    report_sequence: u64,
    next_read_at: Instant,
    last_used_at: Instant,
    is_reading: bool,
}

/// Read position in each endpoint's cache events.
#[derive(Debug, Clone, Default)]
pub struct CacheCursors {
    by_endpoint: BTreeMap<EndpointId, Cursor>,
}

impl CacheCursors {
    /// Starts a read after a load report: returns the sequence number after which to read the
    /// endpoint's cache events, or `None` if no read is due.
    pub fn start_read(&mut self, now: Instant, report: &LoadReport) -> Option<u64> {
        self.by_endpoint
            .retain(|_, cursor| now.duration_since(cursor.last_used_at) < CURSOR_TTL);
        let cursor = self
            .by_endpoint
            .entry(report.endpoint.clone())
            .or_insert_with(|| Cursor::new(now));
        cursor.last_used_at = now;
        if report.sequence < cursor.report_sequence {
            *cursor = Cursor::new(now);
        }
        cursor.report_sequence = report.sequence;
        if cursor.is_reading || cursor.next_read_at > now {
            return None;
        }
        cursor.is_reading = true;
        Some(cursor.after)
    }

    /// Records the page read after sequence number `after`, or `None` for a failed read;
    /// returns the reports for the core, in order.
    pub fn finish_read(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        after: u64,
        page: Option<CachePage>,
    ) -> Vec<CacheReport> {
        let endpoints = self.by_endpoint.len() as u64;
        let Some(cursor) = self.by_endpoint.get_mut(endpoint) else {
            return Vec::new();
        };
        cursor.is_reading = false;
        // The endpoint restarted during the read, so the page is from its previous run.
        let is_outdated = cursor.after != after;
        let Some(page) = page.filter(|_| !is_outdated) else {
            return Vec::new();
        };
        cursor.next_read_at = now + read_interval(&page, endpoints);
        // A lower number means that the engine restarted its numbering.
        cursor.after = match page.newest < after {
            true => 0,
            false => page.newest,
        };
        merge_events(endpoint, page.events)
    }

    /// Removes the cursor of an endpoint whose process ended.
    pub fn remove(&mut self, endpoint: &EndpointId) {
        self.by_endpoint.remove(endpoint);
    }
}

impl Cursor {
    fn new(now: Instant) -> Self {
        Self {
            after: 0,
            report_sequence: 0,
            next_read_at: now,
            last_used_at: now,
            is_reading: false,
        }
    }
}

/// Returns the time until the next read of the endpoint, so that its share of the byte rate
/// covers the page.
fn read_interval(page: &CachePage, endpoints: u64) -> Duration {
    let blocks: usize = page.events.iter().map(|event| event.blocks.len()).sum();
    let events = page.events.len() as u64;
    let bytes = PAGE_BYTES + events * EVENT_BYTES + blocks as u64 * BLOCK_BYTES;
    let millis = bytes * endpoints * 1_000 / CACHE_BYTES_PER_SECOND;
    Duration::from_millis(millis).min(MAX_CACHE_PERIOD)
}

/// Merges consecutive events into reports. A new report starts at a missing sequence number,
/// or where blocks are stored after an eviction.
fn merge_events(endpoint: &EndpointId, events: Vec<CacheEvent>) -> Vec<CacheReport> {
    let mut reports: Vec<CacheReport> = Vec::new();
    for event in events {
        let last = reports.last_mut().filter(|report| {
            let is_next = event.sequence == report.last + 1;
            is_next && (event.change == CacheChange::Evicted || report.evicted.is_empty())
        });
        if let Some(report) = last {
            report.last = event.sequence;
            append(report, event);
            continue;
        }
        let mut report = CacheReport {
            endpoint: endpoint.clone(),
            first: event.sequence,
            last: event.sequence,
            stored: Vec::new(),
            evicted: Vec::new(),
        };
        append(&mut report, event);
        reports.push(report);
    }
    reports
}

fn append(report: &mut CacheReport, event: CacheEvent) {
    match event.change {
        CacheChange::Stored => report.stored.extend(event.blocks),
        CacheChange::Evicted => report.evicted.extend(event.blocks),
    }
}
