//! Connections to endpoints, and one call on one of them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use laburnumstall_core::gateway::{AdmittedCall, CallAttempt, CallFailure};
use laburnumstall_platform::headers::{self, Verdict};
use tokio::time::sleep_until;

use super::context::Context;
use super::listener::Request;
use super::log::Event;
use crate::http1::{BodyReader, Conn, Framing, ResponseHead};

/// Longest time to open a connection: some round trips within a region, and a repetition
/// of a lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which an unused connection is kept when the endpoint does not say.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(3);
/// Time by which an unused connection is dropped before the endpoint would close it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);
/// Age above which an unused connection is not trusted with a call that may not repeat.
const MAX_IDLE_NOT_RETRYABLE: Duration = Duration::from_millis(1_500);
/// Most unused connections to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 24;
/// Largest head of an answer.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Most answers to other requests that are passed over on one connection.
const MAX_STALE_RESPONSES: u32 = 3;
/// Largest request that is surely read when its answer comes; of a larger one the rest may
/// wait in buffers, and hold up the next request on the connection.
const MAX_SURELY_READ: usize = 64 << 10;
/// Largest body of another request's answer that is read to get past it.
const MAX_STALE_BODY: u64 = 1 << 20;

struct IdleConnection {
    conn: Conn,
    idle_since: Instant,
    keep_alive: Duration,
}

/// Connections that are open and not used.
#[derive(Default)]
pub(super) struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl Pool {
    /// Takes an open connection to `address` that was last used within `max_age`.
    fn take(&self, address: SocketAddr, max_age: Duration) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&address)?;
        while let Some(mut last) = list.pop() {
            let age = last.idle_since.elapsed();
            if age < last.keep_alive.min(max_age) && last.conn.is_open_and_idle() {
                return Some(last.conn);
            }
        }
        None
    }

    fn put(&self, address: SocketAddr, conn: Conn, keep_alive: Duration) {
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(address).or_default();
        list.retain(|known| known.idle_since.elapsed() < known.keep_alive);
        if list.len() < MAX_IDLE_PER_ENDPOINT {
            let idle_since = Instant::now();
            list.push(IdleConnection {
                conn,
                idle_since,
                keep_alive,
            });
        }
    }

    /// Drops all unused connections.
    pub(super) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// An answer whose head has come.
pub(super) struct Response {
    /// The head.
    pub head: ResponseHead,
    /// What it says.
    pub verdict: Verdict,
    conn: Conn,
    body: BodyReader,
    address: SocketAddr,
    /// Whether the endpoint has read the whole request.
    is_request_read: bool,
}

/// A piece of an answer's body.
pub(super) enum BodyFrame {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is whole.
    End,
}

/// How a call to an endpoint went up to the head of its answer.
pub(super) enum SendOutcome {
    /// An answer to this call.
    Answered(Box<Response>),
    /// None, for this reason.
    Failed(CallFailure),
    /// The time of the request is over; whether it was written.
    TimedOut {
        /// Whether any of it was written.
        is_sent: bool,
    },
}

/// Sends a request to the endpoint of `run` and waits for the head of the answer.
///
/// Nothing for `silence` after the request was written counts as a failure.
pub(super) async fn send_request(
    cx: &Context,
    call: &mut AdmittedCall,
    attempt: &CallAttempt,
    request: &Request,
    resume_after: Option<&str>,
    silence: Option<Duration>,
) -> SendOutcome {
    let deadline = tokio::time::Instant::now() + call.remaining(cx.now());
    let max_age = match call.route.is_retryable() {
        true => Duration::MAX,
        false => MAX_IDLE_NOT_RETRYABLE,
    };
    let mut conn = match cx.pool.take(attempt.address, max_age) {
        Some(conn) => conn,
        None => {
            let limit = CONNECT_TIMEOUT.min(call.remaining(cx.now()));
            cx.metrics.connection();
            match Conn::connect(attempt.address, limit).await {
                Ok(conn) => conn,
                Err(error) => {
                    cx.event(
                        Event::new("connect-failed")
                            .with("request", &call.id)
                            .with("endpoint", &attempt.endpoint)
                            .with("cause", &error),
                    );
                    return SendOutcome::Failed(CallFailure::NotSent);
                }
            }
        }
    };
    let message = write_request(cx, call, attempt, request, resume_after);
    let mut written = 0;
    let is_sent_whole = {
        let sending = conn.send_counted(&message, &mut written);
        match tokio::time::timeout_at(deadline, sending).await {
            Ok(Ok(is_whole)) => is_whole,
            Ok(Err(_)) => false,
            Err(_) => {
                return SendOutcome::TimedOut {
                    is_sent: written > 0,
                };
            }
        }
    };
    if written == 0 {
        return SendOutcome::Failed(CallFailure::NotSent);
    }
    cx.with_gateway(|gateway, _| gateway.on_sent(call));
    let silent_at = silence.map_or(deadline, |silence| tokio::time::Instant::now() + silence);
    let head = read_head(&mut conn, &request.head.method, &call.id);
    let read = tokio::select! {
        read = head => read,
        () = sleep_until(silent_at.min(deadline)) => {
            return match silent_at < deadline {
                true => SendOutcome::Failed(CallFailure::Silent),
                false => SendOutcome::TimedOut { is_sent: true },
            };
        }
    };
    match read {
        Ok((head, verdict)) => SendOutcome::Answered(Box::new(Response {
            is_request_read: is_sent_whole
                && (message.len() <= MAX_SURELY_READ || verdict == Verdict::Success),
            body: BodyReader::new(head.framing),
            head,
            verdict,
            conn,
            address: attempt.address,
        })),
        Err(failure) => SendOutcome::Failed(failure),
    }
}

/// Reads heads until one answers the call `id`.
async fn read_head(
    conn: &mut Conn,
    method: &str,
    id: &str,
) -> Result<(ResponseHead, Verdict), CallFailure> {
    let mut stale_responses = 0;
    loop {
        let head = loop {
            match ResponseHead::take(&mut conn.buf, MAX_HEAD_BYTES, method) {
                Ok(Some(head)) if (100..200).contains(&head.status) => {}
                Ok(Some(head)) => break head,
                Ok(None) => match conn.fill().await {
                    Ok(0) | Err(_) if conn.buf.is_empty() => return Err(CallFailure::Lost),
                    Ok(0) | Err(_) => return Err(CallFailure::BadAnswer),
                    Ok(_) => {}
                },
                Err(_) => return Err(CallFailure::BadAnswer),
            }
        };
        let verdict = headers::judge(head.status, &head, id);
        if verdict != Verdict::Foreign {
            return Ok((head, verdict));
        }
        // A late answer to an earlier request may stand before this request's own.
        stale_responses += 1;
        let is_framed = matches!(
            head.framing,
            Framing::Empty | Framing::Length(..=MAX_STALE_BODY)
        );
        if stale_responses > MAX_STALE_RESPONSES || !is_framed || head.should_close {
            return Err(CallFailure::BadAnswer);
        }
        skip_body(conn, BodyReader::new(head.framing)).await?;
    }
}

async fn skip_body(conn: &mut Conn, mut body: BodyReader) -> Result<(), CallFailure> {
    while !body.is_done() {
        match body.next(&mut conn.buf) {
            Ok(Some(_)) => {}
            Ok(None) if body.is_done() => {}
            Ok(None) => match conn.fill().await {
                Ok(0) | Err(_) => return Err(CallFailure::BadAnswer),
                Ok(_) => {}
            },
            Err(_) => return Err(CallFailure::BadAnswer),
        }
    }
    Ok(())
}

impl Response {
    /// Receives the next piece of the body.
    ///
    /// # Errors
    ///
    /// [`CallFailure::BadAnswer`] if the body breaks off or is malformed.
    pub(super) async fn next_frame(&mut self) -> Result<BodyFrame, CallFailure> {
        loop {
            match self.body.next(&mut self.conn.buf) {
                Ok(Some(data)) => return Ok(BodyFrame::Data(data)),
                Ok(None) if self.body.is_done() => return Ok(BodyFrame::End),
                Ok(None) => {}
                Err(_) => return Err(CallFailure::BadAnswer),
            }
            match self.conn.fill().await {
                Ok(0) => self.body.on_eof().map_err(|_| CallFailure::BadAnswer)?,
                Ok(_) => {}
                Err(_) => return Err(CallFailure::BadAnswer),
            }
        }
    }

    /// Receives a body of up to `max` bytes; `None` if it is larger, with what was
    /// received in `data`.
    ///
    /// # Errors
    ///
    /// [`CallFailure::BadAnswer`] if the body breaks off or is malformed.
    pub(super) async fn read_body(
        &mut self,
        data: &mut Vec<u8>,
        max: usize,
    ) -> Result<bool, CallFailure> {
        while data.len() <= max {
            match self.next_frame().await? {
                BodyFrame::Data(chunk) => data.extend_from_slice(&chunk),
                BodyFrame::End => return Ok(true),
            }
        }
        Ok(false)
    }

    /// Keeps the connection for other calls if it can be.
    pub(super) fn release(self, pool: &Pool) {
        let is_reusable = self.body.is_done() && self.conn.buf.is_empty() && self.is_request_read;
        if !is_reusable || self.head.should_close {
            return;
        }
        let keep_alive = match self.head.keep_alive_secs() {
            None => DEFAULT_KEEP_ALIVE,
            Some(secs) => {
                let advertised = Duration::from_secs(secs);
                advertised
                    .saturating_sub(KEEP_ALIVE_MARGIN)
                    .max(advertised / 2)
            }
        };
        pool.put(self.address, self.conn, keep_alive);
    }
}

fn write_request(
    cx: &Context,
    call: &AdmittedCall,
    attempt: &CallAttempt,
    request: &Request,
    resume_after: Option<&str>,
) -> Vec<u8> {
    let head = &request.head;
    let mut out = Vec::with_capacity(1_024 + request.body.len());
    let write_header = |out: &mut Vec<u8>, name: &str, value: &[u8]| {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value);
        out.extend_from_slice(b"\r\n");
    };
    out.extend_from_slice(head.method.as_bytes());
    out.push(b' ');
    out.extend_from_slice(head.target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    for header in &head.headers {
        let is_dropped = crate::http1::is_hop_by_hop(&head.headers, &header.name)
            || headers::is_replaced(&header.name)
            || (resume_after.is_some() && headers::is_resume_point(&header.name));
        if !is_dropped {
            write_header(&mut out, &header.name, &header.value);
        }
    }
    let added_headers = headers::for_endpoint(
        cx.now(),
        call,
        &attempt.endpoint,
        urgency(call),
        resume_after,
    );
    for (name, value) in added_headers {
        write_header(&mut out, name, value.as_bytes());
    }
    if head.framing != Framing::Empty || !request.body.is_empty() {
        write_header(
            &mut out,
            "content-length",
            request.body.len().to_string().as_bytes(),
        );
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&request.body);
    out
}

/// Returns the urgency passed to an engine: the rank, within its scale.
fn urgency(call: &AdmittedCall) -> u8 {
    const MAX_URGENCY: u8 = 9;
    call.rank.min(MAX_URGENCY)
}
