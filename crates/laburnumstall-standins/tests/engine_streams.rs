//! The endpoint adapter against the engine stand-in: whole answers, continued ones, and
//! each way to lose one.

use std::time::Duration;

use laburnumstall_core::ids::EventIndex;
use laburnumstall_core::request::{AnswerEvent, Dialect};
use laburnumstall_core::units::Tokens;
use laburnumstall_outside::endpoint::{
    AttemptFailure, EndpointCall, EndpointClient, EndpointEvent, HttpEndpointClient, StreamAttach,
};
use laburnumstall_standins::engine::{
    EngineFaults, EngineSpec, EngineStandIn, expected_answer, expected_tokens,
};
use laburnumstall_standins::sample::{self, attempt};
use tokio::sync::mpsc;

const CHANNEL: usize = 4;
const TOKENS: u64 = 40;
const REMAINING: Duration = Duration::from_secs(20);

fn chat_body(text: &str) -> String {
    let message = serde_json::json!({ "role": "user", "content": text });
    let body = serde_json::json!({ "model": "m", "messages": [message], "max_tokens": TOKENS });
    body.to_string()
}

fn completion_body(text: &str) -> String {
    serde_json::json!({ "model": "m", "prompt": text, "max_tokens": TOKENS }).to_string()
}

fn call(engine: &EngineStandIn, dialect: Dialect, body: &str) -> EndpointCall {
    sample::call(engine.address(), sample::request(dialect, body))
}

fn engine() -> EngineStandIn {
    EngineStandIn::start(EngineSpec::new("e".parse().unwrap())).unwrap()
}

fn client() -> HttpEndpointClient {
    let timeout = Duration::from_secs(2);
    HttpEndpointClient::new(timeout, timeout, |_| {})
}

/// An answer, taken apart.
#[derive(Debug, Default, PartialEq)]
struct Answer {
    sent: u32,
    text: String,
    tokens: u64,
    last_index: Option<EventIndex>,
    finish: Option<String>,
    failure: Option<AttemptFailure>,
}

impl Answer {
    fn add(&mut self, event: EndpointEvent) {
        match event {
            EndpointEvent::Sent => self.sent += 1,
            EndpointEvent::Failed(failure) => self.failure = Some(failure),
            EndpointEvent::Answer { index, event } => {
                self.last_index = index.or(self.last_index);
                self.tokens += u64::from(event.tokens());
                match event {
                    AnswerEvent::Chunk { text, .. } => self.text.push_str(&text),
                    AnswerEvent::End { finish } => self.finish = Some(finish.to_string()),
                    other => panic!("unexpected {other:?}"),
                }
            }
        }
    }
}

async fn collect(client: &HttpEndpointClient, call: EndpointCall) -> Answer {
    let (tx, mut rx) = mpsc::channel(CHANNEL);
    let mut answer = Answer::default();
    let read = async {
        while let Some(event) = rx.recv().await {
            answer.add(event);
        }
    };
    tokio::join!(client.run(call, tx), read);
    answer
}

/// Reads until `chunks` chunks came, then drops the receiver.
async fn read_some(client: &HttpEndpointClient, call: EndpointCall, chunks: u64) -> Answer {
    let (tx, mut rx) = mpsc::channel(CHANNEL);
    let mut answer = Answer::default();
    let read = async {
        while answer.tokens < chunks {
            answer.add(rx.recv().await.unwrap());
        }
        drop(rx);
    };
    tokio::join!(client.run(call, tx), read);
    answer
}

#[actix_rt::test]
async fn whole_answer() {
    let engine = engine();
    for (dialect, body) in [
        (Dialect::Chat, chat_body("how long is a will kept?")),
        (Dialect::Completion, completion_body("retention of")),
    ] {
        let mut call = call(&engine, dialect, &body);
        call.attempt = attempt(dialect as u32 + 1);
        let answer = collect(&client(), call).await;
        let expected = expected_answer(dialect, body.as_bytes()).unwrap();
        assert_eq!(answer.text, expected);
        assert_eq!((answer.sent, answer.tokens), (1, TOKENS));
        assert_eq!(answer.finish.as_deref(), Some("length"));
        assert_eq!(answer.failure, None);
    }
    engine.close();
}

/// Fails when `continue_after` in `endpoint/body.rs` does nothing.
#[actix_rt::test]
async fn continues_elsewhere() {
    for (dialect, body) in [
        (Dialect::Chat, chat_body("draft a quotation")),
        (Dialect::Completion, completion_body("billet re:12 of")),
    ] {
        let (first, second) = (engine(), engine());
        let client = client();
        let begun = read_some(&client, call(&first, dialect, &body), 7).await;
        let mut rest = call(&second, dialect, &body);
        rest.generated = begun.text.as_str().into();
        rest.generated_tokens = Tokens(begun.tokens);
        let rest = collect(&client, rest).await;
        let expected = expected_answer(dialect, body.as_bytes()).unwrap();
        assert_eq!(begun.text + &rest.text, expected);
        assert_eq!(begun.tokens + rest.tokens, TOKENS);
        assert_eq!(second.counts().continued, 1);
        first.close();
        second.close();
    }
}

#[actix_rt::test]
async fn attaches_on_new_connection() {
    let engine = engine();
    let client = client();
    let body = chat_body("schedule");
    let begun = read_some(&client, call(&engine, Dialect::Chat, &body), 5).await;
    engine.gate().silence_existing();
    let stream = StreamAttach {
        attempt: attempt(1),
        address: engine.address(),
        after: begun.last_index,
        received: Tokens(begun.tokens),
        remaining: REMAINING,
    };
    let (tx, mut rx) = mpsc::channel(1000);
    client.attach(stream, tx).await;
    let mut rest = Answer::default();
    while let Some(event) = rx.recv().await {
        rest.add(event);
    }
    let expected = expected_answer(Dialect::Chat, body.as_bytes()).unwrap();
    assert_eq!(begun.text + &rest.text, expected);
    assert_eq!(begun.tokens + rest.tokens, TOKENS);
    let counts = engine.counts();
    assert_eq!((counts.streams, counts.attached), (1, 1));
    engine.close();
}

#[actix_rt::test]
async fn crash_is_reset_then_not_sent() {
    let engine = engine();
    engine.set_faults(EngineFaults {
        crash_marker: Some("poison".into()),
        ..EngineFaults::default()
    });
    let client = client();
    let body = chat_body("this is poison");
    let crashed = collect(&client, call(&engine, Dialect::Chat, &body)).await;
    let failure = crashed.failure;
    assert!(
        matches!(failure, Some(AttemptFailure::Reset { .. })),
        "{failure:?}"
    );
    assert_eq!((crashed.sent, engine.counts().crashes), (1, 1));
    assert!(engine.is_crashed());
    let refused = collect(&client, call(&engine, Dialect::Chat, &body)).await;
    let failure = refused.failure;
    assert!(
        matches!(failure, Some(AttemptFailure::NotSent { .. })),
        "{failure:?}"
    );
    assert_eq!(refused.sent, 0);
    engine.restart().unwrap();
    let harmless = chat_body("harmless");
    let answer = collect(&client, call(&engine, Dialect::Chat, &harmless)).await;
    assert_eq!(answer.failure, None);
    engine.close();
}

#[actix_rt::test]
async fn truncated_stream_is_no_answer() {
    let engine = engine();
    engine.set_faults(EngineFaults {
        truncate_after: Some(6),
        ..EngineFaults::default()
    });
    let body = chat_body("x");
    let answer = collect(&client(), call(&engine, Dialect::Chat, &body)).await;
    let tokens = expected_tokens(Dialect::Chat, body.as_bytes()).unwrap();
    assert_eq!(answer.text, tokens[..6].concat());
    assert_eq!(answer.finish, None);
    let failure = answer.failure;
    assert!(
        matches!(failure, Some(AttemptFailure::Reset { .. })),
        "{failure:?}"
    );
    engine.close();
}

#[actix_rt::test]
async fn leaving_and_frozen() {
    let engine = engine();
    let client = client();
    let body = chat_body("x");
    engine.set_faults(EngineFaults {
        is_leaving: true,
        ..EngineFaults::default()
    });
    let refused = collect(&client, call(&engine, Dialect::Chat, &body)).await;
    let failure = refused.failure;
    assert!(
        matches!(failure, Some(AttemptFailure::Status { status: 503, .. })),
        "{failure:?}"
    );
    engine.gate().silence_all();
    let mut short = call(&engine, Dialect::Chat, &body);
    short.remaining = Duration::from_secs(1);
    let silent = collect(&client, short).await;
    assert_eq!(silent.failure, Some(AttemptFailure::TimedOut));
    assert_eq!(silent.sent, 1);
    engine.gate().end_silence();
    assert_eq!(client.probe(engine.address()).await, Ok(()));
    engine.close();
}

#[actix_rt::test]
async fn cancel_frees_the_batch() {
    let spec = EngineSpec {
        batch: 1,
        token_period: Duration::from_millis(50),
        ..EngineSpec::new("e".parse().unwrap())
    };
    let engine = EngineStandIn::start(spec).unwrap();
    let client = client();
    let body = chat_body("long");
    read_some(&client, call(&engine, Dialect::Chat, &body), 1).await;
    client.cancel(engine.address(), &attempt(1)).await.unwrap();
    assert_eq!(engine.counts().cancelled, 1);
    let mut next = call(&engine, Dialect::Chat, &body);
    next.attempt = attempt(2);
    let begun = read_some(&client, next, 1).await;
    assert_eq!(begun.tokens, 1);
    engine.close();
}
