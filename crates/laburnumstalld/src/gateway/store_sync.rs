//! Keeps the gateway's view of the key-value store fresh and this daemon registered there.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use laburnumstall_core::gateway::{
    EndpointRecord, EraChange, Gateway, OriginSegment, PeerProtocol, StoredVersions, ViewChange,
};
use laburnumstall_core::ids::{DaemonId, ServiceName, VmId};
use laburnumstall_core::membership::Member;
use laburnumstall_core::store::{
    LeaseId, StoreCall, StoreEra, StoreKey, StoreReply, StoreVersion, StoredValue,
};
use laburnumstall_core::units::Timestamp;
use laburnumstall_outside::key_value::KeyValue;
use laburnumstall_platform::store::{Change, Changes, ReadFailure, Store};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, sleep_until};

use super::context::Context;
use super::crash_checks;
use super::log::Event;
use super::marks;
use super::rules_floor;
use super::stored_origins;
use super::stored_versions;

/// Minimum interval between reads of changes. Endpoint heartbeats wake a watch many times a
/// second, while a change must be seen well within the two seconds after which a leaving
/// endpoint accepts no more work.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a daemon that relies on other readers checks whether to read itself.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum wait of a long poll for changes; it confirms the view about once a second.
const MAX_READ_WAIT: Duration = Duration::from_millis(600);
/// Wait of a read that only confirms the view or fetches changes known to exist.
const NO_WAIT: Duration = Duration::from_millis(1);
/// Delay before the next read after a failed one.
const FAILURE_RETRY_DELAY: Duration = Duration::from_millis(150);
/// TTL of this daemon's registration: it outlasts a short outage, since gossip detects a
/// failed daemon sooner.
const REGISTRATION_TTL: Duration = Duration::from_secs(6);
/// Interval between renewals of the registration.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// Prefix of the keys under which daemons register.
const MEMBERS_PREFIX: &str = "daemons/";

/// Stored versions of a service with the version of their key; `None` if there are none.
type Versions = Option<(StoredVersions, StoreVersion)>;

/// Registration of a daemon, as stored.
#[derive(Debug, Serialize, Deserialize)]
struct StoredMember {
    #[serde(flatten)]
    member: Member,
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

/// Reads a snapshot of the store, then its changes, forever.
pub(super) async fn run(cx: Rc<Context>, store: Rc<Store>) {
    loop {
        let sent = begin_read(&cx);
        match store.snapshot().await {
            Ok(snapshot) if on_era(&cx, &snapshot) != EraChange::Late => {
                let version = snapshot.version;
                apply_snapshot(&cx, snapshot);
                complete_read(&cx, sent, version, vec![ViewChange::Other]);
                follow(&cx, &store, version).await;
            }
            Ok(_) => sleep(FAILURE_RETRY_DELAY).await,
            Err(error) => {
                on_read_failure(&cx, &error);
                sleep(FAILURE_RETRY_DELAY).await;
            }
        }
    }
}

/// Reads changes until the store does not have the history after `version`.
async fn follow(cx: &Context, store: &Store, mut version: StoreVersion) {
    loop {
        let Some(may_wait) = cx.with_gateway(Gateway::next_read) else {
            sleep(POLL_INTERVAL).await;
            continue;
        };
        let started_at = Instant::now();
        let sent = begin_read(cx);
        let wait = if may_wait { MAX_READ_WAIT } else { NO_WAIT };
        match store.changes(version, wait).await {
            Ok(changes) => {
                match on_era(cx, &changes) {
                    EraChange::Same => {}
                    EraChange::Restored => return,
                    EraChange::Late => {
                        sleep(FAILURE_RETRY_DELAY).await;
                        continue;
                    }
                }
                version = version.max(changes.version);
                let mut view_changes = Vec::new();
                for change in changes.changes {
                    view_changes
                        .extend(cx.with_gateway(|gateway, _| view_change(gateway, &change)));
                    apply_change(cx, change);
                }
                complete_read(cx, sent, version, view_changes);
                sleep_until(started_at + MIN_READ_INTERVAL).await;
            }
            Err(ReadFailure::HistoryGone) => {
                cx.event(Event::new("store-history-gone").with("version", version));
                return;
            }
            Err(error) => {
                on_read_failure(cx, &error);
                sleep(FAILURE_RETRY_DELAY).await;
            }
        }
    }
}

fn on_era(cx: &Context, read: &Changes) -> EraChange {
    let change = cx.with_gateway(|gateway, now| gateway.on_store_era(now, read.era));
    if change == EraChange::Restored {
        cx.restore_signal.notify_one();
    }
    change
}

/// Records that a read is being sent and returns the time.
fn begin_read(cx: &Context) -> Timestamp {
    cx.with_gateway(|gateway, now| {
        gateway.on_read_sent();
        now
    })
}

fn complete_read(cx: &Context, sent: Timestamp, version: StoreVersion, changes: Vec<ViewChange>) {
    cx.metrics.store_call(true);
    cx.with_gateway(|gateway, now| gateway.on_read(now, sent, version, changes));
}

/// Returns what to gossip about a change: nothing for a mere heartbeat or for the keys of
/// duties, which matter to the lease holder alone.
fn view_change(gateway: &Gateway, change: &Change) -> Option<ViewChange> {
    match change {
        Change::Rules(_) => Some(ViewChange::Other),
        Change::EndpointRemoved(id) => Some(ViewChange::EndpointRemoved(id.clone())),
        Change::Endpoint(record) => {
            let known = gateway.endpoints().get(&record.id);
            let is_changed = known.is_none_or(|known| known.record != *record);
            is_changed.then(|| ViewChange::Endpoint(record.clone()))
        }
        Change::Own(value)
            if value.key.as_str().starts_with(MEMBERS_PREFIX)
                || value.key.as_str().starts_with(stored_versions::PREFIX)
                || value.key.as_str() == rules_floor::KEY =>
        {
            Some(ViewChange::Other)
        }
        Change::Own(_) | Change::Unreadable { .. } => None,
    }
}

fn on_read_failure(cx: &Context, error: &ReadFailure) {
    cx.metrics.store_call(false);
    let reason = match error {
        ReadFailure::Call { source } => source.to_string(),
        other => other.to_string(),
    };
    cx.with_gateway(|gateway, now| gateway.on_store_failure(now, &reason));
}

fn apply_snapshot(cx: &Context, snapshot: Changes) {
    let mut endpoints: Vec<EndpointRecord> = Vec::new();
    let mut members: BTreeSet<DaemonId> = BTreeSet::new();
    let mut marked: BTreeSet<ServiceName> = BTreeSet::new();
    let mut holds = Vec::new();
    let mut versions = Vec::new();
    let mut segments = Vec::new();
    let mut floor = None;
    for change in snapshot.changes {
        match change {
            Change::Endpoint(record) => endpoints.push(record),
            Change::Own(value) => {
                if let Some(stored) = rules_floor::stored_floor(&value) {
                    floor = stored;
                } else if let Some(service) = marks::marked_service(&value) {
                    marked.insert(service);
                } else if let Some((service, stored)) = read_versions(cx, &value) {
                    versions.push((service, stored));
                } else if stored_origins::is_segment(&value.key) {
                    segments.extend(read_segment(cx, &value));
                } else if let Some((suspect, hold)) = crash_checks::stored_hold(&value) {
                    holds.extend(hold.map(|hold| (suspect, hold)));
                } else if let Some(stored) = parse_member(cx, &value) {
                    members.insert(stored.member.id.clone());
                    apply_member(cx, stored);
                }
            }
            other => apply_change(cx, other),
        }
    }
    cx.event(
        Event::new("store-listed")
            .with("endpoints", endpoints.len())
            .with("daemons", members.len())
            .with("version", snapshot.version)
            .with("era", snapshot.era.unwrap_or_default()),
    );
    cx.with_gateway(|gateway, now| {
        let ended: Vec<ServiceName> = gateway
            .version_history()
            .marks()
            .filter(|service| !marked.contains(*service))
            .cloned()
            .collect();
        for service in ended {
            gateway.on_version_mark(service, false);
        }
        for service in marked {
            gateway.on_version_mark(service, true);
        }
        gateway.on_rules_floor(now, floor);
        let is_stored = |service: &ServiceName| versions.iter().any(|(known, _)| known == service);
        let removed = gateway.version_history().stored_services();
        let removed = removed.filter(|service| !is_stored(service)).cloned();
        for service in removed.collect::<Vec<_>>() {
            gateway.on_stored_versions(now, service, None);
        }
        for (service, stored) in versions {
            gateway.on_stored_versions(now, service, stored);
        }
        gateway.on_endpoints(now, endpoints);
        for (key, segment) in segments {
            gateway.on_stored_origins(now, key.as_str(), segment);
        }
        gateway.on_stored_holds(now, holds);
        let known: Vec<DaemonId> = gateway
            .peer_table()
            .peers()
            .map(|peer| peer.member.id.clone())
            .collect();
        for id in known.iter().filter(|id| !members.contains(id)) {
            gateway.on_member_removed(id);
        }
    });
}

fn apply_change(cx: &Context, change: Change) {
    match change {
        Change::Rules(rules) => {
            cx.with_gateway(|gateway, now| gateway.on_rules(now, rules));
        }
        Change::Endpoint(record) => {
            cx.with_gateway(|gateway, now| gateway.on_endpoint(now, record))
        }
        Change::EndpointRemoved(id) => {
            cx.with_gateway(|gateway, now| gateway.on_endpoint_removed(now, &id));
        }
        Change::Own(value) => {
            if let Some(floor) = rules_floor::stored_floor(&value) {
                cx.with_gateway(|gateway, now| gateway.on_rules_floor(now, floor));
            } else if let Some(service) = marks::marked_service(&value) {
                let is_marked = value.value.is_some();
                cx.with_gateway(|gateway, _| gateway.on_version_mark(service, is_marked));
            } else if let Some((service, stored)) = read_versions(cx, &value) {
                cx.with_gateway(|gateway, now| gateway.on_stored_versions(now, service, stored));
            } else if stored_origins::is_segment(&value.key) {
                // Peers answer for the streams of daemons that are up.
            } else if let Some((suspect, hold)) = crash_checks::stored_hold(&value) {
                cx.with_gateway(|gateway, now| match hold {
                    Some(hold) => gateway.on_stored_hold(now, suspect, hold),
                    None => gateway.on_stored_hold_removed(now, suspect),
                });
            } else if value.value.is_none() {
                remove_member(cx, &value);
            } else if let Some(stored) = parse_member(cx, &value) {
                apply_member(cx, stored);
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

/// Reads the versions at which streams of a service begin; `None` for other keys. Unreadable
/// ones count as removed.
fn read_versions(cx: &Context, value: &StoredValue) -> Option<(ServiceName, Versions)> {
    let (service, stored) = stored_versions::stored_versions(value)?;
    let stored = stored.unwrap_or_else(|error| {
        record_unreadable(cx, value, &error);
        None
    });
    Some((service, stored))
}

/// Reads a segment of stored origins; `None` if it was removed or is unreadable.
fn read_segment(cx: &Context, value: &StoredValue) -> Option<(StoreKey, OriginSegment)> {
    match stored_origins::stored_segment(value)? {
        Ok(segment) => Some((value.key.clone(), segment)),
        Err(fault) => {
            record_unreadable(cx, value, &fault);
            None
        }
    }
}

fn record_unreadable(cx: &Context, value: &StoredValue, cause: &impl std::fmt::Display) {
    let event = Event::new("store-value-unreadable").with("key", &value.key);
    cx.event(event.with("cause", cause));
}

fn apply_member(cx: &Context, stored: StoredMember) {
    cx.with_gateway(|gateway, now| {
        let id = stored.member.id.clone();
        gateway.on_member(now, stored.member);
        gateway.set_extension_support(&id, stored.stream_origins);
        gateway.set_quarantine_support(&id, stored.quarantine);
        gateway.set_peer_protocol(&id, stored.protocol);
    });
}

/// Parses a daemon's registration; `None` for other keys and unreadable values.
fn parse_member(cx: &Context, value: &StoredValue) -> Option<StoredMember> {
    if !value.key.as_str().starts_with(MEMBERS_PREFIX) {
        return None;
    }
    match serde_json::from_slice(value.value.as_deref()?) {
        Ok(member) => Some(member),
        Err(error) => {
            record_unreadable(cx, value, &error);
            None
        }
    }
}

fn remove_member(cx: &Context, value: &StoredValue) {
    let vm = value.key.as_str().strip_prefix(MEMBERS_PREFIX);
    let Some(vm) = vm.and_then(|vm| vm.parse::<VmId>().ok()) else {
        return;
    };
    cx.with_gateway(|gateway, _| {
        let of_vm = |id: &DaemonId| id.vm == vm;
        let ids: Vec<DaemonId> = gateway
            .peer_table()
            .peers()
            .map(|peer| peer.member.id.clone())
            .collect();
        for id in ids.iter().filter(|id| of_vm(id)) {
            gateway.on_member_removed(id);
        }
    });
}

/// Keeps this daemon registered under a lease until the gateway ends. A stopping daemon stays
/// registered as leaving: it still serves requests, and peers need its gossip messages.
pub(super) async fn register(cx: Rc<Context>, store: Rc<Store>, mut member: Member) {
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
                RENEW_INTERVAL
            }
            Err(cause) => {
                cx.event(Event::new("register-failed").with("cause", cause));
                FAILURE_RETRY_DELAY * 2
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
