//! The interface for callers: model calls, plain services, attachment and the directory.
//!
//! A handler reads the request and checks its form, opens a caller's connection at the
//! control thread, and turns the deliveries that come back into server-sent events or
//! one body.

mod attach;
mod auth;
mod body;
mod caller;
mod entries;
mod event_stream;
mod health;
mod model;
mod plain;
mod refusal;
mod whole;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use actix_web::web;

use crate::clock::Clock;
use crate::inbox::Inbox;
use crate::snapshot::Published;

/// What the handlers share.
#[derive(Clone)]
pub struct Front {
    /// The way to the control thread.
    pub inbox: Inbox,
    /// What the control thread publishes.
    pub published: Published,
    /// The clock.
    pub clock: Clock,
    /// Largest request body, in bytes.
    pub max_body: usize,
    /// Number of the next caller's connection.
    pub next_caller: Arc<AtomicU64>,
}

/// Adds the callers' paths to a server.
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
        .default_service(web::route().to(refusal::no_such_path));
}
