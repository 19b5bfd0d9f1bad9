//! Checks whether endpoints have crashed, and stores what is quarantined for it.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use laburnumstall_core::gateway::{EndpointCheck, EndpointState, HoldWrite, StoredHold};
use laburnumstall_core::ids::EndpointId;
use laburnumstall_core::quarantine::Suspect;
use laburnumstall_core::store::{StoreCall, StoreKey, StoreReply, StoredValue};
use laburnumstall_outside::key_value::KeyValue;
use laburnumstall_platform::store::Store;
use tokio::time::{sleep, timeout};

use super::context::Context;
use super::log::Event;
use crate::http1::Conn;

/// Time to collect the calls that a crash ends before the endpoint is checked.
const CHECK_DELAY: Duration = Duration::from_millis(2);
/// Time in which an endpoint accepts or refuses a connection, with one retransmission.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time that a call waits for a check.
const MAX_SETTLE_TIME: Duration = Duration::from_millis(20);
/// Interval at which quarantines that are due are written.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before a failed write is repeated.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Prefix of the keys of what is quarantined.
const PREFIX: &str = "quarantine/";

/// Checks the endpoints whose connections ended.
pub(super) async fn run(cx: Rc<Context>) {
    loop {
        cx.check_signal.notified().await;
        for check in cx.with_gateway(|gateway, _| gateway.take_endpoint_checks()) {
            actix_rt::spawn(check_endpoint(Rc::clone(&cx), check));
        }
    }
}

async fn check_endpoint(cx: Rc<Context>, check: EndpointCheck) {
    sleep(CHECK_DELAY).await;
    cx.metrics.connection();
    let connected = Conn::connect(check.address, CHECK_TIMEOUT).await;
    let state = match connected {
        Ok(conn) => {
            cx.pool.put_new(check.address, conn);
            EndpointState::Accepting
        }
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => EndpointState::Refusing,
        Err(_) => EndpointState::Unknown,
    };
    cx.with_gateway(|gateway, now| gateway.on_endpoint_checked(now, &check.endpoint, state));
    cx.check_done.notify_waiters();
}

/// Waits until an endpoint whose connection ended has been checked, so that peers are told of a
/// crash before its calls go on or their callers repeat them.
pub(super) async fn settle(cx: &Context, endpoint: &EndpointId) {
    let checked = async {
        loop {
            let done = cx.check_done.notified();
            if !cx.with_gateway(|gateway, _| gateway.is_check_pending(endpoint)) {
                return;
            }
            done.await;
        }
    };
    // The check of an endpoint that does not answer takes longer.
    let _ = timeout(MAX_SETTLE_TIME, checked).await;
}

/// Returns the quarantined suspect that a value describes, and its value; `None` for other keys.
pub(super) fn stored_hold(value: &StoredValue) -> Option<(Suspect, Option<StoredHold>)> {
    let suspect = value.key.as_str().strip_prefix(PREFIX)?.parse().ok()?;
    let hold = value.value.as_deref();
    Some((
        suspect,
        hold.and_then(|hold| serde_json::from_slice(hold).ok()),
    ))
}

/// Writes quarantines to the key-value store until the gateway ends.
pub(super) async fn write(cx: Rc<Context>, store: Rc<Store>) {
    while !cx.is_ended() {
        sleep(WRITE_INTERVAL).await;
        for hold in cx.with_gateway(|gateway, now| gateway.hold_writes(now)) {
            match write_hold(&store, &hold).await {
                Ok(true) => cx.with_gateway(|gateway, now| gateway.on_hold_written(now, &hold)),
                Ok(false) => {}
                Err(cause) => {
                    cx.event(
                        Event::new("quarantine-not-stored")
                            .with("suspect", hold.suspect)
                            .with("cause", cause),
                    );
                    sleep(WRITE_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Returns whether the write is done. If another one came first, it is due again: that may have
/// been a delete.
async fn write_hold(store: &Store, hold: &HoldWrite) -> Result<bool, &'static str> {
    let key: StoreKey = format!("{PREFIX}{}", hold.suspect)
        .parse()
        .map_err(|_| "invalid-key")?;
    let Ok(StoreReply::Value(current)) = store.call(StoreCall::Get { key: key.clone() }).await
    else {
        return Err("not-read");
    };
    let current = current.filter(|stored| stored.value.is_some());
    let stored = current.as_ref().and_then(stored_hold);
    let is_done = match stored.and_then(|(_, stored)| stored) {
        Some(stored) => hold.is_done(&stored),
        None => hold.value.is_none() && current.is_none(),
    };
    if is_done {
        return Ok(true);
    }
    let lease = match &hold.value {
        None => None,
        Some(_) => match store.call(StoreCall::Grant { ttl: hold.ttl }).await {
            Ok(StoreReply::Lease { lease, .. }) => Some(lease),
            _ => return Err("no-lease"),
        },
    };
    let value = hold.value.as_ref().map(serde_json::to_vec).transpose();
    let swap = StoreCall::Swap {
        key,
        expected: current.map(|stored| stored.version),
        value: value.map_err(|_| "not-encoded")?,
        lease,
    };
    match store.call(swap).await {
        Ok(StoreReply::Swapped { .. }) => Ok(true),
        Ok(StoreReply::Conflict { .. }) => Ok(false),
        _ => Err("not-written"),
    }
}
