//! Priorities of the handover work before the deadline of a reclaim notice.

use fastrand::Rng;
use laburnumstall_core::placement::{HandoverWork, SHUTDOWN_MARGIN, plan_handover};
use laburnumstall_core::prelude::*;

fn request(number: u64) -> RequestId {
    format!("r-vm-1@1-{number}-00000000").parse().unwrap()
}

fn rank(work: &HandoverWork) -> u8 {
    match work {
        HandoverWork::ReleaseClaim { .. } => 0,
        HandoverWork::CopyRequest { .. } => 1,
        HandoverWork::ExportCache { .. } => 2,
    }
}

/// Fails without the sorting or without the limit of `byte_budget` in `plan_handover`.
#[test]
fn claims_precede_requests_and_the_densest_caches_that_fit() {
    for seed in 0..1_000 {
        let mut rng = Rng::with_seed(seed);
        let item = |number: u64, rng: &mut Rng| {
            let bytes = Bytes(rng.u64(1..5_000_000));
            let tokens = Tokens(rng.u64(0..100_000));
            let request = request(number);
            match rng.u32(0..3) {
                0 => HandoverWork::ReleaseClaim { request },
                1 => HandoverWork::CopyRequest {
                    request,
                    bytes,
                    invested: tokens,
                },
                _ => HandoverWork::ExportCache {
                    request,
                    bytes,
                    recompute: tokens,
                },
            }
        };
        let mut work: Vec<HandoverWork> = (0..30).map(|n| item(n, &mut rng)).collect();
        let now = Timestamp::from_millis(10_000);
        let deadline = now.after(SHUTDOWN_MARGIN * rng.u32(1..12));
        let rate = Bytes(10_000_000);
        let plan = plan_handover(now, deadline, rate, work.clone(), &mut Journal::default());
        rng.shuffle(&mut work);
        let again = plan_handover(now, deadline, rate, work.clone(), &mut Journal::default());
        assert_eq!(plan, again, "the plan depends on the order of the input");
        assert_eq!(plan.work.len() + plan.left.len(), work.len());
        assert!(plan.work.is_sorted_by_key(rank));
        assert!(plan.left.iter().all(|left| rank(left) == 2));
        let copies: Vec<u64> = plan
            .work
            .iter()
            .filter(|work| rank(work) == 1)
            .map(|work| work.bytes().get())
            .collect();
        assert!(copies.is_sorted());
        let density = |work: &HandoverWork| match work {
            HandoverWork::ExportCache {
                bytes, recompute, ..
            } => recompute.get() as f64 / bytes.get() as f64,
            _ => f64::INFINITY,
        };
        let densities = plan.work.iter().map(density);
        assert!(densities.is_sorted_by(|a, b| a >= b));
        let planned_bytes: u64 = plan.work.iter().map(|work| work.bytes().get()).sum();
        let byte_budget = deadline
            .since(now)
            .saturating_sub(SHUTDOWN_MARGIN)
            .as_millis() as u64
            * 10_000;
        let has_cache = plan.work.iter().any(|work| rank(work) == 2);
        assert!(!has_cache || planned_bytes <= byte_budget);
    }
}

#[test]
fn without_time_left_claims_and_requests_are_still_attempted() {
    let now = Timestamp::from_millis(10_000);
    let work = vec![
        HandoverWork::ExportCache {
            request: request(1),
            bytes: Bytes(1),
            recompute: Tokens(1_000_000),
        },
        HandoverWork::CopyRequest {
            request: request(2),
            bytes: Bytes(u64::MAX),
            invested: Tokens(1),
        },
        HandoverWork::ReleaseClaim {
            request: request(3),
        },
    ];
    let mut journal = Journal::default();
    let plan = plan_handover(now, Timestamp::ZERO, Bytes(0), work, &mut journal);
    let order: Vec<RequestId> = plan.work.iter().map(|w| w.request().clone()).collect();
    assert_eq!(order, [request(3), request(2)]);
    assert_eq!(plan.left.len(), 1);
    assert_eq!(journal.decisions()[0].field("left"), Some("1"));
}
