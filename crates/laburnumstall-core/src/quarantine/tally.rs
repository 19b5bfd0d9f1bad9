//! Counts the crashes of endpoints by the request that was in flight.
//!
//! For request paths that keep no copy of a request and cannot order its retries: nothing is
//! agreed on before a request is sent. A request that was in flight at the crashes of
//! [`MIN_CRASHES`] endpoint processes, not all at the same moment, and has not run to completion
//! since the first of them, is quarantined. A sound request is in flight at one crash by chance, and is cleared as soon
//! as a copy of it runs to completion anywhere, while one that crashes endpoints never does.
//!
//! Crashes are counted by process, so reports may arrive repeatedly, in any order and from
//! any number of daemons.

use std::collections::HashMap;
use std::time::Duration;

use crate::domain_value;
use crate::ids::Fingerprint;
use crate::units::Timestamp;

/// Number of endpoint processes whose crashes quarantine a request.
pub const MIN_CRASHES: usize = 3;
/// Time for which a crash counts against a request.
pub const CRASH_TTL: Duration = Duration::from_secs(600);
/// Time for which a request is quarantined: the longest lease of the key-value services that
/// daemons use.
pub const HOLD_TIME: Duration = Duration::from_secs(600);
/// Time after a quarantine in which a single crash quarantines the request again.
const PROBATION: Duration = Duration::from_secs(24 * 3600);
/// Maximum number of requests with records.
pub const MAX_RECORDS: usize = 4_096;
/// Maximum number of crashes recorded for a request.
const MAX_CRASHES: usize = 32;
/// Time within which crashes of several processes have one cause and count as one: copies of a
/// sound request may be in flight on all of them.
pub const SAME_CAUSE: Duration = Duration::from_millis(20);
/// Time after a completion in which a crash does not count against the request: other copies
/// of a sound request may be in flight on several endpoints that crash together.
pub const SOUND_TIME: Duration = Duration::from_secs(2);
/// Maximum number of recent completions.
const MAX_COMPLETIONS: usize = 65_536;

domain_value! {
    /// Hash of an endpoint's identifier and the start of its process.
    pub struct ProcessKey(pub u64);

    /// Crash of an endpoint process while a request was in flight.
    pub struct CountedCrash {
        /// The process.
        pub process: ProcessKey,
        /// When the crash was noticed.
        pub at: Timestamp,
    }
}

/// Records of one request.
#[derive(Debug, Clone, Default)]
struct SuspectRecord {
    crashes: Vec<CountedCrash>,
    /// End of the last quarantine.
    held_until: Option<Timestamp>,
    /// When a copy of the request last ran to completion after a crash.
    completed_at: Option<Timestamp>,
    updated_at: Timestamp,
}

/// Crashes and quarantines by request, up to [`MAX_RECORDS`] requests.
#[derive(Debug, Clone, Default)]
pub struct CrashTally {
    records: HashMap<Fingerprint, SuspectRecord>,
    /// When requests last ran to completion at this daemon, for [`SOUND_TIME`].
    completions: HashMap<Fingerprint, Timestamp>,
}

impl CrashTally {
    /// Records that a copy of a request ran to completion at this daemon; returns whether there
    /// are records that this clears, see [`CrashTally::on_cleared`].
    pub fn on_completed(&mut self, now: Timestamp, request: Fingerprint) -> bool {
        if self.completions.len() < MAX_COMPLETIONS {
            self.completions.insert(request, now);
        }
        self.records
            .get(&request)
            .is_some_and(|record| !record.crashes.is_empty() || record.held_until.is_some())
    }

    /// Returns whether a copy of a request has just run to completion at this daemon.
    pub fn is_sound(&self, now: Timestamp, request: Fingerprint) -> bool {
        self.completions
            .get(&request)
            .is_some_and(|at| now.since(*at) < SOUND_TIME)
    }

    /// Returns when the quarantine of a request ends, if it is quarantined now.
    pub fn held_until(&self, now: Timestamp, request: Fingerprint) -> Option<Timestamp> {
        let until = self.records.get(&request)?.held_until;
        until.filter(|until| now < *until)
    }

    /// Counts a crash against a request; returns the end of its quarantine if the crash decides
    /// that.
    pub fn on_crash(
        &mut self,
        now: Timestamp,
        request: Fingerprint,
        crash: CountedCrash,
    ) -> Option<Timestamp> {
        if now.since(crash.at) >= CRASH_TTL {
            return None;
        }
        let record = self.record(now, request);
        if record.completed_at.is_some_and(|at| crash.at <= at) {
            return None;
        }
        let is_known = |known: &CountedCrash| known.process == crash.process;
        if record.crashes.iter().any(is_known) || record.crashes.len() >= MAX_CRASHES {
            return None;
        }
        record.crashes.push(crash);
        let min_crashes = match record.held_until {
            Some(until) if now < until => return None,
            Some(until) if now.since(until) < PROBATION => 1,
            _ => MIN_CRASHES,
        };
        if record.separate_crashes() < min_crashes {
            return None;
        }
        record.held_until = Some(now.after(HOLD_TIME));
        record.held_until
    }

    /// Applies a quarantine that another daemon decided; returns whether it is new.
    pub fn on_held(&mut self, now: Timestamp, request: Fingerprint, until: Timestamp) -> bool {
        let until = until.min(now.after(HOLD_TIME));
        if until <= now {
            return false;
        }
        let record = self.record(now, request);
        let known = record.held_until.replace(until);
        known.is_none_or(|known| known <= now)
    }

    /// Clears a request of which a copy ran to completion at `at`; returns whether the request
    /// was quarantined.
    pub fn on_cleared(&mut self, now: Timestamp, request: Fingerprint, at: Timestamp) -> bool {
        let Some(record) = self.records.get_mut(&request) else {
            return false;
        };
        record.completed_at = record.completed_at.max(Some(at));
        record.crashes.retain(|crash| crash.at > at);
        let held_until = record.held_until.take();
        held_until.is_some_and(|until| now < until)
    }

    /// Ends the quarantine of a request, and forgets its crashes; returns whether it was
    /// quarantined.
    pub fn release(&mut self, now: Timestamp, request: Fingerprint) -> bool {
        let was_held = self.held_until(now, request).is_some();
        if was_held {
            self.records.remove(&request);
        }
        was_held
    }

    /// Returns the requests with crashes that count against them.
    pub fn suspects(&self) -> impl Iterator<Item = (Fingerprint, &[CountedCrash])> {
        let suspects = self.records.iter();
        suspects
            .filter(|(_, record)| !record.crashes.is_empty())
            .map(|(request, record)| (*request, record.crashes.as_slice()))
    }

    /// Returns the requests that are quarantined now, with the end of each quarantine.
    pub fn held(&self, now: Timestamp) -> impl Iterator<Item = (Fingerprint, Timestamp)> {
        let held = self.records.iter();
        held.filter_map(|(request, record)| Some((*request, record.held_until?)))
            .filter(move |(_, until)| now < *until)
    }

    /// Removes expired records.
    pub fn tick(&mut self, now: Timestamp) {
        self.completions.retain(|_, at| now.since(*at) < SOUND_TIME);
        self.records.retain(|_, record| {
            record
                .crashes
                .retain(|crash| now.since(crash.at) < CRASH_TTL);
            let is_on_probation = record
                .held_until
                .is_some_and(|until| now.since(until) < PROBATION);
            let is_recent = now.since(record.updated_at) < CRASH_TTL;
            !record.crashes.is_empty() || is_on_probation || is_recent
        });
    }

    /// Returns the number of requests with records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the records of a request; evicts those that show the least if there are too many.
    fn record(&mut self, now: Timestamp, request: Fingerprint) -> &mut SuspectRecord {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&request) {
            let weakest = self.records.iter().min_by_key(|(_, record)| {
                let is_held = record.held_until.is_some_and(|until| now < until);
                (is_held, record.crashes.len(), record.updated_at)
            });
            if let Some(weakest) = weakest.map(|(request, _)| *request) {
                self.records.remove(&weakest);
            }
        }
        let record = self.records.entry(request).or_default();
        record.updated_at = now;
        record
    }
}

impl SuspectRecord {
    /// Returns the number of crashes, of which those at the same moment count as one.
    fn separate_crashes(&self) -> usize {
        let mut times: Vec<Timestamp> = self.crashes.iter().map(|crash| crash.at).collect();
        times.sort_unstable();
        let mut last = None;
        times.retain(|at| {
            let is_separate = last.is_none_or(|last| at.since(last) >= SAME_CAUSE);
            if is_separate {
                last = Some(*at);
            }
            is_separate
        });
        times.len()
    }
}
