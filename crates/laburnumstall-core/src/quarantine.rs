//! Quarantine of requests that crash the endpoints that run them.
//!
//! Each crash of an endpoint raises suspicion on every request that was in flight there.
//! The entry tells its peers by a [`Suspicion`] before it retries a suspect, and retries
//! suspects apart from each other. A crash with exactly one suspect in flight convicts
//! that suspect. The state is a set of crash reports that only grows until it expires, so
//! merging is commutative and idempotent; verdicts are computed from the set.
//!
//! Crashes of several endpoints at nearly the same time are taken for a reclaim and are
//! no evidence against requests that were not in flight on all of them.

mod crash;
mod suspicion;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::prelude::*;
use crash::Crash;
pub use suspicion::{Clearance, Conviction, CrashReport, Suspicion};

/// Time between two reports of one crash by different daemons.
const SAME_CRASH: Duration = Duration::from_secs(5);
/// Time within which a crash that one daemon notices twice is one crash.
const SAME_NOTICE: Duration = Duration::from_secs(1);
/// Time within which crashes of different endpoints are taken for one reclaim.
const WAVE_WINDOW: Duration = Duration::from_secs(2);
/// Crashes of other endpoints, without the request, that make a reclaim.
const WAVE_OTHERS: usize = 2;
/// Time that a crash report counts.
const REPORT_TTL: Duration = Duration::from_secs(600);
/// Time that a request stays quarantined.
const CONVICTION_TTL: Duration = Duration::from_secs(7 * 24 * 3600);
/// Most crash reports kept.
const MAX_REPORTS: usize = 1024;
/// Most requests of one report.
const MAX_IN_FLIGHT: usize = 1024;
/// Most convictions and most clearances kept.
const MAX_RECORDS: usize = 16_384;

/// What is known of a request's effect on endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against the request.
    Clear,
    /// The request was in flight at a crash; it is retried apart from other suspects.
    Suspect,
    /// The request crashed endpoints and is not run again.
    Quarantined,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    Suspect,
    /// Evidence to convict, from the time given on.
    Convicted(Timestamp),
}

/// The crash reports known to one daemon and the verdicts that follow from them.
#[derive(Debug, Clone)]
pub struct Quarantine {
    own: DaemonId,
    reports: BTreeMap<(EndpointId, Timestamp, DaemonId), BTreeSet<Fingerprint>>,
    cleared: BTreeMap<Fingerprint, Timestamp>,
    convicted: BTreeMap<Fingerprint, Timestamp>,
    standings: BTreeMap<Fingerprint, Standing>,
}

impl Quarantine {
    /// Creates the state of a daemon that knows of no crash.
    pub fn new(own: &DaemonId) -> Self {
        Self {
            own: own.clone(),
            reports: BTreeMap::new(),
            cleared: BTreeMap::new(),
            convicted: BTreeMap::new(),
            standings: BTreeMap::new(),
        }
    }

    /// Tells how a request is to be treated.
    pub fn verdict(&self, now: Timestamp, fingerprint: Fingerprint) -> Verdict {
        if self.is_convicted_for_long(fingerprint) {
            return Verdict::Quarantined;
        }
        match self.standings.get(&fingerprint) {
            None => Verdict::Clear,
            Some(Standing::Convicted(from)) if *from <= now => Verdict::Quarantined,
            Some(_) => Verdict::Suspect,
        }
    }

    /// Returns when the evidence against a suspect is complete, if that is later than `now`.
    ///
    /// Until then the request is neither retried nor refused: the crash may prove to be
    /// part of a reclaim.
    pub fn held_until(&self, now: Timestamp, fingerprint: Fingerprint) -> Option<Timestamp> {
        match self.standings.get(&fingerprint) {
            Some(Standing::Convicted(from)) if *from > now => Some(*from),
            _ => None,
        }
    }

    /// Takes in the crash of an endpoint's process with the requests of this daemon that
    /// were in flight there.
    ///
    /// Returns the message that peers get before any of the requests is retried, or `None`
    /// if nothing was in flight or the crash is known. A reclaim is not a crash.
    pub fn on_crash(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        in_flight: &[Fingerprint],
        journal: &mut Journal,
    ) -> Option<Suspicion> {
        if in_flight.is_empty() {
            return None;
        }
        let report = CrashReport {
            endpoint: endpoint.clone(),
            at: self.notice_time(now, endpoint),
            from: self.own.clone(),
            in_flight: in_flight.iter().copied().take(MAX_IN_FLIGHT).collect(),
        };
        let suspicion = Suspicion {
            reports: vec![report],
            cleared: Vec::new(),
            convicted: Vec::new(),
        };
        self.merge(now, &suspicion, journal).then_some(suspicion)
    }

    /// Takes in what a peer tells; returns whether anything was new.
    pub fn merge(&mut self, now: Timestamp, suspicion: &Suspicion, journal: &mut Journal) -> bool {
        let mut is_new = false;
        for report in &suspicion.reports {
            is_new |= self.add_report(now, report);
        }
        for clearance in &suspicion.cleared {
            is_new |= keep_latest(&mut self.cleared, clearance.fingerprint, clearance.at);
        }
        for conviction in &suspicion.convicted {
            is_new |= keep_latest(&mut self.convicted, conviction.fingerprint, conviction.at);
        }
        if is_new {
            self.refresh(now, journal);
        }
        is_new
    }

    /// Clears a suspect that finished whole.
    pub fn on_survived(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        if self.verdict(now, fingerprint) == Verdict::Clear {
            return;
        }
        keep_latest(&mut self.cleared, fingerprint, now);
        self.refresh(now, &mut Journal::default());
    }

    /// Drops what has expired and keeps the state within its bounds.
    pub fn tick(&mut self, now: Timestamp) {
        self.refresh(now, &mut Journal::default());
        let standings = std::mem::take(&mut self.standings);
        for (fingerprint, standing) in standings {
            if let Standing::Convicted(from) = standing
                && from <= now
            {
                keep_latest(&mut self.convicted, fingerprint, from);
            }
        }
        self.reports
            .retain(|(_, at, _), _| now.since(*at) < REPORT_TTL);
        while self.reports.len() > MAX_REPORTS {
            let oldest = self.reports.keys().min_by_key(|(_, at, _)| *at).cloned();
            oldest.map(|key| self.reports.remove(&key));
        }
        expire(&mut self.cleared, now, REPORT_TTL);
        expire(&mut self.convicted, now, CONVICTION_TTL);
        self.refresh(now, &mut Journal::default());
    }

    /// Returns everything known, for a peer that has just started.
    pub fn snapshot(&self) -> Suspicion {
        Suspicion {
            reports: self
                .reports
                .iter()
                .map(|((endpoint, at, from), in_flight)| CrashReport {
                    endpoint: endpoint.clone(),
                    at: *at,
                    from: from.clone(),
                    in_flight: in_flight.iter().copied().collect(),
                })
                .collect(),
            cleared: self
                .cleared
                .iter()
                .map(|(&fingerprint, &at)| Clearance { fingerprint, at })
                .collect(),
            convicted: self
                .convicted
                .iter()
                .map(|(&fingerprint, &at)| Conviction { fingerprint, at })
                .collect(),
        }
    }

    fn is_convicted_for_long(&self, fingerprint: Fingerprint) -> bool {
        let cleared = self.cleared.get(&fingerprint);
        self.convicted
            .get(&fingerprint)
            .is_some_and(|at| cleared.is_none_or(|cleared| cleared < at))
    }

    /// Returns the time of this daemon's earlier notice of the same crash, or `now`.
    fn notice_time(&self, now: Timestamp, endpoint: &EndpointId) -> Timestamp {
        self.reports
            .keys()
            .filter(|(of, at, from)| {
                of == endpoint && *from == self.own && now.since(*at) < SAME_NOTICE
            })
            .map(|(_, at, _)| *at)
            .max()
            .unwrap_or(now)
    }

    fn add_report(&mut self, now: Timestamp, report: &CrashReport) -> bool {
        if now.since(report.at) >= REPORT_TTL {
            return false;
        }
        let key = (report.endpoint.clone(), report.at, report.from.clone());
        let known = self.reports.entry(key).or_default();
        let before = known.len();
        known.extend(report.in_flight.iter().take(MAX_IN_FLIGHT));
        known.len() > before
    }

    fn refresh(&mut self, now: Timestamp, journal: &mut Journal) {
        let crashes = crash::group(&self.reports, &self.cleared);
        let standings = crash::standings(&crashes);
        for (fingerprint, standing) in &standings {
            if self.standings.get(fingerprint) != Some(standing) {
                record(now, *fingerprint, *standing, &crashes, journal);
            }
        }
        self.standings = standings;
    }
}

fn record(
    now: Timestamp,
    fingerprint: Fingerprint,
    standing: Standing,
    crashes: &[Crash],
    journal: &mut Journal,
) {
    let (choice, reason) = match standing {
        Standing::Suspect => ("suspect", "in-flight-at-crash"),
        Standing::Convicted(_) => ("quarantine", "only-suspect-at-crash"),
    };
    let places: Vec<&str> = crashes
        .iter()
        .filter(|crash| crash.in_flight.contains(&fingerprint))
        .map(|crash| crash.endpoint.as_str())
        .collect();
    let decision = Decision::new(now, DecisionKind::Quarantine, choice, reason)
        .with("fingerprint", fingerprint)
        .with("endpoints", places.join(","));
    journal.record(decision);
}

fn keep_latest(
    records: &mut BTreeMap<Fingerprint, Timestamp>,
    key: Fingerprint,
    at: Timestamp,
) -> bool {
    let known = records.get(&key).copied();
    if known.is_some_and(|known| known >= at) {
        return false;
    }
    records.insert(key, at);
    true
}

fn expire(records: &mut BTreeMap<Fingerprint, Timestamp>, now: Timestamp, ttl: Duration) {
    records.retain(|_, at| now.since(*at) < ttl);
    while records.len() > MAX_RECORDS {
        let oldest = records
            .iter()
            .min_by_key(|(_, at)| **at)
            .map(|(key, _)| *key);
        oldest.map(|key| records.remove(&key));
    }
}
