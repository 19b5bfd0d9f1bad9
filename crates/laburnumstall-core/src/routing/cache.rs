//! What a daemon believes of an endpoint's prefix cache.
//!
//! The belief has two sources: prompts that this daemon sent, and the endpoint's reports
//! of stored and evicted blocks, which are late and can be lost. Each block has a trust,
//! which a gap in the reports lowers, since the lost ones may have told of its eviction.

use std::collections::BTreeMap;

use crate::domain;
use crate::ids::EndpointId;
use crate::request::BlockHash;
use crate::units::Timestamp;

/// Trust in a block that is surely cached.
pub(super) const FULL_TRUST: u32 = 256;
/// Trust below which a block is forgotten.
const MIN_TRUST: u32 = 16;
/// Most blocks known of one endpoint.
const MAX_BLOCKS: usize = 8192;
/// Consecutive reports with old numbers that show that the endpoint counts anew.
const RESTART_REPORTS: u32 = 3;

domain! {
    /// What an endpoint says of its prefix cache; it arrives late, and some of it never.
    pub struct CacheReport {
        /// Endpoint that reports.
        pub endpoint: EndpointId,
        /// Number of the first event that the report covers.
        pub first: u64,
        /// Number of the last event that the report covers.
        pub last: u64,
        /// Blocks stored.
        pub stored: Vec<BlockHash>,
        /// Blocks evicted, after the stored ones.
        pub evicted: Vec<BlockHash>,
    }
}

#[derive(Debug, Clone, Copy)]
struct Known {
    trust: u32,
    used_at: Timestamp,
}

/// The blocks that one endpoint is believed to hold.
#[derive(Debug, Clone, Default)]
pub(super) struct CacheView {
    blocks: BTreeMap<BlockHash, Known>,
    next_event: Option<u64>,
    /// Number that continues the last report with old numbers.
    next_old_event: Option<u64>,
    old_reports: u32,
}

impl CacheView {
    /// Takes in a prompt that this daemon sent to the endpoint.
    pub(super) fn on_sent(&mut self, now: Timestamp, prefix: &[BlockHash]) {
        for block in prefix {
            self.insert(now, *block);
        }
        self.bound();
    }

    /// Takes in a report; returns whether events before it are missing.
    pub(super) fn on_report(&mut self, now: Timestamp, report: &CacheReport) -> bool {
        let expected = self.next_event.unwrap_or(report.first);
        if report.last < expected && !self.is_restart(report) {
            return false;
        }
        let is_gap = report.first > expected;
        if is_gap {
            self.lower_trust(report.first - expected);
        }
        self.next_event = Some(report.last + 1);
        for block in &report.stored {
            self.insert(now, *block);
        }
        for block in &report.evicted {
            self.blocks.remove(block);
        }
        self.bound();
        is_gap
    }

    /// Counts consecutive reports with old numbers; enough of them start the view afresh.
    fn is_restart(&mut self, report: &CacheReport) -> bool {
        let is_next = self.next_old_event == Some(report.first);
        self.old_reports = if is_next { self.old_reports + 1 } else { 1 };
        self.next_old_event = Some(report.last + 1);
        let is_restart = self.old_reports >= RESTART_REPORTS;
        if is_restart {
            *self = Self::default();
        }
        is_restart
    }

    /// Returns the leading blocks of `prefix` that are believed cached, each weighted by
    /// its trust, in parts of [`FULL_TRUST`].
    pub(super) fn matched(&self, prefix: &[BlockHash]) -> u64 {
        let mut trust = FULL_TRUST;
        let mut matched = 0;
        for block in prefix {
            let Some(known) = self.blocks.get(block) else {
                break;
            };
            trust = trust.min(known.trust);
            matched += u64::from(trust);
        }
        matched
    }

    fn insert(&mut self, now: Timestamp, block: BlockHash) {
        let known = Known {
            trust: FULL_TRUST,
            used_at: now,
        };
        self.blocks.insert(block, known);
    }

    /// Lowers the trust in every block by the chance that one of the events that were lost
    /// told of its eviction: at most one block for each event.
    fn lower_trust(&mut self, lost: u64) {
        let known = self.blocks.len() as u64;
        let kept = known.saturating_sub(lost);
        self.blocks.retain(|_, block| {
            block.trust = (u64::from(block.trust) * kept / known.max(1)) as u32;
            block.trust >= MIN_TRUST
        });
    }

    /// Forgets the least recently used eighth when there are too many blocks.
    fn bound(&mut self) {
        if self.blocks.len() <= MAX_BLOCKS {
            return;
        }
        let mut times: Vec<Timestamp> = self.blocks.values().map(|known| known.used_at).collect();
        times.sort_unstable();
        let oldest_kept = times[self.blocks.len() - MAX_BLOCKS * 7 / 8];
        self.blocks.retain(|_, known| known.used_at >= oldest_kept);
        while self.blocks.len() > MAX_BLOCKS {
            self.blocks.pop_last();
        }
    }
}
