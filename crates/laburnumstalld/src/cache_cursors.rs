//! Cache events of the endpoints that this daemon reads, beside their loads.
//!
//! After each load report the worker asks [`CacheCursors::start_read`] whether to read the
//! endpoint's cache events too and from where, and gives the page to
//! [`CacheCursors::finish_read`], which turns it into reports for the core. Gaps stay visible as
//! missing numbers. An endpoint that restarted is read from its first event again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use laburnumstall_core::ids::EndpointId;
use laburnumstall_core::resources::LoadReport;
use laburnumstall_core::routing::CacheReport;
use laburnumstall_outside::endpoint::{CacheChange, CacheEvent, CachePage};

/// Bytes a second that a daemon spends on cache events while its endpoints allow it.
pub const CACHE_BYTES_PER_SECOND: u64 = 1_024;

/// Longest time between two readings of one endpoint's cache events, whatever they cost.
pub const MAX_CACHE_PERIOD: Duration = Duration::from_secs(30);

/// Time after which an endpoint that is no longer read is forgotten.
const CURSOR_LIFE: Duration = Duration::from_secs(600);

/// Bytes of an empty page with its headers.
const PAGE_BYTES: u64 = 256;

/// Bytes of an event besides its blocks.
const EVENT_BYTES: u64 = 50;

/// Most bytes of a block's number.
const BLOCK_BYTES: u64 = 21;

#[derive(Debug, Clone)]
struct Cursor {
    after: u64,
    /// Number of the last load report: a lower one shows a restart.
    report: u64,
    next_at: Instant,
    used_at: Instant,
    is_reading: bool,
}

/// Where each endpoint's cache events are read on.
#[derive(Debug, Clone, Default)]
pub struct CacheCursors {
    by_endpoint: BTreeMap<EndpointId, Cursor>,
}

impl CacheCursors {
    /// Returns the number after which to read the cache events of an endpoint that just
    /// reported its load, or `None` if it is too early.
    pub fn start_read(&mut self, now: Instant, report: &LoadReport) -> Option<u64> {
        self.by_endpoint
            .retain(|_, cursor| now.duration_since(cursor.used_at) < CURSOR_LIFE);
        let cursor = self
            .by_endpoint
            .entry(report.endpoint.clone())
            .or_insert_with(|| Cursor::new(now));
        cursor.used_at = now;
        if report.sequence < cursor.report {
            *cursor = Cursor::new(now);
        }
        cursor.report = report.sequence;
        if cursor.is_reading || cursor.next_at > now {
            return None;
        }
        cursor.is_reading = true;
        Some(cursor.after)
    }

    /// Takes in the page that was read after number `after`, or that none came; returns
    /// what the core is told, in order.
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
        // The endpoint restarted while it was read: the page is of its former life.
        let is_outdated = cursor.after != after;
        let Some(page) = page.filter(|_| !is_outdated) else {
            return Vec::new();
        };
        cursor.next_at = now + pause(&page, endpoints);
        // An engine that counts anew says so by a lower number.
        cursor.after = match page.newest < after {
            true => 0,
            false => page.newest,
        };
        reports(endpoint, page.events)
    }

    /// Forgets an endpoint whose process is gone.
    pub fn remove(&mut self, endpoint: &EndpointId) {
        self.by_endpoint.remove(endpoint);
    }
}

impl Cursor {
    fn new(now: Instant) -> Self {
        Self {
            after: 0,
            report: 0,
            next_at: now,
            used_at: now,
            is_reading: false,
        }
    }
}

/// Returns the time until the endpoint is read again: its part of the byte rate pays for
/// the page.
fn pause(page: &CachePage, endpoints: u64) -> Duration {
    let blocks: usize = page.events.iter().map(|event| event.blocks.len()).sum();
    let events = page.events.len() as u64;
    let bytes = PAGE_BYTES + events * EVENT_BYTES + blocks as u64 * BLOCK_BYTES;
    let millis = bytes * endpoints * 1_000 / CACHE_BYTES_PER_SECOND;
    Duration::from_millis(millis).min(MAX_CACHE_PERIOD)
}

/// Joins events in order; a new report begins where a number is missing, or where blocks
/// are stored after others were evicted.
fn reports(endpoint: &EndpointId, events: Vec<CacheEvent>) -> Vec<CacheReport> {
    let mut reports: Vec<CacheReport> = Vec::new();
    for event in events {
        let last = reports.last_mut().filter(|report| {
            let is_next = event.sequence == report.last + 1;
            is_next && (event.change == CacheChange::Evicted || report.evicted.is_empty())
        });
        if let Some(report) = last {
            report.last = event.sequence;
            add(report, event);
            continue;
        }
        let mut report = CacheReport {
            endpoint: endpoint.clone(),
            first: event.sequence,
            last: event.sequence,
            stored: Vec::new(),
            evicted: Vec::new(),
        };
        add(&mut report, event);
        reports.push(report);
    }
    reports
}

fn add(report: &mut CacheReport, event: CacheEvent) {
    match event.change {
        CacheChange::Stored => report.stored.extend(event.blocks),
        CacheChange::Evicted => report.evicted.extend(event.blocks),
    }
}
