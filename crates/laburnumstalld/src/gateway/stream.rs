//! Streams of events: passed on event by event, and resumed behind the last one.

use std::time::Duration;

use bytes::BytesMut;
use compact_str::CompactString;
use laburnumstall_core::gateway::{AdmittedCall, CallAttempt, CallFailure};
use tokio::time::sleep;

use super::call::{Ended, answer_head, flow, should_close};
use super::context::Context;
use super::listener::{Request, SEND_TIMEOUT};
use super::upstream::{Answer, Piece};
use crate::http1::{Conn, write_chunk};

/// Pause after which a resumable stream is taken for stuck, in pauses that are on time.
const STUCK_PAUSES: u32 = 4;
/// Pause of a stream whose route names none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(300);
/// Largest event; a larger one is no event.
const MAX_EVENT: usize = 1 << 20;

/// What the caller of a stream has been given.
#[derive(Debug, Default)]
pub(super) struct Relay {
    /// Event behind which the stream goes on, as the caller or the last event named it.
    after: Option<CompactString>,
    has_head: bool,
}

impl Relay {
    /// Begins a stream behind the event that the caller names.
    pub(super) fn new(after: Option<CompactString>) -> Self {
        Self {
            after,
            has_head: false,
        }
    }

    /// Tells whether the caller has a part of the answer.
    pub(super) fn has_begun(&self) -> bool {
        self.has_head
    }

    /// Returns the event behind which another endpoint goes on.
    pub(super) fn resume_after(&self) -> Option<&str> {
        self.after.as_deref()
    }
}

/// Passes a stream on until it ends or breaks.
pub(super) async fn relay(
    cx: &Context,
    conn: &mut Conn,
    request: &Request,
    ticket: &mut AdmittedCall,
    run: &mut CallAttempt,
    mut answer: Answer,
    relay: &mut Relay,
) -> Ended {
    let should_close = should_close(cx, request);
    let pause = ticket.route.longest_pause.unwrap_or(DEFAULT_PAUSE) * STUCK_PAUSES;
    let mut pending = BytesMut::new();
    // The core is told of this endpoint's first event alone.
    let mut has_begun = false;
    loop {
        let left = ticket.remaining(cx.now());
        let is_waiting_first = !relay.has_begun();
        let stuck = match ticket.route.is_retryable() && !is_waiting_first {
            true => pause.min(left),
            false => left,
        };
        let piece = tokio::select! {
            piece = answer.next() => piece,
            () = conn.closed() => return Ended::CallerGone,
            () = sleep(stuck) => {
                return match stuck < left {
                    true => Ended::Failed(CallFailure::Silent, None),
                    false => Ended::TimedOut { is_sent: true },
                };
            }
        };
        let is_end = match piece {
            Ok(Piece::Data(data)) => {
                pending.extend_from_slice(&data);
                false
            }
            Ok(Piece::End) => true,
            Err(_) => return Ended::Failed(CallFailure::Broken, None),
        };
        let events = take_events(&mut pending);
        let mut message = Vec::new();
        if let Some(events) = events {
            if !std::mem::replace(&mut has_begun, true) {
                cx.decide(|gateway, now| gateway.on_started(now, ticket, run));
            }
            if !relay.has_head {
                cx.metrics.first_event(ticket, cx.now());
                message = answer_head(&answer.head, None, should_close);
                relay.has_head = true;
            }
            if let Some(id) = last_id(&events) {
                relay.after = Some(id);
            }
            ticket.events += 1;
            write_chunk(&events, &mut message);
        }
        if is_end {
            if !pending.is_empty() || !relay.has_head {
                return Ended::Failed(CallFailure::Broken, None);
            }
            message.extend_from_slice(b"0\r\n\r\n");
        } else if pending.len() > MAX_EVENT {
            return Ended::Failed(CallFailure::BadAnswer, None);
        }
        if !message.is_empty() && conn.send(&message, SEND_TIMEOUT).await.is_err() {
            return Ended::CallerGone;
        }
        if is_end {
            let status = answer.head.status;
            answer.release(&cx.pool);
            return Ended::Answered {
                status,
                flow: flow(true, should_close),
            };
        }
    }
}

/// Takes all whole events; what follows the last blank line stays.
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

/// Returns the identifier of the last event that has one.
fn last_id(events: &[u8]) -> Option<CompactString> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    CompactString::from_utf8(id.trim_ascii()).ok()
}
