//! Claims: exclusive rights to dispatch non-idempotent requests.
//!
//! A claim is a record in a log in the key-value service. Each shard of the key space has
//! one log, which is written by compare-and-swap. A daemon dispatches a non-idempotent
//! request only after a swap has added a claim with its own incarnation to the log, or a
//! read has found it there. A claim that is neither released nor expired excludes all other
//! daemons, even if its holder has failed.
//!
//! [`Claims`] collects the intents of a daemon, batches those of a shard into one write,
//! reads the log back after a lost reply, and returns a [`ClaimEvent`] for each intent.

mod key;
mod log;
mod shard;
mod table;

pub use key::{ClaimKey, KeyTime, KeyTimeError, SHARDS, ShardId};
pub use log::{Claim, ClaimLog, ClaimLogError, ClaimState, MAX_LOG_BYTES};
pub use shard::{ClaimAction, ClaimIntent};
pub use table::{ClaimEvent, ClaimOutcome, ClaimRequest, Claims};
