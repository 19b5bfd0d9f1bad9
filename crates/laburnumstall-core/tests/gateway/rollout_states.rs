//! States of a rollout, each test with one failure.

use std::collections::BTreeMap;

use crate::rollout_world::{DURATION_MS, LIMITS, World, app, order};
use crate::support::{at, bounds, call_attributes, endpoint, gateway, member, rules, scaling};
use laburnumstall_core::gateway::{
    Gateway, OrderEntry, RolloutOrder, RolloutPhase, RolloutStatus, RolloutWrite, ScaleOutcome,
    Scaler, StoredRollout, StoredVersions,
};
use laburnumstall_core::prelude::*;
use laburnumstall_core::store::{StoreEra, StorePosition};

use RolloutPhase::{Aborted, Canary, Complete, Moving, Ordered, Reverted};

/// Holder of the duties, with the store that it writes to.
struct Holder {
    gateway: Gateway,
    version: u64,
}

impl Holder {
    /// Knows of endpoints of these versions, and of an order.
    fn new(versions: &[&str]) -> Self {
        let mut holder = Self {
            gateway: fresh(versions),
            version: 10,
        };
        holder.order(0, order(7, "v2"));
        holder
    }

    fn order(&mut self, ms: u64, order: RolloutOrder) {
        let entry = OrderEntry::Order(order);
        self.gateway.on_rollout_order(at(ms), &app(), entry);
    }

    fn due(&self, ms: u64) -> Option<RolloutWrite> {
        self.gateway.rollouts_to_store(at(ms)).pop()
    }

    /// Writes the state that is due; returns it.
    fn write(&mut self, ms: u64) -> Option<RolloutPhase> {
        let stored = self.due(ms)?.stored;
        let phase = stored.phase;
        self.read(ms, stored);
        Some(phase)
    }

    fn read(&mut self, ms: u64, stored: StoredRollout) {
        self.version += 1;
        let stored = Some((Some(stored), StoreVersion(self.version)));
        self.gateway.on_stored_rollout(at(ms), &app(), stored);
    }

    /// Returns the versions that calls begin at.
    fn versions(&mut self, ms: u64) -> Vec<String> {
        let mut versions: Vec<String> = (0..60)
            .filter_map(|n| {
                let now = at(ms);
                self.gateway.on_store_confirmed(now, now);
                let attributes = call_attributes(&format!("r{ms}-{n}"), "/read/1");
                let mut call = self.gateway.admit(now, attributes).unwrap();
                let attempt = self.gateway.select_endpoint(now, &mut call).ok()?;
                let version = attempt.version.clone().unwrap().to_string();
                self.gateway.abandon(now, attempt, None);
                Some(version)
            })
            .collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }
}

fn fresh(versions: &[&str]) -> Gateway {
    let own = member(1);
    let mut bounds = bounds();
    bounds.rollout = Some(LIMITS);
    let mut gateway = Gateway::new(own.id.clone(), own.zone, own.caller_address, bounds);
    gateway.on_store_confirmed(at(0), at(0));
    gateway.on_rules(at(0), rules(1));
    list(&mut gateway, 0, versions);
    gateway
}

fn list(gateway: &mut Gateway, ms: u64, versions: &[&str]) {
    let records = versions.iter().enumerate().map(|(n, version)| {
        let mut record = endpoint(&format!("{version}-{n}"), "app", "north-a");
        record.version = Some(version.parse().unwrap());
        record
    });
    gateway.on_endpoints(at(ms), records.collect());
}

/// Calls went to the new version before its state was known, or kept away from it after the move.
#[test]
fn calls_follow_the_state() {
    let mut holder = Holder::new(&["v1", "v2"]);
    assert_eq!(holder.versions(10), ["v1"]);
    assert_eq!(holder.write(20), Some(Canary));
    assert_eq!(holder.versions(30), ["v1", "v2"]);
    assert_eq!(holder.write(9_900), None);
    assert_eq!(holder.write(10_000), Some(Moving));
    assert_eq!(holder.versions(10_600), ["v2"]);
    assert_eq!(holder.write(10_700), Some(Complete));
    assert_eq!(holder.versions(10_800), ["v2"]);
    assert_eq!(
        (holder.write(99_000), Complete.status()),
        (None, RolloutStatus::Complete)
    );
}

/// A version that never appeared stayed in progress for ever.
#[test]
fn version_without_endpoints_is_reverted_at_the_deadline() {
    let mut holder = Holder::new(&["v1"]);
    assert_eq!(holder.write(20), Some(Ordered));
    assert_eq!(holder.write(10_900), None);
    assert_eq!(holder.write(11_000), Some(Reverted));
}

/// A removed or garbled order was carried out, or its status left in progress.
#[test]
fn withdrawn_order_is_aborted() {
    for entry in [
        OrderEntry::Removed,
        OrderEntry::Unreadable("garbled".into()),
    ] {
        let mut holder = Holder::new(&["v1", "v2"]);
        holder.write(20);
        holder.gateway.on_rollout_order(at(3_000), &app(), entry);
        assert_eq!(holder.versions(3_100), ["v1"]);
        assert_eq!(holder.write(3_200), Some(Aborted));
        assert_eq!(
            (holder.write(20_000), holder.versions(20_000)),
            (None, vec!["v1".into()])
        );
        // Nothing else serves once the old version has left.
        list(&mut holder.gateway, 21_000, &["v2"]);
        assert_eq!(holder.versions(21_000), ["v2"]);
    }
}

/// The next holder began anew, or reversed what its predecessor had written.
#[test]
fn next_holder_goes_on_from_the_stored_state() {
    for (phase, next) in [(Moving, Some(Complete)), (Reverted, None), (Complete, None)] {
        let mut first = Holder::new(&["v1", "v2"]);
        first.write(20);
        let stored = StoredRollout {
            phase,
            ..first.due(10_000).unwrap().stored
        };
        let mut second = Holder::new(&["v1", "v2"]);
        second.read(10_100, stored);
        assert_eq!(second.write(10_800), next);
    }
}

/// A daemon that started late counted the deadline from its own start.
#[test]
fn deadline_counts_from_the_first_daemon() {
    let mut first = Holder::new(&["v1", "v2"]);
    first.write(20);
    let stored = first.due(10_000).unwrap().stored;
    let mut late = Holder {
        gateway: fresh(&["v1", "v2"]),
        version: 10,
    };
    late.order(10_050, order(7, "v2"));
    late.read(10_050, stored);
    assert_eq!(late.write(10_800), Some(Complete));
}

/// After a restore of the store an older state reversed a decision, or the order counted as new.
#[test]
fn restored_store_does_not_reverse_a_decision() {
    let mut holder = Holder::new(&["v1", "v2"]);
    let canary = holder.due(20).unwrap().stored;
    holder.read(20, canary.clone());
    let reverted = StoredRollout {
        phase: Reverted,
        ..canary.clone()
    };
    holder.read(5_000, reverted);
    let restored = RolloutOrder {
        id: StorePosition {
            era: StoreEra(2),
            version: StoreVersion(3),
        },
        ..order(7, "v2")
    };
    holder.order(6_000, restored);
    holder.read(6_000, canary);
    assert_eq!(holder.versions(6_100), ["v1"]);
    assert_eq!(holder.write(6_200), Some(Reverted));
    assert_eq!(holder.write(6_300), None);
}

/// An order that was given again after its end was taken for the earlier one.
#[test]
fn repeated_order_starts_anew() {
    let mut holder = Holder::new(&["v1", "v2"]);
    let stored = StoredRollout {
        phase: Reverted,
        ..holder.due(20).unwrap().stored
    };
    holder.read(20, stored);
    holder.order(30_000, order(90, "v2"));
    let due = holder.due(30_100).unwrap();
    assert_eq!(
        (due.stored.phase, due.expected),
        (Canary, Some(StoreVersion(11)))
    );
}

/// A stored state that nobody can decode kept the holder from writing.
#[test]
fn unreadable_state_is_overwritten() {
    let mut holder = Holder::new(&["v1", "v2"]);
    let unreadable = Some((None, StoreVersion(44)));
    holder.gateway.on_stored_rollout(at(10), &app(), unreadable);
    assert_eq!(holder.due(20).unwrap().expected, Some(StoreVersion(44)));
}

/// Streams that callers take up begin at stored versions only, also during a rollout.
#[test]
fn resumable_stream_begins_at_stored_versions() {
    let model: ServiceName = "model".parse().unwrap();
    let mut gateway = fresh(&[]);
    let records = ["v1", "v2"].map(|version| {
        let mut record = endpoint(&format!("m-{version}"), "model", "north-a");
        record.version = Some(version.parse().unwrap());
        record
    });
    gateway.on_endpoints(at(0), records.to_vec());
    let entry = OrderEntry::Order(order(7, "v2"));
    gateway.on_rollout_order(at(0), &model, entry);
    let stored = gateway.rollouts_to_store(at(10)).pop().unwrap().stored;
    let complete = StoredRollout {
        phase: Complete,
        ..stored
    };
    let complete = Some((Some(complete), StoreVersion(11)));
    gateway.on_stored_rollout(at(20), &model, complete);
    for (versions, expected) in [(vec!["v1"], "v1"), (vec!["v1", "v2"], "v2")] {
        let versions = versions.iter().map(|version| version.parse().unwrap());
        let stored = StoredVersions {
            versions: versions.collect(),
            era: StoreEra(1),
            shares: None,
        };
        gateway.on_stored_versions(at(30), model.clone(), Some((stored, StoreVersion(5))));
        let attributes = call_attributes(expected, "/digest/1");
        let mut call = gateway.admit(at(40), attributes).unwrap();
        let attempt = gateway.select_endpoint(at(40), &mut call).unwrap();
        assert_eq!(attempt.version, Some(expected.parse().unwrap()));
    }
}

/// An order took effect in a deployment whose settings name no limits.
#[test]
fn order_without_limits_is_ignored() {
    let mut gateway = gateway(&[endpoint("a", "app", "north-a")]);
    let entry = OrderEntry::Order(order(7, "v1"));
    gateway.on_rollout_order(at(0), &app(), entry);
    assert_eq!(gateway.rollout_services().count(), 0);
}

/// Without the store and a holder, the daemons went on sending to a bad version.
#[test]
fn bad_version_is_stopped_without_store_and_holder() {
    let mut world = World::new(
        4,
        9,
        Box::new(|run| (1.0, if run.is_new { 0.3 } else { 0.0 })),
    );
    world.run_until(2_500);
    (world.holders, world.is_store_up) = (Vec::new(), false);
    world.run_until(DURATION_MS + 2_000);
    let (last, fiftieth) = world.last_new_and_bad(50);
    assert!(
        last < 8_000 && fiftieth.is_none_or(|ms| last <= ms + 5_000),
        "{last} {fiftieth:?}"
    );
    (world.holders, world.is_store_up) = (vec![2], true);
    world.run_until(DURATION_MS + 3_000);
    assert_eq!(world.phase(), Some(Reverted));
}

/// Two daemons that both took themselves for the holder wrote one state after the other, or a later
/// one before an earlier one.
#[test]
fn two_holders_write_each_state_once() {
    let mut world = World::new(4, 4, Box::new(|_| (1.0, 0.0)));
    world.holders = vec![1, 0];
    world.run_until(DURATION_MS);
    assert_eq!(world.phases, [Ordered, Canary, Moving, Complete]);
}

/// The order of one service changed what happens to the other.
#[test]
fn two_services_are_rolled_out_at_once() {
    let model: ServiceName = "model".parse().unwrap();
    let mut holder = Holder::new(&["v1", "v2"]);
    let entry = OrderEntry::Order(order(8, "v9"));
    holder.gateway.on_rollout_order(at(0), &model, entry);
    let due = holder.gateway.rollouts_to_store(at(20)).into_iter();
    let due: Vec<_> = due
        .map(|write| (write.service, write.stored.phase))
        .collect();
    assert_eq!(due, [(app(), Canary), (model, Ordered)]);
}

/// A daemon of the earlier build got messages that it does not decode, or kept the others from
/// completing the move.
#[test]
fn earlier_build_serves_alongside() {
    let mut world = World::new(4, 6, Box::new(|_| (1.0, 0.0)));
    world.make_earlier(3);
    world.run_until(DURATION_MS);
    assert_eq!(world.phase(), Some(Complete));
}

/// Scaling released endpoints during a rollout, or took those of the new version for capacity.
#[test]
fn scaling_keeps_endpoints_during_a_rollout() {
    let model: ServiceName = "model".parse().unwrap();
    let mut gateway = fresh(&[]);
    let records = (0..24).map(|n| {
        let zone = ["north-a", "north-b", "north-c"][n % 3];
        let mut record = endpoint(&format!("m{n}"), "model", zone);
        record.version = Some(if n < 12 { "v1" } else { "v2" }.parse().unwrap());
        record
    });
    gateway.on_endpoints(at(0), records.collect());
    let entry = OrderEntry::Order(order(7, "v2"));
    gateway.on_rollout_order(at(0), &model, entry);
    let plan = |gateway: &Gateway, follows: bool| {
        let (mut scaler, mut journal) = (Scaler::default(), Journal::default());
        let mut least = BTreeMap::new();
        for ms in (0..20_000).step_by(250) {
            let scope = gateway.rollout_scope(&model).filter(|_| follows);
            scaler.set_rollout(&model, scope);
            let table = gateway.endpoints();
            for order in scaler.plan(at(ms), &model, &scaling(), table, &mut journal) {
                if !order.is_spot {
                    least.insert(order.zone.clone(), order.desired);
                }
                scaler.on_outcome(at(ms), &order, ScaleOutcome::Accepted, &mut journal);
            }
        }
        least.into_values().min()
    };
    assert!(plan(&gateway, false).is_some_and(|least| least < 4));
    assert!(plan(&gateway, true).is_none_or(|least| least >= 4));
}
