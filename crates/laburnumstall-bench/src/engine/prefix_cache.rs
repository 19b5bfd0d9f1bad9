//! A bounded prefix cache that evicts the block that was used longest ago.

use std::collections::BTreeMap;

use laburnumstall_core::request::BlockHash;

/// Blocks of prompts that an engine has computed.
#[derive(Debug, Clone, Default)]
pub(crate) struct PrefixCache {
    capacity: usize,
    used: BTreeMap<BlockHash, u64>,
    order: BTreeMap<u64, BlockHash>,
    clock: u64,
}

/// What an insertion changed.
#[derive(Debug, Default)]
pub(crate) struct CacheChange {
    pub(crate) stored: Vec<BlockHash>,
    pub(crate) evicted: Vec<BlockHash>,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Returns the number of leading blocks that are cached, and marks them as used.
    pub(crate) fn use_prefix(&mut self, prefix: &[BlockHash]) -> usize {
        let is_cached = |block: &&BlockHash| self.used.contains_key(block);
        let cached = prefix.iter().take_while(is_cached).count();
        for block in prefix[..cached].iter().rev() {
            self.touch(*block);
        }
        cached
    }

    /// Stores the blocks of a prompt; the last ones are evicted first.
    pub(crate) fn insert(&mut self, prefix: &[BlockHash]) -> CacheChange {
        let mut change = CacheChange::default();
        for block in prefix.iter().rev() {
            if !self.touch(*block) {
                change.stored.push(*block);
            }
        }
        while self.used.len() > self.capacity {
            let Some((_, block)) = self.order.pop_first() else {
                break;
            };
            self.used.remove(&block);
            change.evicted.push(block);
        }
        change
    }

    /// Marks a block as used now; returns whether it was there.
    fn touch(&mut self, block: BlockHash) -> bool {
        self.clock += 1;
        let old = self.used.insert(block, self.clock);
        if let Some(old) = old {
            self.order.remove(&old);
        }
        self.order.insert(self.clock, block);
        old.is_some()
    }
}
