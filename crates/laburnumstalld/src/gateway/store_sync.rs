//! Keeps the gateway's view of the key-value store fresh.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use laburnumstall_core::gateway::{EndpointRecord, EraChange, Gateway, OriginSegment, ViewChange};
use laburnumstall_core::ids::{DaemonId, ServiceName};
use laburnumstall_core::limits::Backoff;
use laburnumstall_core::store::{StoreVersion, StoredValue};
use laburnumstall_core::units::Timestamp;
use laburnumstall_platform::store::{Change, Changes, ReadFailure, Store};
use tokio::time::{Instant, sleep, sleep_until};

use super::context::Context;
use super::crash_checks;
use super::log::Event;
use super::marks;
use super::registration::{self, StoredMember};
use super::rollouts;
use super::rules_floor;
use super::stored_origins;
use super::stored_versions::{self, Versions};

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
/// Longest such delay of a daemon that relies on other readers.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_200);
/// Reads a snapshot of the store, then its changes, forever.
pub(super) async fn run(cx: Rc<Context>, store: Rc<Store>, seed: u64) {
    let mut backoff = Backoff::new(FAILURE_RETRY_DELAY, MAX_RETRY_DELAY, seed);
    loop {
        let sent = begin_read(&cx);
        match store.snapshot().await {
            Ok(snapshot) if on_era(&cx, &snapshot) != EraChange::Late => {
                let version = snapshot.version;
                apply_snapshot(&cx, snapshot);
                complete_read(&cx, sent, version, vec![ViewChange::Other]);
                follow(&cx, &store, version, &mut backoff).await;
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
async fn follow(cx: &Context, store: &Store, mut version: StoreVersion, backoff: &mut Backoff) {
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
                backoff.reset();
                sleep_until(started_at + MIN_READ_INTERVAL).await;
            }
            Err(ReadFailure::HistoryGone) => {
                cx.event(Event::new("store-history-gone").with("version", version));
                return;
            }
            Err(error) => {
                on_read_failure(cx, &error);
                // The others hear from those that read for the fleet when the store is back.
                let delay = match cx.with_gateway(|gateway, now| gateway.is_reader(now)) {
                    true => FAILURE_RETRY_DELAY,
                    false => backoff.next_delay(),
                };
                sleep(delay).await;
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
        Change::Rules(_) | Change::Rollout(..) => Some(ViewChange::Other),
        Change::EndpointRemoved(id) => Some(ViewChange::EndpointRemoved(id.clone())),
        Change::Endpoint(record) => {
            let known = gateway.endpoints().get(&record.id);
            let is_changed = known.is_none_or(|known| known.record != *record);
            is_changed.then(|| ViewChange::Endpoint(record.clone()))
        }
        Change::Own(value) if registration::is_member(&value.key) => {
            Some(registration::member_change(value))
        }
        Change::Own(value)
            if value.key.as_str().starts_with(stored_versions::PREFIX)
                || value.key.as_str().starts_with(rollouts::PREFIX)
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
    let mut orders = BTreeMap::new();
    let mut states = BTreeMap::new();
    for change in snapshot.changes {
        match change {
            Change::Endpoint(record) => endpoints.push(record),
            Change::Rollout(service, entry) => {
                orders.insert(service, entry);
            }
            Change::Own(value) => {
                if let Some((service, stored)) = rollouts::stored_state(&value) {
                    states.insert(service, stored);
                } else if let Some(stored) = rules_floor::stored_floor(&value) {
                    floor = stored;
                } else if let Some(service) = marks::marked_service(&value) {
                    marked.insert(service);
                } else if let Some((service, stored)) = read_versions(cx, &value) {
                    versions.push((service, stored));
                } else if stored_origins::is_segment(&value.key) {
                    segments.extend(read_segment(cx, &value));
                } else if let Some((suspect, hold)) = crash_checks::stored_hold(&value) {
                    holds.extend(hold.map(|hold| (suspect, hold)));
                } else if let Some(stored) = read_member(cx, &value) {
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
    rollouts::apply_snapshot(cx, orders, states);
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
        gateway.on_stored_origins(now, segments);
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
        Change::Rollout(service, entry) => {
            cx.with_gateway(|gateway, now| gateway.on_rollout_order(now, &service, entry));
        }
        Change::Own(value) => {
            if let Some((service, stored)) = rollouts::stored_state(&value) {
                cx.with_gateway(|gateway, now| gateway.on_stored_rollout(now, &service, stored));
            } else if let Some(floor) = rules_floor::stored_floor(&value) {
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
            } else if let Some(stored) = read_member(cx, &value) {
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
fn read_segment(cx: &Context, value: &StoredValue) -> Option<OriginSegment> {
    match stored_origins::stored_segment(value)? {
        Ok(segment) => Some(segment),
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
    cx.with_gateway(|gateway, now| gateway.on_member_record(now, stored.into()));
}

/// Reads a daemon's registration; `None` for other keys and unreadable values.
fn read_member(cx: &Context, value: &StoredValue) -> Option<StoredMember> {
    match registration::stored_member(value)? {
        Ok(member) => Some(member),
        Err(error) => {
            record_unreadable(cx, value, &error);
            None
        }
    }
}

fn remove_member(cx: &Context, value: &StoredValue) {
    if let Some(vm) = registration::registered_vm(value) {
        cx.with_gateway(|gateway, _| gateway.on_vm_unregistered(&vm));
    }
}
