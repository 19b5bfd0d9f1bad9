//! Error responses.

use actix_web::http::StatusCode;
use actix_web::http::header::RETRY_AFTER;
use actix_web::{HttpRequest, HttpResponse};
use laburnumstall_core::error::{ErrorBody, ErrorKind, Refusal};

/// Header that says whether the request may have been executed.
const EXECUTION_HEADER: &str = "x-execution";

/// Builds the response for a refusal from the error table.
pub(super) fn respond(refusal: &Refusal) -> HttpResponse {
    let answer = refusal.kind.response();
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    response.insert_header((EXECUTION_HEADER, answer.execution.to_string()));
    if let Some(wait) = refusal.retry_after {
        let secs = wait.as_millis().div_ceil(1_000).max(1);
        response.insert_header((RETRY_AFTER, secs.to_string()));
    }
    response.json(ErrorBody::from(refusal))
}

/// Handles unknown paths.
pub(super) async fn not_found(req: HttpRequest) -> HttpResponse {
    let detail = format!("{} {}", req.method(), req.path());
    respond(&Refusal::new(ErrorKind::UnknownService, detail))
}
