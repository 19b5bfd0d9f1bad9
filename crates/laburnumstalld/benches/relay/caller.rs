//! Callers that read streams over plain sockets.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Runtime;

use crate::fleet::{CUSTOMER_KEY, OPERATOR_KEY, PATIENCE, chat};
use crate::source::{FAST, SHORT};

/// Metric of the time that a control thread was not waiting.
const CONTROL_BUSY: &str = "laburnumstall_control_busy_seconds_total";

fn runtime() -> Runtime {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime starts")
}

/// What a caller saw of an answer.
struct Seen {
    first: Duration,
    is_whole: bool,
}

/// Sends a chat and reads its answer to the end mark.
async fn call(address: SocketAddr, tokens: u64) -> std::io::Result<Seen> {
    let body = chat("prompt", tokens, true).to_string();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: relay\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let began = Instant::now();
    stream.write_all((head + &body).as_bytes()).await?;
    let mut buf = vec![0; 1 << 16];
    let mut tail = Vec::new();
    let mut first = None;
    loop {
        let size = stream.read(&mut buf).await?;
        tail.extend_from_slice(&buf[..size]);
        if first.is_none() && holds(&tail, b" word") {
            first = Some(began.elapsed());
        }
        let is_whole = holds(&tail, b"[DONE]");
        if is_whole || size == 0 {
            let first = first.unwrap_or_default();
            return Ok(Seen { first, is_whole });
        }
        // The marks are shorter than what is kept; the head is needed for the first token.
        if first.is_some() && tail.len() > 16 {
            tail.drain(..tail.len() - 16);
        }
    }
}

fn holds(buf: &[u8], mark: &[u8]) -> bool {
    buf.windows(mark.len()).any(|part| part == mark)
}

/// Runs streams at once on a thread; it gives the number of whole answers.
pub(crate) fn spawn(address: SocketAddr, streams: usize, tokens: u64) -> JoinHandle<usize> {
    std::thread::spawn(move || {
        runtime().block_on(async {
            let calls: Vec<_> = (0..streams)
                .map(|_| tokio::spawn(call(address, tokens)))
                .collect();
            let mut whole = 0;
            for call in calls {
                let seen = call.await.expect("a call ends");
                whole += usize::from(seen.is_ok_and(|seen| seen.is_whole));
            }
            whole
        })
    })
}

/// Times the first tokens of short answers that begin one after another.
pub(crate) fn first_tokens(address: SocketAddr, count: usize, period: Duration) -> Vec<Duration> {
    runtime().block_on(async {
        let mut calls = Vec::new();
        for _ in 0..count {
            calls.push(tokio::spawn(call(address, SHORT)));
            tokio::time::sleep(period).await;
        }
        let mut firsts = Vec::new();
        for call in calls {
            let seen = call.await.expect("a call ends").expect("an answer");
            assert!(seen.is_whole, "each timed answer is whole");
            firsts.push(seen.first);
        }
        firsts
    })
}

/// Reads one answer that comes without pauses.
pub(crate) fn fast(address: SocketAddr) {
    let seen = runtime().block_on(call(address, FAST));
    assert!(seen.expect("an answer").is_whole);
}

/// Waits until an address answers a chat.
pub(crate) fn wait_for_answer(address: SocketAddr) {
    let began = Instant::now();
    let is_whole = || {
        runtime()
            .block_on(call(address, SHORT))
            .is_ok_and(|s| s.is_whole)
    };
    while !is_whole() {
        assert!(began.elapsed() < PATIENCE, "no answer");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Returns the time that a daemon's control thread was not waiting so far, in seconds.
pub(crate) fn control_busy(operators: SocketAddr) -> f64 {
    let call = format!(
        "GET /metrics HTTP/1.1\r\nhost: relay\r\nauthorization: Bearer {OPERATOR_KEY}\r\n\
         connection: close\r\n\r\n"
    );
    let page = runtime().block_on(async {
        let mut stream = TcpStream::connect(operators).await?;
        stream.write_all(call.as_bytes()).await?;
        let mut page = String::new();
        stream.read_to_string(&mut page).await?;
        std::io::Result::Ok(page)
    });
    let page = page.expect("the page can be read");
    let line = page.lines().find(|line| line.starts_with(CONTROL_BUSY));
    let value = line.and_then(|line| line.rsplit(' ').next()?.parse().ok());
    value.expect("the page has the time")
}
