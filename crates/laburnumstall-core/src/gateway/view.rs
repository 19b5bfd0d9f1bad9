//! How the view of the key-value service is kept fresh without every daemon reading it.
//!
//! Answers fleets in which the reads of all daemons cost more than what they find: endpoints
//! write heartbeats all the time, and next to nothing changes. A few daemons read. Their
//! news tell the changes of endpoints that they have just read, the version of the last
//! change that matters, and which news of the other daemon they had when they sent the
//! read that confirmed it. A daemon that knows everything up to that version knows from its
//! own clock alone how old its view is at most: as old as those news. It reads by itself
//! when it lacks a change, such as each one of the configuration, when nobody has confirmed
//! the view for a while, and now and then before the history is dropped.

use std::collections::VecDeque;
use std::time::Duration;

use super::Gateway;
use super::endpoint_table::EndpointRecord;
use crate::decision::{Decision, DecisionKind};
use crate::domain;
use crate::hash::digest64;
use crate::ids::{DaemonId, EndpointId};
use crate::store::StoreVersion;
use crate::units::Timestamp;

/// Daemons that read all the time: two may fail at once while two more read.
const READERS: usize = 4;
/// Fleet up to which all daemons read: their reads cost little.
const SMALL_FLEET: usize = 6;
/// Age of the view above which a daemon reads by itself: three periods of a reader.
const UNCONFIRMED: Duration = Duration::from_millis(1_500);
/// Longest time between two own reads: well within the history that the service keeps,
/// ten seconds and more.
const OWN_READ_PERIOD: Duration = Duration::from_secs(6);
/// News whose time is remembered; a view confirmed by older ones is of no use.
const REMEMBERED_NEWS: usize = 32;

/// Time for which changes are told: two periods of news; whoever missed them reads.
const TOLD_TIME: Duration = Duration::from_millis(600);

domain! {
    /// A change that daemons have to know.
    pub enum ViewChange {
        /// An endpoint's entry.
        Endpoint(EndpointRecord),
        /// An endpoint's entry is gone.
        EndpointRemoved(EndpointId),
        /// Something that each daemon reads by itself.
        Other,
    }

    /// Changes that came with one read.
    pub struct ViewBatch {
        /// Version of the last change before them.
        pub from: StoreVersion,
        /// Version up to which they go.
        pub to: StoreVersion,
        /// The changes, oldest first.
        pub changes: Vec<ViewChange>,
    }

    /// What a daemon tells another about the key-value service.
    #[derive(Default)]
    pub struct ViewUpdate {
        /// Changes read lately, oldest first.
        pub batches: Vec<ViewBatch>,
        /// Version of the last change that daemons have to know, as far as it has read.
        pub changed: StoreVersion,
        /// Number of the other's latest news that had come when its last good read was sent;
        /// zero if none had.
        pub echo: u64,
    }
}

/// What one daemon knows of the service's state.
#[derive(Debug, Clone, Default)]
pub(super) struct StoreView {
    read: StoreVersion,
    changed: StoreVersion,
    told: StoreVersion,
    read_at: Option<Timestamp>,
    sent: VecDeque<(u64, Timestamp)>,
    batches: VecDeque<(Timestamp, ViewBatch)>,
    was_reader: Option<bool>,
}

impl StoreView {
    /// Remembers when own news were sent.
    pub(super) fn on_news_sent(&mut self, now: Timestamp, sequence: u64) {
        self.sent.push_back((sequence, now));
        if self.sent.len() > REMEMBERED_NEWS {
            self.sent.pop_front();
        }
    }

    /// Takes the changes that are missing here out of what another daemon tells.
    pub(super) fn missing(&mut self, batches: &[ViewBatch]) -> Vec<ViewChange> {
        let mut missing = Vec::new();
        for batch in batches {
            if batch.to <= self.read {
                continue;
            }
            let is_whole = !batch.changes.contains(&ViewChange::Other);
            if self.read_at.is_none() || self.read < batch.from || !is_whole {
                break;
            }
            self.read = batch.to;
            missing.extend(batch.changes.iter().cloned());
        }
        missing
    }

    /// Takes in what another daemon tells; returns the time as of which it confirms the view.
    pub(super) fn on_update(&mut self, update: &ViewUpdate) -> Option<Timestamp> {
        self.told = self.told.max(update.changed);
        if self.read_at.is_none() || update.changed > self.read {
            return None;
        }
        let echoed = self
            .sent
            .iter()
            .find(|(sequence, _)| *sequence == update.echo);
        echoed.map(|(_, at)| *at)
    }

    /// Returns what a daemon is told whose news `echo` was the latest at the last good read.
    pub(super) fn update_for(&self, echo: u64) -> ViewUpdate {
        ViewUpdate {
            batches: self
                .batches
                .iter()
                .map(|(_, batch)| batch.clone())
                .collect(),
            changed: self.changed,
            echo,
        }
    }

    fn on_read(&mut self, now: Timestamp, version: StoreVersion, changes: Vec<ViewChange>) {
        self.read = self.read.max(version);
        self.read_at = Some(now);
        self.batches.retain(|(at, _)| now.since(*at) < TOLD_TIME);
        if changes.is_empty() {
            return;
        }
        let from = std::mem::replace(&mut self.changed, self.read);
        let to = self.read;
        self.batches
            .push_back((now, ViewBatch { from, to, changes }));
    }
}

impl Gateway {
    /// Takes in that a read of the key-value service is being sent.
    pub fn on_read_sent(&mut self) {
        self.peer_table.on_store_read_sent();
    }

    /// Takes in that a read sent at `sent` has given everything up to `version`, with these
    /// changes that daemons have to know.
    pub fn on_read(
        &mut self,
        now: Timestamp,
        sent: Timestamp,
        version: StoreVersion,
        changes: Vec<ViewChange>,
    ) {
        self.view.on_read(now, version, changes);
        self.peer_table.on_store_read();
        self.on_store_confirmed(now, sent);
    }

    /// Tells whether this daemon is to read the key-value service now, and whether it may
    /// wait there for changes.
    pub fn next_read(&mut self, now: Timestamp) -> Option<bool> {
        let is_reader = self.is_reader(now);
        if self.view.was_reader.replace(is_reader) != Some(is_reader) {
            let choice = if is_reader { "reads" } else { "listens" };
            self.journal.record(
                Decision::new(now, DecisionKind::Connection, choice, "store-readers")
                    .with("daemons", 1 + self.peer_table.len()),
            );
        }
        let is_fresh = self.freshness.is_within(now, UNCONFIRMED);
        if is_reader {
            return Some(is_fresh);
        }
        let read_age = self.view.read_at.map_or(Duration::MAX, |at| now.since(at));
        let is_due = !is_fresh || self.view.told > self.view.read || read_age > OWN_READ_PERIOD;
        is_due.then_some(false)
    }

    /// Takes in what another daemon tells about the key-value service.
    pub(super) fn on_view(&mut self, now: Timestamp, update: &ViewUpdate) {
        for change in self.view.missing(&update.batches) {
            match change {
                ViewChange::Endpoint(record) => self.on_endpoint(now, record),
                ViewChange::EndpointRemoved(id) => self.on_endpoint_removed(now, &id),
                ViewChange::Other => {}
            }
        }
        if let Some(as_of) = self.view.on_update(update) {
            self.freshness.on_peer_confirmed(as_of);
        }
    }

    fn is_reader(&self, now: Timestamp) -> bool {
        if self.peer_table.len() < SMALL_FLEET {
            return true;
        }
        let rank = |id: &DaemonId| digest64(&[id.to_string().as_bytes()]);
        let own = rank(&self.own);
        let before = self
            .peer_table
            .ready(now)
            .filter(|peer| rank(&peer.member.id) < own);
        before.count() < READERS
    }
}
