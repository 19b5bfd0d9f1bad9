//! Counts a daemon's in-flight attempts by prefix.
//!
//! Every daemon hashes a popular prefix to the same endpoint, and reports of its load arrive
//! too late to prevent overload. A daemon therefore estimates the number of endpoints that a
//! prefix needs from its own attempts, since the other daemons see about the same load.

use std::collections::BTreeMap;

use super::candidates;
use crate::request::BlockHash;

/// Number of in-flight attempts by the prefixes whose hashes pick endpoints.
#[derive(Debug, Clone, Default)]
pub(super) struct Popularity {
    running: BTreeMap<BlockHash, u32>,
}

impl Popularity {
    /// Counts an attempt that was started; returns the prefixes to pass to [`Self::remove`].
    pub(super) fn add(&mut self, prefix: &[BlockHash]) -> Vec<BlockHash> {
        let keys: Vec<BlockHash> = candidates::depths(prefix.len())
            .map(|depth| prefix[depth - 1])
            .collect();
        for key in &keys {
            *self.running.entry(*key).or_default() += 1;
        }
        keys
    }

    /// Removes an attempt that has ended.
    pub(super) fn remove(&mut self, keys: &[BlockHash]) {
        for key in keys {
            if let Some(running) = self.running.get_mut(key) {
                *running -= 1;
                if *running == 0 {
                    self.running.remove(key);
                }
            }
        }
    }

    /// Returns the number of this daemon's in-flight attempts with a prefix.
    pub(super) fn running(&self, key: BlockHash) -> u64 {
        self.running.get(&key).copied().map_or(0, u64::from)
    }
}
