//! Server-sent events for a caller.
//!
//! Each event has an id `N-CHECKSUM`: the number of events up to it and their checksum.
//! A caller that reconnects sends the last id as `Last-Event-ID`. Heartbeat comments let
//! the caller detect a dead connection.

use std::collections::VecDeque;
use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::web::Bytes;
use futures_util::stream;
use laburnumstall_core::error::{ErrorBody, Refusal};
use laburnumstall_core::ids::{EventIndex, RequestId};
use laburnumstall_core::message::{Delivery, Position};
use laburnumstall_core::request::AnswerEvent;

use crate::front::body::BodyFormat;
use crate::front::caller::Caller;
use crate::front::refusal;

/// Time without events after which a heartbeat comment is sent.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(2);

/// Header with the request id.
pub(super) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Returns a stream once the request is accepted, or its refusal.
pub(super) async fn respond(mut caller: Caller, format: BodyFormat) -> HttpResponse {
    let id = match caller.next().await {
        Some(Delivery::Accepted { request, .. }) => request,
        Some(Delivery::Refused(refused)) => return refusal::respond(&refused),
        _ => return daemon_ended(),
    };
    stream_response(caller, format, id)
}

/// Returns the stream of an accepted request.
pub(super) fn stream_response(caller: Caller, format: BodyFormat, id: RequestId) -> HttpResponse {
    let mut response = HttpResponse::Ok();
    response.content_type("text/event-stream");
    response.insert_header((REQUEST_ID_HEADER, id.to_string()));
    response.insert_header(("cache-control", "no-store"));
    let state = StreamState {
        caller,
        id,
        format,
        pending: VecDeque::new(),
        is_finished: false,
    };
    response.streaming(stream::unfold(state, next_bytes))
}

/// Builds the error response for a daemon that ended before answering.
pub(super) fn daemon_ended() -> HttpResponse {
    let kind = laburnumstall_core::error::ErrorKind::OwnerLost;
    refusal::respond(&Refusal::new(kind, "the entry ended"))
}

struct StreamState {
    caller: Caller,
    id: RequestId,
    format: BodyFormat,
    pending: VecDeque<String>,
    is_finished: bool,
}

async fn next_bytes(
    mut state: StreamState,
) -> Option<(Result<Bytes, std::convert::Infallible>, StreamState)> {
    loop {
        if !state.pending.is_empty() {
            let text: String = state.pending.drain(..).collect();
            return Some((Ok(Bytes::from(text)), state));
        }
        if state.is_finished {
            return None;
        }
        match tokio::time::timeout(HEARTBEAT_PERIOD, state.caller.next()).await {
            Err(_) => state.pending.push_back(": heartbeat\n\n".to_owned()),
            Ok(None) => return None,
            Ok(Some(delivery)) => state.on_delivery(delivery),
        }
    }
}

impl StreamState {
    fn on_delivery(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Accepted { request, .. } => self.id = request,
            Delivery::Events { from, events } => self.push_events(from, &events),
            Delivery::Refused(refusal) => self.push_refusal(&refusal),
            Delivery::Moved { .. } => {}
        }
    }

    fn push_events(&mut self, from: Position, events: &[AnswerEvent]) {
        let mut position = from;
        for event in events {
            position = position.after(std::slice::from_ref(event));
            self.push_event(position, event);
        }
    }

    fn push_event(&mut self, position: Position, event: &AnswerEvent) {
        let text = match event {
            AnswerEvent::Head { .. } => return,
            AnswerEvent::Chunk { text, .. } => {
                let data = self.format.chunk(&self.id, Some(text), None);
                frame(position, &data)
            }
            AnswerEvent::End { finish } => {
                self.is_finished = true;
                let data = self.format.chunk(&self.id, None, Some(finish));
                format!("{}data: [DONE]\n\n", frame(position, &data))
            }
            AnswerEvent::Failed(refusal) => {
                self.push_refusal(refusal);
                return;
            }
        };
        self.pending.push_back(text);
    }

    fn push_refusal(&mut self, refusal: &Refusal) {
        self.is_finished = true;
        let body = ErrorBody::from(refusal);
        let data =
            serde_json::to_string(&body).expect("an error body can always be encoded as JSON");
        self.pending
            .push_back(format!("event: error\ndata: {data}\n\n"));
    }
}

fn frame(position: Position, data: &str) -> String {
    format!("id: {}\ndata: {data}\n\n", EventId(position))
}

/// A position in its text form `N-CHECKSUM`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct EventId(pub(super) Position);

impl std::fmt::Display for EventId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}-{:08x}", self.0.index, self.0.checksum)
    }
}

impl std::str::FromStr for EventId {
    type Err = ();

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let (index, checksum) = s.split_once('-').ok_or(())?;
        Ok(Self(Position {
            index: EventIndex(index.parse().map_err(|_| ())?),
            checksum: u32::from_str_radix(checksum, 16).map_err(|_| ())?,
        }))
    }
}
