//! Counts of started requests, summed over daemons.

use crate::support::{at, bounds, call_attributes, daemon, endpoint, gateway, member};
use laburnumstall_core::gateway::{GossipMessage, PlannedStop, UsageCounter, ViewUpdate};
use laburnumstall_core::prelude::*;

fn customer() -> CustomerId {
    "archive".parse().unwrap()
}

/// Repeated or late gossip messages change nothing. Fails if `on_peer_counts` adds.
#[test]
fn repeated_counts_add_nothing() {
    let mut counter = UsageCounter::new(bounds().usage_window);
    let mut peer = UsageCounter::new(bounds().usage_window);
    let window = counter.window_at(at(0));
    counter.on_started(at(0), &customer());
    peer.on_started(at(0), &customer());
    let early = peer.own_counts(at(0), true);
    peer.on_started(at(10), &customer());
    for counts in [
        peer.own_counts(at(0), true),
        early.clone(),
        peer.own_counts(at(0), true),
        early,
    ] {
        counter.on_peer_counts(&daemon(2), &counts);
    }
    assert_eq!(counter.report(window).counts[&customer()], 3);
}

/// Counts of a restarted process add to those of its predecessor. Fails if counts are kept by
/// VM.
#[test]
fn counts_of_earlier_process_are_kept() {
    let mut counter = UsageCounter::new(bounds().usage_window);
    let mut other = UsageCounter::new(bounds().usage_window);
    other.on_started(at(0), &customer());
    let later: DaemonId = "entry-2@9".parse().unwrap();
    counter.on_peer_counts(&daemon(2), &other.own_counts(at(0), true));
    counter.on_peer_counts(&later, &other.own_counts(at(0), true));
    let window = counter.window_at(at(0));
    assert_eq!(counter.report(window).counts[&customer()], 2);
}

/// A request counts once, in the window of its first event. Fails without `has_started`.
#[test]
fn request_counts_once() {
    let mut gateway = gateway(&[endpoint("app-1", "app", "north-a")]);
    gateway.on_store_confirmed(at(1_000), at(1_000));
    let mut call = gateway
        .admit(at(1_000), call_attributes("a", "/read/1"))
        .unwrap();
    let mut attempt = gateway.select_endpoint(at(1_000), &mut call).unwrap();
    gateway.on_sent(&mut call);
    gateway.on_started(at(1_100), &mut call, &mut attempt);
    gateway.on_started(at(1_200), &mut call, &mut attempt);
    gateway.succeed(at(1_300), attempt);
    gateway.end(at(1_300), call, "answered", 200);
    let window = gateway.usage().window_at(at(1_100));
    assert_eq!(gateway.usage().report(window).counts[&customer()], 1);
}

/// Fails if the directory lists draining or unreachable daemons.
#[test]
fn directory_lists_ready_daemons() {
    let mut gateway = gateway(&[]);
    gateway.on_member(at(0), member(2));
    gateway.on_member(at(0), member(3));
    let message = |is_ready| GossipMessage {
        sequence: 1,
        is_ready,
        loads: Vec::new(),
        quota_usage: Vec::new(),
        started_requests: Vec::new(),
        demand: Vec::new(),
        view: ViewUpdate::default(),
    };
    gateway.on_gossip(at(1_000), &daemon(2), message(true));
    gateway.on_gossip(at(1_000), &daemon(3), message(false));
    gateway.on_store_confirmed(at(1_000), at(1_000));
    let listed =
        |gateway: &laburnumstall_core::gateway::Gateway, ms| gateway.directory(at(ms)).len();
    assert_eq!(listed(&gateway, 1_100), 2);
    assert_eq!(listed(&gateway, 2_500), 1);
    gateway.begin_stop(
        at(2_500),
        PlannedStop {
            admits_until: at(5_000),
            answers_until: at(10_000),
        },
    );
    assert!(
        !gateway
            .directory(at(2_500))
            .contains(&member(1).caller_address)
    );
}

/// A daemon that starts adds a draining daemon to its peers, and sends no callers to it. Fails
/// without `leaving` in `Peer::is_ready`, or if leaving members are not added.
#[test]
fn draining_daemon_still_counts() {
    let mut gateway = gateway(&[]);
    let mut leaving = member(2);
    leaving.leaving = true;
    gateway.on_member(at(0), leaving.clone());
    assert!(!gateway.directory(at(10)).contains(&leaving.caller_address));
    let mut counter = UsageCounter::new(bounds().usage_window);
    counter.on_started(at(100), &customer());
    let message = GossipMessage {
        sequence: 1,
        is_ready: false,
        loads: Vec::new(),
        quota_usage: Vec::new(),
        started_requests: counter.own_counts(at(0), true),
        demand: Vec::new(),
        view: ViewUpdate::default(),
    };
    gateway.on_gossip(at(200), &daemon(2), message);
    let window = gateway.usage().window_at(at(100));
    assert_eq!(gateway.usage().report(window).counts[&customer()], 1);
}

/// Counts that may still change are in every message, older ones only in some. Fails if
/// `UsageCounter::own_counts` leaves out the window before the current one.
#[test]
fn changing_counts_are_always_sent() {
    let mut counter = UsageCounter::new(bounds().usage_window);
    for window in 0..4 {
        counter.on_started(at(window * 5_000), &"archive".parse().unwrap());
    }
    let now = at(3 * 5_000);
    let windows = |all_windows| -> Vec<u64> {
        let counts = counter.own_counts(now, all_windows);
        counts.iter().map(|count| count.window).collect()
    };
    let current = counter.window_at(now);
    assert_eq!(windows(false), [current - 1, current]);
    assert_eq!(windows(true).len(), 4);
}
