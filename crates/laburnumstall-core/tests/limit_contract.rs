//! Contracts are enforced across all entries, whether or not share messages arrive.

#[path = "support/request.rs"]
mod request;

use std::time::Duration;

use laburnumstall_core::limits::{LimitShare, Limits, SHARE_PERIOD};
use laburnumstall_core::prelude::*;
use quickcheck::{Gen, QuickCheck};

const CASES: u64 = 1_000;
const TICK: Duration = Duration::from_millis(50);

fn customer() -> CustomerId {
    "caroni".parse().unwrap()
}

fn system(requests: u64, tokens: u64) -> System {
    let contract = Contract {
        requests: RequestRate(requests),
        tokens: TokenRate(tokens),
        weight: 1,
        priority: Priority(0),
        first_token: Duration::from_secs(1),
        between_tokens: Duration::from_millis(51),
        services: vec!["clerk".parse().unwrap()],
    };
    let customer = Customer {
        name: customer(),
        key_digests: Vec::new(),
        contract,
    };
    System {
        customers: vec![customer],
        ..System::default()
    }
}

fn daemon(number: u32) -> DaemonId {
    DaemonId {
        vm: format!("vm-{number}").parse().unwrap(),
        incarnation: Incarnation(1),
    }
}

fn request(tokens: u64, deadline: Timestamp) -> Request {
    Request {
        deadline,
        prompt: Tokens(tokens),
        answer: Tokens(0),
        ..request::request(b"{}")
    }
}

fn entries(count: u32, requests: u64, tokens: u64) -> Vec<Limits> {
    let entry = |number| {
        let mut limits = Limits::new(&daemon(number));
        limits.set_entries(Timestamp::ZERO, count);
        limits.set_system(&system(requests, tokens));
        limits
    };
    (0..count).map(entry).collect()
}

fn try_admit(limits: &mut Limits, now: Timestamp, tokens: u64) -> Result<(), Refusal> {
    let request = request(tokens, Timestamp::NEVER);
    let admitted = limits.admit(now, &request, None, &mut Journal::default());
    admitted.map(|_| ())
}

/// Sends each entry's share message to the others; each arrives with probability `chance`
/// in tenths, sometimes duplicated or late.
fn exchange(
    fleet: &mut [Limits],
    in_transit: &mut Vec<(usize, u32, LimitShare)>,
    now: Timestamp,
    rng: &mut fastrand::Rng,
    chance: u8,
) {
    for from in 0..fleet.len() {
        let share = fleet[from].share(now);
        for to in (0..fleet.len()).filter(|to| *to != from) {
            if rng.u8(..10) < chance {
                in_transit.push((to, from as u32, share.clone()));
            }
            if rng.u8(..10) == 0 {
                in_transit.push((to, from as u32, share.clone()));
            }
        }
    }
    rng.shuffle(in_transit);
    let kept = if chance == 10 {
        0
    } else {
        rng.usize(..=in_transit.len())
    };
    for (to, from, share) in in_transit.split_off(kept) {
        fleet[to].on_share(now, &daemon(from), &share);
    }
}

/// Returns whether every window admits at most the contract plus the burst of one period.
///
/// The level of a leaky bucket that drains at the contract's rate is the largest excess over
/// all windows that end now.
fn windows_within_limit(admitted: &[(Timestamp, u64)], rate: u64) -> bool {
    let burst = u128::from(rate) * SHARE_PERIOD.as_micros();
    let mut level = 0;
    let mut last = Timestamp::ZERO;
    admitted.iter().all(|(at, cost)| {
        let leaked = u128::from(rate) * at.since(last).as_micros();
        level = u128::saturating_sub(level, leaked) + u128::from(*cost) * 1_000_000;
        last = *at;
        level <= burst
    })
}

/// Fails if `RateShare::rate` does not subtract the lent rate.
#[test]
fn sum_never_exceeds_contract() {
    fn holds(seed: u64) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = rng.u32(2..6);
        let (requests, tokens) = (40, 4_000);
        let mut fleet = entries(count, requests, tokens);
        let chance = rng.u8(..=10);
        let mut in_transit = Vec::new();
        let mut admitted = Vec::new();
        let mut is_loaded = vec![true; fleet.len()];
        let mut now = Timestamp::ZERO;
        for step in 0..240 {
            now = now.after(TICK);
            if step % 40 == 0 {
                exchange(&mut fleet, &mut in_transit, now, &mut rng, chance);
            }
            if rng.u8(..50) == 0 {
                is_loaded.fill_with(|| rng.bool());
            }
            for entry in (0..fleet.len()).filter(|entry| is_loaded[*entry]) {
                for _ in 0..rng.u8(..5) {
                    let cost = rng.u64(1..200);
                    if try_admit(&mut fleet[entry], now, cost).is_ok() {
                        admitted.push((now, cost));
                    }
                }
            }
        }
        let counts: Vec<(Timestamp, u64)> = admitted.iter().map(|(at, _)| (*at, 1)).collect();
        windows_within_limit(&admitted, tokens) && windows_within_limit(&counts, requests)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 7))
        .tests(CASES)
        .quickcheck(holds as fn(u64) -> bool);
}

/// Fails if `RateShare::wait` ignores `next_change`: a loan that expires prolongs the wait.
#[test]
fn retry_after_is_true() {
    fn holds(seed: u64) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fleet = entries(rng.u32(1..4), rng.u64(1..50), rng.u64(100..5_000));
        let mut in_transit = Vec::new();
        let mut now = Timestamp::ZERO;
        for step in 0..60 {
            now = now.after(Duration::from_millis(rng.u64(1..200)));
            if step % 20 == 0 {
                exchange(&mut fleet, &mut in_transit, now, &mut rng, 10);
            }
            let _ = try_admit(&mut fleet[0], now, rng.u64(1..1_000));
        }
        let cost = rng.u64(1..20_000);
        let Err(refusal) = try_admit(&mut fleet[0].clone(), now, cost) else {
            return true;
        };
        let wait = refusal.retry_after.unwrap();
        let early = now.after(wait - Duration::from_micros(1));
        let is_early = try_admit(&mut fleet[0].clone(), early, cost).is_err();
        is_early && try_admit(&mut fleet[0], now.after(wait), cost).is_ok()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 11))
        .tests(CASES)
        .quickcheck(holds as fn(u64) -> bool);
}

/// Runs four entries, one of them busy, for 30 s and returns the requests that it admits in
/// the last 10 s. Messages are delivered in the first `connected` steps.
fn busy_entry(connected: u32) -> usize {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut fleet = entries(4, 100, 1_000_000);
    let mut in_transit = Vec::new();
    let mut admitted = 0;
    for step in 0..600 {
        let now = Timestamp::ZERO.after(TICK * step);
        if step % 40 == 0 && step < connected {
            exchange(&mut fleet, &mut in_transit, now, &mut rng, 10);
        }
        for _ in 0..10 {
            let is_admitted = try_admit(&mut fleet[0], now, 10).is_ok();
            admitted += usize::from(is_admitted && step >= 400);
        }
    }
    admitted
}

/// Fails if `lent_rate` counts the latest loan instead of the largest: a borrower that did
/// not receive the smaller loan still uses the larger one.
#[test]
fn lost_smaller_loan_is_counted_as_larger() {
    let mut fleet = entries(2, 40, 1_000_000);
    let mut in_transit = Vec::new();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut admitted = 0;
    for step in 0..160 {
        let now = Timestamp::ZERO.after(TICK * step);
        match step {
            0 | 40 | 80 => exchange(&mut fleet, &mut in_transit, now, &mut rng, 10),
            120 => drop(fleet[0].share(now)),
            _ => {}
        }
        let offered = match step {
            0..80 => 0,
            80..120 => step % 2,
            _ => 5,
        };
        for (entry, offered) in [(0, offered), (1, 5)] {
            for _ in 0..offered {
                let is_admitted = try_admit(&mut fleet[entry], now, 10).is_ok();
                admitted += usize::from(is_admitted && step > 120);
            }
        }
    }
    assert!(
        (70..=82).contains(&admitted),
        "40 a second for 2 s: {admitted}"
    );
}

/// Fails if `add_to_share` does not call `lend`.
#[test]
fn idle_entries_lend() {
    assert!(
        busy_entry(600) >= 900,
        "nine tenths of 100 a second for 10 s"
    );
}

/// Fails if a borrower uses a loan after its expiry (`advance` does not drop `borrowed`).
#[test]
fn without_messages_the_split_is_even() {
    let admitted = busy_entry(200);
    assert!((249..=251).contains(&admitted), "{admitted}");
}

/// Fails without `check_deadline` in `try_admit`.
#[test]
fn late_first_token_is_refused_before_acceptance() {
    let mut limits = entries(1, 10, 1_000).remove(0);
    let request = request(10, Timestamp::from_millis(1_000));
    let mut journal = Journal::default();
    let expected = Some(Duration::from_millis(1_500));
    let refusal = limits
        .admit(Timestamp::ZERO, &request, expected, &mut journal)
        .unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::Overloaded);
    assert_eq!(refusal.kind.response().execution, Execution::NotRun);
    assert_eq!(refusal.retry_after, Some(Duration::from_millis(500)));
    assert_eq!(
        journal.decisions()[0].field("first_token_us"),
        Some("1500000")
    );
}

/// Fails if `try_admit` does not check `contract.services`.
#[test]
fn uncovered_service_is_forbidden() {
    let mut limits = entries(1, 10, 1_000).remove(0);
    let mut request = request(10, Timestamp::NEVER);
    request.service = "quotations".parse().unwrap();
    let mut journal = Journal::default();
    let refusal = limits.admit(Timestamp::ZERO, &request, None, &mut journal);
    assert_eq!(refusal.unwrap_err().kind, ErrorKind::Forbidden);
    request.customer = "nobody".parse().unwrap();
    let refusal = limits.admit(Timestamp::ZERO, &request, None, &mut journal);
    assert_eq!(refusal.unwrap_err().kind, ErrorKind::Forbidden);
}

/// Fails if `settle` does not refund unused tokens.
#[test]
fn unused_tokens_come_back() {
    let mut limits = entries(1, 1_000, 1_000).remove(0);
    let mut journal = Journal::default();
    let request = request(2_000, Timestamp::NEVER);
    for _ in 0..5 {
        let reservation = limits
            .admit(Timestamp::ZERO, &request, None, &mut journal)
            .unwrap();
        limits.settle(Timestamp::ZERO, reservation, Tokens(0));
    }
    let reservation = limits
        .admit(Timestamp::ZERO, &request, None, &mut journal)
        .unwrap();
    limits.settle(Timestamp::ZERO, reservation, Tokens(1_500));
    assert!(try_admit(&mut limits, Timestamp::ZERO, 501).is_err());
    assert!(try_admit(&mut limits, Timestamp::ZERO, 500).is_ok());
}

/// Fails without `GROW_DELAY`: loans granted by the removed entry are still valid.
#[test]
fn share_grows_late_and_shrinks_at_once() {
    let mut limits = entries(4, 40, 1_000_000).remove(0);
    let admitted = |limits: &mut Limits, from: u64| -> usize {
        let start = Timestamp::from_millis(from);
        (0..40)
            .filter(|step| try_admit(limits, start.after(TICK * *step), 1).is_ok())
            .count()
    };
    assert_eq!(
        admitted(&mut limits, 0),
        39,
        "20 saved, 10 a second for 1.95 s"
    );
    limits.set_entries(Timestamp::from_millis(2_000), 2);
    assert_eq!(admitted(&mut limits, 2_000), 20, "still 10 a second");
    assert_eq!(admitted(&mut limits, 10_000), 40, "20 a second");
    limits.set_entries(Timestamp::from_millis(12_000), 4);
    assert!(
        admitted(&mut limits, 12_000) <= 40,
        "10 a second and what was saved"
    );
    assert!(admitted(&mut limits, 14_000) <= 21, "10 a second");
}
