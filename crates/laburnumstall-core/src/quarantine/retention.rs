//! What a quarantine keeps, for how long, and what it gives to a new peer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::crash::{self, Standing};
use super::{Clearance, Conviction, CrashReport, Quarantine, RECLAIM_WINDOW, Reclaim, Suspicion};
use crate::decision::Journal;
use crate::ids::{DaemonId, EndpointId};
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
        expire(&mut self.reclaims, now, RECLAIM_WINDOW * 2);
        expire(&mut self.cleared, now, CONVICTION_TTL);
        expire(&mut self.convicted, now, CONVICTION_TTL);
        self.refresh(now, &mut Journal::default());
    }

    /// Returns everything known, for a peer that has just started.
    pub fn snapshot(&self) -> Suspicion {
        let report =
            |((endpoint, at, from), in_flight): (&(EndpointId, _, DaemonId), &BTreeSet<_>)| {
                CrashReport {
                    endpoint: endpoint.clone(),
                    at: *at,
                    from: from.clone(),
                    in_flight: in_flight.iter().copied().collect(),
                }
            };
        let clearance = |(&fingerprint, &at): (&_, &_)| Clearance { fingerprint, at };
        let conviction = |(&fingerprint, &at): (&_, &_)| Conviction { fingerprint, at };
        let reclaim = |(endpoint, &at): (&EndpointId, &_)| Reclaim {
            endpoint: endpoint.clone(),
            at,
        };
        Suspicion {
            reports: self.reports.iter().map(report).collect(),
            reclaims: self.reclaims.iter().map(reclaim).collect(),
            cleared: self.cleared.iter().map(clearance).collect(),
            convicted: self.convicted.iter().map(conviction).collect(),
            trials: self.trials.claims().collect(),
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
        let mut crashes = crash::group(&self.reports, &self.cleared, &self.reclaims);
        crash::standings(&mut crashes, &self.standing_convictions());
        let idle_before = Timestamp(now.0.saturating_sub(IDLE_REPORT_TTL.as_micros() as u64));
        let idle = crash::without_evidence(&crashes, idle_before);
        self.reports.retain(|(endpoint, at, _), _| {
            now.since(*at) < REPORT_TTL && !idle.iter().any(|crash| crash.includes(endpoint, *at))
        });
        while self.reports.len() > MAX_REPORTS {
            let oldest = self.reports.keys().min_by_key(|(_, at, _)| *at).cloned();
            oldest.map(|key| self.reports.remove(&key));
        }
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
