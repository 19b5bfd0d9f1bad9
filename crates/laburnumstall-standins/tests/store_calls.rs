//! The key-value adapter against its stand-in: every call, and every way to lose a reply.

use std::time::Duration;

use laburnumstall_core::store::{
    StoreCall, StoreFailure, StoreKey, StoreOutcome, StoreReply, StoreVersion, StoredValue,
};
use laburnumstall_outside::http::HttpSettings;
use laburnumstall_outside::key_value::{HttpKeyValue, KeyValue};
use laburnumstall_standins::key_value::KeyValueStandIn;

const WAIT: Duration = Duration::from_secs(10);

fn key(text: &str) -> StoreKey {
    text.parse().unwrap()
}

fn swap(name: &str, expected: Option<StoreVersion>, value: &[u8]) -> StoreCall {
    StoreCall::Swap {
        key: key(name),
        expected,
        value: Some(value.to_vec()),
        lease: None,
    }
}

fn stored(name: &str, value: &[u8], version: u64) -> StoredValue {
    StoredValue {
        key: key(name),
        value: Some(value.to_vec()),
        version: StoreVersion(version),
    }
}

fn start() -> (KeyValueStandIn, HttpKeyValue) {
    let store = KeyValueStandIn::start().unwrap();
    let client = HttpKeyValue::new(HttpSettings::new(store.address()));
    (store, client)
}

async fn get(client: &HttpKeyValue, name: &str) -> StoreOutcome {
    client.call(StoreCall::Get { key: key(name) }).await
}

#[actix_rt::test]
async fn swap_compares_versions() {
    let (store, client) = start();
    let version = StoreVersion(1);
    let first = client.call(swap("a/1", None, b"x")).await;
    assert_eq!(first, Ok(StoreReply::Swapped { version }));
    let current = Some(stored("a/1", b"x", 1));
    let second = client.call(swap("a/1", None, b"y")).await;
    assert_eq!(second, Ok(StoreReply::Conflict { current }));
    let binary = [0, 159, 255];
    let third = client.call(swap("a/1", Some(version), &binary)).await;
    let version = StoreVersion(2);
    assert_eq!(third, Ok(StoreReply::Swapped { version }));
    let read = get(&client, "a/1").await;
    assert_eq!(read, Ok(StoreReply::Value(Some(stored("a/1", &binary, 2)))));
    let counts = store.counts();
    assert_eq!((counts.reads, counts.writes, counts.watches), (1, 3, 0));
    store.close();
}

#[actix_rt::test]
async fn lease_end_deletes_and_wakes_watch() {
    let (store, client) = start();
    let ttl = Duration::from_secs(600);
    let granted = client.call(StoreCall::Grant { ttl }).await;
    let Ok(StoreReply::Lease { lease, .. }) = granted else {
        panic!("no lease: {granted:?}");
    };
    let bound = StoreCall::Swap {
        key: key("entries/a"),
        expected: None,
        value: Some(b"here".to_vec()),
        lease: Some(lease),
    };
    client.call(bound).await.unwrap();
    let watch = client.call(StoreCall::Watch {
        prefix: key("entries/"),
        after: StoreVersion(1),
        wait: WAIT,
    });
    let expire = async {
        while store.counts().watches == 0 {
            tokio::task::yield_now().await;
        }
        store.expire(lease);
    };
    let (changes, ()) = tokio::join!(watch, expire);
    let deleted = StoredValue {
        value: None,
        ..stored("entries/a", b"", 2)
    };
    let version = StoreVersion(2);
    let values = vec![deleted];
    assert_eq!(changes, Ok(StoreReply::Changes { values, version }));
    let renewed = client.call(StoreCall::Renew { lease }).await;
    assert_eq!(renewed, Ok(StoreReply::LeaseGone));
    store.close();
}

/// Fails when `HttpKeyValue::call` in `key_value/http.rs` reports a lost write as without effect.
#[actix_rt::test]
async fn lost_reply_is_unknown() {
    let (store, client) = start();
    store.lose_replies(1);
    let lost = client.call(swap("k", None, b"mine")).await;
    assert_eq!(lost, Err(StoreFailure::Unknown));
    let read = get(&client, "k").await;
    assert_eq!(read, Ok(StoreReply::Value(Some(stored("k", b"mine", 1)))));
    store.close();
}

#[actix_rt::test]
async fn refusals_are_without_effect() {
    let (store, client) = start();
    store.set_refusing(true);
    let refused = client.call(swap("k", None, b"x")).await;
    assert_eq!(refused, Err(StoreFailure::Unavailable));
    store.set_refusing(false);
    assert_eq!(get(&client, "k").await, Ok(StoreReply::Value(None)));
    store.crash();
    // A new client has no open connection, so that the refusal is certain.
    let client = HttpKeyValue::new(HttpSettings::new(store.address()));
    let down = client.call(swap("k", None, b"x")).await;
    assert_eq!(down, Err(StoreFailure::Unavailable));
    store.resume().unwrap();
    assert_eq!(get(&client, "k").await, Ok(StoreReply::Value(None)));
    store.close();
}

/// Two connections are pooled before both go silent. Fails when `JsonClient::call` in
/// `http.rs` keeps its pool after a timeout.
#[actix_rt::test]
async fn silent_connection_is_replaced() {
    let (store, _) = start();
    let settings = HttpSettings {
        timeout: Duration::from_secs(1),
        ..HttpSettings::new(store.address())
    };
    let client = HttpKeyValue::new(settings);
    store.gate().set_delay(Duration::from_millis(20));
    let both = tokio::join!(get(&client, "k"), get(&client, "k"));
    let absent = Ok(StoreReply::Value(None));
    assert_eq!(both, (absent.clone(), absent));
    store.gate().set_delay(Duration::ZERO);
    assert_eq!(store.gate().accepted(), 2);
    store.gate().silence_existing();
    let silent = client.call(swap("k", None, b"x")).await;
    assert_eq!(silent, Err(StoreFailure::Unknown));
    assert_eq!(get(&client, "k").await, Ok(StoreReply::Value(None)));
    store.close();
}

#[actix_rt::test]
async fn restore_goes_back() {
    let (store, client) = start();
    client.call(swap("k", None, b"old")).await.unwrap();
    let snapshot = store.snapshot();
    let newer = swap("k", Some(StoreVersion(1)), b"new");
    client.call(newer).await.unwrap();
    store.restore(snapshot);
    let read = get(&client, "k").await;
    assert_eq!(read, Ok(StoreReply::Value(Some(stored("k", b"old", 1)))));
    let version = StoreVersion(1);
    let values = Vec::new();
    let nothing = StoreReply::Changes { values, version };
    assert_eq!(changes_after(&client, 2).await, Ok(nothing));
    store.close();
}

#[actix_rt::test]
async fn silent_watch_reports_nothing() {
    let (store, client) = start();
    client.call(swap("k", None, b"x")).await.unwrap();
    let version = StoreVersion(1);
    for (is_silent, values) in [(true, vec![]), (false, vec![stored("k", b"x", 1)])] {
        store.set_watches_silent(is_silent);
        let expected = StoreReply::Changes { values, version };
        assert_eq!(changes_after(&client, 0).await, Ok(expected));
    }
    store.close();
}

async fn changes_after(client: &HttpKeyValue, version: u64) -> StoreOutcome {
    let watch = StoreCall::Watch {
        prefix: key("k"),
        after: StoreVersion(version),
        wait: Duration::ZERO,
    };
    client.call(watch).await
}
