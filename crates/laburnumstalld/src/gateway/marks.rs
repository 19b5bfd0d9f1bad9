//! Marks services with several software versions in the key-value store, so that a daemon that
//! has just started knows of versions that are no longer listed.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use laburnumstall_core::ids::ServiceName;
use laburnumstall_core::store::{LeaseId, StoreCall, StoreKey, StoreReply, StoredValue};
use laburnumstall_outside::key_value::KeyValue;
use laburnumstall_platform::store::Store;
use tokio::time::{Instant, sleep};

use super::context::Context;
use super::log::Event;

/// Prefix of the keys of the marks.
const PREFIX: &str = "versions/";
/// Interval of the check whether a service has to be marked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Parts of its lifetime after which a mark is renewed.
const RENEWALS_PER_LIFETIME: u32 = 3;

/// Returns the service that a key marks; `None` for any other key.
pub(super) fn marked_service(value: &StoredValue) -> Option<ServiceName> {
    value.key.as_str().strip_prefix(PREFIX)?.parse().ok()
}

/// Writes and renews the marks that are this daemon's task, until the gateway ends.
pub(super) async fn write(cx: Rc<Context>, store: Rc<Store>) {
    let mut marks: BTreeMap<ServiceName, Mark> = BTreeMap::new();
    let mut known_era = None;
    while !cx.is_ended() {
        sleep(CHECK_INTERVAL).await;
        let (services, lifetime, era) = cx.with_gateway(|gateway, now| {
            (
                gateway.services_to_mark(now),
                gateway.version_history().retention(),
                gateway.store_era(),
            )
        });
        // A lease of an earlier era may have been granted to another daemon since.
        if std::mem::replace(&mut known_era, era) != era {
            marks.clear();
        }
        marks.retain(|service, _| services.contains(service));
        for service in services {
            let known = marks.get(&service);
            if known
                .is_some_and(|mark| mark.renewed_at.elapsed() < lifetime / RENEWALS_PER_LIFETIME)
            {
                continue;
            }
            let lease = known.map(|mark| mark.lease);
            let renewed_at = Instant::now();
            match renew(&store, &service, lease, lifetime).await {
                Ok(lease) => {
                    if known.is_none_or(|mark| mark.lease != lease) {
                        cx.event(Event::new("version-marked").with("service", &service));
                    }
                    marks.insert(service, Mark { lease, renewed_at });
                }
                Err(cause) => {
                    marks.remove(&service);
                    cx.event(
                        Event::new("version-mark-failed")
                            .with("service", &service)
                            .with("cause", cause),
                    );
                }
            }
        }
    }
}

struct Mark {
    lease: LeaseId,
    renewed_at: Instant,
}

/// Renews the lease of a mark, or writes the mark under a new one.
async fn renew(
    store: &Store,
    service: &ServiceName,
    lease: Option<LeaseId>,
    ttl: Duration,
) -> Result<LeaseId, &'static str> {
    if let Some(lease) = lease
        && let Ok(StoreReply::Lease { .. }) = store.call(StoreCall::Renew { lease }).await
    {
        return Ok(lease);
    }
    let key: StoreKey = format!("{PREFIX}{service}")
        .parse()
        .map_err(|_| "the service's name does not fit into a key")?;
    let Ok(StoreReply::Lease { lease, .. }) = store.call(StoreCall::Grant { ttl }).await else {
        return Err("no-lease");
    };
    let Ok(StoreReply::Value(current)) = store.call(StoreCall::Get { key: key.clone() }).await
    else {
        return Err("not-read");
    };
    let swap = StoreCall::Swap {
        key,
        expected: current
            .filter(|stored| stored.value.is_some())
            .map(|stored| stored.version),
        value: Some(b"several".to_vec()),
        lease: Some(lease),
    };
    match store.call(swap).await {
        Ok(StoreReply::Swapped { .. }) => Ok(lease),
        _ => Err("not-written"),
    }
}
