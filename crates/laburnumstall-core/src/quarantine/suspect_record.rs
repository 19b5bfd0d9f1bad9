//! Crashes that count against one suspect.

use std::collections::BTreeSet;
use std::time::Duration;

use super::suspect::{CountedCrash, ProcessKey, Suspect};
use crate::ids::Fingerprint;
use crate::units::Timestamp;

/// Number of separate crashes that quarantine a suspect.
pub const MIN_CRASHES: usize = 3;
/// The same for a part that was in a completed request within [`COMPLETION_TTL`].
pub const MIN_CRASHES_OF_KNOWN: usize = 5;
/// Time within which crashes of several processes may have one cause: copies of a sound request
/// may be in flight on all of them. They count as one, unless the attempt at the later one began
/// after the earlier one.
pub const SAME_CAUSE: Duration = Duration::from_millis(8);

/// Crash that counts against a suspect.
#[derive(Debug, Clone, Copy)]
pub(super) struct RecordedCrash {
    pub(super) crash: CountedCrash,
    /// Request that was in flight.
    pub(super) request: Fingerprint,
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

    /// Returns the number of crashes, of which those at the same moment count as one, and of
    /// a part those with the same request.
    pub(super) fn separate_crashes(&self, suspect: Suspect) -> usize {
        let mut crashes: Vec<_> = self.crashes.iter().collect();
        crashes.sort_unstable_by_key(|known| known.crash.at);
        let mut last: Option<Timestamp> = None;
        let mut requests = BTreeSet::new();
        let mut count = 0;
        for known in crashes {
            let at = known.crash.at;
            let began_at = at.before(Duration::from_millis(known.ran_ms.into()));
            let is_same_cause =
                last.is_some_and(|last| at.since(last) < SAME_CAUSE && began_at < last);
            let is_repeat =
                matches!(suspect, Suspect::Part(_)) && requests.contains(&known.request);
            if !is_same_cause && !is_repeat {
                requests.insert(known.request);
                last = Some(at);
                count += 1;
            }
        }
        count
    }
}
