//! The interface for operators: configuration, history, status and drain.
//!
//! It listens on an address of its own; each call carries an operator's key.

mod configuration;
mod key;
mod metrics;
mod status;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use actix::Addr;
use actix_web::web;
use laburnumstall_config::admin::{CONFIGURATION_PATH, DRAIN_PATH, HISTORY_PATH, STATUS_PATH};

use crate::inbox::Inbox;
use crate::metrics::Metrics;
use crate::platform::Platform;
use crate::settings::KeyDigest;

/// Path of the metrics; it needs no key, since it shows numbers alone.
const METRICS_PATH: &str = "/metrics";

/// What the handlers share.
#[derive(Clone)]
pub struct Admin {
    /// The way to the control thread.
    pub inbox: Inbox,
    /// The way to the key-value service.
    pub platform: Addr<Platform>,
    /// Digests of the operators' keys.
    pub keys: Arc<Vec<KeyDigest>>,
    /// What the daemon counts.
    pub metrics: Metrics,
    /// Number of the next apply.
    pub next_token: Arc<AtomicU64>,
}

/// Adds the operators' paths to a server.
pub fn routes(cfg: &mut web::ServiceConfig) {
    cfg.route(CONFIGURATION_PATH, web::post().to(configuration::apply))
        .route(CONFIGURATION_PATH, web::get().to(configuration::show))
        .route(HISTORY_PATH, web::get().to(configuration::history))
        .route(STATUS_PATH, web::get().to(status::status))
        .route(METRICS_PATH, web::get().to(metrics::show))
        .route(DRAIN_PATH, web::post().to(status::drain));
}
