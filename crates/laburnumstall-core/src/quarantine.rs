//! Quarantine of requests that crash the endpoints that run them.
//!
//! Every request in flight at the crash of an endpoint becomes a suspect. The entry sends
//! its peers a [`Suspicion`] before it retries a suspect, and retries suspects one at a
//! time and on separate endpoints, see [`Quarantine::begin_trial`]. A crash with exactly
//! one suspect in flight is attributed to that suspect, which quarantines it and clears
//! the others. The state is a set of records that only grows until they expire, so merging
//! is commutative and idempotent; verdicts are computed from the set, see `crash`.
//!
//! Crashes of several endpoints at nearly the same time are treated as a reclaim and are
//! no evidence against requests that were not in flight on all of them.
//!
//! [`CrashTally`] serves paths that cannot order the retries of a request.

mod clearances;
mod crash;
mod evidence;
mod hold;
mod retention;
mod suspect;
mod suspect_record;
mod suspicion;
mod tally;
mod trial;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::prelude::*;
use crash::{EndpointOutcomes, ReportKey, Reports, RequestState, RequestTimes};
pub use hold::{FIRST_PART_HOLD, HOLD_TIME, HoldBasis};
use retention::{MAX_REPORTS, REPORT_TTL};
pub use suspect::{CountedCrash, NamedRequests, ProcessKey, Suspect, SuspectNote};
pub use suspect_record::{MIN_CRASHES, MIN_CRASHES_OF_KNOWN, SAME_CAUSE};
pub use suspicion::{
    Clearance, CrashReport, QuarantineRecord, Reclaim, Return, Suspicion, TrialClaim,
};
pub use tally::{COMPLETION_TTL, CRASH_TTL, CrashTally, MAX_RECORDS, SOUND_TIME};
use trial::{Trials, Turn};

/// Maximum time between reports of one crash by different daemons.
const SAME_CRASH: Duration = Duration::from_secs(5);
/// Time within which two notices of one daemon are the same crash.
const SAME_NOTICE: Duration = Duration::from_secs(1);
/// Minimum time from the notice of a crash until the process accepts connections again;
/// the clock skew between daemons is less.
const MIN_RESTART: Duration = Duration::from_millis(250);
/// Time after a crash within which other daemons report their requests in flight on the endpoint.
const REPORT_WAIT: Duration = Duration::from_millis(100);
/// Time within which crashes of different endpoints count as one reclaim.
const MASS_RECLAIM_WINDOW: Duration = Duration::from_secs(2);
/// Number of crashes of other endpoints, without the request in flight, that count as a reclaim.
const MASS_RECLAIM_CRASHES: usize = 2;
/// Maximum time between a crash and the notice that the endpoint was reclaimed.
const RECLAIM_WINDOW: Duration = Duration::from_secs(120);
/// Time after a crash within which an answer from the endpoint shows that its VM was not
/// reclaimed.
const RETURN_WINDOW: Duration = Duration::from_secs(10);
/// Maximum number of requests in one report.
const MAX_IN_FLIGHT: usize = 1024;

/// Whether a request is known to crash endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// There is no evidence against the request.
    Clear,
    /// The request was in flight at a crash; it is retried on an endpoint without other suspects.
    Suspect,
    /// The request crashed endpoints and is not run again.
    Quarantined,
}

/// Whether a suspect may be retried by this daemon now.
#[derive(Debug, Clone, PartialEq)]
pub enum Trial {
    /// The suspect may run on an endpoint without other suspects.
    Run,
    /// The message must reach all peers first; call again when they have acknowledged it.
    Notify(Suspicion),
    /// Call again at this time, or after the next gossip message from a peer.
    Wait(Timestamp),
}

/// One daemon's crash reports and the verdicts computed from them.
#[derive(Debug, Clone)]
pub struct Quarantine {
    own: DaemonId,
    reports: Reports,
    outcomes: EndpointOutcomes,
    cleared: RequestTimes,
    /// Quarantined requests, recorded so that they outlive their crash reports.
    quarantined: RequestTimes,
    trials: Trials,
    /// Records that have not been sent to peers.
    pending_gossip: Suspicion,
    request_states: BTreeMap<Fingerprint, RequestState>,
}

impl Quarantine {
    /// Creates the state of a daemon without crash reports.
    pub fn new(own: &DaemonId) -> Self {
        Self {
            own: own.clone(),
            reports: Reports::new(),
            outcomes: EndpointOutcomes::default(),
            cleared: RequestTimes::new(),
            quarantined: RequestTimes::new(),
            trials: Trials::default(),
            pending_gossip: Suspicion::default(),
            request_states: BTreeMap::new(),
        }
    }

    /// Returns the verdict on a request.
    ///
    /// Quarantine takes effect at once, so that the request crashes no further endpoint; its
    /// final answer can wait for [`held_until`](Self::held_until).
    pub fn verdict(&self, now: Timestamp, fingerprint: Fingerprint) -> Verdict {
        match self.request_states.get(&fingerprint) {
            Some(RequestState::Quarantined { .. }) => Verdict::Quarantined,
            Some(RequestState::Suspect { until, .. }) if *until <= now => Verdict::Clear,
            Some(_) => Verdict::Suspect,
            None => Verdict::Clear,
        }
    }

    /// Returns when the evidence against a quarantined request is complete, or `None` if it
    /// already is.
    ///
    /// Until then the crash may turn out to be part of a reclaim, and the request is neither
    /// run nor refused.
    pub fn held_until(&self, now: Timestamp, fingerprint: Fingerprint) -> Option<Timestamp> {
        match self.request_states.get(&fingerprint) {
            Some(RequestState::Quarantined { from }) if *from > now => Some(*from),
            _ => None,
        }
    }

    /// Decides whether this daemon may retry a suspect now.
    ///
    /// One daemon retries a suspect at a time, so that copies sent through several entries
    /// crash no further endpoint. A quarantined request waits while its crash may still turn
    /// out to be part of a reclaim.
    pub fn begin_trial(&mut self, now: Timestamp, fingerprint: Fingerprint) -> Trial {
        if let Some(settled) = self.held_until(now, fingerprint) {
            return Trial::Wait(settled);
        }
        match self.request_states.get(&fingerprint) {
            Some(RequestState::Suspect { since, until }) if *until > now => {
                let settled = since.after(REPORT_WAIT);
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

    /// Records that a request was sent to an endpoint, whatever its verdict.
    ///
    /// Must be followed by [`on_crash`](Self::on_crash), [`on_lost`](Self::on_lost) or
    /// [`on_ended`](Self::on_ended).
    pub fn on_dispatched(&mut self, fingerprint: Fingerprint, endpoint: &EndpointId) {
        self.trials.start(fingerprint, endpoint);
    }

    /// Records that a request's copy on an endpoint has ended without a crash.
    pub fn on_ended(&mut self, fingerprint: Fingerprint, endpoint: &EndpointId) {
        if self.trials.stop(fingerprint, endpoint) {
            let ended = self.trials.end(fingerprint, &self.own);
            self.pending_gossip.trials.extend(ended);
        }
    }

    /// Records that a request's copy was lost with its endpoint; this daemon keeps its claim.
    pub fn on_lost(&mut self, fingerprint: Fingerprint, endpoint: &EndpointId) {
        self.trials.stop(fingerprint, endpoint);
    }

    /// Returns the endpoints that run a suspect, according to this daemon's records.
    ///
    /// Other suspects are not retried on them, since a crash could not be attributed to
    /// one suspect.
    pub fn suspect_endpoints(&self, now: Timestamp) -> Vec<EndpointId> {
        let is_suspect = |f| self.verdict(now, f) != Verdict::Clear;
        self.trials
            .suspect_endpoints(now, is_suspect)
            .into_iter()
            .collect()
    }

    /// Records the crash of an endpoint's process and the requests of this daemon that were
    /// in flight there.
    ///
    /// Returns the message to send to peers before any of the requests is retried, or `None`
    /// if the crash is already recorded. A reclaim is not a crash. A crash with nothing in
    /// flight is reported too, since it shows that no request is the cause. `reached_at` is
    /// when this daemon began the last connection that the process accepted: it distinguishes
    /// the crash from an earlier one of the same endpoint.
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

    /// Records that an endpoint's VM was reclaimed, so that its loss counts against no request.
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
            self.pending_gossip.reclaims.push(reclaim);
        }
    }

    /// Records that a failed endpoint answers again: its crash was no reclaim, and does not
    /// make other crashes look like one.
    pub fn on_returned(&mut self, now: Timestamp, endpoint: &EndpointId, journal: &mut Journal) {
        let of_endpoint = self.reports.keys().filter(|(of, _, _)| of == endpoint);
        let Some(crashed_at) = of_endpoint.map(|(_, at, _)| *at).max() else {
            return;
        };
        let is_late = now.since(crashed_at) >= RETURN_WINDOW;
        if is_late || self.outcomes.has_returned(endpoint, crashed_at) {
            return;
        }
        let returned = Return {
            endpoint: endpoint.clone(),
            at: now,
        };
        let suspicion = Suspicion {
            returns: vec![returned.clone()],
            ..Suspicion::default()
        };
        if self.merge(now, &suspicion, journal) {
            self.pending_gossip.returns.push(returned);
        }
    }

    /// Merges a message from a peer; returns whether anything was new.
    pub fn merge(&mut self, now: Timestamp, suspicion: &Suspicion, journal: &mut Journal) -> bool {
        let mut is_new = false;
        for report in &suspicion.reports {
            is_new |= self.add_report(now, report, journal);
        }
        for reclaim in &suspicion.reclaims {
            is_new |= keep_latest(
                &mut self.outcomes.reclaims,
                reclaim.endpoint.clone(),
                reclaim.at,
            );
        }
        for returned in &suspicion.returns {
            let key = (returned.endpoint.clone(), returned.at);
            is_new |= self.outcomes.returns.insert(key);
        }
        for clearance in &suspicion.cleared {
            is_new |= keep_latest(&mut self.cleared, clearance.fingerprint, clearance.at);
        }
        for record in &suspicion.quarantined {
            is_new |= keep_latest(&mut self.quarantined, record.fingerprint, record.at);
        }
        for claim in &suspicion.trials {
            is_new |= self.trials.merge(claim);
        }
        if is_new {
            self.refresh(now, journal);
        }
        is_new
    }

    /// Records that a request ran to completion, which clears a suspect.
    pub fn on_survived(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        let ended = self.trials.end(fingerprint, &self.own);
        self.pending_gossip.trials.extend(ended);
        self.release(now, fingerprint);
    }

    /// Clears a suspect or quarantined request, for example on an operator's command.
    pub fn release(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        if !self.request_states.contains_key(&fingerprint) {
            return;
        }
        let clearance = Clearance {
            fingerprint,
            at: now,
        };
        keep_latest(&mut self.cleared, fingerprint, now);
        self.pending_gossip.cleared.push(clearance);
        self.refresh(now, &mut Journal::default());
    }

    /// Takes the records that have not been sent to peers, if there are any.
    pub fn take_gossip(&mut self) -> Option<Suspicion> {
        let gossip = std::mem::take(&mut self.pending_gossip);
        (!gossip.is_empty()).then_some(gossip)
    }

    /// Drops the claims of an unreachable daemon, so that others may retry its suspects.
    pub fn remove_peer(&mut self, daemon: &DaemonId) {
        self.trials.remove_daemon(daemon);
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

    /// Claims the suspects in a peer's report that already run on behalf of this daemon.
    fn claim_running(&mut self, report: &CrashReport) {
        for f in &report.in_flight {
            let claim = self.trials.claim_running(*f, &self.own, report.at);
            self.pending_gossip.trials.extend(claim);
        }
    }

    /// Returns the recorded quarantines without a later clearance.
    fn active_records(&self) -> RequestTimes {
        let is_active = |(f, at): &(&Fingerprint, &Timestamp)| {
            self.cleared.get(*f).is_none_or(|cleared| cleared < *at)
        };
        self.quarantined
            .iter()
            .filter(is_active)
            .map(|(f, at)| (*f, *at))
            .collect()
    }

    fn refresh(&mut self, now: Timestamp, journal: &mut Journal) {
        let mut crashes = crash::group(&self.reports, &self.cleared, &self.outcomes);
        let request_states = crash::request_states(&mut crashes, &self.active_records());
        let before = std::mem::replace(&mut self.request_states, request_states);
        let is_new = |(f, state): &(&Fingerprint, &RequestState)| {
            is_quarantined(state) && !before.get(*f).is_some_and(is_quarantined)
        };
        let quarantined: Vec<Fingerprint> = self
            .request_states
            .iter()
            .filter(is_new)
            .map(|(f, _)| *f)
            .collect();
        for f in quarantined {
            journal.record(decision(now, "quarantine", "only-suspect-at-crash", f));
            self.share_evidence(f);
        }
        for (f, _) in before.iter().filter(|(_, state)| is_quarantined(state)) {
            if !self.request_states.get(f).is_some_and(is_quarantined) {
                journal.record(decision(now, "withdraw", "evidence-withdrawn", *f));
            }
        }
    }
}

fn is_quarantined(state: &RequestState) -> bool {
    matches!(state, RequestState::Quarantined { .. })
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
