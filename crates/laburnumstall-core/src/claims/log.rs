//! The stored claim log of a shard.

use crate::claims::ClaimKey;
use crate::ids::{DaemonId, Fingerprint, RequestId};
use crate::units::Timestamp;
use crate::{domain, domain_value};

/// Maximum size of an encoded log; the key-value service limits values to one megabyte.
pub const MAX_LOG_BYTES: usize = 900_000;

/// Format version of the stored log: the first byte of the value.
const LOG_FORMAT: u8 = 1;

domain_value! {
    /// Whether a claim excludes other daemons.
    #[serde(rename_all = "kebab-case")]
    pub enum ClaimState {
        /// The holder may dispatch, or has dispatched.
        Held,
        /// The holder has not dispatched and never will.
        Released,
    }
}

domain! {
    /// The right of a daemon incarnation to dispatch a request.
    pub struct Claim {
        /// Key of the claim.
        pub key: ClaimKey,
        /// Daemon that may dispatch the request.
        pub holder: DaemonId,
        /// The claimed request.
        pub request: RequestId,
        /// Fingerprint of that request.
        pub fingerprint: Fingerprint,
        /// Whether the claim excludes other daemons.
        pub state: ClaimState,
        /// When the claim may be removed.
        pub expires: Timestamp,
    }

    /// The claims of a shard.
    #[derive(Default)]
    pub struct ClaimLog {
        /// Claims, in the order in which they were added.
        pub claims: Vec<Claim>,
    }
}

/// A stored claim log could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimLogError;

impl std::fmt::Display for ClaimLogError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stored claim log is not in a known format")
    }
}

impl std::error::Error for ClaimLogError {}

impl ClaimLog {
    /// Finds a claim by key.
    pub fn find(&self, key: ClaimKey) -> Option<&Claim> {
        self.claims.iter().find(|claim| claim.key == key)
    }

    /// Adds a claim, replacing one with the same key.
    pub fn put(&mut self, claim: Claim) {
        match self.claims.iter_mut().find(|old| old.key == claim.key) {
            Some(old) => *old = claim,
            None => self.claims.push(claim),
        }
    }

    /// Removes expired claims.
    pub fn compact(&mut self, now: Timestamp) {
        self.claims.retain(|claim| claim.expires > now);
    }

    /// Encodes the log for storage.
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = vec![LOG_FORMAT];
        let body = postcard::to_stdvec(self).expect("a claim log can always be encoded");
        buf.extend_from_slice(&body);
        buf
    }

    /// Decodes a stored log.
    ///
    /// # Errors
    ///
    /// Returns [`ClaimLogError`] if the format is unknown. The caller must then treat every
    /// claim of the shard as held.
    pub fn decode(buf: &[u8]) -> Result<Self, ClaimLogError> {
        match buf.split_first() {
            Some((&LOG_FORMAT, body)) => postcard::from_bytes(body).map_err(|_| ClaimLogError),
            _ => Err(ClaimLogError),
        }
    }
}
