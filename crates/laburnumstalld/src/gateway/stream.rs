//! Forwards event streams event by event and resumes them after the last one.

use std::time::Duration;

use bytes::BytesMut;
use compact_str::CompactString;
use laburnumstall_core::gateway::{AdmittedCall, CallAttempt, CallFailure};
use tokio::time::sleep;

use super::call::{AttemptResult, connection_action, response_head, should_close};
use super::context::Context;
use super::listener::{Request, SEND_TIMEOUT};
use super::upstream::{BodyFrame, Response};
use crate::http1::{Conn, write_chunk};

/// Stall timeout of a resumable stream, as a multiple of its target for the longest pause.
const STALL_FACTOR: u32 = 4;
/// Target for the longest pause of a stream whose route does not set one.
const DEFAULT_LONGEST_PAUSE: Duration = Duration::from_millis(300);
/// Maximum size of an event; a larger one fails the attempt.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// How much of a stream the caller has received, across attempts.
#[derive(Debug, Default)]
pub(super) struct StreamProgress {
    /// Id of the event after which the stream resumes, from the caller or the last event.
    resume_after: Option<CompactString>,
    has_head: bool,
}

impl StreamProgress {
    /// Starts a stream, after the event that the caller names if it resumes one.
    pub(super) fn new(resume_after: Option<CompactString>) -> Self {
        Self {
            resume_after,
            has_head: false,
        }
    }

    /// Returns whether the caller has received a part of the response.
    pub(super) fn has_started(&self) -> bool {
        self.has_head
    }

    /// Returns the id of the event after which another endpoint resumes.
    pub(super) fn resume_after(&self) -> Option<&str> {
        self.resume_after.as_deref()
    }
}

/// Forwards a stream until it ends, stalls or fails.
pub(super) async fn forward(
    cx: &Context,
    conn: &mut Conn,
    request: &Request,
    call: &mut AdmittedCall,
    attempt: &mut CallAttempt,
    mut response: Response,
    progress: &mut StreamProgress,
) -> AttemptResult {
    let should_close = should_close(cx, request);
    let pause = call.route.longest_pause.unwrap_or(DEFAULT_LONGEST_PAUSE) * STALL_FACTOR;
    let mut pending = BytesMut::new();
    // Only this attempt's first event is reported to the core.
    let mut is_start_reported = false;
    loop {
        let remaining = call.remaining(cx.now());
        let awaits_first_event = !progress.has_started();
        let stall_timeout = match call.route.is_retryable() && !awaits_first_event {
            true => pause.min(remaining),
            false => remaining,
        };
        let frame = tokio::select! {
            frame = response.next_frame() => frame,
            () = conn.closed() => return AttemptResult::CallerGone,
            () = sleep(stall_timeout) => {
                return match stall_timeout < remaining {
                    true => AttemptResult::Failed(CallFailure::Silent, None),
                    false => AttemptResult::TimedOut { is_sent: true },
                };
            }
        };
        let is_end = match frame {
            Ok(BodyFrame::Data(data)) => {
                pending.extend_from_slice(&data);
                false
            }
            Ok(BodyFrame::End) => true,
            Err(_) => return AttemptResult::Failed(CallFailure::Broken, None),
        };
        let events = take_events(&mut pending);
        let mut message = Vec::new();
        if let Some(events) = events {
            if !std::mem::replace(&mut is_start_reported, true) {
                cx.with_gateway(|gateway, now| gateway.on_started(now, call, attempt));
            }
            if !progress.has_head {
                cx.metrics.first_event(call, cx.now());
                message = response_head(&response.head, None, should_close);
                progress.has_head = true;
            }
            if let Some(id) = last_id(&events) {
                progress.resume_after = Some(id);
            }
            call.events += 1;
            write_chunk(&events, &mut message);
        }
        if is_end {
            if !pending.is_empty() || !progress.has_head {
                return AttemptResult::Failed(CallFailure::Broken, None);
            }
            message.extend_from_slice(b"0\r\n\r\n");
        } else if pending.len() > MAX_EVENT_BYTES {
            return AttemptResult::Failed(CallFailure::BadAnswer, None);
        }
        if !message.is_empty() && conn.send(&message, SEND_TIMEOUT).await.is_err() {
            return AttemptResult::CallerGone;
        }
        if is_end {
            let status = response.head.status;
            response.release(&cx.pool);
            return AttemptResult::Answered {
                status,
                action: connection_action(true, should_close),
            };
        }
    }
}

/// Splits off all complete events; bytes after the last blank line stay in `pending`.
fn take_events(pending: &mut BytesMut) -> Option<BytesMut> {
    let end = [&b"\n\n"[..], &b"\r\n\r\n"[..]]
        .iter()
        .filter_map(|blank| find_last(pending, blank).map(|at| at + blank.len()))
        .max()?;
    Some(pending.split_to(end))
}

fn find_last(data: &[u8], pattern: &[u8]) -> Option<usize> {
    data.windows(pattern.len())
        .rposition(|window| window == pattern)
}

/// Returns the id of the last event that has one.
fn last_id(events: &[u8]) -> Option<CompactString> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    CompactString::from_utf8(id.trim_ascii()).ok()
}
