//! At which software version each new stream of a service begins, as a function of the caller's
//! attempt.
//!
//! The function is a table from hash buckets to versions, in proportion to their slots. It is stored
//! before any stream begins by it, so that a daemon that starts after all others have ended computes
//! where a stream began from the attempt alone, also if that was during an outage of the store.
//!
//! A table changes with the versions and with large shifts of their slots. Tables that streams within
//! the retention time may have begun by stay in the list beside the one in use, and so does the next
//! one for some time before its use. An attempt that all of them map to one version began there;
//! of any other one the origin has to be known otherwise.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::requests::MAX_CERTAIN_AGE;
use super::stream_origin::AttemptDigest;
use crate::domain;
use crate::hash::rendezvous_weight;
use crate::ids::SoftwareVersion;
use crate::units::Timestamp;

/// Number of buckets: shares are multiples of 1/128.
const BUCKETS: usize = 128;
/// Key of the hash that maps attempts to buckets.
const BUCKET_KEY: u64 = 0x7665_7273_696f_6e73;
/// Time for which a table is listed before streams begin by it: every view that is believed lists
/// it by then.
const ANNOUNCE_TIME: Duration = Duration::from_secs(2);
const _: () = assert!(ANNOUNCE_TIME.as_millis() > MAX_CERTAIN_AGE.as_millis());
/// Time for which a daemon without contact to the store may go on with a table that was replaced.
const REPLACED_USE_TIME: Duration = Duration::from_secs(5);
/// Share of the streams that a version gets, relative to its share of the slots, above which the
/// table changes.
const MAX_OVERLOAD: f64 = 1.25;
/// Number of listed tables above which slots alone change no table.
const MAX_TABLES: usize = 8;

domain! {
    /// Map from the buckets of attempts to the versions at which their streams begin.
    #[derive(Eq)]
    pub struct VersionTable {
        /// Number among the tables of the service; a later one is higher.
        pub number: u64,
        /// The versions.
        pub versions: Vec<SoftwareVersion>,
        /// Index of the version of each bucket.
        pub buckets: Vec<u8>,
    }

    /// Tables of one service, as stored.
    #[derive(Eq)]
    pub struct VersionShares {
        /// Tables that streams began by within the retention time, the one in use, and the next one.
        pub tables: Vec<VersionTable>,
        /// Number of the table by which streams begin.
        pub in_use: u64,
        /// Whether no stream within the retention time can have begun otherwise.
        pub is_complete: bool,
        /// How often the tables became incomplete: daemons that miss a change count time anew.
        pub restarts: u64,
    }
}

/// Slots of the usable endpoints of a service, by version.
pub(super) type VersionSlots = BTreeMap<SoftwareVersion, u64>;

impl VersionTable {
    /// Creates a table with shares in proportion to `slots`, which moves as few buckets of
    /// `previous` as possible; `None` without slots.
    fn new(number: u64, slots: &VersionSlots, previous: Option<&Self>) -> Option<Self> {
        let versions: Vec<SoftwareVersion> = slots.keys().cloned().collect();
        let mut left = bucket_counts(slots)?;
        let index_of = |version: &SoftwareVersion| versions.iter().position(|v| v == version);
        let mut buckets: Vec<Option<u8>> = (0..BUCKETS)
            .map(|bucket| {
                let index = index_of(previous?.version(bucket)?)?;
                left[index] = left[index].checked_sub(1)?;
                u8::try_from(index).ok()
            })
            .collect();
        for bucket in buckets.iter_mut().filter(|bucket| bucket.is_none()) {
            let index = left.iter().position(|left| *left > 0)?;
            left[index] -= 1;
            *bucket = u8::try_from(index).ok();
        }
        Some(Self {
            number,
            versions,
            buckets: buckets.into_iter().collect::<Option<_>>()?,
        })
    }

    fn version(&self, bucket: usize) -> Option<&SoftwareVersion> {
        self.versions.get(usize::from(*self.buckets.get(bucket)?))
    }

    /// Returns the version at which the stream of an attempt begins; `None` if the table is not whole.
    fn version_of(&self, attempt: AttemptDigest) -> Option<&SoftwareVersion> {
        let hash = rendezvous_weight(BUCKET_KEY, attempt.0);
        self.version((hash % BUCKETS as u64) as usize)
    }

    /// Returns whether each bucket has the same version in both tables.
    fn equals(&self, other: &Self) -> bool {
        (0..BUCKETS).all(|bucket| self.version(bucket) == other.version(bucket))
    }

    fn is_whole(&self) -> bool {
        self.buckets.len() == BUCKETS && (0..BUCKETS).all(|bucket| self.version(bucket).is_some())
    }

    fn share(&self, version: &SoftwareVersion) -> f64 {
        let of_version = (0..BUCKETS).filter(|bucket| self.version(*bucket) == Some(version));
        of_version.count() as f64 / BUCKETS as f64
    }

    /// Returns whether streams begin at a version without slots while another one has some.
    fn lacks_slots(&self, slots: &VersionSlots) -> bool {
        !slots.is_empty() && self.versions.iter().any(|v| !slots.contains_key(v))
    }

    fn is_overloaded(&self, slots: &VersionSlots) -> bool {
        let all: u64 = slots.values().sum();
        slots
            .iter()
            .any(|(version, slots)| self.share(version) * all as f64 > MAX_OVERLOAD * *slots as f64)
    }
}

/// Returns the number of buckets of each version, in proportion to its slots by largest remainders,
/// but one at least; `None` without slots, or with more versions than buckets.
fn bucket_counts(slots: &VersionSlots) -> Option<Vec<usize>> {
    let all: u64 = slots.values().sum();
    if all == 0 || slots.len() > BUCKETS {
        return None;
    }
    let scaled = slots.values().map(|slots| slots * BUCKETS as u64);
    let mut counts: Vec<usize> = scaled
        .clone()
        .map(|scaled| ((scaled / all) as usize).max(1))
        .collect();
    let mut order: Vec<usize> = (0..counts.len()).collect();
    let remainders: Vec<u64> = scaled.map(|scaled| scaled % all).collect();
    order.sort_by_key(|index| std::cmp::Reverse(remainders[*index]));
    let missing = BUCKETS.saturating_sub(counts.iter().sum());
    for index in order.into_iter().take(missing) {
        counts[index] += 1;
    }
    while counts.iter().sum::<usize>() > BUCKETS {
        *counts.iter_mut().max()? -= 1;
    }
    Some(counts)
}

impl VersionShares {
    /// Creates the first table of a service.
    pub(super) fn first(slots: &VersionSlots, is_complete: bool) -> Option<Self> {
        let table = VersionTable::new(1, slots, None)?;
        Some(Self {
            in_use: table.number,
            tables: vec![table],
            is_complete,
            restarts: 0,
        })
    }

    /// Returns the version at which the stream of an attempt begins now.
    pub fn begins_at(&self, attempt: AttemptDigest) -> Option<&SoftwareVersion> {
        self.table_in_use()?.version_of(attempt)
    }

    /// Returns the version at which the stream of an attempt began, if that is certain.
    pub fn origin(&self, attempt: AttemptDigest) -> Option<&SoftwareVersion> {
        let mut versions = self.tables.iter().map(|table| table.version_of(attempt));
        let first = versions.next()??;
        let is_sole = versions.all(|version| version == Some(first));
        (is_sole && self.is_complete).then_some(first)
    }

    /// Returns whether the table in use is there, and all tables are whole.
    pub(super) fn is_whole(&self) -> bool {
        self.table_in_use().is_some() && self.tables.iter().all(VersionTable::is_whole)
    }

    /// Returns the versions at which streams begin now.
    pub fn versions(&self) -> impl Iterator<Item = &SoftwareVersion> {
        let table = self.table_in_use();
        table.into_iter().flat_map(|table| &table.versions)
    }

    fn table_in_use(&self) -> Option<&VersionTable> {
        self.tables.iter().find(|table| table.number == self.in_use)
    }

    /// Returns these tables with the table in use alone, after what may have begun otherwise.
    pub(super) fn restarted(&self) -> Self {
        Self {
            tables: self.table_in_use().into_iter().cloned().collect(),
            in_use: self.in_use,
            is_complete: false,
            restarts: self.restarts + 1,
        }
    }
}

/// When this daemon first saw the tables of a service, and each change of their state.
#[derive(Debug, Clone, Default)]
pub(super) struct ShareClock {
    /// Since when all streams begin by tables.
    since: Option<Timestamp>,
    restarts: u64,
    announced: BTreeMap<u64, Timestamp>,
    replaced: BTreeMap<u64, Timestamp>,
}

impl ShareClock {
    /// Records the stored tables of the service; `None` if streams begin at any version.
    pub(super) fn on_stored(&mut self, now: Timestamp, shares: Option<&VersionShares>) {
        let Some(shares) = shares else {
            *self = Self::default();
            return;
        };
        if std::mem::replace(&mut self.restarts, shares.restarts) != shares.restarts {
            self.since = Some(now);
        }
        self.since.get_or_insert(now);
        for table in &shares.tables {
            if table.number > shares.in_use {
                self.announced.entry(table.number).or_insert(now);
            } else if table.number < shares.in_use {
                self.replaced.entry(table.number).or_insert(now);
            }
        }
        let numbers: BTreeSet<u64> = shares.tables.iter().map(|table| table.number).collect();
        let is_listed = |number: &u64| numbers.contains(number);
        self.announced
            .retain(|number, _| is_listed(number) && *number > shares.in_use);
        self.replaced
            .retain(|number, _| is_listed(number) && *number < shares.in_use);
    }

    /// Returns the tables to store: drops those that no stream to be taken up began by, and replaces
    /// the table in use if it does not fit the `slots`. Streams begin only at `admitted` versions.
    pub(super) fn next(
        &self,
        now: Timestamp,
        current: &VersionShares,
        slots: &VersionSlots,
        admitted: &BTreeSet<SoftwareVersion>,
        retention: Duration,
    ) -> VersionShares {
        let mut next = current.clone();
        let is_past = |at: &Timestamp| now.since(*at) >= retention + REPLACED_USE_TIME;
        next.is_complete |= self.since.as_ref().is_some_and(is_past);
        next.tables
            .retain(|table| !self.replaced.get(&table.number).is_some_and(is_past));
        let Some(in_use) = current.table_in_use() else {
            return next;
        };
        let is_urgent = in_use.lacks_slots(slots);
        let announced = next.tables.last().filter(|last| last.number > next.in_use);
        let is_useless = announced.is_some_and(|table| table.lacks_slots(slots));
        if announced.is_none() || is_useless {
            let adds_version = slots.keys().any(|v| !in_use.versions.contains(v));
            let is_due = is_urgent
                || is_useless
                || adds_version
                || in_use.is_overloaded(slots) && next.tables.len() < MAX_TABLES;
            // A number is not used again, also that of a table that is withdrawn.
            let number = next.tables.last().map_or(in_use.number, |last| last.number) + 1;
            let table = VersionTable::new(number, slots, Some(in_use)).filter(|_| is_due);
            let is_new = |table: &VersionTable| is_useless || !table.equals(in_use);
            if let Some(table) = table.filter(is_new) {
                if is_useless {
                    next.tables.pop();
                }
                next.tables.push(table);
            }
        }
        if let Some(last) = next.tables.last().filter(|last| last.number > next.in_use) {
            let announced_at = self.announced.get(&last.number);
            let is_announced = announced_at.is_some_and(|at| now.since(*at) >= ANNOUNCE_TIME);
            let is_usable = last.versions.iter().all(|v| admitted.contains(v));
            if is_usable && !last.lacks_slots(slots) && (is_announced || is_urgent) {
                next.in_use = last.number;
            }
        }
        next
    }
}
