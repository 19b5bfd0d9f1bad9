//! Handlers of model services: `/v1/chat/completions` and `/v1/completions`.

use std::sync::Arc;
use std::time::Duration;

use actix_web::{HttpRequest, HttpResponse, web};
use compact_str::CompactString;
use laburnumstall_core::entry::Event;
use laburnumstall_core::error::{ErrorKind, Refusal};
use laburnumstall_core::ids::IdempotencyKey;
use laburnumstall_core::request::{AnswerForm, Dialect, Request, prefix_blocks};
use laburnumstall_core::resources::{Customer, Service, ServiceKind, System};
use laburnumstall_core::units::{Timestamp, Tokens};
use laburnumstall_outside::endpoint::prompt_text;
use serde_json::Value;

use crate::front::auth::customer_of;
use crate::front::body::{BodyFormat, number};
use crate::front::caller::Caller;
use crate::front::{Front, buffered, event_stream, refusal};

/// Token limit of an answer when the caller sets none.
const DEFAULT_ANSWER_TOKENS: Tokens = Tokens(1_024);

/// Approximate bytes of text per token.
const BYTES_PER_TOKEN: u64 = 4;

/// Header with the caller's deadline in milliseconds; it can only shorten the service's.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Header with the idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Handles `/v1/chat/completions`.
pub(super) async fn chat(
    req: HttpRequest,
    front: web::Data<Front>,
    body: web::Payload,
) -> HttpResponse {
    handle(req, front, body, Dialect::Chat).await
}

/// Handles `/v1/completions`.
pub(super) async fn completion(
    req: HttpRequest,
    front: web::Data<Front>,
    body: web::Payload,
) -> HttpResponse {
    handle(req, front, body, Dialect::Completion).await
}

async fn handle(
    req: HttpRequest,
    front: web::Data<Front>,
    payload: web::Payload,
    dialect: Dialect,
) -> HttpResponse {
    match parse_request(&req, &front, payload, dialect).await {
        Err(refused) => refusal::respond(&refused),
        Ok(request) => respond(&front, Arc::new(request)).await,
    }
}

async fn respond(front: &Front, request: Arc<Request>) -> HttpResponse {
    let format = BodyFormat::of(&request, front.clock.now().0 / 1_000_000);
    let form = request.form;
    let dialect = request.dialect;
    let prompt = request.prompt.get();
    let caller = Caller::open(front, |caller| Event::Arrived { caller, request });
    match form {
        AnswerForm::Stream => event_stream::respond(caller, format).await,
        AnswerForm::Whole => buffered::respond(caller, format, dialect, prompt).await,
    }
}

async fn parse_request(
    req: &HttpRequest,
    front: &Front,
    payload: web::Payload,
    dialect: Dialect,
) -> Result<Request, Refusal> {
    let snapshot = front.published.read();
    if snapshot.revision.0 == 0 {
        return Err(Refusal::new(ErrorKind::NotReady, "no configuration yet"));
    }
    let customer = customer_of(req, &snapshot.system)?.clone();
    let bytes = read_payload(payload, front.max_body).await?;
    let body: Value = serde_json::from_slice(&bytes)
        .map_err(|error| malformed(format!("the body is not JSON: {error}")))?;
    let service = service_of(&snapshot.system, &body)?;
    check_options(&body)?;
    build_request(
        req,
        front.clock.now(),
        &customer,
        service,
        &body,
        &bytes,
        dialect,
    )
}

/// Reads a body of at most `max` bytes.
pub(super) async fn read_payload(payload: web::Payload, max: usize) -> Result<web::Bytes, Refusal> {
    match payload.to_bytes_limited(max).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(error)) => Err(malformed(format!("the body could not be read: {error}"))),
        Err(_) => {
            let detail = format!("the limit is {max} B");
            Err(Refusal::new(ErrorKind::TooLarge, detail))
        }
    }
}

fn malformed(detail: impl Into<CompactString>) -> Refusal {
    Refusal::new(ErrorKind::Malformed, detail)
}

fn service_of<'a>(system: &'a System, body: &Value) -> Result<&'a Service, Refusal> {
    let name = body
        .get("model")
        .and_then(Value::as_str)
        .ok_or_else(|| malformed("the body has no `model`"))?;
    let service = system
        .services
        .iter()
        .find(|service| service.name.as_str() == name);
    match service {
        Some(service) if service.kind == ServiceKind::Model => Ok(service),
        _ => {
            let shown: String = name.chars().take(64).collect();
            let detail = format!("no model service `{shown}`");
            Err(Refusal::new(ErrorKind::UnknownService, detail))
        }
    }
}

/// Refuses options with which an answer could not be resumed.
fn check_options(body: &Value) -> Result<(), Refusal> {
    let is_above_one = |name: &str| number(body, name).is_some_and(|count| count > 1);
    if is_above_one("n") || is_above_one("best_of") {
        return Err(malformed("only one choice is generated: `n` must be 1"));
    }
    if body.get("tools").is_some_and(|tools| !tools.is_null()) {
        return Err(malformed("tool calls are not relayed"));
    }
    Ok(())
}

fn build_request(
    req: &HttpRequest,
    now: Timestamp,
    customer: &Customer,
    service: &Service,
    body: &Value,
    bytes: &[u8],
    dialect: Dialect,
) -> Result<Request, Refusal> {
    let text = prompt_text(dialect, body);
    if text.is_empty() {
        return Err(malformed("the prompt is empty"));
    }
    let is_stream = body.get("stream").and_then(Value::as_bool) == Some(true);
    let limit = number(body, "max_completion_tokens").or_else(|| number(body, "max_tokens"));
    Ok(Request {
        customer: customer.name.clone(),
        service: service.name.clone(),
        dialect,
        method: "POST".into(),
        path: req.path().into(),
        content_type: "application/json".into(),
        body: bytes.into(),
        key: key_of(req)?,
        idempotent: service.is_idempotent("POST", req.path()),
        form: if is_stream {
            AnswerForm::Stream
        } else {
            AnswerForm::Whole
        },
        deadline: deadline_of(req, now, service)?,
        priority: customer.contract.priority,
        prompt: Tokens(text.len() as u64 / BYTES_PER_TOKEN + 1),
        answer: limit.map_or(DEFAULT_ANSWER_TOKENS, Tokens),
        prefix: prefix_blocks(service.name.as_str(), text.as_bytes()),
    })
}

/// Parses the idempotency key.
pub(super) fn key_of(req: &HttpRequest) -> Result<Option<IdempotencyKey>, Refusal> {
    let Some(header) = req.headers().get(KEY_HEADER) else {
        return Ok(None);
    };
    let text = header.to_str().unwrap_or_default();
    text.parse()
        .map(Some)
        .map_err(|error| malformed(format!("Idempotency-Key: {error}")))
}

/// Returns the deadline: the service's, or the caller's if it is earlier.
pub(super) fn deadline_of(
    req: &HttpRequest,
    now: Timestamp,
    service: &Service,
) -> Result<Timestamp, Refusal> {
    let Some(header) = req.headers().get(DEADLINE_HEADER) else {
        return Ok(now.after(service.deadline));
    };
    let millis = header
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| malformed(format!("{DEADLINE_HEADER} is not a whole number")))?;
    Ok(now.after(service.deadline.min(Duration::from_millis(millis))))
}
