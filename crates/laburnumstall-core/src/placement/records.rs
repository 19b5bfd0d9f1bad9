//! What the lease keeps in the key-value service, and the calls that it makes.

use crate::domain;
use crate::ids::{CallId, DaemonId, FencingToken};
use crate::store::{StoreCall, StoredValue};

domain! {
    /// A call to the key-value service; its reply comes back under the same number.
    pub struct StoreRequest {
        /// Number, unique within the component that makes the call.
        pub id: CallId,
        /// The call.
        pub call: StoreCall,
    }

    /// Value of the holder key.
    pub struct HolderRecord {
        /// Daemon that holds the lease.
        pub holder: DaemonId,
        /// Number by which the holder recognises its own write.
        pub nonce: u64,
    }

    /// Value of the counter key.
    pub struct TokenRecord {
        /// Highest token given out.
        pub token: FencingToken,
        /// Number by which the writer recognises its own write.
        pub nonce: u64,
    }
}

/// Returns the counter's record, if the key holds one.
pub(super) fn token_record(current: &Option<StoredValue>) -> Option<TokenRecord> {
    let value = current.as_ref()?.value.as_ref()?;
    serde_json::from_slice(value).ok()
}

/// Returns the highest token given out.
pub(super) fn token_in(current: &Option<StoredValue>) -> FencingToken {
    token_record(current).map_or(FencingToken(0), |record| record.token)
}
