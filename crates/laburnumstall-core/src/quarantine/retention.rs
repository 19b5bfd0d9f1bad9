//! What a quarantine keeps, for how long, and what it gives to a new peer.

use std::collections::BTreeMap;
use std::time::Duration;

use super::crash::{self, Noticed, ReportKey, Standing};
use super::{
    Clearance, CrashReport, Quarantine, QuarantineRecord, RECLAIM_WINDOW, Reclaim, Return,
    Suspicion,
};
use crate::decision::Journal;
use crate::ids::EndpointId;
use crate::units::Timestamp;

/// Time that a crash counts against requests that have not been cleared.
pub(super) const REPORT_TTL: Duration = Duration::from_secs(24 * 3600);
/// Time that a crash is kept that counts against no request.
const IDLE_REPORT_TTL: Duration = Duration::from_secs(180);
/// Time that a request stays quarantined.
const CONVICTION_TTL: Duration = Duration::from_secs(7 * 24 * 3600);
/// Most crash reports kept.
pub(super) const MAX_REPORTS: usize = 256;
/// Most convictions, most clearances and most reclaims kept.
const MAX_RECORDS: usize = 16_384;

impl Quarantine {
    /// Drops what has expired and keeps the state within its bounds.
    pub fn tick(&mut self, now: Timestamp) {
        self.trials.expire(now);
        self.drop_reports(now);
        expire(&mut self.ends.reclaims, now, RECLAIM_WINDOW * 2);
        self.expire_returns(now);
        expire(&mut self.cleared, now, CONVICTION_TTL);
        expire(&mut self.convicted, now, CONVICTION_TTL);
        self.refresh(now, &mut Journal::default());
    }

    /// Returns everything known, for a peer that has just started.
    pub fn snapshot(&self) -> Suspicion {
        let clearance = |(&fingerprint, &at): (&_, &_)| Clearance { fingerprint, at };
        let conviction = |(&fingerprint, &at): (&_, &_)| QuarantineRecord { fingerprint, at };
        let reclaim = |(endpoint, &at): (&EndpointId, &_)| Reclaim {
            endpoint: endpoint.clone(),
            at,
        };
        let returned = |(endpoint, at): &(EndpointId, Timestamp)| Return {
            endpoint: endpoint.clone(),
            at: *at,
        };
        Suspicion {
            returns: self.ends.returns.iter().map(returned).collect(),
            reports: self.reports.iter().map(told).collect(),
            reclaims: self.ends.reclaims.iter().map(reclaim).collect(),
            cleared: self.cleared.iter().map(clearance).collect(),
            convicted: self.convicted.iter().map(conviction).collect(),
            trials: self.trials.claims().collect(),
        }
    }

    fn expire_returns(&mut self, now: Timestamp) {
        let returns = &mut self.ends.returns;
        returns.retain(|(_, at)| now.since(*at) < REPORT_TTL);
        while returns.len() > MAX_REPORTS {
            let oldest = returns.iter().min_by_key(|(_, at)| *at).cloned();
            oldest.map(|key| returns.remove(&key));
        }
    }

    /// Drops expired reports, after the convictions that rest on them are recorded.
    pub(super) fn drop_reports(&mut self, now: Timestamp) {
        for (f, standing) in &self.standings {
            if let Standing::Convicted { from } = standing
                && from.after(RECLAIM_WINDOW) <= now
            {
                self.convicted.entry(*f).or_insert(*from);
            }
        }
        let mut crashes = crash::group(&self.reports, &self.cleared, &self.ends);
        crash::standings(&mut crashes, &self.standing_convictions());
        let idle_before = Timestamp(now.0.saturating_sub(IDLE_REPORT_TTL.as_micros() as u64));
        let idle = crash::without_evidence(&crashes, idle_before);
        self.reports
            .retain(|key, _| now.since(key.1) < REPORT_TTL && !idle.contains(key));
        while self.reports.len() > MAX_REPORTS {
            let oldest = self.reports.keys().min_by_key(|(_, at, _)| *at).cloned();
            oldest.map(|key| self.reports.remove(&key));
        }
    }
}

/// Returns a report as peers are told of it.
pub(super) fn told((key, noticed): (&ReportKey, &Noticed)) -> CrashReport {
    let (endpoint, at, from) = key;
    CrashReport {
        endpoint: endpoint.clone(),
        at: *at,
        from: from.clone(),
        reached_at: noticed.reached_at,
        in_flight: noticed.in_flight.iter().copied().collect(),
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
