//! Callers that read streams over plain TCP sockets.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Runtime;

use crate::fleet::{CUSTOMER_KEY, OPERATOR_KEY, TIMEOUT, chat};
use crate::source::{SHORT_TOKENS, UNPACED_TOKENS};

/// Metric of a control thread's busy time.
const CONTROL_BUSY: &str = "laburnumstall_control_busy_seconds_total";

fn runtime() -> Runtime {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime starts")
}

/// Result of one call.
struct CallResult {
    /// Time to the first token.
    first: Duration,
    is_complete: bool,
}

/// Sends a chat and reads its answer up to the end marker or the end of the connection.
async fn call(address: SocketAddr, tokens: u64) -> std::io::Result<CallResult> {
    let body = chat("prompt", tokens, true).to_string();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: relay\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let started = Instant::now();
    stream.write_all((head + &body).as_bytes()).await?;
    let mut buf = vec![0; 1 << 16];
    let mut tail = Vec::new();
    let mut first = None;
    loop {
        let size = stream.read(&mut buf).await?;
        tail.extend_from_slice(&buf[..size]);
        if first.is_none() && contains(&tail, b" word") {
            first = Some(started.elapsed());
        }
        let is_complete = contains(&tail, b"[DONE]");
        if is_complete || size == 0 {
            let first = first.unwrap_or_default();
            return Ok(CallResult { first, is_complete });
        }
        // Keeps more bytes than the longest marker has, but all of them until the first token.
        if first.is_some() && tail.len() > 16 {
            tail.drain(..tail.len() - 16);
        }
    }
}

fn contains(buf: &[u8], marker: &[u8]) -> bool {
    buf.windows(marker.len()).any(|part| part == marker)
}

/// Runs concurrent streams on a thread that returns the number of complete answers.
pub(crate) fn spawn(address: SocketAddr, streams: usize, tokens: u64) -> JoinHandle<usize> {
    std::thread::spawn(move || {
        runtime().block_on(async {
            let calls: Vec<_> = (0..streams)
                .map(|_| tokio::spawn(call(address, tokens)))
                .collect();
            let mut complete = 0;
            for call in calls {
                let result = call.await.expect("a call ends");
                complete += usize::from(result.is_ok_and(|result| result.is_complete));
            }
            complete
        })
    })
}

/// Measures the time to the first token of short answers started one after another.
pub(crate) fn first_tokens(address: SocketAddr, count: usize, period: Duration) -> Vec<Duration> {
    runtime().block_on(async {
        let mut calls = Vec::new();
        for _ in 0..count {
            calls.push(tokio::spawn(call(address, SHORT_TOKENS)));
            tokio::time::sleep(period).await;
        }
        let mut firsts = Vec::new();
        for call in calls {
            let result = call.await.expect("a call ends").expect("an answer");
            assert!(result.is_complete, "each timed answer is complete");
            firsts.push(result.first);
        }
        firsts
    })
}

/// Reads one unpaced answer.
pub(crate) fn fast(address: SocketAddr) {
    let result = runtime().block_on(call(address, UNPACED_TOKENS));
    assert!(result.expect("an answer").is_complete);
}

/// Waits until the server at an address answers a chat.
pub(crate) fn wait_for_answer(address: SocketAddr) {
    let started = Instant::now();
    let is_complete = || {
        runtime()
            .block_on(call(address, SHORT_TOKENS))
            .is_ok_and(|s| s.is_complete)
    };
    while !is_complete() {
        assert!(started.elapsed() < TIMEOUT, "no answer");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Returns the busy time so far of a daemon's control thread in seconds.
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
