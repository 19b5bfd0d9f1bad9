//! Daemons that are cut off from the others while a further software version joins.

use std::time::Duration;

use crate::stored_origins::{hear_peers, set, started, to_store};
use crate::stream_origins::{one_version, take_up, two_versions, versioned};
use crate::support::{at, call_attributes};
use laburnumstall_core::gateway::{EndpointRecord, OriginAnswer};

/// Peers of the daemon that do not answer.
const PEERS: u32 = 3;

/// Returns endpoints of which one in ten has the further version.
fn joining() -> Vec<EndpointRecord> {
    let old = ["f", "g", "h", "i", "j", "k", "l", "m"].map(|id| versioned(id, "v1"));
    two_versions().into_iter().skip(1).chain(old).collect()
}

/// Streams that had begun at a further version, stored since the view was read, went on at the
/// earlier one: the version was listed, and the daemon heard from no other one.
#[test]
fn listed_version_is_taken_for_one_without_streams() {
    let mut gateway = started(&joining(), &["v1"], PEERS);
    hear_peers(&mut gateway, at(500), PEERS);
    let refusal = take_up(&mut gateway, at(600), &[]).unwrap_err();
    assert!(refusal.retry_after.unwrap() <= Duration::from_secs(1));
    let sole = OriginAnswer::Sole("v1".parse().unwrap());
    let version = take_up(&mut gateway, at(700), &[sole]).unwrap();
    assert_eq!(version.as_str(), "v1");
}

/// The same with a version that a view of 1.5 s could not list yet.
#[test]
fn old_view_is_believed_without_an_answer() {
    let decide = |peers, ms| {
        let mut gateway = started(&one_version(), &["v1"], peers);
        hear_peers(&mut gateway, at(100), peers);
        let mut attributes = call_attributes("call-2", "/digest/1");
        attributes.resume_after = Some("3".into());
        attributes.resumed_attempt = Some("call-1".into());
        let mut call = gateway.admit(at(100), attributes).unwrap();
        let lookup = gateway.begin_resumption(at(100), &mut call).unwrap();
        gateway.end_resumption(at(ms), &mut call, &lookup.unwrap())
    };
    assert_eq!(decide(PEERS, 1_000), Ok(()));
    let refusal = decide(PEERS, 1_200).unwrap_err();
    assert!(refusal.retry_after.is_some());
    // Without other daemons there are none that may have begun streams.
    assert_eq!(decide(0, 1_200), Ok(()));
}

/// Streams began at a further version before the views that were still believed listed it, if few
/// endpoints of the earlier one were left.
#[test]
fn version_is_stored_before_it_is_read() {
    let mut gateway = started(&one_version(), &["v1"], 0);
    gateway.on_endpoints(at(2_000), two_versions());
    assert_eq!(to_store(&mut gateway, 2_900), None);
    assert_eq!(to_store(&mut gateway, 3_000), Some(set(&["v1", "v1.1"])));
}

/// Streams waited for a version to be stored although no endpoint of the stored one was left.
#[test]
fn last_endpoint_holds_the_version_back() {
    let mut gateway = started(&one_version(), &["v1"], 0);
    gateway.on_endpoints(at(2_000), two_versions().split_off(2));
    assert!(to_store(&mut gateway, 2_010).is_some_and(|versions| versions.len() == 2));
}

/// Streams were refused after all daemons had been killed and started, while a further version was
/// listed: none had heard from the others yet.
#[test]
fn started_daemon_is_taken_for_one_that_is_cut_off() {
    let mut gateway = started(&joining(), &["v1"], PEERS);
    gateway.on_store_confirmed(at(500), at(500));
    assert_eq!(take_up(&mut gateway, at(600), &[]).unwrap().as_str(), "v1");
}
