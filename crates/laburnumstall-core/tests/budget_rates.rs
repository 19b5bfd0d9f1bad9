//! Rate limits and priorities of calls to the key-value service.

use std::time::Duration;

use fastrand::Rng;
use laburnumstall_core::budget::{Admission, CallBudget, CallKind, CallRates, Operation, Purpose};
use laburnumstall_core::prelude::*;

const RATES: CallRates = CallRates {
    reads: RequestRate(20),
    writes: RequestRate(5),
};

const PURPOSES: [Purpose; 4] = [
    Purpose::Placement,
    Purpose::Configuration,
    Purpose::Membership,
    Purpose::Claims,
];

fn call_kind(operation: Operation, purpose: Purpose) -> CallKind {
    CallKind { operation, purpose }
}

/// Guards the check of the level in `Bucket::take`.
#[test]
fn admitted_calls_stay_under_the_rate_limit() {
    let operations = [Operation::Read, Operation::Write, Operation::Watch];
    for seed in 0..1_000 {
        let mut rng = Rng::with_seed(seed);
        let mut budget = CallBudget::new(RATES);
        let mut now = Timestamp::from_millis(1_000_000);
        let start = now;
        for _ in 0..300 {
            now = now.after(Duration::from_millis(rng.u64(0..60)));
            let kind = call_kind(operations[rng.usize(0..3)], PURPOSES[rng.usize(0..4)]);
            budget.admit(now, kind);
        }
        let seconds = now.since(start).as_secs_f64() + 2.0;
        let admitted = |is_write: bool| -> u64 {
            let of_kind = budget
                .counts()
                .filter(|count| (count.kind.operation == Operation::Write) == is_write);
            of_kind.map(|count| count.admitted).sum()
        };
        assert!(admitted(false) as f64 <= 20.0 * seconds && admitted(true) as f64 <= 5.0 * seconds);
    }
}

/// Guards the reservation by `reserved_quarters` in `Bucket::take`.
#[test]
fn placement_is_delayed_first_and_claims_last() {
    let mut budget = CallBudget::new(RATES);
    let now = Timestamp::from_millis(1_000);
    let mut delayed = Vec::new();
    for _ in 0..20 {
        for purpose in PURPOSES {
            let kind = call_kind(Operation::Write, purpose);
            let is_first = !delayed.contains(&purpose);
            if is_first && budget.admit(now, kind) != Admission::Now {
                delayed.push(purpose);
            }
        }
    }
    assert_eq!(delayed, PURPOSES);
}

/// Guards the wait that `Bucket::take` returns: neither too short nor too long.
#[test]
fn a_delayed_call_is_admitted_after_its_wait() {
    for purpose in PURPOSES {
        let mut budget = CallBudget::new(RATES);
        let kind = call_kind(Operation::Read, purpose);
        let mut now = Timestamp::from_millis(1_000);
        for _ in 0..200 {
            if let Admission::Wait(wait) = budget.admit(now, kind) {
                let early = now.after(wait.saturating_sub(Duration::from_millis(1)));
                assert!(
                    wait < Duration::from_millis(2)
                        || budget.clone().admit(early, kind) != Admission::Now
                );
                now = now.after(wait);
                assert_eq!(budget.admit(now, kind), Admission::Now);
            }
        }
    }
}

#[test]
fn a_pending_watch_counts_as_one_read() {
    let mut budget = CallBudget::new(RATES);
    let call = StoreCall::Watch {
        prefix: "daemons/".parse().unwrap(),
        after: StoreVersion(0),
        wait: Duration::from_secs(30),
    };
    let now = Timestamp::from_millis(1_000);
    let kind = CallKind::of(&call, Purpose::Claims);
    let admitted = (0..100).filter(|_| budget.admit(now, kind) == Admission::Now);
    assert_eq!(admitted.count(), 40, "two seconds' worth of reads");
    let read = call_kind(Operation::Read, Purpose::Claims);
    assert!(matches!(budget.admit(now, read), Admission::Wait(_)));
    let line = kind
        .delay_decision(now, Duration::from_millis(50))
        .to_string();
    assert!(line.contains("operation=watch purpose=claims wait_ms=50"));
}
