//! Pools connections to endpoints and sends calls over them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use laburnumstall_core::gateway::{
    AdmittedCall, BufferShare, CallAttempt, CallFailure, EndpointProcess,
};
use laburnumstall_core::ids::EndpointId;
use laburnumstall_core::units::Timestamp;
use laburnumstall_platform::headers::{self, HeaderLines, ResponseClass};

use super::context::Context;
use super::listener::Request;
use super::log::Event;
use crate::http1::{BodyError, BodyReader, Conn, Framing, ResponseHead};

/// Timeout to open a connection: some round trips within a region, plus one retransmission.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Keep-alive time of an idle connection when the endpoint does not advertise one.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(3);
/// Time by which an idle connection is dropped before the endpoint would close it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);
/// Idle time above which a connection is not reused for a call that cannot be retried.
const MAX_IDLE_NOT_RETRYABLE: Duration = Duration::from_millis(1_500);
/// Maximum number of idle connections to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 24;
/// Maximum size of a response head with the interim responses before it, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Maximum number of responses to other requests that are skipped before the call's own.
const MAX_STALE_RESPONSES: u32 = 3;
/// Maximum size of a request that is certainly read when its response arrives; the rest of a
/// larger one may still be buffered and delay the next request on the connection.
const MAX_SURELY_READ: usize = 64 << 10;
/// Maximum body size of another request's response that is skipped.
const MAX_STALE_BODY: u64 = 1 << 20;

struct IdleConnection {
    conn: Conn,
    idle_since: Instant,
    keep_alive: Duration,
    /// Whether a response has come on it.
    is_used: bool,
}

/// Pool of idle connections, by the address of the endpoint.
#[derive(Default)]
pub(super) struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl Pool {
    /// Takes an open connection to `address` that has been idle for at least `min_idle` and less
    /// than `max_idle`, and whether a response has come on it.
    fn take(
        &self,
        address: SocketAddr,
        min_idle: Duration,
        max_idle: Duration,
    ) -> Option<(Conn, bool)> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&address)?;
        loop {
            let last = list
                .iter()
                .rposition(|known| known.idle_since.elapsed() >= min_idle)?;
            let mut last = list.remove(last);
            let idle = last.idle_since.elapsed();
            if idle < last.keep_alive.min(max_idle) && last.conn.is_open_and_idle() {
                return Some((last.conn, last.is_used));
            }
        }
    }

    /// Adds a connection on which nothing was sent.
    pub(super) fn put_new(&self, address: SocketAddr, conn: Conn) {
        self.put(address, conn, DEFAULT_KEEP_ALIVE, false);
    }

    fn put(&self, address: SocketAddr, conn: Conn, keep_alive: Duration, is_used: bool) {
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(address).or_default();
        list.retain(|known| known.idle_since.elapsed() < known.keep_alive);
        if list.len() < MAX_IDLE_PER_ENDPOINT {
            let idle_since = Instant::now();
            list.push(IdleConnection {
                conn,
                idle_since,
                keep_alive,
                is_used,
            });
        }
    }

    /// Drops all idle connections.
    pub(super) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// A response whose head was received.
pub(super) struct Response {
    /// Status and headers.
    pub head: ResponseHead,
    /// Meaning of the head for the call.
    pub class: ResponseClass,
    conn: Conn,
    body: BodyReader,
    address: SocketAddr,
    id: CompactString,
    endpoint: EndpointId,
    /// Whether the endpoint has certainly read the whole request.
    is_request_read: bool,
}

/// Next part of a response body.
pub(super) enum BodyFrame {
    /// Decoded bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// A request that was written to its endpoint.
pub(super) struct SentRequest {
    conn: Conn,
    id: CompactString,
    method: CompactString,
    address: SocketAddr,
    process: EndpointProcess,
    sent_at: Timestamp,
    len: usize,
    is_sent_whole: bool,
    /// Whether a response has come on the connection.
    is_used: bool,
}

/// Reason why a request was not written to its endpoint, or gets no response.
pub(super) enum SendFailure {
    /// The endpoint could not be reached or gave no usable response.
    Failed(CallFailure),
    /// The deadline of the request passed.
    TimedOut {
        /// Whether any byte of the request was written.
        is_sent: bool,
    },
}

/// Sends a request to the endpoint of `attempt`.
///
/// # Errors
///
/// [`SendFailure`] if no connection is made, nothing is written, or the deadline passes.
pub(super) async fn send_request(
    cx: &Context,
    call: &mut AdmittedCall,
    attempt: &CallAttempt,
    request: &Request,
    resume_after: Option<&str>,
) -> Result<SentRequest, SendFailure> {
    let deadline = tokio::time::Instant::now() + call.remaining(cx.now());
    let max_idle = match call.route.is_retryable() {
        true => Duration::MAX,
        false => MAX_IDLE_NOT_RETRYABLE,
    };
    // A call that is sent again shares no connection with its earlier sends: an endpoint may write
    // their refusal once more, which names it.
    let min_idle = match call.sends {
        0 => Duration::ZERO,
        _ => cx.now().since(call.received_at),
    };
    let (mut conn, is_used) = match cx.pool.take(attempt.address, min_idle, max_idle) {
        Some(taken) => taken,
        None => {
            let limit = CONNECT_TIMEOUT.min(call.remaining(cx.now()));
            cx.metrics.connection();
            match Conn::connect(attempt.address, limit).await {
                Ok(conn) => (conn, false),
                Err(error) => {
                    cx.event(
                        Event::new("connect-failed")
                            .with("request", &call.id)
                            .with("endpoint", &attempt.endpoint)
                            .with("cause", &error),
                    );
                    return Err(SendFailure::Failed(CallFailure::NotSent));
                }
            }
        }
    };
    let message = Bytes::from(write_request(cx, call, attempt, request, resume_after));
    let len = message.len();
    let sent_at = cx.now();
    let mut written = 0;
    // The call may end while its request is written.
    let was_outstanding = std::mem::replace(&mut call.is_outstanding, true);
    let is_sent_whole = {
        let sending = conn.send_counted(message, &mut written);
        match tokio::time::timeout_at(deadline, sending).await {
            Ok(Ok(is_whole)) => is_whole,
            Ok(Err(_)) => false,
            Err(_) => {
                call.is_outstanding = was_outstanding || written > 0;
                return Err(SendFailure::TimedOut {
                    is_sent: written > 0,
                });
            }
        }
    };
    if written == 0 {
        call.is_outstanding = was_outstanding;
        return Err(SendFailure::Failed(CallFailure::NotSent));
    }
    cx.with_gateway(|gateway, _| gateway.on_sent(call));
    Ok(SentRequest {
        conn,
        id: call.id.clone(),
        method: request.head.method.clone(),
        address: attempt.address,
        process: attempt.process(),
        sent_at,
        len,
        is_sent_whole,
        is_used,
    })
}

impl SentRequest {
    /// Waits for the response head, and records what it says of the endpoint.
    ///
    /// # Errors
    ///
    /// [`CallFailure::Lost`] or [`CallFailure::BadAnswer`] if there is no usable response.
    pub(super) async fn response(mut self, cx: &Context) -> Result<Response, CallFailure> {
        let (head, class) = self.read_head(cx).await?;
        if class != ResponseClass::WrongEndpoint {
            let notice = headers::read_notice(head.status, &head);
            cx.with_gateway(|gateway, now| {
                gateway.on_endpoint_notice(now, &self.process, self.sent_at, &notice);
            });
        }
        let is_surely_read = self.len <= MAX_SURELY_READ || class == ResponseClass::Success;
        Ok(Response {
            is_request_read: self.is_sent_whole && is_surely_read,
            body: BodyReader::new(head.framing),
            head,
            class,
            conn: self.conn,
            address: self.address,
            id: self.id,
            endpoint: self.process.id,
        })
    }

    /// Reads response heads until one belongs to the call.
    async fn read_head(
        &mut self,
        cx: &Context,
    ) -> Result<(ResponseHead, ResponseClass), CallFailure> {
        let mut stale_responses = 0;
        loop {
            let head = self.next_head(cx).await?;
            let is_first = !std::mem::replace(&mut self.is_used, true);
            let class = headers::classify_response(head.status, &head, &self.id, is_first);
            if class != ResponseClass::Foreign {
                return Ok((head, class));
            }
            cx.with_gateway(|gateway, now| {
                let (endpoint, attempt) = (&self.process.id, head.value(headers::CALL_ID));
                gateway.on_response_skipped(now, &self.id, endpoint, head.status, attempt);
            });
            // A late response to an earlier request may precede this request's own.
            stale_responses += 1;
            let is_framed = matches!(
                head.framing,
                Framing::Empty | Framing::Length(..=MAX_STALE_BODY)
            );
            if stale_responses > MAX_STALE_RESPONSES || !is_framed || head.should_close {
                return Err(self.reject(cx, "other-attempts"));
            }
            self.skip_body(cx, head.framing).await?;
        }
    }

    /// Reads the body of a response to another request.
    async fn skip_body(&mut self, cx: &Context, framing: Framing) -> Result<(), CallFailure> {
        let mut body = BodyReader::new(framing);
        loop {
            match self.conn.body_part(&mut body).await {
                Ok(Some(_)) => {}
                Ok(None) => return Ok(()),
                Err(error) => return Err(self.reject(cx, error.name())),
            }
        }
    }

    /// Reads the next head of a final response.
    async fn next_head(&mut self, cx: &Context) -> Result<ResponseHead, CallFailure> {
        let head = self.conn.final_response_head(&self.method, MAX_HEAD_BYTES);
        match head.await {
            Ok(Some(head)) => Ok(head),
            Ok(None) if self.conn.buf.is_empty() => Err(CallFailure::Lost),
            Ok(None) => Err(CallFailure::BadAnswer),
            Err(error) => Err(self.reject(cx, error.name())),
        }
    }

    fn reject(&self, cx: &Context, cause: &str) -> CallFailure {
        cx.with_gateway(|gateway, now| {
            gateway.on_response_rejected(now, &self.id, &self.process.id, cause);
        });
        CallFailure::BadAnswer
    }
}

impl Response {
    /// Receives the next part of the body.
    ///
    /// # Errors
    ///
    /// [`BodyError`] if the body is truncated or malformed.
    pub(super) async fn next_frame(&mut self) -> Result<BodyFrame, BodyError> {
        let part = self.conn.body_part(&mut self.body).await?;
        Ok(part.map_or(BodyFrame::End, BodyFrame::Data))
    }

    /// Reports that the response is no answer to the call.
    pub(super) fn reject(&self, cx: &Context, cause: &str) -> CallFailure {
        self.report(cx, cause);
        CallFailure::BadAnswer
    }

    /// Reports why the response cannot be read further.
    pub(super) fn report(&self, cx: &Context, cause: &str) {
        cx.with_gateway(|gateway, now| {
            gateway.on_response_rejected(now, &self.id, &self.endpoint, cause);
        });
    }

    /// Receives a body of up to `max` bytes into `data`; returns `false` if it is larger, or `share`
    /// may not keep it, with the part received so far in `data`.
    ///
    /// # Errors
    ///
    /// [`BodyError`] if the body is truncated or malformed.
    pub(super) async fn read_body(
        &mut self,
        data: &mut Vec<u8>,
        max: usize,
        share: &mut BufferShare,
    ) -> Result<bool, BodyError> {
        while data.len() <= max && share.keep(data.len()) {
            match self.next_frame().await? {
                BodyFrame::Data(chunk) => data.extend_from_slice(&chunk),
                BodyFrame::End => return Ok(true),
            }
        }
        Ok(false)
    }

    /// Returns whether the body marks its own end, so that a crash cannot look like it.
    pub(super) fn is_delimited(&self) -> bool {
        self.head.framing != Framing::UntilClose
    }

    /// Returns the connection to `pool` if it can be reused.
    pub(super) fn release(self, pool: &Pool) {
        let is_reusable =
            self.body.is_done() && self.conn.is_between_messages() && self.is_request_read;
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
        pool.put(self.address, self.conn, keep_alive, true);
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
    let added_headers = headers::for_endpoint(cx.now(), call, attempt, urgency(call), resume_after);
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

/// Returns the urgency sent to an endpoint: the rank, capped to the scale of the header.
fn urgency(call: &AdmittedCall) -> u8 {
    const MAX_URGENCY: u8 = 9;
    call.rank.min(MAX_URGENCY)
}
