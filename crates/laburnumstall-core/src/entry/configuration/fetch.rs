//! Fetches the configuration to which the head in the key-value service refers.
//!
//! A record that holds a change needs its predecessor, so records are read backwards until one
//! is full or starts from the active configuration.

use std::time::Duration;

use super::{Head, RETRY_DELAY, configuration_head_key};
use crate::adoption::{
    ConfigurationChange, ConfigurationId, OfferOutcome, StoredConfigurationRecord,
};
use crate::decision::DecisionKind;
use crate::entry::Entry;
use crate::entry::state::CallPurpose;
use crate::hash::{digest64, rendezvous_weight};
use crate::ids::DaemonId;
use crate::message::ConfigurationRecord;
use crate::store::{StoreCall, StoreOutcome, StoreReply, StoredValue};
use crate::units::Timestamp;

/// Daemons per region that watch the head; the others learn of it from heartbeats.
const HEAD_WATCHERS: usize = 4;

/// Rendezvous hashing key that selects the watchers.
const WATCHER_KEY: u64 = 0x6865_6164;

/// Number of live daemons for each [`POLL_PERIOD`] in the polling interval.
const POLL_GROUP: u32 = 16;

/// Polling interval of the head, as a fallback for the watch, with up to [`POLL_GROUP`] daemons.
const POLL_PERIOD: Duration = Duration::from_secs(5);

/// Longest time that one watch call waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Changes read backwards before a fetch is abandoned.
const MAX_CHAIN: usize = 64;

/// A fetch in progress.
#[derive(Debug, Clone)]
pub(super) struct Fetch {
    /// Record that the head names.
    target: ConfigurationId,
    /// Record being read.
    wanted: ConfigurationId,
    /// Changes read so far, newest first.
    changes: Vec<ConfigurationChange>,
}

impl Entry {
    pub(super) fn read_head(&mut self, now: Timestamp) {
        if self.configuration_sync.is_reading || self.configuration_sync.next_read_at > now {
            return;
        }
        self.configuration_sync.is_reading = true;
        let key = configuration_head_key();
        self.call_store(
            now,
            CallPurpose::ConfigurationHeadRead,
            StoreCall::Get { key },
        );
    }

    pub(super) fn watch_head(&mut self, now: Timestamp) {
        if self.configuration_sync.is_watching || self.configuration_sync.next_watch_at > now {
            return;
        }
        if !self.is_head_watcher() {
            self.configuration_sync.next_watch_at = now.after(POLL_PERIOD);
            return;
        }
        self.configuration_sync.is_watching = true;
        let call = StoreCall::Watch {
            prefix: configuration_head_key(),
            after: self.configuration_sync.watch_after,
            wait: WATCH_WAIT,
        };
        self.call_store(now, CallPurpose::ConfigurationHeadWatch, call);
    }

    /// Returns whether rendezvous hashing over the region's live daemons selects this one.
    fn is_head_watcher(&self) -> bool {
        let weight = |id: &DaemonId| {
            let seed = digest64(&[id.vm.as_str().as_bytes()]);
            rendezvous_weight(WATCHER_KEY, seed)
        };
        let own = weight(&self.own);
        let region = self.system.region_of(&self.membership.own().zone);
        let preceding = self.membership.live().filter(|member| {
            weight(&member.id) > own && self.system.region_of(&member.zone) == region
        });
        preceding.count() < HEAD_WATCHERS
    }

    /// Returns the polling interval, which grows with the number of live daemons to bound their
    /// total rate.
    fn poll_period(&self) -> Duration {
        let live = self.membership.live().count() as u32;
        POLL_PERIOD * live.div_ceil(POLL_GROUP).max(1)
    }

    pub(in crate::entry) fn on_configuration_head_read(
        &mut self,
        now: Timestamp,
        outcome: StoreOutcome,
    ) {
        self.configuration_sync.is_reading = false;
        self.configuration_sync.next_read_at = now.after(self.poll_period());
        match outcome {
            Ok(StoreReply::Value(Some(value))) => self.handle_head(now, &value),
            Ok(StoreReply::Value(None)) => self.configuration_sync.head = None,
            _ => self.configuration_sync.next_read_at = now.after(RETRY_DELAY),
        }
    }

    pub(in crate::entry) fn on_configuration_head_changes(
        &mut self,
        now: Timestamp,
        outcome: StoreOutcome,
    ) {
        self.configuration_sync.is_watching = false;
        let Ok(StoreReply::Changes { values, version }) = outcome else {
            self.configuration_sync.next_watch_at = now.after(RETRY_DELAY);
            return;
        };
        self.configuration_sync.watch_after = version;
        for value in values {
            self.handle_head(now, &value);
        }
    }

    pub(super) fn handle_head(&mut self, now: Timestamp, value: &StoredValue) {
        let Some(buf) = &value.value else {
            self.configuration_sync.head = None;
            return;
        };
        let decoded = serde_json::from_slice::<ConfigurationId>(buf);
        self.configuration_sync.head = Some(Head {
            version: value.version,
            id: decoded.as_ref().ok().cloned(),
        });
        match decoded {
            Ok(id) => self.follow_head(now, &id),
            Err(error) => self.reject_unreadable(now, &error),
        }
    }

    fn reject_unreadable(&mut self, now: Timestamp, error: &serde_json::Error) {
        let decision = self
            .decision(now, DecisionKind::Configuration, "refused", "unreadable")
            .with("error", error);
        self.journal.record(decision);
    }

    fn follow_head(&mut self, now: Timestamp, id: &ConfigurationId) {
        self.confirm_written(now, id);
        match self.adoption.evaluate(id) {
            OfferOutcome::Adopted => self.fetch(now, id.clone()),
            OfferOutcome::Known => {}
            offer @ (OfferOutcome::Older | OfferOutcome::Forked) => {
                let decision = self.offer_decision(now, offer, id, "store");
                self.journal.record(decision);
            }
        }
    }

    fn fetch(&mut self, now: Timestamp, id: ConfigurationId) {
        if self.configuration_sync.fetch.is_some() {
            return;
        }
        let fetch = Fetch {
            target: id.clone(),
            wanted: id,
            changes: Vec::new(),
        };
        self.fetch_next(now, fetch);
    }

    fn fetch_next(&mut self, now: Timestamp, fetch: Fetch) {
        let key = fetch.wanted.record_key();
        self.configuration_sync.fetch = Some(fetch);
        self.call_store(
            now,
            CallPurpose::ConfigurationRecordRead,
            StoreCall::Get { key },
        );
    }

    pub(in crate::entry) fn on_configuration_record_read(
        &mut self,
        now: Timestamp,
        outcome: StoreOutcome,
    ) {
        let Some(fetch) = self.configuration_sync.fetch.take() else {
            return;
        };
        let target = fetch.target.clone();
        let Ok(StoreReply::Value(value)) = outcome else {
            self.configuration_sync.next_read_at = now.after(RETRY_DELAY);
            return;
        };
        let buf = value.and_then(|value| value.value);
        let Some(buf) = buf else {
            self.reject_fetch(now, &fetch, "record-missing");
            self.follow_newer_head(now, &target);
            return;
        };
        match serde_json::from_slice::<StoredConfigurationRecord>(&buf) {
            Ok(record) => self.handle_record(now, fetch, record),
            Err(error) => self.reject_unreadable(now, &error),
        }
        self.follow_newer_head(now, &target);
    }

    fn reject_fetch(&mut self, now: Timestamp, fetch: &Fetch, reason: &str) {
        let decision = self
            .decision(now, DecisionKind::Configuration, "refused", reason)
            .with("offered", fetch.wanted.revision)
            .with("digest", &fetch.wanted.digest);
        self.journal.record(decision);
    }

    fn handle_record(&mut self, now: Timestamp, fetch: Fetch, record: StoredConfigurationRecord) {
        self.confirm_written(now, &fetch.wanted);
        match record {
            StoredConfigurationRecord::Whole { record, .. } => {
                self.adopt_fetched(now, *record, &fetch.changes);
            }
            StoredConfigurationRecord::Change(change) => self.handle_change(now, fetch, *change),
        }
    }

    fn handle_change(&mut self, now: Timestamp, mut fetch: Fetch, change: ConfigurationChange) {
        fetch.wanted = change.base.clone();
        fetch.changes.push(change);
        let current = self.adoption.current();
        let base = current.filter(|record| record.id() == fetch.wanted);
        if let Some(base) = base {
            let base = ConfigurationRecord::clone(base);
            self.adopt_fetched(now, base, &fetch.changes);
            return;
        }
        match fetch.changes.len() < MAX_CHAIN {
            true => self.fetch_next(now, fetch),
            false => self.reject_fetch(now, &fetch, "chain-too-long"),
        }
    }

    /// Applies `changes`, listed newest first, and adopts the result.
    fn adopt_fetched(
        &mut self,
        now: Timestamp,
        mut record: ConfigurationRecord,
        changes: &[ConfigurationChange],
    ) {
        for change in changes.iter().rev() {
            let Some(next) = change.apply(&record) else {
                return;
            };
            record = next;
        }
        self.adopt(now, record, "store");
    }

    /// Follows a newer head that arrived during a fetch.
    fn follow_newer_head(&mut self, now: Timestamp, followed: &ConfigurationId) {
        let head = self
            .configuration_sync
            .head_id()
            .filter(|head| *head != followed);
        if let Some(head) = head.cloned() {
            self.follow_head(now, &head);
        }
    }
}
