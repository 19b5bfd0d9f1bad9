//! A daemon's view of an endpoint's prefix cache.
//!
//! The view has two sources: prompts that this daemon sent, and the endpoint's reports of
//! stored and evicted blocks, which are delayed and can be lost. A gap in the reports
//! lowers the confidence in each block, since its eviction may have been in a lost report.

use std::collections::BTreeMap;

use crate::domain;
use crate::ids::EndpointId;
use crate::request::BlockHash;
use crate::units::Timestamp;

/// Confidence in a block that was just sent or reported.
pub(super) const FULL_CONFIDENCE: u32 = 256;
/// Confidence below which a block is dropped from the view.
const MIN_CONFIDENCE: u32 = 16;
/// Maximum number of blocks in the view of one endpoint.
const MAX_BLOCKS: usize = 8192;
/// Number of consecutive reports with old event numbers after which the endpoint is taken to
/// have restarted.
const RESTART_REPORTS: u32 = 3;

domain! {
    /// An endpoint's report of changes to its prefix cache; it may be delayed or lost.
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
struct CachedBlock {
    confidence: u32,
    used_at: Timestamp,
}

/// The blocks that one endpoint is expected to hold.
#[derive(Debug, Clone, Default)]
pub(super) struct CacheView {
    blocks: BTreeMap<BlockHash, CachedBlock>,
    next_event: Option<u64>,
    /// Event number that follows the last report with old numbers.
    next_old_event: Option<u64>,
    old_reports: u32,
}

impl CacheView {
    /// Adds the blocks of a prompt that this daemon sent to the endpoint.
    pub(super) fn on_sent(&mut self, now: Timestamp, prefix: &[BlockHash]) {
        for block in prefix {
            self.insert(now, *block);
        }
        self.evict_excess();
    }

    /// Applies a report; returns whether events before it are missing.
    pub(super) fn on_report(&mut self, now: Timestamp, report: &CacheReport) -> bool {
        let expected = self.next_event.unwrap_or(report.first);
        if report.last < expected && !self.is_restart(report) {
            return false;
        }
        let is_gap = report.first > expected;
        if is_gap {
            self.lower_confidence(report.first - expected);
        }
        self.next_event = Some(report.last + 1);
        for block in &report.stored {
            self.insert(now, *block);
        }
        for block in &report.evicted {
            self.blocks.remove(block);
        }
        self.evict_excess();
        is_gap
    }

    /// Counts consecutive reports with old event numbers; [`RESTART_REPORTS`] of them reset the
    /// view.
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

    /// Returns the number of leading blocks of `prefix` that are expected to be cached,
    /// weighted by confidence, in units of 1/[`FULL_CONFIDENCE`].
    pub(super) fn matched(&self, prefix: &[BlockHash]) -> u64 {
        let mut confidence = FULL_CONFIDENCE;
        let mut matched = 0;
        for block in prefix {
            let Some(known) = self.blocks.get(block) else {
                break;
            };
            confidence = confidence.min(known.confidence);
            matched += u64::from(confidence);
        }
        matched
    }

    fn insert(&mut self, now: Timestamp, block: BlockHash) {
        let known = CachedBlock {
            confidence: FULL_CONFIDENCE,
            used_at: now,
        };
        self.blocks.insert(block, known);
    }

    /// Lowers the confidence in every block by the probability that one of the lost events
    /// evicted it, assuming at most one eviction for each event.
    fn lower_confidence(&mut self, lost: u64) {
        let known = self.blocks.len() as u64;
        let kept = known.saturating_sub(lost);
        self.blocks.retain(|_, block| {
            block.confidence = (u64::from(block.confidence) * kept / known.max(1)) as u32;
            block.confidence >= MIN_CONFIDENCE
        });
    }

    /// Evicts the least recently used eighth of the blocks when there are too many.
    fn evict_excess(&mut self) {
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
