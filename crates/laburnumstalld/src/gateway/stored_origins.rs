//! Writes origins of streams to the key-value store, and reads those that are there.

use std::rc::Rc;
use std::time::Duration;

use laburnumstall_core::gateway::{OriginSegment, SegmentFault, SegmentWrite};
use laburnumstall_core::ids::DaemonId;
use laburnumstall_core::store::{
    LeaseId, StoreCall, StoreKey, StoreReply, StoreVersion, StoredValue,
};
use laburnumstall_outside::key_value::KeyValue;
use laburnumstall_platform::store::Store;
use tokio::time::{Instant, sleep, sleep_until};

use super::context::Context;
use super::log::Event;

/// Prefix of the keys of segments.
const PREFIX: &str = "origins/";
/// Time for which origins are collected before a write.
const WRITE_DELAY: Duration = Duration::from_millis(20);
/// Shortest interval of writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(150);
/// Delay before a failed write is repeated.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Returns the segment under a key; `None` for other keys and removed segments.
pub(super) fn stored_segment(value: &StoredValue) -> Option<Result<OriginSegment, SegmentFault>> {
    value.key.as_str().strip_prefix(PREFIX)?;
    Some(OriginSegment::decode(value.value.as_deref()?))
}

/// Returns whether a key is that of a segment.
pub(super) fn is_segment(key: &StoreKey) -> bool {
    key.as_str().starts_with(PREFIX)
}

/// Writes the origins that this daemon has to store, until the gateway ends.
pub(super) async fn write(cx: Rc<Context>, store: Rc<Store>, own: DaemonId) {
    let mut last: Option<(u64, Written)> = None;
    while !cx.is_ended() {
        cx.segment_signal.notified().await;
        sleep(WRITE_DELAY).await;
        let Some(due) = cx.with_gateway(|gateway, now| gateway.segment_to_store(now)) else {
            continue;
        };
        let started_at = Instant::now();
        let number = due.number;
        let known = last.take().filter(|(known, _)| *known == number);
        match write_segment(&store, &own, due, known.map(|(_, written)| written)).await {
            Ok(written) => last = Some((number, written)),
            Err(cause) => {
                cx.event(Event::new("origins-not-stored").with("cause", cause));
                cx.with_gateway(|gateway, now| gateway.on_segment_failed(now, number));
                sleep(WRITE_RETRY_DELAY).await;
            }
        }
        sleep_until(started_at + WRITE_INTERVAL).await;
    }
}

/// Segment in the store.
struct Written {
    lease: LeaseId,
    version: StoreVersion,
}

async fn write_segment(
    store: &Store,
    own: &DaemonId,
    due: SegmentWrite,
    known: Option<Written>,
) -> Result<Written, &'static str> {
    let key = format!("{PREFIX}{own}/{}", due.number);
    let key: StoreKey = key.parse().map_err(|_| "the key is too long")?;
    let lease = match &known {
        Some(known) => known.lease,
        None => {
            let ttl = due.lifetime;
            match store.call(StoreCall::Grant { ttl }).await {
                Ok(StoreReply::Lease { lease, .. }) => lease,
                _ => return Err("no-lease"),
            }
        }
    };
    let swap = StoreCall::Swap {
        key,
        expected: known.map(|known| known.version),
        value: Some(due.segment.encode()),
        lease: Some(lease),
    };
    match store.call(swap).await {
        Ok(StoreReply::Swapped { version }) => Ok(Written { lease, version }),
        _ => Err("not-written"),
    }
}
