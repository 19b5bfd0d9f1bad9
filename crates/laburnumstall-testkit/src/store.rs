//! A small key-value service: compare-and-swap, leases, listing and watches.

use std::collections::BTreeMap;

use laburnumstall_core::store::{
    LeaseId, StoreCall, StoreFailure, StoreKey, StoreOutcome, StoreReply, StoreVersion, StoredValue,
};
use laburnumstall_core::units::Timestamp;

/// A value as the store holds it.
#[derive(Debug, Clone)]
struct Held {
    value: Vec<u8>,
    version: StoreVersion,
    lease: Option<LeaseId>,
}

/// A lease as the store holds it.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    ttl_us: u64,
    until: Timestamp,
}

/// A small key-value service.
#[derive(Debug, Clone, Default)]
pub struct FakeStore {
    /// Whether calls fail without effect.
    pub is_down: bool,
    /// Replies of writes that are lost from now on, although the writes take effect.
    pub lose_replies: u32,
    /// Calls answered so far.
    pub calls: u64,
    /// Watches answered so far.
    pub watches: u64,
    values: BTreeMap<StoreKey, Held>,
    leases: BTreeMap<LeaseId, HeldLease>,
    version: u64,
}

impl FakeStore {
    /// Answers a call, or fails it without effect while the service is down.
    ///
    /// # Errors
    ///
    /// Returns [`StoreFailure::Unavailable`] while the service is down.
    pub fn call(&mut self, now: Timestamp, call: &StoreCall) -> StoreOutcome {
        if self.is_down {
            return Err(StoreFailure::Unavailable);
        }
        Ok(self.answer(now, call))
    }

    /// Answers a call as if the service were up.
    pub fn answer(&mut self, now: Timestamp, call: &StoreCall) -> StoreReply {
        self.calls += 1;
        self.expire(now);
        match call {
            StoreCall::Get { key } => StoreReply::Value(self.stored(key)),
            StoreCall::List { prefix } => self.list(prefix),
            StoreCall::Swap {
                key,
                expected,
                value,
                lease,
            } => self.swap(key, *expected, value.as_ref(), *lease),
            StoreCall::Grant { ttl } => self.grant(now, ttl.as_micros() as u64),
            StoreCall::Renew { lease } => self.renew(now, *lease),
            StoreCall::Revoke { lease } => {
                self.end_lease(*lease);
                StoreReply::Revoked
            }
            StoreCall::Watch { prefix, after, .. } => {
                self.watches += 1;
                self.changes(prefix, *after)
            }
        }
    }

    /// Tells whether a call changes the store.
    pub fn is_write(call: &StoreCall) -> bool {
        matches!(
            call,
            StoreCall::Swap { .. } | StoreCall::Grant { .. } | StoreCall::Revoke { .. }
        )
    }

    fn stored(&self, key: &StoreKey) -> Option<StoredValue> {
        let held = self.values.get(key)?;
        Some(StoredValue {
            key: key.clone(),
            value: Some(held.value.clone()),
            version: held.version,
        })
    }

    fn below(&self, prefix: &StoreKey) -> Vec<StoredValue> {
        let keys = self.values.keys();
        let below = keys.filter(|key| key.as_str().starts_with(prefix.as_str()));
        below.filter_map(|key| self.stored(key)).collect()
    }

    fn list(&self, prefix: &StoreKey) -> StoreReply {
        StoreReply::Listing {
            values: self.below(prefix),
            version: StoreVersion(self.version),
        }
    }

    fn changes(&self, prefix: &StoreKey, after: StoreVersion) -> StoreReply {
        let mut values = self.below(prefix);
        values.retain(|value| value.version > after);
        StoreReply::Changes {
            values,
            version: StoreVersion(self.version),
        }
    }

    fn swap(
        &mut self,
        key: &StoreKey,
        expected: Option<StoreVersion>,
        value: Option<&Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> StoreReply {
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return StoreReply::LeaseGone;
        }
        let standing = self.values.get(key).map(|held| held.version);
        if standing != expected {
            let current = self.stored(key);
            return StoreReply::Conflict { current };
        }
        self.version += 1;
        let version = StoreVersion(self.version);
        match value {
            Some(value) => {
                let value = value.clone();
                let held = Held {
                    value,
                    version,
                    lease,
                };
                self.values.insert(key.clone(), held);
            }
            None => {
                self.values.remove(key);
            }
        }
        StoreReply::Swapped { version }
    }

    fn grant(&mut self, now: Timestamp, ttl_us: u64) -> StoreReply {
        self.version += 1;
        let lease = LeaseId(self.version);
        let until = Timestamp(now.0 + ttl_us);
        self.leases.insert(lease, HeldLease { ttl_us, until });
        let ttl = std::time::Duration::from_micros(ttl_us);
        StoreReply::Lease { lease, ttl }
    }

    fn renew(&mut self, now: Timestamp, lease: LeaseId) -> StoreReply {
        let Some(held) = self.leases.get_mut(&lease) else {
            return StoreReply::LeaseGone;
        };
        held.until = Timestamp(now.0 + held.ttl_us);
        let ttl = std::time::Duration::from_micros(held.ttl_us);
        StoreReply::Lease { lease, ttl }
    }

    fn expire(&mut self, now: Timestamp) {
        let over: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, held)| held.until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        self.values.retain(|_, held| held.lease != Some(lease));
    }
}
