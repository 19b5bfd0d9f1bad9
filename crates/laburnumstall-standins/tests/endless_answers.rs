//! Answers without an end, from servers that write as fast as they are read.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use laburnumstall_core::request::Dialect;
use laburnumstall_outside::endpoint::{
    AttemptFailure, EndpointClient, EndpointEvent, HttpEndpointClient,
};
use laburnumstall_standins::sample;
use tokio::sync::mpsc;
use tokio::time::sleep;

const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// Attempts at the same time.
const ATTEMPTS: u32 = 8;
/// Time of an attempt.
const REMAINING: Duration = Duration::from_millis(1_000);
/// Time after that within which the attempt has to end, and within which other tasks have to run.
const SLACK: Duration = Duration::from_millis(500);

/// Starts a server that answers with `first`, and then with `rest` again and again.
fn flooding_server(first: &'static str, rest: &'static str) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for io in listener.incoming() {
            let mut io = io.unwrap();
            std::thread::spawn(move || {
                let rest = rest.repeat((64 << 10) / rest.len() + 1);
                let mut is_open = matches!(io.read(&mut [0; 8_192]), Ok(1..))
                    && io.write_all(first.as_bytes()).is_ok();
                while is_open {
                    is_open = io.write_all(rest.as_bytes()).is_ok();
                }
            });
        }
    });
    address
}

/// Runs attempts at a flooding server; returns their failures and the longest time for which no
/// other task of the thread ran.
async fn flood(first: &'static str, rest: &'static str) -> (Vec<AttemptFailure>, Duration) {
    let address = flooding_server(first, rest);
    let client = HttpEndpointClient::new(REMAINING, REMAINING, |_| {});
    let attempts = (1..=ATTEMPTS).map(|number| {
        let mut call = sample::call(address, sample::request(Dialect::Chat, "{}"));
        call.attempt = sample::attempt(number);
        call.remaining = REMAINING;
        let (tx, mut rx) = mpsc::channel(64);
        let client = &client;
        async move {
            let start = Instant::now();
            let mut failure = None;
            let run = client.run(call, tx);
            let receive = async {
                while let Some(event) = rx.recv().await {
                    if let EndpointEvent::Failed(failed) = event {
                        failure = Some(failed);
                    }
                }
            };
            tokio::join!(run, receive);
            assert!(start.elapsed() < REMAINING + SLACK, "{:?}", start.elapsed());
            failure.unwrap()
        }
    });
    let ticker = actix_rt::spawn(async {
        let (start, mut longest) = (Instant::now(), Duration::ZERO);
        while start.elapsed() < REMAINING {
            let tick = Instant::now();
            sleep(Duration::from_millis(10)).await;
            longest = longest.max(tick.elapsed());
        }
        longest
    });
    let failures = join_all(attempts).await;
    (failures, ticker.await.unwrap())
}

async fn assert_bounded(first: &'static str, rest: &'static str) -> Vec<AttemptFailure> {
    let (failures, longest) = flood(first, rest).await;
    assert!(longest < SLACK, "no other task ran for {longest:?}");
    failures
}

/// An event in small chunks was read until its limit in one turn, and the deadline was not seen.
#[actix_rt::test]
async fn endless_event_hides_the_deadline() {
    for failure in assert_bounded(STREAM_HEAD, "4\r\nword\r\n").await {
        assert!(
            matches!(
                failure,
                AttemptFailure::Protocol { .. } | AttemptFailure::TimedOut
            ),
            "{failure:?}"
        );
    }
}

/// Comments were read without a limit: nothing of them is an event, so that nothing waited.
#[actix_rt::test]
async fn endless_comments_are_read() {
    let filler = "x".repeat(0x80 - 10);
    for line in [":", "retry:1", "id: word"] {
        let text = format!("{line}{filler}");
        let rest = format!("{:x}\r\n{text}\n\n\r\n", text.len() + 2).leak();
        for failure in assert_bounded(STREAM_HEAD, rest).await {
            assert!(
                matches!(failure, AttemptFailure::Protocol { .. }),
                "{failure:?}"
            );
        }
    }
}

/// Heads that have no end.
#[actix_rt::test]
async fn endless_head_hides_the_deadline() {
    for rest in [
        "HTTP/1.1 102 Processing\r\n\r\n",
        "a: b\r\n",
        "\r\n",
        "word",
    ] {
        assert_bounded("", rest).await;
    }
}

/// Chunk extensions that have no end.
#[actix_rt::test]
async fn endless_extension_hides_the_deadline() {
    assert_bounded(STREAM_HEAD, "1;name=valuevaluevalue\r\n:\r\n").await;
    assert_bounded(STREAM_HEAD, "1;").await;
}
