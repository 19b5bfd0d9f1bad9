//! Versions at which streams begin by stored tables, and origins that are computed from these.

use std::collections::BTreeMap;

use crate::rollout_world::{LIMITS, order};
use crate::stored_origins::{hear_peers, set};
use crate::stream_origins::{gossip, origin, start, two_versions, versioned};
use crate::support::{at, bounds, call_attributes, daemon, gateway, gateway_of, member, rules};
use laburnumstall_core::gateway::{
    AttemptDigest, Bounds, EndpointRecord, Gateway, OrderEntry, OriginAnswer, OriginGroup,
    PeerProtocol, RolloutPhase, StoredRollout, StoredVersions, VersionShares, VersionsWrite,
};
use laburnumstall_core::prelude::*;
use laburnumstall_core::store::{StoreEra, StoreVersion};

const STREAMS: u64 = 200;

fn model() -> ServiceName {
    "model".parse().unwrap()
}

fn endpoints(versions: &[(&str, usize)]) -> Vec<EndpointRecord> {
    let ids = "abcdefghijklmnopqrstuvwxyz".chars();
    let versions = versions.iter().flat_map(|(v, count)| vec![*v; *count]);
    ids.zip(versions)
        .map(|(id, version)| versioned(&id.to_string(), version))
        .collect()
}

/// Store of the versions of one service, and the time of the test.
struct Stored {
    value: Option<(StoredVersions, StoreVersion)>,
    era: u64,
}

impl Stored {
    fn new() -> Self {
        Self {
            value: None,
            era: 1,
        }
    }

    /// Starts a daemon that reads the store.
    fn start(&self, endpoints: &[EndpointRecord], ms: u64) -> Gateway {
        let mut gateway = gateway(endpoints);
        let mut rules = rules(2);
        rules.customers.as_mut().unwrap()[0].quota = None;
        gateway.on_rules(at(ms), rules);
        gateway.on_store_era(at(ms), Some(StoreEra(self.era)));
        if let Some(value) = &self.value {
            gateway.on_stored_versions(at(ms), model(), Some(value.clone()));
        }
        gateway.on_endpoints(at(ms), endpoints.to_vec());
        gateway.on_store_confirmed(at(ms), at(ms));
        gateway
    }

    /// Carries out what the daemon has to write; returns whether that is anything.
    fn write(&mut self, gateway: &mut Gateway, ms: u64) -> bool {
        gateway.on_store_confirmed(at(ms), at(ms));
        let writes = gateway.versions_to_store(at(ms));
        for write in &writes {
            self.apply(write);
        }
        self.read(gateway, ms);
        !writes.is_empty()
    }

    fn apply(&mut self, write: &VersionsWrite) {
        let current = self.value.as_ref().map(|(_, version)| *version);
        assert_eq!(write.expected, current);
        let next = current.map_or(1, |version| version.get() + 1);
        self.value = Some((write.stored.clone(), StoreVersion(next)));
    }

    fn read(&self, gateway: &mut Gateway, ms: u64) {
        gateway.on_stored_versions(at(ms), model(), self.value.clone());
    }

    fn shares(&self) -> &VersionShares {
        let (stored, _) = self.value.as_ref().unwrap();
        stored.shares.as_ref().unwrap()
    }

    /// Lets a daemon write in the time from `from` to `to`.
    fn run(&mut self, gateway: &mut Gateway, from: u64, to: u64) {
        for ms in (from..to).step_by(250) {
            self.write(gateway, ms);
        }
    }
}

/// Begins streams, and returns the version of each by its attempt.
fn begin(gateway: &mut Gateway, ms: u64) -> BTreeMap<String, SoftwareVersion> {
    let attempts = (0..STREAMS).map(|n| format!("{ms}-{n}"));
    attempts
        .map(|attempt| {
            let version = start(gateway, at(ms), &attempt).1.version.unwrap();
            (attempt, version)
        })
        .collect()
}

/// Takes a stream up; returns the version at which it goes on, `None` if it is refused.
fn take_up(gateway: &mut Gateway, ms: u64, attempt: &str) -> Option<SoftwareVersion> {
    let mut attributes = call_attributes(&format!("{attempt}-again"), "/digest/1");
    attributes.resume_after = Some("3".into());
    attributes.resumed_attempt = Some(attempt.into());
    let mut call = gateway.admit(at(ms), attributes).unwrap();
    if let Some(mut lookup) = gateway.begin_resumption(at(ms), &mut call).ok()? {
        for _ in lookup.peers.clone() {
            lookup.on_answer(OriginAnswer::Unknown);
        }
        gateway.end_resumption(at(ms), &mut call, &lookup).ok()?;
    }
    Some(call.origin.unwrap().version.clone())
}

/// Takes streams up; returns how many go on, each at its own version.
fn taken_up(gateway: &mut Gateway, ms: u64, begun: &BTreeMap<String, SoftwareVersion>) -> usize {
    let went_on = begun.iter().filter(|(attempt, version)| {
        let at_version = take_up(gateway, ms, attempt);
        assert!(
            at_version.as_ref().is_none_or(|v| v == *version),
            "{attempt}"
        );
        at_version.is_some()
    });
    went_on.count()
}

fn share(begun: &BTreeMap<String, SoftwareVersion>, version: &str) -> usize {
    begun.values().filter(|v| v.as_str() == version).count()
}

/// Streams were refused after a kill of all daemons since their origins were not stored.
#[test]
fn unstored_origins() {
    let mut stored = Stored::new();
    let endpoints = endpoints(&[("v1", 6), ("v2", 6)]);
    let mut first = stored.start(&endpoints, 0);
    stored.run(&mut first, 1_000, 2_000);
    assert!(stored.shares().is_complete);
    let begun = begin(&mut first, 2_000);
    assert!((60..=140).contains(&share(&begun, "v1")));
    let mut started = stored.start(&endpoints, 3_000);
    assert_eq!(taken_up(&mut started, 3_000, &begun), begun.len());
}

/// Most streams began at the version with a tenth of the slots, or none did.
#[test]
fn uneven_slots() {
    let mut stored = Stored::new();
    let mut gateway = stored.start(&endpoints(&[("v1", 1), ("v2", 9)]), 0);
    stored.run(&mut gateway, 1_000, 2_000);
    let table = &stored.shares().tables[0];
    let of_v1 = table.buckets.iter().filter(|index| **index == 0).count();
    assert_eq!((of_v1, table.buckets.len()), (13, 128));
    assert!((5..=40).contains(&share(&begin(&mut gateway, 2_000), "v1")));
}

/// Streams that began a moment before a version came or left were joined from two versions, or
/// those that no table moves were refused.
#[test]
fn changed_table() {
    let mut stored = Stored::new();
    let mut first = stored.start(&endpoints(&[("v1", 9)]), 0);
    stored.run(&mut first, 1_000, 3_000);
    let before = begin(&mut first, 3_000);
    first.on_endpoints(at(3_100), endpoints(&[("v1", 9), ("v2", 3)]));
    stored.run(&mut first, 3_250, 8_000);
    assert_eq!(stored.shares().tables.len(), 2);
    let after = begin(&mut first, 8_000);
    assert!((20..=80).contains(&share(&after, "v2")));
    let mut started = stored.start(&endpoints(&[("v1", 9), ("v2", 3)]), 9_000);
    assert!(taken_up(&mut started, 9_000, &before) >= 120);
    assert!(taken_up(&mut started, 9_000, &after) >= 120);
    // A version that has left writes on no stream, and what began there goes to no other.
    let mut started = stored.start(&endpoints(&[("v2", 3)]), 9_000);
    taken_up(&mut started, 9_000, &before);
    taken_up(&mut started, 9_000, &after);
}

/// Streams began by a table that views which are still believed do not list.
#[test]
fn table_is_announced() {
    let mut stored = Stored::new();
    let mut gateway = stored.start(&endpoints(&[("v1", 9)]), 0);
    stored.run(&mut gateway, 1_000, 3_000);
    gateway.on_endpoints(at(3_000), endpoints(&[("v1", 9), ("v2", 3)]));
    assert!(stored.write(&mut gateway, 3_000));
    let first = stored.shares().clone();
    assert_eq!((first.tables.len(), first.in_use), (2, 1));
    let announced = first.tables[1].number;
    stored.run(&mut gateway, 3_250, 5_000);
    assert_eq!(share(&begin(&mut gateway, 4_900), "v2"), 0);
    assert_eq!(stored.shares().in_use, 1);
    stored.run(&mut gateway, 5_000, 5_500);
    assert_eq!(stored.shares().in_use, announced);
}

/// A table was dropped while streams that began by it could be taken up, or stayed for ever.
#[test]
fn replaced_table_stays() {
    let mut stored = Stored::new();
    let mut gateway = stored.start(&endpoints(&[("v1", 9)]), 0);
    stored.run(&mut gateway, 1_000, 3_000);
    gateway.on_endpoints(at(3_000), endpoints(&[("v1", 9), ("v2", 3)]));
    stored.run(&mut gateway, 3_000, 6_000);
    let retention = gateway.version_history().retention().as_millis() as u64;
    stored.run(&mut gateway, 6_000, 5_000 + retention);
    assert_eq!(stored.shares().tables.len(), 2);
    stored.run(&mut gateway, 5_000 + retention, 12_000 + retention);
    assert_eq!(stored.shares().tables.len(), 1);
}

/// Streams were refused until the table in use had been replaced at its leisure, although none of
/// the endpoints of its version were left.
#[test]
fn departed_version() {
    let mut stored = Stored::new();
    let mut gateway = stored.start(&endpoints(&[("v1", 6), ("v2", 6)]), 0);
    stored.run(&mut gateway, 1_000, 3_000);
    gateway.on_endpoints(at(3_000), endpoints(&[("v2", 6)]));
    assert!(stored.write(&mut gateway, 3_000));
    assert_eq!(share(&begin(&mut gateway, 3_010), "v2"), STREAMS as usize);
}

/// Each change of the number of endpoints replaced the table, so that no origin was certain.
#[test]
fn small_shifts() {
    let mut stored = Stored::new();
    let mut gateway = stored.start(&endpoints(&[("v1", 6), ("v2", 6)]), 0);
    stored.run(&mut gateway, 1_000, 3_000);
    let first = stored.shares().clone();
    for (ms, counts) in (3_000..)
        .step_by(1_000)
        .zip([(7, 6), (6, 7), (6, 6), (5, 6)])
    {
        gateway.on_endpoints(at(ms), endpoints(&[("v1", counts.0), ("v2", counts.1)]));
        stored.run(&mut gateway, ms, ms + 1_000);
    }
    assert_eq!(*stored.shares(), first);
    gateway.on_endpoints(at(8_000), endpoints(&[("v1", 2), ("v2", 10)]));
    stored.run(&mut gateway, 8_000, 11_000);
    assert_eq!(stored.shares().tables.len(), 2);
}

/// A started daemon believed the tables of a store that came back from a copy without the newest.
#[test]
fn earlier_era() {
    let mut stored = Stored::new();
    let all = endpoints(&[("v1", 6), ("v2", 6)]);
    let mut first = stored.start(&endpoints(&[("v1", 6)]), 0);
    stored.run(&mut first, 1_000, 3_000);
    let copy = stored.value.clone();
    first.on_endpoints(at(3_000), all.clone());
    stored.run(&mut first, 3_000, 8_000);
    let begun = begin(&mut first, 8_000);
    stored.value = copy;
    stored.era = 2;
    let mut started = stored.start(&all, 9_000);
    assert_eq!(taken_up(&mut started, 9_000, &begun), 0);
    stored.run(&mut started, 10_000, 12_000);
    assert!(!stored.shares().is_complete);
    assert_eq!(taken_up(&mut started, 12_000, &begun), 0);
    // Later streams are certain as soon as none of before can be taken up.
    let retention = started.version_history().retention().as_millis() as u64;
    stored.run(&mut started, 12_000, 20_000 + retention);
    let later = begin(&mut started, 20_000 + retention);
    let mut started = stored.start(&all, 21_000 + retention);
    assert_eq!(
        taken_up(&mut started, 21_000 + retention, &later),
        later.len()
    );
}

/// Daemons that were up took the tables of the copy for the later ones.
#[test]
fn restored_store() {
    let mut stored = Stored::new();
    let all = endpoints(&[("v1", 6), ("v2", 6)]);
    let mut gateway = stored.start(&endpoints(&[("v1", 6)]), 0);
    stored.run(&mut gateway, 1_000, 3_000);
    let copy = stored.value.clone();
    gateway.on_endpoints(at(3_000), all);
    stored.run(&mut gateway, 3_000, 8_000);
    let in_use = stored.shares().in_use;
    for lost in [copy, None] {
        stored.value = lost;
        stored.era += 1;
        gateway.on_store_era(at(8_000), Some(StoreEra(stored.era)));
        stored.read(&mut gateway, 8_000);
        assert!(share(&begin(&mut gateway, 8_010), "v2") > 0);
        stored.run(&mut gateway, 8_250, 9_250);
        assert_eq!(stored.shares().in_use, in_use);
        assert!(stored.shares().is_complete);
        assert_eq!(stored.value.as_ref().unwrap().0.era, StoreEra(stored.era));
    }
}

/// A daemon with an old view computed origins from tables that others had replaced.
#[test]
fn old_view() {
    let mut stored = Stored::new();
    let all = endpoints(&[("v1", 6), ("v2", 6)]);
    let mut first = stored.start(&all, 0);
    stored.run(&mut first, 1_000, 2_000);
    let begun = begin(&mut first, 2_000);
    let mut started = stored.start(&all, 3_000);
    assert_eq!(taken_up(&mut started, 4_600, &begun), 0);
    started.on_store_confirmed(at(4_700), at(4_650));
    assert_eq!(taken_up(&mut started, 4_700, &begun), begun.len());
}

/// Origins were computed although daemons of an earlier build begin streams at any version.
#[test]
fn earlier_build() {
    let all = endpoints(&[("v1", 6), ("v2", 6)]);
    let mut stored = Stored::new();
    let mut first = stored.start(&all, 0);
    stored.run(&mut first, 1_000, 2_000);
    let begun = begin(&mut first, 2_000);
    let join = |gateway: &mut Gateway, protocol| {
        gateway.on_member(at(3_000), member(2));
        gateway.set_extension_support(&daemon(2), true);
        gateway.set_peer_protocol(&daemon(2), protocol);
        hear_peers(gateway, at(3_000), 1);
    };
    let mut beside_same = stored.start(&all, 3_000);
    join(&mut beside_same, PeerProtocol::NEWEST);
    assert_eq!(taken_up(&mut beside_same, 3_000, &begun), begun.len());
    let mut beside_earlier = stored.start(&all, 3_000);
    join(&mut beside_earlier, PeerProtocol::SHARED_LOAD);
    assert_eq!(taken_up(&mut beside_earlier, 3_000, &begun), 0);
    // It withdraws the tables, also if the other one ranks before it.
    for own in [1, 2] {
        let mut gateway = gateway_of(own, &all);
        let other = 3 - own;
        gateway.on_store_era(at(0), Some(StoreEra(1)));
        stored.read(&mut gateway, 0);
        gateway.on_member(at(0), member(other));
        gateway.set_extension_support(&daemon(other), true);
        gateway.set_peer_protocol(&daemon(other), PeerProtocol::SHARED_LOAD);
        gateway.on_gossip(at(1_500), &daemon(other), gossip(1));
        gateway.on_store_confirmed(at(1_500), at(1_500));
        let writes = gateway.versions_to_store(at(1_500));
        assert_eq!(writes.len(), 1);
        assert_eq!(writes[0].stored.shares, None);
        assert_eq!(writes[0].stored.versions, set(&["v1", "v2"]));
    }
}

/// Versions as stored by an earlier build were taken for a service without streams.
#[test]
fn versions_without_tables() {
    let mut stored = Stored::new();
    let versions = StoredVersions {
        versions: set(&["v1", "v1.1"]),
        era: StoreEra(1),
        shares: None,
    };
    stored.value = Some((versions, StoreVersion(4)));
    let mut gateway = stored.start(&two_versions(), 0);
    stored.run(&mut gateway, 1_000, 2_000);
    assert!(!stored.shares().is_complete);
    let text = serde_json::to_string(&stored.value.as_ref().unwrap().0).unwrap();
    assert!(
        text.starts_with(r#"{"versions":["v1","v1.1"],"era":1,"shares":{"#),
        "{text}"
    );
}

/// Tables stayed in force although a stream had begun at another version.
#[test]
fn contradicted_table() {
    let mut stored = Stored::new();
    let all = endpoints(&[("v1", 6), ("v2", 6)]);
    let mut first = stored.start(&all, 0);
    stored.run(&mut first, 1_000, 2_000);
    let begun = begin(&mut first, 2_000);
    let (attempt, _) = begun.iter().find(|(_, v)| v.as_str() == "v1").unwrap();
    let mut other = stored.start(&all, 2_000);
    let group = OriginGroup {
        origin: origin("v2"),
        streams: vec![(AttemptDigest::of(attempt), 20)],
    };
    other.on_origins(at(2_100), vec![group]);
    let mut others = begun.clone();
    others.remove(attempt);
    assert_eq!(taken_up(&mut other, 2_200, &others), 0);
    assert!(stored.write(&mut other, 2_250));
    assert!(!stored.shares().is_complete);
}

/// Damaged tables mapped attempts to no version, or to another one than at other daemons.
#[test]
fn damaged_tables() {
    let mut stored = Stored::new();
    let all = endpoints(&[("v1", 6), ("v2", 6)]);
    let mut first = stored.start(&all, 0);
    stored.run(&mut first, 1_000, 2_000);
    let begun = begin(&mut first, 2_000);
    let damages: [fn(&mut VersionShares); 4] = [
        |shares| shares.in_use += 7,
        |shares| shares.tables[0].buckets.truncate(100),
        |shares| shares.tables[0].buckets[3] = 9,
        |shares| shares.tables.clear(),
    ];
    for damage in damages {
        let (mut value, version) = stored.value.clone().unwrap();
        damage(value.shares.as_mut().unwrap());
        let damaged = Stored {
            value: Some((value, version)),
            era: 1,
        };
        let mut started = damaged.start(&all, 3_000);
        assert_eq!(taken_up(&mut started, 3_000, &begun), 0);
    }
}

/// Streams began by a table while a rollout of their service has to keep to its share.
#[test]
fn ordered_rollout() {
    let mut stored = Stored::new();
    let mut gateway = stored.start(&endpoints(&[("v1", 6)]), 0);
    gateway.set_bounds(Bounds {
        rollout: Some(LIMITS),
        ..bounds()
    });
    stored.run(&mut gateway, 1_000, 2_000);
    assert!(stored.shares().is_complete);
    let entry = OrderEntry::Order(order(7, "v2"));
    gateway.on_rollout_order(at(2_000), &model(), entry);
    gateway.on_endpoints(at(2_000), endpoints(&[("v1", 6), ("v2", 2)]));
    stored.run(&mut gateway, 2_000, 5_000);
    assert_eq!(stored.value.as_ref().unwrap().0.shares, None);
    let due = gateway.rollouts_to_store(at(5_000)).pop().unwrap();
    let complete = StoredRollout {
        phase: RolloutPhase::Complete,
        ..due.stored
    };
    let complete = Some((Some(complete), StoreVersion(11)));
    gateway.on_stored_rollout(at(5_100), &model(), complete);
    stored.run(&mut gateway, 5_250, 6_000);
    assert!(!stored.shares().is_complete);
    assert_eq!(stored.shares().tables[0].versions, ["v2".parse().unwrap()]);
}

/// The stored value outgrew what a daemon of the largest fleet may read in a second.
#[test]
fn stored_size() {
    let mut stored = Stored::new();
    let mut gateway = stored.start(&endpoints(&[("v1", 6), ("v2", 6)]), 0);
    stored.run(&mut gateway, 1_000, 2_000);
    let size = |stored: &Stored| {
        let (value, _) = stored.value.as_ref().unwrap();
        serde_json::to_string(value).unwrap().len()
    };
    let first = size(&stored);
    for (index, ms) in (0..10).zip((2_000..).step_by(3_000)) {
        let counts = if index % 2 == 0 { (2, 10) } else { (10, 2) };
        gateway.on_endpoints(at(ms), endpoints(&[("v1", counts.0), ("v2", counts.1)]));
        stored.run(&mut gateway, ms, ms + 3_000);
    }
    println!(
        "{first} bytes, at most {} with {} tables",
        size(&stored),
        stored.shares().tables.len()
    );
    assert!(size(&stored) < 4_096);
}
