//! Endpoints of all services, from their entries in the key-value store.
//!
//! An endpoint cannot renew its entry while the store is unreachable, so an entry that expires
//! around an outage does not show that its endpoint has failed. Such endpoints stay in use for
//! a short time after the outage, so that live ones can register again.
//!
//! A store that comes back from an older copy may list endpoints that have left since. Nothing
//! that the copy says takes back what is known of a process: that it leaves, that it is gone, or
//! that a later one has started.

mod decisions;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::endpoint_notice::{EndpointLimit, KnownNotice, NoticeEnd, SharedNotice};
use super::load_balancer::CallAttempt;
use crate::decision::Journal;
use crate::domain;
use crate::ids::{AvailabilityZone, EndpointId, ServiceName, SoftwareVersion};
use crate::units::Timestamp;
use decisions::{endpoint_decision, limit_decision, removal_decision};

/// Time after an outage within which a live endpoint registers again.
pub const REREGISTER_TIME: Duration = Duration::from_secs(2);

/// Time for which a process that is not listed is remembered: longer than a copy of the store, or
/// a message of a peer, can be old.
pub(super) const ABSENCE_RETENTION: Duration = Duration::from_secs(60);
/// Time that an entry takes until a daemon learns of it: half of the interval at which changes of the
/// store are read. No more than half of the time that is left is taken off for it.
const NEWS_DELAY: Duration = Duration::from_millis(250);
/// Time after a restore in which the entry of a process that was gone is not relied on: a live
/// endpoint writes it again, and the platform removes that of another one, after three missed
/// heartbeats.
const COPY_DOUBT_TIME: Duration = Duration::from_secs(5);

domain! {
    /// Process of an endpoint; a restarted one has another, even under the same identifier.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct EndpointProcess {
        /// Identifier of the endpoint.
        pub id: EndpointId,
        /// Start of the process, in milliseconds since the Unix epoch.
        pub started_at_ms: u64,
    }

    /// Entry that an endpoint registers for itself.
    pub struct EndpointRecord {
        /// Identifier of the endpoint.
        pub id: EndpointId,
        /// Service that it runs.
        pub service: ServiceName,
        /// Address of its HTTP interface.
        pub address: SocketAddr,
        /// Zone of its VM.
        pub zone: AvailabilityZone,
        /// Maximum number of concurrent calls.
        pub slots: u32,
        /// Whether it is draining and accepts no new work.
        pub is_leaving: bool,
        /// Whether its VM is reclaimable.
        pub is_spot: bool,
        /// Start of its process, in milliseconds since the Unix epoch.
        #[serde(rename = "born")]
        pub started_at_ms: u64,
        /// Version of its software; `None` if unknown. The layout of this type in gossip
        /// messages precedes the field, so it is not encoded.
        #[serde(skip)]
        pub version: Option<SoftwareVersion>,
        /// Time that was left until it ends when it wrote the entry; `None` if unknown. Like the
        /// version, it is not encoded.
        #[serde(skip)]
        pub leaves_in: Option<Duration>,
    }
}

/// Endpoint in the table.
#[derive(Debug, Clone)]
pub struct EndpointEntry {
    /// Its latest entry.
    pub record: EndpointRecord,
    /// When this daemon last learned that the endpoint wrote its entry.
    written_at: Timestamp,
    /// Whether its entry expired around an outage.
    is_expired: bool,
    /// What its process says of itself in responses.
    notice: KnownNotice,
    /// Whether a fault of such a notice was logged.
    has_faulty_notice: bool,
    /// Whether the entry of a process that was gone comes from a copy of the store.
    is_doubtful: bool,
}

impl EndpointEntry {
    fn new(now: Timestamp, record: EndpointRecord, notice: KnownNotice) -> Self {
        Self {
            record,
            written_at: now,
            is_expired: false,
            notice,
            has_faulty_notice: false,
            is_doubtful: false,
        }
    }

    /// Returns whether the endpoint takes no new calls.
    pub fn is_leaving(&self) -> bool {
        self.record.is_leaving || self.notice.is_leaving || self.is_doubtful
    }

    /// Returns the limit that the endpoint names in its responses.
    pub fn limit(&self) -> Option<EndpointLimit> {
        self.notice.limit
    }

    /// Returns when it ends; `None` if it does not end soon as far as is known. A reclaimable
    /// endpoint that leaves ends at a time that may not be known; others may take any time to drain.
    pub(super) fn notice_end(&self) -> Option<NoticeEnd> {
        let since = self.notice.leaving_since.filter(|_| self.is_leaving())?;
        let ends_at = self.notice.ends_at;
        let ends_soon = ends_at.is_some() || self.record.is_spot;
        ends_soon.then_some(NoticeEnd { since, ends_at })
    }

    /// Returns what is known of its process, from its entry and its responses.
    fn known_notice(&self) -> KnownNotice {
        KnownNotice {
            is_leaving: self.record.is_leaving || self.notice.is_leaving,
            ..self.notice
        }
    }
}

impl EndpointRecord {
    /// Returns the process that registered the entry.
    pub fn process(&self) -> EndpointProcess {
        EndpointProcess {
            id: self.id.clone(),
            started_at_ms: self.started_at_ms,
        }
    }
}

impl CallAttempt {
    /// Returns the process that the attempt is sent to.
    pub fn process(&self) -> EndpointProcess {
        EndpointProcess {
            id: self.endpoint.clone(),
            started_at_ms: self.started_at_ms,
        }
    }
}

/// Process that is no longer, or not yet, in the table.
#[derive(Debug, Clone)]
struct AbsentProcess {
    notice: KnownNotice,
    since: Timestamp,
}

/// All known endpoints.
#[derive(Debug, Clone, Default)]
pub struct EndpointTable {
    endpoints: BTreeMap<EndpointId, EndpointEntry>,
    absent: BTreeMap<EndpointProcess, AbsentProcess>,
    /// When the store came back from a copy.
    restored_at: Option<Timestamp>,
}

impl EndpointTable {
    /// Returns all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.endpoints.values()
    }

    /// Returns an endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointEntry> {
        self.endpoints.get(id)
    }

    /// Adds or updates an entry; returns whether anything changed.
    pub fn on_entry(
        &mut self,
        now: Timestamp,
        mut record: EndpointRecord,
        journal: &mut Journal,
    ) -> bool {
        let process = record.process();
        let was_leaving = self.endpoints.get(&record.id).is_some_and(|known| {
            known.record.started_at_ms == record.started_at_ms && known.record.is_leaving
        });
        let notice = self.notice_of(&process);
        let left = record.leaves_in.take();
        let ends_at = left.map(|left| now.after(left - NEWS_DELAY.min(left / 2)));
        let notice = match record.is_leaving {
            true => notice.with_end(now, ends_at),
            // The endpoint has taken back that it leaves.
            false if was_leaving => notice.without_end(),
            false => notice,
        };
        let known = self.endpoints.get_mut(&record.id);
        let choice = match known {
            Some(known) if known.record == record && !known.is_expired && !known.is_doubtful => {
                known.written_at = now;
                known.notice = notice;
                return false;
            }
            _ if record.is_leaving => "leaving",
            None => "listed",
            Some(_) => "changed",
        };
        journal.record(endpoint_decision(now, choice, "entry", &record));
        self.remove(now, &record.id);
        self.absent.remove(&process);
        let entry = EndpointEntry::new(now, record, notice);
        self.endpoints.insert(entry.record.id.clone(), entry);
        true
    }

    /// Applies the removal of an entry; returns whether the endpoint was removed.
    /// `is_after_outage` means that the store was unreachable recently: the endpoint is then
    /// kept unless it is draining.
    pub fn on_removed(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        is_after_outage: bool,
        journal: &mut Journal,
    ) -> bool {
        let Some(known) = self.endpoints.get_mut(id) else {
            return false;
        };
        if is_after_outage && !known.is_leaving() {
            if !std::mem::replace(&mut known.is_expired, true) {
                journal.record(removal_decision(now, "kept", "lapsed-in-outage", known));
            }
            return false;
        }
        journal.record(removal_decision(now, "removed", "entry-gone", known));
        self.remove(now, id);
        true
    }

    /// Sets what is known of a process of an endpoint; returns whether anything changed.
    pub(super) fn set_notice(
        &mut self,
        now: Timestamp,
        process: &EndpointProcess,
        notice: KnownNotice,
        source: &str,
        journal: &mut Journal,
    ) -> bool {
        let known = self.notice_of(process);
        let notice = match notice.is_leaving && !known.is_leaving {
            true => notice.with_end(now, None),
            false => notice,
        };
        match self.endpoints.get_mut(&process.id) {
            Some(entry) if entry.record.started_at_ms == process.started_at_ms => {
                entry.notice = notice;
                if notice.is_leaving && !known.is_leaving {
                    journal.record(endpoint_decision(now, "leaving", source, &entry.record));
                }
                if notice.limit != known.limit {
                    journal.record(limit_decision(now, source, entry));
                }
            }
            // Another process is listed, or this one has not registered yet.
            _ => {
                let absent = AbsentProcess { notice, since: now };
                self.absent.insert(process.clone(), absent);
            }
        }
        notice.is_leaving != known.is_leaving || notice.limit != known.limit
    }

    /// Records that a response of a process has a notice that cannot be read.
    pub(super) fn on_unreadable_notice(
        &mut self,
        now: Timestamp,
        process: &EndpointProcess,
        fault: &str,
        journal: &mut Journal,
    ) {
        if let Some(entry) = self.endpoints.get_mut(&process.id)
            && !std::mem::replace(&mut entry.has_faulty_notice, true)
        {
            let choice = "unreadable-notice";
            let decision = endpoint_decision(now, choice, "response", &entry.record);
            journal.record(decision.with("cause", fault));
        }
    }

    /// Returns what is known of all processes, except those that say nothing.
    pub(super) fn notices(
        &self,
        now: Timestamp,
        end_time: Duration,
    ) -> impl Iterator<Item = SharedNotice> {
        self.endpoints.values().filter_map(move |entry| {
            let notice = entry.known_notice();
            notice.share(now, entry.record.process(), end_time)
        })
    }

    /// Returns the limits that endpoints name.
    pub(super) fn limits(&self) -> BTreeMap<&EndpointId, EndpointLimit> {
        let entries = self.endpoints.iter();
        entries
            .filter_map(|(id, entry)| Some((id, entry.limit()?)))
            .collect()
    }

    /// Ends limits that were last heard of `max_age` ago; returns whether there were any.
    pub(super) fn end_silent_limits(
        &mut self,
        now: Timestamp,
        max_age: Duration,
        journal: &mut Journal,
    ) -> bool {
        let is_old = |at: Timestamp| now.since(at) >= max_age;
        let mut is_changed = false;
        for entry in self.endpoints.values_mut() {
            if entry.limit().is_some() && entry.notice.limit_heard_at.is_none_or(is_old) {
                entry.notice.limit = None;
                journal.record(limit_decision(now, "not-heard", entry));
                is_changed = true;
            }
        }
        is_changed
    }

    /// Returns what is known of a process.
    pub(super) fn notice_of(&self, process: &EndpointProcess) -> KnownNotice {
        let listed = self.endpoints.get(&process.id);
        let listed = listed.filter(|entry| entry.record.started_at_ms == process.started_at_ms);
        let absent = || self.absent.get(process).map(|absent| absent.notice);
        listed
            .map(EndpointEntry::known_notice)
            .or_else(absent)
            .unwrap_or_default()
    }

    fn remove(&mut self, now: Timestamp, id: &EndpointId) -> Option<EndpointEntry> {
        let entry = self.endpoints.remove(id)?;
        let absent = AbsentProcess {
            notice: entry.known_notice(),
            since: now,
        };
        self.absent.insert(entry.record.process(), absent);
        Some(entry)
    }

    /// Forgets endpoints that have been gone for a long time.
    pub(super) fn forget_absent(&mut self, now: Timestamp) {
        let is_recent = |absent: &AbsentProcess| now.since(absent.since) < ABSENCE_RETENTION;
        self.absent.retain(|_, absent| is_recent(absent));
    }

    /// Replaces the table with a complete list; endpoints missing from the list are removed,
    /// or kept if `is_after_outage`. Entries from a copy of the store do not take back what is
    /// known. Returns whether anything changed.
    pub fn on_list(
        &mut self,
        now: Timestamp,
        records: Vec<EndpointRecord>,
        is_after_outage: bool,
        journal: &mut Journal,
    ) -> bool {
        let (doubtful, records) = self.split_doubtful(now, records);
        let listed: BTreeSet<&EndpointId> = records.iter().map(|record| &record.id).collect();
        let is_missing = |id: &EndpointId| !listed.contains(id);
        let missing: Vec<EndpointId> = self
            .endpoints
            .keys()
            .filter(|id| is_missing(id))
            .cloned()
            .collect();
        let mut is_changed = false;
        for id in &missing {
            is_changed |= self.on_removed(now, id, is_after_outage, journal);
        }
        for record in records {
            is_changed |= self.on_entry(now, record, journal);
        }
        for record in doubtful {
            is_changed |= self.on_doubtful_entry(now, record, journal);
        }
        is_changed
    }

    /// Records that the store came back from a copy.
    pub(super) fn on_store_restored(&mut self, now: Timestamp) {
        self.restored_at = Some(now);
    }

    /// Separates the entries in a list that contradict what was known before the restore.
    fn split_doubtful(
        &self,
        now: Timestamp,
        records: Vec<EndpointRecord>,
    ) -> (Vec<EndpointRecord>, Vec<EndpointRecord>) {
        let is_copy = self
            .restored_at
            .is_some_and(|at| now.since(at) < COPY_DOUBT_TIME);
        records.into_iter().partition(|record| {
            let known = self.endpoints.get(&record.id);
            let is_listed = known.is_some_and(|known| {
                known.record.started_at_ms == record.started_at_ms && !known.is_doubtful
            });
            let mut not_earlier = self.absent.range(record.process()..);
            let is_gone = !is_listed
                && not_earlier
                    .next()
                    .is_some_and(|(absent, _)| absent.id == record.id);
            let is_earlier =
                known.is_some_and(|known| record.started_at_ms < known.record.started_at_ms);
            let is_held = known.is_some_and(|known| known.is_doubtful && known.record == *record);
            is_copy && (is_gone || is_earlier || is_held)
        })
    }

    /// Lists an entry from a copy without relying on it, unless a later process is known.
    fn on_doubtful_entry(
        &mut self,
        now: Timestamp,
        record: EndpointRecord,
        journal: &mut Journal,
    ) -> bool {
        if self.endpoints.contains_key(&record.id) {
            return false;
        }
        journal.record(endpoint_decision(now, "doubted", "copy", &record));
        let notice = self.notice_of(&record.process());
        let mut entry = EndpointEntry::new(now, record, notice);
        entry.is_doubtful = true;
        self.endpoints.insert(entry.record.id.clone(), entry);
        true
    }

    /// Relies on the entries of a copy that are still there; returns whether there were any.
    pub(super) fn end_doubt(&mut self, now: Timestamp, journal: &mut Journal) -> bool {
        let is_over = |at| now.since(at) >= COPY_DOUBT_TIME;
        if !self.restored_at.is_some_and(is_over) {
            return false;
        }
        self.restored_at = None;
        let doubtful = self
            .endpoints
            .values_mut()
            .filter(|entry| entry.is_doubtful);
        let mut is_changed = false;
        for entry in doubtful {
            entry.is_doubtful = false;
            journal.record(endpoint_decision(
                now,
                "listed",
                "still-there",
                &entry.record,
            ));
            is_changed = true;
        }
        is_changed
    }

    /// Removes endpoints whose entries expired in an outage that ended at `outage_ended_at` and
    /// that have not registered again within [`REREGISTER_TIME`]; returns whether any were
    /// removed.
    pub fn remove_expired(
        &mut self,
        now: Timestamp,
        outage_ended_at: Timestamp,
        journal: &mut Journal,
    ) -> bool {
        if now.since(outage_ended_at) < REREGISTER_TIME {
            return false;
        }
        let expired: Vec<EndpointId> = self
            .endpoints
            .values()
            .filter(|entry| entry.is_expired)
            .map(|entry| entry.record.id.clone())
            .collect();
        for id in &expired {
            if let Some(entry) = self.remove(now, id) {
                let reason = "not-back-after-outage";
                journal.record(removal_decision(now, "removed", reason, &entry));
            }
        }
        !expired.is_empty()
    }
}
