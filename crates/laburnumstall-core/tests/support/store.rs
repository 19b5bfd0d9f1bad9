//! A key-value service for tests: leases, swaps, and calls whose replies are lost or late.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnumstall_core::prelude::*;
use laburnumstall_core::store::StoredValue;

struct Entry {
    value: Vec<u8>,
    version: StoreVersion,
    lease: Option<LeaseId>,
}

struct Lease {
    ends: Timestamp,
    ttl: Duration,
}

/// The service; `down` makes every call fail without effect.
#[derive(Default)]
pub(crate) struct FakeStore {
    pub(crate) down: bool,
    version: u64,
    next_lease: u64,
    entries: BTreeMap<StoreKey, Entry>,
    leases: BTreeMap<LeaseId, Lease>,
}

impl FakeStore {
    pub(crate) fn call(&mut self, now: Timestamp, call: &StoreCall) -> StoreOutcome {
        if self.down {
            return Err(StoreFailure::Unavailable);
        }
        self.expire(now);
        Ok(match call {
            StoreCall::Get { key } => StoreReply::Value(self.stored(key)),
            StoreCall::Swap {
                key,
                expected,
                value,
                lease,
            } => self.swap(key, *expected, value, *lease),
            StoreCall::Grant { ttl } => {
                self.next_lease += 1;
                let lease = LeaseId(self.next_lease);
                let ends = now.after(*ttl);
                self.leases.insert(lease, Lease { ends, ttl: *ttl });
                StoreReply::Lease { lease, ttl: *ttl }
            }
            StoreCall::Renew { lease } => match self.leases.get_mut(lease) {
                Some(held) => {
                    held.ends = now.after(held.ttl);
                    StoreReply::Lease {
                        lease: *lease,
                        ttl: held.ttl,
                    }
                }
                None => StoreReply::LeaseGone,
            },
            StoreCall::Revoke { lease } => {
                self.leases.remove(lease);
                self.drop_unleased();
                StoreReply::Revoked
            }
            other => panic!("the fake does not know {other:?}"),
        })
    }

    fn swap(
        &mut self,
        key: &StoreKey,
        expected: Option<StoreVersion>,
        value: &Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> StoreReply {
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return StoreReply::LeaseGone;
        }
        let current = self.stored(key);
        if current.as_ref().map(|stored| stored.version) != expected {
            return StoreReply::Conflict { current };
        }
        self.version += 1;
        let version = StoreVersion(self.version);
        match value.clone() {
            Some(value) => {
                let entry = Entry {
                    value,
                    version,
                    lease,
                };
                self.entries.insert(key.clone(), entry);
            }
            None => {
                self.entries.remove(key);
            }
        }
        StoreReply::Swapped { version }
    }

    fn stored(&self, key: &StoreKey) -> Option<StoredValue> {
        self.entries.get(key).map(|entry| StoredValue {
            key: key.clone(),
            value: Some(entry.value.clone()),
            version: entry.version,
        })
    }

    fn expire(&mut self, now: Timestamp) {
        self.leases.retain(|_, lease| lease.ends > now);
        self.drop_unleased();
    }

    fn drop_unleased(&mut self) {
        let leases = &self.leases;
        self.entries
            .retain(|_, entry| entry.lease.is_none_or(|lease| leases.contains_key(&lease)));
    }
}
