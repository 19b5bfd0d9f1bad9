//! Calls to a key-value service that is down.

use std::time::Duration;

use laburnumstall_core::hash::digest64;
use laburnumstall_core::limits::Backoff;

const FIRST: Duration = Duration::from_millis(150);
const MAX: Duration = Duration::from_millis(1_200);

fn backoff(daemon: u64) -> Backoff {
    Backoff::new(FIRST, MAX, digest64(&[&daemon.to_le_bytes()]))
}

/// Returns the times of a daemon's calls in an outage.
fn calls(daemon: u64, outage: Duration) -> Vec<Duration> {
    let mut backoff = backoff(daemon);
    let mut at = Duration::ZERO;
    let times = std::iter::from_fn(|| {
        let called_at = at;
        at += backoff.next_delay();
        (called_at < outage).then_some(called_at)
    });
    times.collect()
}

/// All daemons of a fleet called a service that was down several times a second.
#[test]
fn daemons_call_rarely_in_an_outage() {
    for daemon in 0..77 {
        let count = calls(daemon, Duration::from_secs(6)).len();
        assert!((6..=9).contains(&count), "{count}");
    }
}

/// Daemons that had failed at the same moment called at the same moment when the service was back.
#[test]
fn calls_after_an_outage_are_spread() {
    let last = |daemon| *calls(daemon, Duration::from_secs(6)).last().unwrap();
    let mut slots = [0; 12];
    for daemon in 0..77 {
        let before_end = Duration::from_secs(6) - last(daemon);
        slots[(before_end.as_millis() / 130).min(11) as usize] += 1;
    }
    assert!(slots.iter().all(|slot| *slot < 20), "{slots:?}");
}

/// A daemon waited for long after the first failure of a later outage.
#[test]
fn success_ends_the_backoff() {
    let mut backoff = backoff(1);
    (0..6).for_each(|_| {
        backoff.next_delay();
    });
    backoff.reset();
    assert!(backoff.next_delay() < FIRST * 2);
}
