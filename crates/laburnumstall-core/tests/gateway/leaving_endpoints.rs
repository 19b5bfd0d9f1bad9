//! Endpoints that leave, around outages of the key-value store.

use crate::support::{at, endpoint, gateway};
use laburnumstall_core::gateway::Gateway;

fn is_known(gateway: &Gateway, id: &str) -> bool {
    gateway.endpoints().get(&id.parse().unwrap()).is_some()
}

/// An entry that goes just after an outage is not kept for longer than one that went in it.
#[test]
fn entry_removed_after_outage_kept_past_drain_bound() {
    let mut gateway = gateway(&[
        endpoint("engine-1", "model", "north-a"),
        endpoint("engine-2", "model", "north-a"),
    ]);
    gateway.on_store_failure(at(1_000), "refused");
    gateway.on_store_confirmed(at(8_000), at(8_000));
    gateway.on_endpoint_removed(at(8_800), &"engine-1".parse().unwrap());
    assert!(is_known(&gateway, "engine-1"), "it may register again");
    gateway.tick(at(10_050));
    assert!(!is_known(&gateway, "engine-1"));
}

/// Entries that expired in an outage are removed by the read that ends it.
#[test]
fn expired_entries_removed_by_first_read_after_outage() {
    let mut gateway = gateway(&[
        endpoint("engine-1", "model", "north-a"),
        endpoint("engine-2", "model", "north-a"),
    ]);
    gateway.on_store_failure(at(1_000), "refused");
    gateway.on_endpoint_removed(at(8_000), &"engine-1".parse().unwrap());
    gateway.on_store_confirmed(at(8_000), at(7_990));
    assert!(is_known(&gateway, "engine-1"), "it may register again");
    gateway.tick(at(10_050));
    assert!(!is_known(&gateway, "engine-1"));
}
