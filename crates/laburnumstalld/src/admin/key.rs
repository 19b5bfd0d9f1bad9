//! Whether a call carries an operator's key.

use actix_web::http::header::AUTHORIZATION;
use actix_web::{HttpRequest, HttpResponse};
use laburnumstall_config::admin::AdminError;

use crate::admin::Admin;

/// Returns the answer to a call without an operator's key; `None` if it has one.
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

/// Answers that the daemon is ending.
pub(super) fn ending() -> HttpResponse {
    HttpResponse::ServiceUnavailable().json(AdminError {
        message: "the daemon is ending".into(),
    })
}
