//! Keeps the view of the key-value store fresh without every daemon reading it.
//!
//! In a large fleet, reads by all daemons cost more than they yield: endpoints write
//! heartbeats all the time, and little else changes. So only a few daemons read. Their gossip
//! messages contain the endpoint changes just read, the version of the last relevant change,
//! and the sequence number of the recipient's newest message when the confirming read was
//! sent. A recipient that knows all changes up to that version can bound the age of its view
//! by its own clock alone: the view is at most as old as that message. It reads by itself
//! when it lacks a change (always for a configuration), when nobody has confirmed the view
//! for a while, and from time to time before the store drops its history.

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

/// Number of daemons that read continuously: two may fail at once while two more read.
const READERS: usize = 4;
/// Largest fleet in which all daemons read, since their reads cost little.
const SMALL_FLEET: usize = 6;
/// Age of the view above which a daemon reads by itself: three read periods.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time between two own reads: well within the store's history of ten seconds and
/// more.
const OWN_READ_PERIOD: Duration = Duration::from_secs(6);
/// Number of sent messages whose time is kept; a view confirmed by an older one is too old to
/// be of use.
const SENT_HISTORY: usize = 32;

/// Time for which a change is sent: two gossip periods; a peer that misses it reads by
/// itself.
const BATCH_RETENTION: Duration = Duration::from_millis(600);

domain! {
    /// Change that is relevant to all daemons.
    pub enum ViewChange {
        /// An endpoint's entry was written.
        Endpoint(EndpointRecord),
        /// An endpoint's entry was removed.
        EndpointRemoved(EndpointId),
        /// Any other change, which each daemon reads by itself.
        Other,
    }

    /// Relevant changes from one read.
    pub struct ViewBatch {
        /// Version of the last relevant change before them.
        pub from: StoreVersion,
        /// Version up to which they are complete.
        pub to: StoreVersion,
        /// Changes, oldest first.
        pub changes: Vec<ViewChange>,
    }

    /// State of a daemon's view of the key-value store, sent with gossip.
    #[derive(Default)]
    pub struct ViewUpdate {
        /// Recently read changes, oldest first.
        pub batches: Vec<ViewBatch>,
        /// Version of the last relevant change that the sender has read.
        pub changed: StoreVersion,
        /// Sequence number of the recipient's newest message when the sender's last
        /// successful read was sent; zero if there was none.
        pub echo: u64,
    }
}

/// View of the key-value store's state.
#[derive(Debug, Clone, Default)]
pub(super) struct StoreView {
    /// Version up to which the store has been read.
    read: StoreVersion,
    /// Version of the last relevant change that was read.
    changed: StoreVersion,
    /// Version of the last relevant change that any peer has read.
    announced: StoreVersion,
    read_at: Option<Timestamp>,
    sent: VecDeque<(u64, Timestamp)>,
    batches: VecDeque<(Timestamp, ViewBatch)>,
    was_reader: Option<bool>,
}

impl StoreView {
    /// Records when a gossip message was sent.
    pub(super) fn on_gossip_sent(&mut self, now: Timestamp, sequence: u64) {
        self.sent.push_back((sequence, now));
        if self.sent.len() > SENT_HISTORY {
            self.sent.pop_front();
        }
    }

    /// Returns the changes in a peer's batches that this daemon has not seen, and advances
    /// the view.
    pub(super) fn missing(&mut self, batches: &[ViewBatch]) -> Vec<ViewChange> {
        let mut missing = Vec::new();
        for batch in batches {
            if batch.to <= self.read {
                continue;
            }
            let is_complete = !batch.changes.contains(&ViewChange::Other);
            if self.read_at.is_none() || self.read < batch.from || !is_complete {
                break;
            }
            self.read = batch.to;
            missing.extend(batch.changes.iter().cloned());
        }
        missing
    }

    /// Applies a peer's update; returns the time as of which it confirms the view.
    pub(super) fn on_update(&mut self, update: &ViewUpdate) -> Option<Timestamp> {
        self.announced = self.announced.max(update.changed);
        if self.read_at.is_none() || update.changed > self.read {
            return None;
        }
        let echoed = self
            .sent
            .iter()
            .find(|(sequence, _)| *sequence == update.echo);
        echoed.map(|(_, at)| *at)
    }

    /// Returns the update for a peer whose newest message was `echo` at the last successful
    /// read.
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
        self.batches
            .retain(|(at, _)| now.since(*at) < BATCH_RETENTION);
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
    /// Records that a read of the key-value store is being sent.
    pub fn on_read_sent(&mut self) {
        self.peer_table.on_store_read_sent();
    }

    /// Records that a read sent at `sent` returned everything up to `version`, with these
    /// relevant changes.
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

    /// Returns `None` if no read of the key-value store is due now, or else whether the read
    /// may wait for changes.
    pub fn next_read(&mut self, now: Timestamp) -> Option<bool> {
        let is_reader = self.is_reader(now);
        if self.view.was_reader.replace(is_reader) != Some(is_reader) {
            let choice = if is_reader { "reads" } else { "listens" };
            self.journal.record(
                Decision::new(now, DecisionKind::Connection, choice, "store-readers")
                    .with("daemons", 1 + self.peer_table.len()),
            );
        }
        let is_fresh = self.freshness.is_within(now, CONFIRMATION_TIMEOUT);
        if is_reader {
            return Some(is_fresh);
        }
        let read_age = self.view.read_at.map_or(Duration::MAX, |at| now.since(at));
        let is_due =
            !is_fresh || self.view.announced > self.view.read || read_age > OWN_READ_PERIOD;
        is_due.then_some(false)
    }

    /// Applies a peer's update of the view.
    pub(super) fn on_view_update(&mut self, now: Timestamp, update: &ViewUpdate) {
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
        let ranked_before = self
            .peer_table
            .ready(now)
            .filter(|peer| rank(&peer.member.id) < own);
        ranked_before.count() < READERS
    }
}
