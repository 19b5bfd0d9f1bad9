//! Versions and origins of streams in the key-value store.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::stream_origins::{gossip, one_version, origin, select, start, two_versions};
use crate::support::{at, daemon, gateway, member};
use laburnumstall_core::gateway::{
    AttemptDigest, CallFailure, EndpointRecord, Gateway, OriginGroup, OriginSegment, PeerProtocol,
    SegmentFault, StoredVersions,
};
use laburnumstall_core::prelude::*;
use laburnumstall_core::store::{StoreEra, StoreVersion};

fn stored(versions: &[&str], era: u64) -> (StoredVersions, StoreVersion) {
    let versions = versions.iter().map(|version| version.parse().unwrap());
    let versions = StoredVersions {
        versions: versions.collect(),
        era: StoreEra(era),
        shares: None,
    };
    (versions, StoreVersion(7))
}

/// Returns a daemon that knows the stored versions and `peers` ready peers.
pub(crate) fn started(endpoints: &[EndpointRecord], versions: &[&str], peers: u32) -> Gateway {
    let mut gateway = gateway(endpoints);
    gateway.on_store_era(at(0), Some(StoreEra(1)));
    let service = "model".parse().unwrap();
    gateway.on_stored_versions(at(0), service, Some(stored(versions, 1)));
    for number in 2..2 + peers {
        gateway.on_member(at(0), member(number));
        gateway.set_extension_support(&daemon(number), true);
        gateway.set_peer_protocol(&daemon(number), PeerProtocol::NEWEST);
    }
    gateway
}

pub(crate) fn hear_peers(gateway: &mut Gateway, now: Timestamp, peers: u32) {
    gateway.on_store_confirmed(now, now);
    for number in 2..2 + peers {
        gateway.on_gossip(now, &daemon(number), gossip(now.0));
    }
}

/// Returns the versions that a due write changes; it may change the tables alone.
pub(crate) fn to_store(gateway: &mut Gateway, ms: u64) -> Option<BTreeSet<SoftwareVersion>> {
    gateway.on_store_confirmed(at(ms), at(ms));
    let write = gateway.versions_to_store(at(ms)).into_iter().next()?;
    let current = gateway.version_history().stored(&write.service);
    let is_changed = current.is_none_or(|(current, _)| current.versions != write.stored.versions);
    is_changed.then_some(write.stored.versions)
}

pub(crate) fn set(versions: &[&str]) -> BTreeSet<SoftwareVersion> {
    versions.iter().map(|v| v.parse().unwrap()).collect()
}

/// Returns the versions at which twenty streams begin.
fn begun_at(gateway: &mut Gateway, ms: u64) -> BTreeSet<SoftwareVersion> {
    let begin = |n| start(gateway, at(ms), &format!("{ms}-{n}")).1.version;
    (0..20).filter_map(begin).collect()
}

/// Returns the versions at which streams begin, each at another endpoint if the first one refuses
/// connections.
fn begun_elsewhere(gateway: &mut Gateway, ms: u64) -> BTreeSet<SoftwareVersion> {
    let mut begin = |n| {
        let (mut call, mut attempt) = select(gateway, at(ms), &format!("{ms}-{n}"));
        let mut versions = vec![attempt.version.clone()];
        let refused = CallFailure::NotSent;
        while gateway
            .after_failure(at(ms), &mut call, attempt, refused)
            .is_ok()
        {
            match gateway.select_endpoint(at(ms), &mut call) {
                Ok(next) => attempt = next,
                Err(_) => break,
            }
            versions.push(attempt.version.clone());
        }
        versions
    };
    (0..5).flat_map(&mut begin).flatten().collect()
}

/// A stream began at a version that no started daemon could know of.
#[test]
fn version_that_is_not_stored_gets_no_stream() {
    let mut gateway = started(&two_versions(), &["v1"], 0);
    assert_eq!(begun_elsewhere(&mut gateway, 500), set(&["v1"]));
    let service = "model".parse().unwrap();
    gateway.on_stored_versions(at(600), service, Some(stored(&["v1", "v1.1"], 1)));
    assert_eq!(begun_elsewhere(&mut gateway, 900), set(&["v1", "v1.1"]));
}

/// Streams waited for a version to be stored although the stored one had left.
#[test]
fn departed_versions_hold_no_stream_back() {
    let later: Vec<_> = two_versions().split_off(2);
    let mut gateway = started(&later, &["v1"], 0);
    assert_eq!(begun_at(&mut gateway, 500), set(&["v1.1"]));
}

/// A further version was stored before the daemons could store the earlier origins.
#[test]
fn further_version_is_stored_late() {
    let more = ["f", "g", "h", "i", "j", "k", "l"];
    let more = more.map(|id| crate::stream_origins::versioned(id, "v1"));
    let endpoints: Vec<_> = two_versions().into_iter().chain(more).collect();
    let mut gateway = started(&endpoints, &["v1"], 0);
    assert_eq!(to_store(&mut gateway, 1_900), None);
    assert_eq!(to_store(&mut gateway, 2_100), Some(set(&["v1", "v1.1"])));
}

/// Most endpoints of a quick release stood idle until their version was stored.
#[test]
fn quick_release_is_stored_soon() {
    let mut gateway = started(&two_versions(), &["v1"], 0);
    assert_eq!(to_store(&mut gateway, 1_100), Some(set(&["v1", "v1.1"])));
}

/// A version that has left was dropped while its streams could still be taken up.
#[test]
fn departed_version_stays_stored() {
    let mut gateway = started(&one_version(), &["v0", "v1"], 0);
    let retention = gateway.version_history().retention().as_millis() as u64;
    assert_eq!(to_store(&mut gateway, retention - 100), None);
    assert_eq!(to_store(&mut gateway, retention + 100), Some(set(&["v1"])));
}

/// Versions of an earlier era were believed: the store came back from a copy without the newest.
#[test]
fn versions_of_earlier_era_are_not_believed() {
    let service: ServiceName = "model".parse().unwrap();
    let mut gateway = started(&one_version(), &["v1"], 0);
    let sole = |gateway: &Gateway, era| {
        let history = gateway.version_history();
        history
            .sole(at(100), &service, Some(StoreEra(era)))
            .is_some()
    };
    assert!(sole(&gateway, 1));
    gateway.on_stored_versions(at(50), service.clone(), Some(stored(&["v1"], 0)));
    gateway.on_endpoints(at(60), two_versions());
    gateway.on_endpoints(at(70), one_version());
    assert!(!sole(&gateway, 1));
}

/// Returns how many of `daemons` write for the fleet, each with a view of all others.
fn writers(daemons: u32) -> usize {
    let is_writer = |own: u32| {
        let mut gateway = crate::support::gateway_of(own, &two_versions());
        let peers: Vec<u32> = (1..=daemons).filter(|number| *number != own).collect();
        for number in &peers {
            gateway.on_member(at(0), member(*number));
            gateway.set_extension_support(&daemon(*number), true);
            gateway.set_peer_protocol(&daemon(*number), PeerProtocol::NEWEST);
        }
        for number in &peers {
            gateway.on_gossip(at(10), &daemon(*number), gossip(1));
        }
        let (_call, _) = start(&mut gateway, at(20), "call-1");
        let sent_to = gateway.take_origins(at(30)).len();
        assert!(sent_to <= 4, "{sent_to}");
        gateway.segment_to_store(at(40)).is_some()
    };
    (1..=daemons).filter(|own| is_writer(*own)).count()
}

/// All daemons of a large fleet wrote origins to the store by themselves.
#[test]
fn writers_do_not_grow_with_the_fleet() {
    assert_eq!([3, 25, 77].map(writers), [3, 4, 4]);
}

/// Origins that a peer sends are not in the store when all daemons end.
#[test]
fn origins_of_peers_are_stored() {
    let mut gateway = started(&two_versions(), &["v1", "v1.1"], 6);
    hear_peers(&mut gateway, at(10), 6);
    let group = OriginGroup {
        origin: origin("v1"),
        streams: vec![(AttemptDigest::of("call-1"), 20)],
    };
    let is_writer = {
        let (_call, _) = start(&mut gateway, at(20), "own");
        gateway.take_origins(at(30));
        gateway.segment_to_store(at(40)).is_some()
    };
    gateway.on_origins(at(50), vec![group]);
    assert_eq!(gateway.segment_to_store(at(60)).is_some(), is_writer);
}

/// A write without a reply was taken for done, or its origins were lost.
#[test]
fn failed_segment_is_written_under_another_key() {
    let mut gateway = started(&two_versions(), &["v1", "v1.1"], 0);
    let (_call, _) = start(&mut gateway, at(100), "call-1");
    gateway.take_origins(at(110));
    let first = gateway.segment_to_store(at(120)).unwrap();
    assert_eq!(gateway.segment_to_store(at(130)), None);
    gateway.on_segment_failed(at(140), first.number);
    let second = gateway.segment_to_store(at(150)).unwrap();
    assert_ne!(second.number, first.number);
    assert_eq!(second.segment.groups, first.segment.groups);
}

/// A restore lost the stored origins of streams whose daemons are up.
#[test]
fn restored_store_gets_origins_again() {
    let mut gateway = started(&two_versions(), &["v1", "v1.1"], 0);
    let (_call, _) = start(&mut gateway, at(100), "call-1");
    gateway.take_origins(at(110));
    let first = gateway.segment_to_store(at(120)).unwrap();
    gateway.on_store_era(at(200), Some(StoreEra(2)));
    let second = gateway.segment_to_store(at(210)).unwrap();
    assert_eq!(second.segment.era, StoreEra(2));
    assert_ne!(second.number, first.number);
}

/// Origins that are torn, foreign, too large, of another build or of an earlier era were believed.
#[test]
fn damaged_origins_are_not_believed() {
    let segment = OriginSegment {
        era: StoreEra(1),
        groups: vec![OriginGroup {
            origin: origin("v1"),
            streams: vec![(AttemptDigest::of("call-1"), 20)],
        }],
    };
    let value = segment.encode();
    assert_eq!(OriginSegment::decode(&value), Ok(segment.clone()));
    for len in 1..value.len() {
        assert_eq!(
            OriginSegment::decode(&value[..len]),
            Err(SegmentFault::Checksum)
        );
    }
    let mut later = value.clone();
    later[0] += 1;
    assert_eq!(
        OriginSegment::decode(&later),
        Err(SegmentFault::UnknownFormat)
    );
    assert_eq!(OriginSegment::decode(b""), Err(SegmentFault::UnknownFormat));
    let mut changed = value.clone();
    *changed.last_mut().unwrap() ^= 1;
    assert_eq!(OriginSegment::decode(&changed), Err(SegmentFault::Checksum));
    let large = vec![1; 1 << 20];
    assert_eq!(OriginSegment::decode(&large), Err(SegmentFault::TooLarge));

    let knows = |era| {
        let mut gateway = started(&two_versions(), &["v1", "v1.1"], 0);
        gateway.on_store_era(at(10), Some(StoreEra(era)));
        gateway.on_stored_origins(at(20), vec![segment.clone()]);
        gateway
            .take_decisions()
            .iter()
            .any(|line| line.to_string().contains("reason=stored"))
    };
    assert!(knows(1));
    assert!(!knows(2));
}

/// Origins were kept in the store while a service had one version, at a cost for nothing.
#[test]
fn single_version_stores_no_origin() {
    let mut gateway = started(&one_version(), &["v1"], 0);
    let (_call, _) = start(&mut gateway, at(100), "call-1");
    gateway.take_origins(at(110));
    assert_eq!(gateway.segment_to_store(at(120)), None);
    gateway.on_endpoints(at(200), two_versions());
    gateway.take_origins(at(210));
    let segment = gateway.segment_to_store(at(220)).unwrap().segment;
    assert_eq!(segment.groups[0].origin, origin("v1"));
    assert!(gateway.version_history().retention() > Duration::from_secs(15));
}

/// Origins of streams that began before a daemon knew its peers were sent to none of them.
#[test]
fn later_peers_get_earlier_origins() {
    let mut gateway = started(&two_versions(), &["v1", "v1.1"], 0);
    let (_call, _) = start(&mut gateway, at(100), "call-1");
    assert!(gateway.take_origins(at(110)).is_empty());
    assert!(gateway.segment_to_store(at(120)).is_some());
    gateway.on_member(at(200), member(2));
    gateway.set_extension_support(&daemon(2), true);
    gateway.on_gossip(at(210), &daemon(2), gossip(1));
    let (_call, _) = start(&mut gateway, at(220), "call-2");
    let sent = gateway.take_origins(at(230));
    let streams = sent.iter().flat_map(|(_, _, groups)| groups);
    let streams: Vec<_> = streams.flat_map(|group| &group.streams).collect();
    assert_eq!(streams.len(), 2);
    let stored = gateway.segment_to_store(at(240)).unwrap().segment.groups;
    let stored: usize = stored.iter().map(|group| group.streams.len()).sum();
    assert_eq!(stored, 2, "each is stored once");
}
