//! How many requests of each customer began in each window of the wall clock.
//!
//! Each daemon counts its own and tells the others; whoever reports adds them up. Counts
//! of a daemon's process only grow, so news that come late or twice change nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::domain;
use crate::ids::{CustomerId, DaemonId};
use crate::units::Timestamp;

/// Windows for which counts are kept: enough for the report of the oldest one due.
const KEPT_WINDOWS: u64 = 6;
/// Windows, with the current one, whose counts all news tell: those of older ones change no
/// more, and are told again from time to time.
const FRESH_WINDOWS: u64 = 2;

domain! {
    /// Requests of one customer that began in one window.
    #[derive(Eq)]
    pub struct UsageCount {
        /// Number of the window since the Unix epoch.
        pub window: u64,
        /// The customer.
        pub customer: CustomerId,
        /// Requests.
        #[serde(rename = "begun")]
        pub requests: u64,
    }

    /// What is reported of one window.
    #[derive(Eq)]
    pub struct UsageReport {
        /// Number of the window since the Unix epoch.
        pub window: u64,
        /// Requests by customer.
        pub counts: BTreeMap<CustomerId, u64>,
    }
}

/// Counts of one daemon's own requests and of what the others told.
#[derive(Debug, Clone)]
pub struct UsageCounter {
    length: Duration,
    own: BTreeMap<(u64, CustomerId), u64>,
    peers: BTreeMap<DaemonId, BTreeMap<(u64, CustomerId), u64>>,
}

impl UsageCounter {
    /// Creates an empty book with windows of `length`.
    pub fn new(length: Duration) -> Self {
        Self {
            length: length.max(Duration::from_secs(1)),
            own: BTreeMap::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Returns the window that `now` lies in.
    pub fn window_at(&self, now: Timestamp) -> u64 {
        now.0 / self.length.as_micros() as u64
    }

    /// Returns the end of a window.
    pub fn window_end(&self, window: u64) -> Timestamp {
        Timestamp((window + 1) * self.length.as_micros() as u64)
    }

    /// Counts a request that begins now.
    pub fn on_started(&mut self, now: Timestamp, customer: &CustomerId) {
        let key = (self.window_at(now), customer.clone());
        *self.own.entry(key).or_default() += 1;
    }

    /// Returns the own counts of the windows that may still be reported, or of those that may
    /// still change alone.
    pub fn own_counts(&self, now: Timestamp, is_all: bool) -> Vec<UsageCount> {
        let oldest = match is_all {
            true => 0,
            false => (self.window_at(now) + 1).saturating_sub(FRESH_WINDOWS),
        };
        let count = |((window, customer), requests): (&(u64, CustomerId), &u64)| UsageCount {
            window: *window,
            customer: customer.clone(),
            requests: *requests,
        };
        let told = self.own.iter().filter(|((window, _), _)| *window >= oldest);
        told.map(count).collect()
    }

    /// Takes in the counts of another daemon's process.
    pub fn on_counts(&mut self, from: &DaemonId, counts: &[UsageCount]) {
        let known = self.peers.entry(from.clone()).or_default();
        for count in counts {
            let key = (count.window, count.customer.clone());
            let requests = known.entry(key).or_default();
            *requests = count.requests.max(*requests);
        }
    }

    /// Adds up all counts of a window.
    pub fn report(&self, window: u64) -> UsageReport {
        let mut counts = BTreeMap::new();
        let books = std::iter::once(&self.own).chain(self.peers.values());
        for ((counted, customer), requests) in books.flatten() {
            if *counted == window {
                *counts.entry(customer.clone()).or_default() += requests;
            }
        }
        UsageReport { window, counts }
    }

    /// Forgets windows that are no longer reported.
    pub fn forget_old(&mut self, now: Timestamp) {
        let oldest = self.window_at(now).saturating_sub(KEPT_WINDOWS);
        self.own.retain(|(window, _), _| *window >= oldest);
        for counts in self.peers.values_mut() {
            counts.retain(|(window, _), _| *window >= oldest);
        }
        self.peers.retain(|_, counts| !counts.is_empty());
    }
}
