//! What one daemon tells another of the evidence against requests.

use std::collections::BTreeSet;

use super::crash::{Dated, Noticed};
use super::suspicion::TrialClaim;
use super::{Clearance, Quarantine, QuarantineRecord, Suspicion, Verdict, retention};
use crate::ids::{EndpointId, Fingerprint};
use crate::units::Timestamp;

impl Quarantine {
    /// Returns what a peer is to know before it retries a suspect: suspects that run here
    /// already, and everything known of the suspects of the peer's message.
    ///
    /// The answer belongs to the acknowledgement of the message, after it was merged.
    pub fn reply(&self, told: &Suspicion) -> Suspicion {
        let reported = told.reports.iter().flat_map(|report| &report.in_flight);
        let claimed = told.trials.iter().map(|claim| &claim.fingerprint);
        let suspects: BTreeSet<Fingerprint> = reported.chain(claimed).copied().collect();
        let is_wanted = |claim: &TrialClaim| {
            claim.by == self.own
                && (claim.endpoint.is_some() || suspects.contains(&claim.fingerprint))
        };
        Suspicion {
            trials: self.trials.claims().filter(is_wanted).collect(),
            ..self.evidence(told, &suspects)
        }
    }

    /// Returns what a peer is to know before it runs a request for the first time, if
    /// anything speaks against the request.
    ///
    /// It goes with the acknowledgement of the request's copy, so that the peer knows it in
    /// time even if it was cut off from those who noticed the crashes.
    pub fn warning(&self, now: Timestamp, fingerprint: Fingerprint) -> Option<Suspicion> {
        if self.verdict(now, fingerprint) == Verdict::Clear {
            return None;
        }
        let suspects = BTreeSet::from([fingerprint]);
        Some(self.evidence(&Suspicion::default(), &suspects))
    }

    /// Tells whether a crash is known at which a request was in flight on an endpoint, and
    /// after which this daemon has not reached the endpoint.
    ///
    /// An endpoint that no longer knows the request's stream then tells of no other crash.
    pub fn knows_crash(
        &self,
        fingerprint: Fingerprint,
        endpoint: &EndpointId,
        reached_at: Option<Timestamp>,
    ) -> bool {
        self.reports.iter().any(|((of, at, _), noticed)| {
            of == endpoint
                && noticed.in_flight.contains(&fingerprint)
                && reached_at.is_none_or(|reached| reached <= *at)
        })
    }

    /// Returns what speaks for or against some requests, without what the peer has just told.
    ///
    /// Each daemon tells its own claims alone, so that those of a daemon that is gone end.
    fn evidence(&self, told: &Suspicion, of: &BTreeSet<Fingerprint>) -> Suspicion {
        let is_of = |(_, noticed): &(_, &Noticed)| !noticed.in_flight.is_disjoint(of);
        let reports = self.reports.iter().filter(is_of).map(retention::told);
        let dated = |known: &Dated| -> Vec<(Fingerprint, Timestamp)> {
            let known = known.iter().filter(|(f, _)| of.contains(f));
            known.map(|(f, at)| (*f, *at)).collect()
        };
        Suspicion {
            reports: reports.filter(|r| !told.reports.contains(r)).collect(),
            cleared: dated(&self.cleared)
                .into_iter()
                .map(|(fingerprint, at)| Clearance { fingerprint, at })
                .collect(),
            convicted: dated(&self.convicted)
                .into_iter()
                .map(|(fingerprint, at)| QuarantineRecord { fingerprint, at })
                .collect(),
            ..Suspicion::default()
        }
    }

    /// Tells peers every report against a convict: those who reported need not reach each other.
    pub(super) fn pass_on_evidence(&mut self, f: Fingerprint) {
        let is_against = |(_, noticed): &(_, &Noticed)| noticed.in_flight.contains(&f);
        let against = self.reports.iter().filter(is_against);
        self.news.reports.extend(against.map(retention::told));
    }
}
