//! Writes the lowest configuration that daemons may serve to the key-value store.

use std::rc::Rc;
use std::time::Duration;

use laburnumstall_core::ids::Revision;
use laburnumstall_core::store::{StoreCall, StoreKey, StoreReply, StoredValue};
use laburnumstall_outside::key_value::KeyValue;
use laburnumstall_platform::store::Store;
use tokio::time::sleep;

use super::context::Context;
use super::log::Event;

/// Key of the floor.
pub(super) const KEY: &str = "rules/floor";
/// Interval of the check whether the floor has to be written.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before a failed write is repeated.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Lifetime of the floor: it is written again while a daemon knows of a later configuration than
/// the store has.
const TTL: Duration = Duration::from_secs(30);

/// Returns the floor if the value is of its key; `None` within if it was removed or is unreadable.
pub(super) fn stored_floor(value: &StoredValue) -> Option<Option<Revision>> {
    let text = value.value.as_deref().unwrap_or_default();
    let floor = std::str::from_utf8(text)
        .ok()
        .and_then(|text| text.parse().ok());
    (value.key.as_str() == KEY).then_some(floor)
}

/// Writes the floor whenever it is due, until the gateway ends.
pub(super) async fn write(cx: Rc<Context>, store: Rc<Store>) {
    while !cx.is_ended() {
        sleep(CHECK_INTERVAL).await;
        let due = cx.with_gateway(|gateway, now| gateway.rules_floor_to_write(now));
        let Some(floor) = due else {
            continue;
        };
        match raise(&store, floor).await {
            Ok(written) => {
                cx.with_gateway(|gateway, now| gateway.on_rules_floor(now, Some(written)))
            }
            Err(cause) => {
                cx.event(Event::new("rules-floor-not-stored").with("cause", cause));
                sleep(WRITE_RETRY_DELAY).await;
            }
        }
    }
}

/// Raises the stored floor; returns the one that is stored then.
async fn raise(store: &Store, floor: Revision) -> Result<Revision, &'static str> {
    let key: StoreKey = KEY.parse().map_err(|_| "invalid-key")?;
    let Ok(StoreReply::Value(current)) = store.call(StoreCall::Get { key: key.clone() }).await
    else {
        return Err("not-read");
    };
    let stored = current.as_ref().and_then(stored_floor).flatten();
    if let Some(stored) = stored.filter(|stored| *stored >= floor) {
        return Ok(stored);
    }
    let Ok(StoreReply::Lease { lease, .. }) = store.call(StoreCall::Grant { ttl: TTL }).await
    else {
        return Err("no-lease");
    };
    let swap = StoreCall::Swap {
        key,
        expected: current.map(|stored| stored.version),
        value: Some(floor.to_string().into_bytes()),
        lease: Some(lease),
    };
    match store.call(swap).await {
        Ok(StoreReply::Swapped { .. }) => Ok(floor),
        _ => Err("not-written"),
    }
}
