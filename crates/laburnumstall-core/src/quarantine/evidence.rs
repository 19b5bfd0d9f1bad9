//! Messages that share the evidence against requests with peers.

use std::collections::BTreeSet;

use super::crash::{Observation, RequestTimes};
use super::suspicion::TrialClaim;
use super::{Clearance, Quarantine, QuarantineRecord, Suspicion, Verdict, retention};
use crate::ids::{EndpointId, Fingerprint};
use crate::units::Timestamp;

impl Quarantine {
    /// Returns the records that a peer needs before it retries a suspect: claims on suspects
    /// that this daemon already runs, and all evidence on the suspects of the peer's message.
    ///
    /// Call it after merging the message, and send the reply with the acknowledgement.
    pub fn reply(&self, received: &Suspicion) -> Suspicion {
        let reported = received.reports.iter().flat_map(|report| &report.in_flight);
        let claimed = received.trials.iter().map(|claim| &claim.fingerprint);
        let suspects: BTreeSet<Fingerprint> = reported.chain(claimed).copied().collect();
        let is_wanted = |claim: &TrialClaim| {
            claim.by == self.own
                && (claim.endpoint.is_some() || suspects.contains(&claim.fingerprint))
        };
        Suspicion {
            trials: self.trials.claims().filter(is_wanted).collect(),
            ..self.evidence(received, &suspects)
        }
    }

    /// Returns the evidence that a peer needs before it runs a request for the first time, or
    /// `None` if the request is not suspect.
    ///
    /// It is sent with the acknowledgement of the request's copy, so that it arrives in time
    /// even if the peer was partitioned from the daemons that noticed the crashes.
    pub fn warning(&self, now: Timestamp, fingerprint: Fingerprint) -> Option<Suspicion> {
        if self.verdict(now, fingerprint) == Verdict::Clear {
            return None;
        }
        let suspects = BTreeSet::from([fingerprint]);
        Some(self.evidence(&Suspicion::default(), &suspects))
    }

    /// Returns whether a crash of the endpoint with the request in flight is recorded, and
    /// this daemon has not reached the endpoint since.
    ///
    /// If so, the loss of the request's stream on the endpoint is no sign of another crash.
    pub fn knows_crash(
        &self,
        fingerprint: Fingerprint,
        endpoint: &EndpointId,
        reached_at: Option<Timestamp>,
    ) -> bool {
        self.reports.iter().any(|((of, at, _), observation)| {
            of == endpoint
                && observation.in_flight.contains(&fingerprint)
                && reached_at.is_none_or(|reached| reached <= *at)
        })
    }

    /// Returns the evidence for and against requests, without the reports just received.
    ///
    /// Each daemon sends only its own claims, so that those of an unreachable daemon expire.
    fn evidence(&self, received: &Suspicion, of: &BTreeSet<Fingerprint>) -> Suspicion {
        let is_of = |(_, observation): &(_, &Observation)| !observation.in_flight.is_disjoint(of);
        let reports = self.reports.iter().filter(is_of).map(retention::to_report);
        let dated = |known: &RequestTimes| -> Vec<(Fingerprint, Timestamp)> {
            let known = known.iter().filter(|(f, _)| of.contains(f));
            known.map(|(f, at)| (*f, *at)).collect()
        };
        Suspicion {
            reports: reports.filter(|r| !received.reports.contains(r)).collect(),
            cleared: dated(&self.cleared)
                .into_iter()
                .map(|(fingerprint, at)| Clearance { fingerprint, at })
                .collect(),
            quarantined: dated(&self.quarantined)
                .into_iter()
                .map(|(fingerprint, at)| QuarantineRecord { fingerprint, at })
                .collect(),
            ..Suspicion::default()
        }
    }

    /// Queues every report against a quarantined request for all peers, since the reporting
    /// daemons may not reach each other.
    pub(super) fn share_evidence(&mut self, f: Fingerprint) {
        let is_against = |(_, observation): &(_, &Observation)| observation.in_flight.contains(&f);
        let against = self.reports.iter().filter(is_against);
        self.pending_gossip
            .reports
            .extend(against.map(retention::to_report));
    }
}
