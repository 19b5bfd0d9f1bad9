//! Quarantine of requests that crash the endpoints that run them.
//!
//! Each crash of an endpoint raises suspicion on every request that was in flight there.
//! The entry tells its peers by a [`Suspicion`] before it retries a suspect, and retries
//! suspects one at a time and apart from each other, see [`Quarantine::begin_trial`]. A
//! crash with exactly one suspect in flight convicts that suspect and clears the others.
//! The state is a set of records that only grows until it expires, so merging is
//! commutative and idempotent; verdicts are computed from the set, see `crash`.
//!
//! Crashes of several endpoints at nearly the same time are taken for a reclaim and are
//! no evidence against requests that were not in flight on all of them.

mod crash;
mod evidence;
mod retention;
mod suspicion;
mod trial;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::prelude::*;
use crash::{Dated, Ends, ReportKey, Reports, Standing};
use retention::{MAX_REPORTS, REPORT_TTL};
pub use suspicion::{
    Clearance, CrashReport, QuarantineRecord, Reclaim, Return, Suspicion, TrialClaim,
};
use trial::{Trials, Turn};

/// Time between two reports of one crash by different daemons.
const SAME_CRASH: Duration = Duration::from_secs(5);
/// Time within which a crash that one daemon notices twice is one crash.
const SAME_NOTICE: Duration = Duration::from_secs(1);
/// Least time from the notice of a crash until the process is there again; the daemons'
/// clocks differ by less.
const MIN_RESTART: Duration = Duration::from_millis(250);
/// Time after a crash in which the other daemons tell what they had in flight there.
const SETTLE_TIME: Duration = Duration::from_millis(100);
/// Time within which crashes of different endpoints are taken for one reclaim.
const WAVE_WINDOW: Duration = Duration::from_secs(2);
/// Crashes of other endpoints, without the request, that make a reclaim.
const WAVE_OTHERS: usize = 2;
/// Time between a crash and the notice that the endpoint was reclaimed.
const RECLAIM_WINDOW: Duration = Duration::from_secs(120);
/// Time after a crash in which an endpoint that answers again shows that its VM was not
/// taken.
const RETURN_WINDOW: Duration = Duration::from_secs(10);
/// Most requests of one report.
const MAX_IN_FLIGHT: usize = 1024;

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

/// Whether a suspect may be retried by this daemon now.
#[derive(Debug, Clone, PartialEq)]
pub enum Trial {
    /// It may, apart from other suspects.
    Run,
    /// The message goes to all peers first; ask again when they have it.
    Notify(Suspicion),
    /// Ask again at the time given, or when a peer has told something.
    Wait(Timestamp),
}

/// The crash reports known to one daemon and the verdicts that follow from them.
#[derive(Debug, Clone)]
pub struct Quarantine {
    own: DaemonId,
    reports: Reports,
    ends: Ends,
    cleared: Dated,
    /// Convictions whose reports have expired.
    convicted: Dated,
    trials: Trials,
    news: Suspicion,
    standings: BTreeMap<Fingerprint, Standing>,
}

impl Quarantine {
    /// Creates the state of a daemon that knows of no crash.
    pub fn new(own: &DaemonId) -> Self {
        Self {
            own: own.clone(),
            reports: Reports::new(),
            ends: Ends::default(),
            cleared: Dated::new(),
            convicted: Dated::new(),
            trials: Trials::default(),
            news: Suspicion::default(),
            standings: BTreeMap::new(),
        }
    }

    /// Tells how a request is to be treated.
    ///
    /// A conviction counts at once, so that the request crashes no further endpoint; its
    /// final answer can wait for [`held_until`](Self::held_until).
    pub fn verdict(&self, now: Timestamp, fingerprint: Fingerprint) -> Verdict {
        match self.standings.get(&fingerprint) {
            Some(Standing::Convicted { .. }) => Verdict::Quarantined,
            Some(Standing::Suspect { until, .. }) if *until <= now => Verdict::Clear,
            Some(_) => Verdict::Suspect,
            None => Verdict::Clear,
        }
    }

    /// Returns when the evidence against a quarantined request is complete, if it is not yet.
    ///
    /// Until then the crash may prove to be part of a reclaim, and the request is neither
    /// run nor refused.
    pub fn held_until(&self, now: Timestamp, fingerprint: Fingerprint) -> Option<Timestamp> {
        match self.standings.get(&fingerprint) {
            Some(Standing::Convicted { from }) if *from > now => Some(*from),
            _ => None,
        }
    }

    /// Asks whether this daemon may retry a suspect now.
    ///
    /// One daemon retries a suspect at a time, so that copies sent through several entries
    /// cost no further endpoint. A suspect whose conviction may still prove to be an error,
    /// because its crash was part of a reclaim, waits until that is known.
    pub fn begin_trial(&mut self, now: Timestamp, fingerprint: Fingerprint) -> Trial {
        if let Some(settled) = self.held_until(now, fingerprint) {
            return Trial::Wait(settled);
        }
        match self.standings.get(&fingerprint) {
            Some(Standing::Suspect { since, until }) if *until > now => {
                let settled = since.after(SETTLE_TIME);
                if settled > now {
                    return Trial::Wait(settled);
                }
            }
            _ => return Trial::Run,
        }
        match self.trials.turn(now, fingerprint, &self.own) {
            Turn::Own => Trial::Run,
            Turn::Unclaimed => {
                let claim = self.trials.claim(now, fingerprint, &self.own);
                Trial::Notify(Suspicion {
                    trials: vec![claim],
                    ..Suspicion::default()
                })
            }
            Turn::Later(at) => Trial::Wait(at),
        }
    }

    /// Takes in that a request was sent to an endpoint, whatever its verdict.
    ///
    /// Its end is told by [`on_crash`](Self::on_crash), [`on_lost`](Self::on_lost) or
    /// [`on_ended`](Self::on_ended).
    pub fn on_dispatched(&mut self, fingerprint: Fingerprint, endpoint: &EndpointId) {
        self.trials.start(fingerprint, endpoint);
    }

    /// Takes in that a request's copy on an endpoint has ended without a crash.
    pub fn on_ended(&mut self, fingerprint: Fingerprint, endpoint: &EndpointId) {
        if self.trials.stop(fingerprint, endpoint) {
            let ended = self.trials.end(fingerprint, &self.own);
            self.news.trials.extend(ended);
        }
    }

    /// Takes in that a request's copy is gone with its endpoint; this daemon's claim stays.
    pub fn on_lost(&mut self, fingerprint: Fingerprint, endpoint: &EndpointId) {
        self.trials.stop(fingerprint, endpoint);
    }

    /// Returns the endpoints that run a suspect, as far as this daemon knows.
    ///
    /// A suspect is not retried there: a crash would not tell which of the two caused it.
    pub fn suspect_endpoints(&self, now: Timestamp) -> Vec<EndpointId> {
        let is_suspect = |f| self.verdict(now, f) != Verdict::Clear;
        self.trials.occupied(now, is_suspect).into_iter().collect()
    }

    /// Takes in the crash of an endpoint's process with the requests of this daemon that
    /// were in flight there.
    ///
    /// Returns the message that peers get before any of the requests is retried, or `None`
    /// if the crash is known. A reclaim is not a crash. A crash with nothing in flight is
    /// told as well: it shows that a request is not the cause. `reached_at` is when this
    /// daemon began the last connection that the process accepted: it tells the crash from
    /// an earlier one of the same endpoint.
    pub fn on_crash(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        reached_at: Option<Timestamp>,
        in_flight: &[Fingerprint],
        journal: &mut Journal,
    ) -> Option<Suspicion> {
        let report = CrashReport {
            endpoint: endpoint.clone(),
            at: self.notice_time(now, endpoint, reached_at),
            from: self.own.clone(),
            reached_at,
            in_flight: in_flight.iter().copied().take(MAX_IN_FLIGHT).collect(),
        };
        let mut suspicion = Suspicion {
            reports: vec![report],
            ..Suspicion::default()
        };
        for f in in_flight {
            self.trials.stop(*f, endpoint);
        }
        if !self.merge(now, &suspicion, journal) {
            return None;
        }
        let unique: BTreeSet<Fingerprint> = in_flight.iter().copied().collect();
        suspicion.trials = unique
            .into_iter()
            .filter_map(|f| self.trials.claim_after_crash(now, f, &self.own))
            .collect();
        Some(suspicion)
    }

    /// Takes in that an endpoint's VM was reclaimed: its end counts against no request.
    pub fn on_reclaim(&mut self, now: Timestamp, endpoint: &EndpointId, journal: &mut Journal) {
        let reclaim = Reclaim {
            endpoint: endpoint.clone(),
            at: now,
        };
        let suspicion = Suspicion {
            reclaims: vec![reclaim.clone()],
            ..Suspicion::default()
        };
        if self.merge(now, &suspicion, journal) {
            self.news.reclaims.push(reclaim);
        }
    }

    /// Takes in that an endpoint that had failed answers again: its crash was no reclaim,
    /// and makes no wave of others.
    pub fn on_returned(&mut self, now: Timestamp, endpoint: &EndpointId, journal: &mut Journal) {
        let of_endpoint = self.reports.keys().filter(|(of, _, _)| of == endpoint);
        let Some(crashed_at) = of_endpoint.map(|(_, at, _)| *at).max() else {
            return;
        };
        let is_late = now.since(crashed_at) >= RETURN_WINDOW;
        if is_late || self.ends.has_returned(endpoint, crashed_at) {
            return;
        }
        let back = Return {
            endpoint: endpoint.clone(),
            at: now,
        };
        let suspicion = Suspicion {
            returns: vec![back.clone()],
            ..Suspicion::default()
        };
        if self.merge(now, &suspicion, journal) {
            self.news.returns.push(back);
        }
    }

    /// Takes in what a peer tells; returns whether anything was new.
    pub fn merge(&mut self, now: Timestamp, suspicion: &Suspicion, journal: &mut Journal) -> bool {
        let mut is_new = false;
        for report in &suspicion.reports {
            is_new |= self.add_report(now, report, journal);
        }
        for reclaim in &suspicion.reclaims {
            is_new |= keep_latest(
                &mut self.ends.reclaims,
                reclaim.endpoint.clone(),
                reclaim.at,
            );
        }
        for back in &suspicion.returns {
            let key = (back.endpoint.clone(), back.at);
            is_new |= self.ends.returns.insert(key);
        }
        for clearance in &suspicion.cleared {
            is_new |= keep_latest(&mut self.cleared, clearance.fingerprint, clearance.at);
        }
        for conviction in &suspicion.convicted {
            is_new |= keep_latest(&mut self.convicted, conviction.fingerprint, conviction.at);
        }
        for claim in &suspicion.trials {
            is_new |= self.trials.merge(claim);
        }
        if is_new {
            self.refresh(now, journal);
        }
        is_new
    }

    /// Takes in that a request finished whole, which clears a suspect.
    pub fn on_survived(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        let ended = self.trials.end(fingerprint, &self.own);
        self.news.trials.extend(ended);
        self.release(now, fingerprint);
    }

    /// Clears a request that is suspect or quarantined, as an operator asks.
    pub fn release(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        if !self.standings.contains_key(&fingerprint) {
            return;
        }
        let clearance = Clearance {
            fingerprint,
            at: now,
        };
        keep_latest(&mut self.cleared, fingerprint, now);
        self.news.cleared.push(clearance);
        self.refresh(now, &mut Journal::default());
    }

    /// Takes the clearances, reclaims and ended retries that peers have not been told.
    pub fn take_gossip(&mut self) -> Option<Suspicion> {
        let news = std::mem::take(&mut self.news);
        (!news.is_empty()).then_some(news)
    }

    /// Drops the claims of a daemon that is gone, so that others may retry its suspects.
    pub fn remove_peer(&mut self, daemon: &DaemonId) {
        self.trials.forget(daemon);
    }

    /// Returns this daemon's earlier notice of the same crash, or `now`.
    fn notice_time(
        &self,
        now: Timestamp,
        endpoint: &EndpointId,
        reached_at: Option<Timestamp>,
    ) -> Timestamp {
        let is_same = |(of, at, from): &&ReportKey| {
            let was_alive = reached_at.is_some_and(|reached| reached > *at);
            of == endpoint && *from == self.own && now.since(*at) < SAME_NOTICE && !was_alive
        };
        self.reports
            .keys()
            .filter(is_same)
            .map(|(_, at, _)| *at)
            .max()
            .unwrap_or(now)
    }

    fn add_report(&mut self, now: Timestamp, report: &CrashReport, journal: &mut Journal) -> bool {
        if now.since(report.at) >= REPORT_TTL {
            return false;
        }
        let key = (report.endpoint.clone(), report.at, report.from.clone());
        let is_new = !self.reports.contains_key(&key);
        let known = self.reports.entry(key).or_default();
        let before = known.clone();
        known.reached_at = known.reached_at.max(report.reached_at);
        let in_flight = report.in_flight.iter().take(MAX_IN_FLIGHT);
        known.in_flight.extend(in_flight);
        let has_grown = *known != before;
        if is_new {
            journal.record(crash_decision(now, report));
        }
        if report.from != self.own {
            self.claim_running(report);
        }
        if self.reports.len() > MAX_REPORTS {
            self.refresh(now, journal);
            self.drop_reports(now);
        }
        is_new || has_grown
    }

    /// Claims the suspects of a peer's report that run here already.
    fn claim_running(&mut self, report: &CrashReport) {
        for f in &report.in_flight {
            let claim = self.trials.claim_running(*f, &self.own, report.at);
            self.news.trials.extend(claim);
        }
    }

    /// Returns the recorded convictions that no clearance has ended.
    fn standing_convictions(&self) -> Dated {
        let stands = |(f, at): &(&Fingerprint, &Timestamp)| {
            self.cleared.get(*f).is_none_or(|cleared| cleared < *at)
        };
        self.convicted
            .iter()
            .filter(stands)
            .map(|(f, at)| (*f, *at))
            .collect()
    }

    fn refresh(&mut self, now: Timestamp, journal: &mut Journal) {
        let mut crashes = crash::group(&self.reports, &self.cleared, &self.ends);
        let standings = crash::standings(&mut crashes, &self.standing_convictions());
        let before = std::mem::replace(&mut self.standings, standings);
        let is_new = |(f, standing): &(&Fingerprint, &Standing)| {
            is_convicted(standing) && !before.get(*f).is_some_and(is_convicted)
        };
        let convicted: Vec<Fingerprint> = self
            .standings
            .iter()
            .filter(is_new)
            .map(|(f, _)| *f)
            .collect();
        for f in convicted {
            journal.record(decision(now, "quarantine", "only-suspect-at-crash", f));
            self.pass_on_evidence(f);
        }
        for (f, _) in before.iter().filter(|(_, standing)| is_convicted(standing)) {
            if !self.standings.get(f).is_some_and(is_convicted) {
                journal.record(decision(now, "withdraw", "evidence-withdrawn", *f));
            }
        }
    }
}

fn is_convicted(standing: &Standing) -> bool {
    matches!(standing, Standing::Convicted { .. })
}

fn decision(now: Timestamp, choice: &str, reason: &str, f: Fingerprint) -> Decision {
    Decision::new(now, DecisionKind::Quarantine, choice, reason).with("fingerprint", f)
}

fn crash_decision(now: Timestamp, report: &CrashReport) -> Decision {
    Decision::new(now, DecisionKind::Quarantine, "suspect", "endpoint-crash")
        .with("endpoint", &report.endpoint)
        .with("from", &report.from)
        .with("in_flight", report.in_flight.len())
}

fn keep_latest<K: Ord>(records: &mut BTreeMap<K, Timestamp>, key: K, at: Timestamp) -> bool {
    if records.get(&key).is_some_and(|known| *known >= at) {
        return false;
    }
    records.insert(key, at);
    true
}
