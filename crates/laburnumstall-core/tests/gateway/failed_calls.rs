//! Recovery from failed calls, and the answers to their callers.

use std::time::Duration;

use crate::support::{at, call_attributes, endpoint, gateway, prompt};
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

fn gateway_with_endpoints() -> Gateway {
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
    let mut attributes = call_attributes("call-1", path);
    if path.starts_with("/digest/") || path.starts_with("/query/") {
        attributes.prompt = Some(prompt(1, 500, 500));
    }
    gateway.on_store_confirmed(at(2_000), at(2_000));
    let mut call = gateway.admit(at(2_000), attributes).unwrap();
    let attempt = gateway.select_endpoint(at(2_000), &mut call).unwrap();
    gateway.on_sent(&mut call);
    let action = gateway.after_failure(at(2_050), &mut call, attempt, failure);
    (call, action)
}

/// A call that must not be repeated goes to another endpoint only if the first certainly did
/// not run it. Fails without the check of `is_retryable` in `after_failure`.
#[test]
fn non_retryable_calls_run_once() {
    for path in ["/order/1", "/query/1"] {
        for failure in FAILURES {
            let (_, action) = fail(&mut gateway_with_endpoints(), path, failure);
            let is_retry = matches!(action, Ok(FailureAction::Retry));
            assert_eq!(is_retry, !failure.may_have_run(), "{path} {failure:?}");
        }
    }
}

/// An answer says "not run" only if the call did not run: never after a failure that may have
/// run it. Fails without the count of `executions` in `recovery::refusal`.
#[test]
fn not_run_answers_are_true() {
    for path in ["/order/1", "/query/1", "/read/1", "/digest/1"] {
        for failure in FAILURES {
            let mut gateway = gateway_with_endpoints();
            let (mut call, mut action) = fail(&mut gateway, path, failure);
            for _ in 0..6 {
                if !matches!(action, Ok(FailureAction::Retry)) {
                    break;
                }
                let attempt = gateway.select_endpoint(at(2_060), &mut call).unwrap();
                gateway.on_sent(&mut call);
                action = gateway.after_failure(at(2_070), &mut call, attempt, CallFailure::NotRun);
            }
            let Err(refusal) = action else {
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
    let mut gateway = gateway_with_endpoints();
    let (mut call, action) = fail(&mut gateway, "/read/1", CallFailure::Lost);
    assert_eq!(action, Ok(FailureAction::Retry));
    let attempt = gateway.select_endpoint(at(2_060), &mut call).unwrap();
    assert_ne!(call.tried[0], call.tried[1]);
    gateway.on_sent(&mut call);
    let action = gateway.after_failure(at(2_100), &mut call, attempt, CallFailure::Lost);
    assert_eq!(action.unwrap_err().kind, ErrorKind::ConnectionLost);
}

/// With four daemons, each uses a quarter of the allowance and a fifth of its own requests.
/// Fails if `RetryWindow::try_retry` allows everything.
#[test]
fn retries_are_bounded() {
    let mut gateway = gateway_with_endpoints();
    for number in 2..5 {
        gateway.on_member(at(0), crate::support::member(number));
    }
    gateway.tick(at(1));
    let retried = (0..100)
        .filter(|_| {
            matches!(
                fail(&mut gateway, "/read/1", CallFailure::Lost).1,
                Ok(FailureAction::Retry)
            )
        })
        .count();
    assert!(retried <= 20 + 58 / 4, "{retried} retries of 100 requests");
    assert!(retried >= 20, "{retried} retries of 100 requests");
}

/// The endpoint's own error response reaches the caller. Fails if `Forward` is not returned.
#[test]
fn endpoint_failure_is_forwarded() {
    let (_, action) = fail(
        &mut gateway_with_endpoints(),
        "/order/1",
        CallFailure::Failed,
    );
    assert_eq!(action, Ok(FailureAction::Forward));
}

/// A call that ran on an endpoint is not answered with "not run" when no endpoint is left for
/// another attempt. Fails if `Gateway::select_endpoint` refuses without checking
/// `executions`.
#[test]
fn not_run_answers_are_true_without_endpoints() {
    let mut gateway = gateway_with_endpoints();
    let (mut call, action) = fail(&mut gateway, "/read/1", CallFailure::Lost);
    assert_eq!(action, Ok(FailureAction::Retry));
    gateway.on_endpoints(at(2_060), Vec::new());
    let refusal = gateway.select_endpoint(at(2_070), &mut call).unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::EndpointFailed);
    assert!(!matches!(
        refusal.kind.response().status,
        408 | 421 | 429 | 503
    ));
}

/// Reloading unchanged settings grants no second allowance. Fails if `Gateway::set_bounds`
/// always restarts the retry windows.
#[test]
fn reload_keeps_the_retry_window() {
    let mut gateway = gateway_with_endpoints();
    let count_retries = |gateway: &mut Gateway| {
        (0..100)
            .filter(|_| {
                let (_, action) = fail(gateway, "/read/1", CallFailure::Lost);
                matches!(action, Ok(FailureAction::Retry))
            })
            .count()
    };
    let first = count_retries(&mut gateway);
    gateway.set_bounds(crate::support::bounds());
    let both = first + count_retries(&mut gateway);
    assert!(both <= 200 / 5 + 58, "{both} retries of 200 requests");
}

/// Connects once more for a call, which fails; returns the delay before it, or `None` if the call
/// ended.
fn fail_to_connect(gateway: &mut Gateway, call: &mut AdmittedCall) -> Option<Duration> {
    let delay = gateway.send_delay(at(2_000), call);
    let attempt = gateway.select_endpoint(at(2_000), call).ok()?;
    let failure = CallFailure::NotSent;
    let action = gateway.after_failure(at(2_000), call, attempt, failure);
    action.is_ok().then_some(delay)
}

/// A call connected to endpoints that refuse connections until its deadline.
#[test]
fn refused_call_connects_once_to_each_endpoint() {
    let mut gateway = gateway_with_endpoints();
    let mut call = gateway
        .admit(at(2_000), call_attributes("call-1", "/read/1"))
        .unwrap();
    let delays: Vec<_> = std::iter::from_fn(|| fail_to_connect(&mut gateway, &mut call)).collect();
    assert_eq!(delays.len(), 3);
    assert_eq!(call.tried.len(), 3);
}

/// A stream that lost its endpoint connected to others without a pause until its deadline.
#[test]
fn broken_stream_connects_with_pauses() {
    let mut gateway = gateway_with_endpoints();
    let (mut call, action) = fail(&mut gateway, "/digest/1", CallFailure::Broken);
    assert_eq!(action, Ok(FailureAction::Retry));
    call.events = 1;
    let delays: Vec<_> = std::iter::from_fn(|| fail_to_connect(&mut gateway, &mut call)).collect();
    assert_eq!(delays.len(), 5);
    assert!(delays[1..].is_sorted());
    assert!(delays[2..].iter().all(|delay| !delay.is_zero()));
}

/// A line did not tell whether the limit on retries was near, nor among how many daemons it is split.
#[test]
fn retry_lines_tell_the_limit() {
    let mut gateway = gateway_with_endpoints();
    gateway.on_member(at(0), crate::support::member(2));
    gateway.tick(at(1));
    let (_, action) = fail(&mut gateway, "/read/1", CallFailure::Lost);
    assert_eq!(action, Ok(FailureAction::Retry));
    let decisions = gateway.take_decisions();
    let line = decisions.iter().find(|line| line.kind.name() == "retry");
    let fields = ["retries", "allowed", "daemons"].map(|name| line.unwrap().field(name).unwrap());
    assert_eq!(fields, ["1", "23", "2"]);
}
