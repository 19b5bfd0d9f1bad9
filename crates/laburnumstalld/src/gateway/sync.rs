//! Keeps the gateway's view of the key-value service fresh, and this daemon registered.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use laburnumstall_core::gateway::EndpointRecord;
use laburnumstall_core::ids::{DaemonId, VmId};
use laburnumstall_core::membership::Member;
use laburnumstall_core::store::{
    LeaseId, StoreCall, StoreKey, StoreReply, StoreVersion, StoredValue,
};
use laburnumstall_outside::key_value::KeyValue;
use laburnumstall_platform::store::{Change, Changes, ReadFailure, Store};
use tokio::time::{Instant, sleep, sleep_until};

use super::log::Event;
use super::shared::Shared;

/// Least time between two reads of changes in a small fleet. Heartbeats of endpoints wake
/// a watch many times a second; a change has to be known within a part of the two seconds
/// after which a leaving endpoint takes no more work.
const READ_PERIOD: Duration = Duration::from_millis(500);
/// Longest time between two reads of changes in a large fleet.
const LONGEST_READ_PERIOD: Duration = Duration::from_millis(1_000);
/// Time between the reads of two daemons that a fleet aims at: each read is paid.
const READ_SPACING: Duration = Duration::from_millis(32);
/// Longest wait of a read for changes, so that the view is confirmed about once a second.
const READ_WAIT: Duration = Duration::from_millis(600);
/// Age of the view above which a read does not wait but confirms it at once.
const STALE_AGE: Duration = Duration::from_millis(1_500);
/// Pause after a failed read.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);
/// Life of this daemon's registration: longer than a short outage, since news tell sooner
/// whether it lives.
const REGISTRATION_TTL: Duration = Duration::from_secs(6);
/// Time between two renewals of the registration.
const RENEW_PERIOD: Duration = Duration::from_secs(2);
/// Beginning of the keys of daemons.
const MEMBERS_PREFIX: &str = "daemons/";

/// Reads the service's state, then its changes, for ever.
pub(super) async fn run(cx: Rc<Shared>, store: Rc<Store>) {
    loop {
        let sent = cx.now();
        match store.snapshot().await {
            Ok(snapshot) => {
                confirm(&cx, sent);
                let version = snapshot.version;
                take_snapshot(&cx, snapshot);
                follow(&cx, &store, version).await;
            }
            Err(error) => {
                on_failure(&cx, &error);
                sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

/// Reads changes until the service no longer has the history.
async fn follow(cx: &Shared, store: &Store, mut version: StoreVersion) {
    loop {
        let began = Instant::now();
        let sent = cx.now();
        let (is_stale, daemons) = cx.decide(|gateway, now| {
            let is_stale = !gateway.contact().is_within(now, STALE_AGE);
            (is_stale, 1 + gateway.roster().len() as u32)
        });
        let period = (READ_SPACING * daemons).clamp(READ_PERIOD, LONGEST_READ_PERIOD);
        let wait = if is_stale {
            Duration::from_millis(1)
        } else {
            READ_WAIT
        };
        match store.changes(version, wait).await {
            Ok(changes) => {
                confirm(cx, sent);
                version = version.max(changes.version);
                for change in changes.changes {
                    take_change(cx, change);
                }
                if !is_stale {
                    sleep_until(began + period).await;
                }
            }
            Err(ReadFailure::HistoryGone) => {
                cx.event(Event::new("store-history-gone").with("version", &version));
                return;
            }
            Err(error) => {
                on_failure(cx, &error);
                sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

fn confirm(cx: &Shared, sent: laburnumstall_core::units::Timestamp) {
    cx.metrics.store_call(true);
    cx.decide(|gateway, now| gateway.on_store_confirmed(now, sent));
}

fn on_failure(cx: &Shared, error: &ReadFailure) {
    cx.metrics.store_call(false);
    let reason = match error {
        ReadFailure::Call { source } => source.to_string(),
        other => other.to_string(),
    };
    cx.decide(|gateway, now| gateway.on_store_failure(now, &reason));
}

fn take_snapshot(cx: &Shared, snapshot: Changes) {
    let mut endpoints: Vec<EndpointRecord> = Vec::new();
    let mut members: BTreeSet<DaemonId> = BTreeSet::new();
    for change in snapshot.changes {
        match change {
            Change::Endpoint(record) => endpoints.push(record),
            Change::Own(value) => {
                if let Some(member) = member(cx, &value) {
                    members.insert(member.id.clone());
                    cx.decide(|gateway, now| gateway.on_member(now, member));
                }
            }
            other => take_change(cx, other),
        }
    }
    cx.event(
        Event::new("store-listed")
            .with("endpoints", &endpoints.len())
            .with("daemons", &members.len())
            .with("version", &snapshot.version),
    );
    cx.decide(|gateway, now| {
        gateway.on_endpoints(now, endpoints);
        let known: Vec<DaemonId> = gateway
            .roster()
            .peers()
            .map(|peer| peer.member.id.clone())
            .collect();
        for id in known.iter().filter(|id| !members.contains(id)) {
            gateway.on_member_removed(id);
        }
    });
}

fn take_change(cx: &Shared, change: Change) {
    match change {
        Change::Rules(rules) => {
            cx.decide(|gateway, now| gateway.on_rules(now, rules));
        }
        Change::Endpoint(record) => cx.decide(|gateway, now| gateway.on_endpoint(now, record)),
        Change::EndpointRemoved(id) => {
            cx.decide(|gateway, now| gateway.on_endpoint_removed(now, &id));
        }
        Change::Own(value) if value.value.is_none() => forget_member(cx, &value),
        Change::Own(value) => {
            if let Some(member) = member(cx, &value) {
                cx.decide(|gateway, now| gateway.on_member(now, member));
            }
        }
        Change::Unreadable { key, fault } => {
            cx.event(
                Event::new("store-value-unreadable")
                    .with("key", &key)
                    .with("cause", &fault),
            );
        }
    }
}

/// Reads a daemon's registration; `None` for other keys.
fn member(cx: &Shared, value: &StoredValue) -> Option<Member> {
    if !value.key.as_str().starts_with(MEMBERS_PREFIX) {
        return None;
    }
    match serde_json::from_slice(value.value.as_deref()?) {
        Ok(member) => Some(member),
        Err(error) => {
            cx.event(
                Event::new("store-value-unreadable")
                    .with("key", &value.key)
                    .with("cause", &error),
            );
            None
        }
    }
}

fn forget_member(cx: &Shared, value: &StoredValue) {
    let vm = value.key.as_str().strip_prefix(MEMBERS_PREFIX);
    let Some(vm) = vm.and_then(|vm| vm.parse::<VmId>().ok()) else {
        return;
    };
    cx.decide(|gateway, _| {
        let of_vm = |id: &DaemonId| id.vm == vm;
        let ids: Vec<DaemonId> = gateway
            .roster()
            .peers()
            .map(|peer| peer.member.id.clone())
            .collect();
        for id in ids.iter().filter(|id| of_vm(id)) {
            gateway.on_member_removed(id);
        }
    });
}

/// Keeps this daemon registered under a lease until the gateway stops.
pub(super) async fn register(cx: Rc<Shared>, store: Rc<Store>, member: Member) {
    let Ok(key) = format!("{MEMBERS_PREFIX}{}", member.id.vm).parse::<StoreKey>() else {
        cx.event(
            Event::new("register-failed")
                .with("cause", &"the name of the VM does not fit into a key"),
        );
        return;
    };
    let Ok(value) = serde_json::to_vec(&member) else {
        cx.event(
            Event::new("register-failed").with("cause", &"the registration cannot be encoded"),
        );
        return;
    };
    let mut lease = None;
    loop {
        let stopped = cx.stopped.notified();
        if cx.decide(|gateway, _| gateway.is_stopping()) {
            break;
        }
        let pause = match keep(&store, &key, &value, lease).await {
            Ok(kept) => {
                if lease != Some(kept) {
                    cx.event(
                        Event::new("registered")
                            .with("key", &key)
                            .with("lease", &kept),
                    );
                }
                lease = Some(kept);
                RENEW_PERIOD
            }
            Err(cause) => {
                cx.event(Event::new("register-failed").with("cause", &cause));
                if cause != "unavailable" {
                    lease = None;
                }
                FAILURE_PAUSE * 2
            }
        };
        tokio::select! {
            () = sleep(pause) => {}
            () = stopped => {}
        }
    }
    if let Some(lease) = lease {
        let ended = store.call(StoreCall::Revoke { lease }).await;
        cx.event(Event::new("unregistered").with("done", &ended.is_ok()));
    }
}

/// Renews the lease, or takes a new one and registers under it.
async fn keep(
    store: &Store,
    key: &StoreKey,
    value: &[u8],
    lease: Option<LeaseId>,
) -> Result<LeaseId, &'static str> {
    if let Some(lease) = lease {
        return match store.call(StoreCall::Renew { lease }).await {
            Ok(StoreReply::Lease { .. }) => Ok(lease),
            Ok(_) => Err("lease-gone"),
            Err(_) => Err("unavailable"),
        };
    }
    let granted = store
        .call(StoreCall::Grant {
            ttl: REGISTRATION_TTL,
        })
        .await;
    let Ok(StoreReply::Lease { lease, .. }) = granted else {
        return Err("no-lease");
    };
    let current = store.call(StoreCall::Get { key: key.clone() }).await;
    let Ok(StoreReply::Value(current)) = current else {
        return Err("not-read");
    };
    let swap = StoreCall::Swap {
        key: key.clone(),
        expected: current.map(|stored| stored.version),
        value: Some(value.to_vec()),
        lease: Some(lease),
    };
    match store.call(swap).await {
        Ok(StoreReply::Swapped { .. }) => Ok(lease),
        _ => Err("not-written"),
    }
}
