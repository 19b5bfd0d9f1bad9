//! Calls of a daemon that stops.

use std::time::Duration;

use crate::support::{at, call_attributes, endpoint, gateway};
use laburnumstall_core::gateway::{CallFailure, Gateway, PlannedStop};
use laburnumstall_core::prelude::*;

const STOP: u64 = 1_000;
const LATE: u64 = 3_500;

/// Returns a gateway that was asked to stop at `STOP` and answers until 7 s later.
fn stopping() -> Gateway {
    let mut gateway = gateway(&[
        endpoint("i-1", "app", "zone-a"),
        endpoint("i-2", "app", "zone-a"),
    ]);
    gateway.on_store_confirmed(at(STOP), at(STOP));
    gateway.begin_stop(
        at(STOP),
        PlannedStop {
            admits_until: at(STOP + 2_500),
            answers_until: at(STOP + 7_000),
        },
    );
    gateway
}

/// A request that came late was passed on to an endpoint that could not answer in time.
#[test]
fn late_call_is_admitted() {
    let mut gateway = stopping();
    let mut short = call_attributes("short", "/order/1");
    short.caller_timeout = Some(Duration::from_millis(500));
    let mut long = call_attributes("long", "/order/1");
    long.caller_timeout = Some(Duration::from_secs(60));
    assert!(gateway.admit(at(LATE - 100), long.clone()).is_ok());
    assert!(gateway.admit(at(LATE), short).is_ok());
    // The deadline is the route's, which lies beyond the grace as well.
    gateway.on_store_confirmed(at(STOP + 6_000), at(STOP + 6_000));
    let refusal = gateway.admit(at(STOP + 6_000), long).unwrap_err();
    assert_eq!(
        (refusal.kind, refusal.detail.as_str()),
        (ErrorKind::NotReady, "the daemon stops")
    );
    assert!(refusal.retry_after.unwrap() < Duration::from_millis(500));
}

/// A call that was admitted early and waited for a retry was passed on late.
#[test]
fn waiting_call_is_passed_on_late() {
    let mut gateway = stopping();
    let attributes = call_attributes("call-1", "/order/1");
    let mut call = gateway.admit(at(LATE - 10), attributes).unwrap();
    call.deadline = at(STOP + 8_000);
    let attempt = gateway.select_endpoint(at(LATE - 10), &mut call).unwrap();
    gateway.on_sent(&mut call);
    gateway
        .after_failure(at(LATE + 10), &mut call, attempt, CallFailure::NotRun)
        .unwrap();
    let refusal = gateway
        .select_endpoint(at(LATE + 10), &mut call)
        .unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::NotReady);
}

/// The last answer called a request not run that an endpoint may have run.
#[test]
fn call_in_flight_is_called_not_run() {
    let mut gateway = stopping();
    let attributes = call_attributes("call-1", "/order/1");
    let mut call = gateway.admit(at(LATE - 10), attributes).unwrap();
    assert_eq!(gateway.cut_off(&call).kind, ErrorKind::NotReady);
    gateway.select_endpoint(at(LATE - 10), &mut call).unwrap();
    assert_eq!(gateway.cut_off(&call).kind, ErrorKind::NotReady);
    gateway.on_sent(&mut call);
    assert_eq!(gateway.cut_off(&call).kind, ErrorKind::DeadlineExceeded);
}
