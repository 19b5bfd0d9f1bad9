//! How long an engine reads a prompt.
//!
//! A batch engine reads prompts in chunks between the tokens of running streams, in the
//! order of their arrival; attention makes each token dearer the more tokens stand before
//! it. The figures are those of a 70-billion-parameter model on two to four accelerators;
//! what an endpoint really takes is learned as its pace, a factor on them.

use std::time::Duration;

/// Prompt tokens read in a millisecond by a typical engine.
const TOKENS_PER_MS: f64 = 60.0;
/// Milliseconds for a million pairs of a token and one before it.
const MS_PER_MILLION_PAIRS: f64 = 0.3;
/// Part of the time that goes to the tokens of running streams between two chunks: a step
/// of 3 to 5 ms beside a chunk of 17 ms.
const DECODE_SHARE: f64 = 1.25;

/// Returns the time to read a prompt of `tokens` of which the first `cached` are in the
/// engine's memory.
pub fn prefill_time(tokens: u32, cached: u32) -> Duration {
    let all = f64::from(tokens);
    let known = f64::from(cached.min(tokens));
    let pairs = (all * all - known * known) / 2.0;
    let ms = (all - known) / TOKENS_PER_MS + pairs / 1e6 * MS_PER_MILLION_PAIRS;
    Duration::from_secs_f64(ms * DECODE_SHARE / 1_000.0)
}
