//! One customer asks many daemons for several times its quota.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::support::{at, daemon};
use laburnumstall_core::gateway::{
    CustomerRule, GOSSIP_PERIOD, Quota, QuotaLedger, QuotaUnit, QuotaUsage,
};
use laburnumstall_core::prelude::*;

/// Daemons of a large fleet.
const DAEMONS: u32 = 32;
/// Units a second of the quota.
const RATE: u64 = 600_000;
/// Units beyond the rate that may be used at once.
const BURST: u64 = 1_200_000;
/// Time that news are on their way, in milliseconds.
const DELAY_MS: u64 = 100;
/// Window in which the operators count, in seconds.
const WINDOW_S: u64 = 8;

/// News of a daemon that arrive at a time.
type Flight = (u64, u32, Vec<QuotaUsage>);

struct Fleet {
    ledgers: Vec<QuotaLedger>,
    flights: Vec<Flight>,
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
            flights: Vec::new(),
        }
    }

    /// Sends the news that are due at `ms` and takes in what arrives.
    fn exchange(&mut self, ms: u64) {
        let period = GOSSIP_PERIOD.as_millis() as u64;
        for (index, ledger) in self.ledgers.iter().enumerate() {
            let phase = index as u64 * period / u64::from(DAEMONS);
            if ms % period == phase {
                let flight = (ms + DELAY_MS, index as u32, ledger.spent());
                self.flights.push(flight);
            }
        }
        let (due, later): (Vec<Flight>, Vec<Flight>) =
            self.flights.drain(..).partition(|flight| flight.0 <= ms);
        self.flights = later;
        for (_, from, spent) in due {
            for (index, ledger) in self.ledgers.iter_mut().enumerate() {
                if index as u32 != from {
                    ledger.on_spent(at(ms), &daemon(from), &spent);
                }
            }
        }
    }
}

fn customer() -> CustomerId {
    "archive".parse().unwrap()
}

/// Longest time after which a refused caller comes back: a third of what it has left.
const PATIENCE_MS: u64 = 1_000;

/// Plays `seconds` in which `asked` units a second are asked for; callers that are refused
/// come back once when they are told to. Returns what was let through in each millisecond.
fn play(seconds: u64, asked: impl Fn(u64) -> u64) -> Vec<u64> {
    let mut fleet = Fleet::new();
    let mut random = fastrand::Rng::with_seed(1);
    let mut through = Vec::new();
    let mut returns: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for ms in 0..seconds * 1_000 {
        fleet.exchange(ms);
        let mut spent = 0;
        let mut calls: Vec<(u64, bool)> = Vec::new();
        let mut left = asked(ms) / 1_000;
        while left > 0 {
            // Long calls are one in five, and of very different size.
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
        let back = returns.remove(&ms).unwrap_or_default();
        calls.extend(back.into_iter().map(|cost| (cost, false)));
        for (cost, is_first) in calls {
            let ledger = &mut fleet.ledgers[random.usize(0..DAEMONS as usize)];
            match ledger.take(at(ms), &customer(), cost, 0) {
                Ok(()) => spent += cost,
                Err(wait) if is_first => {
                    let wait = (wait.as_millis() as u64).clamp(1, PATIENCE_MS);
                    returns.entry(ms + wait).or_default().push(cost);
                }
                Err(_) => {}
            }
        }
        through.push(spent);
    }
    through
}

/// Returns the most that was let through in any window.
fn most(through: &[u64]) -> u64 {
    let windows = through.windows(WINDOW_S as usize * 1_000);
    windows
        .map(|window| window.iter().sum())
        .max()
        .unwrap_or_default()
}

/// A customer that asks for five times its quota, from a calm moment on, gets the quota and
/// no more than a tenth over it, the operators' bound. Fails if `QuotaLedger::take` lets
/// each daemon use the whole bucket to the last unit.
#[test]
fn hot_customer_keeps_bound() {
    let through = play(30, |ms| match ms {
        0..4_000 => RATE / 2,
        _ => RATE * 8,
    });
    let bound = (RATE * WINDOW_S + BURST) * 11 / 10;
    eprintln!(
        "most {} bound {} plain {}",
        most(&through),
        bound,
        RATE * WINDOW_S + BURST
    );
    let most = most(&through);
    assert!(most <= bound, "{most} in a window, bound {bound}");
    let late: u64 = through[14_000..].iter().sum();
    let owed = RATE * 16;
    assert!(late >= owed * 9 / 10, "{late} of {owed} in 16 s");
}

/// A customer that stays within its quota is not held up by how many daemons there are.
/// Fails if a daemon may only ever use its part.
#[test]
fn calm_customer_passes() {
    let through = play(20, |_| RATE * 7 / 10);
    let passed: u64 = through[4_000..].iter().sum();
    let asked = RATE * 7 / 10 * 16;
    assert!(passed >= asked * 95 / 100, "{passed} of {asked}");
}

/// A caller that is over the quota is told a time at which there is room: a part of a
/// second at this rate. Fails if the wait is that of a whole burst.
#[test]
fn wait_is_short() {
    let mut fleet = Fleet::new();
    let ledger = &mut fleet.ledgers[0];
    let mut wait = Duration::ZERO;
    for _ in 0..1_000 {
        if let Err(told) = ledger.take(at(2_000), &customer(), 10_000, 0) {
            wait = told;
            break;
        }
    }
    assert!(
        wait > Duration::ZERO && wait < Duration::from_secs(1),
        "{wait:?}"
    );
}
