//! Requests that each customer started in each window of the wall clock.
//!
//! Each daemon counts its own requests and sends the counts to its peers; the daemon that
//! reports adds them up. The counts of a process only grow, so late or repeated gossip
//! messages change nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::domain;
use crate::ids::{CustomerId, DaemonId};
use crate::units::Timestamp;

/// Number of past windows whose counts are kept: enough for the oldest report that is due.
const KEPT_WINDOWS: u64 = 6;
/// Number of newest windows, including the current one, whose counts are in every gossip
/// message. Older counts no longer change and are in only some of the messages.
const RECENT_WINDOWS: u64 = 2;

domain! {
    /// Requests that one customer started in one window.
    #[derive(Eq)]
    pub struct UsageCount {
        /// Index of the window since the Unix epoch.
        pub window: u64,
        /// Name of the customer.
        pub customer: CustomerId,
        /// Number of requests.
        #[serde(rename = "begun")]
        pub requests: u64,
    }

    /// Usage report of one window.
    #[derive(Eq)]
    pub struct UsageReport {
        /// Index of the window since the Unix epoch.
        pub window: u64,
        /// Requests by customer.
        pub counts: BTreeMap<CustomerId, u64>,
    }
}

/// Request counts of this daemon and of its peers.
#[derive(Debug, Clone)]
pub struct UsageCounter {
    window_length: Duration,
    own: BTreeMap<(u64, CustomerId), u64>,
    peers: BTreeMap<DaemonId, BTreeMap<(u64, CustomerId), u64>>,
}

impl UsageCounter {
    /// Creates an empty counter with windows of `length`.
    pub fn new(length: Duration) -> Self {
        Self {
            window_length: length.max(Duration::from_secs(1)),
            own: BTreeMap::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Returns the index of the window that contains `now`.
    pub fn window_at(&self, now: Timestamp) -> u64 {
        now.0 / self.window_length.as_micros() as u64
    }

    /// Returns the end of a window.
    pub fn window_end(&self, window: u64) -> Timestamp {
        Timestamp((window + 1) * self.window_length.as_micros() as u64)
    }

    /// Counts a request that starts now.
    pub fn on_started(&mut self, now: Timestamp, customer: &CustomerId) {
        let key = (self.window_at(now), customer.clone());
        *self.own.entry(key).or_default() += 1;
    }

    /// Returns this daemon's counts: of all windows that may still be reported, or only of
    /// those that may still change.
    pub fn own_counts(&self, now: Timestamp, all_windows: bool) -> Vec<UsageCount> {
        let oldest = match all_windows {
            true => 0,
            false => (self.window_at(now) + 1).saturating_sub(RECENT_WINDOWS),
        };
        let count = |((window, customer), requests): (&(u64, CustomerId), &u64)| UsageCount {
            window: *window,
            customer: customer.clone(),
            requests: *requests,
        };
        let selected = self.own.iter().filter(|((window, _), _)| *window >= oldest);
        selected.map(count).collect()
    }

    /// Merges the counts of a peer's process.
    pub fn on_peer_counts(&mut self, from: &DaemonId, counts: &[UsageCount]) {
        let known = self.peers.entry(from.clone()).or_default();
        for count in counts {
            let key = (count.window, count.customer.clone());
            let known_requests = known.entry(key).or_default();
            *known_requests = count.requests.max(*known_requests);
        }
    }

    /// Adds up all counts of a window.
    pub fn report(&self, window: u64) -> UsageReport {
        let mut counts = BTreeMap::new();
        let sources = std::iter::once(&self.own).chain(self.peers.values());
        for ((counted_window, customer), requests) in sources.flatten() {
            if *counted_window == window {
                *counts.entry(customer.clone()).or_default() += requests;
            }
        }
        UsageReport { window, counts }
    }

    /// Removes windows that are no longer reported.
    pub fn remove_expired(&mut self, now: Timestamp) {
        let oldest = self.window_at(now).saturating_sub(KEPT_WINDOWS);
        self.own.retain(|(window, _), _| *window >= oldest);
        for counts in self.peers.values_mut() {
            counts.retain(|(window, _), _| *window >= oldest);
        }
        self.peers.retain(|_, counts| !counts.is_empty());
    }
}
