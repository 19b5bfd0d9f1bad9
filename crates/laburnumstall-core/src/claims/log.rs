//! The log of claims of one shard, as it is stored.

use crate::claims::ClaimKey;
use crate::ids::{DaemonId, Fingerprint, RequestId};
use crate::units::Timestamp;
use crate::{domain, domain_value};

/// Largest encoded log, in bytes; the key-value service holds values up to a megabyte.
pub const MAX_LOG_BYTES: usize = 900_000;

/// Format of the stored log; the first byte of the value.
const LOG_FORMAT: u8 = 1;

domain_value! {
    /// Whether a claim still bars other daemons.
    #[serde(rename_all = "kebab-case")]
    pub enum ClaimState {
        /// The holder may dispatch, or has dispatched.
        Held,
        /// The holder has not dispatched and never will.
        Released,
    }
}

domain! {
    /// The right of one daemon incarnation to dispatch one request.
    pub struct Claim {
        /// Name of the claim.
        pub key: ClaimKey,
        /// Daemon that may dispatch.
        pub holder: DaemonId,
        /// Request that it may dispatch.
        pub request: RequestId,
        /// Fingerprint of that request.
        pub fingerprint: Fingerprint,
        /// Whether the claim bars others.
        pub state: ClaimState,
        /// When it can be forgotten.
        pub expires: Timestamp,
    }

    /// All claims of one shard.
    #[derive(Default)]
    pub struct ClaimLog {
        /// Claims, oldest first.
        pub claims: Vec<Claim>,
    }
}

/// A stored log that could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimLogError;

impl std::fmt::Display for ClaimLogError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stored claim log is not in a known format")
    }
}

impl std::error::Error for ClaimLogError {}

impl ClaimLog {
    /// Finds a claim by name.
    pub fn find(&self, key: ClaimKey) -> Option<&Claim> {
        self.claims.iter().find(|claim| claim.key == key)
    }

    /// Adds a claim or replaces the one with the same name.
    pub fn put(&mut self, claim: Claim) {
        match self.claims.iter_mut().find(|old| old.key == claim.key) {
            Some(old) => *old = claim,
            None => self.claims.push(claim),
        }
    }

    /// Drops the claims that can be forgotten.
    pub fn compact(&mut self, now: Timestamp) {
        self.claims.retain(|claim| claim.expires > now);
    }

    /// Writes the log as it is stored.
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = vec![LOG_FORMAT];
        let body = postcard::to_stdvec(self).expect("a claim log has no unencodable part");
        buf.extend_from_slice(&body);
        buf
    }

    /// Reads a stored log.
    ///
    /// # Errors
    ///
    /// Returns [`ClaimLogError`] for an unknown format. The caller must then treat every
    /// claim of the shard as taken, and never as free.
    pub fn decode(buf: &[u8]) -> Result<Self, ClaimLogError> {
        match buf.split_first() {
            Some((&LOG_FORMAT, body)) => postcard::from_bytes(body).map_err(|_| ClaimLogError),
            _ => Err(ClaimLogError),
        }
    }
}
