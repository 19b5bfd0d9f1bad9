//! Authentication of operators.

use actix_web::http::header::AUTHORIZATION;
use actix_web::{HttpRequest, HttpResponse};
use laburnumstall_config::admin::AdminError;

use crate::admin::Admin;

/// Returns the error response for a call without a valid operator key, `None` for an
/// authenticated one.
pub(super) fn refusal(req: &HttpRequest, admin: &Admin) -> Option<HttpResponse> {
    let key = req
        .headers()
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.strip_prefix("Bearer "));
    let is_known = key.is_some_and(|key| {
        let mut known = admin.keys.iter();
        known.any(|known| known.matches(key.trim()))
    });
    if is_known {
        return None;
    }
    let message = "the call carries no operator's key".into();
    Some(HttpResponse::Unauthorized().json(AdminError { message }))
}

/// Builds the response for a call that arrives while the daemon shuts down.
pub(super) fn shutting_down() -> HttpResponse {
    HttpResponse::ServiceUnavailable().json(AdminError {
        message: "the daemon is ending".into(),
    })
}
