//! Configurations stored and pulled by section: races, lost replies, restored stores.

use std::time::Duration;

use laburnumstall_core::adoption::{ConfigurationId, StoredConfigurationRecord, accepted_records};
use laburnumstall_core::entry::{
    ApplyOutcome, ApplyRequest, Event, configuration_head_key, configuration_record_prefix,
};
use laburnumstall_core::ids::{CustomerId, Revision};
use laburnumstall_core::message::{ConfigurationRecord, Message};
use laburnumstall_core::resources::{Configuration, Customer, System};
use laburnumstall_core::store::{StoreCall, StoreReply, StoredValue};
use laburnumstall_core::units::RequestRate;
use laburnumstall_testkit::{World, WorldSpec, system};

/// Time in which an accepted configuration must be in force everywhere.
const IN_FORCE_TIME: Duration = Duration::from_secs(5);

/// Customers of a text of the size that the target names.
const MANY_CUSTOMERS: usize = 200;

fn world() -> World {
    World::new(&WorldSpec::default())
}

fn first_system(world: &World) -> System {
    system(&world.endpoints, false)
}

fn with_customers(mut system: System, count: usize) -> System {
    let pattern = system.customers[0].clone();
    for number in 0..count {
        system.customers.push(Customer {
            name: customer_name(number),
            ..pattern.clone()
        });
    }
    system.customers.sort_by(|a, b| a.name.cmp(&b.name));
    system
}

fn customer_name(number: usize) -> CustomerId {
    format!("zz-{number:04}").parse().expect("a valid name")
}

fn with_rate(mut system: System, rate: u32) -> System {
    system.customers[0].contract.requests = RequestRate(rate.into());
    system
}

fn apply(world: &mut World, entry: usize, token: u64, base: u64, system: &System) {
    let digest = blake_of(system);
    let event = Event::Apply(ApplyRequest {
        token,
        base: Revision(base),
        system: Box::new(system.clone()),
        digest: digest.into(),
        operator: "ana".into(),
        reason: "".into(),
        nonce: 1_000 + token,
    });
    world.tell(entry, event);
}

fn blake_of(system: &System) -> String {
    let buf = serde_json::to_vec(system).expect("a system is encodable");
    format!("{:016x}", laburnumstall_core::hash::digest64(&[&buf]))
}

fn apply_and_wait(world: &mut World, token: u64, base: u64, system: &System) {
    apply(world, 0, token, base, system);
    world.run_for(IN_FORCE_TIME);
}

fn outcome(world: &World, token: u64) -> &ApplyOutcome {
    let mut settled = world.applied.iter();
    let settled = settled.find(|settled| settled.token == token);
    &settled.expect("the apply is answered").outcome
}

fn is_accepted_everywhere(outcome: &ApplyOutcome, at: u64) -> bool {
    matches!(outcome, ApplyOutcome::Accepted { revision, missing, .. }
        if revision.0 == at && missing.is_empty())
}

/// Returns what every running entry has in force; they must agree.
fn in_force(world: &World) -> ConfigurationRecord {
    let entries = world.nodes.iter().filter_map(|node| node.entry.as_ref());
    let mut records = entries.map(|entry| entry.configuration().expect("one in force"));
    let first = records.next().expect("an entry runs");
    assert!(records.all(|record| record == first), "entries differ");
    ConfigurationRecord::clone(first)
}

fn stored_records(world: &mut World) -> Vec<StoredValue> {
    let prefix = configuration_record_prefix();
    match world.store.call(world.now, &StoreCall::List { prefix }) {
        Ok(StoreReply::Listing { values, .. }) => values,
        other => panic!("listed: {other:?}"),
    }
}

fn history(world: &mut World) -> Vec<ConfigurationRecord> {
    let values = stored_records(world);
    let records: Vec<StoredConfigurationRecord> = values.iter().map(decode).collect();
    let head = stored_head(world);
    accepted_records(records, &head)
}

fn decode<T: serde::de::DeserializeOwned>(value: &StoredValue) -> T {
    let buf = value.value.as_ref().expect("a value");
    serde_json::from_slice(buf).expect("a record")
}

/// Fails without `StoredConfigurationRecord::Change` in `Entry::to_stored`.
#[test]
fn one_customer_is_one_section() {
    let mut world = world();
    let large = with_customers(first_system(&world), MANY_CUSTOMERS);
    apply_and_wait(&mut world, 1, 1, &large);
    let changed = with_rate(large, 77);
    apply_and_wait(&mut world, 2, 2, &changed);
    assert!(is_accepted_everywhere(outcome(&world, 2), 3));
    assert_eq!(in_force(&world).configuration.system, changed);
    let records = stored_records(&mut world);
    let sizes: Vec<usize> = records
        .iter()
        .map(|record| record.value.as_ref().map_or(0, Vec::len))
        .collect();
    assert_eq!(sizes.len(), 2);
    // 16 s a change at 4 KB/s leaves 64 KB; a hundredth of the whole is far below.
    assert!(sizes[1] * 50 < sizes[0], "{sizes:?}");
}

/// Fails without the expected version in the swap of the head (`Entry::swap_head`).
#[test]
fn operators_race() {
    for seed in 0..50 {
        let mut world = World::new(&WorldSpec {
            seed,
            ..WorldSpec::default()
        });
        let base = first_system(&world);
        apply(&mut world, 0, 1, 1, &with_rate(base.clone(), 11));
        world.run_for(Duration::from_millis(seed % 6));
        apply(&mut world, 1, 2, 1, &with_rate(base.clone(), 22));
        world.run_for(IN_FORCE_TIME);
        let accepted = [1, 2].map(|token| is_accepted_everywhere(outcome(&world, token), 2));
        assert!(accepted[0] != accepted[1], "seed {seed}: {accepted:?}");
        let winner = if accepted[0] { 11 } else { 22 };
        let system = in_force(&world).configuration.system;
        assert_eq!(system, with_rate(base, winner), "seed {seed}");
        assert_eq!(history(&mut world).len(), 1, "the loser is no history");
    }
}

/// Each lost reply is noticed after 1.5 s and a write must be settled within 4 s, so that an
/// apply outlives two of them, on the record or on the head. With more the answer must still
/// be true.
///
/// Fails without `Entry::confirm_written`.
#[test]
fn lost_replies() {
    for lost in 1..=6 {
        for micros_before in [0, 2_500] {
            lose_replies(lost, Duration::from_micros(micros_before));
        }
    }
}

fn lose_replies(lost: u32, before: Duration) {
    let mut world = world();
    let changed = with_rate(first_system(&world), 33);
    apply(&mut world, 0, 1, 1, &changed);
    world.run_for(before);
    world.store.lose_replies = lost;
    world.run_for(IN_FORCE_TIME);
    let outcome = outcome(&world, 1).clone();
    world.run_for(IN_FORCE_TIME);
    let is_in_force = in_force(&world).configuration.system == changed;
    match outcome {
        ApplyOutcome::Accepted { .. } => assert!(is_in_force, "{lost} lost"),
        ApplyOutcome::Unavailable {
            may_be_accepted, ..
        } => assert!(may_be_accepted || !is_in_force, "{lost} lost"),
        ApplyOutcome::Conflict { .. } => panic!("{lost} lost: nobody else applied"),
    }
    let is_accepted = is_accepted_everywhere(&outcome, 2);
    assert!(is_accepted || lost > 2, "{lost} lost: {outcome:?}");
}

/// A head whose reply was lost, with another on top of it before it is read back: the chain
/// of records still tells that it was accepted.
///
/// Fails without `Entry::confirm_written`.
#[test]
fn accepted_below_the_head() {
    let mut world = world();
    let base = first_system(&world);
    apply(&mut world, 0, 1, 1, &with_rate(base.clone(), 44));
    // The record is written after 1 ms and the head swapped after 3 ms.
    world.run_for(Duration::from_micros(2_500));
    world.store.lose_replies = 1;
    world.run_for(Duration::from_millis(1));
    world.store.lose_replies = 0;
    world.pause_entry(0, Duration::from_millis(2_500));
    world.run_for(Duration::from_secs(1));
    let second = world.nodes[1].entry.as_ref().expect("runs");
    assert_eq!(second.status().revision, Revision(2));
    apply(&mut world, 1, 2, 2, &with_rate(base, 55));
    world.run_for(IN_FORCE_TIME);
    assert!(is_accepted_everywhere(outcome(&world, 2), 3));
    let first = outcome(&world, 1);
    assert!(
        matches!(first, ApplyOutcome::Accepted { revision, .. } if revision.0 == 2),
        "{first:?}"
    );
}

/// Two applies wait at one entry, and a peer tells it that the first is in force before the
/// store does: the store's reply is not taken for the second's.
///
/// Fails without the search for the swap under way in `Entry::on_configuration_written`.
#[test]
fn reply_after_confirmation() {
    let mut world = world();
    let base = first_system(&world);
    let first = with_rate(base.clone(), 71);
    apply(&mut world, 0, 1, 1, &first);
    apply(&mut world, 0, 2, 1, &with_rate(base, 72));
    // The head is swapped after 3 ms, and the reply comes 1 ms later.
    world.run_for(Duration::from_micros(3_500));
    let event = push_of_stored_head(&mut world, &first);
    world.tell(0, event);
    world.run_for(IN_FORCE_TIME);
    assert!(is_accepted_everywhere(outcome(&world, 1), 2));
    let conflict = ApplyOutcome::Conflict {
        current: Revision(2),
    };
    assert_eq!(*outcome(&world, 2), conflict);
    assert_eq!(in_force(&world).configuration.system, first);
}

/// The time of one apply ends while its record is being written; the reply is not taken for
/// the next apply's record, which a head would then name without its being stored.
///
/// Fails without the search for the write's own apply in `Entry::end_write`.
#[test]
fn reply_after_timeout() {
    let mut world = world();
    let base = first_system(&world);
    apply(&mut world, 0, 1, 1, &with_rate(base.clone(), 81));
    world.pause_entry(0, Duration::from_secs(5));
    world.run_for(Duration::from_millis(4_500));
    let second = with_rate(base, 82);
    apply(&mut world, 0, 2, 1, &second);
    world.tell(0, Event::Tick);
    world.run_for(IN_FORCE_TIME);
    let refused = ApplyOutcome::Unavailable {
        known: Revision(1),
        may_be_accepted: false,
    };
    assert_eq!(*outcome(&world, 1), refused);
    assert!(is_accepted_everywhere(outcome(&world, 2), 2));
    assert_eq!(in_force(&world).configuration.system, second);
    assert_eq!(history(&mut world), [in_force(&world)]);
}

fn push_of_stored_head(world: &mut World, system: &System) -> Event {
    let head = stored_head(world);
    let record = ConfigurationRecord {
        configuration: Configuration {
            revision: head.revision,
            digest: head.digest.clone(),
            system: system.clone(),
        },
        operator: "ana".into(),
        at: world.now,
        reason: "".into(),
        nonce: head.nonce,
    };
    Event::Peer {
        from: world.nodes[1].id.clone(),
        message: Box::new(Message::PushConfiguration(Box::new(record))),
    }
}

fn stored_head(world: &mut World) -> ConfigurationId {
    let key = configuration_head_key();
    let reply = world.store.call(world.now, &StoreCall::Get { key });
    let Ok(StoreReply::Value(Some(head))) = reply else {
        panic!("no head: {reply:?}");
    };
    decode(&head)
}

/// Fails without `OfferOutcome::Older`, and without the whole record that is written when the head
/// does not name the configuration in force (`Entry::to_stored`).
#[test]
fn restored_store() {
    let mut world = world();
    let base = first_system(&world);
    apply_and_wait(&mut world, 1, 1, &with_rate(base.clone(), 61));
    let old = world.store.clone();
    apply_and_wait(&mut world, 2, 2, &with_rate(base.clone(), 62));
    world.store = old;
    world.run_for(IN_FORCE_TIME);
    assert_eq!(in_force(&world).configuration.revision, Revision(3));
    let last = with_rate(base, 63);
    apply_and_wait(&mut world, 3, 3, &last);
    assert!(is_accepted_everywhere(outcome(&world, 3), 4));
    for number in 0..world.nodes.len() {
        world.kill_entry(number);
    }
    world.restart_entry(0);
    world.run_for(IN_FORCE_TIME);
    assert_eq!(in_force(&world).configuration.system, last);
    let revisions = history(&mut world);
    let revisions = revisions.iter().map(|r| r.configuration.revision.0);
    assert_eq!(revisions.collect::<Vec<_>>(), [2, 4]);
}

/// A daemon that starts alone reads back to a whole record.
///
/// Fails without `Entry::fetch_next` in `Entry::take_change`.
#[test]
fn long_chain() {
    let mut world = world();
    let base = first_system(&world);
    for number in 1..=40 {
        let changed = with_rate(base.clone(), 100 + number as u32);
        apply(&mut world, 0, number, number, &changed);
        world.run_for(Duration::from_secs(1));
    }
    assert_eq!(history(&mut world).len(), 40);
    for number in 0..world.nodes.len() {
        world.kill_entry(number);
    }
    world.restart_entry(2);
    world.run_for(IN_FORCE_TIME);
    let record = in_force(&world);
    assert_eq!(record.configuration.revision, Revision(41));
    assert_eq!(record.configuration.system, with_rate(base, 140));
}

/// A head that cannot be decoded is left alone.
///
/// Fails without `Entry::is_head_below`.
#[test]
fn foreign_head_stays() {
    let mut world = world();
    let call = StoreCall::Swap {
        key: configuration_head_key(),
        expected: None,
        value: Some(b"{\"from\":\"a later version\"}".to_vec()),
        lease: None,
    };
    let reply = world.store.call(world.now, &call);
    assert!(matches!(reply, Ok(StoreReply::Swapped { .. })), "{reply:?}");
    world.run_for(IN_FORCE_TIME);
    let changed = with_rate(first_system(&world), 5);
    apply_and_wait(&mut world, 1, 1, &changed);
    let refused = ApplyOutcome::Unavailable {
        known: Revision(1),
        may_be_accepted: false,
    };
    assert_eq!(*outcome(&world, 1), refused);
    assert_eq!(in_force(&world).configuration.revision, Revision(1));
}

/// Forty daemons watch the head no more often than four do, and all hear of a change.
///
/// Fails without `Entry::push_configuration`, and without `Entry::is_head_watcher`.
#[test]
fn few_watchers() {
    let (four, _) = watches_in_a_minute(4);
    let (forty, mut world) = watches_in_a_minute(40);
    assert!(four > 0 && forty <= four, "{four} and {forty}");
    let changed = with_rate(first_system(&world), 88);
    apply(&mut world, 0, 1, 1, &changed);
    world.run_for(IN_FORCE_TIME);
    assert_eq!(in_force(&world).configuration.system, changed);
}

fn watches_in_a_minute(entries: usize) -> (u64, World) {
    let mut world = World::new(&WorldSpec {
        entries,
        ..WorldSpec::default()
    });
    world.run_for(IN_FORCE_TIME);
    let before = world.store.watches;
    world.run_for(Duration::from_secs(60));
    (world.store.watches - before, world)
}
