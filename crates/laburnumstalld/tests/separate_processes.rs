//! Daemons in separate processes: after one is killed, the other finishes its request and
//! stops gracefully.

#[path = "support/fleet.rs"]
mod fleet;

use std::net::SocketAddr;
use std::process::{Command, ExitStatus};
use std::time::{Duration, Instant};

use awc::Client;
use laburnumstall_core::request::Dialect;
use laburnumstall_standins::engine::{EngineSpec, EngineStandIn, expected_answer};
use serde_json::Value;

use fleet::{CUSTOMER_KEY, Fleet, POLL_PERIOD, Process, SERVICE, TIMEOUT, chat};

/// Tokens of the answer in flight when its owner is killed.
const LONG_ANSWER_TOKENS: u64 = 400;

fn engine() -> EngineStandIn {
    let spec = EngineSpec {
        services: vec![SERVICE.parse().unwrap()],
        token_period: Duration::from_millis(5),
        ..EngineSpec::new("engine-0".parse().unwrap())
    };
    EngineStandIn::start(spec).unwrap()
}

fn client() -> Client {
    Client::builder().timeout(TIMEOUT).finish()
}

/// Retries a chat until the daemon answers it; `None` on a timeout.
async fn chat_answer(address: SocketAddr, body: &Value) -> Option<String> {
    let started = Instant::now();
    let url = format!("http://{address}/v1/chat/completions");
    while started.elapsed() < TIMEOUT {
        let call = client()
            .post(&url)
            .bearer_auth(CUSTOMER_KEY)
            .send_json(body);
        if let Ok(mut answer) = call.await
            && answer.status().is_success()
        {
            let completion: Value = answer.json().await.unwrap();
            let text = completion.pointer("/choices/0/message/content")?;
            return text.as_str().map(str::to_owned);
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
    None
}

/// Starts a stream and returns its request id after the first bytes.
async fn start_stream(address: SocketAddr, body: &Value) -> String {
    let url = format!("http://{address}/v1/chat/completions");
    let call = client().post(url).bearer_auth(CUSTOMER_KEY).send_json(body);
    let mut answer = call.await.unwrap();
    assert!(answer.status().is_success());
    let name = answer.headers().get("x-request-id").unwrap();
    let name = name.to_str().unwrap().to_owned();
    let first = std::future::poll_fn(|cx| {
        let payload = std::pin::Pin::new(&mut answer);
        futures_util::Stream::poll_next(payload, cx)
    });
    assert!(first.await.is_some());
    name
}

/// Attaches to a request and returns the text of its answer, and whether it is complete.
async fn attach(address: SocketAddr, name: &str) -> (String, bool) {
    let url = format!("http://{address}/v1/requests/{name}");
    let started = Instant::now();
    loop {
        let call = client().get(&url).bearer_auth(CUSTOMER_KEY).send();
        if let Ok(mut answer) = call.await
            && answer.status().is_success()
        {
            let body = answer.body().limit(1 << 22).await.unwrap();
            let body = String::from_utf8(body.to_vec()).unwrap();
            return stream_text(&body);
        }
        assert!(started.elapsed() < TIMEOUT, "{name} is not answered");
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// Stops a process by SIGTERM and returns its exit status.
async fn terminate(process: &mut Process) -> ExitStatus {
    let pid = process.child.id().to_string();
    let sent = Command::new("kill").args(["-TERM", &pid]).status();
    assert!(sent.expect("the signal is sent").success());
    let started = Instant::now();
    loop {
        let ended = process.child.try_wait();
        if let Some(status) = ended.expect("a child can be waited for") {
            return status;
        }
        assert!(started.elapsed() < TIMEOUT, "the daemon does not stop");
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

fn stream_text(body: &str) -> (String, bool) {
    let data = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let chunks = data
        .filter(|data| *data != "[DONE]")
        .filter_map(|data| serde_json::from_str::<Value>(data).ok());
    let piece = |chunk: Value| {
        let piece = chunk.pointer("/choices/0/delta/content");
        piece.and_then(Value::as_str).unwrap_or_default().to_owned()
    };
    (chunks.map(piece).collect(), body.contains("data: [DONE]"))
}

fn expected(body: &Value) -> Option<String> {
    expected_answer(Dialect::Chat, body.to_string().as_bytes())
}

/// Fails without either call of `tick_copies`, which takes over requests, or without
/// `ExitCode::SUCCESS` for `ExitReason::Finished` in the daemon's `main`.
#[actix_rt::test]
async fn the_other_process_answers_and_stops_as_planned() {
    let engine = engine();
    let mut fleet = Fleet::start(&[engine.address()]).await;
    let addresses = [fleet.processes[0].callers, fleet.processes[1].callers];
    for address in addresses {
        let body = chat(&format!("shelf mark at {address}"), 12, false);
        assert_eq!(chat_answer(address, &body).await, expected(&body));
    }
    let body = chat("the whole index", LONG_ANSWER_TOKENS, true);
    let name = start_stream(addresses[0], &body).await;
    fleet.processes[0].kill();
    let (text, is_whole) = attach(addresses[1], &name).await;
    assert!(is_whole);
    assert_eq!(Some(text), expected(&body));
    let status = terminate(&mut fleet.processes[1]).await;
    assert_eq!(status.code(), Some(0), "{status}");
    fleet.close();
    engine.close();
}
