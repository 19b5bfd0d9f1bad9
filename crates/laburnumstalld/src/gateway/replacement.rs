//! Second attempts of calls whose endpoint is silent.
//!
//! Silence does not show that an endpoint has failed, so the silent attempt is kept until a
//! second one has started. Whichever sends something first serves the call.

use std::pin::pin;

use laburnumstall_core::gateway::{AdmittedCall, CallAttempt, CallFailure};
use laburnumstall_platform::headers::ResponseClass;

use super::context::Context;
use super::listener::Request;
use super::upstream::{Response, SendFailure, send_request};

/// Attempts of one call that are in flight.
pub(super) struct Attempts {
    /// Attempt that serves the call.
    pub current: CallAttempt,
    replacement: Option<CallAttempt>,
}

/// Result of a race between a silent attempt and its replacement.
pub(super) enum RaceResult<A, B> {
    /// The silent attempt went on.
    Resumed(A),
    /// The replacement started; holds the failure of the other one, if it failed meanwhile.
    Replaced(B, Option<CallFailure>),
    /// The replacement failed; the other attempt is still silent.
    StillSilent(CallFailure),
    /// Both failed.
    BothFailed {
        silent: CallFailure,
        replacement: CallFailure,
    },
}

impl Attempts {
    /// Starts with one attempt.
    pub(super) fn new(current: CallAttempt) -> Self {
        Self {
            current,
            replacement: None,
        }
    }

    /// Adds a replacement if the core selects one; returns whether it did.
    pub(super) fn replace_silent(&mut self, cx: &Context, call: &mut AdmittedCall) -> bool {
        self.abandon_replacement(cx);
        self.replacement =
            cx.with_gateway(|gateway, now| gateway.replace_silent(now, call, &self.current));
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

    /// Ends the replacement because the call does not need it.
    pub(super) fn abandon_replacement(&mut self, cx: &Context) {
        if let Some(replacement) = self.replacement.take() {
            cx.with_gateway(|gateway, now| gateway.abandon(now, replacement, None));
        }
    }

    /// Ends all but the current attempt.
    pub(super) fn close(mut self, cx: &Context) -> CallAttempt {
        self.abandon_replacement(cx);
        self.current
    }

    /// Sends the call to the endpoint of the replacement and waits for a successful response.
    pub(super) async fn open_replacement(
        &self,
        cx: &Context,
        call: &mut AdmittedCall,
        request: &Request,
        resume_after: Option<&str>,
    ) -> Result<Response, CallFailure> {
        let Some(replacement) = &self.replacement else {
            return Err(CallFailure::NotSent);
        };
        let sent = send_request(cx, call, replacement, request, resume_after).await;
        let sent = sent.map_err(|failure| match failure {
            SendFailure::Failed(failure) => failure,
            SendFailure::TimedOut { is_sent: true } => CallFailure::Silent,
            SendFailure::TimedOut { is_sent: false } => CallFailure::NotSent,
        })?;
        let response = sent.response().await?;
        match response.class {
            ResponseClass::Success => Ok(response),
            ResponseClass::Failure => Err(CallFailure::Failed),
            ResponseClass::NotRun => Err(CallFailure::NotRun),
            ResponseClass::WrongEndpoint => Err(CallFailure::WrongEndpoint),
            ResponseClass::Foreign => Err(CallFailure::BadAnswer),
        }
    }
}

/// Waits until the silent attempt goes on or its replacement starts; if one of them fails, for
/// the other one.
pub(super) async fn race<A, B>(
    silent: impl Future<Output = Result<A, CallFailure>>,
    replacement: impl Future<Output = Result<B, CallFailure>>,
) -> RaceResult<A, B> {
    let mut replacement = pin!(replacement);
    let failure = tokio::select! {
        biased;
        result = silent => match result {
            Ok(resumed) => return RaceResult::Resumed(resumed),
            Err(failure) => failure,
        },
        result = &mut replacement => return match result {
            Ok(started) => RaceResult::Replaced(started, None),
            Err(failure) => RaceResult::StillSilent(failure),
        },
    };
    match replacement.await {
        Ok(started) => RaceResult::Replaced(started, Some(failure)),
        Err(replacement) => RaceResult::BothFailed {
            silent: failure,
            replacement,
        },
    }
}
