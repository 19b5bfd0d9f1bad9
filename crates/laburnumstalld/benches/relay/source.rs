//! An endpoint that sends canned tokens, each in its own chunk.

use std::net::SocketAddr;
use std::time::Duration;

use laburnumstall_core::resources::LoadReport;
use laburnumstall_core::units::{Timestamp, TokenRate, Tokens};
use laburnumstall_standins::server::unix_now;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

use crate::fleet::SERVICE;

/// Tokens of a short answer.
pub(crate) const SHORT_TOKENS: u64 = 1;

/// Tokens of an unpaced answer.
pub(crate) const UNPACED_TOKENS: u64 = 5_000;

/// Time between two tokens of a paced answer.
const TOKEN_PERIOD: Duration = Duration::from_millis(20);

/// Starts the endpoint on its own thread.
pub(crate) fn start() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has a port");
    listener.set_nonblocking(true).expect("the socket can wait");
    let address = listener.local_addr().expect("it has an address");
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime.expect("a runtime starts").block_on(async {
            let listener = TcpListener::from_std(listener).expect("the socket is open");
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream));
            }
        });
    });
    address
}

async fn serve(stream: TcpStream) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut stream = BufReader::new(stream);
    loop {
        let (path, body) = read_request(&mut stream).await?;
        if path.starts_with("/v1/chat") {
            answer(stream.get_mut(), &body).await?;
            continue;
        }
        let body = match path.as_str() {
            "/load" => serde_json::to_string(&load_report()).ok()?,
            path if path.starts_with("/cache") => r#"{"newest":0,"events":[]}"#.to_owned(),
            _ => "null".to_owned(),
        };
        let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length";
        let answer = format!("{head}: {}\r\n\r\n{body}", body.len());
        stream.get_mut().write_all(answer.as_bytes()).await.ok()?;
    }
}

/// Reads the path and body of a request.
async fn read_request(stream: &mut BufReader<TcpStream>) -> Option<(String, Vec<u8>)> {
    let mut line = String::new();
    stream.read_line(&mut line).await.ok()?;
    let path = line.split(' ').nth(1)?.to_owned();
    let mut length = 0;
    loop {
        line.clear();
        if stream.read_line(&mut line).await.ok()? <= 2 {
            break;
        }
        let (name, value) = line.split_once(':')?;
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some((path, body))
}

async fn answer(stream: &mut TcpStream, body: &[u8]) -> Option<()> {
    let body: serde_json::Value = serde_json::from_slice(body).ok()?;
    let tokens = body["max_tokens"].as_u64()?;
    let head =
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await.ok()?;
    for number in 0..tokens {
        let finish = if number + 1 == tokens {
            "\"stop\""
        } else {
            "null"
        };
        let data = format!(
            "id: {number}\ndata: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\" word\"}},\"finish_reason\":{finish}}}],\"usage\":{{\"prompt_tokens\":9,\"completion_tokens\":{}}}}}\n\n",
            number + 1
        );
        chunk(stream, &data).await?;
        if tokens != UNPACED_TOKENS && number + 1 < tokens {
            tokio::time::sleep(TOKEN_PERIOD).await;
        }
    }
    chunk(stream, "data: [DONE]\n\n").await?;
    stream.write_all(b"0\r\n\r\n").await.ok()
}

async fn chunk(stream: &mut TcpStream, data: &str) -> Option<()> {
    let chunk = format!("{:x}\r\n{data}\r\n", data.len());
    stream.write_all(chunk.as_bytes()).await.ok()
}

fn load_report() -> LoadReport {
    let now: Timestamp = unix_now();
    LoadReport {
        endpoint: "engine-0".parse().expect("a valid name"),
        sequence: now.0,
        taken_at: now,
        running: 0,
        waiting: 0,
        batch: 100_000,
        prefill_backlog: Tokens(0),
        prefill: TokenRate(1_000_000),
        decode_per_request: TokenRate(50),
        services: vec![SERVICE.parse().expect("a valid name")],
        loads: None,
    }
}
