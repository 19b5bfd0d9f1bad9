//! Which prompt tokens were processed, and which of them more than once.
//!
//! A token counts as recomputed if some engine had already processed it for the same
//! conversation or the same request. The beginning that all requests of a service share
//! belongs to no conversation and is not counted.

use std::collections::BTreeSet;

use laburnumstall_core::ids::{AttemptId, RequestId};
use laburnumstall_core::request::{BlockHash, Request};

use crate::engine::BLOCK_TOKENS;

/// Counts of prompt tokens over all engines.
#[derive(Debug, Clone, Default)]
pub(crate) struct Ledger {
    /// Whether every block that was computed anywhere is cached everywhere.
    caches_all: bool,
    /// Whether counting has begun.
    pub(crate) is_counting: bool,
    shared: BTreeSet<BlockHash>,
    blocks: BTreeSet<BlockHash>,
    requests: BTreeSet<RequestId>,
    /// Prompt tokens that came with attempts.
    pub(crate) prompt: u64,
    /// Prompt tokens that were processed.
    pub(crate) prefilled: u64,
    /// Of those, tokens that had been processed before.
    pub(crate) recomputed: u64,
}

impl Ledger {
    pub(crate) fn new(caches_all: bool, shared: BTreeSet<BlockHash>) -> Self {
        Self {
            caches_all,
            shared,
            ..Self::default()
        }
    }

    pub(crate) fn caches_all(&self) -> bool {
        self.caches_all
    }

    /// Returns the leading blocks that some engine has computed.
    pub(crate) fn known_blocks(&self, prefix: &[BlockHash]) -> usize {
        let is_known = |block: &&BlockHash| self.blocks.contains(block);
        prefix.iter().take_while(is_known).count()
    }

    /// Counts the prompt of an attempt; returns the tokens that have to be processed.
    pub(crate) fn count_prefill(
        &mut self,
        attempt: &AttemptId,
        request: &Request,
        generated: u64,
        cached: usize,
    ) -> u64 {
        let prompt = request.prompt.get() + generated;
        let left = prompt.saturating_sub(cached as u64 * BLOCK_TOKENS).max(1);
        if !self.is_counting {
            return left;
        }
        let is_known =
            |block: &&BlockHash| self.blocks.contains(block) && !self.shared.contains(block);
        let again = request.prefix[cached..].iter().filter(is_known).count() as u64;
        let in_blocks = request.prefix.len() as u64 * BLOCK_TOKENS;
        let rest = match self.requests.contains(&attempt.request) {
            true => prompt.saturating_sub(in_blocks),
            false => 0,
        };
        self.prompt += prompt;
        self.prefilled += left;
        self.recomputed += (again * BLOCK_TOKENS + rest).min(left);
        left
    }

    /// Notes that an engine has processed a request's prompt.
    pub(crate) fn computed(&mut self, id: &RequestId, request: &Request) {
        self.blocks.extend(&request.prefix);
        self.requests.insert(id.clone());
    }
}
