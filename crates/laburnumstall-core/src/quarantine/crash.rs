//! Groups crash reports into crashes, and derives from them who is suspect or convicted.
//!
//! Everything here is a function of the set of reports, whatever the order in which they
//! came, so that all daemons with the same reports reach the same verdicts.

use std::collections::{BTreeMap, BTreeSet};

use super::{RECLAIM_WINDOW, SAME_CRASH, WAVE_OTHERS, WAVE_WINDOW};
use crate::ids::{DaemonId, EndpointId, Fingerprint};
use crate::units::Timestamp;

/// Reports by endpoint, time and daemon, with the requests in flight.
pub(super) type Reports = BTreeMap<(EndpointId, Timestamp, DaemonId), BTreeSet<Fingerprint>>;
/// Requests with the time of a verdict.
pub(super) type Dated = BTreeMap<Fingerprint, Timestamp>;

/// What the crashes say of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Standing {
    /// Suspect since its latest crash, until another is convicted of its crashes.
    Suspect { since: Timestamp, until: Timestamp },
    /// Convicted from the time given on.
    Convicted { from: Timestamp },
}

/// One crash of one endpoint, as all daemons together saw it.
pub(super) struct Crash {
    endpoint: EndpointId,
    /// Earliest notice.
    at: Timestamp,
    from: BTreeSet<DaemonId>,
    in_flight: BTreeSet<Fingerprint>,
    /// Requests against which the crash counts.
    counted: BTreeSet<Fingerprint>,
    /// When a request was convicted of the crash, which clears the others.
    explained_at: Option<Timestamp>,
}

/// Groups reports of one endpoint that are close in time and from different daemons;
/// returns the crashes in the order of time.
pub(super) fn group(
    reports: &Reports,
    cleared: &Dated,
    reclaims: &BTreeMap<EndpointId, Timestamp>,
) -> Vec<Crash> {
    let mut crashes: Vec<Crash> = Vec::new();
    for ((endpoint, at, from), in_flight) in reports {
        let is_current = |f: &&Fingerprint| cleared.get(*f).is_none_or(|until| until < at);
        let current = in_flight.iter().filter(is_current).copied();
        match crashes.last_mut() {
            Some(crash) if crash.includes(endpoint, *at, from) => {
                crash.from.insert(from.clone());
                crash.in_flight.extend(in_flight);
                crash.counted.extend(current);
            }
            _ => crashes.push(Crash {
                endpoint: endpoint.clone(),
                at: *at,
                from: BTreeSet::from([from.clone()]),
                in_flight: in_flight.clone(),
                counted: current.collect(),
                explained_at: None,
            }),
        }
    }
    crashes.sort_by(|a, b| (a.at, &a.endpoint).cmp(&(b.at, &b.endpoint)));
    drop_reclaims(&mut crashes, reclaims);
    crashes
}

/// Takes out of each crash the requests against which it does not count, because the
/// endpoint or several others at that time were reclaimed.
fn drop_reclaims(crashes: &mut [Crash], reclaims: &BTreeMap<EndpointId, Timestamp>) {
    for index in 0..crashes.len() {
        let crash = &crashes[index];
        let is_reclaim = reclaims
            .get(&crash.endpoint)
            .is_some_and(|at| apart(*at, crash.at) < RECLAIM_WINDOW);
        let near = near(crashes, index);
        let mut counted = crash.counted.clone();
        counted.retain(|f| {
            let (with, without): (Vec<&Crash>, Vec<&Crash>) =
                near.iter().partition(|other| other.in_flight.contains(f));
            // A wave takes more endpoints without the request than with it.
            let least = WAVE_OTHERS.max(endpoints(&with) + 2);
            !is_reclaim && endpoints(&without) < least
        });
        crashes[index].counted = counted;
    }
}

fn endpoints(crashes: &[&Crash]) -> usize {
    let endpoints: BTreeSet<&EndpointId> = crashes.iter().map(|crash| &crash.endpoint).collect();
    endpoints.len()
}

/// Returns the crashes of other endpoints at nearly the same time.
fn near(crashes: &[Crash], index: usize) -> Vec<&Crash> {
    let crash = &crashes[index];
    let is_close = |other: &&Crash| apart(crash.at, other.at) < WAVE_WINDOW;
    let before = crashes[..index].iter().rev().take_while(is_close);
    let after = crashes[index + 1..].iter().take_while(is_close);
    before
        .chain(after)
        .filter(|other| other.endpoint != crash.endpoint)
        .collect()
}

/// Derives the standing of every request that was in flight at a crash that counts.
///
/// A crash convicts a request if it is the only one there with an earlier crash that no
/// other request has been convicted of.
pub(super) fn standings(
    crashes: &mut [Crash],
    convicted_before: &Dated,
) -> BTreeMap<Fingerprint, Standing> {
    let mut convicted = convicted_before.clone();
    let mut history: BTreeMap<Fingerprint, Vec<usize>> = BTreeMap::new();
    for index in 0..crashes.len() {
        if let Some(from) = crashes[index].convict_of(&convicted) {
            crashes[index].explained_at = Some(from);
            continue;
        }
        let culprit = only_repeated(crashes, index, &history);
        for f in &crashes[index].counted {
            history.entry(*f).or_default().push(index);
        }
        if let Some(culprit) = culprit {
            let from = crashes[index].at.after(WAVE_WINDOW);
            convicted.insert(culprit, from);
            for explained in &history[&culprit] {
                crashes[*explained].explained_at.get_or_insert(from);
            }
        }
    }
    collect(crashes, &convicted)
}

/// Returns the request of a crash that alone has an earlier unexplained crash.
fn only_repeated(
    crashes: &[Crash],
    index: usize,
    history: &BTreeMap<Fingerprint, Vec<usize>>,
) -> Option<Fingerprint> {
    let is_unexplained = |earlier: &usize| crashes[*earlier].explained_at.is_none();
    let is_repeated = |f: &&Fingerprint| {
        history
            .get(*f)
            .is_some_and(|earlier| earlier.iter().any(is_unexplained))
    };
    let mut repeated = crashes[index].counted.iter().filter(is_repeated);
    let only = repeated.next()?;
    repeated.next().is_none().then_some(*only)
}

fn collect(crashes: &[Crash], convicted: &Dated) -> BTreeMap<Fingerprint, Standing> {
    let mut standings = BTreeMap::new();
    for crash in crashes {
        let until = crash.explained_at.unwrap_or(Timestamp::NEVER);
        for f in &crash.counted {
            let first = Standing::Suspect {
                since: crash.at,
                until,
            };
            let standing = standings.entry(*f).or_insert(first);
            if let Standing::Suspect {
                since,
                until: known,
            } = standing
            {
                *since = crash.at.max(*since);
                *known = until.max(*known);
            }
        }
    }
    for (f, from) in convicted {
        standings.insert(*f, Standing::Convicted { from: *from });
    }
    standings
}

/// Returns the reports whose crash says nothing against any request.
pub(super) fn without_evidence(crashes: &[Crash], before: Timestamp) -> Vec<EndpointCrash> {
    crashes
        .iter()
        .filter(|crash| crash.is_idle(before))
        .map(|crash| EndpointCrash {
            endpoint: crash.endpoint.clone(),
            at: crash.at,
        })
        .collect()
}

/// Names a crash: an endpoint and the earliest notice.
pub(super) struct EndpointCrash {
    pub(super) endpoint: EndpointId,
    pub(super) at: Timestamp,
}

impl EndpointCrash {
    /// Tells whether a report belongs to the crash.
    pub(super) fn includes(&self, endpoint: &EndpointId, at: Timestamp) -> bool {
        self.endpoint == *endpoint && apart(self.at, at) < SAME_CRASH
    }
}

impl Crash {
    fn includes(&self, endpoint: &EndpointId, at: Timestamp, from: &DaemonId) -> bool {
        let is_same = self.endpoint == *endpoint && at.since(self.at) < SAME_CRASH;
        is_same && !self.from.contains(from)
    }

    fn is_idle(&self, before: Timestamp) -> bool {
        match self.explained_at {
            Some(from) => from < before,
            None => self.counted.is_empty() && self.at < before,
        }
    }

    /// Returns when a request of the crash was convicted before.
    fn convict_of(&self, convicted: &Dated) -> Option<Timestamp> {
        self.counted
            .iter()
            .filter_map(|f| convicted.get(f).copied())
            .min()
    }
}

fn apart(a: Timestamp, b: Timestamp) -> std::time::Duration {
    a.since(b).max(b.since(a))
}
