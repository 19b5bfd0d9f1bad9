//! Handler for metrics in the Prometheus text format.

use actix_web::{HttpResponse, web};

use crate::admin::Admin;

/// Media type of the Prometheus text format.
const TEXT_FORMAT: &str = "text/plain; version=0.0.4";

/// Returns all metrics.
pub(super) async fn show(admin: web::Data<Admin>) -> HttpResponse {
    match admin.metrics.encode() {
        Ok(text) => HttpResponse::Ok().content_type(TEXT_FORMAT).body(text),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}
