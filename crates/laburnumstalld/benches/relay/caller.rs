//! Callers that read streams over plain TCP sockets.

use std::fmt;
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

/// Bytes from the start of an answer that are kept to tell which one was lost.
const MAX_SHOWN: usize = 512;

/// Result of one call.
struct CallResult {
    /// Time to the first token.
    first: Duration,
    is_complete: bool,
    /// Bytes of the answer, head included.
    bytes: usize,
    /// Start of the answer: status, identifier and, of a refusal, its reason.
    start: Vec<u8>,
}

impl fmt::Display for CallResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let end = match self.is_complete {
            true => "whole",
            false => "not whole",
        };
        let start = String::from_utf8_lossy(&self.start);
        write!(f, "{} bytes, {end}: {start}", self.bytes)
    }
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
    let mut bytes = 0;
    let mut start = Vec::new();
    loop {
        let size = stream.read(&mut buf).await?;
        bytes += size;
        let shown = size.min(MAX_SHOWN - start.len());
        start.extend_from_slice(&buf[..shown]);
        tail.extend_from_slice(&buf[..size]);
        if first.is_none() && contains(&tail, b" word") {
            first = Some(started.elapsed());
        }
        let is_complete = contains(&tail, b"[DONE]");
        if is_complete || size == 0 {
            let first = first.unwrap_or_default();
            return Ok(CallResult {
                first,
                is_complete,
                bytes,
                start,
            });
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
                match result {
                    Ok(result) if result.is_complete => complete += 1,
                    Ok(result) => println!("lost: {result}"),
                    Err(error) => println!("lost: {error}"),
                }
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
            assert!(result.is_complete, "a timed answer is lost: {result}");
            firsts.push(result.first);
        }
        firsts
    })
}

/// Reads one unpaced answer.
pub(crate) fn fast(address: SocketAddr) {
    let result = runtime().block_on(call(address, UNPACED_TOKENS));
    let result = result.expect("an answer");
    assert!(result.is_complete, "an unpaced answer is lost: {result}");
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
