//! One request, from its head to the end of its answer.

use std::time::Duration;

use compact_str::CompactString;
use laburnumstall_core::error::{ErrorKind, Refusal};
use laburnumstall_core::gateway::{
    AdmittedCall, CallAttempt, CallFailure, CallKind, CallOutcome, FailureAction,
};
use laburnumstall_platform::headers::{self, Verdict};

use super::context::Context;
use super::listener::{Flow, Request, SEND_TIMEOUT, reason, refuse};
use super::log::Event;
use super::stream::{self, Relay};
use super::upstream::{Answer, Attempt, Piece, attempt};
use crate::http1::{Conn, Framing, ResponseHead, is_connection_header, write_chunk};

/// Largest body that is received whole before it is passed on, so that another endpoint
/// can be asked if it breaks off.
const MAX_WHOLE: usize = 256 << 10;
/// Silence of a plain call that may repeat, in target latencies, after which another
/// endpoint is asked: the longest ordinary calls take about four mean ones.
const PLAIN_SILENCE: u32 = 2;
/// Silence before the first event of a resumable stream, in target latencies.
const STREAM_SILENCE: u32 = 2;

/// How a call on one endpoint ended, as far as the caller is concerned.
pub(super) enum Ended {
    /// The caller has its answer.
    Answered {
        /// Status of the answer.
        status: u16,
        /// What becomes of the caller's connection.
        flow: Flow,
    },
    /// The endpoint failed the call; its own answer, if it gave one.
    Failed(CallFailure, Option<Box<OwnAnswer>>),
    /// The caller left.
    CallerGone,
    /// The time of the request is over; whether an endpoint may have run it.
    TimedOut {
        /// Whether an endpoint may have run it.
        is_sent: bool,
    },
    /// The answer broke off after the caller had a part of it.
    Cut,
}

/// A failure that an endpoint answered with.
pub(super) struct OwnAnswer {
    head: ResponseHead,
    body: Vec<u8>,
}

/// Serves one request.
pub(super) async fn serve(cx: &Context, conn: &mut Conn, request: &Request) -> Flow {
    let head = &request.head;
    let Some(facts) = headers::read_call(head, &head.host, &head.target) else {
        let refusal = Refusal::new(ErrorKind::Malformed, "no request id");
        cx.event(
            Event::new("request-unreadable")
                .with("cause", "no request id")
                .with("path", &head.target),
        );
        return answer_refusal(cx, conn, request, None, &refusal).await;
    };
    let id = facts.id.clone();
    let resume_after = facts.resume_after.clone();
    let mut ticket = match cx.decide(|gateway, now| gateway.admit(now, facts)) {
        Ok(ticket) => ticket,
        Err(refusal) => return answer_refusal(cx, conn, request, Some(&id), &refusal).await,
    };
    let mut relay = Relay::new(resume_after);
    let (result, status, flow) = run(cx, conn, request, &mut ticket, &mut relay).await;
    cx.metrics.finished(&ticket, cx.now(), result);
    cx.decide(|gateway, now| gateway.end(now, ticket, result, status));
    flow
}

/// Runs a request on one endpoint after the other; returns how it ended.
async fn run(
    cx: &Context,
    conn: &mut Conn,
    request: &Request,
    ticket: &mut AdmittedCall,
    relay: &mut Relay,
) -> (&'static str, u16, Flow) {
    loop {
        let mut run = match cx.decide(|gateway, now| gateway.select_endpoint(now, ticket)) {
            Ok(run) => run,
            Err(refusal) => return give_up(cx, conn, request, ticket, relay, &refusal).await,
        };
        let ended = try_endpoint(cx, conn, request, ticket, &mut run, relay).await;
        match ended {
            Ended::Answered { status, flow } => {
                cx.decide(|gateway, now| gateway.succeed(now, run));
                return ("answered", status, flow);
            }
            Ended::CallerGone => {
                cx.decide(|gateway, now| gateway.abandon(now, run, None));
                return ("caller-gone", 0, Flow::Break);
            }
            Ended::Cut => {
                cx.decide(|gateway, now| gateway.abandon(now, run, Some(CallOutcome::Bad)));
                return ("cut", 0, Flow::Break);
            }
            Ended::TimedOut { is_sent } => {
                let outcome = is_sent.then_some(CallOutcome::Bad);
                cx.decide(|gateway, now| gateway.abandon(now, run, outcome));
                let kind = match is_sent || ticket.executions > 0 {
                    true => ErrorKind::DeadlineExceeded,
                    false => ErrorKind::Overloaded,
                };
                ticket.executions += u32::from(is_sent);
                let refusal = Refusal::new(kind, "no answer in time");
                return give_up(cx, conn, request, ticket, relay, &refusal).await;
            }
            Ended::Failed(failure, own) => {
                let next =
                    cx.decide(|gateway, now| gateway.after_failure(now, ticket, run, failure));
                match (next, own) {
                    (Ok(FailureAction::Retry), _) => {}
                    (Ok(FailureAction::Forward), Some(own)) => {
                        let status = own.head.status;
                        let flow = pass_on(conn, request, cx, &own.head, &own.body).await;
                        return ("endpoint-failed", status, flow);
                    }
                    (Ok(_), _) => {
                        let refusal = Refusal::new(ErrorKind::EndpointFailed, failure.name());
                        return give_up(cx, conn, request, ticket, relay, &refusal).await;
                    }
                    (Err(refusal), _) => {
                        return give_up(cx, conn, request, ticket, relay, &refusal).await;
                    }
                }
            }
        }
    }
}

/// Ends a request without an answer of an endpoint.
async fn give_up(
    cx: &Context,
    conn: &mut Conn,
    request: &Request,
    ticket: &AdmittedCall,
    relay: &Relay,
    refusal: &Refusal,
) -> (&'static str, u16, Flow) {
    if relay.has_begun() {
        return ("cut", 0, Flow::Break);
    }
    let flow = answer_refusal(cx, conn, request, Some(&ticket.id), refusal).await;
    (refusal.kind.name(), refusal.kind.response().status, flow)
}

async fn answer_refusal(
    cx: &Context,
    conn: &mut Conn,
    request: &Request,
    id: Option<&CompactString>,
    refusal: &Refusal,
) -> Flow {
    let should_close = should_close(cx, request);
    let sent = refuse(
        cx,
        conn,
        id.map(CompactString::as_str),
        refusal,
        should_close,
    )
    .await;
    flow(sent, should_close)
}

async fn try_endpoint(
    cx: &Context,
    conn: &mut Conn,
    request: &Request,
    ticket: &mut AdmittedCall,
    run: &mut CallAttempt,
    relay: &mut Relay,
) -> Ended {
    let silence = silence(ticket, run);
    let attempted = {
        let resume_after = relay.resume_after();
        tokio::select! {
            attempted = attempt(cx, ticket, run, request, resume_after, silence) => attempted,
            () = conn.closed() => return Ended::CallerGone,
        }
    };
    let answer = match attempted {
        Attempt::Answered(answer) => *answer,
        Attempt::Failed(failure) => return Ended::Failed(failure, None),
        Attempt::TimedOut { is_sent } => return Ended::TimedOut { is_sent },
    };
    match answer.verdict {
        Verdict::NotRun => {
            drain(cx, answer).await;
            Ended::Failed(CallFailure::NotRun, None)
        }
        Verdict::WrongEndpoint => Ended::Failed(CallFailure::WrongEndpoint, None),
        Verdict::Foreign => Ended::Failed(CallFailure::BadAnswer, None),
        Verdict::Success
            if ticket.route.kind == CallKind::Stream && answer.head.is_event_stream() =>
        {
            stream::relay(cx, conn, request, ticket, run, answer, relay).await
        }
        Verdict::Success | Verdict::Failure => {
            if relay.has_begun() {
                return Ended::Failed(CallFailure::Failed, None);
            }
            if answer.verdict == Verdict::Success {
                cx.decide(|gateway, now| gateway.on_started(now, ticket, run));
            }
            plain(cx, conn, request, ticket, answer).await
        }
    }
}

/// Returns the silence after which a call that may repeat is tried elsewhere.
fn silence(ticket: &AdmittedCall, run: &CallAttempt) -> Option<Duration> {
    if !ticket.route.is_retryable() || ticket.executions + 1 >= ticket.route.max_endpoints {
        return None;
    }
    let target = ticket.route.target_latency;
    Some(match ticket.route.kind {
        CallKind::Stream => run.expected * 2 + target * STREAM_SILENCE,
        _ => run.expected + target * PLAIN_SILENCE,
    })
}

/// Reads the rest of a small answer that is not passed on, so that its connection stays.
async fn drain(cx: &Context, mut answer: Answer) {
    const MAX_DRAINED: usize = 4 << 10;
    const DRAIN_TIMEOUT: Duration = Duration::from_millis(5);
    let mut data = Vec::new();
    let whole = answer.whole(&mut data, MAX_DRAINED);
    if matches!(
        tokio::time::timeout(DRAIN_TIMEOUT, whole).await,
        Ok(Ok(true))
    ) {
        answer.release(&cx.pool);
    }
}

/// Passes on an answer that is no stream of events.
async fn plain(
    cx: &Context,
    conn: &mut Conn,
    request: &Request,
    ticket: &AdmittedCall,
    mut answer: Answer,
) -> Ended {
    let mut body = Vec::new();
    let left = ticket.remaining(cx.now());
    let whole = tokio::select! {
        whole = answer.whole(&mut body, MAX_WHOLE) => whole,
        () = conn.closed() => return Ended::CallerGone,
        () = tokio::time::sleep(left) => return Ended::TimedOut { is_sent: true },
    };
    match whole {
        Err(failure) => Ended::Failed(failure, None),
        Ok(true) if answer.verdict == Verdict::Failure => {
            let own = OwnAnswer {
                head: answer.head.clone(),
                body,
            };
            answer.release(&cx.pool);
            Ended::Failed(CallFailure::Failed, Some(Box::new(own)))
        }
        Ok(true) => {
            let status = answer.head.status;
            let flow = pass_on(conn, request, cx, &answer.head, &body).await;
            answer.release(&cx.pool);
            Ended::Answered { status, flow }
        }
        Ok(false) => large(cx, conn, request, answer, body).await,
    }
}

/// Passes on a body that is too large to be kept, as it comes.
async fn large(
    cx: &Context,
    conn: &mut Conn,
    request: &Request,
    mut answer: Answer,
    first: Vec<u8>,
) -> Ended {
    let status = answer.head.status;
    let should_close = should_close(cx, request);
    let mut message = answer_head(&answer.head, None, should_close);
    write_chunk(&first, &mut message);
    loop {
        if conn.send(&message, SEND_TIMEOUT).await.is_err() {
            return Ended::CallerGone;
        }
        message.clear();
        match answer.next().await {
            Ok(Piece::Data(data)) => write_chunk(&data, &mut message),
            Ok(Piece::End) => break,
            Err(_) => return Ended::Cut,
        }
    }
    let sent = conn.send(b"0\r\n\r\n", SEND_TIMEOUT).await.is_ok();
    answer.release(&cx.pool);
    Ended::Answered {
        status,
        flow: flow(sent, should_close),
    }
}

/// Sends a whole answer of an endpoint.
async fn pass_on(
    conn: &mut Conn,
    request: &Request,
    cx: &Context,
    head: &ResponseHead,
    body: &[u8],
) -> Flow {
    let should_close = should_close(cx, request);
    let mut message = answer_head(head, Some(body.len()), should_close);
    message.extend_from_slice(body);
    flow(
        conn.send(&message, SEND_TIMEOUT).await.is_ok(),
        should_close,
    )
}

/// Writes the head of an endpoint's answer; without a length the body goes in chunks.
pub(super) fn answer_head(
    head: &ResponseHead,
    length: Option<usize>,
    should_close: bool,
) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {} {}\r\n", head.status, reason(head.status)).into_bytes();
    for header in &head.headers {
        if !is_connection_header(&head.headers, &header.name) {
            out.extend_from_slice(header.name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(&header.value);
            out.extend_from_slice(b"\r\n");
        }
    }
    match length {
        _ if head.status == 204 || head.status == 304 => {}
        Some(length) if head.framing != Framing::Empty || length == 0 => {
            out.extend_from_slice(format!("content-length: {length}\r\n").as_bytes());
        }
        Some(_) => {}
        None => out.extend_from_slice(b"transfer-encoding: chunked\r\n"),
    }
    if should_close {
        out.extend_from_slice(b"connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out
}

/// Tells whether the caller's connection ends after this request.
pub(super) fn should_close(cx: &Context, request: &Request) -> bool {
    request.head.should_close || cx.decide(|gateway, _| gateway.is_stopping())
}

/// Returns what becomes of a caller's connection after an answer.
pub(super) fn flow(is_sent: bool, should_close: bool) -> Flow {
    match (is_sent, should_close) {
        (false, _) => Flow::Break,
        (true, true) => Flow::Close,
        (true, false) => Flow::Keep,
    }
}
