//! Claims: who may dispatch a non-idempotent request.
//!
//! A claim is a record in a log in the key-value service, one log for each shard of the
//! key space, written by compare-and-swap. A daemon dispatches a non-idempotent request
//! only after a swap has put a claim with its own incarnation into the log, or after a
//! read has shown it there. A claim that is neither released nor expired bars every
//! other daemon for good, whatever has become of its holder.
//!
//! [`Claims`] collects the wishes of one daemon, groups those of a shard into one write,
//! reads back after a lost reply, and tells a [`ClaimEvent`] for each wish.

mod key;
mod log;
mod shard;
mod table;

pub use key::{ClaimKey, KeyTime, KeyTimeError, SHARDS, ShardId};
pub use log::{Claim, ClaimLog, ClaimLogError, ClaimState, MAX_LOG_BYTES};
pub use shard::{ClaimAction, ClaimIntent};
pub use table::{ClaimEvent, ClaimOutcome, ClaimRequest, Claims};
