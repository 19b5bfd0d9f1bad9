//! Callers, reads and duties by the sizes of daemons.

use std::collections::{BTreeMap, BTreeSet};

use crate::stream_origins::gossip;
use crate::support::{at, bounds, daemon, member, rules};
use laburnumstall_core::gateway::{
    DaemonSize, Gateway, LinkRate, MemberRecord, PeerMessage, PeerProtocol, ProcessorShare,
    ViewBatch, ViewChange,
};
use laburnumstall_core::membership::Member;
use laburnumstall_core::prelude::*;

const ZONES: [&str; 3] = ["north-a", "north-b", "north-c"];
/// Large, medium and small machines of the reference deployments.
const LARGE: DaemonSize = size(500, 200);
const MEDIUM: DaemonSize = size(300, 25);
const SMALL: DaemonSize = size(90, 10);

const fn size(millicores: u64, mbits: u64) -> DaemonSize {
    DaemonSize {
        processor: ProcessorShare(millicores),
        link: LinkRate(mbits * 1_000),
    }
}

fn zoned(number: u32) -> Member {
    Member {
        zone: ZONES[number as usize % 3].parse().unwrap(),
        ..member(number)
    }
}

fn record(number: u32, size: Option<DaemonSize>) -> MemberRecord {
    MemberRecord {
        member: zoned(number),
        supports_extensions: true,
        supports_quarantine: true,
        protocol: PeerProtocol::NEWEST,
        size,
    }
}

/// Returns the gateway of daemon `own` of a fleet whose daemons have these sizes, all ready.
fn fleet_of(own: u32, sizes: &[Option<DaemonSize>]) -> Gateway {
    let (id, zone) = (zoned(own).id, zoned(own).zone);
    let mut gateway = Gateway::new(id, zone, zoned(own).caller_address, bounds());
    gateway.on_store_confirmed(at(0), at(0));
    gateway.on_rules(at(0), rules(1));
    for (number, size) in (1..).zip(sizes) {
        match number == own {
            true => gateway.set_own_size(*size),
            false => gateway.on_member_record(at(0), record(number, *size)),
        }
    }
    hear_all(&mut gateway, own, sizes.len() as u32, 0);
    gateway
}

fn hear_all(gateway: &mut Gateway, own: u32, daemons: u32, ms: u64) {
    gateway.on_store_confirmed(at(ms), at(ms));
    for number in (1..=daemons).filter(|number| *number != own) {
        gateway.on_gossip(at(ms), &daemon(number), gossip(ms + 1));
    }
}

/// Deployment B: 6 large machines, 59 small and 21 medium ones.
fn deployment_b() -> Vec<Option<DaemonSize>> {
    let sizes = [(6, LARGE), (59, SMALL), (21, MEDIUM)];
    let sizes = sizes
        .iter()
        .flat_map(|(count, size)| vec![Some(*size); *count]);
    sizes.collect()
}

/// On deployment B, 300 callers make 600 calls a second for 60 s; each keeps an answer for 500 ms.
/// A small machine gets a part that fits its size, evenly: within a second at most what its
/// 53 thousandths of a core left for callers serve at 4 ms a call. Fails if all are listed alike,
/// if only some small ones are listed, or if a slot is longer than callers keep an answer.
#[test]
fn small_daemons_get_few_callers() {
    const SECONDS: u64 = 60;
    let sizes = deployment_b();
    let mut gateways: Vec<Gateway> = (1..=3).map(|own| fleet_of(own, &sizes)).collect();
    let mut answers: Vec<Vec<std::net::SocketAddr>> = vec![Vec::new(); 300];
    let mut random = 1_u64;
    let mut calls: BTreeMap<std::net::SocketAddr, Vec<u32>> = BTreeMap::new();
    for ms in (0..SECONDS * 1_000).step_by(100) {
        for (own, gateway) in (1..).zip(&mut gateways) {
            hear_all(gateway, own, 86, ms);
        }
        for (caller, answer) in answers.iter_mut().enumerate() {
            if (ms / 100) % 5 == caller as u64 % 5 {
                *answer = gateways[caller % 3].directory(at(ms));
            }
            // Each caller makes a call in one of five steps of 100 ms.
            random = random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            if (random >> 33).is_multiple_of(5) && !answer.is_empty() {
                let chosen = answer[(random >> 40) as usize % answer.len()];
                let seconds = calls.entry(chosen).or_insert(vec![0; SECONDS as usize]);
                seconds[(ms / 1_000) as usize] += 1;
            }
        }
    }
    let total: u32 = calls.values().flatten().sum();
    let part = |number: u32| {
        let seconds = calls.get(&member(number).caller_address).unwrap();
        f64::from(seconds.iter().sum::<u32>()) / f64::from(total)
    };
    let small: Vec<f64> = (7..66).map(part).collect();
    let mean = small.iter().sum::<f64>() / small.len() as f64;
    assert!((0.005..0.007).contains(&mean), "{mean}; alike it is 0.0116");
    assert!(
        small
            .iter()
            .all(|part| *part > 0.6 * mean && *part < 1.5 * mean)
    );
    let large = (1..=6).map(part).sum::<f64>() / 6.0;
    assert!((7.0..10.0).contains(&(large / mean)), "{}", large / mean);
    let peaks = (7..66).map(|number| calls[&member(number).caller_address].iter().max());
    assert!(peaks.max().unwrap() <= Some(&13));
}

/// Machines that differ by less than a factor of two are listed as before, with or without a
/// registered size. Fails without the ratio.
#[test]
fn similar_daemons_are_alike() {
    let sizes = |size| [vec![size; 6], vec![Some(MEDIUM); 29]].concat();
    let plain = fleet_of(1, &[None; 35]).directory(at(10));
    for size in [Some(LARGE), Some(MEDIUM), None] {
        assert_eq!(fleet_of(1, &sizes(size)).directory(at(10)), plain);
    }
}

/// A daemon of the earlier build counts as the median one. Fails if it counts as the largest or
/// is never listed.
#[test]
fn unknown_size_is_median() {
    let mut sizes = deployment_b();
    sizes[85] = None;
    let gateway = fleet_of(1, &sizes);
    let listed = |number: u32| {
        let slots = (0..8).map(|slot| gateway.directory(at(slot * 100)));
        let address = member(number).caller_address;
        slots.filter(|listed| listed.contains(&address)).count()
    };
    assert_eq!(listed(1), 8);
    assert!(listed(86) <= 2);
    let of_small: usize = (7..66).map(listed).sum();
    assert!((40..70).contains(&of_small), "{of_small}");
}

/// Answers of one slot and zone are equal, successive ones are as long, and several daemons are in
/// each even if one is much larger than all others.
#[test]
fn answers_are_stable() {
    let sizes = deployment_b();
    let (one, other) = (fleet_of(1, &sizes), fleet_of(4, &sizes));
    for slot in 0..8 {
        let listed = one.directory(at(slot * 100));
        assert_eq!(listed, other.directory(at(slot * 100 + 99)));
        assert!((18..=19).contains(&listed.len()), "{}", listed.len());
    }
    let mut sizes = vec![Some(SMALL); 9];
    sizes.push(Some(size(8_000, 10_000)));
    let gateway = fleet_of(1, &sizes);
    for slot in 0..8 {
        assert!(gateway.directory(at(slot * 100)).len() >= 3);
    }
}

/// Large daemons read the store for others, and candidates for the lease are large ones of all
/// zones; a zone without a large daemon keeps its own. Fails if they are chosen by hash alone.
#[test]
fn large_daemons_have_the_duties() {
    let mut sizes = deployment_b();
    let readers = |sizes: &[Option<DaemonSize>]| -> BTreeSet<u32> {
        let reads = |own: &u32| fleet_of(*own, sizes).is_reader(at(10));
        (1..=86).filter(reads).collect()
    };
    assert_eq!(readers(&sizes).len(), 4);
    assert!(readers(&sizes).iter().all(|number| *number <= 6));
    let own = zoned(9);
    let members = |sizes: &[Option<DaemonSize>]| -> BTreeSet<DaemonId> {
        let gateway = fleet_of(9, sizes);
        let members = gateway.lease_members(at(10), &own);
        members.iter().map(|member| member.id.clone()).collect()
    };
    let large = |numbers: &[u32]| numbers.iter().map(|number| daemon(*number)).collect();
    let all: BTreeSet<DaemonId> = large(&[1, 2, 3, 4, 5, 6]);
    assert_eq!(members(&sizes), all);
    for small in [3, 6] {
        sizes[small - 1] = Some(SMALL);
    }
    let left = members(&sizes);
    assert!(left.contains(&own.id) && !left.contains(&daemon(8)));
}

/// A registration is forwarded with its size to daemons that decode it, and in the earlier layout
/// to others; one that is forwarded without a size removes none.
#[test]
fn sizes_are_forwarded() {
    let mut reader = fleet_of(1, &[None; 8]);
    reader.set_peer_protocol(&daemon(3), PeerProtocol::STORED_VERSIONS);
    let changes = vec![ViewChange::Member(record(9, Some(SMALL)))];
    reader.on_read(at(100), at(100), StoreVersion(12), changes);
    let message = reader.next_gossip(at(110));
    let sized = reader.peer_gossip(&daemon(2), &message);
    let bytes = postcard::to_allocvec(&sized).unwrap();
    assert!(matches!(sized, PeerMessage::SizedGossip(_)));
    assert_eq!(postcard::from_bytes(&bytes), Ok(sized));
    let plain = reader.peer_gossip(&daemon(3), &message);
    assert!(matches!(plain, PeerMessage::EraGossip(_)));
    let size_of = |gateway: &Gateway| {
        let mut peers = gateway.peer_table().peers();
        let peer = peers.find(|peer| peer.member.id == daemon(9));
        peer.and_then(|peer| peer.size)
    };
    reader.on_member_record(at(120), record(9, Some(SMALL)));
    reader.on_member_record(at(130), record(9, None));
    assert_eq!(size_of(&reader), Some(SMALL));
    let record = record(9, Some(SMALL));
    let unsized_record = MemberRecord {
        size: None,
        ..record.clone()
    };
    assert_eq!(
        postcard::to_allocvec(&ViewBatch {
            from: StoreVersion(1),
            to: StoreVersion(2),
            changes: vec![ViewChange::Member(record)],
        }),
        postcard::to_allocvec(&ViewBatch {
            from: StoreVersion(1),
            to: StoreVersion(2),
            changes: vec![ViewChange::Member(unsized_record)],
        })
    );
}
