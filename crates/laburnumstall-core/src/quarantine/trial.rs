//! Who may retry a suspect: one daemon at a time, the one with the earliest claim.
//!
//! Each daemon tells its claim to its peers before it retries, and dates it later than
//! every claim that it knows. So a daemon that retries is known to every peer that it
//! reached, and of two claims that cross, both daemons see the same one as the earlier.
//! A copy that ran before the suspicion is claimed with its endpoint and goes first.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::suspicion::TrialClaim;
use crate::ids::{DaemonId, EndpointId, Fingerprint};
use crate::units::Timestamp;

/// Time after which a claim no longer holds, so that a silent holder blocks nobody for long.
const CLAIM_TTL: Duration = Duration::from_secs(30);
/// Time after which a daemon looks again whether its own other copy has ended.
const OWN_COPY_POLL: Duration = Duration::from_secs(1);

/// Whose turn it is to retry a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Turn {
    /// This daemon's.
    Own,
    /// Nobody has claimed it.
    Unclaimed,
    /// Another's, or an earlier retry of this daemon runs, until the time given.
    Later(Timestamp),
}

/// A daemon's latest claim on a suspect; a later or an ended one replaces it.
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
    /// Endpoints on which this daemon has a copy of a request now.
    running: BTreeMap<Fingerprint, Vec<EndpointId>>,
}

impl Trials {
    /// Claims a suspect for `own`.
    pub(super) fn claim(&mut self, now: Timestamp, f: Fingerprint, own: &DaemonId) -> TrialClaim {
        let latest = self.of(f).map(|(_, claim)| claim.at).max();
        let at = latest.map_or(now, |latest| now.max(Timestamp(latest.0 + 1)));
        self.insert(f, own, at)
    }

    /// Claims a suspect whose copy crashed here, unless another copy still runs under a claim.
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

    /// Claims a suspect that already runs here: such a claim goes before all others.
    ///
    /// Returns `None` if it does not run here or is claimed already.
    pub(super) fn claim_running(
        &mut self,
        f: Fingerprint,
        own: &DaemonId,
        at: Timestamp,
    ) -> Option<TrialClaim> {
        let has_own = self.claim_of(f, own).is_some();
        if has_own || !self.running.contains_key(&f) {
            return None;
        }
        Some(self.insert(f, own, at))
    }

    /// Takes in a claim; returns whether it was new.
    pub(super) fn merge(&mut self, told: &TrialClaim) -> bool {
        let claim = Claim {
            at: told.at,
            is_ended: told.is_ended,
            endpoint: told.endpoint.clone(),
        };
        let key = (told.fingerprint, told.by.clone());
        if self.claims.get(&key).is_some_and(|known| *known >= claim) {
            return false;
        }
        self.claims.insert(key, claim);
        true
    }

    /// Tells whose turn it is to retry a suspect.
    pub(super) fn turn(&self, now: Timestamp, f: Fingerprint, own: &DaemonId) -> Turn {
        if self.running.contains_key(&f) {
            return Turn::Later(now.after(OWN_COPY_POLL));
        }
        let holds = |claim: &Claim| claim.holds(now);
        let holder = self
            .of(f)
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

    /// Counts a copy that this daemon has sent to an endpoint.
    pub(super) fn start(&mut self, f: Fingerprint, endpoint: &EndpointId) {
        self.running.entry(f).or_default().push(endpoint.clone());
    }

    /// Counts the end of a copy; returns whether it was the last.
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

    /// Ends this daemon's claim on a suspect; returns what peers are to be told.
    pub(super) fn end(&mut self, f: Fingerprint, own: &DaemonId) -> Option<TrialClaim> {
        let claim = self.claims.get_mut(&(f, own.clone()))?;
        if claim.is_ended {
            return None;
        }
        claim.is_ended = true;
        Some(claim.told(f, own))
    }

    /// Drops the claims of a daemon that is gone.
    pub(super) fn forget(&mut self, daemon: &DaemonId) {
        self.claims.retain(|(_, by), _| by != daemon);
    }

    /// Drops claims that no longer hold.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.claims
            .retain(|_, claim| now.since(claim.at) < CLAIM_TTL * 2);
    }

    /// Returns a daemon's claim on a suspect that has not ended.
    pub(super) fn claim_of(&self, f: Fingerprint, by: &DaemonId) -> Option<TrialClaim> {
        let claim = self.claims.get(&(f, by.clone()))?;
        (!claim.is_ended).then(|| claim.told(f, by))
    }

    /// Returns all claims that are known.
    pub(super) fn claims(&self) -> impl Iterator<Item = TrialClaim> {
        self.claims
            .iter()
            .map(|((f, by), claim)| claim.told(*f, by))
    }

    /// Returns the endpoints that run a request for which `is_suspect` holds, as far as known.
    pub(super) fn occupied(
        &self,
        now: Timestamp,
        is_suspect: impl Fn(Fingerprint) -> bool,
    ) -> BTreeSet<EndpointId> {
        let own = self
            .running
            .iter()
            .filter(|(f, _)| is_suspect(**f))
            .flat_map(|(_, endpoints)| endpoints.iter().cloned());
        let told = self
            .claims
            .values()
            .filter(|claim| claim.holds(now))
            .filter_map(|claim| claim.endpoint.clone());
        own.chain(told).collect()
    }

    fn insert(&mut self, f: Fingerprint, own: &DaemonId, at: Timestamp) -> TrialClaim {
        let running = self.running.get(&f);
        let claim = Claim {
            at,
            is_ended: false,
            endpoint: running.and_then(|endpoints| endpoints.first().cloned()),
        };
        let told = claim.told(f, own);
        self.claims.insert((f, own.clone()), claim);
        told
    }

    fn of(&self, f: Fingerprint) -> impl Iterator<Item = (&DaemonId, &Claim)> {
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

    fn told(&self, f: Fingerprint, by: &DaemonId) -> TrialClaim {
        TrialClaim {
            fingerprint: f,
            by: by.clone(),
            at: self.at,
            is_ended: self.is_ended,
            endpoint: self.endpoint.clone(),
        }
    }
}
