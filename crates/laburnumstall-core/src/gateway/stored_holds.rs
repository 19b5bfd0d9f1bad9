//! Quarantines in the key-value store, from which a daemon that starts later learns them.
//!
//! The daemon that decides a quarantine writes it at once. Every other one that knows of it
//! writes it as well if it is not in the store after a while: the decider may have been
//! killed, or the store may have been restored from an older copy.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Gateway;
use crate::domain;
use crate::quarantine::Suspect;
use crate::units::Timestamp;

/// Time after which a daemon that did not decide a quarantine writes it to the store.
const WRITE_DELAY: Duration = Duration::from_secs(2);

domain! {
    /// Value of a stored quarantine.
    #[derive(Copy, Eq)]
    pub struct StoredHold {
        /// End of the quarantine in milliseconds since the Unix epoch.
        pub until_ms: u64,
    }
}

/// Write to the store that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HoldWrite {
    /// The suspect.
    pub suspect: Suspect,
    /// Value to write; `None` to delete the key.
    pub value: Option<StoredHold>,
    /// Time until the quarantine ends.
    pub ttl: Duration,
}

/// What is known of the quarantines in the store.
#[derive(Debug, Default)]
pub(super) struct StoredHolds {
    stored: BTreeSet<Suspect>,
    /// Quarantines that are not known to be stored, with the time at which they are written.
    unwritten: BTreeMap<Suspect, Timestamp>,
    to_delete: BTreeSet<Suspect>,
}

impl StoredHolds {
    /// Records a quarantine.
    pub(super) fn on_hold(&mut self, now: Timestamp, suspect: Suspect) {
        if !self.stored.contains(&suspect) {
            let write_at = now.after(WRITE_DELAY);
            self.unwritten.entry(suspect).or_insert(write_at);
        }
    }

    /// Records that this daemon decided a quarantine.
    pub(super) fn on_decided(&mut self, suspect: Suspect) {
        self.unwritten.insert(suspect, Timestamp::ZERO);
    }

    /// Records that a quarantine has ended before its time.
    pub(super) fn on_cleared(&mut self, suspect: Suspect) {
        self.unwritten.remove(&suspect);
        if self.stored.remove(&suspect) {
            self.to_delete.insert(suspect);
        }
    }
}

impl Gateway {
    /// Returns the writes to the key-value store that are due. A failed one is due again until
    /// [`Gateway::on_hold_written`].
    pub fn hold_writes(&mut self, now: Timestamp) -> Vec<HoldWrite> {
        let quarantine = &self.quarantine;
        let unwritten = &mut self.stored_holds.unwritten;
        unwritten.retain(|suspect, _| quarantine.held_until(now, *suspect).is_some());
        let due = unwritten.iter().filter(|(_, at)| **at <= now);
        let writes = due.filter_map(|(suspect, _)| {
            let until = quarantine.held_until(now, *suspect)?;
            let until_ms = until.0 / 1_000;
            Some(HoldWrite {
                suspect: *suspect,
                value: Some(StoredHold { until_ms }),
                ttl: until.since(now),
            })
        });
        let deletes = self.stored_holds.to_delete.iter().map(|suspect| HoldWrite {
            suspect: *suspect,
            value: None,
            ttl: Duration::ZERO,
        });
        writes.chain(deletes).collect()
    }

    /// Records that a write succeeded, or was found to be done.
    pub fn on_hold_written(&mut self, write: &HoldWrite) {
        let holds = &mut self.stored_holds;
        match write.value {
            Some(_) => {
                holds.unwritten.remove(&write.suspect);
                holds.stored.insert(write.suspect);
            }
            None => {
                holds.to_delete.remove(&write.suspect);
            }
        }
    }

    /// Applies a quarantine that the key-value store has.
    pub fn on_stored_hold(&mut self, now: Timestamp, suspect: Suspect, stored: StoredHold) {
        self.stored_holds.unwritten.remove(&suspect);
        self.stored_holds.stored.insert(suspect);
        let until = Timestamp::from_millis(stored.until_ms);
        self.adopt_hold(now, suspect, until, "store");
    }

    /// Applies the removal of a quarantine from the key-value store, which ends it: it has
    /// expired, was cleared, or an operator has deleted it.
    pub fn on_stored_hold_removed(&mut self, now: Timestamp, suspect: Suspect) {
        if !self.stored_holds.stored.remove(&suspect) {
            return;
        }
        self.stored_holds.to_delete.remove(&suspect);
        if self.quarantine.release(now, suspect) {
            self.record_release(now, suspect, "store");
        }
    }

    /// Applies the complete list of stored quarantines. One that is missing was lost with the
    /// store's newest state, and is written again.
    pub fn on_stored_holds(&mut self, now: Timestamp, stored: Vec<(Suspect, StoredHold)>) {
        let listed: BTreeSet<Suspect> = stored.iter().map(|(suspect, _)| *suspect).collect();
        let known = std::mem::take(&mut self.stored_holds.stored);
        for suspect in known.difference(&listed) {
            self.stored_holds.on_hold(now, *suspect);
        }
        for (suspect, value) in stored {
            self.on_stored_hold(now, suspect, value);
        }
    }
}
