//! Clients: one request at a time, each attempt on a new connection.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::http::Conn;

#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// A whole answer with this status.
    Status(u16),
    /// The connection ended before the answer did.
    Cut,
    /// No connection was made.
    NoConnection,
    /// Nothing more came until the client gave up.
    GaveUp,
}

#[derive(Debug, Clone)]
pub struct Answer {
    pub end: End,
    pub is_signed: bool,
    pub body: Vec<u8>,
    pub retry_after: Option<f64>,
    /// Time until the whole answer, or the end of the attempt.
    pub took: Duration,
    /// Time until the head of the answer.
    pub head_after: Option<Duration>,
}

pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub headers: &'a str,
    pub body: &'a [u8],
    /// Value of `X-Deadline-Ms`.
    pub deadline: Duration,
    /// When the client stops to wait.
    pub patience: Duration,
}

pub fn call(to: SocketAddr, call: &Call<'_>) -> Answer {
    let start = Instant::now();
    let until = Some(start + call.patience);
    let mut answer = Answer {
        end: End::NoConnection,
        is_signed: false,
        body: Vec::new(),
        retry_after: None,
        took: Duration::ZERO,
        head_after: None,
    };
    if let Ok(mut conn) = Conn::connect(to, Duration::from_secs(1)) {
        let key = match call.key {
            "" => String::new(),
            key => format!("Authorization: Bearer {key}\r\n"),
        };
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n{key}{}Content-Length: {}\r\n\r\n",
            call.method,
            call.path,
            call.host,
            call.id,
            call.deadline.as_millis(),
            call.headers,
            call.body.len()
        );
        let mut message = head.into_bytes();
        message.extend_from_slice(call.body);
        answer.end = match conn.send(&message) {
            Ok(()) => read(&mut conn, until, start, &mut answer),
            Err(_) => End::Cut,
        };
    }
    answer.took = start.elapsed();
    answer
}

fn read(conn: &mut Conn, until: Option<Instant>, start: Instant, answer: &mut Answer) -> End {
    let failure = |error: std::io::Error| match error.kind() {
        std::io::ErrorKind::TimedOut => End::GaveUp,
        _ => End::Cut,
    };
    let head = match conn.head(until) {
        Ok(head) => head,
        Err(error) => return failure(error),
    };
    answer.head_after = Some(start.elapsed());
    answer.is_signed = head.get("x-replica-signature").is_some();
    answer.retry_after = head.get("retry-after").and_then(|text| text.parse().ok());
    if !head.is_chunked() {
        return match conn.body(&head, until) {
            Ok(body) => {
                answer.body = body;
                End::Status(head.status())
            }
            Err(error) => failure(error),
        };
    }
    loop {
        match conn.chunk(until) {
            Ok(Some(chunk)) if answer.body.len() < 1 << 20 => {
                answer.body.extend_from_slice(&chunk);
            }
            Ok(Some(_)) => {}
            Ok(None) => return End::Status(head.status()),
            Err(error) => return failure(error),
        }
    }
}

/// Returns the events of a stream's body: number and text.
pub fn events(body: &[u8]) -> Vec<(u64, String)> {
    let text = String::from_utf8_lossy(body);
    let mut events = Vec::new();
    let mut whole = text.split("\n\n").collect::<Vec<_>>();
    whole.pop();
    for event in whole {
        let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
        if let (Some(id), Some(data)) = (field("id: "), field("data: ")) {
            events.push((id.parse().unwrap_or(0), data.to_owned()));
        }
    }
    events
}
