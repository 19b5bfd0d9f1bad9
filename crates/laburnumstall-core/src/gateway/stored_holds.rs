//! Quarantines in the key-value store, from which a daemon that starts later learns them.
//!
//! The daemon that decides a quarantine writes it at once. Every other one that knows of it
//! writes it as well if it is not in the store after a while: the decider may have been
//! killed, or the store may have been restored from an older copy.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Gateway;
use super::gossip::GOSSIP_PERIOD;
use crate::domain;
use crate::hash::digest64;
use crate::quarantine::{HoldBasis, Suspect};
use crate::units::Timestamp;

/// Time after which a daemon that did not decide a quarantine writes it to the store.
const WRITE_DELAY: Duration = Duration::from_secs(2);
/// Time before the end of a quarantine in which the removal of its key is the end of its lease;
/// clocks of daemons and of the store differ.
const EXPIRY_MARGIN: Duration = Duration::from_secs(5);

domain! {
    /// Value of a stored quarantine.
    #[derive(Copy, Eq)]
    pub struct StoredHold {
        /// Time of the first of the latest crashes that are enough for it, in milliseconds since
        /// the Unix epoch.
        pub since_ms: u64,
        /// End of the quarantine in milliseconds since the Unix epoch.
        pub until_ms: u64,
        /// Number of crashes that it is based on.
        pub crashes: u32,
    }
}

/// Write to the store that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HoldWrite {
    /// The suspect.
    pub suspect: Suspect,
    /// Value to write; `None` to delete the key.
    pub value: Option<StoredHold>,
    /// Time up to which quarantines that are based on earlier crashes are deleted.
    pub cleared_at: Timestamp,
    /// Time until the quarantine ends.
    pub ttl: Duration,
}

/// What is known of the quarantines in the store.
#[derive(Debug, Default)]
pub(super) struct StoredHolds {
    /// Stored quarantines with the end of each.
    stored: BTreeMap<Suspect, Timestamp>,
    /// Quarantines that are not known to be stored, with the time at which they are written.
    unwritten: BTreeMap<Suspect, Timestamp>,
    /// Ended quarantines, with the time of the completion that ended each.
    to_delete: BTreeMap<Suspect, Timestamp>,
}

impl HoldWrite {
    /// Returns whether the store's value needs no change.
    pub fn is_done(&self, stored: &StoredHold) -> bool {
        match &self.value {
            Some(value) => value.is_covered_by(stored),
            None => !stored.basis().is_refuted_by(self.suspect, self.cleared_at),
        }
    }
}

impl StoredHold {
    fn basis(&self) -> HoldBasis {
        HoldBasis {
            since: Timestamp::from_millis(self.since_ms),
            crashes: self.crashes,
        }
    }

    fn until(&self) -> Timestamp {
        Timestamp::from_millis(self.until_ms)
    }

    /// Returns whether a stored quarantine lasts as long as this one.
    fn is_covered_by(&self, stored: &Self) -> bool {
        self.until() <= stored.until().after(EXPIRY_MARGIN)
    }
}

impl StoredHolds {
    /// Records that this daemon decided a quarantine.
    pub(super) fn on_decided(&mut self, suspect: Suspect) {
        self.unwritten.insert(suspect, Timestamp::ZERO);
    }

    /// Records that a completion at `at` has ended a quarantine before its time.
    pub(super) fn on_cleared(&mut self, suspect: Suspect, at: Timestamp) {
        self.unwritten.remove(&suspect);
        if self.stored.remove(&suspect).is_some() {
            self.to_delete.insert(suspect, at);
        }
    }
}

impl Gateway {
    /// Writes a quarantine to the store later, unless it is there by then.
    pub(super) fn store_later(&mut self, now: Timestamp, suspect: Suspect) {
        if self.stored_holds.stored.contains_key(&suspect) {
            return;
        }
        // In a large fleet the daemons take turns.
        let turn = digest64(&[self.own.vm.as_str().as_bytes()]) % 1_000;
        let spread =
            self.peer_table.gossip_period().as_secs_f64() / GOSSIP_PERIOD.as_secs_f64() - 1.0;
        let delay = WRITE_DELAY.mul_f64(1.0 + spread * turn as f64 / 1_000.0);
        let write_at = now.after(delay);
        self.stored_holds
            .unwritten
            .entry(suspect)
            .or_insert(write_at);
    }

    /// Returns the writes to the key-value store that are due. A failed one is due again until
    /// [`Gateway::on_hold_written`].
    pub fn hold_writes(&mut self, now: Timestamp) -> Vec<HoldWrite> {
        let quarantine = &self.quarantine;
        let unwritten = &mut self.stored_holds.unwritten;
        unwritten.retain(|suspect, _| quarantine.held_until(now, *suspect).is_some());
        let due = unwritten.iter().filter(|(_, at)| **at <= now);
        let writes = due.filter_map(|(suspect, _)| {
            let until = quarantine.held_until(now, *suspect)?;
            let basis = quarantine.hold_basis(*suspect)?;
            let value = StoredHold {
                since_ms: basis.since.0 / 1_000,
                until_ms: until.0 / 1_000,
                crashes: basis.crashes,
            };
            Some(HoldWrite {
                suspect: *suspect,
                value: Some(value),
                cleared_at: Timestamp::ZERO,
                ttl: until.since(now),
            })
        });
        let to_delete = self.stored_holds.to_delete.iter();
        let deletes = to_delete.map(|(suspect, cleared_at)| HoldWrite {
            suspect: *suspect,
            value: None,
            cleared_at: *cleared_at,
            ttl: Duration::ZERO,
        });
        writes.chain(deletes).collect()
    }

    /// Records that a write succeeded, or was found to be done.
    pub fn on_hold_written(&mut self, now: Timestamp, write: &HoldWrite) {
        let holds = &mut self.stored_holds;
        let Some(value) = &write.value else {
            holds.to_delete.remove(&write.suspect);
            return;
        };
        holds.unwritten.remove(&write.suspect);
        holds.stored.insert(write.suspect, value.until());
        // It may have ended while it was written.
        if self.quarantine.held_until(now, write.suspect).is_none() {
            let cleared_at = self.quarantine.cleared_at(write.suspect);
            holds.on_cleared(write.suspect, cleared_at.unwrap_or(now));
        }
    }

    /// Applies a quarantine that the key-value store has.
    pub fn on_stored_hold(&mut self, now: Timestamp, suspect: Suspect, stored: StoredHold) {
        let until = stored.until();
        let basis = stored.basis();
        self.stored_holds.stored.insert(suspect, until);
        if self
            .quarantine
            .held_until(now, suspect)
            .is_none_or(|known| known <= until.after(EXPIRY_MARGIN))
        {
            self.stored_holds.unwritten.remove(&suspect);
        }
        let Some(at) = self.completion_against(now, suspect, basis) else {
            self.adopt_hold(now, suspect, basis, until, "store");
            return;
        };
        self.record_dispute(now, suspect, "store");
        let is_held = self.quarantine.held_until(now, suspect).is_some();
        if basis.is_refuted_by(suspect, at) && !is_held {
            self.stored_holds.on_cleared(suspect, at);
        }
    }

    /// Applies the removal of a quarantine from the key-value store: it has expired, was cleared,
    /// or an operator has deleted it, which ends it.
    pub fn on_stored_hold_removed(&mut self, now: Timestamp, suspect: Suspect) {
        let Some(until) = self.stored_holds.stored.remove(&suspect) else {
            return;
        };
        self.stored_holds.to_delete.remove(&suspect);
        if now.after(EXPIRY_MARGIN) >= until {
            // A later quarantine of the same suspect lasts on.
            if self.quarantine.held_until(now, suspect).is_some() {
                self.store_later(now, suspect);
            }
        } else if self.quarantine.release(now, suspect) {
            self.record_release(now, suspect, "store");
        }
    }

    /// Applies the complete list of stored quarantines. One that is missing was lost with the
    /// store's newest state, and is written again.
    pub fn on_stored_holds(&mut self, now: Timestamp, stored: Vec<(Suspect, StoredHold)>) {
        let listed: BTreeSet<Suspect> = stored.iter().map(|(suspect, _)| *suspect).collect();
        let known = std::mem::take(&mut self.stored_holds.stored);
        for suspect in known
            .into_keys()
            .filter(|suspect| !listed.contains(suspect))
        {
            self.store_later(now, suspect);
        }
        for (suspect, value) in stored {
            self.on_stored_hold(now, suspect, value);
        }
    }
}
