//! Retention of quarantine records, and the snapshot for a new peer.

use std::collections::BTreeMap;
use std::time::Duration;

use super::crash::{self, Observation, ReportKey, RequestState};
use super::{
    Clearance, CrashReport, Quarantine, QuarantineRecord, RECLAIM_WINDOW, Reclaim, Return,
    Suspicion,
};
use crate::decision::Journal;
use crate::ids::EndpointId;
use crate::units::Timestamp;

/// Time for which a crash is evidence against requests that have not been cleared.
pub(super) const REPORT_TTL: Duration = Duration::from_secs(24 * 3600);
/// Time for which a crash that is no evidence against any request is kept.
const UNUSED_REPORT_TTL: Duration = Duration::from_secs(180);
/// Time for which a request stays quarantined.
const QUARANTINE_TTL: Duration = Duration::from_secs(7 * 24 * 3600);
/// Maximum number of crash reports kept.
pub(super) const MAX_REPORTS: usize = 256;
/// Maximum number of quarantines, of clearances and of reclaims kept.
const MAX_RECORDS: usize = 16_384;

impl Quarantine {
    /// Drops expired records and the oldest ones above the limits.
    pub fn tick(&mut self, now: Timestamp) {
        self.trials.expire(now);
        self.drop_reports(now);
        expire(&mut self.outcomes.reclaims, now, RECLAIM_WINDOW * 2);
        self.expire_returns(now);
        expire(&mut self.cleared, now, QUARANTINE_TTL);
        expire(&mut self.quarantined, now, QUARANTINE_TTL);
        self.refresh(now, &mut Journal::default());
    }

    /// Returns all records, for a peer that has just started.
    pub fn snapshot(&self) -> Suspicion {
        let clearance = |(&fingerprint, &at): (&_, &_)| Clearance { fingerprint, at };
        let record = |(&fingerprint, &at): (&_, &_)| QuarantineRecord { fingerprint, at };
        let reclaim = |(endpoint, &at): (&EndpointId, &_)| Reclaim {
            endpoint: endpoint.clone(),
            at,
        };
        let returned = |(endpoint, at): &(EndpointId, Timestamp)| Return {
            endpoint: endpoint.clone(),
            at: *at,
        };
        Suspicion {
            returns: self.outcomes.returns.iter().map(returned).collect(),
            reports: self.reports.iter().map(to_report).collect(),
            reclaims: self.outcomes.reclaims.iter().map(reclaim).collect(),
            cleared: self.cleared.iter().map(clearance).collect(),
            quarantined: self.quarantined.iter().map(record).collect(),
            trials: self.trials.claims().collect(),
        }
    }

    fn expire_returns(&mut self, now: Timestamp) {
        let returns = &mut self.outcomes.returns;
        returns.retain(|(_, at)| now.since(*at) < REPORT_TTL);
        while returns.len() > MAX_REPORTS {
            let oldest = returns.iter().min_by_key(|(_, at)| *at).cloned();
            oldest.map(|key| returns.remove(&key));
        }
    }

    /// Drops expired reports, after recording the quarantines that are based on them.
    pub(super) fn drop_reports(&mut self, now: Timestamp) {
        for (f, state) in &self.request_states {
            if let RequestState::Quarantined { from } = state
                && from.after(RECLAIM_WINDOW) <= now
            {
                self.quarantined.entry(*f).or_insert(*from);
            }
        }
        let mut crashes = crash::group(&self.reports, &self.cleared, &self.outcomes);
        crash::request_states(&mut crashes, &self.active_records());
        let unused_before = Timestamp(now.0.saturating_sub(UNUSED_REPORT_TTL.as_micros() as u64));
        let unused = crash::without_evidence(&crashes, unused_before);
        self.reports
            .retain(|key, _| now.since(key.1) < REPORT_TTL && !unused.contains(key));
        while self.reports.len() > MAX_REPORTS {
            let oldest = self.reports.keys().min_by_key(|(_, at, _)| *at).cloned();
            oldest.map(|key| self.reports.remove(&key));
        }
    }
}

/// Converts a report to its message form.
pub(super) fn to_report((key, observation): (&ReportKey, &Observation)) -> CrashReport {
    let (endpoint, at, from) = key;
    CrashReport {
        endpoint: endpoint.clone(),
        at: *at,
        from: from.clone(),
        reached_at: observation.reached_at,
        in_flight: observation.in_flight.iter().copied().collect(),
    }
}

fn expire<K: Ord + Clone>(records: &mut BTreeMap<K, Timestamp>, now: Timestamp, ttl: Duration) {
    records.retain(|_, at| now.since(*at) < ttl);
    while records.len() > MAX_RECORDS {
        let oldest = records.iter().min_by_key(|(_, at)| **at);
        let Some(key) = oldest.map(|(key, _)| key.clone()) else {
            return;
        };
        records.remove(&key);
    }
}
