//! Claim keys, their shards, and the creation time in an idempotency key.

use std::fmt;
use std::time::Duration;

use crate::domain_value;
use crate::hash::digest64;
use crate::ids::{CustomerId, IdempotencyKey, RequestId, ServiceName};
use crate::store::StoreKey;
use crate::units::Timestamp;

/// Number of shards of the key space.
pub const SHARDS: u32 = 64;

/// Tolerated clock skew between callers and daemons.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(300);

domain_value! {
    /// Key of a claim: a digest of the customer, service and idempotency key.
    pub struct ClaimKey(pub u128);

    /// Index of a shard.
    pub struct ShardId(pub u32);
}

impl ClaimKey {
    /// Returns the claim key of a request with an idempotency key.
    pub fn of_key(customer: &CustomerId, service: &ServiceName, key: &IdempotencyKey) -> Self {
        let customer = customer.as_str().as_bytes();
        let service = service.as_str().as_bytes();
        let key = key.as_str().as_bytes();
        let low = digest64(&[b"claim-low", customer, service, key]);
        let high = digest64(&[b"claim-high", customer, service, key]);
        Self(u128::from(high) << 64 | u128::from(low))
    }

    /// Returns the claim key of a request without an idempotency key.
    pub fn of_request(request: &RequestId) -> Self {
        let text = request.to_string();
        let low = digest64(&[b"request-low", text.as_bytes()]);
        let high = digest64(&[b"request-high", text.as_bytes()]);
        Self(u128::from(high) << 64 | u128::from(low))
    }

    /// Returns the shard of the claim.
    pub fn shard(self) -> ShardId {
        ShardId((self.0 % u128::from(SHARDS)) as u32)
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl ShardId {
    /// Returns the key of the shard's log in the key-value service.
    pub fn store_key(self) -> StoreKey {
        let text = format!("claims/{:03}", self.0);
        text.parse().expect("a shard's key is a valid store key")
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:03}", self.0)
    }
}

/// Why an idempotency key cannot be used for a non-idempotent request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyTimeError {
    /// The key is not a version 7 UUID, so its age is unknown.
    NoTime,
    /// The key is older than the service's key window.
    Expired,
    /// The key was created in the future.
    InFuture,
}

/// Creation time of an idempotency key, read from a version 7 UUID (RFC 9562).
///
/// A claim may be removed only once its key is rejected as expired. The claim of a key
/// without a time would have to be retained forever.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyTime {
    /// When the key was created.
    pub created_at: Timestamp,
}

impl KeyTime {
    /// Parses the creation time and checks it against the service's key window.
    ///
    /// # Errors
    ///
    /// Returns [`KeyTimeError`] if the key has no time, is older than `window`, or is more
    /// than five minutes in the future.
    pub fn check(
        now: Timestamp,
        key: &IdempotencyKey,
        window: Duration,
    ) -> Result<Self, KeyTimeError> {
        let uuid = uuid::Uuid::try_parse(key.as_str()).map_err(|_| KeyTimeError::NoTime)?;
        if uuid.get_version_num() != 7 {
            return Err(KeyTimeError::NoTime);
        }
        let (secs, nanos) = uuid.get_timestamp().ok_or(KeyTimeError::NoTime)?.to_unix();
        let created_at = Timestamp(secs.saturating_mul(1_000_000) + u64::from(nanos / 1_000));
        if created_at > now.after(MAX_CLOCK_SKEW) {
            return Err(KeyTimeError::InFuture);
        }
        if created_at.after(window) <= now {
            return Err(KeyTimeError::Expired);
        }
        Ok(Self { created_at })
    }

    /// Returns when the claim of the key may be removed.
    ///
    /// The claim outlives the window by the request's deadline and twice the clock skew, so
    /// that no daemon removes it while another still accepts its key.
    pub fn claim_expiry(self, window: Duration, deadline: Duration) -> Timestamp {
        self.created_at
            .after(window)
            .after(deadline)
            .after(MAX_CLOCK_SKEW * 2)
    }
}
