//! Carrying one response from its connection to the attempt's channel.
//!
//! The first error ends the relay; a closed channel ends it without a failure.

use compact_str::CompactString;
use laburnumstall_core::ids::EventIndex;
use laburnumstall_core::request::AnswerEvent;
use tokio::sync::mpsc;

use super::chunk::ChunkDecoder;
use super::sse::SseParser;
use super::{AttemptFailure, EndpointEvent};
use crate::http1::{BodyError, HeaderLines, Response, ResponseError};
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

/// The attempt's channel, with the order of its events kept.
pub(super) struct Reporter {
    events: mpsc::Sender<EndpointEvent>,
    is_sent: bool,
}

impl Reporter {
    pub(super) fn new(events: mpsc::Sender<EndpointEvent>) -> Self {
        Self {
            events,
            is_sent: false,
        }
    }

    /// Sorts the end of the attempt's time by whether writing began.
    pub(super) fn timeout_failure(&self) -> AttemptFailure {
        if self.is_sent {
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

/// Sorts the reason why a request that was sent has no whole response.
pub(super) fn response_failure(error: &ResponseError) -> AttemptFailure {
    match error {
        ResponseError::Io { .. } | ResponseError::Closed => AttemptFailure::reset(error),
        ResponseError::Body { source } => body_failure(*source),
        ResponseError::Head { .. } | ResponseError::TooLarge => AttemptFailure::protocol(error),
    }
}

/// Sorts the reason why a body is not whole.
fn body_failure(error: BodyError) -> AttemptFailure {
    match error {
        BodyError::Truncated => AttemptFailure::reset(error),
        _ => AttemptFailure::protocol(error),
    }
}

/// Relays an engine's event stream to its end mark. A stream without it counts as a lost connection.
pub(super) async fn relay_stream(
    mut response: Response,
    tokens_before: u64,
    reporter: &mut Reporter,
) -> Result<(), Stop> {
    let mut parser = SseParser::default();
    let mut decoder = ChunkDecoder::resumed_at(tokens_before);
    let mut events = Vec::new();
    let mut turn = ReadTurn::default();
    while let Some(piece) = response.next().await.map_err(body_failure)? {
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
pub(super) async fn relay_plain(
    mut response: Response,
    reporter: &mut Reporter,
) -> Result<(), Stop> {
    let head = AnswerEvent::Head {
        status: response.head.status,
        content_type: response
            .head
            .value("content-type")
            .unwrap_or_default()
            .into(),
    };
    reporter.answer(None, head).await?;
    let mut pending = Vec::new();
    while let Some(piece) = response.next().await.map_err(body_failure)? {
        pending.extend_from_slice(&piece);
        let text = take_text(&mut pending)?;
        if !text.is_empty() {
            reporter
                .answer(None, AnswerEvent::Chunk { text, tokens: 0 })
                .await?;
        }
    }
    if !pending.is_empty() {
        return Err(AttemptFailure::protocol("the body is not UTF-8").into());
    }
    response.release();
    let finish = CompactString::const_new(PLAIN_FINISH);
    reporter.answer(None, AnswerEvent::End { finish }).await
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

/// Reads the message of an error answer. One that breaks off is no answer.
pub(super) async fn status_failure(mut response: Response) -> AttemptFailure {
    let mut body = Vec::new();
    while body.len() < MAX_ERROR_BODY_BYTES {
        match response.next().await {
            Ok(Some(piece)) => body.extend_from_slice(&piece),
            Ok(None) => break,
            Err(error) => return body_failure(error),
        }
    }
    let status = response.head.status;
    response.release();
    let kept = &body[..body.len().min(MAX_MESSAGE_BYTES)];
    AttemptFailure::Status {
        status,
        message: CompactString::from_utf8_lossy(kept),
    }
}
