//! Forwards event streams event by event and resumes them after the last one.

use std::time::Duration;

use compact_str::CompactString;
use laburnumstall_core::gateway::{AdmittedCall, CallFailure};
use tokio::time::{Instant, sleep, timeout_at};

use super::call::AttemptResult;
use super::context::Context;
use super::listener::{Request, SEND_TIMEOUT};
use super::reclaim::Ready;
use super::replacement::{Attempts, RaceResult, Start, race};
use super::response::{connection_action, response_head, should_close};
use super::upstream::{BodyFrame, Response};
use crate::event_buffer::{EventBuffer, last_id};
use crate::http1::{Conn, write_chunk};

/// Silence after which a second endpoint is asked to go on with a resumable stream, as a multiple
/// of its target for the longest pause.
const STALL_FACTOR: u32 = 4;
/// Target for the longest pause of a stream whose route does not set one.
const DEFAULT_LONGEST_PAUSE: Duration = Duration::from_millis(300);
/// Maximum size of an event with the comments before it; a larger one fails the attempt.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Cause of the rejection of a larger event.
const EVENT_SIZE: &str = "event-size";
/// Cause of the rejection of a long event when many are kept.
const MEMORY: &str = "memory";
/// Cause of the rejection of a stream that does not go on after the last event.
const NOT_RESUMED: &str = "not-resumed";

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

/// What was received from the endpoint of a stream.
enum Input {
    Data,
    End,
    /// Another endpoint goes on with the stream.
    Replaced,
    /// The move of the run from its endpoint has a next step.
    Reclaim(Ready),
}

/// Forwards a stream until it ends or fails.
pub(super) async fn forward(
    cx: &Context,
    conn: &mut Conn,
    request: &Request,
    call: &mut AdmittedCall,
    attempts: &mut Attempts,
    mut source: Start,
    progress: &mut StreamProgress,
) -> AttemptResult {
    let should_close = should_close(cx, request);
    // Only an attempt's first event is reported to the core.
    let mut is_start_reported = false;
    // A stream begins with what was received at its start.
    let mut is_received = true;
    let mut stall = Stall::new(call);
    loop {
        let remaining = call.remaining(cx.now());
        if !std::mem::take(&mut is_received) {
            let input = tokio::select! {
                input = next_input(cx, request, call, attempts, &mut source, progress, &mut stall) => input,
                () = conn.closed() => return AttemptResult::CallerGone,
                () = sleep(remaining) => return AttemptResult::TimedOut { is_sent: true },
            };
            match input {
                Ok(Input::Data) => {}
                Ok(Input::End) => source.is_end = true,
                Ok(Input::Replaced) => is_start_reported = false,
                Ok(Input::Reclaim(ready)) => {
                    let (source, reclaim) = (&attempts.current, &mut attempts.reclaim);
                    if let Some(run) = reclaim.on_ready(cx, call, source, ready) {
                        return AttemptResult::Stopped(Box::new(run));
                    }
                }
                Err(failure) => {
                    let (source, reclaim) = (&attempts.current, &mut attempts.reclaim);
                    return match reclaim.on_closed(cx, call, source).await {
                        Some(run) => AttemptResult::Stopped(Box::new(run)),
                        None => AttemptResult::Failed(failure, None),
                    };
                }
            }
        }
        // The end of a stream that does not mark it may be that of a run that was stopped.
        if source.is_end && !source.response.is_delimited() {
            let (source, reclaim) = (&attempts.current, &mut attempts.reclaim);
            if let Some(run) = reclaim.on_closed(cx, call, source).await {
                return AttemptResult::Stopped(Box::new(run));
            }
        }
        let is_end = source.is_end;
        let has_event = source.received.has_event();
        let mut message = Vec::new();
        // Comments alone begin no stream: another endpoint may still serve it.
        if has_event || source.received.has_block() && (progress.has_head || is_end) {
            if has_event {
                stall.on_event();
                let now = cx.now();
                call.on_event(now);
                attempts.current.on_event(now);
            }
            if !std::mem::replace(&mut is_start_reported, true) {
                let attempt = &mut attempts.current;
                cx.with_gateway(|gateway, now| gateway.on_started(now, call, attempt));
            }
            if !progress.has_head {
                cx.metrics.first_event(call, cx.now());
                message = response_head(&source.response.head, None, should_close);
                progress.has_head = true;
            }
            let blocks = source.received.take_blocks();
            if let Some(id) = last_id(&blocks) {
                progress.resume_after = Some(id);
            }
            write_chunk(&blocks, &mut message);
        }
        if is_end {
            if !source.received.is_empty() || !progress.has_head {
                return AttemptResult::Failed(CallFailure::Broken, None);
            }
            message.extend_from_slice(b"0\r\n\r\n");
        } else if source.received.len() > MAX_EVENT_BYTES {
            return AttemptResult::Failed(source.response.reject(cx, EVENT_SIZE), None);
        }
        if !message.is_empty() && conn.send(&message, SEND_TIMEOUT).await.is_err() {
            return AttemptResult::CallerGone;
        }
        if is_end {
            let status = source.response.head.status;
            let is_delimited = source.response.is_delimited();
            source.response.release(&cx.pool);
            return AttemptResult::Answered {
                is_delimited,
                status,
                action: connection_action(true, should_close),
            };
        }
    }
}

/// Time at which a stream without a further event counts as stalled.
struct Stall {
    timeout: Duration,
    at: Instant,
}

impl Stall {
    fn new(call: &AdmittedCall) -> Self {
        let timeout = call.route.longest_pause.unwrap_or(DEFAULT_LONGEST_PAUSE) * STALL_FACTOR;
        Self {
            timeout,
            at: Instant::now() + timeout,
        }
    }

    fn on_event(&mut self) {
        self.at = Instant::now() + self.timeout;
    }

    /// Receives more of a stream; `None` once it is stalled, whatever else it sends. The next stall
    /// begins then.
    async fn input(
        &mut self,
        cx: &Context,
        source: &mut Start,
    ) -> Option<Result<Input, CallFailure>> {
        if Instant::now() < self.at
            && let Ok(input) = timeout_at(self.at, source.next_input(cx)).await
        {
            return Some(input);
        }
        self.on_event();
        None
    }
}

/// Receives more of a stream. If its endpoint sends no event for too long, waits for a second one as
/// well, which goes on after the last event that the caller received.
async fn next_input(
    cx: &Context,
    request: &Request,
    call: &mut AdmittedCall,
    attempts: &mut Attempts,
    source: &mut Start,
    progress: &StreamProgress,
    stall: &mut Stall,
) -> Result<Input, CallFailure> {
    if !call.route.is_retryable() || !progress.has_started() {
        return source.next_input(cx).await;
    }
    loop {
        let input = tokio::select! {
            biased;
            input = stall.input(cx, source) => input,
            // A stream whose events have no ids cannot go on elsewhere.
            ready = attempts.reclaim.ready(cx), if progress.resume_after().is_some() => {
                return Ok(Input::Reclaim(ready));
            }
        };
        if let Some(input) = input {
            return input;
        }
        let mut is_first = true;
        while attempts.replace_silent(cx, call, std::mem::take(&mut is_first)) {
            let resume_after = progress.resume_after();
            let replacement = attempts.start_replacement(cx, call, request, resume_after, true);
            match race(source.next_event(cx), replacement).await {
                RaceResult::Resumed(input) => {
                    attempts.resume(cx, call);
                    return Ok(input);
                }
                RaceResult::Replaced(started, failure) => {
                    attempts.promote(cx, call, failure);
                    *source = started;
                    return Ok(Input::Replaced);
                }
                RaceResult::StillSilent(failure) => {
                    attempts.fail_replacement(cx, call, failure);
                }
                RaceResult::BothFailed {
                    silent,
                    replacement,
                } => {
                    attempts.fail_replacement(cx, call, replacement);
                    return Err(silent);
                }
            }
        }
    }
}

/// Receives the first whole event of a stream, or its end.
///
/// # Errors
///
/// [`CallFailure::BadAnswer`] if the stream does not go on after the event `goes_on_after`.
pub(super) async fn first_events(
    cx: &Context,
    response: Response,
    goes_on_after: Option<&str>,
) -> Result<Start, CallFailure> {
    let mut start = Start {
        response,
        received: EventBuffer::default(),
        share: cx.buffers.share(),
        is_end: false,
        is_followed: false,
    };
    start.is_end = matches!(start.next_event(cx).await?, Input::End);
    match goes_on_after {
        Some(last) if !start.received.is_empty() && !goes_on(&start.received, last) => {
            Err(start.response.reject(cx, NOT_RESUMED))
        }
        _ => Ok(start),
    }
}

/// Returns whether the first event comes after the event `last`: an error has no id, and a stream
/// that begins anew has earlier ones.
fn goes_on(events: &EventBuffer, last: &str) -> bool {
    let Some(id) = events.first_id() else {
        return false;
    };
    let numbers = id.parse::<u64>().ok().zip(last.parse::<u64>().ok());
    numbers.map_or(id != last, |(id, last)| id > last)
}

impl Start {
    /// Receives more of a stream.
    async fn next_input(&mut self, cx: &Context) -> Result<Input, CallFailure> {
        if self.is_followed {
            return Err(CallFailure::Broken);
        }
        match self.response.next_frame().await {
            // Nothing else separates the stream from what its endpoint writes behind it.
            Ok(BodyFrame::Data(data)) if !self.response.is_delimited() => {
                self.is_followed = self.received.push_until_response(&data);
                self.keep_received(cx)
            }
            Ok(BodyFrame::Data(data)) => {
                self.received.push(&data);
                self.keep_received(cx)
            }
            Ok(BodyFrame::End) => Ok(Input::End),
            Err(error) => {
                self.response.report(cx, error.name());
                Err(CallFailure::Broken)
            }
        }
    }

    /// Counts the received bytes; whole events are about to be sent.
    fn keep_received(&mut self, cx: &Context) -> Result<Input, CallFailure> {
        let may_keep = self.share.keep(self.received.len());
        match may_keep || self.received.has_event() {
            true => Ok(Input::Data),
            false => Err(self.response.reject(cx, MEMORY)),
        }
    }

    /// Receives a stream up to its next whole event or its end.
    async fn next_event(&mut self, cx: &Context) -> Result<Input, CallFailure> {
        loop {
            match self.next_input(cx).await? {
                Input::End if self.received.is_empty() || self.received.has_block() => {
                    return Ok(Input::End);
                }
                Input::End => return Err(CallFailure::Broken),
                _ if self.received.has_event() => return Ok(Input::Data),
                _ if self.received.len() > MAX_EVENT_BYTES => {
                    return Err(self.response.reject(cx, EVENT_SIZE));
                }
                _ => {}
            }
        }
    }
}
