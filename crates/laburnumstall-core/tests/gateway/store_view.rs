//! Which daemons read the key-value store, and when a peer's confirmation suffices.

use std::time::Duration;

use crate::support::{at, call_attributes, daemon, endpoint, gateway, member};
use laburnumstall_core::gateway::{
    Gateway, GossipMessage, MemberRecord, PeerProtocol, ViewBatch, ViewChange, ViewUpdate,
};
use laburnumstall_core::prelude::*;
use laburnumstall_core::store::StoreVersion;

/// Size of a fleet in which few daemons read.
pub(crate) const DAEMONS: u32 = 32;
/// Time that a message between daemons takes.
const MESSAGE_DELAY: Duration = Duration::from_millis(20);

pub(crate) fn gossip(sequence: u64, changed: u64, echo: u64) -> GossipMessage {
    GossipMessage {
        sequence,
        is_ready: true,
        loads: Vec::new(),
        quota_usage: Vec::new(),
        started_requests: Vec::new(),
        demand: Vec::new(),
        view: ViewUpdate {
            batches: Vec::new(),
            changed: StoreVersion(changed),
            echo,
            era: Default::default(),
        },
    }
}

/// Returns a gateway in a large fleet that has read up to version 9 at `at(0)`.
pub(crate) fn non_reader() -> Gateway {
    let mut gateway = gateway(&[endpoint("engine-1", "model", "north-a")]);
    for number in 2..=DAEMONS {
        gateway.on_member(at(0), member(number));
        gateway.on_gossip(at(0), &daemon(number), gossip(1, 0, 0));
    }
    gateway.on_read(at(0), at(0), StoreVersion(9), vec![ViewChange::Other]);
    gateway
}

fn gossip_from_all(gateway: &mut Gateway, now: Timestamp, sequence: u64) {
    for number in 3..=DAEMONS {
        gateway.on_gossip(now, &daemon(number), gossip(sequence, 0, 0));
    }
}

fn is_refused(gateway: &mut Gateway, now: Timestamp) -> bool {
    gateway
        .admit(now, call_attributes("call", "/order/1"))
        .is_err()
}

/// A reader's confirmation that nothing has changed keeps the view fresh as of the newest
/// message that the reader had received. Fails without `StoreFreshness::on_peer_confirmed`.
#[test]
fn confirmation_keeps_view_fresh() {
    let mut gateway = non_reader();
    for step in 1..=20 {
        let now = at(step * 250);
        let sequence = gateway.next_gossip(now).sequence;
        gateway.on_gossip(
            now.after(Duration::from_millis(100)),
            &daemon(2),
            gossip(step + 1, 9, sequence),
        );
        gossip_from_all(&mut gateway, now, step + 1);
    }
    assert!(!is_refused(&mut gateway, at(5_200)));
    let age = gateway.store_freshness().age(at(5_200)).unwrap();
    assert_eq!(age, Duration::from_millis(200));
}

/// A view is as old as the echoed message, however late the confirmation arrives. Fails if
/// `StoreView::on_update` uses the time of arrival.
#[test]
fn late_confirmation_is_old() {
    let mut gateway = non_reader();
    let sequence = gateway.next_gossip(at(100)).sequence;
    gateway.on_gossip(at(4_000), &daemon(2), gossip(2, 9, sequence));
    assert_eq!(
        gateway.store_freshness().age(at(4_000)),
        Some(Duration::from_millis(3_900))
    );
    assert!(
        is_refused(&mut gateway, at(4_000)),
        "keys may have been withdrawn"
    );
}

/// A daemon that lacks an announced change reads it, and trusts no key until then. Fails if
/// `StoreView::on_update` does not compare versions.
#[test]
fn announced_change_is_read() {
    let mut gateway = non_reader();
    assert!(gateway.next_read(at(1_000)).is_none() || is_reader(&mut gateway, at(1_000)));
    for step in 1..=16 {
        let now = at(step * 250);
        let sequence = gateway.next_gossip(now).sequence;
        gateway.on_gossip(now, &daemon(2), gossip(step + 1, 10, sequence));
    }
    assert_eq!(
        gateway.next_read(at(1_000)),
        Some(is_reader(&mut gateway, at(1_000)))
    );
    assert!(is_refused(&mut gateway, at(4_000)));
    gateway.on_read(
        at(4_100),
        at(4_050),
        StoreVersion(10),
        vec![ViewChange::Other],
    );
    assert!(!is_refused(&mut gateway, at(4_100)));
}

fn is_reader(gateway: &mut Gateway, now: Timestamp) -> bool {
    gateway.next_read(now) == Some(true)
}

/// Four daemons of a large fleet read, and all of a small one. Fails if `is_reader` depends
/// on anything that differs between daemons.
#[test]
fn few_daemons_read() {
    for (daemons, expected) in [(4, 4), (DAEMONS, 4)] {
        let mut readers = 0;
        for own in 1..=daemons {
            let own = member(own);
            let bounds = crate::support::bounds();
            let mut gateway = Gateway::new(own.id.clone(), own.zone, own.caller_address, bounds);
            for number in (1..=daemons).filter(|number| daemon(*number) != own.id) {
                gateway.on_member(at(0), member(number));
                gateway.on_gossip(at(0), &daemon(number), gossip(1, 0, 0));
            }
            gateway.on_read(at(0), at(0), StoreVersion(9), vec![ViewChange::Other]);
            readers += u32::from(is_reader(&mut gateway, at(100)));
        }
        assert_eq!(readers, expected, "of {daemons}");
    }
}

/// A daemon reads the store after a time without confirmation or without a read of its own.
/// Fails without `CONFIRMATION_TIMEOUT` or `OWN_READ_PERIOD` in `Gateway::next_read`.
#[test]
fn missing_confirmation_causes_read() {
    let mut gateway = non_reader();
    assert!(gateway.next_read(at(1_600)).is_some(), "nobody confirms");
    for step in 1..=25 {
        let now = at(step * 250);
        let sequence = gateway.next_gossip(now).sequence;
        gateway.on_gossip(now, &daemon(2), gossip(step + 1, 9, sequence));
        gossip_from_all(&mut gateway, now, step + 1);
    }
    assert!(
        gateway.next_read(at(6_250)).is_some(),
        "the history may be dropped"
    );
}

/// Added, changed and removed endpoints arrive by gossip and need no read by the recipient; a
/// configuration is read by each daemon. Fails if `StoreView::missing` skips a gap or ignores
/// `ViewChange::Other`.
#[test]
fn endpoint_changes_arrive_by_gossip() {
    let mut gateway = non_reader();
    let gossip_with = |sequence: u64, echo: u64, batches: Vec<ViewBatch>| {
        let changed = batches.last().map_or(0, |batch| batch.to.0);
        let mut message = gossip(sequence, changed, echo);
        message.view.batches = batches;
        message
    };
    let batch = |from, to, changes| ViewBatch {
        from: StoreVersion(from),
        to: StoreVersion(to),
        changes,
    };
    let listed = ViewChange::Endpoint(endpoint("engine-2", "model", "north-b"));
    let removed = ViewChange::EndpointRemoved("engine-1".parse().unwrap());
    let knows =
        |gateway: &Gateway, id: &str| gateway.endpoints().get(&id.parse().unwrap()).is_some();

    let first = batch(9, 12, vec![listed]);
    let echo = gateway.next_gossip(at(300)).sequence;
    gateway.on_gossip(
        at(400),
        &daemon(2),
        gossip_with(2, echo, vec![first.clone()]),
    );
    assert!(knows(&gateway, "engine-2"));
    assert_eq!(
        gateway.store_freshness().age(at(400)),
        Some(Duration::from_millis(100))
    );

    // The second batch is lost; the third one does not continue the first.
    let third = batch(15, 17, vec![removed.clone()]);
    gateway.on_gossip(
        at(600),
        &daemon(2),
        gossip_with(3, echo, vec![third.clone()]),
    );
    assert!(knows(&gateway, "engine-1"));
    assert!(gateway.next_read(at(600)).is_some());
    let second = batch(
        12,
        15,
        vec![ViewChange::Endpoint(endpoint(
            "engine-3", "model", "north-a",
        ))],
    );
    gateway.on_gossip(
        at(800),
        &daemon(2),
        gossip_with(4, echo, vec![first, second, third]),
    );
    assert!(knows(&gateway, "engine-3") && !knows(&gateway, "engine-1"));

    let rules = batch(17, 20, vec![ViewChange::Other]);
    gateway.on_gossip(at(900), &daemon(2), gossip_with(5, echo, vec![rules]));
    assert!(gateway.next_read(at(900)).is_some());
}

/// Registers daemons in one read; returns whether a daemon that does not read has to.
fn reads_after_registrations(count: u32) -> bool {
    let mut reader = non_reader();
    let newest = PeerProtocol::NEWEST;
    reader.set_peer_protocol(&daemon(2), newest);
    let records = (0..count).map(|n| MemberRecord {
        member: member(100 + n),
        supports_extensions: true,
        supports_quarantine: true,
        protocol: newest,
    });
    let mut changes: Vec<ViewChange> = records.map(ViewChange::Member).collect();
    changes.push(ViewChange::MemberRemoved(daemon(DAEMONS).vm));
    reader.on_read(at(100), at(100), StoreVersion(12), changes);
    let message = reader.next_gossip(at(110));
    let message = reader.gossip_for(&daemon(2), &message);

    let mut other = non_reader();
    other.on_gossip(at(130), &daemon(2), message);
    let is_read = other.next_read(at(130)).is_some();
    let mut peers = other.peer_table().peers();
    assert_eq!(peers.any(|peer| peer.member.id == daemon(100)), !is_read);
    is_read
}

/// Each daemon read the store whenever another one started or left, so that a fleet whose daemons
/// were replaced in turn read as often as its size squared.
#[test]
fn registrations_arrive_by_gossip() {
    assert!(!reads_after_registrations(3));
    assert!(
        reads_after_registrations(40),
        "a fleet that starts reads once"
    );
}

/// A daemon of an earlier build closed the link on a registration that it does not decode.
#[test]
fn earlier_builds_read_registrations() {
    let mut reader = non_reader();
    let record = ViewChange::MemberRemoved(daemon(DAEMONS).vm);
    reader.on_read(at(100), at(100), StoreVersion(12), vec![record]);
    let message = reader.next_gossip(at(110));
    let message = reader.gossip_for(&daemon(3), &message);
    assert_eq!(message.view.batches[1].changes, [ViewChange::Other]);
}

/// Endpoints that leave while the store turns only this daemon away are removed.
#[test]
fn own_outage_taken_for_one_of_the_store() {
    let mut gateway = non_reader();
    let id = "engine-1".parse().unwrap();
    for step in 1..=12 {
        let now = at(step * 250);
        gateway.on_store_failure(now, "busy");
        let echo = gateway.next_gossip(now).sequence;
        gateway.on_gossip(
            now.after(MESSAGE_DELAY),
            &daemon(2),
            gossip(step + 1, 9, echo),
        );
    }
    let mut message = gossip(14, 12, 0);
    message.view.batches = vec![ViewBatch {
        from: StoreVersion(9),
        to: StoreVersion(12),
        changes: vec![ViewChange::EndpointRemoved("engine-1".parse().unwrap())],
    }];
    gateway.on_gossip(at(3_200), &daemon(2), message);
    assert!(gateway.endpoints().get(&id).is_none());
}
