//! Crashes that count against one suspect.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::hold::HoldBasis;
use super::suspect::{CountedCrash, NamedRequests, ProcessKey, Suspect, SuspectNote};
use crate::ids::Fingerprint;
use crate::units::Timestamp;

/// Number of separate crashes that quarantine a suspect.
pub const MIN_CRASHES: usize = 3;
/// The same for a part that was in a completed request within [`super::COMPLETION_TTL`].
pub const MIN_CRASHES_OF_KNOWN: usize = 5;
/// Time within which crashes of several processes may have one cause: copies of a sound request
/// may be in flight on all of them. They count as one, unless the attempt at the later one began
/// after the earlier one.
pub const SAME_CAUSE: Duration = Duration::from_millis(8);

/// Maximum number of crashes recorded for a suspect.
const MAX_CRASHES: usize = 32;

/// Crash that counts against a suspect.
#[derive(Debug, Clone, Copy)]
pub(super) struct RecordedCrash {
    pub(super) crash: CountedCrash,
    /// Requests that were in flight.
    pub(super) requests: NamedRequests,
    pub(super) ran_ms: u32,
}

/// Crashes that count against a suspect.
#[derive(Debug, Clone, Default)]
pub(super) struct SuspectRecord {
    pub(super) crashes: Vec<RecordedCrash>,
    pub(super) depth: u8,
    /// When a request with the suspect last ran to completion, as far as that is known.
    pub(super) completed_at: Option<Timestamp>,
    pub(super) updated_at: Timestamp,
}

impl SuspectRecord {
    /// Adds a crash, or what another daemon had in flight at a known one; returns whether there is
    /// anything new.
    pub(super) fn add(&mut self, crash: CountedCrash, note: SuspectNote) -> bool {
        let mut crashes = self.crashes.iter_mut();
        if let Some(known) = crashes.find(|known| known.crash.process == crash.process) {
            let named = note.requests.iter();
            return named
                .filter(|request| known.requests.insert(*request))
                .count()
                > 0;
        }
        let has_room = self.crashes.len() < MAX_CRASHES;
        if has_room {
            self.crashes.push(RecordedCrash {
                crash,
                requests: note.requests,
                ran_ms: note.ran_ms,
            });
        }
        has_room
    }

    pub(super) fn includes(&self, crash: &RecordedCrash) -> bool {
        let process = crash.crash.process;
        self.crashes
            .iter()
            .any(|known| known.crash.process == process)
    }

    pub(super) fn is_within(&self, processes: &[ProcessKey]) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.all(|known| processes.contains(&known.crash.process))
    }

    /// Returns the number of separate crashes that quarantine the suspect.
    pub(super) fn min_crashes(&self, suspect: Suspect) -> usize {
        match (suspect, self.completed_at) {
            (Suspect::Part(_), Some(_)) => MIN_CRASHES_OF_KNOWN,
            _ => MIN_CRASHES,
        }
    }

    /// Returns the number of crashes, of which those at the same moment count as one; of a part
    /// the most of them that different requests can be assigned to.
    pub(super) fn separate_crashes(&self, suspect: Suspect) -> usize {
        self.separate_crashes_since(suspect, Timestamp::ZERO)
    }

    /// Returns the basis of a quarantine that `min` separate crashes are enough for. Of a suspect
    /// that was found by those of another, all crashes are.
    pub(super) fn basis(&self, suspect: Suspect, min: usize) -> HoldBasis {
        let times = self.crashes.iter().map(|known| known.crash.at);
        let is_enough = |at: &Timestamp| self.separate_crashes_since(suspect, *at) >= min;
        let since = times.clone().filter(is_enough).max().or(times.min());
        HoldBasis {
            since: since.unwrap_or_default(),
            crashes: u32::try_from(self.crashes.len()).unwrap_or(u32::MAX),
        }
    }

    fn separate_crashes_since(&self, suspect: Suspect, since: Timestamp) -> usize {
        let crashes = self.crashes.iter();
        let mut crashes: Vec<_> = crashes.filter(|known| known.crash.at >= since).collect();
        crashes.sort_unstable_by_key(|known| known.crash.at);
        let mut last: Option<Timestamp> = None;
        let mut assigned = BTreeMap::new();
        let mut count = 0;
        for (index, known) in crashes.iter().enumerate() {
            let at = known.crash.at;
            let began_at = at.before(Duration::from_millis(known.ran_ms.into()));
            let is_same_cause =
                last.is_some_and(|last| at.since(last) < SAME_CAUSE && began_at < last);
            if is_same_cause {
                continue;
            }
            let counts = match suspect {
                Suspect::Request(_) => true,
                Suspect::Part(_) => assign(&crashes, index, &mut assigned, &mut BTreeSet::new()),
            };
            if counts {
                last = Some(at);
                count += 1;
            }
        }
        count
    }
}

/// Assigns a request to a crash, moving others to further requests of theirs if need be;
/// returns whether there is one.
fn assign(
    crashes: &[&RecordedCrash],
    index: usize,
    assigned: &mut BTreeMap<Fingerprint, usize>,
    tried: &mut BTreeSet<Fingerprint>,
) -> bool {
    crashes[index].requests.iter().any(|request| {
        if !tried.insert(request) {
            return false;
        }
        let is_free = match assigned.get(&request).copied() {
            Some(other) => assign(crashes, other, assigned, tried),
            None => true,
        };
        if is_free {
            assigned.insert(request, index);
        }
        is_free
    })
}
