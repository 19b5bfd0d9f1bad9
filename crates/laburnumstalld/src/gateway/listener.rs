//! Accepts callers' connections and serves their requests one after another.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use laburnumstall_core::error::{ErrorBody, ErrorKind, Refusal};
use laburnumstall_core::gateway::{BufferShare, CallerLimits, RETRY_AFTER};
use laburnumstall_platform::headers;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use super::call;
use super::context::Context;
use super::log::Event;
use crate::http1::{BodyReader, Conn, HeadError, RequestHead};

/// Timeout of a write to a caller.
pub(super) const SEND_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a failed accept, which usually means a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A request whose body is complete.
#[derive(Debug)]
pub(super) struct Request {
    /// Request line and headers.
    pub head: RequestHead,
    /// Decoded body.
    pub body: Bytes,
    /// What the body takes of the memory for all.
    _share: BufferShare,
}

/// What to do with a caller's connection after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionAction {
    /// Wait for the next request.
    Keep,
    /// Close it gracefully.
    Close,
    /// Drop it at once, so that a truncated response does not look complete.
    Abort,
}

/// Accepts callers' connections until the task is aborted, which drops the listener.
pub(super) async fn accept(cx: Rc<Context>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((io, peer)) => {
                actix_rt::spawn(serve(Rc::clone(&cx), io, peer));
            }
            Err(error) => {
                cx.event(Event::new("accept-failed").with("cause", &error));
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(cx: Rc<Context>, io: TcpStream, peer: SocketAddr) {
    cx.adjust_callers(1);
    let mut conn = Conn::new(io);
    let action = loop {
        let request = match next_request(&cx, &mut conn).await {
            Ok(Some(request)) => request,
            Ok(None) => break ConnectionAction::Close,
            Err(kind) => {
                cx.event(
                    Event::new("request-unreadable")
                        .with("from", peer)
                        .with("cause", kind),
                );
                let mut refusal = Refusal::new(kind, "unreadable");
                if kind == ErrorKind::Overloaded {
                    refusal = refusal.with_retry_after(RETRY_AFTER);
                }
                refuse(&cx, &mut conn, None, &refusal, true).await;
                break ConnectionAction::Close;
            }
        };
        let action = call::serve(&cx, &mut conn, &request).await;
        if action != ConnectionAction::Keep {
            break action;
        }
    };
    if action == ConnectionAction::Close {
        conn.close().await;
    }
    cx.adjust_callers(-1);
}

/// Reads the next request; `None` if the caller disconnected or the connection must close.
///
/// # Errors
///
/// The kind of error response for a request that cannot be read.
async fn next_request(cx: &Context, conn: &mut Conn) -> Result<Option<Request>, ErrorKind> {
    let limits = cx.limits();
    if conn.buf.is_empty() {
        match wait_for_bytes(cx, conn, limits.idle_timeout).await {
            IdleEnd::Request => {}
            IdleEnd::CallerClosed => return Ok(None),
            IdleEnd::TimedOut => {
                report_close(cx, "idle", limits.idle_timeout);
                return Ok(None);
            }
            IdleEnd::Stopping => {
                report_close(cx, "stopping", limits.idle_timeout);
                return Ok(None);
            }
        }
    }
    let reading = conn.request_head(limits.head.get() as usize);
    let read = timeout(limits.head_timeout, reading).await;
    let read = read.map_err(|_| ErrorKind::Malformed)?;
    let Some(head) = read.map_err(error_kind)? else {
        return Ok(None);
    };
    if head.expects_continue {
        let sent = conn
            .send(b"HTTP/1.1 100 Continue\r\n\r\n", SEND_TIMEOUT)
            .await;
        if sent.is_err() {
            return Ok(None);
        }
    }
    let mut share = cx.buffers.share();
    let Some(body) = read_body(cx, conn, &head, &limits, &mut share).await? else {
        return Ok(None);
    };
    Ok(Some(Request {
        head,
        body,
        _share: share,
    }))
}

/// How the wait for a request ended.
enum IdleEnd {
    /// The first bytes of a request arrived.
    Request,
    /// The caller disconnected.
    CallerClosed,
    /// No request arrived within the idle time-out.
    TimedOut,
    /// The daemon stops and closes idle connections.
    Stopping,
}

/// Waits for the first byte of a request.
async fn wait_for_bytes(cx: &Context, conn: &mut Conn, idle: Duration) -> IdleEnd {
    loop {
        let stopped = cx.stop_signal.notified();
        if cx.closes_idle() {
            return IdleEnd::Stopping;
        }
        tokio::select! {
            filled = timeout(idle, conn.fill()) => return match filled {
                Ok(Ok(1..)) => IdleEnd::Request,
                Ok(_) => IdleEnd::CallerClosed,
                Err(_) => IdleEnd::TimedOut,
            },
            () = stopped => {}
        }
    }
}

/// Reports that the daemon closes a caller's connection without a response, after a wait of
/// up to `limit`.
fn report_close(cx: &Context, cause: &str, limit: Duration) {
    cx.metrics.closed_unanswered(cause);
    cx.event(
        Event::new("caller-closed")
            .with("cause", cause)
            .with("limit_ms", limit.as_millis()),
    );
}

/// Maps a head error to the kind of the error response.
fn error_kind(error: HeadError) -> ErrorKind {
    match error {
        HeadError::TooLarge => ErrorKind::TooLarge,
        _ => ErrorKind::Malformed,
    }
}

/// Reads a body; `None` if the caller disconnected or stalled before its end.
async fn read_body(
    cx: &Context,
    conn: &mut Conn,
    head: &RequestHead,
    limits: &CallerLimits,
    share: &mut BufferShare,
) -> Result<Option<Bytes>, ErrorKind> {
    let max = limits.body.get();
    if matches!(head.framing, crate::http1::Framing::Length(length) if length > max) {
        return Err(ErrorKind::TooLarge);
    }
    let mut reader = BodyReader::new(head.framing);
    let mut body = BytesMut::new();
    loop {
        match reader.next(&mut conn.buf) {
            Ok(Some(data)) if body.len() as u64 + data.len() as u64 > max => {
                return Err(ErrorKind::TooLarge);
            }
            Ok(Some(data)) => {
                body.extend_from_slice(&data);
                if !share.keep(body.len()) {
                    return Err(ErrorKind::Overloaded);
                }
            }
            Ok(None) if reader.is_done() => return Ok(Some(body.freeze())),
            Ok(None) => match timeout(limits.idle_timeout, conn.fill()).await {
                Ok(Ok(1..)) => {}
                Ok(_) => return Ok(None),
                Err(_) => {
                    report_close(cx, "body-stalled", limits.idle_timeout);
                    return Ok(None);
                }
            },
            Err(_) => return Err(ErrorKind::Malformed),
        }
    }
}

/// Sends an error response of the daemon itself; returns whether it was sent.
pub(super) async fn refuse(
    cx: &Context,
    conn: &mut Conn,
    id: Option<&str>,
    refusal: &Refusal,
    should_close: bool,
) -> bool {
    let status = headers::refusal_status(refusal.kind);
    let body = serde_json::to_vec(&ErrorBody::from(refusal)).unwrap_or_default();
    let mut head = format!("HTTP/1.1 {} {}\r\n", status, reason_phrase(status));
    if let Some(id) = id {
        head.push_str(&format!("{}: {id}\r\n", headers::CALL_ID));
    }
    if let Some(retry_after) = refusal.retry_after {
        head.push_str(&format!(
            "retry-after: {:.3}\r\n",
            retry_after.as_secs_f64()
        ));
    }
    if should_close {
        head.push_str("connection: close\r\n");
    }
    head.push_str(&format!(
        "content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    ));
    let mut message = head.into_bytes();
    message.extend_from_slice(&body);
    cx.metrics.refused(refusal.kind);
    conn.send(&message, SEND_TIMEOUT).await.is_ok()
}

/// Returns the canonical reason phrase of a status code.
pub(super) fn reason_phrase(status: u16) -> &'static str {
    let status = actix_web::http::StatusCode::from_u16(status).ok();
    status
        .and_then(|status| status.canonical_reason())
        .unwrap_or("Unknown")
}
