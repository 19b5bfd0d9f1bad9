//! When suspects were last cleared.

use std::collections::HashMap;

use super::hold::HOLD_TIME;
use super::suspect::Suspect;
use super::tally::MAX_RECORDS;
use crate::units::Timestamp;

/// Latest completions that ended quarantines. Kept for as long as a daemon that missed one may go
/// on with the quarantine.
#[derive(Debug, Clone, Default)]
pub(super) struct Clearances {
    by_suspect: HashMap<Suspect, Timestamp>,
}

impl Clearances {
    /// Records a clearance; evicts the oldest if there are too many.
    pub(super) fn insert(&mut self, suspect: Suspect, at: Timestamp) {
        let known = self.by_suspect.entry(suspect).or_insert(at);
        *known = at.max(*known);
        if self.by_suspect.len() > MAX_RECORDS
            && let Some(oldest) = self.by_suspect.iter().min_by_key(|(_, at)| **at)
        {
            let oldest = *oldest.0;
            self.by_suspect.remove(&oldest);
        }
    }

    pub(super) fn get(&self, suspect: Suspect) -> Option<Timestamp> {
        self.by_suspect.get(&suspect).copied()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (Suspect, Timestamp)> {
        self.by_suspect.iter().map(|(suspect, at)| (*suspect, *at))
    }

    /// Removes expired clearances.
    pub(super) fn tick(&mut self, now: Timestamp) {
        self.by_suspect.retain(|_, at| now.since(*at) < HOLD_TIME);
    }
}
