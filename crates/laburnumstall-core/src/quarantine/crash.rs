//! Groups crash reports into crashes, and derives from them who is suspect or convicted.
//!
//! Everything here is a function of the set of reports, whatever the order in which they
//! came, so that all daemons with the same reports reach the same verdicts.

use std::collections::{BTreeMap, BTreeSet};

use super::{MIN_RESTART, RECLAIM_WINDOW, RETURN_WINDOW, SAME_CRASH, WAVE_OTHERS, WAVE_WINDOW};
use crate::ids::{DaemonId, EndpointId, Fingerprint};
use crate::units::Timestamp;

/// Endpoint, time and daemon of a report.
pub(super) type ReportKey = (EndpointId, Timestamp, DaemonId);
/// Reports by endpoint, time and daemon.
pub(super) type Reports = BTreeMap<ReportKey, Noticed>;

/// What one daemon noticed at a crash.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Noticed {
    /// When it began the last connection that the process accepted.
    pub(super) reached_at: Option<Timestamp>,
    pub(super) in_flight: BTreeSet<Fingerprint>,
}
/// What became of the endpoints that crashed.
#[derive(Debug, Clone, Default)]
pub(super) struct Ends {
    /// Endpoints whose VMs were taken.
    pub(super) reclaims: BTreeMap<EndpointId, Timestamp>,
    /// Endpoints that answered again soon after.
    pub(super) returns: BTreeSet<(EndpointId, Timestamp)>,
}

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
    /// Daemons that noticed, and when.
    notices: BTreeSet<(DaemonId, Timestamp)>,
    in_flight: BTreeSet<Fingerprint>,
    /// Requests against which the crash counts.
    counted: BTreeSet<Fingerprint>,
    /// When a request was convicted of the crash, which clears the others.
    explained_at: Option<Timestamp>,
}

/// Groups reports of one endpoint that are close in time and from different daemons;
/// returns the crashes in the order of time.
///
/// A daemon that reached the process after a crash was noticed tells of a later crash.
pub(super) fn group(reports: &Reports, cleared: &Dated, ends: &Ends) -> Vec<Crash> {
    let mut crashes: Vec<Crash> = Vec::new();
    for (key, noticed) in reports {
        let (endpoint, at, from) = key;
        let is_current = |f: &&Fingerprint| cleared.get(*f).is_none_or(|until| until < at);
        let current = noticed.in_flight.iter().filter(is_current).copied();
        let is_same = |crash: &&mut Crash| crash.includes(key, noticed);
        let of_endpoint = |crash: &&mut Crash| crash.endpoint == *endpoint;
        let known = crashes.iter_mut().rev().take_while(of_endpoint);
        match known.filter(is_same).last() {
            Some(crash) => {
                crash.notices.insert((from.clone(), *at));
                crash.in_flight.extend(&noticed.in_flight);
                crash.counted.extend(current);
            }
            None => crashes.push(Crash {
                endpoint: endpoint.clone(),
                at: *at,
                notices: BTreeSet::from([(from.clone(), *at)]),
                in_flight: noticed.in_flight.clone(),
                counted: current.collect(),
                explained_at: None,
            }),
        }
    }
    crashes.sort_by(|a, b| (a.at, &a.endpoint).cmp(&(b.at, &b.endpoint)));
    drop_reclaims(&mut crashes, ends);
    crashes
}

/// Takes out of each crash the requests against which it does not count, because the
/// endpoint or several others at that time were reclaimed.
fn drop_reclaims(crashes: &mut [Crash], ends: &Ends) {
    for index in 0..crashes.len() {
        let crash = &crashes[index];
        let is_reclaim = ends.is_reclaim(crash);
        let mut near = near(crashes, index);
        near.retain(|other| !ends.has_returned(&other.endpoint, other.at));
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
/// other request has been convicted of, see `only_repeated`.
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

/// Returns the request of a crash that alone has an earlier unexplained crash, or, if there
/// is none, alone has an earlier crash at which another was convicted: the other may have
/// been there by chance.
fn only_repeated(
    crashes: &[Crash],
    index: usize,
    history: &BTreeMap<Fingerprint, Vec<usize>>,
) -> Option<Fingerprint> {
    let counted = &crashes[index].counted;
    let is_unexplained = |earlier: &usize| crashes[*earlier].explained_at.is_none();
    let mut repeated = with_earlier(counted, history, is_unexplained);
    if repeated.is_empty() {
        repeated = with_earlier(counted, history, |_| true);
    }
    match repeated[..] {
        [only] => Some(only),
        _ => None,
    }
}

/// Returns the requests that were in flight at an earlier crash for which `is_wanted` holds.
fn with_earlier(
    counted: &BTreeSet<Fingerprint>,
    history: &BTreeMap<Fingerprint, Vec<usize>>,
    is_wanted: impl Fn(&usize) -> bool,
) -> Vec<Fingerprint> {
    let is_repeated = |f: &&Fingerprint| {
        let earlier = history.get(*f).map_or(&[][..], Vec::as_slice);
        earlier.iter().any(&is_wanted)
    };
    counted.iter().filter(is_repeated).copied().collect()
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
pub(super) fn without_evidence(crashes: &[Crash], before: Timestamp) -> BTreeSet<ReportKey> {
    crashes
        .iter()
        .filter(|crash| crash.is_idle(before))
        .flat_map(Crash::reports)
        .collect()
}

impl Ends {
    fn is_reclaim(&self, crash: &Crash) -> bool {
        let taken = self.reclaims.get(&crash.endpoint);
        taken.is_some_and(|at| apart(*at, crash.at) < RECLAIM_WINDOW)
    }

    /// Tells whether an endpoint answered again soon after a crash at the time given.
    pub(super) fn has_returned(&self, endpoint: &EndpointId, crashed_at: Timestamp) -> bool {
        let from = (endpoint.clone(), crashed_at);
        let until = (endpoint.clone(), crashed_at.after(RETURN_WINDOW));
        self.returns.range(from..until).next().is_some()
    }
}

impl Crash {
    fn includes(&self, (endpoint, at, from): &ReportKey, noticed: &Noticed) -> bool {
        let is_close = self.endpoint == *endpoint && at.since(self.at) < SAME_CRASH;
        let was_alive = noticed
            .reached_at
            .is_some_and(|reached| reached >= self.at.after(MIN_RESTART));
        let is_known = self.notices.iter().any(|(known, _)| known == from);
        is_close && !was_alive && !is_known
    }

    fn reports(&self) -> impl Iterator<Item = ReportKey> {
        self.notices
            .iter()
            .map(|(from, at)| (self.endpoint.clone(), *at, from.clone()))
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
