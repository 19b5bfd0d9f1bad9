//! What one run measured.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnumstall_core::domain;
use laburnumstall_core::error::ErrorKind;
use laburnumstall_core::units::{Timestamp, Tokens};

use crate::caller::{Caller, CallerState, End};
use crate::faults::FaultKind;
use crate::ledger::Ledger;
use crate::workload::WorkloadName;

/// Longest time to the first token at the 95th percentile.
pub const FIRST_TOKEN_TARGET: Duration = Duration::from_secs(1);

/// Longest time between two tokens at the 95th percentile.
pub const BETWEEN_TOKENS_TARGET: Duration = Duration::from_millis(51);

/// Percentile of the latency target.
const PERCENTILE: usize = 95;

/// What is run.
#[derive(Debug, Clone)]
pub struct RunSpec {
    /// Workload.
    pub workload: WorkloadName,
    /// Faults.
    pub faults: FaultKind,
    /// Seed of all chance.
    pub seed: u64,
    /// Model replicas.
    pub replicas: usize,
    /// Factor on the rates of the text's contracts.
    pub contracts: u64,
    /// Time with requests before measurement.
    pub warm_up: Duration,
    /// Time with requests that are measured.
    pub time: Duration,
}

domain! {
    /// Refusals of one kind, each a refused try of a caller.
    pub struct RefusalCount {
        /// Kind.
        pub kind: ErrorKind,
        /// Number.
        pub count: u64,
    }

    /// What one run measured.
    pub struct Figures {
        /// Requests to models that were measured.
        pub requests: u64,
        /// Accepted idempotent requests that had no whole answer.
        pub lost: u64,
        /// Answers that were not the caller's own or not whole.
        pub damaged: u64,
        /// Non-idempotent requests that ran more than once.
        pub twice: u64,
        /// Non-idempotent requests whose callers were told that the outcome is unknown.
        pub unknown: u64,
        /// Requests that were never accepted.
        pub unserved: u64,
        /// Refused tries by kind.
        pub refused: Vec<RefusalCount>,
        /// Time to the first token, 95th percentile.
        pub first_token: Duration,
        /// Time between two tokens, 95th percentile.
        pub between_tokens: Duration,
        /// Prompt tokens that came with attempts.
        pub prompt: Tokens,
        /// Prompt tokens that engines processed.
        pub prefilled: Tokens,
        /// Of those, tokens that had been processed before.
        pub recomputed: Tokens,
        /// Calls to the key-value service in a second, in thousandths.
        pub store_calls_milli: u64,
        /// Time that was measured.
        pub time: Duration,
    }
}

impl Figures {
    pub(crate) fn new(
        spec: &RunSpec,
        from: Timestamp,
        callers: &[Caller],
        ledger: &Ledger,
        runs: &[u32],
        store_calls: u64,
    ) -> Self {
        let ended = |end: End| {
            let is_it = |caller: &&Caller| caller.state == CallerState::Over(end);
            callers.iter().filter(is_it).count() as u64
        };
        let is_measured = |caller: &&Caller| caller.is_model() && caller.sent_at >= from;
        let measured: Vec<&Caller> = callers.iter().filter(is_measured).collect();
        let open = callers.iter().filter(|caller| !caller.is_over()).count() as u64;
        Self {
            requests: measured.len() as u64,
            lost: ended(End::Lost) + open,
            damaged: ended(End::Damaged),
            twice: runs.iter().filter(|runs| **runs > 1).count() as u64,
            unknown: ended(End::Unknown),
            unserved: ended(End::Refused),
            refused: refusals(callers),
            first_token: percentile(measured.iter().map(|caller| first_token(caller)).collect()),
            between_tokens: percentile(measured.iter().flat_map(|caller| gaps(caller)).collect()),
            prompt: Tokens(ledger.prompt),
            prefilled: Tokens(ledger.prefilled),
            recomputed: Tokens(ledger.recomputed),
            store_calls_milli: store_calls * 1_000 / spec.time.as_secs().max(1),
            time: spec.time,
        }
    }

    /// Tells whether the latency target is met and every request was answered.
    pub fn meets_target(&self) -> bool {
        self.first_token <= FIRST_TOKEN_TARGET
            && self.between_tokens <= BETWEEN_TOKENS_TARGET
            && self.unserved == 0
            && self.lost == 0
    }

    /// Returns recomputed tokens in a thousandth of the prompt tokens that came.
    pub fn recomputed_permille(&self) -> u64 {
        self.recomputed.get() * 1_000 / self.prompt.get().max(1)
    }

    /// Returns prompt tokens found in caches in a thousandth of those that came.
    pub fn hit_permille(&self) -> u64 {
        let hit = self.prompt.get().saturating_sub(self.prefilled.get());
        hit * 1_000 / self.prompt.get().max(1)
    }
}

/// Returns the time to a caller's first token; one that never came counts as the longest.
fn first_token(caller: &Caller) -> Duration {
    let first = caller.token_times.first();
    first.map_or(Duration::MAX, |at| at.since(caller.sent_at))
}

fn gaps(caller: &Caller) -> impl Iterator<Item = Duration> {
    let pairs = caller.token_times.windows(2);
    pairs.map(|pair| pair[1].since(pair[0]))
}

fn percentile(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    let rank = (times.len() * PERCENTILE).div_ceil(100);
    let index = rank.saturating_sub(1);
    times.get(index).copied().unwrap_or_default()
}

fn refusals(callers: &[Caller]) -> Vec<RefusalCount> {
    let mut counts: BTreeMap<ErrorKind, u64> = BTreeMap::new();
    for refusal in callers.iter().flat_map(|caller| &caller.refusals) {
        *counts.entry(refusal.kind).or_default() += 1;
    }
    let counts = counts.into_iter();
    counts
        .map(|(kind, count)| RefusalCount { kind, count })
        .collect()
}
