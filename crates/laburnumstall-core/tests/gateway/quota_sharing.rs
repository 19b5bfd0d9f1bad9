//! One customer requests several times its quota at many daemons.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::support::{at, daemon};
use laburnumstall_core::gateway::{
    CustomerRule, GOSSIP_PERIOD, Quota, QuotaLedger, QuotaUnit, QuotaUsage,
};
use laburnumstall_core::prelude::*;

/// Number of daemons in a large fleet.
const DAEMONS: u32 = 32;
/// Quota in units per second.
const RATE: u64 = 600_000;
/// Units that may be used at once beyond the rate.
const BURST: u64 = 1_200_000;
/// Delivery time of gossip in milliseconds.
const DELAY_MS: u64 = 100;
/// Window in which the operators measure usage, in seconds.
const WINDOW_S: u64 = 8;

/// Delivery time, sender and content of a gossip message in flight.
type GossipInFlight = (u64, u32, Vec<QuotaUsage>);

struct Fleet {
    ledgers: Vec<QuotaLedger>,
    in_flight: Vec<GossipInFlight>,
}

impl Fleet {
    fn new() -> Self {
        let rule = CustomerRule {
            name: customer(),
            keys: Vec::new(),
            rank: None,
            quota: Some(Quota {
                unit: QuotaUnit::Tokens,
                rate: RATE,
                burst: BURST,
                default_cost: 200,
            }),
        };
        let ledger = || {
            let mut ledger = QuotaLedger::new();
            ledger.set_members(at(0), DAEMONS, DAEMONS);
            ledger.set_customers(at(0), std::slice::from_ref(&rule));
            ledger
        };
        Self {
            ledgers: (0..DAEMONS).map(|_| ledger()).collect(),
            in_flight: Vec::new(),
        }
    }

    /// Sends the messages due at `ms` and applies those that arrive.
    fn exchange(&mut self, ms: u64) {
        let period = GOSSIP_PERIOD.as_millis() as u64;
        for (index, ledger) in self.ledgers.iter().enumerate() {
            let phase = index as u64 * period / u64::from(DAEMONS);
            if ms % period == phase {
                let message = (ms + DELAY_MS, index as u32, ledger.own_usage());
                self.in_flight.push(message);
            }
        }
        let (due, later): (Vec<GossipInFlight>, Vec<GossipInFlight>) = self
            .in_flight
            .drain(..)
            .partition(|message| message.0 <= ms);
        self.in_flight = later;
        for (_, from, used) in due {
            for (index, ledger) in self.ledgers.iter_mut().enumerate() {
                if index as u32 != from {
                    ledger.on_peer_usage(at(ms), &daemon(from), &used);
                }
            }
        }
    }
}

fn customer() -> CustomerId {
    "archive".parse().unwrap()
}

/// Longest retry delay of a refused caller: a third of its remaining time.
const MAX_RETRY_DELAY_MS: u64 = 1_000;

/// Simulates `seconds` with `requested` units per second; refused callers retry once, after
/// their retry delay. Returns the units admitted in each millisecond.
fn simulate(seconds: u64, requested: impl Fn(u64) -> u64) -> Vec<u64> {
    let mut fleet = Fleet::new();
    let mut random = fastrand::Rng::with_seed(1);
    let mut admitted = Vec::new();
    let mut retries: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for ms in 0..seconds * 1_000 {
        fleet.exchange(ms);
        let mut used = 0;
        let mut calls: Vec<(u64, bool)> = Vec::new();
        let mut left = requested(ms) / 1_000;
        while left > 0 {
            // One call in five is long; their sizes vary widely.
            let cost = match random.u32(0..5) {
                0 => random.u64(6_000..60_000),
                _ => random.u64(1_000..7_000),
            };
            if cost > left && random.u64(0..cost) >= left {
                break;
            }
            left = left.saturating_sub(cost);
            calls.push((cost, true));
        }
        let returning = retries.remove(&ms).unwrap_or_default();
        calls.extend(returning.into_iter().map(|cost| (cost, false)));
        for (cost, is_first) in calls {
            let ledger = &mut fleet.ledgers[random.usize(0..DAEMONS as usize)];
            match ledger.take(at(ms), &customer(), cost, 0) {
                Ok(()) => used += cost,
                Err(wait) if is_first => {
                    let wait = (wait.as_millis() as u64).clamp(1, MAX_RETRY_DELAY_MS);
                    retries.entry(ms + wait).or_default().push(cost);
                }
                Err(_) => {}
            }
        }
        admitted.push(used);
    }
    admitted
}

/// Returns the maximum number of units admitted in any window.
fn max_in_window(admitted: &[u64]) -> u64 {
    let windows = admitted.windows(WINDOW_S as usize * 1_000);
    windows
        .map(|window| window.iter().sum())
        .max()
        .unwrap_or_default()
}

/// A customer that requests eight times its rate after a calm start gets its quota and at most
/// a tenth more, which is the operators' bound. Fails if `QuotaLedger::take` lets each daemon
/// use the whole bucket to the last unit.
#[test]
fn excess_customer_stays_within_bound() {
    let admitted = simulate(30, |ms| match ms {
        0..4_000 => RATE / 2,
        _ => RATE * 8,
    });
    let bound = (RATE * WINDOW_S + BURST) * 11 / 10;
    eprintln!(
        "most {} bound {} plain {}",
        max_in_window(&admitted),
        bound,
        RATE * WINDOW_S + BURST
    );
    let max_admitted = max_in_window(&admitted);
    assert!(
        max_admitted <= bound,
        "{max_admitted} in a window, bound {bound}"
    );
    let late: u64 = admitted[14_000..].iter().sum();
    let owed = RATE * 16;
    assert!(late >= owed * 9 / 10, "{late} of {owed} in 16 s");
}

/// A customer within its quota is not delayed by the number of daemons. Fails if a daemon may
/// only use its share.
#[test]
fn customer_within_quota_passes() {
    let admitted = simulate(20, |_| RATE * 7 / 10);
    let admitted_units: u64 = admitted[4_000..].iter().sum();
    let requested = RATE * 7 / 10 * 16;
    assert!(
        admitted_units >= requested * 95 / 100,
        "{admitted_units} of {requested}"
    );
}

/// A caller over the quota gets a retry delay after which the bucket has room: a fraction of a
/// second at this rate. Fails if the delay covers a whole burst.
#[test]
fn retry_delay_is_short() {
    let mut fleet = Fleet::new();
    let ledger = &mut fleet.ledgers[0];
    let mut wait = Duration::ZERO;
    for _ in 0..1_000 {
        if let Err(delay) = ledger.take(at(2_000), &customer(), 10_000, 0) {
            wait = delay;
            break;
        }
    }
    assert!(
        wait > Duration::ZERO && wait < Duration::from_secs(1),
        "{wait:?}"
    );
}

/// Streams that callers took up after a restart of all daemons were refused in favour of new ones:
/// the buckets of started daemons are empty, and both wanted several times the rate.
#[test]
fn resumed_streams_go_before_new_ones() {
    const COST: u64 = 12_000;
    let mut fleet = Fleet::new();
    let (mut resumed, mut new) = (0, 0);
    for ms in (0..2_000).step_by(20) {
        fleet.exchange(ms);
        let ledger = &mut fleet.ledgers[0];
        new += u64::from(ledger.take(at(ms), &customer(), COST, 0).is_ok());
        resumed += u64::from(ledger.take_resumed(at(ms), &customer(), COST).is_ok());
    }
    assert!(
        resumed >= 2 && resumed >= 9 * new,
        "{resumed} resumed, {new} new"
    );
    assert!((resumed + new) * COST <= 2 * RATE + COST);
    // New ones have their quota back once nothing is taken up any more.
    let mut later = 0;
    for ms in (2_000..6_000).step_by(20) {
        fleet.exchange(ms);
        let ledger = &mut fleet.ledgers[0];
        later += u64::from(ledger.take(at(ms), &customer(), COST, 0).is_ok());
    }
    assert!(later * COST >= RATE / 4, "{later}");
}
