//! Calls to the platform's key-value service, and its replies.
//!
//! The core asks by [`StoreCall`] and is told the [`StoreOutcome`]. A call that fails with
//! [`StoreFailure::Unknown`] may have taken effect; the component that made it reads back.

use std::time::Duration;

use crate::units::Timestamp;
use crate::{domain, domain_value, quantity, text_id};

text_id! {
    /// Key in the key-value service, with `/` between its parts.
    StoreKey;
}

quantity! {
    /// Version of a key or of the whole store; grows with each write.
    StoreVersion, "";
    /// Name of a lease in the key-value service.
    LeaseId, "";
}

domain! {
    /// A value with the version that wrote it.
    pub struct StoredValue {
        /// Key.
        pub key: StoreKey,
        /// Value; `None` if the key was deleted.
        pub value: Option<Vec<u8>>,
        /// Version of the write.
        pub version: StoreVersion,
    }

    /// A call to the key-value service.
    pub enum StoreCall {
        /// Reads one key.
        Get {
            /// Key to read.
            key: StoreKey,
        },
        /// Reads all keys that begin with a prefix.
        List {
            /// Prefix of the keys.
            prefix: StoreKey,
        },
        /// Writes or deletes a key if its version is the expected one.
        Swap {
            /// Key to write.
            key: StoreKey,
            /// Version that the key must have; `None` means that it must be absent.
            expected: Option<StoreVersion>,
            /// New value; `None` deletes the key.
            value: Option<Vec<u8>>,
            /// Lease that the key is bound to.
            lease: Option<LeaseId>,
        },
        /// Creates a lease.
        Grant {
            /// Time that the lease lives without renewal.
            ttl: Duration,
        },
        /// Renews a lease.
        Renew {
            /// Lease to renew.
            lease: LeaseId,
        },
        /// Ends a lease and deletes its keys.
        Revoke {
            /// Lease to end.
            lease: LeaseId,
        },
        /// Waits for changes of keys that begin with a prefix.
        Watch {
            /// Prefix of the keys.
            prefix: StoreKey,
            /// Version after which changes count.
            after: StoreVersion,
            /// Longest time to wait.
            wait: Duration,
        },
    }

    /// What the key-value service answered.
    pub enum StoreReply {
        /// The value read; `None` if the key is absent.
        Value(Option<StoredValue>),
        /// The values listed.
        Listing {
            /// Values by key.
            values: Vec<StoredValue>,
            /// Version of the store at the time.
            version: StoreVersion,
        },
        /// The swap took effect.
        Swapped {
            /// Version of the write.
            version: StoreVersion,
        },
        /// The swap did not take effect because the version differed.
        Conflict {
            /// The value that stands.
            current: Option<StoredValue>,
        },
        /// The lease was created or renewed.
        Lease {
            /// Name of the lease.
            lease: LeaseId,
            /// Time that it lives from now.
            ttl: Duration,
        },
        /// The lease is gone.
        LeaseGone,
        /// The lease was ended.
        Revoked,
        /// Changes since the given version; empty when the wait ended.
        Changes {
            /// The changes, oldest first.
            values: Vec<StoredValue>,
            /// Version of the store at the time.
            version: StoreVersion,
        },
    }
}

domain_value! {
    /// Why a call to the key-value service has no reply.
    #[serde(rename_all = "kebab-case")]
    pub enum StoreFailure {
        /// The call did not take effect.
        Unavailable,
        /// The call may have taken effect.
        Unknown,
    }
}

/// Result of a call to the key-value service.
pub type StoreOutcome = Result<StoreReply, StoreFailure>;

domain! {
    /// A lease that this process holds, with the time after which it must not act on it.
    pub struct HeldLease {
        /// Name of the lease.
        pub lease: LeaseId,
        /// When the holder stops relying on it, counted from before the call was sent.
        pub valid_until: Timestamp,
    }
}
