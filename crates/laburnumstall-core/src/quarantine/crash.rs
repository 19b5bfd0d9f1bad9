//! Groups crash reports into crashes and derives which requests are suspect or quarantined.
//!
//! Every result depends on the set of reports alone, not on the order of arrival, so that
//! all daemons with the same reports reach the same verdicts.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    MASS_RECLAIM_CRASHES, MASS_RECLAIM_WINDOW, MIN_RESTART, RECLAIM_WINDOW, RETURN_WINDOW,
    SAME_CRASH,
};
use crate::ids::{DaemonId, EndpointId, Fingerprint};
use crate::units::Timestamp;

/// Endpoint, time and reporting daemon of a report.
pub(super) type ReportKey = (EndpointId, Timestamp, DaemonId);
/// Crash reports by key.
pub(super) type Reports = BTreeMap<ReportKey, Observation>;

/// One daemon's view of a crash.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Observation {
    /// When the daemon began the last connection that the process accepted.
    pub(super) reached_at: Option<Timestamp>,
    pub(super) in_flight: BTreeSet<Fingerprint>,
}

/// Reclaims and recoveries of endpoints that crashed.
#[derive(Debug, Clone, Default)]
pub(super) struct EndpointOutcomes {
    /// Endpoints whose VMs were reclaimed, and when.
    pub(super) reclaims: BTreeMap<EndpointId, Timestamp>,
    /// Endpoints that answered again after a crash, and when.
    pub(super) returns: BTreeSet<(EndpointId, Timestamp)>,
}

/// Requests with the time at which they were cleared or quarantined.
pub(super) type RequestTimes = BTreeMap<Fingerprint, Timestamp>;

/// State of one request, derived from the crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestState {
    /// Suspect since its latest crash, until its crashes are attributed to another request.
    Suspect { since: Timestamp, until: Timestamp },
    /// Quarantined, with complete evidence from this time on.
    Quarantined { from: Timestamp },
}

/// One crash of one endpoint, merged from the reports of all daemons.
pub(super) struct Crash {
    endpoint: EndpointId,
    /// Earliest notice.
    at: Timestamp,
    /// Daemons that noticed, and when.
    notices: BTreeSet<(DaemonId, Timestamp)>,
    in_flight: BTreeSet<Fingerprint>,
    /// Requests for which the crash is evidence.
    counted: BTreeSet<Fingerprint>,
    /// When the crash was attributed to a request, which clears the others.
    attributed_at: Option<Timestamp>,
}

/// Groups reports of one endpoint that are close in time and from different daemons;
/// returns the crashes in chronological order.
///
/// If a daemon reached the process after the notice of a crash, its report belongs to a later
/// crash.
pub(super) fn group(
    reports: &Reports,
    cleared: &RequestTimes,
    outcomes: &EndpointOutcomes,
) -> Vec<Crash> {
    let mut crashes: Vec<Crash> = Vec::new();
    for (key, observation) in reports {
        let (endpoint, at, from) = key;
        let is_current = |f: &&Fingerprint| cleared.get(*f).is_none_or(|until| until < at);
        let current = observation.in_flight.iter().filter(is_current).copied();
        let is_same = |crash: &&mut Crash| crash.includes(key, observation);
        let of_endpoint = |crash: &&mut Crash| crash.endpoint == *endpoint;
        let known = crashes.iter_mut().rev().take_while(of_endpoint);
        match known.filter(is_same).last() {
            Some(crash) => {
                crash.notices.insert((from.clone(), *at));
                crash.in_flight.extend(&observation.in_flight);
                crash.counted.extend(current);
            }
            None => crashes.push(Crash {
                endpoint: endpoint.clone(),
                at: *at,
                notices: BTreeSet::from([(from.clone(), *at)]),
                in_flight: observation.in_flight.clone(),
                counted: current.collect(),
                attributed_at: None,
            }),
        }
    }
    crashes.sort_by(|a, b| (a.at, &a.endpoint).cmp(&(b.at, &b.endpoint)));
    drop_reclaims(&mut crashes, outcomes);
    crashes
}

/// Removes from each crash the requests for which it is no evidence, because the endpoint
/// was reclaimed or several other endpoints crashed at nearly the same time.
fn drop_reclaims(crashes: &mut [Crash], outcomes: &EndpointOutcomes) {
    for index in 0..crashes.len() {
        let crash = &crashes[index];
        let is_reclaim = outcomes.is_reclaim(crash);
        let mut near = near(crashes, index);
        near.retain(|other| !outcomes.has_returned(&other.endpoint, other.at));
        let mut counted = crash.counted.clone();
        counted.retain(|f| {
            let (with, without): (Vec<&Crash>, Vec<&Crash>) =
                near.iter().partition(|other| other.in_flight.contains(f));
            // A reclaim affects more endpoints without the request than with it.
            let threshold = MASS_RECLAIM_CRASHES.max(endpoints(&with) + 2);
            !is_reclaim && endpoints(&without) < threshold
        });
        crashes[index].counted = counted;
    }
}

fn endpoints(crashes: &[&Crash]) -> usize {
    let endpoints: BTreeSet<&EndpointId> = crashes.iter().map(|crash| &crash.endpoint).collect();
    endpoints.len()
}

/// Returns the crashes of other endpoints within [`MASS_RECLAIM_WINDOW`].
fn near(crashes: &[Crash], index: usize) -> Vec<&Crash> {
    let crash = &crashes[index];
    let is_close = |other: &&Crash| time_between(crash.at, other.at) < MASS_RECLAIM_WINDOW;
    let before = crashes[..index].iter().rev().take_while(is_close);
    let after = crashes[index + 1..].iter().take_while(is_close);
    before
        .chain(after)
        .filter(|other| other.endpoint != crash.endpoint)
        .collect()
}

/// Derives the state of every request for which a crash is evidence.
///
/// A crash is attributed to the only request in flight that has an earlier crash not
/// attributed to another request, see `only_repeated`.
pub(super) fn request_states(
    crashes: &mut [Crash],
    already_quarantined: &RequestTimes,
) -> BTreeMap<Fingerprint, RequestState> {
    let mut quarantined = already_quarantined.clone();
    let mut history: BTreeMap<Fingerprint, Vec<usize>> = BTreeMap::new();
    for index in 0..crashes.len() {
        if let Some(from) = crashes[index].attributed_before(&quarantined) {
            crashes[index].attributed_at = Some(from);
            continue;
        }
        let cause = only_repeated(crashes, index, &history);
        for f in &crashes[index].counted {
            history.entry(*f).or_default().push(index);
        }
        if let Some(cause) = cause {
            let from = crashes[index].at.after(MASS_RECLAIM_WINDOW);
            quarantined.insert(cause, from);
            for earlier in &history[&cause] {
                crashes[*earlier].attributed_at.get_or_insert(from);
            }
        }
    }
    collect(crashes, &quarantined)
}

/// Returns the only request of a crash with an earlier unattributed crash. If no request
/// has one, returns the only request with any earlier crash: the request to which that
/// crash was attributed may have been in flight by chance.
fn only_repeated(
    crashes: &[Crash],
    index: usize,
    history: &BTreeMap<Fingerprint, Vec<usize>>,
) -> Option<Fingerprint> {
    let counted = &crashes[index].counted;
    let is_unattributed = |earlier: &usize| crashes[*earlier].attributed_at.is_none();
    let mut repeated = with_earlier(counted, history, is_unattributed);
    if repeated.is_empty() {
        repeated = with_earlier(counted, history, |_| true);
    }
    match repeated[..] {
        [only] => Some(only),
        _ => None,
    }
}

/// Returns the requests that have an earlier crash for which `is_wanted` holds.
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

fn collect(crashes: &[Crash], quarantined: &RequestTimes) -> BTreeMap<Fingerprint, RequestState> {
    let mut request_states = BTreeMap::new();
    for crash in crashes {
        let until = crash.attributed_at.unwrap_or(Timestamp::NEVER);
        for f in &crash.counted {
            let first = RequestState::Suspect {
                since: crash.at,
                until,
            };
            let state = request_states.entry(*f).or_insert(first);
            if let RequestState::Suspect {
                since,
                until: known,
            } = state
            {
                *since = crash.at.max(*since);
                *known = until.max(*known);
            }
        }
    }
    for (f, from) in quarantined {
        request_states.insert(*f, RequestState::Quarantined { from: *from });
    }
    request_states
}

/// Returns the reports of crashes that are no longer evidence against any request.
pub(super) fn without_evidence(crashes: &[Crash], before: Timestamp) -> BTreeSet<ReportKey> {
    crashes
        .iter()
        .filter(|crash| crash.is_unused(before))
        .flat_map(Crash::reports)
        .collect()
}

impl EndpointOutcomes {
    fn is_reclaim(&self, crash: &Crash) -> bool {
        let reclaimed_at = self.reclaims.get(&crash.endpoint);
        reclaimed_at.is_some_and(|at| time_between(*at, crash.at) < RECLAIM_WINDOW)
    }

    /// Returns whether an endpoint answered again within [`RETURN_WINDOW`] of a crash.
    pub(super) fn has_returned(&self, endpoint: &EndpointId, crashed_at: Timestamp) -> bool {
        let from = (endpoint.clone(), crashed_at);
        let until = (endpoint.clone(), crashed_at.after(RETURN_WINDOW));
        self.returns.range(from..until).next().is_some()
    }
}

impl Crash {
    fn includes(&self, (endpoint, at, from): &ReportKey, observation: &Observation) -> bool {
        let is_close = self.endpoint == *endpoint && at.since(self.at) < SAME_CRASH;
        let was_alive = observation
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

    fn is_unused(&self, before: Timestamp) -> bool {
        match self.attributed_at {
            Some(from) => from < before,
            None => self.counted.is_empty() && self.at < before,
        }
    }

    /// Returns the earliest time at which a request of the crash was quarantined.
    fn attributed_before(&self, quarantined: &RequestTimes) -> Option<Timestamp> {
        self.counted
            .iter()
            .filter_map(|f| quarantined.get(f).copied())
            .min()
    }
}

fn time_between(a: Timestamp, b: Timestamp) -> std::time::Duration {
    a.since(b).max(b.since(a))
}
