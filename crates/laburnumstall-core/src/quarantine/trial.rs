//! Claims on the retry of a suspect: the daemon with the earliest claim may retry it.
//!
//! Each daemon sends its claim to its peers before it retries, with a timestamp later than
//! every claim that it has received. So every reachable peer knows which daemon retries,
//! and if two claims cross, both daemons see the same one as the earlier. A copy that was
//! in flight before the suspicion is claimed with its endpoint and has precedence.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::suspicion::TrialClaim;
use crate::ids::{DaemonId, EndpointId, Fingerprint};
use crate::units::Timestamp;

/// Time after which a claim expires, so that an unreachable holder does not block others for
/// long.
const CLAIM_TTL: Duration = Duration::from_secs(30);
/// Interval at which a daemon checks whether its other copy of the request has ended.
const OWN_COPY_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Which daemon may retry a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Turn {
    /// This daemon.
    Own,
    /// No daemon has claimed it.
    Unclaimed,
    /// Another daemon, or this daemon once its other copy has ended; check again at this time.
    Later(Timestamp),
}

/// A daemon's latest claim on a suspect; a later or ended claim replaces it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Claim {
    at: Timestamp,
    is_ended: bool,
    endpoint: Option<EndpointId>,
}

/// The claims known to one daemon.
#[derive(Debug, Clone, Default)]
pub(super) struct Trials {
    claims: BTreeMap<(Fingerprint, DaemonId), Claim>,
    /// Endpoints that run a copy of a request for this daemon.
    running: BTreeMap<Fingerprint, Vec<EndpointId>>,
}

impl Trials {
    /// Claims a suspect for `own`.
    pub(super) fn claim(&mut self, now: Timestamp, f: Fingerprint, own: &DaemonId) -> TrialClaim {
        let latest = self.claims_on(f).map(|(_, claim)| claim.at).max();
        let at = latest.map_or(now, |latest| now.max(Timestamp(latest.0 + 1)));
        self.insert(f, own, at)
    }

    /// Claims a suspect whose copy was in flight at a crash, unless another copy is in flight
    /// under a claim.
    pub(super) fn claim_after_crash(
        &mut self,
        now: Timestamp,
        f: Fingerprint,
        own: &DaemonId,
    ) -> Option<TrialClaim> {
        if self.running.contains_key(&f) {
            return self.claim_running(f, own, now);
        }
        Some(self.claim(now, f, own))
    }

    /// Claims a suspect that this daemon already runs; such a claim has precedence.
    ///
    /// Returns `None` if this daemon does not run it or has already claimed it.
    pub(super) fn claim_running(
        &mut self,
        f: Fingerprint,
        own: &DaemonId,
        at: Timestamp,
    ) -> Option<TrialClaim> {
        let is_claimed = self.claim_of(f, own).is_some();
        if is_claimed || !self.running.contains_key(&f) {
            return None;
        }
        Some(self.insert(f, own, at))
    }

    /// Merges a claim; returns whether it was new.
    pub(super) fn merge(&mut self, received: &TrialClaim) -> bool {
        let claim = Claim {
            at: received.at,
            is_ended: received.is_ended,
            endpoint: received.endpoint.clone(),
        };
        let key = (received.fingerprint, received.by.clone());
        if self.claims.get(&key).is_some_and(|known| *known >= claim) {
            return false;
        }
        self.claims.insert(key, claim);
        true
    }

    /// Returns which daemon may retry a suspect.
    pub(super) fn turn(&self, now: Timestamp, f: Fingerprint, own: &DaemonId) -> Turn {
        if self.running.contains_key(&f) {
            return Turn::Later(now.after(OWN_COPY_POLL_INTERVAL));
        }
        let holds = |claim: &Claim| claim.holds(now);
        let holder = self
            .claims_on(f)
            .filter(|(_, claim)| holds(claim))
            .min_by_key(|(by, claim)| (claim.endpoint.is_none(), claim.at, *by));
        let own_claim = self.claims.get(&(f, own.clone()));
        match holder {
            Some((by, _)) if by == own => Turn::Own,
            Some((_, claim)) if own_claim.is_some_and(holds) => {
                Turn::Later(claim.at.after(CLAIM_TTL))
            }
            _ => Turn::Unclaimed,
        }
    }

    /// Records a copy that this daemon has sent to an endpoint.
    pub(super) fn start(&mut self, f: Fingerprint, endpoint: &EndpointId) {
        self.running.entry(f).or_default().push(endpoint.clone());
    }

    /// Records the end of a copy; returns whether it was the last.
    pub(super) fn stop(&mut self, f: Fingerprint, endpoint: &EndpointId) -> bool {
        let Some(copies) = self.running.get_mut(&f) else {
            return true;
        };
        if let Some(index) = copies.iter().position(|known| known == endpoint) {
            copies.swap_remove(index);
        }
        let is_last = copies.is_empty();
        if is_last {
            self.running.remove(&f);
        }
        is_last
    }

    /// Ends this daemon's claim on a suspect; returns the ended claim to send to peers.
    pub(super) fn end(&mut self, f: Fingerprint, own: &DaemonId) -> Option<TrialClaim> {
        let claim = self.claims.get_mut(&(f, own.clone()))?;
        if claim.is_ended {
            return None;
        }
        claim.is_ended = true;
        Some(claim.to_message(f, own))
    }

    /// Drops the claims of an unreachable daemon.
    pub(super) fn remove_daemon(&mut self, daemon: &DaemonId) {
        self.claims.retain(|(_, by), _| by != daemon);
    }

    /// Drops claims that expired at least [`CLAIM_TTL`] ago.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.claims
            .retain(|_, claim| now.since(claim.at) < CLAIM_TTL * 2);
    }

    /// Returns a daemon's claim on a suspect unless it has ended.
    pub(super) fn claim_of(&self, f: Fingerprint, by: &DaemonId) -> Option<TrialClaim> {
        let claim = self.claims.get(&(f, by.clone()))?;
        (!claim.is_ended).then(|| claim.to_message(f, by))
    }

    /// Returns all recorded claims.
    pub(super) fn claims(&self) -> impl Iterator<Item = TrialClaim> {
        self.claims
            .iter()
            .map(|((f, by), claim)| claim.to_message(*f, by))
    }

    /// Returns the endpoints that run a request for which `is_suspect` holds, and those of
    /// claims in force.
    pub(super) fn suspect_endpoints(
        &self,
        now: Timestamp,
        is_suspect: impl Fn(Fingerprint) -> bool,
    ) -> BTreeSet<EndpointId> {
        let own = self
            .running
            .iter()
            .filter(|(f, _)| is_suspect(**f))
            .flat_map(|(_, endpoints)| endpoints.iter().cloned());
        let claimed = self
            .claims
            .values()
            .filter(|claim| claim.holds(now))
            .filter_map(|claim| claim.endpoint.clone());
        own.chain(claimed).collect()
    }

    fn insert(&mut self, f: Fingerprint, own: &DaemonId, at: Timestamp) -> TrialClaim {
        let running = self.running.get(&f);
        let claim = Claim {
            at,
            is_ended: false,
            endpoint: running.and_then(|endpoints| endpoints.first().cloned()),
        };
        let message = claim.to_message(f, own);
        self.claims.insert((f, own.clone()), claim);
        message
    }

    fn claims_on(&self, f: Fingerprint) -> impl Iterator<Item = (&DaemonId, &Claim)> {
        self.claims
            .iter()
            .filter(move |((claimed, _), _)| *claimed == f)
            .map(|((_, by), claim)| (by, claim))
    }
}

impl Claim {
    fn holds(&self, now: Timestamp) -> bool {
        !self.is_ended && now.since(self.at) < CLAIM_TTL
    }

    fn to_message(&self, f: Fingerprint, by: &DaemonId) -> TrialClaim {
        TrialClaim {
            fingerprint: f,
            by: by.clone(),
            at: self.at,
            is_ended: self.is_ended,
            endpoint: self.endpoint.clone(),
        }
    }
}
