//! Keeps the view of the key-value store fresh without every daemon reading it.
//!
//! In a large fleet, reads by all daemons cost more than they yield: endpoints write
//! heartbeats continuously, and little else changes. So only a few daemons read. Their gossip
//! messages contain the changes of endpoints and daemons just read, the version of the last relevant change,
//! and the sequence number of the recipient's newest message when the confirming read was
//! sent. A recipient that knows all changes up to that version can bound the age of its view
//! by its own clock alone: the view is at most as old as that message. It reads the store
//! itself when it lacks a change (always so for a configuration, and for the registrations of many
//! daemons at once), when no daemon has confirmed
//! the view for a while, and periodically before the store drops its history.
//!
//! The store may come back from an older copy, in a new era with a history of its own. Versions
//! are compared within one era only, and a new era begins with a snapshot of the store.

use std::collections::VecDeque;
use std::time::Duration;

use super::Gateway;
use super::endpoint_table::EndpointRecord;
use super::gossip::MemberRecord;
use crate::decision::{Decision, DecisionKind};
use crate::hash::digest64;
use crate::ids::{DaemonId, EndpointId, VmId};
use crate::store::{StoreEra, StorePosition, StoreVersion};
use crate::units::Timestamp;
use crate::{domain, domain_value};

/// Number of daemons that read continuously: two may fail at once and two still read.
const READERS: usize = 4;
/// Largest fleet in which all daemons read, since their reads cost little.
const SMALL_FLEET: usize = 6;
/// Age of the view above which a daemon reads the store itself: three read periods.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time between two of a daemon's own reads: well within the store's history of at
/// least ten seconds.
const OWN_READ_PERIOD: Duration = Duration::from_secs(6);
/// Number of sent messages whose time is kept; a view confirmed by an older one is too old to
/// be of use.
const SENT_HISTORY: usize = 32;

/// Registrations in one batch above which each daemon reads them from the store itself: most
/// daemons start at the same time then, and read anyway.
const MAX_MEMBER_CHANGES: usize = 16;
/// Time for which a change is sent: two gossip periods; a peer that misses it reads the store
/// itself.
const BATCH_RETENTION: Duration = Duration::from_millis(600);
/// Time for which replies of an earlier era count as late ones: longer than any reply takes.
/// After it, the number has fallen.
const MAX_LATE_TIME: Duration = Duration::from_secs(3);

domain_value! {
    /// What the era of a reply means for the view.
    pub enum EraChange {
        /// The reply is of the known era.
        Same,
        /// The store came back from a copy, so that the view has to be read anew.
        Restored,
        /// The reply is of an earlier era and must not be believed.
        Late,
    }
}

domain! {
    /// Change that is relevant to all daemons.
    pub enum ViewChange {
        /// An endpoint's entry was written.
        Endpoint(EndpointRecord),
        /// An endpoint's entry was removed.
        EndpointRemoved(EndpointId),
        /// Any other change, which each daemon reads from the store itself.
        Other,
        /// A daemon's registration was written. Daemons before protocol
        /// [`STORED_VERSIONS`](super::PeerProtocol::STORED_VERSIONS) do not decode it.
        Member(MemberRecord),
        /// The registration of the daemon on a VM was removed; the same holds.
        MemberRemoved(VmId),
    }

    /// Relevant changes from one read.
    pub struct ViewBatch {
        /// Version of the last relevant change before the batch.
        pub from: StoreVersion,
        /// Version up to which the batch is complete.
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
        /// Era of the store that the versions are of. The layout of this type precedes the
        /// field, so it is not encoded.
        #[serde(skip)]
        pub era: StoreEra,
    }
}

/// View of the key-value store's state.
#[derive(Debug, Clone, Default)]
pub(super) struct StoreView {
    /// Version up to which the store has been read.
    read_version: StoreVersion,
    /// Version of the last relevant change that was read.
    changed_version: StoreVersion,
    /// Last relevant change that any peer has read.
    announced: StorePosition,
    /// Era of the store; `None` before a reply that tells it.
    era: Option<StoreEra>,
    /// Until when the store may have come back from a copy.
    restored_at: Option<Timestamp>,
    /// Start of the time in which all replies were of an earlier era.
    late_since: Option<Timestamp>,
    read_at: Option<Timestamp>,
    sent_messages: VecDeque<(u64, Timestamp)>,
    batches: VecDeque<(Timestamp, ViewBatch)>,
    was_reader: Option<bool>,
}

impl ViewChange {
    fn is_member(&self) -> bool {
        matches!(self, Self::Member(_) | Self::MemberRemoved(_))
    }
}

impl ViewUpdate {
    /// Replaces the changes that daemons of earlier builds do not decode.
    pub(super) fn without_members(mut self) -> Self {
        let changes = self.batches.iter_mut().flat_map(|batch| &mut batch.changes);
        for change in changes.filter(|change| change.is_member()) {
            *change = ViewChange::Other;
        }
        self
    }
}

impl StoreView {
    /// Records when a gossip message was sent.
    pub(super) fn on_gossip_sent(&mut self, now: Timestamp, sequence: u64) {
        self.sent_messages.push_back((sequence, now));
        if self.sent_messages.len() > SENT_HISTORY {
            self.sent_messages.pop_front();
        }
    }

    /// Records the era of a reply.
    fn on_era(&mut self, now: Timestamp, era: StoreEra) -> EraChange {
        if self.era.is_none() && era > StoreEra(1) {
            // The store may have come back at any time before this daemon started.
            self.restored_at = Some(now);
        }
        let known = *self.era.get_or_insert(era);
        if era < known {
            let late_since = *self.late_since.get_or_insert(now);
            if now.since(late_since) < MAX_LATE_TIME {
                return EraChange::Late;
            }
        }
        self.late_since = None;
        if era == known {
            return EraChange::Same;
        }
        *self = Self {
            era: Some(era),
            restored_at: Some(now),
            announced: StorePosition {
                era,
                ..StorePosition::default()
            },
            sent_messages: std::mem::take(&mut self.sent_messages),
            was_reader: self.was_reader,
            ..Self::default()
        };
        EraChange::Restored
    }

    /// Returns whether the store was read since it came back from a copy.
    pub(super) fn has_read(&self) -> bool {
        self.read_at.is_some()
    }

    fn read_position(&self) -> StorePosition {
        StorePosition {
            era: self.era.unwrap_or_default(),
            version: self.read_version,
        }
    }

    /// Returns the changes in a peer's batches that this daemon has not seen, and advances
    /// the view.
    fn missing(&mut self, era: StoreEra, batches: &[ViewBatch]) -> Vec<ViewChange> {
        let mut missing = Vec::new();
        if era != self.read_position().era {
            return missing;
        }
        for batch in batches {
            if batch.to <= self.read_version {
                continue;
            }
            let is_complete = !batch.changes.contains(&ViewChange::Other);
            if self.read_at.is_none() || self.read_version < batch.from || !is_complete {
                break;
            }
            self.read_version = batch.to;
            missing.extend(batch.changes.iter().cloned());
        }
        missing
    }

    /// Applies a peer's update; returns the time as of which it confirms the view.
    pub(super) fn on_update(&mut self, update: &ViewUpdate) -> Option<Timestamp> {
        let changed = StorePosition {
            era: update.era,
            version: update.changed,
        };
        self.announced = self.announced.max(changed);
        let read = self.read_position();
        if self.read_at.is_none() || changed.era != read.era || changed > read {
            return None;
        }
        let echoed = self
            .sent_messages
            .iter()
            .find(|(sequence, _)| *sequence == update.echo);
        echoed.map(|(_, at)| *at)
    }

    /// Returns the update for a peer whose newest message had the sequence number `echo` when
    /// the last successful read was sent.
    pub(super) fn update_for(&self, echo: u64) -> ViewUpdate {
        ViewUpdate {
            batches: self
                .batches
                .iter()
                .map(|(_, batch)| batch.clone())
                .collect(),
            changed: self.changed_version,
            echo,
            era: self.read_position().era,
        }
    }

    fn on_read(&mut self, now: Timestamp, version: StoreVersion, mut changes: Vec<ViewChange>) {
        if changes.iter().filter(|change| change.is_member()).count() > MAX_MEMBER_CHANGES {
            changes.retain(|change| !change.is_member());
            changes.push(ViewChange::Other);
        }
        self.read_version = self.read_version.max(version);
        self.read_at = Some(now);
        self.batches
            .retain(|(at, _)| now.since(*at) < BATCH_RETENTION);
        if changes.is_empty() {
            return;
        }
        let from = std::mem::replace(&mut self.changed_version, self.read_version);
        let to = self.read_version;
        self.batches
            .push_back((now, ViewBatch { from, to, changes }));
    }
}

impl Gateway {
    /// Records that a read of the key-value store is being sent.
    pub fn on_read_sent(&mut self) {
        self.peer_table.on_store_read_sent();
    }

    /// Records the era that a reply to a read tells; `None` if it does not tell, which counts as
    /// the known one.
    pub fn on_store_era(&mut self, now: Timestamp, era: Option<StoreEra>) -> EraChange {
        let Some(era) = era else {
            return EraChange::Same;
        };
        let known = self.view.read_position();
        let was_late = self.view.late_since.is_some();
        let change = self.view.on_era(now, era);
        let choice = match change {
            EraChange::Same => return change,
            EraChange::Late if was_late => return change,
            EraChange::Late => "earlier-era",
            EraChange::Restored => "restored",
        };
        self.journal.record(
            Decision::new(now, DecisionKind::Connection, "store", choice)
                .with("era", era)
                .with("known_era", known.era)
                .with("known_version", known.version)
                .with("in_force", self.version())
                .with("endpoints", self.endpoints.iter().count()),
        );
        if change == EraChange::Restored {
            self.freshness.on_restored(now);
            self.endpoints.on_store_restored(now);
            self.rules_floor.on_store_restored();
            self.peer_table.on_store_restored();
            self.store_origins_again(now);
        }
        change
    }

    /// Returns the time until which the store may have come back from a copy: when this daemon
    /// noticed it, or first read a store that had; `None` if it never did.
    pub fn store_restored_at(&self) -> Option<Timestamp> {
        self.view.restored_at
    }

    /// Returns the era of the store; `None` before a reply that tells it.
    pub fn store_era(&self) -> Option<StoreEra> {
        self.view.era
    }

    /// Records that a read sent at `sent` returned all changes up to `version`, with `changes`
    /// as the relevant ones.
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

    /// Returns whether the read of the key-value store that is due now may wait for changes;
    /// `None` if no read is due.
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
        let is_due = !is_fresh
            || self.view.announced > self.view.read_position()
            || read_age > OWN_READ_PERIOD;
        is_due.then_some(false)
    }

    /// Applies a peer's update of the view.
    pub(super) fn on_view_update(&mut self, now: Timestamp, update: &ViewUpdate) {
        let batches = self.with_versions(&update.batches);
        for change in self.view.missing(update.era, &batches) {
            match change {
                ViewChange::Endpoint(record) => self.on_endpoint(now, record),
                ViewChange::EndpointRemoved(id) => self.on_endpoint_removed(now, &id),
                ViewChange::Member(record) => self.on_member_record(now, record),
                ViewChange::MemberRemoved(vm) => self.on_vm_unregistered(&vm),
                ViewChange::Other => {}
            }
        }
        if let Some(as_of) = self.view.on_update(update) {
            self.freshness.on_peer_confirmed(now, as_of);
        }
    }

    /// Returns whether this daemon reads the key-value store for the fleet.
    pub fn is_reader(&self, now: Timestamp) -> bool {
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
