//! Prefill time of prompts.
//!
//! A batch engine prefills prompts in chunks between the decode steps of running streams, in
//! order of arrival; attention makes each token more expensive the more tokens precede it. The
//! constants describe a 70-billion-parameter model on two to four accelerators; the load
//! balancer tracks each endpoint's actual times as a factor on them.

use std::time::Duration;

/// Prompt tokens that a typical engine prefills per millisecond.
const TOKENS_PER_MS: f64 = 60.0;
/// Attention time in milliseconds per million pairs of a token and a preceding token.
const MS_PER_MILLION_PAIRS: f64 = 0.3;
/// Factor for the decode steps between two chunks: 3 to 5 ms per chunk of 17 ms.
const DECODE_FACTOR: f64 = 1.25;

/// Returns the time to prefill a prompt of `tokens`, the first `cached` of which are in the
/// engine's prefix cache.
pub fn prefill_time(tokens: u32, cached: u32) -> Duration {
    let total_tokens = f64::from(tokens);
    let cached_tokens = f64::from(cached.min(tokens));
    let pairs = (total_tokens * total_tokens - cached_tokens * cached_tokens) / 2.0;
    let ms = (total_tokens - cached_tokens) / TOKENS_PER_MS + pairs / 1e6 * MS_PER_MILLION_PAIRS;
    Duration::from_secs_f64(ms * DECODE_FACTOR / 1_000.0)
}
