//! Carrying one response from its connection to the attempt's channel.
//!
//! The first error ends the relay; a closed channel ends it without a failure.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use awc::ClientResponse;
use awc::body::{BodySize, MessageBody};
use awc::error::SendRequestError;
use awc::http::StatusCode;
use awc::http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::StreamExt;
use laburnumstall_core::ids::EventIndex;
use laburnumstall_core::request::AnswerEvent;
use tokio::sync::{mpsc, oneshot};

use super::chunk::ChunkDecoder;
use super::sse::SseParser;
use super::{AttemptFailure, EndpointEvent};
use crate::http::is_not_sent;
use crate::turn::ReadTurn;

/// Most bytes of an error's message that are kept.
const MAX_MESSAGE_BYTES: usize = 512;

/// Largest error body that is read, in bytes.
const MAX_ERROR_BODY_BYTES: usize = 64 * 1024;

/// Finish of a plain answer, which names none.
const PLAIN_FINISH: &str = "stop";

/// Why a relay stops before the answer's end.
pub(super) enum Stop {
    /// The receiver is gone.
    Closed,
    /// The attempt's time is over.
    TimedOut,
    /// The attempt failed.
    Failed(AttemptFailure),
}

impl From<AttemptFailure> for Stop {
    fn from(failure: AttemptFailure) -> Self {
        Self::Failed(failure)
    }
}

/// A request body that tells when its writing begins.
pub(super) struct SentBody {
    bytes: Option<Bytes>,
    size: u64,
    sent: Option<oneshot::Sender<()>>,
    has_begun: Rc<Cell<bool>>,
}

impl MessageBody for SentBody {
    type Error = Infallible;

    /// An empty body counts as a stream, because `awc` polls no body of size zero.
    fn size(&self) -> BodySize {
        match self.size {
            0 => BodySize::Stream,
            size => BodySize::Sized(size),
        }
    }

    fn poll_next(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        let this = self.get_mut();
        this.has_begun.set(true);
        if let Some(sent) = this.sent.take() {
            // The attempt may have been given up.
            let _ = sent.send(());
        }
        let bytes = this.bytes.take().filter(|bytes| !bytes.is_empty());
        Poll::Ready(bytes.map(Ok))
    }
}

/// The attempt's channel, with the order of its events kept.
pub(super) struct Reporter {
    events: mpsc::Sender<EndpointEvent>,
    is_sent: bool,
    has_begun: Rc<Cell<bool>>,
}

impl Reporter {
    pub(super) fn new(events: mpsc::Sender<EndpointEvent>) -> Self {
        Self {
            events,
            is_sent: false,
            has_begun: Rc::default(),
        }
    }

    /// Builds a body whose writing is noted, and the receiver that is told of it.
    pub(super) fn body(&self, bytes: Bytes) -> (SentBody, oneshot::Receiver<()>) {
        let (tx, rx) = oneshot::channel();
        let body = SentBody {
            size: bytes.len() as u64,
            bytes: Some(bytes),
            sent: Some(tx),
            has_begun: self.has_begun.clone(),
        };
        (body, rx)
    }

    /// Sorts the end of the attempt's time by whether writing began.
    pub(super) fn timeout_failure(&self) -> AttemptFailure {
        if self.has_begun.get() {
            AttemptFailure::TimedOut
        } else {
            AttemptFailure::not_sent("the deadline passed before there was a connection")
        }
    }

    /// Reports that writing began, once.
    pub(super) async fn sent(&mut self) -> Result<(), Stop> {
        if std::mem::replace(&mut self.is_sent, true) {
            return Ok(());
        }
        self.put(EndpointEvent::Sent).await
    }

    pub(super) async fn answer(
        &mut self,
        index: Option<EventIndex>,
        event: AnswerEvent,
    ) -> Result<(), Stop> {
        self.sent().await?;
        self.put(EndpointEvent::Answer { index, event }).await
    }

    /// Reports a failure as the last event.
    pub(super) async fn fail(&mut self, failure: AttemptFailure) {
        if !failure.is_not_sent() && self.sent().await.is_err() {
            return;
        }
        // Nobody is left to tell when the receiver is gone.
        let _ = self.put(EndpointEvent::Failed(failure)).await;
    }

    async fn put(&mut self, event: EndpointEvent) -> Result<(), Stop> {
        self.events.send(event).await.map_err(|_| Stop::Closed)
    }
}

/// Sorts the failure of a send.
pub(super) fn send_failure(error: &SendRequestError) -> AttemptFailure {
    if is_not_sent(error) {
        AttemptFailure::not_sent(error)
    } else {
        AttemptFailure::reset(error)
    }
}

/// Relays an engine's event stream to its end mark.
///
/// `awc` ends a body without an error when the connection closes within it, so a stream
/// without its end mark counts as a lost connection.
pub(super) async fn relay_stream(
    mut response: ClientResponse,
    tokens_before: u64,
    reporter: &mut Reporter,
) -> Result<(), Stop> {
    let mut parser = SseParser::default();
    let mut decoder = ChunkDecoder::resumed_at(tokens_before);
    let mut events = Vec::new();
    let mut turn = ReadTurn::default();
    while let Some(piece) = response.next().await {
        let piece = piece.map_err(AttemptFailure::reset)?;
        turn.spend(piece.len());
        turn.wait().await;
        let parsed = parser.push(&piece, &mut events);
        for event in events.drain(..) {
            let Some(answer) = decoder.decode(&event.data)? else {
                continue;
            };
            let index = event.id.and_then(|id| id.parse().ok());
            let is_last = answer.is_last();
            reporter.answer(index, answer).await?;
            if is_last {
                return Ok(());
            }
        }
        parsed.map_err(AttemptFailure::protocol)?;
    }
    Err(AttemptFailure::reset("the stream ended without its end mark").into())
}

/// Relays a plain answer: head, body in pieces, end.
///
/// `awc` ends a body without an error when the connection closes within it, so the body
/// is counted against its declared length, and one without a length is not accepted.
pub(super) async fn relay_plain(
    mut response: ClientResponse,
    is_head: bool,
    reporter: &mut Reporter,
) -> Result<(), Stop> {
    let mut missing = body_length(&response, is_head)?;
    let head = AnswerEvent::Head {
        status: response.status().as_u16(),
        content_type: content_type(&response),
    };
    reporter.answer(None, head).await?;
    let mut pending = Vec::new();
    while let Some(piece) = response.next().await {
        let piece = piece.map_err(AttemptFailure::reset)?;
        missing = missing.saturating_sub(piece.len() as u64);
        pending.extend_from_slice(&piece);
        let text = take_text(&mut pending)?;
        if !text.is_empty() {
            reporter
                .answer(None, AnswerEvent::Chunk { text, tokens: 0 })
                .await?;
        }
    }
    if missing > 0 {
        return Err(AttemptFailure::reset("the body is shorter than its length").into());
    }
    if !pending.is_empty() {
        return Err(AttemptFailure::protocol("the body is not UTF-8").into());
    }
    let finish = CompactString::const_new(PLAIN_FINISH);
    reporter.answer(None, AnswerEvent::End { finish }).await
}

/// Returns the length that the body must have.
fn body_length(response: &ClientResponse, is_head: bool) -> Result<u64, AttemptFailure> {
    let status = response.status();
    if is_head || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        return Ok(0);
    }
    let header = response.headers().get(CONTENT_LENGTH);
    header
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .ok_or_else(|| AttemptFailure::protocol("the answer has no content-length"))
}

/// Takes the whole characters from the front of `pending`.
fn take_text(pending: &mut Vec<u8>) -> Result<CompactString, AttemptFailure> {
    let valid = match std::str::from_utf8(pending) {
        Ok(text) => text.len(),
        Err(e) if e.error_len().is_none() => e.valid_up_to(),
        Err(_) => return Err(AttemptFailure::protocol("the body is not UTF-8")),
    };
    let text = CompactString::from_utf8_lossy(&pending[..valid]);
    pending.drain(..valid);
    Ok(text)
}

/// Reads the message of an error answer.
pub(super) async fn status_failure(mut response: ClientResponse) -> AttemptFailure {
    let status = response.status().as_u16();
    let body = response.body().limit(MAX_ERROR_BODY_BYTES).await;
    let body = body.unwrap_or_default();
    let kept = &body[..body.len().min(MAX_MESSAGE_BYTES)];
    AttemptFailure::Status {
        status,
        message: CompactString::from_utf8_lossy(kept),
    }
}

/// Returns the media type of a response with its parameters.
pub(super) fn content_type(response: &ClientResponse) -> CompactString {
    response
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .into()
}
