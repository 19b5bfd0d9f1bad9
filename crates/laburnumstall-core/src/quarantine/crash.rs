//! Groups crash reports into crashes, and derives from them who is suspect or convicted.

use std::collections::{BTreeMap, BTreeSet};

use super::{SAME_CRASH, Standing, WAVE_OTHERS, WAVE_WINDOW};
use crate::ids::{DaemonId, EndpointId, Fingerprint};
use crate::units::Timestamp;

/// One crash of one endpoint, as all daemons together saw it.
pub(super) struct Crash {
    pub(super) endpoint: EndpointId,
    /// Earliest notice.
    pub(super) at: Timestamp,
    from: BTreeSet<DaemonId>,
    pub(super) in_flight: BTreeSet<Fingerprint>,
}

type Reports = BTreeMap<(EndpointId, Timestamp, DaemonId), BTreeSet<Fingerprint>>;

/// Groups reports of one endpoint that are close in time and from different daemons.
pub(super) fn group(reports: &Reports, cleared: &BTreeMap<Fingerprint, Timestamp>) -> Vec<Crash> {
    let mut crashes: Vec<Crash> = Vec::new();
    for ((endpoint, at, from), in_flight) in reports {
        let is_current = |f: &&Fingerprint| cleared.get(*f).is_none_or(|until| until < at);
        let in_flight = in_flight.iter().filter(is_current).copied();
        match crashes.last_mut() {
            Some(crash) if crash.includes(endpoint, *at, from) => {
                crash.from.insert(from.clone());
                crash.in_flight.extend(in_flight);
            }
            _ => crashes.push(Crash {
                endpoint: endpoint.clone(),
                at: *at,
                from: BTreeSet::from([from.clone()]),
                in_flight: in_flight.collect(),
            }),
        }
    }
    crashes
}

/// Derives the standing of every request that was in flight at a crash that counts.
pub(super) fn standings(crashes: &[Crash]) -> BTreeMap<Fingerprint, Standing> {
    let counted: Vec<BTreeSet<Fingerprint>> = crashes
        .iter()
        .map(|crash| counted_requests(crash, crashes))
        .collect();
    let mut crash_counts: BTreeMap<Fingerprint, usize> = BTreeMap::new();
    for fingerprint in counted.iter().flatten() {
        *crash_counts.entry(*fingerprint).or_default() += 1;
    }
    let mut standings: BTreeMap<Fingerprint, Standing> = crash_counts
        .keys()
        .map(|fingerprint| (*fingerprint, Standing::Suspect))
        .collect();
    for (crash, requests) in crashes.iter().zip(&counted) {
        let mut repeated = requests.iter().filter(|f| crash_counts[*f] > 1);
        if let (Some(only), None) = (repeated.next(), repeated.next()) {
            convict(&mut standings, *only, crash.at.after(WAVE_WINDOW));
        }
    }
    standings
}

fn convict(standings: &mut BTreeMap<Fingerprint, Standing>, f: Fingerprint, from: Timestamp) {
    let earliest = match standings.get(&f) {
        Some(Standing::Convicted(known)) => (*known).min(from),
        _ => from,
    };
    standings.insert(f, Standing::Convicted(earliest));
}

/// Returns the requests against which the crash counts: those that a reclaim does not explain.
fn counted_requests(crash: &Crash, crashes: &[Crash]) -> BTreeSet<Fingerprint> {
    let near: Vec<&Crash> = crashes
        .iter()
        .filter(|other| other.endpoint != crash.endpoint && crash.is_near(other))
        .collect();
    let is_counted = |f: &&Fingerprint| {
        let others = near.iter().filter(|other| !other.in_flight.contains(*f));
        others.count() < WAVE_OTHERS
    };
    crash.in_flight.iter().filter(is_counted).copied().collect()
}

impl Crash {
    fn includes(&self, endpoint: &EndpointId, at: Timestamp, from: &DaemonId) -> bool {
        let is_same = self.endpoint == *endpoint && at.since(self.at) < SAME_CRASH;
        is_same && !self.from.contains(from)
    }

    fn is_near(&self, other: &Self) -> bool {
        let apart = self.at.since(other.at).max(other.at.since(self.at));
        apart < WAVE_WINDOW
    }
}
