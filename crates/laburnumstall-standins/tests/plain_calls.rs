//! The endpoint adapter against the plain stand-in: what ran is told apart from what may
//! have run and what did not.

use std::sync::Arc;
use std::time::Duration;

use laburnumstall_core::request::{AnswerEvent, Dialect, Request};
use laburnumstall_outside::endpoint::{
    AttemptFailure, EndpointCall, EndpointClient, EndpointEvent, HttpEndpointClient,
};
use laburnumstall_standins::plain::{PlainFaults, PlainStandIn, expected_plain_answer};
use laburnumstall_standins::sample;
use tokio::sync::mpsc;

const PATH: &str = "/orders/dispose?box=7";

fn call(service: &PlainStandIn, body: &str) -> EndpointCall {
    let request = Request {
        method: "PUT".into(),
        path: PATH.into(),
        key: Some("key-1".parse().unwrap()),
        idempotent: false,
        ..sample::request(Dialect::Plain, body)
    };
    sample::call(service.address(), request)
}

fn client() -> HttpEndpointClient {
    let timeout = Duration::from_secs(5);
    HttpEndpointClient::new(timeout, timeout, |_| {})
}

async fn run(call: EndpointCall) -> Vec<EndpointEvent> {
    run_with(&client(), call).await
}

async fn run_with(client: &HttpEndpointClient, call: EndpointCall) -> Vec<EndpointEvent> {
    let (tx, mut rx) = mpsc::channel(1000);
    client.run(call, tx).await;
    let mut events = Vec::new();
    while let Some(event) = rx.recv().await {
        events.push(event);
    }
    events
}

fn answer(status: u16, text: &str) -> Vec<EndpointEvent> {
    let head = AnswerEvent::Head {
        status,
        content_type: "text/plain; charset=utf-8".into(),
    };
    let text = text.into();
    let finish = "stop".into();
    let pieces = [
        head,
        AnswerEvent::Chunk { text, tokens: 0 },
        AnswerEvent::End { finish },
    ];
    let answers = pieces
        .into_iter()
        .map(|event| EndpointEvent::Answer { index: None, event });
    std::iter::once(EndpointEvent::Sent)
        .chain(answers)
        .collect()
}

#[actix_rt::test]
async fn answers_are_relayed() {
    let service = PlainStandIn::start(false).unwrap();
    let expected = expected_plain_answer("PUT", PATH, "box 7 ä");
    assert_eq!(run(call(&service, "box 7 ä")).await, answer(200, &expected));
    service.set_faults(PlainFaults {
        status: Some(422),
        ..PlainFaults::default()
    });
    assert_eq!(run(call(&service, "box 7 ä")).await, answer(422, &expected));
    assert_eq!(service.runs().total, 2);
    assert_eq!(service.runs().by_key["key-1"], 2);
    service.close();
}

#[actix_rt::test]
async fn checked_key_runs_once() {
    let service = PlainStandIn::start(true).unwrap();
    let first = run(call(&service, "a")).await;
    assert_eq!(run(call(&service, "a")).await, first);
    assert_eq!(service.runs().total, 1);
    service.close();
}

/// Fails when `response_failure` in `endpoint/relay.rs` counts a closed connection as not sent.
#[actix_rt::test]
async fn reset_does_not_tell_whether_it_ran() {
    let service = PlainStandIn::start(false).unwrap();
    let faults = [
        PlainFaults {
            resets_after_run: 1,
            ..PlainFaults::default()
        },
        PlainFaults {
            resets_before_run: 1,
            ..PlainFaults::default()
        },
    ];
    for (faults, runs) in faults.into_iter().zip([1, 1]) {
        service.set_faults(faults);
        let events = run(call(&service, "a")).await;
        assert_eq!(events[0], EndpointEvent::Sent);
        let last = events.last();
        let is_reset = matches!(
            last,
            Some(EndpointEvent::Failed(AttemptFailure::Reset { .. }))
        );
        assert!(is_reset, "{events:?}");
        assert_eq!(service.runs().total, runs);
    }
    service.close();
}

#[actix_rt::test]
async fn refused_connection_is_not_sent() {
    let service = PlainStandIn::start(false).unwrap();
    service.crash();
    let events = run(call(&service, "a")).await;
    let [EndpointEvent::Failed(failure)] = &events[..] else {
        panic!("{events:?}");
    };
    assert!(failure.is_not_sent(), "{failure}");
    service.resume().unwrap();
    assert_eq!(run(call(&service, "a")).await.len(), 4);
    assert_eq!(service.runs().total, 1);
    service.close();
}

/// Fails when `connections_for` in `endpoint/http.rs` takes the pool in every case, or when
/// `drop_connections` does nothing.
#[actix_rt::test]
async fn connections_are_pooled_or_new() {
    let service = PlainStandIn::start(false).unwrap();
    let client = client();
    let mut idempotent = call(&service, "a");
    Arc::get_mut(&mut idempotent.request).unwrap().idempotent = true;
    for _ in 0..3 {
        assert_eq!(run_with(&client, idempotent.clone()).await.len(), 4);
    }
    assert_eq!(service.gate().accepted(), 1);
    client.drop_connections(service.address());
    run_with(&client, idempotent).await;
    assert_eq!(service.gate().accepted(), 2);
    for _ in 0..3 {
        run_with(&client, call(&service, "a")).await;
    }
    assert_eq!(service.gate().accepted(), 5);
    service.close();
}
