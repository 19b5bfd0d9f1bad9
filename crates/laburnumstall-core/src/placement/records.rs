//! Records of the lease in the key-value store, and the calls that access them.

use crate::domain;
use crate::ids::{CallId, DaemonId, FencingToken};
use crate::store::{StoreCall, StoreEra, StoredValue};

/// Bits of a token below the era of the store: tokens of one era exceed all of earlier ones.
const TOKEN_ERA_SHIFT: u32 = 32;

domain! {
    /// A call to the key-value store; the reply has the same ID.
    pub struct StoreRequest {
        /// ID, unique within the component that makes the call.
        pub id: CallId,
        /// The call.
        pub call: StoreCall,
    }

    /// Value of the holder key.
    pub struct HolderRecord {
        /// The daemon that holds the lease.
        pub holder: DaemonId,
        /// Nonce by which the holder recognizes its own write.
        pub nonce: u64,
    }

    /// Value of the token key.
    pub struct TokenRecord {
        /// Highest token issued.
        pub token: FencingToken,
        /// Nonce by which the writer recognizes its own write.
        pub nonce: u64,
    }
}

/// Parses the token record, if the key has one.
pub(super) fn token_record(current: &Option<StoredValue>) -> Option<TokenRecord> {
    let value = current.as_ref()?.value.as_ref()?;
    serde_json::from_slice(value).ok()
}

/// Returns a token above the current one and above those of earlier eras of the store.
pub(super) fn next_token(
    current: &Option<StoredValue>,
    era: StoreEra,
    increment: u64,
) -> FencingToken {
    let of_earlier_eras = era.get().saturating_sub(1) << TOKEN_ERA_SHIFT;
    let highest = current_token(current).0.max(of_earlier_eras);
    FencingToken(highest.saturating_add(increment))
}

/// Returns the highest token issued, or 0 if there is no record.
fn current_token(current: &Option<StoredValue>) -> FencingToken {
    token_record(current).map_or(FencingToken(0), |record| record.token)
}
