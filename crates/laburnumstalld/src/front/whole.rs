//! One body for a caller, when the whole answer is there.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use laburnumstall_core::error::Refusal;
use laburnumstall_core::ids::RequestId;
use laburnumstall_core::message::Delivery;
use laburnumstall_core::request::{AnswerEvent, Dialect};

use crate::front::body::{BodyStyle, TokenCounts};
use crate::front::caller::Caller;
use crate::front::event_stream::{REQUEST_ID_HEADER, daemon_ended};
use crate::front::refusal;

/// Status of a plain answer without a head.
const DEFAULT_STATUS: u16 = 200;

/// What has come of an answer.
#[derive(Default)]
struct Gathered {
    id: Option<RequestId>,
    status: u16,
    content_type: String,
    text: String,
    tokens: u64,
    finish: Option<String>,
    refusal: Option<Refusal>,
}

/// Answers with one body, or with the refusal.
pub(super) async fn respond(
    caller: Caller,
    style: BodyStyle,
    dialect: Dialect,
    prompt: u64,
) -> HttpResponse {
    go_on(caller, style, dialect, prompt, None).await
}

/// Answers with one body of a request that may be accepted already.
pub(super) async fn go_on(
    mut caller: Caller,
    style: BodyStyle,
    dialect: Dialect,
    prompt: u64,
    id: Option<RequestId>,
) -> HttpResponse {
    let mut gathered = Gathered {
        id,
        status: DEFAULT_STATUS,
        ..Gathered::default()
    };
    while gathered.finish.is_none() && gathered.refusal.is_none() {
        match caller.next().await {
            Some(delivery) => gathered.take_in(delivery),
            None => return daemon_ended(),
        }
    }
    gathered.respond(&style, dialect, prompt)
}

impl Gathered {
    fn take_in(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Accepted { request, .. } => self.id = Some(request),
            Delivery::Refused(refusal) => self.refusal = Some(refusal),
            Delivery::Events { events, .. } => {
                for event in events {
                    self.take_event(event);
                }
            }
            Delivery::Moved { .. } => {}
        }
    }

    fn take_event(&mut self, event: AnswerEvent) {
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

    fn respond(self, style: &BodyStyle, dialect: Dialect, prompt: u64) -> HttpResponse {
        let mut response = match &self.refusal {
            Some(refused) => refusal::respond(refused),
            None if dialect == Dialect::Plain => self.plain_body(),
            None => self.model_body(style, prompt),
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

    fn model_body(&self, style: &BodyStyle, prompt: u64) -> HttpResponse {
        let Some(id) = &self.id else {
            return daemon_ended();
        };
        let counts = TokenCounts {
            prompt,
            generated: self.tokens,
        };
        let finish = self.finish.as_deref().unwrap_or_default();
        let body = style.whole(id, &self.text, finish, counts);
        HttpResponse::Ok()
            .content_type("application/json")
            .body(body)
    }
}
