//! Counts of begun requests, added up over daemons.

use crate::support::{at, bounds, daemon, endpoint, facts, gateway, member};
use laburnumstall_core::gateway::{GossipMessage, UsageCounter, ViewUpdate};
use laburnumstall_core::prelude::*;

fn customer() -> CustomerId {
    "archive".parse().unwrap()
}

/// News that come twice or late change nothing. Fails if `on_counts` adds.
#[test]
fn repeated_counts_add_nothing() {
    let mut here = UsageCounter::new(bounds().usage_window);
    let mut there = UsageCounter::new(bounds().usage_window);
    let window = here.window_at(at(0));
    here.on_started(at(0), &customer());
    there.on_started(at(0), &customer());
    let early = there.own_counts(at(0), true);
    there.on_started(at(10), &customer());
    for counts in [
        there.own_counts(at(0), true),
        early.clone(),
        there.own_counts(at(0), true),
        early,
    ] {
        here.on_counts(&daemon(2), &counts);
    }
    assert_eq!(here.report(window).counts[&customer()], 3);
}

/// Counts of a process that restarted stand beside those of its earlier life. Fails if
/// counts are kept by VM.
#[test]
fn earlier_life_counts() {
    let mut book = UsageCounter::new(bounds().usage_window);
    let mut other = UsageCounter::new(bounds().usage_window);
    other.on_started(at(0), &customer());
    let later: DaemonId = "entry-2@9".parse().unwrap();
    book.on_counts(&daemon(2), &other.own_counts(at(0), true));
    book.on_counts(&later, &other.own_counts(at(0), true));
    let window = book.window_at(at(0));
    assert_eq!(book.report(window).counts[&customer()], 2);
}

/// A request counts once, in the window of its first event. Fails without `has_started`.
#[test]
fn request_counts_once() {
    let mut gateway = gateway(&[endpoint("app-1", "app", "north-a")]);
    gateway.on_store_confirmed(at(1_000), at(1_000));
    let mut ticket = gateway.admit(at(1_000), facts("a", "/read/1")).unwrap();
    let mut run = gateway.select_endpoint(at(1_000), &mut ticket).unwrap();
    gateway.on_sent(&mut ticket);
    gateway.on_started(at(1_100), &mut ticket, &mut run);
    gateway.on_started(at(1_200), &mut ticket, &mut run);
    gateway.succeed(at(1_300), run);
    gateway.end(at(1_300), ticket, "answered", 200);
    let window = gateway.usage().window_at(at(1_100));
    assert_eq!(gateway.usage().report(window).counts[&customer()], 1);
}

/// Fails if the directory names daemons that stop or are silent.
#[test]
fn directory_names_the_ready() {
    let mut gateway = gateway(&[]);
    gateway.on_member(at(0), member(2));
    gateway.on_member(at(0), member(3));
    let news = |is_ready| GossipMessage {
        sequence: 1,
        is_ready,
        loads: Vec::new(),
        quota_usage: Vec::new(),
        started_requests: Vec::new(),
        demand: Vec::new(),
        view: ViewUpdate::default(),
    };
    gateway.on_gossip(at(1_000), &daemon(2), news(true));
    gateway.on_gossip(at(1_000), &daemon(3), news(false));
    gateway.on_store_confirmed(at(1_000), at(1_000));
    let named =
        |gateway: &laburnumstall_core::gateway::Gateway, ms| gateway.directory(at(ms)).len();
    assert_eq!(named(&gateway, 1_100), 2);
    assert_eq!(named(&gateway, 2_500), 1);
    gateway.begin_stop(at(2_500));
    assert!(
        !gateway
            .directory(at(2_500))
            .contains(&member(1).caller_address)
    );
}

/// A daemon that stops is known to daemons that start meanwhile, and not named to callers.
/// Fails without `leaving` in `Peer::is_ready`, or if leaving members are not met.
#[test]
fn leaving_daemon_still_counts() {
    let mut gateway = gateway(&[]);
    let mut leaving = member(2);
    leaving.leaving = true;
    gateway.on_member(at(0), leaving.clone());
    assert!(!gateway.directory(at(10)).contains(&leaving.caller_address));
    let mut book = UsageCounter::new(bounds().usage_window);
    book.on_started(at(100), &customer());
    let news = GossipMessage {
        sequence: 1,
        is_ready: false,
        loads: Vec::new(),
        quota_usage: Vec::new(),
        started_requests: book.own_counts(at(0), true),
        demand: Vec::new(),
        view: ViewUpdate::default(),
    };
    gateway.on_gossip(at(200), &daemon(2), news);
    let window = gateway.usage().window_at(at(100));
    assert_eq!(gateway.usage().report(window).counts[&customer()], 1);
}

/// Counts of windows that are over are told now and then, those that may grow always. Fails
/// if `UsageCounter::own_counts` leaves out the window before the current one.
#[test]
fn fresh_counts_are_told() {
    let mut book = UsageCounter::new(bounds().usage_window);
    for window in 0..4 {
        book.on_started(at(window * 5_000), &"archive".parse().unwrap());
    }
    let now = at(3 * 5_000);
    let windows = |is_all| -> Vec<u64> {
        let counts = book.own_counts(now, is_all);
        counts.iter().map(|count| count.window).collect()
    };
    let current = book.window_at(now);
    assert_eq!(windows(false), [current - 1, current]);
    assert_eq!(windows(true).len(), 4);
}
