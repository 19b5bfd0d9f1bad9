//! An engine's control interface: load with a lag, cache events with gaps, orders with and
//! without a check of the fencing number, priorities.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use laburnumstall_core::cloud::{EndpointOrder, LoadOrder, OrderReply};
use laburnumstall_core::ids::FencingToken;
use laburnumstall_core::request::{Dialect, Request, prefix_blocks};
use laburnumstall_core::units::{Priority, Tokens};
use laburnumstall_outside::endpoint::{
    CacheChange, EndpointCall, EndpointClient, EndpointEvent, HttpEndpointClient, prompt_text,
};
use laburnumstall_standins::engine::{EngineSpec, EngineStandIn};
use laburnumstall_standins::sample::{self, attempt};
use tokio::sync::mpsc;

const PROMPT_BYTES: usize = 4_096;

fn spec() -> EngineSpec {
    EngineSpec::new("e".parse().unwrap())
}

fn client() -> HttpEndpointClient {
    let timeout = Duration::from_secs(5);
    HttpEndpointClient::new(timeout, timeout, |_| {})
}

fn body(fill: &str) -> serde_json::Value {
    let prompt = fill.repeat(PROMPT_BYTES / fill.len());
    serde_json::json!({ "model": "m", "prompt": prompt, "max_tokens": 2 })
}

fn call(engine: &EngineStandIn, number: u32, fill: &str, priority: u64) -> EndpointCall {
    let request = Request {
        priority: Priority(priority),
        ..sample::request(Dialect::Completion, &body(fill).to_string())
    };
    EndpointCall {
        attempt: attempt(number),
        ..sample::call(engine.address(), request)
    }
}

async fn run(client: &HttpEndpointClient, call: EndpointCall) {
    let (tx, mut rx) = mpsc::channel(100);
    client.run(call, tx).await;
    while let Some(event) = rx.recv().await {
        assert!(!matches!(event, EndpointEvent::Failed(_)), "{event:?}");
    }
}

fn order(id: &str, fencing: u64, services: &[&str]) -> EndpointOrder {
    let load = |service: &&str| LoadOrder {
        service: service.parse().unwrap(),
        model: "m".parse().unwrap(),
        adapter: None,
        version: "1".parse().unwrap(),
    };
    EndpointOrder {
        id: id.parse().unwrap(),
        endpoint: "e".parse().unwrap(),
        fencing: FencingToken(fencing),
        loads: services.iter().map(load).collect(),
    }
}

#[actix_rt::test]
async fn fencing_checked_or_not() {
    for checks_fencing in [true, false] {
        let spec = EngineSpec {
            checks_fencing,
            ..spec()
        };
        let engine = EngineStandIn::start(spec).unwrap();
        let client = client();
        let new = client
            .order(engine.address(), &order("o-2", 2, &["a"]))
            .await;
        assert_eq!(new, Ok(OrderReply::Accepted));
        let repeated = client
            .order(engine.address(), &order("o-2", 2, &["a"]))
            .await;
        assert_eq!(repeated, Ok(OrderReply::Accepted));
        let old = client
            .order(engine.address(), &order("o-1", 1, &["b"]))
            .await;
        let expected = match checks_fencing {
            true => (OrderReply::Fenced, 1),
            false => (OrderReply::Accepted, 2),
        };
        assert_eq!((old.unwrap(), engine.orders().len()), expected);
        engine.close();
    }
}

#[actix_rt::test]
async fn order_changes_the_load() {
    let engine = EngineStandIn::start(spec()).unwrap();
    let client = client();
    let order = order("o-1", 1, &["a", "b"]);
    client.order(engine.address(), &order).await.unwrap();
    loop {
        let load = client.load(engine.address()).await.unwrap();
        if load.services.len() == 2 {
            break;
        }
    }
    engine.close();
}

#[actix_rt::test]
async fn load_lags() {
    let spec = EngineSpec {
        load_lag: Duration::from_secs(3_600),
        ..spec()
    };
    let engine = EngineStandIn::start(spec).unwrap();
    let client = client();
    run(&client, call(&engine, 1, "lag ", 0)).await;
    let first = client.load(engine.address()).await.unwrap();
    run(&client, call(&engine, 2, "lag ", 0)).await;
    let second = client.load(engine.address()).await.unwrap();
    assert_eq!((first.sequence, second.sequence), (1, 1));
    engine.close();
}

#[actix_rt::test]
async fn cache_is_bounded_and_events_have_gaps() {
    let spec = EngineSpec {
        cache_blocks: PROMPT_BYTES / 256,
        lost_cache_event: 3,
        ..spec()
    };
    let engine = EngineStandIn::start(spec).unwrap();
    let client = client();
    for (number, fill) in [(1, "a"), (2, "a"), (3, "b"), (4, "a")] {
        run(&client, call(&engine, number, fill, 0)).await;
    }
    let prompt = Tokens(PROMPT_BYTES as u64 / 4);
    let counts = engine.counts();
    assert_eq!(
        (counts.spared, counts.prefilled),
        (prompt, Tokens(3 * prompt.0))
    );
    let page = client.cache_events(engine.address(), 0).await.unwrap();
    let seen: BTreeMap<_, _> = page
        .events
        .iter()
        .map(|event| (event.sequence, event.change))
        .collect();
    // Stored a, stored b, evicted a (lost), stored a, evicted b.
    let stored = CacheChange::Stored;
    let expected = [
        (1, stored),
        (2, stored),
        (4, stored),
        (5, CacheChange::Evicted),
    ];
    assert_eq!(seen, BTreeMap::from(expected));
    let text = prompt_text(Dialect::Completion, &body("a"));
    assert_eq!(page.events[0].blocks, prefix_blocks("m", text.as_bytes()));
    let rest = client.cache_events(engine.address(), 4).await.unwrap();
    assert_eq!((rest.newest, rest.events.len()), (5, 1));
    engine.close();
}

/// A stream that holds the only place is cancelled once two others wait.
#[actix_rt::test]
async fn priority_goes_first() {
    let spec = EngineSpec { batch: 1, ..spec() };
    let engine = EngineStandIn::start(spec).unwrap();
    let client = client();
    let (ended, mut order) = mpsc::channel(2);
    let waits_behind = async |number: u32, priority: u64| {
        while engine.counts().streams < u64::from(number) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        run(&client, call(&engine, number + 1, "p", priority)).await;
        ended.send(number + 1).await.unwrap();
    };
    let holder = async {
        let (tx, mut rx) = mpsc::channel(1);
        let mut call = call(&engine, 1, "p", 0);
        let mut endless = body("p");
        endless["max_tokens"] = serde_json::json!(1_000_000);
        Arc::get_mut(&mut call.request).unwrap().body = endless.to_string().into_bytes().into();
        let wait = async {
            while engine.counts().streams < 3 {
                rx.recv().await.unwrap();
            }
            client.cancel(engine.address(), &attempt(1)).await.unwrap();
            drop(rx);
        };
        tokio::join!(client.run(call, tx), wait);
    };
    tokio::join!(holder, waits_behind(1, 0), waits_behind(2, 9));
    assert_eq!((order.recv().await, order.recv().await), (Some(3), Some(2)));
    engine.close();
}
