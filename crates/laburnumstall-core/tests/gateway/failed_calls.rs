//! What follows a call that an endpoint fails, and what the caller is told.

use crate::support::{at, endpoint, facts, gateway, prompt};
use laburnumstall_core::gateway::{AdmittedCall, CallFailure, FailureAction, Gateway};
use laburnumstall_core::prelude::*;

const FAILURES: [CallFailure; 8] = [
    CallFailure::NotSent,
    CallFailure::NotRun,
    CallFailure::WrongEndpoint,
    CallFailure::Lost,
    CallFailure::Silent,
    CallFailure::BadAnswer,
    CallFailure::Failed,
    CallFailure::Broken,
];

fn world() -> Gateway {
    let zones = ["north-a", "north-b", "north-c"];
    let endpoints: Vec<_> = zones
        .iter()
        .flat_map(|zone| {
            [
                endpoint(&format!("app-{zone}"), "app", zone),
                endpoint(&format!("engine-{zone}"), "model", zone),
            ]
        })
        .collect();
    gateway(&endpoints)
}

fn fail(
    gateway: &mut Gateway,
    path: &str,
    failure: CallFailure,
) -> (AdmittedCall, Result<FailureAction, Refusal>) {
    let mut call = facts("call-1", path);
    if path.starts_with("/digest/") || path.starts_with("/query/") {
        call.prompt = Some(prompt(1, 500, 500));
    }
    gateway.on_store_confirmed(at(2_000), at(2_000));
    let mut ticket = gateway.admit(at(2_000), call).unwrap();
    let run = gateway.select_endpoint(at(2_000), &mut ticket).unwrap();
    gateway.on_sent(&mut ticket);
    let next = gateway.after_failure(at(2_050), &mut ticket, run, failure);
    (ticket, next)
}

/// A call that may not repeat goes to another endpoint only if the first certainly did
/// not run it. Fails without the check of `is_retryable` in `after_failure`.
#[test]
fn orders_run_once() {
    for path in ["/order/1", "/query/1"] {
        for failure in FAILURES {
            let (_, next) = fail(&mut world(), path, failure);
            let is_again = matches!(next, Ok(FailureAction::Retry));
            assert_eq!(is_again, !failure.may_have_run(), "{path} {failure:?}");
        }
    }
}

/// What says "not run" is true: after a failure that may have run the call, no answer of
/// that kind is given. Fails without the count of `executions` in `recovery::refusal`.
#[test]
fn not_run_is_true() {
    for path in ["/order/1", "/query/1", "/read/1", "/digest/1"] {
        for failure in FAILURES {
            let mut gateway = world();
            let (mut ticket, mut next) = fail(&mut gateway, path, failure);
            for _ in 0..6 {
                if !matches!(next, Ok(FailureAction::Retry)) {
                    break;
                }
                let run = gateway.select_endpoint(at(2_060), &mut ticket).unwrap();
                gateway.on_sent(&mut ticket);
                next = gateway.after_failure(at(2_070), &mut ticket, run, CallFailure::NotRun);
            }
            let Err(refusal) = next else {
                assert_eq!(failure, CallFailure::Failed);
                continue;
            };
            let answer = refusal.kind.response();
            let says_not_run = matches!(answer.status, 408 | 421 | 429 | 503);
            assert_eq!(says_not_run, !failure.may_have_run(), "{path} {failure:?}");
        }
    }
}

/// Fails if `max_endpoints` is not checked in `after_failure`.
#[test]
fn attempts_are_bounded() {
    let mut gateway = world();
    let (mut ticket, next) = fail(&mut gateway, "/read/1", CallFailure::Lost);
    assert_eq!(next, Ok(FailureAction::Retry));
    let run = gateway.select_endpoint(at(2_060), &mut ticket).unwrap();
    assert_ne!(ticket.tried[0], ticket.tried[1]);
    gateway.on_sent(&mut ticket);
    let next = gateway.after_failure(at(2_100), &mut ticket, run, CallFailure::Lost);
    assert_eq!(next.unwrap_err().kind, ErrorKind::ConnectionLost);
}

/// With four daemons each uses a quarter of the allowance and a fifth of its own requests.
/// Fails if `RetryWindow::try_retry` allows everything.
#[test]
fn retries_are_bounded() {
    let mut gateway = world();
    for number in 2..5 {
        gateway.on_member(at(0), crate::support::member(number));
    }
    gateway.tick(at(1));
    let again = (0..100)
        .filter(|_| {
            matches!(
                fail(&mut gateway, "/read/1", CallFailure::Lost).1,
                Ok(FailureAction::Retry)
            )
        })
        .count();
    assert!(again <= 20 + 58 / 4, "{again} retries of 100 requests");
    assert!(again >= 20, "{again} retries of 100 requests");
}

/// The endpoint's own failure reaches the caller. Fails if `Forward` is not given.
#[test]
fn own_failure_is_passed_on() {
    let (_, next) = fail(&mut world(), "/order/1", CallFailure::Failed);
    assert_eq!(next, Ok(FailureAction::Forward));
}

/// A call that ran somewhere is not called "not run" when no endpoint is left for another
/// try. Fails if `Gateway::select_endpoint` refuses without a look at `executions`.
#[test]
fn not_run_is_true_without_endpoints() {
    let mut gateway = world();
    let (mut ticket, next) = fail(&mut gateway, "/read/1", CallFailure::Lost);
    assert_eq!(next, Ok(FailureAction::Retry));
    gateway.on_endpoints(at(2_060), Vec::new());
    let refusal = gateway.select_endpoint(at(2_070), &mut ticket).unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::EndpointFailed);
    assert!(!matches!(
        refusal.kind.response().status,
        408 | 421 | 429 | 503
    ));
}

/// Reading unchanged settings again gives no second allowance. Fails if
/// `Gateway::set_bounds` always starts the retry windows anew.
#[test]
fn reload_keeps_the_retry_window() {
    let mut gateway = world();
    let tries = |gateway: &mut Gateway| {
        (0..100)
            .filter(|_| {
                let (_, next) = fail(gateway, "/read/1", CallFailure::Lost);
                matches!(next, Ok(FailureAction::Retry))
            })
            .count()
    };
    let first = tries(&mut gateway);
    gateway.set_bounds(crate::support::bounds());
    let both = first + tries(&mut gateway);
    assert!(both <= 200 / 5 + 58, "{both} retries of 200 requests");
}
