//! Handlers of plain services under `/services/NAME/`.

use std::sync::Arc;

use actix_web::http::header::CONTENT_TYPE;
use actix_web::{HttpRequest, HttpResponse, web};
use laburnumstall_core::entry::Event;
use laburnumstall_core::error::{ErrorKind, Refusal};
use laburnumstall_core::request::{AnswerForm, Dialect, Request};
use laburnumstall_core::resources::{Service, ServiceKind, System};
use laburnumstall_core::units::Tokens;

use crate::front::auth::customer_of;
use crate::front::body::BodyFormat;
use crate::front::caller::Caller;
use crate::front::model::{deadline_of, key_of, read_payload};
use crate::front::{Front, buffered, refusal};

/// Handles a call of a service's root path.
pub(super) async fn call_root(
    req: HttpRequest,
    front: web::Data<Front>,
    name: web::Path<String>,
    payload: web::Payload,
) -> HttpResponse {
    handle(&req, &front, &name, "", payload).await
}

/// Handles a call of a path within a service.
pub(super) async fn call(
    req: HttpRequest,
    front: web::Data<Front>,
    path: web::Path<(String, String)>,
    payload: web::Payload,
) -> HttpResponse {
    let (name, tail) = path.into_inner();
    handle(&req, &front, &name, &tail, payload).await
}

async fn handle(
    req: &HttpRequest,
    front: &Front,
    name: &str,
    tail: &str,
    payload: web::Payload,
) -> HttpResponse {
    let request = match parse_request(req, front, name, tail, payload).await {
        Ok(request) => Arc::new(request),
        Err(refused) => return refusal::respond(&refused),
    };
    let format = BodyFormat::of(&request, front.clock.now().0 / 1_000_000);
    let caller = Caller::open(front, |caller| Event::Arrived { caller, request });
    buffered::respond(caller, format, Dialect::Plain, 0).await
}

async fn parse_request(
    req: &HttpRequest,
    front: &Front,
    name: &str,
    tail: &str,
    payload: web::Payload,
) -> Result<Request, Refusal> {
    let snapshot = front.published.read();
    if snapshot.revision.0 == 0 {
        return Err(Refusal::new(ErrorKind::NotReady, "no configuration yet"));
    }
    let customer = customer_of(req, &snapshot.system)?;
    let service = service_of(&snapshot.system, name)?;
    let bytes = read_payload(payload, front.max_body).await?;
    let method = req.method().as_str();
    let path = format!("/{tail}");
    let target = match req.query_string() {
        "" => path.clone(),
        query => format!("{path}?{query}"),
    };
    let content_type = req
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    Ok(Request {
        customer: customer.name.clone(),
        service: service.name.clone(),
        dialect: Dialect::Plain,
        method: method.into(),
        path: target.into(),
        content_type: content_type.unwrap_or_default().into(),
        body: bytes.as_ref().into(),
        key: key_of(req)?,
        idempotent: service.is_idempotent(method, &path),
        form: AnswerForm::Whole,
        deadline: deadline_of(req, front.clock.now(), service)?,
        priority: customer.contract.priority,
        prompt: Tokens(0),
        answer: Tokens(0),
        prefix: Vec::new(),
    })
}

fn service_of<'a>(system: &'a System, name: &str) -> Result<&'a Service, Refusal> {
    let service = system
        .services
        .iter()
        .find(|service| service.name.as_str() == name);
    match service {
        Some(service) if service.kind == ServiceKind::Plain => Ok(service),
        _ => {
            let shown: String = name.chars().take(64).collect();
            let detail = format!("no plain service `{shown}`");
            Err(Refusal::new(ErrorKind::UnknownService, detail))
        }
    }
}
