//! Names of claims and of the shards that hold them, and the time that a key carries.

use std::fmt;
use std::time::Duration;

use crate::domain_value;
use crate::hash::digest64;
use crate::ids::{CustomerId, IdempotencyKey, RequestId, ServiceName};
use crate::store::StoreKey;
use crate::units::Timestamp;

/// Number of shards that the key space is split into.
pub const SHARDS: u32 = 64;

/// Clock difference between callers and daemons that is tolerated.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(300);

domain_value! {
    /// Name of a claim: a digest of the customer, the service and the idempotency key.
    pub struct ClaimKey(pub u128);

    /// Number of a shard.
    pub struct ShardId(pub u32);
}

impl ClaimKey {
    /// Returns the claim's name for a request with an idempotency key.
    pub fn of_key(customer: &CustomerId, service: &ServiceName, key: &IdempotencyKey) -> Self {
        let customer = customer.as_str().as_bytes();
        let service = service.as_str().as_bytes();
        let key = key.as_str().as_bytes();
        let low = digest64(&[b"claim-low", customer, service, key]);
        let high = digest64(&[b"claim-high", customer, service, key]);
        Self(u128::from(high) << 64 | u128::from(low))
    }

    /// Returns the claim's name for a request without an idempotency key.
    pub fn of_request(request: &RequestId) -> Self {
        let text = request.to_string();
        let low = digest64(&[b"request-low", text.as_bytes()]);
        let high = digest64(&[b"request-high", text.as_bytes()]);
        Self(u128::from(high) << 64 | u128::from(low))
    }

    /// Returns the shard that holds the claim.
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
    /// The key is not a UUID of version 7, so that its age cannot be told.
    NoTime,
    /// The key is older than the service's window.
    Expired,
    /// The key's time is in the future.
    InFuture,
}

/// The time that an idempotency key was made, read from a UUID of version 7 (RFC 9562).
///
/// A claim may be forgotten only when its key is refused for its age. A key without a
/// time would have to be kept for ever.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyTime {
    /// When the key was made.
    pub created_at: Timestamp,
}

impl KeyTime {
    /// Reads the time and checks it against the service's window.
    ///
    /// # Errors
    ///
    /// Returns [`KeyTimeError`] for a key without a time, one older than `window`, and one
    /// that is more than five minutes in the future.
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

    /// Returns when the claim under the key can be forgotten.
    ///
    /// It outlives the window by the request's deadline and twice the clock skew, so that
    /// no daemon forgets a claim while another still lets its key in.
    pub fn claim_expiry(self, window: Duration, deadline: Duration) -> Timestamp {
        self.created_at
            .after(window)
            .after(deadline)
            .after(MAX_CLOCK_SKEW * 2)
    }
}
