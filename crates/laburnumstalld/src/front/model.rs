//! Calls of model services: `/v1/chat/completions` and `/v1/completions`.

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
use crate::front::body::{BodyStyle, number};
use crate::front::caller::Caller;
use crate::front::{Front, event_stream, refusal, whole};

/// Answer tokens when the caller names no limit.
const DEFAULT_ANSWER: Tokens = Tokens(1_024);

/// Bytes of text that make one token, roughly.
const BYTES_PER_TOKEN: u64 = 4;

/// Header by which a caller shortens the service's deadline, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Header that marks repetitions.
const KEY_HEADER: &str = "idempotency-key";

/// Answers `/v1/chat/completions`.
pub(super) async fn chat(
    req: HttpRequest,
    front: web::Data<Front>,
    body: web::Payload,
) -> HttpResponse {
    answer(req, front, body, Dialect::Chat).await
}

/// Answers `/v1/completions`.
pub(super) async fn completion(
    req: HttpRequest,
    front: web::Data<Front>,
    body: web::Payload,
) -> HttpResponse {
    answer(req, front, body, Dialect::Completion).await
}

async fn answer(
    req: HttpRequest,
    front: web::Data<Front>,
    payload: web::Payload,
    dialect: Dialect,
) -> HttpResponse {
    match read(&req, &front, payload, dialect).await {
        Err(refused) => refusal::respond(&refused),
        Ok(request) => give(&front, Arc::new(request)).await,
    }
}

async fn give(front: &Front, request: Arc<Request>) -> HttpResponse {
    let style = BodyStyle::of(&request, front.clock.now().0 / 1_000_000);
    let form = request.form;
    let dialect = request.dialect;
    let prompt = request.prompt.get();
    let caller = Caller::open(front, |caller| Event::Arrived { caller, request });
    match form {
        AnswerForm::Stream => event_stream::respond(caller, style).await,
        AnswerForm::Whole => whole::respond(caller, style, dialect, prompt).await,
    }
}

async fn read(
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
    build(
        req,
        front.clock.now(),
        &customer,
        service,
        &body,
        &bytes,
        dialect,
    )
}

/// Reads a body up to the limit.
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

/// Refuses what an answer could not be resumed with.
fn check_options(body: &Value) -> Result<(), Refusal> {
    let is_many = |name: &str| number(body, name).is_some_and(|count| count > 1);
    if is_many("n") || is_many("best_of") {
        return Err(malformed("only one choice is generated: `n` must be 1"));
    }
    if body.get("tools").is_some_and(|tools| !tools.is_null()) {
        return Err(malformed("tool calls are not relayed"));
    }
    Ok(())
}

fn build(
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
        answer: limit.map_or(DEFAULT_ANSWER, Tokens),
        prefix: prefix_blocks(service.name.as_str(), text.as_bytes()),
    })
}

/// Reads the idempotency key.
pub(super) fn key_of(req: &HttpRequest) -> Result<Option<IdempotencyKey>, Refusal> {
    let Some(header) = req.headers().get(KEY_HEADER) else {
        return Ok(None);
    };
    let text = header.to_str().unwrap_or_default();
    text.parse()
        .map(Some)
        .map_err(|error| malformed(format!("Idempotency-Key: {error}")))
}

/// Reads the deadline: the service's, or a shorter one of the caller.
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
