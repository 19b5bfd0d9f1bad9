//! Second attempts of calls whose endpoint is silent.
//!
//! Silence does not show that an endpoint has failed, so the silent attempt is kept until a
//! second one has started. Whichever makes progress first serves the call.

use std::pin::pin;
use std::time::Duration;

use laburnumstall_core::gateway::{AdmittedCall, BufferShare, CallAttempt, CallFailure, CallKind};
use laburnumstall_platform::headers::ResponseClass;
use tokio::time::timeout;

use super::context::Context;
use super::listener::Request;
use super::reclaim::Reclaim;
use super::stream;
use super::upstream::{Response, SendFailure, SentRequest, send_request};
use crate::event_buffer::EventBuffer;

/// Silence after which a retryable plain call is tried on another endpoint, in target
/// latencies: the longest ordinary calls take about four times the mean.
const PLAIN_SILENCE_LATENCIES: u32 = 2;
/// Silence allowed before the first event of a resumable stream, in target latencies.
const STREAM_SILENCE_LATENCIES: u32 = 2;

/// Attempts of one call that are in flight.
pub(super) struct Attempts {
    /// Attempt that serves the call.
    pub current: CallAttempt,
    /// Move of the run from its endpoint, if that is reclaimed.
    pub reclaim: Reclaim,
    replacement: Option<CallAttempt>,
    /// Sends of the call before the replacement.
    earlier_sends: u32,
}

/// Beginning of a response: its head and, for a stream, the first whole event.
pub(super) struct Start {
    /// Response whose head was received.
    pub response: Response,
    /// Bytes of the body that were received.
    pub received: EventBuffer,
    /// What the received bytes take of the memory for all.
    pub share: BufferShare,
    /// Whether the body is complete.
    pub is_end: bool,
    /// Whether another response follows the events that were received.
    pub is_followed: bool,
}

/// How a silent attempt ended while its replacement was in flight.
pub(super) enum SilentEnd {
    /// The endpoint responded that it did not run the call, or with an error.
    Response(Box<Start>),
    /// There was no usable response.
    Failed(CallFailure),
}

/// Result of a race between a silent attempt and its replacement.
pub(super) enum RaceResult<A, B, E> {
    /// The silent attempt went on.
    Resumed(A),
    /// The replacement started; holds the end of the other one, if it failed meanwhile.
    Replaced(B, Option<E>),
    /// The replacement failed; the other attempt is still silent.
    StillSilent(CallFailure),
    /// Both failed.
    BothFailed { silent: E, replacement: CallFailure },
}

impl Attempts {
    /// Starts with one attempt.
    pub(super) fn new(call: &AdmittedCall, current: CallAttempt) -> Self {
        Self {
            current,
            reclaim: Reclaim::new(call),
            replacement: None,
            earlier_sends: 0,
        }
    }

    /// Adds a replacement if the core selects one; returns whether it did. `is_first` tells that
    /// it is the first one for this silence.
    pub(super) fn replace_silent(
        &mut self,
        cx: &Context,
        call: &mut AdmittedCall,
        is_first: bool,
    ) -> bool {
        self.earlier_sends = call.sends;
        self.replacement = cx.with_gateway(|gateway, now| {
            gateway.replace_silent(now, call, &self.current, is_first)
        });
        self.replacement.is_some()
    }

    /// Makes the replacement the current attempt.
    pub(super) fn promote(
        &mut self,
        cx: &Context,
        call: &mut AdmittedCall,
        failure: Option<CallFailure>,
    ) {
        if let Some(replacement) = self.replacement.take() {
            let reclaim = std::mem::replace(&mut self.reclaim, Reclaim::new(call));
            reclaim.close(cx, call, &self.current);
            let replaced = std::mem::replace(&mut self.current, replacement);
            let failure = failure.unwrap_or(CallFailure::Silent);
            cx.with_gateway(|gateway, now| gateway.on_replaced(now, call, replaced, failure));
        }
    }

    /// Ends the replacement after its failure.
    pub(super) fn fail_replacement(
        &mut self,
        cx: &Context,
        call: &mut AdmittedCall,
        failure: CallFailure,
    ) {
        if let Some(replacement) = self.replacement.take() {
            cx.with_gateway(|gateway, now| {
                gateway.on_replacement_failed(now, call, replacement, failure);
            });
        }
    }

    /// Ends the replacement because the silent attempt goes on.
    pub(super) fn resume(&mut self, cx: &Context, call: &mut AdmittedCall) {
        if let Some(replacement) = self.replacement.take() {
            let is_sent = call.sends > self.earlier_sends;
            cx.with_gateway(|gateway, now| {
                gateway.on_resumed(now, call, &self.current, replacement, is_sent);
            });
        }
    }

    /// Ends all but the current attempt.
    pub(super) fn close(mut self, cx: &Context, call: &AdmittedCall) -> CallAttempt {
        self.reclaim.close(cx, call, &self.current);
        if let Some(replacement) = self.replacement.take() {
            cx.with_gateway(|gateway, now| gateway.abandon(now, replacement, None));
        }
        self.current
    }

    /// Sends the call to the endpoint of the replacement and waits for its start.
    ///
    /// If another endpoint may run the call as well, silence ends the wait.
    pub(super) async fn start_replacement(
        &self,
        cx: &Context,
        call: &mut AdmittedCall,
        request: &Request,
        resume_after: Option<&str>,
        has_started: bool,
    ) -> Result<Start, CallFailure> {
        let Some(replacement) = &self.replacement else {
            return Err(CallFailure::NotSent);
        };
        let silence = silence(call, replacement, 2);
        let kind = call.route.kind;
        let goes_on_after = resume_after.filter(|_| has_started || call.is_resumed);
        let starting = async {
            let sent = send_request(cx, call, replacement, request, resume_after).await;
            let sent = sent.map_err(|failure| match failure {
                SendFailure::Failed(failure) => failure,
                SendFailure::TimedOut { is_sent: true } => CallFailure::Silent,
                SendFailure::TimedOut { is_sent: false } => CallFailure::NotSent,
            })?;
            let start = start(cx, sent, kind, goes_on_after).await?;
            match start.response.class {
                // Nothing but events goes on with a stream that has begun.
                ResponseClass::Success if !has_started || start.response.head.is_event_stream() => {
                    Ok(start)
                }
                // An error response serves a call that has not begun its response.
                ResponseClass::Failure if !has_started => Ok(start),
                _ => Err(start.failure()),
            }
        };
        let started = timeout(silence.unwrap_or(Duration::MAX), starting).await;
        started.unwrap_or(Err(CallFailure::Silent))
    }
}

impl Start {
    /// Returns the failure that a response other than a success stands for.
    fn failure(&self) -> CallFailure {
        match self.response.class {
            ResponseClass::NotRun => CallFailure::NotRun,
            ResponseClass::WrongEndpoint => CallFailure::WrongEndpoint,
            ResponseClass::Failure => CallFailure::Failed,
            ResponseClass::Success | ResponseClass::Foreign => CallFailure::BadAnswer,
        }
    }

    /// Separates a success from other responses.
    pub(super) fn into_success(self) -> Result<Self, SilentEnd> {
        match self.response.class {
            ResponseClass::Success => Ok(self),
            _ => Err(SilentEnd::Response(Box::new(self))),
        }
    }
}

impl SilentEnd {
    /// Returns how the attempt failed.
    pub(super) fn failure(&self) -> CallFailure {
        match self {
            Self::Response(start) => start.failure(),
            Self::Failed(failure) => *failure,
        }
    }
}

/// Waits for the start of a response. A stream has to go on after the event `goes_on_after`, if there
/// is one.
pub(super) async fn start(
    cx: &Context,
    sent: SentRequest,
    kind: CallKind,
    goes_on_after: Option<&str>,
) -> Result<Start, CallFailure> {
    let response = sent.response(cx).await?;
    let is_stream = kind == CallKind::Stream && response.head.is_event_stream();
    match response.class {
        ResponseClass::Success if is_stream => {
            stream::first_events(cx, response, goes_on_after).await
        }
        _ => Ok(Start {
            response,
            received: EventBuffer::default(),
            share: cx.buffers.share(),
            is_end: false,
            is_followed: false,
        }),
    }
}

/// Returns the silence after which one more endpoint is tried beside those that `in_flight`
/// counts; `None` if no other may run the call.
pub(super) fn silence(
    call: &AdmittedCall,
    attempt: &CallAttempt,
    in_flight: u32,
) -> Option<Duration> {
    if !call.route.is_retryable() || call.executions + in_flight >= call.route.max_endpoints {
        return None;
    }
    let target = call.route.target_latency;
    Some(match call.route.kind {
        CallKind::Stream => attempt.expected * 2 + target * STREAM_SILENCE_LATENCIES,
        _ => attempt.expected + target * PLAIN_SILENCE_LATENCIES,
    })
}

/// Waits until the silent attempt goes on or its replacement starts; if one of them fails, for
/// the other one.
pub(super) async fn race<A, B, E>(
    silent: impl Future<Output = Result<A, E>>,
    replacement: impl Future<Output = Result<B, CallFailure>>,
) -> RaceResult<A, B, E> {
    let mut replacement = pin!(replacement);
    let end = tokio::select! {
        biased;
        result = silent => match result {
            Ok(resumed) => return RaceResult::Resumed(resumed),
            Err(end) => end,
        },
        result = &mut replacement => return match result {
            Ok(started) => RaceResult::Replaced(started, None),
            Err(failure) => RaceResult::StillSilent(failure),
        },
    };
    match replacement.await {
        Ok(started) => RaceResult::Replaced(started, Some(end)),
        Err(replacement) => RaceResult::BothFailed {
            silent: end,
            replacement,
        },
    }
}
