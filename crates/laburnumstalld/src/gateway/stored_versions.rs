//! Writes to the key-value store at which software versions streams begin.

use std::rc::Rc;
use std::time::Duration;

use laburnumstall_core::gateway::{StoredVersions, VersionsWrite};
use laburnumstall_core::ids::ServiceName;
use laburnumstall_core::store::{
    StoreCall, StoreKey, StoreOutcome, StoreReply, StoreVersion, StoredValue,
};
use laburnumstall_outside::key_value::KeyValue;
use laburnumstall_platform::store::Store;
use tokio::time::sleep;

use super::context::Context;
use super::log::Event;

/// Stored versions of a service with the version of their key; `None` if there are none.
pub(super) type Versions = Option<(StoredVersions, StoreVersion)>;

/// Prefix of the keys.
pub(super) const PREFIX: &str = "software/";
/// Interval of the check whether versions have to be written.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before a failed write is repeated.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Returns the service of a key, and its versions or the decoder's error; `None` for other keys.
pub(super) fn stored_versions(
    value: &StoredValue,
) -> Option<(ServiceName, Result<Versions, serde_json::Error>)> {
    let service = value.key.as_str().strip_prefix(PREFIX)?.parse().ok()?;
    let Some(text) = &value.value else {
        return Some((service, Ok(None)));
    };
    let stored = serde_json::from_slice(text);
    Some((service, stored.map(|stored| Some((stored, value.version)))))
}

/// Writes the versions that are this daemon's task, until the gateway ends.
pub(super) async fn write(cx: Rc<Context>, store: Rc<Store>) {
    while !cx.is_ended() {
        sleep(CHECK_INTERVAL).await;
        for due in cx.with_gateway(|gateway, now| gateway.versions_to_store(now)) {
            match swap(&store, &due).await {
                Ok(version) => {
                    let versions: Vec<&str> =
                        due.stored.versions.iter().map(|v| v.as_str()).collect();
                    let mut event = Event::new("versions-stored")
                        .with("service", &due.service)
                        .with("versions", versions.join(","));
                    if let Some(shares) = &due.stored.shares {
                        event = event
                            .with("table", shares.in_use)
                            .with("tables", shares.tables.len())
                            .with("complete", shares.is_complete);
                    }
                    cx.event(event);
                    let stored = Some((due.stored, version));
                    cx.with_gateway(|gateway, now| {
                        gateway.on_stored_versions(now, due.service, stored);
                    });
                }
                Err(cause) => {
                    cx.event(
                        Event::new("versions-not-stored")
                            .with("service", &due.service)
                            .with("cause", cause),
                    );
                    sleep(WRITE_RETRY_DELAY).await;
                }
            }
        }
    }
}

async fn swap(store: &Store, due: &VersionsWrite) -> Result<StoreVersion, &'static str> {
    let mut reply = swap_at(store, due, due.expected).await?;
    // An unreadable value counts as none, so that nobody else replaces it.
    if let Ok(StoreReply::Conflict {
        current: Some(current),
    }) = &reply
        && stored_versions(current).is_some_and(|(_, stored)| stored.is_err())
    {
        reply = swap_at(store, due, Some(current.version)).await?;
    }
    match reply {
        Ok(StoreReply::Swapped { version }) => Ok(version),
        Ok(StoreReply::Conflict { .. }) => Err("another daemon came first"),
        _ => Err("not-written"),
    }
}

async fn swap_at(
    store: &Store,
    due: &VersionsWrite,
    expected: Option<StoreVersion>,
) -> Result<StoreOutcome, &'static str> {
    let key: StoreKey = format!("{PREFIX}{}", due.service)
        .parse()
        .map_err(|_| "the service's name does not fit into a key")?;
    let value = serde_json::to_vec(&due.stored).map_err(|_| "not-encoded")?;
    let swap = StoreCall::Swap {
        key,
        expected,
        value: Some(value),
        lease: None,
    };
    Ok(store.call(swap).await)
}
