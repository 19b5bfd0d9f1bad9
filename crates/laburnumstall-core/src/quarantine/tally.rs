//! Counts the crashes of endpoints by what was in flight: requests, and the shared parts of
//! their prompts.
//!
//! For request paths that keep no copy of a request and cannot order its retries: nothing is
//! agreed on before a request is sent. A suspect that was in flight at several separate crashes,
//! and has not been in a request that ran to completion since the first of them, is
//! quarantined. A sound one is in flight at a crash by chance, and is cleared as soon as a
//! request with it completes anywhere, while one that crashes endpoints never does.
//!
//! Sound requests are in flight beside the one that crashes endpoints, and a retry may be so
//! several times in a row. So a suspect is not quarantined while a likelier one was in flight at
//! all of its crashes, see `dominant`. A request that was in flight at several crashes
//! waits before it is sent again, see [`CrashTally::settles_at`].
//!
//! Repeats of one request count once against the parts of its prompt: as many crashes count as
//! different requests can be assigned to, of those that each crash names. Parts are in flight
//! together: the quarantine of one explains the crashes that led to it, and they no longer
//! count against requests, nor against earlier parts, which more prompts have.
//!
//! Crashes are counted by process, so reports may arrive repeatedly, in any order and from
//! any number of daemons.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use super::clearances::Clearances;
use super::hold::{HOLD_TIME, Hold, HoldBasis, hold_time};
use super::suspect::{CountedCrash, ProcessKey, Suspect, SuspectNote};
use super::suspect_record::{MIN_CRASHES, MIN_CRASHES_OF_KNOWN, SuspectRecord};
use crate::ids::Fingerprint;
use crate::units::Timestamp;

/// Time for which a crash counts against a suspect.
pub const CRASH_TTL: Duration = Duration::from_secs(600);
/// Time after a quarantine in which a single crash quarantines the suspect again.
const PROBATION: Duration = Duration::from_secs(24 * 3600);
/// Time after a completion in which a crash does not count against a request: other copies of
/// it may be in flight on several endpoints that crash together.
pub const SOUND_TIME: Duration = Duration::from_secs(2);
/// Time for which the completion of a request with a part shows that the part is sound.
pub const COMPLETION_TTL: Duration = Duration::from_secs(600);
/// Time from its start after which a daemon that has seen no request with a part complete takes the
/// part for one that is not known.
const OBSERVATION_TIME: Duration = Duration::from_secs(30);
/// Interval at which old completions are removed.
const COMPLETION_SCAN_INTERVAL: Duration = Duration::from_secs(10);
/// Shortest time after the latest of several crashes in which a request is not sent again: others
/// that were in flight may be found to be the cause, and their copies crash endpoints meanwhile.
const MIN_SETTLE_TIME: Duration = Duration::from_millis(200);
/// Range of what is added to it, which differs by request so that suspects do not meet again.
const SETTLE_SPREAD_MS: u64 = 600;
/// Maximum number of suspects with crashes, and of quarantined ones.
pub const MAX_RECORDS: usize = 4_096;
/// Maximum number of completions.
const MAX_COMPLETIONS: usize = 65_536;

#[derive(Debug, Clone, Copy)]
struct Explanation {
    by: Suspect,
    depth: u8,
    at: Timestamp,
}

/// Crashes and quarantines by suspect, up to [`MAX_RECORDS`] of each.
#[derive(Debug, Clone, Default)]
pub struct CrashTally {
    records: HashMap<Suspect, SuspectRecord>,
    holds: HashMap<Suspect, Hold>,
    /// Processes whose crashes are explained by a quarantined suspect.
    explained: HashMap<ProcessKey, Explanation>,
    /// When requests with a suspect last ran to completion at this daemon.
    completions: HashMap<Suspect, Timestamp>,
    clearances: Clearances,
    started_at: Timestamp,
    scanned_at: Timestamp,
}

impl CrashTally {
    /// Records when the daemon started.
    pub fn on_started(&mut self, now: Timestamp) {
        self.started_at = now;
    }

    /// Returns whether anything may be quarantined now.
    pub fn has_holds(&self) -> bool {
        !self.holds.is_empty()
    }

    /// Returns when the quarantine of a suspect ends, if it is quarantined now.
    pub fn held_until(&self, now: Timestamp, suspect: Suspect) -> Option<Timestamp> {
        let hold = self.holds.get(&suspect)?;
        (now < hold.until).then_some(hold.until)
    }

    /// Records that a request with a suspect ran to completion at this daemon; returns whether
    /// there are records that this clears, see [`CrashTally::on_cleared`].
    pub fn on_completed(&mut self, now: Timestamp, suspect: Suspect) -> bool {
        let is_full = self.completions.len() >= MAX_COMPLETIONS;
        if !is_full || self.completions.contains_key(&suspect) {
            self.completions.insert(suspect, now);
        }
        let has_crashes = self
            .records
            .get(&suspect)
            .is_some_and(|record| !record.crashes.is_empty());
        has_crashes || self.holds.contains_key(&suspect)
    }

    /// Returns when a request with a suspect last ran to completion at this daemon, if that
    /// still shows that it is sound.
    pub fn completed_at(&self, now: Timestamp, suspect: Suspect) -> Option<Timestamp> {
        let at = *self.completions.get(&suspect)?;
        (now.since(at) < completion_ttl(suspect)).then_some(at)
    }

    /// Returns when a request that was in flight at several crashes may be sent again.
    pub fn settles_at(&self, request: Fingerprint) -> Option<Timestamp> {
        let crashes = &self.records.get(&Suspect::Request(request))?.crashes;
        let last = crashes.iter().map(|known| known.crash.at).max()?;
        let spread = Duration::from_millis(request.0 % SETTLE_SPREAD_MS);
        (crashes.len() + 1 >= MIN_CRASHES).then(|| last.after(MIN_SETTLE_TIME + spread))
    }

    /// Counts a crash against a suspect; returns the suspect that the crash quarantines, with the
    /// end of the quarantine. [`CrashTally::explain`] must follow.
    pub fn on_crash(
        &mut self,
        now: Timestamp,
        note: SuspectNote,
        crash: CountedCrash,
    ) -> Option<(Suspect, Timestamp)> {
        let suspect = note.suspect;
        let is_explained = self.explained.get(&crash.process).is_some_and(|known| {
            let is_request = matches!(suspect, Suspect::Request(_));
            known.by != suspect && (is_request || known.depth <= note.depth)
        });
        if is_explained || now.since(crash.at) >= CRASH_TTL {
            return None;
        }
        let own_completion = self.completed_at(now, suspect);
        if matches!(suspect, Suspect::Request(_)) && own_completion.is_some() {
            return None;
        }
        let clearance = self.clearances.get(suspect);
        let is_new = now.since(self.started_at) < OBSERVATION_TIME;
        let hold = self.holds.get(&suspect).copied();
        let record = self.record(now, note);
        if note.has_completed {
            record.completed_at = record.completed_at.max(Some(Timestamp::ZERO));
        }
        record.completed_at = record.completed_at.max(own_completion).max(clearance);
        if record.completed_at.is_some_and(|at| crash.at <= at) {
            return None;
        }
        if !record.add(crash, note) {
            return None;
        }
        let min_crashes = match hold {
            Some(hold) if now < hold.until => return None,
            Some(hold) if now.since(hold.until) < PROBATION => 1,
            _ if is_new && matches!(suspect, Suspect::Part(_)) => MIN_CRASHES_OF_KNOWN,
            _ => record.min_crashes(suspect),
        };
        let suspect = if record.separate_crashes(suspect) >= min_crashes {
            self.dominant(suspect)
        } else if self.dominates_held(now, suspect, crash) {
            suspect
        } else {
            return None;
        };
        let hold = self.holds.get(&suspect).copied();
        if hold.is_some_and(|hold| now < hold.until) {
            return None;
        }
        let basis = self.records.get(&suspect)?.basis(suspect, min_crashes);
        let count = hold.map_or(0, |hold| hold.count) + 1;
        let until = now.after(hold_time(suspect, count));
        self.set_hold(
            suspect,
            Hold {
                basis,
                until,
                count,
            },
        );
        Some((suspect, until))
    }

    /// Returns whether a suspect is more likely the cause of a crash than one that is quarantined for
    /// it: the reports of daemons about one crash arrive one after another.
    fn dominates_held(&self, now: Timestamp, suspect: Suspect, crash: CountedCrash) -> bool {
        let crashes = self
            .records
            .get(&suspect)
            .map_or(0, |known| known.crashes.len());
        if crashes < MIN_CRASHES {
            return false;
        }
        let held = self.held(now).map(|(held, _)| held);
        let mut held = held.filter(|held| {
            let crashes = self
                .records
                .get(held)
                .map_or(&[][..], |known| &known.crashes);
            let mut processes = crashes.iter().map(|known| known.crash.process);
            processes.any(|process| process == crash.process)
        });
        held.any(|held| self.dominant(held) == suspect)
    }

    /// Returns the suspect that was in flight at all crashes of `suspect` and is more likely the
    /// cause, or `suspect` itself: one of its kind with more crashes, a later part with as many,
    /// or, for a part, a request that was sent that often.
    fn dominant(&self, suspect: Suspect) -> Suspect {
        let Some(record) = self.records.get(&suspect) else {
            return suspect;
        };
        let crashes = record.crashes.len();
        let is_dominant = |(other, known): &(&Suspect, &SuspectRecord)| {
            let is_likelier = match (suspect, other) {
                (Suspect::Part(_), Suspect::Request(_)) => true,
                (Suspect::Request(_), Suspect::Part(_)) => false,
                _ => {
                    let is_later = known.depth < record.depth;
                    known.depth <= record.depth && (known.crashes.len() > crashes || is_later)
                }
            };
            is_likelier
                && known.crashes.len() >= crashes.max(MIN_CRASHES)
                && record.crashes.iter().all(|own| known.includes(own))
        };
        let others = self.records.iter().filter(is_dominant);
        others
            .max_by_key(|(other, known)| {
                let is_request = matches!(other, Suspect::Request(_));
                (
                    is_request,
                    known.crashes.len(),
                    Reverse(known.depth),
                    **other,
                )
            })
            .map_or(suspect, |(other, _)| *other)
    }

    /// Applies a quarantine that another daemon decided; returns whether it is new.
    pub fn on_held(
        &mut self,
        now: Timestamp,
        suspect: Suspect,
        basis: HoldBasis,
        until: Timestamp,
    ) -> bool {
        let until = until.min(now.after(HOLD_TIME));
        if until <= now {
            return false;
        }
        let known = self.holds.get(&suspect).copied();
        let is_new = known.is_none_or(|known| known.until <= now);
        let count = known.map_or(0, |known| known.count) + u32::from(is_new);
        let known_basis = known.map(|known| known.basis);
        let basis = known_basis.map_or(basis, |known| known.max(basis));
        self.set_hold(
            suspect,
            Hold {
                basis,
                until,
                count,
            },
        );
        is_new
    }

    /// Attributes the crashes of processes to a quarantined suspect: those of a part no longer count
    /// against requests, nor against parts that are not later; those of a request not against
    /// requests that were in flight at some of them and no others. Returns those whose quarantine is
    /// based on nothing else, which ends.
    pub fn explain(
        &mut self,
        now: Timestamp,
        by: Suspect,
        depth: u8,
        processes: &[ProcessKey],
    ) -> Vec<Suspect> {
        if matches!(by, Suspect::Part(_)) {
            let explanation = Explanation { by, depth, at: now };
            self.explained
                .extend(processes.iter().map(|process| (*process, explanation)));
        }
        let mut released = Vec::new();
        for (suspect, record) in &mut self.records {
            let is_explained = match (by, suspect) {
                (Suspect::Part(_), Suspect::Request(_)) => true,
                (Suspect::Part(_), Suspect::Part(_)) => record.depth >= depth,
                (Suspect::Request(_), Suspect::Request(_)) => {
                    record.crashes.len() < processes.len() && record.is_within(processes)
                }
                (Suspect::Request(_), Suspect::Part(_)) => false,
            };
            if *suspect == by || !is_explained || record.crashes.is_empty() {
                continue;
            }
            record
                .crashes
                .retain(|known| !processes.contains(&known.crash.process));
            if record.crashes.is_empty() && self.holds.contains_key(suspect) {
                released.push(*suspect);
            }
        }
        released.retain(|suspect| {
            let hold = self.holds.remove(suspect);
            hold.is_some_and(|hold| now < hold.until)
        });
        for suspect in &released {
            self.clearances.insert(*suspect, now);
        }
        released
    }

    /// Clears a suspect that was in a request that ran to completion at `at`; returns whether
    /// that ends a quarantine.
    pub fn on_cleared(&mut self, now: Timestamp, suspect: Suspect, at: Timestamp) -> bool {
        let mut is_recorded = false;
        if let Some(record) = self.records.get_mut(&suspect) {
            is_recorded = true;
            record.completed_at = record.completed_at.max(Some(at));
            record.crashes.retain(|known| known.crash.at > at);
            let min_crashes = record.min_crashes(suspect);
            if record.separate_crashes(suspect) >= min_crashes {
                if let Some(hold) = self.holds.get_mut(&suspect) {
                    hold.basis = record.basis(suspect, min_crashes);
                }
                return false;
            }
        }
        let hold = self.holds.get(&suspect);
        if hold.is_some_and(|hold| !hold.basis.is_refuted_by(suspect, at)) {
            return false;
        }
        let hold = self.holds.remove(&suspect);
        let ends_quarantine = hold.is_some_and(|hold| now < hold.until);
        if ends_quarantine || !is_recorded {
            self.clearances.insert(suspect, at);
        }
        ends_quarantine
    }

    /// Returns when a suspect was last cleared, at any daemon.
    pub fn cleared_at(&self, suspect: Suspect) -> Option<Timestamp> {
        let record = self.records.get(&suspect);
        let completed_at = record.and_then(|record| record.completed_at);
        let clearance = self.clearances.get(suspect);
        completed_at
            .filter(|at| *at != Timestamp::ZERO)
            .max(clearance)
    }

    /// Returns the latest clearances that ended quarantines.
    pub fn clearances(&self) -> impl Iterator<Item = (Suspect, Timestamp)> {
        self.clearances.iter()
    }

    /// Ends the quarantine of a suspect, and forgets its crashes; returns whether it was
    /// quarantined.
    pub fn release(&mut self, now: Timestamp, suspect: Suspect) -> bool {
        let was_held = self.held_until(now, suspect).is_some();
        if was_held {
            self.holds.remove(&suspect);
            self.records.remove(&suspect);
            self.clearances.insert(suspect, now);
        }
        was_held
    }

    /// Returns what the quarantine of a suspect is based on.
    pub fn hold_basis(&self, suspect: Suspect) -> Option<HoldBasis> {
        self.holds.get(&suspect).map(|hold| hold.basis)
    }

    /// Returns the crashes that count against a suspect, and its depth.
    pub fn crashes(&self, suspect: Suspect) -> (Vec<ProcessKey>, u8) {
        let Some(record) = self.records.get(&suspect) else {
            return (Vec::new(), 0);
        };
        let processes = record.crashes.iter().map(|known| known.crash.process);
        (processes.collect(), record.depth)
    }

    /// Returns the crashes that count against suspects.
    pub fn suspects(&self) -> impl Iterator<Item = (SuspectNote, CountedCrash)> {
        self.records.iter().flat_map(|(suspect, record)| {
            record.crashes.iter().map(|known| {
                let note = SuspectNote {
                    suspect: *suspect,
                    requests: known.requests,
                    ran_ms: known.ran_ms,
                    depth: record.depth,
                    has_completed: record.completed_at.is_some(),
                };
                (note, known.crash)
            })
        })
    }

    /// Returns the suspects that are quarantined now, with the end of each quarantine.
    pub fn held(&self, now: Timestamp) -> impl Iterator<Item = (Suspect, Timestamp)> {
        let holds = self.holds.iter();
        holds
            .filter(move |(_, hold)| now < hold.until)
            .map(|(suspect, hold)| (*suspect, hold.until))
    }

    /// Removes expired records.
    pub fn tick(&mut self, now: Timestamp) {
        if now.since(self.scanned_at) >= COMPLETION_SCAN_INTERVAL {
            self.scanned_at = now;
            self.completions
                .retain(|suspect, at| now.since(*at) < completion_ttl(*suspect));
        }
        self.records.retain(|_, record| {
            record
                .crashes
                .retain(|known| now.since(known.crash.at) < CRASH_TTL);
            !record.crashes.is_empty() || now.since(record.updated_at) < CRASH_TTL
        });
        self.holds
            .retain(|_, hold| now.since(hold.until) < PROBATION);
        self.explained
            .retain(|_, known| now.since(known.at) < CRASH_TTL);
        self.clearances.tick(now);
    }

    /// Returns the number of suspects with records of crashes.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records of crashes.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn set_hold(&mut self, suspect: Suspect, hold: Hold) {
        self.holds.insert(suspect, hold);
        if self.holds.len() > MAX_RECORDS
            && let Some(first) = self.holds.iter().min_by_key(|(_, hold)| hold.until)
        {
            let first = *first.0;
            self.holds.remove(&first);
        }
    }

    /// Returns the record of a suspect; evicts the one that shows the least if there are too
    /// many.
    fn record(&mut self, now: Timestamp, note: SuspectNote) -> &mut SuspectRecord {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&note.suspect) {
            let weakest = self
                .records
                .iter()
                .min_by_key(|(_, record)| (record.crashes.len(), record.updated_at));
            if let Some(weakest) = weakest.map(|(suspect, _)| *suspect) {
                self.records.remove(&weakest);
            }
        }
        let record = self
            .records
            .entry(note.suspect)
            .or_insert_with(|| SuspectRecord {
                depth: note.depth,
                ..SuspectRecord::default()
            });
        record.depth = record.depth.min(note.depth);
        record.updated_at = now;
        record
    }
}

fn completion_ttl(suspect: Suspect) -> Duration {
    match suspect {
        Suspect::Request(_) => SOUND_TIME,
        Suspect::Part(_) => COMPLETION_TTL,
    }
}
