//! Requests that crash endpoints are refused once that is known, and no others are.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use laburnumstall_platform_standins::ExecutedRequest;
use laburnumstall_platform_standins::caller::Outcome;

use super::{View, tell};
use crate::plan::CrashCause;
use crate::world::{Episode, Record, Target};

/// Endpoints after whose crashes a request, and a part of prompts, is known to crash them.
const DECIDING_CRASH: usize = 3;
const DECIDING_CRASH_BY_PART: usize = 5;
/// Time after the deciding crash within which all connected daemons know of it.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Longest time from the start of such a request until its endpoint has crashed.
const CRASH_TIME: Duration = Duration::from_millis(100);
/// Maximum number of runs of such a request by connected daemons after that time.
const MAX_LATE_RUNS: usize = 3;

impl View<'_> {
    /// Connected daemons stop sending a request that is known to crash endpoints.
    pub(super) fn crashing_requests(&self) -> Vec<String> {
        let mut episodes: BTreeMap<Episode, Vec<&ExecutedRequest>> = BTreeMap::new();
        for record in self.records {
            if let Some(episode) = record.episode {
                let runs = self.runs.get(record.id.as_str()).into_iter().flatten();
                episodes.entry(episode).or_default().extend(runs);
            }
        }
        let broken = episodes.into_iter().filter_map(|(episode, mut runs)| {
            runs.sort_by_key(|run| run.at);
            let known_at = self.known_at(episode, &runs)?;
            let late: Vec<String> = runs
                .iter()
                .filter_map(|run| self.by_id.get(run.id.as_str()).copied())
                .filter(|record| record.sent_at > known_at && self.is_connected(record))
                .map(tell)
                .collect();
            (late.len() > MAX_LATE_RUNS).then(|| {
                format!(
                    "requests of {episode:?} that crash endpoints ran {} times later \
                     than {:.3} s, the first as {}",
                    late.len(),
                    known_at.as_secs_f64(),
                    late[0]
                )
            })
        });
        broken.collect()
    }

    /// Returns when all connected daemons know what crashes endpoints.
    fn known_at(&self, episode: Episode, runs: &[&ExecutedRequest]) -> Option<Duration> {
        let deciding_crash = match episode.cause {
            CrashCause::Request(_) => DECIDING_CRASH,
            CrashCause::Part => DECIDING_CRASH_BY_PART,
        };
        let mut endpoints = BTreeSet::new();
        let deciding = runs.iter().find(|run| {
            endpoints.insert(run.endpoint.as_str());
            endpoints.len() == deciding_crash
        })?;
        Some(self.world.time_of(deciding.at) + CRASH_TIME + CONTACT_TIME)
    }

    /// Tells whether a record's daemon and the key-value service were undisturbed for long enough.
    fn is_connected(&self, record: &Record) -> bool {
        !self.is_disturbed(record.sent_at, record.ended_at, |one| {
            one.on != Target::Daemon(record.daemon) && one.on != Target::Store
        })
    }

    /// Requests that crash nothing are not refused for it.
    pub(super) fn sound_requests(&self) -> Vec<String> {
        let refused = self
            .records
            .iter()
            .filter(|record| record.episode.is_none() && record.outcome == Outcome::Quarantined);
        refused
            .map(|record| format!("sound request {} was quarantined", tell(record)))
            .collect()
    }
}
