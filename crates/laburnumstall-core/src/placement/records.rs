//! Records of the lease in the key-value store, and the calls that access them.

use crate::domain;
use crate::ids::{CallId, DaemonId, FencingToken};
use crate::store::{StoreCall, StoredValue};

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

/// Returns the highest token issued, or 0 if there is no record.
pub(super) fn current_token(current: &Option<StoredValue>) -> FencingToken {
    token_record(current).map_or(FencingToken(0), |record| record.token)
}
