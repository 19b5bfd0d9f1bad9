//! Fair queueing among customers, and the retry budget.

use std::time::Duration;

use laburnumstall_core::limits::{FairQueue, RetryBudget};
use laburnumstall_core::prelude::*;
use quickcheck::{Gen, QuickCheck};

const CASES: u64 = 1_000;

fn service() -> ServiceName {
    "clerk".parse().unwrap()
}

fn customer(number: usize) -> CustomerId {
    format!("customer-{number}").parse().unwrap()
}

fn push(queue: &mut FairQueue<(usize, u64)>, of: usize, weight: u32, cost: u64) {
    let item = (of, cost);
    queue.push(
        Timestamp::ZERO,
        &service(),
        &customer(of),
        weight,
        cost,
        Timestamp::NEVER,
        item,
    );
}

/// Fails if `pop` selects the largest finish time, or if the cost is not divided by the
/// weight.
///
/// The bound is that of self-clocked fair queueing: while two customers are backlogged, their
/// weighted service differs by at most the sum of each one's largest item over its weight.
#[test]
fn service_follows_weights() {
    fn holds(seed: u64) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let customers = rng.usize(2..6);
        let weights: Vec<u32> = (0..customers).map(|_| rng.u32(1..9)).collect();
        let mut queue = FairQueue::new();
        for _ in 0..rng.usize(20..60) {
            for (of, weight) in weights.iter().enumerate() {
                push(&mut queue, of, *weight, rng.u64(1..1_000));
            }
        }
        let mut left: Vec<usize> = vec![queue.len() / customers; customers];
        let mut served = vec![0.0; customers];
        while left.iter().all(|left| *left > 0) {
            let (of, cost) = queue.pop(Timestamp::ZERO, &service()).unwrap();
            left[of] -= 1;
            served[of] += cost as f64 / f64::from(weights[of]);
            for a in 0..customers {
                for b in 0..customers {
                    let bound = 1_000.0 / f64::from(weights[a]) + 1_000.0 / f64::from(weights[b]);
                    if served[a] - served[b] > bound {
                        return false;
                    }
                }
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 7))
        .tests(CASES)
        .quickcheck(holds as fn(u64) -> bool);
}

/// Fails if an idle customer's flow keeps its old start time (no `max(virtual_time)`): it
/// would be served exclusively until it caught up.
#[test]
fn idle_customer_accrues_no_credit() {
    let mut queue = FairQueue::new();
    push(&mut queue, 1, 1, 10);
    queue.pop(Timestamp::ZERO, &service());
    for _ in 0..100 {
        push(&mut queue, 0, 1, 10);
    }
    for _ in 0..50 {
        queue.pop(Timestamp::ZERO, &service());
    }
    for _ in 0..50 {
        push(&mut queue, 1, 1, 10);
    }
    let popped = (0..20).filter_map(|_| queue.pop(Timestamp::ZERO, &service()));
    assert_eq!(popped.filter(|(of, _)| *of == 1).count(), 10);
}

/// Fails if `expire` ignores the deadline, or if `pop` returns an expired item.
#[test]
fn expired_items_are_not_served() {
    let mut queue = FairQueue::new();
    let at = Timestamp::from_millis;
    for (item, deadline) in [(1, 100), (2, 50), (3, 200)] {
        queue.push(at(0), &service(), &customer(0), 1, 1, at(deadline), item);
    }
    assert_eq!(
        queue.pop(at(60), &service()),
        Some(1),
        "earliest deadline first"
    );
    assert_eq!(queue.expire(at(60)), [2]);
    assert_eq!(queue.remove(|item| *item == 3), Some(3));
    assert_eq!(queue.remove(|item| *item == 3), None);
    assert!(queue.is_empty());
}

/// Fails if a customer's items are not ordered by priority.
#[test]
fn priority_orders_within_a_customer() {
    let mut queue = FairQueue::new();
    for (item, priority) in [(1, 0), (2, 5), (3, 5)] {
        queue.push_with_priority(
            &service(),
            &customer(0),
            1,
            1,
            Timestamp::NEVER,
            Priority(priority),
            item,
        );
    }
    let popped: Vec<i32> = (0..3)
        .filter_map(|_| queue.pop(Timestamp::ZERO, &service()))
        .collect();
    assert_eq!(popped, [2, 3, 1]);
}

/// Fails if `try_withdraw` does not reduce the balance.
#[test]
fn retries_stay_below_a_fifth() {
    fn holds(seed: u64) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut budget = RetryBudget::new();
        let (mut requests, mut retries) = (0_u64, 0_u64);
        let mut now = Timestamp::ZERO;
        for _ in 0..2_000 {
            now = now.after(Duration::from_millis(rng.u64(..5)));
            budget.deposit();
            requests += 1;
            for _ in 0..rng.u8(..4) {
                retries += u64::from(budget.try_withdraw(now));
            }
        }
        let floor = 10 + now.since(Timestamp::ZERO).as_secs();
        retries <= requests / 5 + floor
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 3))
        .tests(CASES)
        .quickcheck(holds as fn(u64) -> bool);
}

/// Fails if `peek` visits the flows in a different order than `pop`.
#[test]
fn peek_returns_what_pop_dequeues() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut queue = FairQueue::new();
    for _ in 0..CASES {
        if rng.bool() {
            push(&mut queue, rng.usize(..5), rng.u32(1..9), rng.u64(1..1_000));
        }
        let next = queue.peek(Timestamp::ZERO, &service()).copied();
        if rng.bool() {
            assert_eq!(queue.pop(Timestamp::ZERO, &service()), next);
        }
    }
}
