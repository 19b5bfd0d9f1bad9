//! A bounded prefix cache with the events that it publishes late and with gaps.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use laburnumstall_core::request::BlockHash;
use laburnumstall_outside::endpoint::{CacheChange, CacheEvent, CachePage};

use crate::history::History;

/// Prefix blocks by the time of their last use, least recently used evicted first.
pub(super) struct PrefixCache {
    capacity: usize,
    used: BTreeMap<BlockHash, u64>,
    uses: u64,
    sequence: u64,
    lost_each: u64,
    lag: Duration,
    events: History<CacheEvent>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize, lag: Duration, lost_each: u64) -> Self {
        Self {
            capacity,
            used: BTreeMap::new(),
            uses: 0,
            sequence: 0,
            lost_each,
            lag,
            events: History::default(),
        }
    }

    /// Returns how many of the first blocks are cached.
    pub(super) fn cached(&self, blocks: &[BlockHash]) -> usize {
        let is_cached = |block: &&BlockHash| self.used.contains_key(block);
        blocks.iter().take_while(is_cached).count()
    }

    /// Stores blocks and evicts those used longest ago.
    pub(super) fn store(&mut self, blocks: &[BlockHash], now: Instant) {
        let is_new = |block: &&BlockHash| !self.used.contains_key(block);
        let stored: Vec<_> = blocks.iter().filter(is_new).copied().collect();
        // The last block first, so that a prefix outlives what follows it.
        for block in blocks.iter().rev() {
            self.uses += 1;
            self.used.insert(*block, self.uses);
        }
        self.publish(CacheChange::Stored, stored, now);
        let evicted = self.evict();
        self.publish(CacheChange::Evicted, evicted, now);
    }

    /// Returns the events after number `after` that are published by now.
    pub(super) fn page(&self, after: u64, now: Instant) -> CachePage {
        let published = self.events.shown(now, self.lag);
        let events: Vec<_> = published.filter(|e| e.sequence > after).cloned().collect();
        let newest = events.last().map_or(after, |event| event.sequence);
        CachePage { newest, events }
    }

    fn evict(&mut self) -> Vec<BlockHash> {
        let excess = self.used.len().saturating_sub(self.capacity);
        let mut by_use: Vec<_> = self.used.iter().map(|(b, used)| (*used, *b)).collect();
        by_use.sort_unstable();
        let oldest: Vec<_> = by_use.into_iter().take(excess).map(|(_, b)| b).collect();
        for block in &oldest {
            self.used.remove(block);
        }
        oldest
    }

    fn publish(&mut self, change: CacheChange, blocks: Vec<BlockHash>, now: Instant) {
        if blocks.is_empty() {
            return;
        }
        self.sequence += 1;
        if self.lost_each > 0 && self.sequence.is_multiple_of(self.lost_each) {
            return;
        }
        let event = CacheEvent {
            sequence: self.sequence,
            change,
            blocks,
        };
        self.events.push(now, event);
    }
}
