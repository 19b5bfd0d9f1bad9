//! Serves one request, from its head to the end of the response.

use std::pin::pin;
use std::time::Duration;

use compact_str::CompactString;
use laburnumstall_core::error::{ErrorKind, Refusal};
use laburnumstall_core::gateway::{
    AdmittedCall, CallFailure, CallKind, CallOutcome, FailureAction,
};
use laburnumstall_platform::headers::{self, ResponseClass};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::admission::{self, StartResult};
use super::context::Context;
use super::crash_checks;
use super::listener::{ConnectionAction, Request, SEND_TIMEOUT, refuse};
use super::log::Event;
use super::origins;
use super::replacement::{Attempts, RaceResult, SilentEnd, Start, race, silence, start};
use super::response::{connection_action, response_head, should_close};
use super::stream::{self, StreamProgress};
use super::upstream::{BodyFrame, Response, SendFailure, send_request};
use crate::http1::{Conn, ResponseHead, write_chunk};

/// Maximum size of a response body that is buffered before it is forwarded, so that the call
/// can be retried on another endpoint if the body is cut off.
const MAX_BUFFERED_BODY: usize = 256 << 10;

/// Result of one attempt, as seen by the caller.
pub(super) enum AttemptResult {
    /// The caller received the whole response.
    Answered {
        /// Status code of the response.
        status: u16,
        /// What to do with the caller's connection.
        action: ConnectionAction,
        /// Whether the response marks its own end, so that the endpoint has certainly run the
        /// request to completion.
        is_delimited: bool,
    },
    /// The attempt failed; holds the endpoint's error response, if there is one.
    Failed(CallFailure, Option<Box<ErrorResponse>>),
    /// The caller disconnected.
    CallerGone,
    /// The deadline of the request passed.
    TimedOut {
        /// Whether an endpoint may have run the request.
        is_sent: bool,
    },
    /// The response was cut off after the caller received a part of it.
    Truncated,
}

/// Error response of an endpoint, kept in case it is forwarded.
pub(super) struct ErrorResponse {
    head: ResponseHead,
    body: Vec<u8>,
}

/// Serves one request and returns what to do with the caller's connection.
pub(super) async fn serve(cx: &Context, conn: &mut Conn, request: &Request) -> ConnectionAction {
    let head = &request.head;
    let Some(attributes) = headers::read_call(head, &head.host, &head.target, &request.body) else {
        let refusal = Refusal::new(ErrorKind::Malformed, "no request id");
        cx.event(
            Event::new("request-unreadable")
                .with("cause", "no request id")
                .with("path", &head.target),
        );
        return send_refusal(cx, conn, request, None, &refusal).await;
    };
    let id = attributes.id.clone();
    let resume_after = attributes.resume_after.clone();
    let mut call = match cx.with_gateway(|gateway, now| gateway.admit(now, attributes)) {
        Ok(call) => call,
        Err(refusal) => return send_refusal(cx, conn, request, Some(&id), &refusal).await,
    };
    let mut progress = StreamProgress::new(resume_after);
    let earlier_sends = conn.sends();
    let serving = async {
        match origins::resume(cx, &mut call).await {
            Ok(()) => run_attempts(cx, conn, request, &mut call, &mut progress).await,
            Err(refusal) => fail_call(cx, conn, request, &call, &progress, &refusal).await,
        }
    };
    let ended = tokio::select! {
        ended = serving => Some(ended),
        () = cx.calls_cut_off() => None,
    };
    let (result, status, action) = match ended {
        Some(ended) => ended,
        // A part of the answer may have been written.
        None if conn.sends() > earlier_sends => ("cut", 0, ConnectionAction::Abort),
        None => {
            let refusal = cx.with_gateway(|gateway, _| gateway.cut_off(&call));
            fail_call(cx, conn, request, &call, &progress, &refusal).await
        }
    };
    cx.metrics.finished(&call, cx.now(), result);
    cx.with_gateway(|gateway, now| gateway.end(now, call, result, status));
    action
}

/// Attempts a call on one endpoint after another until it succeeds or no retry is allowed.
///
/// Returns the result, the status and what to do with the caller's connection.
async fn run_attempts(
    cx: &Context,
    conn: &mut Conn,
    request: &Request,
    call: &mut AdmittedCall,
    progress: &mut StreamProgress,
) -> (&'static str, u16, ConnectionAction) {
    loop {
        let delay = cx.with_gateway(|gateway, now| gateway.send_delay(now, call));
        if !delay.is_zero() {
            tokio::select! {
                () = sleep(delay.min(call.remaining(cx.now()))) => {}
                () = conn.closed() => return ("caller-gone", 0, ConnectionAction::Abort),
            }
        }
        let mut attempts = match admission::start(cx, conn, call).await {
            StartResult::Send(attempt) => Attempts::new(attempt),
            StartResult::Refuse(refusal) => {
                return fail_call(cx, conn, request, call, progress, &refusal).await;
            }
            StartResult::CallerGone => return ("caller-gone", 0, ConnectionAction::Abort),
        };
        let ended = try_endpoint(cx, conn, request, call, &mut attempts, progress).await;
        let attempt = attempts.close(cx);
        match ended {
            AttemptResult::Answered {
                status,
                action,
                is_delimited,
            } => {
                cx.with_gateway(|gateway, now| {
                    match is_delimited {
                        true => gateway.on_completed(now, call),
                        false => gateway.on_ended_by_close(now, call, &attempt),
                    }
                    gateway.succeed(now, attempt);
                });
                return ("answered", status, action);
            }
            AttemptResult::CallerGone => {
                cx.with_gateway(|gateway, now| {
                    gateway.measure_abandoned(now, call, &attempt);
                    gateway.abandon(now, attempt, None);
                });
                return ("caller-gone", 0, ConnectionAction::Abort);
            }
            AttemptResult::Truncated => {
                cx.with_gateway(|gateway, now| {
                    gateway.abandon(now, attempt, Some(CallOutcome::Bad))
                });
                return ("cut", 0, ConnectionAction::Abort);
            }
            AttemptResult::TimedOut { is_sent } => {
                let outcome = is_sent.then_some(CallOutcome::Bad);
                cx.with_gateway(|gateway, now| {
                    gateway.measure_abandoned(now, call, &attempt);
                    gateway.abandon(now, attempt, outcome);
                });
                let kind = match is_sent || call.executions > 0 {
                    true => ErrorKind::DeadlineExceeded,
                    false => ErrorKind::Overloaded,
                };
                call.executions += u32::from(is_sent);
                let refusal = Refusal::new(kind, "no answer in time");
                return fail_call(cx, conn, request, call, progress, &refusal).await;
            }
            AttemptResult::Failed(failure, error_response) => {
                let endpoint = attempt.endpoint.clone();
                let next = cx.with_gateway(|gateway, now| {
                    gateway.after_failure(now, call, attempt, failure)
                });
                crash_checks::settle(cx, &endpoint).await;
                match (next, error_response) {
                    (Ok(FailureAction::Retry), _) => {}
                    (Ok(FailureAction::Forward), Some(error_response)) => {
                        let status = error_response.head.status;
                        let action = forward_buffered(
                            conn,
                            request,
                            cx,
                            &error_response.head,
                            &error_response.body,
                        )
                        .await;
                        return ("endpoint-failed", status, action);
                    }
                    (Ok(_), _) => {
                        let refusal = Refusal::new(ErrorKind::EndpointFailed, failure.name());
                        return fail_call(cx, conn, request, call, progress, &refusal).await;
                    }
                    (Err(refusal), _) => {
                        return fail_call(cx, conn, request, call, progress, &refusal).await;
                    }
                }
            }
        }
    }
}

/// Fails a call with `refusal`, or aborts the connection if the response has started.
async fn fail_call(
    cx: &Context,
    conn: &mut Conn,
    request: &Request,
    call: &AdmittedCall,
    progress: &StreamProgress,
    refusal: &Refusal,
) -> (&'static str, u16, ConnectionAction) {
    if progress.has_started() {
        return ("cut", 0, ConnectionAction::Abort);
    }
    let action = send_refusal(cx, conn, request, Some(&call.id), refusal).await;
    (
        refusal.kind.name(),
        headers::refusal_status(refusal.kind),
        action,
    )
}

async fn send_refusal(
    cx: &Context,
    conn: &mut Conn,
    request: &Request,
    id: Option<&CompactString>,
    refusal: &Refusal,
) -> ConnectionAction {
    let should_close = should_close(cx, request);
    let sent = refuse(
        cx,
        conn,
        id.map(CompactString::as_str),
        refusal,
        should_close,
    )
    .await;
    connection_action(sent, should_close)
}

async fn try_endpoint(
    cx: &Context,
    conn: &mut Conn,
    request: &Request,
    call: &mut AdmittedCall,
    attempts: &mut Attempts,
    progress: &mut StreamProgress,
) -> AttemptResult {
    let outcome = tokio::select! {
        outcome = first_start(cx, call, attempts, request, progress) => outcome,
        () = conn.closed() => return AttemptResult::CallerGone,
    };
    let start = match outcome {
        Ok(start) => start,
        Err(SendFailure::Failed(failure)) => return AttemptResult::Failed(failure, None),
        Err(SendFailure::TimedOut { is_sent }) => return AttemptResult::TimedOut { is_sent },
    };
    match start.response.class {
        ResponseClass::NotRun => {
            discard_body(cx, start.response).await;
            AttemptResult::Failed(CallFailure::NotRun, None)
        }
        ResponseClass::WrongEndpoint => AttemptResult::Failed(CallFailure::WrongEndpoint, None),
        ResponseClass::Foreign => AttemptResult::Failed(CallFailure::BadAnswer, None),
        ResponseClass::Success
            if call.route.kind == CallKind::Stream && start.response.head.is_event_stream() =>
        {
            stream::forward(cx, conn, request, call, attempts, start, progress).await
        }
        ResponseClass::Success | ResponseClass::Failure => {
            if progress.has_started() {
                return AttemptResult::Failed(CallFailure::Failed, None);
            }
            if start.response.class == ResponseClass::Success {
                cx.with_gateway(|gateway, now| {
                    gateway.on_started(now, call, &mut attempts.current)
                });
            }
            forward_plain(cx, conn, request, call, start.response).await
        }
    }
}

/// Sends a request and waits for the start of a response, from a second endpoint as well if the
/// first one is silent for too long.
async fn first_start(
    cx: &Context,
    call: &mut AdmittedCall,
    attempts: &mut Attempts,
    request: &Request,
    progress: &StreamProgress,
) -> Result<Start, SendFailure> {
    const TIMED_OUT: SendFailure = SendFailure::TimedOut { is_sent: true };
    let deadline = Instant::now() + call.remaining(cx.now());
    let resume_after = progress.resume_after();
    let sent = send_request(cx, call, &attempts.current, request, resume_after).await?;
    let goes_on_after = resume_after.filter(|_| progress.has_started() || call.is_resumed);
    let mut first = pin!(start(cx, sent, call.route.kind, goes_on_after));
    loop {
        let silence = silence(call, &attempts.current, 1);
        let silent_at = silence.map_or(deadline, |silence| Instant::now() + silence);
        tokio::select! {
            biased;
            result = &mut first => return result.map_err(SendFailure::Failed),
            () = sleep_until(silent_at.min(deadline)) => {}
        }
        if silent_at >= deadline {
            return Err(TIMED_OUT);
        }
        let mut is_first = true;
        while attempts.replace_silent(cx, call, std::mem::take(&mut is_first)) {
            let has_started = progress.has_started();
            let replacement =
                attempts.start_replacement(cx, call, request, resume_after, has_started);
            let silent = async {
                let start = (&mut first).await.map_err(SilentEnd::Failed)?;
                start.into_success()
            };
            let result = timeout_at(deadline, race(silent, replacement)).await;
            match result.map_err(|_| TIMED_OUT)? {
                RaceResult::Resumed(start) => {
                    attempts.resume(cx, call);
                    return Ok(start);
                }
                RaceResult::Replaced(start, end) => {
                    attempts.promote(cx, call, end.as_ref().map(SilentEnd::failure));
                    return Ok(start);
                }
                RaceResult::StillSilent(failure) => {
                    attempts.fail_replacement(cx, call, failure);
                }
                RaceResult::BothFailed {
                    silent,
                    replacement,
                } => {
                    attempts.fail_replacement(cx, call, replacement);
                    return match silent {
                        SilentEnd::Response(start) => Ok(*start),
                        SilentEnd::Failed(failure) => Err(SendFailure::Failed(failure)),
                    };
                }
            }
        }
    }
}

/// Reads the rest of a small response that is not forwarded, so that its connection can be
/// reused.
async fn discard_body(cx: &Context, mut response: Response) {
    const MAX_DRAINED: usize = 4 << 10;
    const DRAIN_TIMEOUT: Duration = Duration::from_millis(5);
    let mut data = Vec::new();
    let mut share = cx.buffers.share();
    let whole = response.read_body(&mut data, MAX_DRAINED, &mut share);
    if matches!(
        tokio::time::timeout(DRAIN_TIMEOUT, whole).await,
        Ok(Ok(true))
    ) {
        response.release(&cx.pool);
    }
}

/// Forwards a response that is not an event stream.
async fn forward_plain(
    cx: &Context,
    conn: &mut Conn,
    request: &Request,
    call: &AdmittedCall,
    mut response: Response,
) -> AttemptResult {
    let mut body = Vec::new();
    let mut share = cx.buffers.share();
    let remaining = call.remaining(cx.now());
    let whole = tokio::select! {
        whole = response.read_body(&mut body, MAX_BUFFERED_BODY, &mut share) => whole,
        () = conn.closed() => return AttemptResult::CallerGone,
        () = tokio::time::sleep(remaining) => return AttemptResult::TimedOut { is_sent: true },
    };
    match whole {
        Err(error) => AttemptResult::Failed(response.reject(cx, error.name()), None),
        Ok(true) if response.class == ResponseClass::Failure => {
            let error_response = ErrorResponse {
                head: response.head.clone(),
                body,
            };
            response.release(&cx.pool);
            AttemptResult::Failed(CallFailure::Failed, Some(Box::new(error_response)))
        }
        Ok(true) => {
            let status = response.head.status;
            let is_delimited = response.is_delimited();
            let action = forward_buffered(conn, request, cx, &response.head, &body).await;
            response.release(&cx.pool);
            AttemptResult::Answered {
                status,
                action,
                is_delimited,
            }
        }
        Ok(false) => forward_unbuffered(cx, conn, request, call, response, body).await,
    }
}

/// Forwards a body as it arrives, since it is too large to buffer.
async fn forward_unbuffered(
    cx: &Context,
    conn: &mut Conn,
    request: &Request,
    call: &AdmittedCall,
    mut response: Response,
    first: Vec<u8>,
) -> AttemptResult {
    let status = response.head.status;
    let should_close = should_close(cx, request);
    let mut message = response_head(&response.head, None, should_close);
    write_chunk(&first, &mut message);
    loop {
        if conn.send(&message, SEND_TIMEOUT).await.is_err() {
            return AttemptResult::CallerGone;
        }
        message.clear();
        let remaining = call.remaining(cx.now());
        let frame = tokio::select! {
            // Otherwise frames that are always ready would keep the deadline from being seen.
            biased;
            () = sleep(remaining) => return AttemptResult::Truncated,
            () = conn.closed() => return AttemptResult::CallerGone,
            frame = response.next_frame() => frame,
        };
        match frame {
            Ok(BodyFrame::Data(data)) => write_chunk(&data, &mut message),
            Ok(BodyFrame::End) => break,
            Err(error) => {
                response.report(cx, error.name());
                return AttemptResult::Truncated;
            }
        }
    }
    let sent = conn.send(b"0\r\n\r\n", SEND_TIMEOUT).await.is_ok();
    let is_delimited = response.is_delimited();
    response.release(&cx.pool);
    AttemptResult::Answered {
        status,
        is_delimited,
        action: connection_action(sent, should_close),
    }
}

/// Sends a completely received response to the caller.
async fn forward_buffered(
    conn: &mut Conn,
    request: &Request,
    cx: &Context,
    head: &ResponseHead,
    body: &[u8],
) -> ConnectionAction {
    let should_close = should_close(cx, request);
    let mut message = response_head(head, Some(body.len()), should_close);
    message.extend_from_slice(body);
    connection_action(
        conn.send(&message, SEND_TIMEOUT).await.is_ok(),
        should_close,
    )
}
