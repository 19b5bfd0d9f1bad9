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
const KEEP_DEFAULT: Duration = Duration::from_secs(3);
/// Time by which an unused connection is dropped before the endpoint would close it.
const KEEP_MARGIN: Duration = Duration::from_secs(1);
/// Age above which an unused connection is not trusted with a call that may not repeat.
const KEEP_SURE: Duration = Duration::from_millis(1_500);
/// Most unused connections to one endpoint.
const MAX_UNUSED: usize = 24;
/// Largest head of an answer.
const MAX_HEAD: usize = 32 << 10;
/// Most answers to other requests that are passed over on one connection.
const MAX_FOREIGN: u32 = 3;
/// Largest request that is surely read when its answer comes; of a larger one the rest may
/// wait in buffers, and hold up the next request on the connection.
const SURELY_READ: usize = 64 << 10;
/// Largest body of another request's answer that is read to get past it.
const MAX_FOREIGN_BODY: u64 = 1 << 20;

struct Unused {
    conn: Conn,
    since: Instant,
    keep: Duration,
}

/// Connections that are open and not used.
#[derive(Default)]
pub(super) struct Pool {
    unused: RefCell<HashMap<SocketAddr, Vec<Unused>>>,
}

impl Pool {
    /// Takes an open connection to `address` that was last used within `max_age`.
    fn take(&self, address: SocketAddr, max_age: Duration) -> Option<Conn> {
        let mut unused = self.unused.borrow_mut();
        let list = unused.get_mut(&address)?;
        while let Some(mut last) = list.pop() {
            let age = last.since.elapsed();
            if age < last.keep.min(max_age) && last.conn.is_unused() {
                return Some(last.conn);
            }
        }
        None
    }

    fn put(&self, address: SocketAddr, conn: Conn, keep: Duration) {
        let mut unused = self.unused.borrow_mut();
        let list = unused.entry(address).or_default();
        list.retain(|known| known.since.elapsed() < known.keep);
        if list.len() < MAX_UNUSED {
            let since = Instant::now();
            list.push(Unused { conn, since, keep });
        }
    }

    /// Drops all unused connections.
    pub(super) fn clear(&self) {
        self.unused.borrow_mut().clear();
    }
}

/// An answer whose head has come.
pub(super) struct Answer {
    /// The head.
    pub head: ResponseHead,
    /// What it says.
    pub verdict: Verdict,
    conn: Conn,
    body: BodyReader,
    address: SocketAddr,
    /// Whether the endpoint has read the whole request.
    is_read: bool,
}

/// A piece of an answer's body.
pub(super) enum Piece {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is whole.
    End,
}

/// How a call to an endpoint went up to the head of its answer.
pub(super) enum Attempt {
    /// An answer to this call.
    Answered(Box<Answer>),
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
pub(super) async fn attempt(
    cx: &Context,
    ticket: &mut AdmittedCall,
    run: &CallAttempt,
    request: &Request,
    resume_after: Option<&str>,
    silence: Option<Duration>,
) -> Attempt {
    let deadline = tokio::time::Instant::now() + ticket.remaining(cx.now());
    let max_age = match ticket.route.is_retryable() {
        true => Duration::MAX,
        false => KEEP_SURE,
    };
    let mut conn = match cx.pool.take(run.address, max_age) {
        Some(conn) => conn,
        None => {
            let limit = CONNECT_TIMEOUT.min(ticket.remaining(cx.now()));
            cx.metrics.connection();
            match Conn::connect(run.address, limit).await {
                Ok(conn) => conn,
                Err(error) => {
                    cx.event(
                        Event::new("connect-failed")
                            .with("request", &ticket.id)
                            .with("endpoint", &run.endpoint)
                            .with("cause", &error),
                    );
                    return Attempt::Failed(CallFailure::NotSent);
                }
            }
        }
    };
    let message = write_request(cx, ticket, run, request, resume_after);
    let mut written = 0;
    let is_sent_whole = {
        let sending = conn.send_counted(&message, &mut written);
        match tokio::time::timeout_at(deadline, sending).await {
            Ok(Ok(is_whole)) => is_whole,
            Ok(Err(_)) => false,
            Err(_) => {
                return Attempt::TimedOut {
                    is_sent: written > 0,
                };
            }
        }
    };
    if written == 0 {
        return Attempt::Failed(CallFailure::NotSent);
    }
    cx.decide(|gateway, _| gateway.on_sent(ticket));
    let silent_at = silence.map_or(deadline, |silence| tokio::time::Instant::now() + silence);
    let head = read_head(&mut conn, &request.head.method, &ticket.id);
    let read = tokio::select! {
        read = head => read,
        () = sleep_until(silent_at.min(deadline)) => {
            return match silent_at < deadline {
                true => Attempt::Failed(CallFailure::Silent),
                false => Attempt::TimedOut { is_sent: true },
            };
        }
    };
    match read {
        Ok((head, verdict)) => Attempt::Answered(Box::new(Answer {
            is_read: is_sent_whole && (message.len() <= SURELY_READ || verdict == Verdict::Success),
            body: BodyReader::new(head.framing),
            head,
            verdict,
            conn,
            address: run.address,
        })),
        Err(failure) => Attempt::Failed(failure),
    }
}

/// Reads heads until one answers the call `id`.
async fn read_head(
    conn: &mut Conn,
    method: &str,
    id: &str,
) -> Result<(ResponseHead, Verdict), CallFailure> {
    let mut foreign = 0;
    loop {
        let head = loop {
            match ResponseHead::take(&mut conn.buf, MAX_HEAD, method) {
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
        foreign += 1;
        let is_framed = matches!(
            head.framing,
            Framing::Empty | Framing::Length(..=MAX_FOREIGN_BODY)
        );
        if foreign > MAX_FOREIGN || !is_framed || head.should_close {
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

impl Answer {
    /// Receives the next piece of the body.
    ///
    /// # Errors
    ///
    /// [`CallFailure::BadAnswer`] if the body breaks off or is malformed.
    pub(super) async fn next(&mut self) -> Result<Piece, CallFailure> {
        loop {
            match self.body.next(&mut self.conn.buf) {
                Ok(Some(data)) => return Ok(Piece::Data(data)),
                Ok(None) if self.body.is_done() => return Ok(Piece::End),
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
    pub(super) async fn whole(
        &mut self,
        data: &mut Vec<u8>,
        max: usize,
    ) -> Result<bool, CallFailure> {
        while data.len() <= max {
            match self.next().await? {
                Piece::Data(piece) => data.extend_from_slice(&piece),
                Piece::End => return Ok(true),
            }
        }
        Ok(false)
    }

    /// Keeps the connection for other calls if it can be.
    pub(super) fn release(self, pool: &Pool) {
        let is_clean = self.body.is_done() && self.conn.buf.is_empty() && self.is_read;
        if !is_clean || self.head.should_close {
            return;
        }
        let keep = match self.head.keep_alive_secs() {
            None => KEEP_DEFAULT,
            Some(secs) => {
                let told = Duration::from_secs(secs);
                told.saturating_sub(KEEP_MARGIN).max(told / 2)
            }
        };
        pool.put(self.address, self.conn, keep);
    }
}

fn write_request(
    cx: &Context,
    ticket: &AdmittedCall,
    run: &CallAttempt,
    request: &Request,
    resume_after: Option<&str>,
) -> Vec<u8> {
    let head = &request.head;
    let mut out = Vec::with_capacity(1_024 + request.body.len());
    let line = |out: &mut Vec<u8>, name: &str, value: &[u8]| {
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
        let is_dropped = crate::http1::is_connection_header(&head.headers, &header.name)
            || headers::is_replaced(&header.name)
            || (resume_after.is_some() && headers::is_resume_point(&header.name));
        if !is_dropped {
            line(&mut out, &header.name, &header.value);
        }
    }
    let own = headers::for_endpoint(
        cx.now(),
        ticket,
        &run.endpoint,
        urgency(ticket),
        resume_after,
    );
    for (name, value) in own {
        line(&mut out, name, value.as_bytes());
    }
    if head.framing != Framing::Empty || !request.body.is_empty() {
        line(
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
fn urgency(ticket: &AdmittedCall) -> u8 {
    const MOST: u8 = 9;
    ticket.rank.min(MOST)
}
