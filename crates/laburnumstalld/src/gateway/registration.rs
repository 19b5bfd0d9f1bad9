//! Registers this daemon in the key-value store, and reads the registrations of others.

use std::rc::Rc;
use std::time::Duration;

use laburnumstall_core::gateway::{MemberRecord, PeerProtocol, ViewChange};
use laburnumstall_core::ids::VmId;
use laburnumstall_core::limits::Backoff;
use laburnumstall_core::membership::Member;
use laburnumstall_core::store::{LeaseId, StoreCall, StoreEra, StoreKey, StoreReply, StoredValue};
use laburnumstall_outside::key_value::KeyValue;
use laburnumstall_platform::store::Store;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::context::Context;
use super::log::Event;

/// TTL of this daemon's registration: it outlasts a short outage, since gossip detects a
/// failed daemon sooner.
const REGISTRATION_TTL: Duration = Duration::from_secs(6);
/// Interval between renewals of the registration.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// First and longest delay before a failed registration is repeated.
const RETRY_DELAYS: [Duration; 2] = [Duration::from_millis(300), Duration::from_millis(1_200)];
/// Prefix of the keys under which daemons register.
const MEMBERS_PREFIX: &str = "daemons/";

/// Registration of a daemon, as stored.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct StoredMember {
    #[serde(flatten)]
    pub member: Member,
    /// Whether the daemon decodes messages about the origins of streams, and marks services
    /// with several versions.
    #[serde(default)]
    stream_origins: bool,
    /// Whether the daemon decodes quarantine updates.
    #[serde(default)]
    quarantine: bool,
    /// Newest protocol of later messages that the daemon decodes.
    #[serde(default)]
    protocol: PeerProtocol,
}

impl From<StoredMember> for MemberRecord {
    fn from(stored: StoredMember) -> Self {
        Self {
            member: stored.member,
            supports_extensions: stored.stream_origins,
            supports_quarantine: stored.quarantine,
            protocol: stored.protocol,
        }
    }
}

/// Returns the change of a daemon's registration; an unreadable one is for each daemon to read.
pub(super) fn member_change(value: &StoredValue) -> ViewChange {
    let record = match &value.value {
        Some(text) => {
            let stored = serde_json::from_slice::<StoredMember>(text);
            stored.ok().map(|stored| ViewChange::Member(stored.into()))
        }
        None => registered_vm(value).map(ViewChange::MemberRemoved),
    };
    record.unwrap_or(ViewChange::Other)
}

/// Returns the VM of the daemon that a key registers.
pub(super) fn registered_vm(value: &StoredValue) -> Option<VmId> {
    value
        .key
        .as_str()
        .strip_prefix(MEMBERS_PREFIX)?
        .parse()
        .ok()
}

/// Parses a daemon's registration; `None` for other keys and removed ones.
///
/// # Errors
///
/// The decoder's error if the value is unreadable.
pub(super) fn stored_member(
    value: &StoredValue,
) -> Option<Result<StoredMember, serde_json::Error>> {
    is_member(&value.key).then_some(())?;
    Some(serde_json::from_slice(value.value.as_deref()?))
}

/// Returns whether a key is that of a daemon's registration.
pub(super) fn is_member(key: &StoreKey) -> bool {
    key.as_str().starts_with(MEMBERS_PREFIX)
}

/// Keeps this daemon registered under a lease until the gateway ends. A stopping daemon stays
/// registered as leaving: it still serves requests, and peers need its gossip messages.
pub(super) async fn register(cx: Rc<Context>, store: Rc<Store>, mut member: Member, seed: u64) {
    let mut backoff = Backoff::new(RETRY_DELAYS[0], RETRY_DELAYS[1], seed);
    let Ok(key) = format!("{MEMBERS_PREFIX}{}", member.id.vm).parse::<StoreKey>() else {
        let cause = "the name of the VM does not fit into a key";
        cx.event(Event::new("register-failed").with("cause", cause));
        return;
    };
    let mut registration = Registration {
        store,
        key,
        lease: None,
        era: None,
    };
    while !cx.is_ended() {
        let changed = cx.stop_signal.notified();
        let (is_leaving, era) =
            cx.with_gateway(|gateway, _| (gateway.is_stopping(), gateway.store_era()));
        registration.set_era(era);
        let is_changed = is_leaving != member.leaving;
        member.leaving = is_leaving;
        let pause = match registration.renew(&member, is_changed).await {
            Ok(is_written) => {
                if is_written {
                    let event = Event::new("registered").with("key", &registration.key);
                    cx.event(event.with("leaving", is_leaving));
                }
                backoff.reset();
                RENEW_INTERVAL
            }
            Err(cause) => {
                cx.event(Event::new("register-failed").with("cause", cause));
                backoff.next_delay()
            }
        };
        tokio::select! {
            () = sleep(pause) => {}
            () = changed => {}
            () = cx.restore_signal.notified() => {}
        }
    }
    let is_done = registration.close().await;
    cx.event(Event::new("unregistered").with("done", is_done));
}

/// This daemon's key in the store and the lease it is attached to.
struct Registration {
    store: Rc<Store>,
    key: StoreKey,
    lease: Option<LeaseId>,
    /// Era in which the lease was granted.
    era: Option<StoreEra>,
}

impl Registration {
    /// Gives up a lease of an earlier era, which may have been granted to another daemon since.
    fn set_era(&mut self, era: Option<StoreEra>) {
        if std::mem::replace(&mut self.era, era) != era {
            self.lease = None;
        }
    }

    /// Renews the lease, or acquires a new one, and writes the member if it changed or the
    /// lease is new; returns whether it was written.
    async fn renew(&mut self, member: &Member, is_changed: bool) -> Result<bool, &'static str> {
        if let Some(lease) = self.lease {
            match self.store.call(StoreCall::Renew { lease }).await {
                Ok(StoreReply::Lease { .. }) if !is_changed => return Ok(false),
                Ok(StoreReply::Lease { .. }) => {}
                Ok(_) => self.lease = None,
                Err(_) => return Err("unavailable"),
            }
        }
        let lease = match self.lease {
            Some(lease) => lease,
            None => self.grant().await?,
        };
        self.write(member, lease).await?;
        self.lease = Some(lease);
        Ok(true)
    }

    async fn grant(&self) -> Result<LeaseId, &'static str> {
        let ttl = REGISTRATION_TTL;
        match self.store.call(StoreCall::Grant { ttl }).await {
            Ok(StoreReply::Lease { lease, .. }) => Ok(lease),
            _ => Err("no-lease"),
        }
    }

    async fn write(&self, member: &Member, lease: LeaseId) -> Result<(), &'static str> {
        let stored = StoredMember {
            member: member.clone(),
            stream_origins: true,
            quarantine: true,
            protocol: PeerProtocol::NEWEST,
        };
        let value = serde_json::to_vec(&stored).map_err(|_| "not-encoded")?;
        let key = self.key.clone();
        let current = self.store.call(StoreCall::Get { key: key.clone() }).await;
        let Ok(StoreReply::Value(current)) = current else {
            return Err("not-read");
        };
        let swap = StoreCall::Swap {
            key,
            expected: current.map(|stored| stored.version),
            value: Some(value),
            lease: Some(lease),
        };
        match self.store.call(swap).await {
            Ok(StoreReply::Swapped { .. }) => Ok(()),
            _ => Err("not-written"),
        }
    }

    /// Revokes the lease, which deletes the key; returns whether the store confirmed it.
    async fn close(self) -> bool {
        match self.lease {
            Some(lease) => self.store.call(StoreCall::Revoke { lease }).await.is_ok(),
            None => true,
        }
    }
}
