//! The values, versions and leases of the key-value stand-in.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use laburnumstall_core::domain_value;
use laburnumstall_core::store::{LeaseId, StoreKey, StoreVersion};
use laburnumstall_outside::key_value::wire::{WireCall, WireReply, WireStored, WireValue};

domain_value! {
    /// Calls so far by kind.
    #[derive(Default)]
    pub struct StoreCounts {
        /// Reads of one key and listings.
        pub reads: u64,
        /// Swaps and calls about leases.
        pub writes: u64,
        /// Watches.
        pub watches: u64,
    }
}

/// Values and versions at one time.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    version: u64,
    entries: BTreeMap<StoreKey, Entry>,
}

#[derive(Debug, Clone)]
struct Entry {
    value: Option<WireValue>,
    version: StoreVersion,
    lease: Option<LeaseId>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    ttl_ms: u64,
    expires: Instant,
}

/// Everything that the stand-in holds. A deleted key stays as an entry without a value.
#[derive(Default)]
pub(super) struct Table {
    pub(super) data: Snapshot,
    leases: BTreeMap<LeaseId, Lease>,
    last_lease: u64,
    pub(super) is_refusing: bool,
    pub(super) replies_to_lose: u32,
    pub(super) are_watches_silent: bool,
    pub(super) counts: StoreCounts,
}

impl Table {
    /// Counts a call and tells whether it is refused.
    pub(super) fn is_refused(&mut self, call: &WireCall) -> bool {
        let count = match call {
            WireCall::Get { .. } | WireCall::List { .. } => &mut self.counts.reads,
            WireCall::Watch { .. } => &mut self.counts.watches,
            _ => &mut self.counts.writes,
        };
        *count += 1;
        self.is_refusing
    }

    /// Carries out a call. A watch is answered as things stand.
    pub(super) fn apply(&mut self, call: &WireCall, now: Instant) -> WireReply {
        self.expire_leases(now);
        match call {
            WireCall::Get { key } => WireReply::Value {
                stored: self.stored(key),
            },
            WireCall::List { prefix } => WireReply::Listing {
                values: self.values_after(prefix, None),
                version: StoreVersion(self.data.version),
            },
            WireCall::Swap {
                key,
                expected,
                value,
                lease,
            } => self.swap(key, *expected, value.clone(), *lease),
            WireCall::Grant { ttl_ms } => self.grant(*ttl_ms, now),
            WireCall::Renew { lease } => self.renew(*lease, now),
            WireCall::Revoke { lease } => {
                self.end_lease(*lease);
                WireReply::Revoked
            }
            WireCall::Watch { prefix, after, .. } => WireReply::Changes {
                values: match self.are_watches_silent {
                    true => Vec::new(),
                    false => self.values_after(prefix, Some(*after)),
                },
                version: StoreVersion(self.data.version),
            },
        }
    }

    /// Ends a lease and deletes its keys.
    pub(super) fn end_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let entries = self.data.entries.clone();
        let is_bound = |entry: &Entry| entry.lease == Some(lease) && entry.value.is_some();
        for (key, _) in entries.iter().filter(|(_, entry)| is_bound(entry)) {
            self.write(key, None, None);
        }
    }

    fn expire_leases(&mut self, now: Instant) {
        let leases = self.leases.clone();
        for (lease, _) in leases.iter().filter(|(_, lease)| lease.expires <= now) {
            self.end_lease(*lease);
        }
    }

    fn stored(&self, key: &StoreKey) -> Option<WireStored> {
        let entry = self.data.entries.get(key)?;
        entry.value.as_ref()?;
        Some(to_stored(key, entry))
    }

    /// Returns the live values, or with `after` the later changes, oldest first.
    fn values_after(&self, prefix: &StoreKey, after: Option<StoreVersion>) -> Vec<WireStored> {
        let is_wanted = |entry: &Entry| match after {
            Some(after) => entry.version > after,
            None => entry.value.is_some(),
        };
        let entries = self.data.entries.iter();
        let mut values: Vec<_> = entries
            .filter(|(key, _)| key.as_str().starts_with(prefix.as_str()))
            .filter(|(_, entry)| is_wanted(entry))
            .map(|(key, entry)| to_stored(key, entry))
            .collect();
        if after.is_some() {
            values.sort_by_key(|stored| stored.version);
        }
        values
    }

    fn swap(
        &mut self,
        key: &StoreKey,
        expected: Option<StoreVersion>,
        value: Option<WireValue>,
        lease: Option<LeaseId>,
    ) -> WireReply {
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return WireReply::LeaseGone;
        }
        let current = self.stored(key);
        if current.as_ref().map(|stored| stored.version) != expected {
            return WireReply::Conflict { current };
        }
        let version = self.write(key, value, lease);
        WireReply::Swapped { version }
    }

    fn write(
        &mut self,
        key: &StoreKey,
        value: Option<WireValue>,
        lease: Option<LeaseId>,
    ) -> StoreVersion {
        self.data.version += 1;
        let version = StoreVersion(self.data.version);
        let entry = Entry {
            value,
            version,
            lease,
        };
        self.data.entries.insert(key.clone(), entry);
        version
    }

    fn grant(&mut self, ttl_ms: u64, now: Instant) -> WireReply {
        self.last_lease += 1;
        let lease = LeaseId(self.last_lease);
        let expires = now;
        self.leases.insert(lease, Lease { ttl_ms, expires });
        self.renew(lease, now)
    }

    fn renew(&mut self, name: LeaseId, now: Instant) -> WireReply {
        let Some(lease) = self.leases.get_mut(&name) else {
            return WireReply::LeaseGone;
        };
        lease.expires = now + Duration::from_millis(lease.ttl_ms);
        WireReply::Lease {
            lease: name,
            ttl_ms: lease.ttl_ms,
        }
    }
}

fn to_stored(key: &StoreKey, entry: &Entry) -> WireStored {
    WireStored {
        key: key.as_str().into(),
        value: entry.value.clone(),
        version: entry.version,
    }
}
