//! Daemons in processes of their own: one is killed, the other answers and stops as planned.

#[path = "support/fleet.rs"]
mod fleet;

use std::net::SocketAddr;
use std::process::{Command, ExitStatus};
use std::time::{Duration, Instant};

use awc::Client;
use laburnumstall_core::request::Dialect;
use laburnumstall_standins::engine::{EngineSpec, EngineStandIn, expected_answer};
use serde_json::Value;

use fleet::{CUSTOMER_KEY, Fleet, LOOK, PATIENCE, Process, SERVICE, chat};

/// Tokens of an answer that is under way when its owner is killed.
const LONG: u64 = 400;

fn engine() -> EngineStandIn {
    let spec = EngineSpec {
        services: vec![SERVICE.parse().unwrap()],
        token_period: Duration::from_millis(5),
        ..EngineSpec::new("engine-0".parse().unwrap())
    };
    EngineStandIn::start(spec).unwrap()
}

fn client() -> Client {
    Client::builder().timeout(PATIENCE).finish()
}

/// Calls until the daemon has an endpoint for the service.
async fn ask(address: SocketAddr, body: &Value) -> Option<String> {
    let began = Instant::now();
    let url = format!("http://{address}/v1/chat/completions");
    while began.elapsed() < PATIENCE {
        let call = client()
            .post(&url)
            .bearer_auth(CUSTOMER_KEY)
            .send_json(body);
        if let Ok(mut answer) = call.await
            && answer.status().is_success()
        {
            let whole: Value = answer.json().await.unwrap();
            let text = whole.pointer("/choices/0/message/content")?;
            return text.as_str().map(str::to_owned);
        }
        tokio::time::sleep(LOOK).await;
    }
    None
}

/// Begins a stream, and returns its name once the first bytes came.
async fn begin(address: SocketAddr, body: &Value) -> String {
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

/// Reads the whole answer of a request from a daemon.
async fn attach(address: SocketAddr, name: &str) -> (String, bool) {
    let url = format!("http://{address}/v1/requests/{name}");
    let began = Instant::now();
    loop {
        let call = client().get(&url).bearer_auth(CUSTOMER_KEY).send();
        if let Ok(mut answer) = call.await
            && answer.status().is_success()
        {
            let body = answer.body().limit(1 << 22).await.unwrap();
            let body = String::from_utf8(body.to_vec()).unwrap();
            return stream_text(&body);
        }
        assert!(began.elapsed() < PATIENCE, "{name} is not answered");
        tokio::time::sleep(LOOK).await;
    }
}

/// Asks a process to stop, and returns how it exited.
async fn terminate(process: &mut Process) -> ExitStatus {
    let number = process.child.id().to_string();
    let told = Command::new("kill").args(["-TERM", &number]).status();
    assert!(told.expect("the signal is sent").success());
    let began = Instant::now();
    loop {
        let ended = process.child.try_wait();
        if let Some(status) = ended.expect("a child can be waited for") {
            return status;
        }
        assert!(began.elapsed() < PATIENCE, "the daemon does not stop");
        tokio::time::sleep(LOOK).await;
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

/// Fails without both calls of `tick_copies`, which take requests over, and without
/// `ExitCode::SUCCESS` for `ExitReason::Finished` in the daemon's `main`.
#[actix_rt::test]
async fn the_other_process_answers_and_stops_as_planned() {
    let engine = engine();
    let mut fleet = Fleet::start(&[engine.address()]).await;
    let addresses = [fleet.processes[0].callers, fleet.processes[1].callers];
    for address in addresses {
        let body = chat(&format!("shelf mark at {address}"), 12, false);
        assert_eq!(ask(address, &body).await, expected(&body));
    }
    let body = chat("the whole index", LONG, true);
    let name = begin(addresses[0], &body).await;
    fleet.processes[0].kill();
    let (text, is_whole) = attach(addresses[1], &name).await;
    assert!(is_whole);
    assert_eq!(Some(text), expected(&body));
    let status = terminate(&mut fleet.processes[1]).await;
    assert_eq!(status.code(), Some(0), "{status}");
    fleet.close();
    engine.close();
}
