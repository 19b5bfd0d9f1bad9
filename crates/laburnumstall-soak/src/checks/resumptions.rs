//! Streams that callers take up again, also after all daemons were killed.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnumstall_platform_standins::caller::CallKind;

use super::{AFTERMATH, APPLY_TIME, View};
use crate::plan::Fault;
use crate::world::{Disturbance, Record, SERVICES, Target};

/// Streams taken up again from which on the share that goes on is judged.
const LEAST_RESUMED: usize = 12;

/// Streams taken up, and new ones, after restarts of all daemons.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RestartCounts {
    /// Streams that were taken up while two endpoints of their version served.
    pub(crate) taken_up: usize,
    /// Those of them that went on.
    pub(crate) went_on: usize,
    new: usize,
    begun: usize,
}

impl View<'_> {
    /// Streams that callers take up again go on at least half as often as new ones begin, while
    /// two endpoints of their software version serve.
    pub(super) fn resumed_streams(&self) -> Vec<String> {
        let streams = self.records.iter().filter(|record| {
            let is_in_touch = !self.is_disturbed(record.sent_at, record.ended_at, |one| {
                one.on != Target::Daemon(record.daemon)
            });
            let is_withdrawn = self.key(record).is_some_and(|key| key.withdrawn.is_some());
            let is_sound = record.episode.is_none();
            is_sound && record.kind == CallKind::Stream && is_in_touch && !is_withdrawn
        });
        let (mut new, mut begun) = (0, 0);
        let mut resumed: BTreeMap<&str, bool> = BTreeMap::new();
        for record in streams {
            match &record.received_before {
                None => {
                    new += 1;
                    begun += usize::from(record.received.is_some());
                }
                Some(before) if self.serving(record, &before.version) >= 2 => {
                    let goes_on = record.received != record.received_before;
                    *resumed.entry(&record.name).or_default() |= goes_on;
                }
                Some(_) => {}
            }
        }
        let gone_on = resumed.values().filter(|goes_on| **goes_on).count();
        let is_judged = resumed.len() >= LEAST_RESUMED;
        let is_broken = is_judged && gone_on * new * 2 < begun * resumed.len();
        let violation = format!(
            "{gone_on} of {} resumed streams went on, while {begun} of {new} new ones began",
            resumed.len()
        );
        is_broken.then_some(violation).into_iter().collect()
    }

    /// Returns how many endpoints of `version` serve without a fault during a request.
    fn serving(&self, record: &Record, version: &str) -> usize {
        let starts = self.world.endpoint_starts.borrow();
        let mut last_starts = BTreeMap::new();
        for start in starts.iter().filter(|start| start.at <= record.sent_at) {
            last_starts.insert(start.index, start);
        }
        let serving = last_starts.values().filter(|start| {
            SERVICES[start.index % SERVICES.len()] == record.service
                && start.version == version
                && start.at + APPLY_TIME <= record.sent_at
                && !self.is_disturbed(record.sent_at, record.ended_at, |one| {
                    one.is_silence || one.on != Target::Endpoint(start.index)
                })
        });
        serving.count()
    }

    /// Counts the streams of the times right after all daemons were killed in which nothing else
    /// disturbed daemons or the key-value service.
    pub(super) fn restart_counts(&self) -> RestartCounts {
        let mut counts = RestartCounts::default();
        let mut taken_up: BTreeMap<&str, bool> = BTreeMap::new();
        let kill_all = Fault::KillAll.to_string();
        for kill in self.disturbances.iter().filter(|one| one.name == kill_all) {
            for record in self.streams_after(kill) {
                match &record.received_before {
                    None => {
                        counts.new += 1;
                        counts.begun += usize::from(record.received.is_some());
                    }
                    Some(before) if self.serving(record, &before.version) >= 2 => {
                        let goes_on = record.received != record.received_before;
                        *taken_up.entry(&record.name).or_default() |= goes_on;
                    }
                    Some(_) => {}
                }
            }
        }
        counts.taken_up = taken_up.len();
        counts.went_on = taken_up.values().filter(|goes_on| **goes_on).count();
        counts
    }

    fn streams_after<'a>(&'a self, kill: &'a Disturbance) -> impl Iterator<Item = &'a Record> {
        let is_allowed = |one: &Disturbance| {
            one.name == kill.name || matches!(one.on, Target::Endpoint(_) | Target::Service(_))
        };
        let window = kill.from..kill.until.saturating_add(AFTERMATH);
        self.records.iter().filter(move |record| {
            let from = kill.from.saturating_sub(Duration::from_secs(1));
            let is_withdrawn = self.key(record).is_some_and(|key| key.withdrawn.is_some());
            record.kind == CallKind::Stream
                && record.episode.is_none()
                && window.contains(&record.sent_at)
                && !is_withdrawn
                && !self.is_disturbed(from, record.ended_at, is_allowed)
        })
    }

    /// Streams taken up after a restart of all daemons go on at least half as often as new ones
    /// begin, while two endpoints of their software version serve.
    pub(super) fn restarted_streams(&self) -> Vec<String> {
        let RestartCounts {
            taken_up,
            went_on,
            new,
            begun,
        } = self.restart_counts();
        let is_broken = taken_up >= LEAST_RESUMED && went_on * new * 2 < begun * taken_up;
        let violation = format!(
            "after restarts of all daemons {went_on} of {taken_up} streams went on, while {begun} \
             of {new} new ones began"
        );
        is_broken.then_some(violation).into_iter().collect()
    }
}
