//! Calls to the platform's key-value service and its replies.
//!
//! The core issues a [`StoreCall`] and receives its [`StoreOutcome`]. A call that fails with
//! [`StoreFailure::Unknown`] may have taken effect; the component that issued it reads the
//! state back.

use std::time::Duration;

use crate::units::Timestamp;
use crate::{domain, domain_value, quantity, text_id};

text_id! {
    /// Key in the key-value service, with `/`-separated segments.
    StoreKey;
}

quantity! {
    /// Version of a key or of the entire store; increases with each write.
    StoreVersion, "";
    /// Identifier of a lease in the key-value service.
    LeaseId, "";
    /// Number of a history of the store; rises when the store comes back from an older copy.
    StoreEra, "";
}

domain_value! {
    /// Version of the entire store; versions of different eras are of different histories.
    #[derive(Default)]
    pub struct StorePosition {
        /// Era in which the version was given.
        pub era: StoreEra,
        /// Version within the era.
        pub version: StoreVersion,
    }
}

domain! {
    /// A stored value with its version.
    pub struct StoredValue {
        /// Key of the value.
        pub key: StoreKey,
        /// The value; `None` if the key was deleted.
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
        /// Reads all keys with a prefix.
        List {
            /// Prefix of the keys.
            prefix: StoreKey,
        },
        /// Writes or deletes a key if it has the expected version (compare-and-swap).
        Swap {
            /// Key to write.
            key: StoreKey,
            /// Required version of the key; `None` requires that it does not exist.
            expected: Option<StoreVersion>,
            /// New value; `None` deletes the key.
            value: Option<Vec<u8>>,
            /// Lease to which the key is bound; the key is deleted when it ends.
            lease: Option<LeaseId>,
        },
        /// Creates a lease.
        Grant {
            /// Time to live without renewal.
            ttl: Duration,
        },
        /// Renews a lease.
        Renew {
            /// Lease to renew.
            lease: LeaseId,
        },
        /// Revokes a lease and deletes its keys.
        Revoke {
            /// Lease to revoke.
            lease: LeaseId,
        },
        /// Waits for changes to keys with a prefix (long poll).
        Watch {
            /// Prefix of the keys.
            prefix: StoreKey,
            /// Store version after which changes are returned.
            after: StoreVersion,
            /// Maximum time to wait.
            wait: Duration,
        },
    }

    /// A reply of the key-value service.
    pub enum StoreReply {
        /// The value read; `None` if the key does not exist.
        Value(Option<StoredValue>),
        /// The values listed.
        Listing {
            /// Values of the keys with the prefix.
            values: Vec<StoredValue>,
            /// Version of the store at the time of the reply.
            version: StoreVersion,
        },
        /// The swap took effect.
        Swapped {
            /// Version of the write.
            version: StoreVersion,
        },
        /// The swap had no effect because the key has another version.
        Conflict {
            /// The current value; `None` if the key does not exist.
            current: Option<StoredValue>,
        },
        /// The lease was created or renewed.
        Lease {
            /// Identifier of the lease.
            lease: LeaseId,
            /// Time to live from now.
            ttl: Duration,
        },
        /// The lease has expired or was revoked.
        LeaseGone,
        /// The lease was revoked.
        Revoked,
        /// Changes since the given version; empty if the wait timed out.
        Changes {
            /// The changes, oldest first.
            values: Vec<StoredValue>,
            /// Version of the store at the time of the reply.
            version: StoreVersion,
        },
    }
}

domain_value! {
    /// Why a call to the key-value service failed.
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
    /// A lease held by this process, with its local expiry.
    pub struct HeldLease {
        /// Identifier of the lease.
        pub lease: LeaseId,
        /// When the holder must stop acting on it, measured from before the grant or renewal was
        /// sent.
        pub valid_until: Timestamp,
    }
}
