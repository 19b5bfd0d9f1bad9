//! Authentication of callers.

use actix_web::HttpRequest;
use actix_web::http::header::AUTHORIZATION;
use laburnumstall_core::error::{ErrorKind, Refusal};
use laburnumstall_core::resources::{Customer, System};

/// Finds the customer with the request's bearer key.
///
/// # Errors
///
/// Returns a refusal that does not contain the key.
pub(super) fn customer_of<'a>(
    req: &HttpRequest,
    system: &'a System,
) -> Result<&'a Customer, Refusal> {
    let refuse = |detail: &str| Refusal::new(ErrorKind::Unauthenticated, detail);
    let header = req
        .headers()
        .get(AUTHORIZATION)
        .ok_or_else(|| refuse("there is no Authorization header"))?;
    let key = header
        .to_str()
        .ok()
        .and_then(|text| text.strip_prefix("Bearer "))
        .ok_or_else(|| refuse("the Authorization header is not a bearer key"))?;
    let digest = blake3::hash(key.trim().as_bytes()).to_hex();
    system
        .customer_by_key(digest.as_str())
        .ok_or_else(|| refuse("no customer has this key"))
}
