//! Buffered responses: one body once the answer is complete.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use laburnumstall_core::error::Refusal;
use laburnumstall_core::ids::RequestId;
use laburnumstall_core::message::Delivery;
use laburnumstall_core::request::{AnswerEvent, Dialect};

use crate::front::body::{BodyFormat, TokenCounts};
use crate::front::caller::Caller;
use crate::front::event_stream::{REQUEST_ID_HEADER, daemon_ended};
use crate::front::refusal;

/// Status of a plain answer without a head event.
const DEFAULT_STATUS: u16 = 200;

/// The part of an answer received so far.
#[derive(Default)]
struct AnswerBuffer {
    id: Option<RequestId>,
    status: u16,
    content_type: String,
    text: String,
    tokens: u64,
    finish: Option<String>,
    refusal: Option<Refusal>,
}

/// Waits for the answer and returns it as one body, or returns the refusal.
pub(super) async fn respond(
    caller: Caller,
    format: BodyFormat,
    dialect: Dialect,
    prompt: u64,
) -> HttpResponse {
    respond_attached(caller, format, dialect, prompt, None).await
}

/// Like [`respond`], for a request that may already be accepted under `id`.
pub(super) async fn respond_attached(
    mut caller: Caller,
    format: BodyFormat,
    dialect: Dialect,
    prompt: u64,
    id: Option<RequestId>,
) -> HttpResponse {
    let mut buffer = AnswerBuffer {
        id,
        status: DEFAULT_STATUS,
        ..AnswerBuffer::default()
    };
    while buffer.finish.is_none() && buffer.refusal.is_none() {
        match caller.next().await {
            Some(delivery) => buffer.on_delivery(delivery),
            None => return daemon_ended(),
        }
    }
    buffer.respond(&format, dialect, prompt)
}

impl AnswerBuffer {
    fn on_delivery(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Accepted { request, .. } => self.id = Some(request),
            Delivery::Refused(refusal) => self.refusal = Some(refusal),
            Delivery::Events { events, .. } => {
                for event in events {
                    self.push_event(event);
                }
            }
            Delivery::Moved { .. } => {}
        }
    }

    fn push_event(&mut self, event: AnswerEvent) {
        match event {
            AnswerEvent::Head {
                status,
                content_type,
            } => {
                self.status = status;
                self.content_type = content_type.into();
            }
            AnswerEvent::Chunk { text, tokens } => {
                self.text.push_str(&text);
                self.tokens += u64::from(tokens);
            }
            AnswerEvent::End { finish } => self.finish = Some(finish.into()),
            AnswerEvent::Failed(refusal) => self.refusal = Some(refusal),
        }
    }

    fn respond(self, format: &BodyFormat, dialect: Dialect, prompt: u64) -> HttpResponse {
        let mut response = match &self.refusal {
            Some(refused) => refusal::respond(refused),
            None if dialect == Dialect::Plain => self.plain_body(),
            None => self.model_body(format, prompt),
        };
        if let Some(id) = &self.id
            && let Ok(value) = id.to_string().parse()
        {
            let name = actix_web::http::header::HeaderName::from_static(REQUEST_ID_HEADER);
            response.headers_mut().insert(name, value);
        }
        response
    }

    fn plain_body(&self) -> HttpResponse {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = HttpResponse::build(status);
        if !self.content_type.is_empty() {
            response.content_type(self.content_type.as_str());
        }
        response.body(self.text.clone())
    }

    fn model_body(&self, format: &BodyFormat, prompt: u64) -> HttpResponse {
        let Some(id) = &self.id else {
            return daemon_ended();
        };
        let counts = TokenCounts {
            prompt,
            generated: self.tokens,
        };
        let finish = self.finish.as_deref().unwrap_or_default();
        let body = format.complete(id, &self.text, finish, counts);
        HttpResponse::Ok()
            .content_type("application/json")
            .body(body)
    }
}
