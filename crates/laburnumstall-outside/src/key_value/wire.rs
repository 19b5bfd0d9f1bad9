//! The JSON bodies of the key-value interface.
//!
//! Calls and replies are objects with a tag; values are text when they are UTF-8 and
//! hexadecimal otherwise; durations are whole milliseconds.

use std::time::Duration;

use compact_str::CompactString;
use laburnumstall_core::domain;
use laburnumstall_core::store::{
    LeaseId, StoreCall, StoreKey, StoreReply, StoreVersion, StoredValue,
};

/// Path of every call, with method POST.
pub const STORE_PATH: &str = "/v1/store";

domain! {
    /// A value in JSON.
    #[serde(rename_all = "kebab-case")]
    pub enum WireValue {
        /// A value that is UTF-8.
        Text(String),
        /// Any other value, two hexadecimal digits a byte.
        Hex(String),
    }

    /// A key with its value and version in JSON.
    pub struct WireStored {
        /// Key, which may be another writer's and of another form.
        pub key: CompactString,
        /// Value; null for a deleted key.
        pub value: Option<WireValue>,
        /// Version of the write.
        pub version: StoreVersion,
    }

    /// A call in JSON.
    #[serde(tag = "call", rename_all = "kebab-case")]
    pub enum WireCall {
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
            /// Version expected; null for an absent key.
            expected: Option<StoreVersion>,
            /// New value; null deletes.
            value: Option<WireValue>,
            /// Lease that the key is bound to.
            lease: Option<LeaseId>,
        },
        /// Creates a lease.
        Grant {
            /// Time to live in milliseconds.
            ttl_ms: u64,
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
        /// Waits for changes.
        Watch {
            /// Prefix of the keys.
            prefix: StoreKey,
            /// Version after which changes count.
            after: StoreVersion,
            /// Longest wait in milliseconds.
            wait_ms: u64,
        },
    }

    /// A reply in JSON.
    #[serde(tag = "reply", rename_all = "kebab-case")]
    pub enum WireReply {
        /// The value read.
        Value {
            /// The value; null if the key is absent.
            stored: Option<WireStored>,
        },
        /// The values listed.
        Listing {
            /// Values by key.
            values: Vec<WireStored>,
            /// Version of the store.
            version: StoreVersion,
        },
        /// The swap took effect.
        Swapped {
            /// Version of the write.
            version: StoreVersion,
        },
        /// The swap did not take effect.
        Conflict {
            /// The value that stands.
            current: Option<WireStored>,
        },
        /// The lease lives.
        Lease {
            /// Name of the lease.
            lease: LeaseId,
            /// Time to live in milliseconds.
            ttl_ms: u64,
        },
        /// The lease is gone.
        LeaseGone,
        /// The lease was ended.
        Revoked,
        /// Changes, oldest first.
        Changes {
            /// The changes.
            values: Vec<WireStored>,
            /// Version of the store.
            version: StoreVersion,
        },
    }
}

impl From<Vec<u8>> for WireValue {
    fn from(bytes: Vec<u8>) -> Self {
        match String::from_utf8(bytes) {
            Ok(text) => Self::Text(text),
            Err(e) => Self::Hex(e.as_bytes().iter().map(|b| format!("{b:02x}")).collect()),
        }
    }
}

impl WireValue {
    /// Returns the bytes, or `None` if the hexadecimal digits are malformed.
    pub fn into_bytes(self) -> Option<Vec<u8>> {
        match self {
            Self::Text(text) => Some(text.into_bytes()),
            Self::Hex(digits) => decode_hex(digits.as_bytes()),
        }
    }
}

fn decode_hex(digits: &[u8]) -> Option<Vec<u8>> {
    let (pairs, rest) = digits.as_chunks::<2>();
    let digit = |byte: u8| (byte as char).to_digit(16).map(|value| value as u8);
    let bytes = pairs
        .iter()
        .map(|&[high, low]| Some(digit(high)? << 4 | digit(low)?));
    rest.is_empty().then(|| bytes.collect())?
}

impl From<StoredValue> for WireStored {
    fn from(stored: StoredValue) -> Self {
        Self {
            key: stored.key.as_str().into(),
            value: stored.value.map(WireValue::from),
            version: stored.version,
        }
    }
}

impl WireStored {
    /// Returns the value, or `None` if it or its key is malformed.
    pub fn into_stored(self) -> Option<StoredValue> {
        let value = match self.value {
            Some(value) => Some(value.into_bytes()?),
            None => None,
        };
        Some(StoredValue {
            key: self.key.parse().ok()?,
            value,
            version: self.version,
        })
    }
}

/// Returns the values that are well-formed, and calls `leave_out` with the keys of the others.
fn into_stored_list(values: Vec<WireStored>, mut leave_out: impl FnMut(&str)) -> Vec<StoredValue> {
    let read = values.into_iter().filter_map(|stored| {
        let key = stored.key.clone();
        let read = stored.into_stored();
        if read.is_none() {
            leave_out(&key);
        }
        read
    });
    read.collect()
}

fn into_stored_option(stored: Option<WireStored>) -> Option<Option<StoredValue>> {
    stored
        .map(WireStored::into_stored)
        .map_or(Some(None), |s| Some(Some(s?)))
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl From<StoreCall> for WireCall {
    fn from(call: StoreCall) -> Self {
        match call {
            StoreCall::Get { key } => Self::Get { key },
            StoreCall::List { prefix } => Self::List { prefix },
            StoreCall::Swap {
                key,
                expected,
                value,
                lease,
            } => Self::Swap {
                key,
                expected,
                value: value.map(WireValue::from),
                lease,
            },
            StoreCall::Grant { ttl } => Self::Grant {
                ttl_ms: millis(ttl),
            },
            StoreCall::Renew { lease } => Self::Renew { lease },
            StoreCall::Revoke { lease } => Self::Revoke { lease },
            StoreCall::Watch {
                prefix,
                after,
                wait,
            } => Self::Watch {
                prefix,
                after,
                wait_ms: millis(wait),
            },
        }
    }
}

impl WireCall {
    /// Tells whether the call can change something.
    pub fn is_write(&self) -> bool {
        !matches!(
            self,
            Self::Get { .. } | Self::List { .. } | Self::Watch { .. }
        )
    }

    /// Returns the time for which the service may hold the call open.
    pub fn wait(&self) -> Duration {
        match self {
            Self::Watch { wait_ms, .. } => Duration::from_millis(*wait_ms),
            _ => Duration::ZERO,
        }
    }
}

impl WireReply {
    /// Returns the reply, or `None` if its only value is malformed. Malformed values of a list are
    /// left out, and `leave_out` is called with their keys.
    pub fn into_reply(self, leave_out: impl FnMut(&str)) -> Option<StoreReply> {
        Some(match self {
            Self::Value { stored } => StoreReply::Value(into_stored_option(stored)?),
            Self::Listing { values, version } => StoreReply::Listing {
                values: into_stored_list(values, leave_out),
                version,
            },
            Self::Swapped { version } => StoreReply::Swapped { version },
            Self::Conflict { current } => StoreReply::Conflict {
                current: into_stored_option(current)?,
            },
            Self::Lease { lease, ttl_ms } => StoreReply::Lease {
                lease,
                ttl: Duration::from_millis(ttl_ms),
            },
            Self::LeaseGone => StoreReply::LeaseGone,
            Self::Revoked => StoreReply::Revoked,
            Self::Changes { values, version } => StoreReply::Changes {
                values: into_stored_list(values, leave_out),
                version,
            },
        })
    }
}
