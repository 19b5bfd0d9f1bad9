//! The callers' HTTP API: model calls, plain services, attaching and the directory.
//!
//! A handler parses and validates the request, registers the caller with the control
//! thread, and turns the deliveries that it receives into server-sent events or one body.

mod attach;
mod auth;
mod body;
mod buffered;
mod caller;
mod entries;
mod event_stream;
mod health;
mod model;
mod plain;
mod refusal;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use actix_web::web;

use crate::clock::Clock;
use crate::inbox::Inbox;
use crate::snapshot::Published;

/// State shared by the handlers.
#[derive(Clone)]
pub struct Front {
    /// Queue of the control thread.
    pub inbox: Inbox,
    /// Latest snapshot of the control state.
    pub published: Published,
    /// Clock of the daemon.
    pub clock: Clock,
    /// Largest request body, in bytes.
    pub max_body: usize,
    /// Id of the next caller.
    pub next_caller: Arc<AtomicU64>,
}

/// Registers the callers' routes.
pub fn routes(cfg: &mut web::ServiceConfig) {
    cfg.route("/v1/chat/completions", web::post().to(model::chat))
        .route("/v1/completions", web::post().to(model::completion))
        .route("/v1/entries", web::get().to(entries::directory))
        .route("/v1/requests/{id}", web::get().to(attach::attach))
        .route("/services/{service}", web::route().to(plain::call_root))
        .route(
            "/services/{service}/{path:.*}",
            web::route().to(plain::call),
        )
        .route("/healthz", web::get().to(health::alive))
        .route("/readyz", web::get().to(health::ready))
        .default_service(web::route().to(refusal::not_found));
}
