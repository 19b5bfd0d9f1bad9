//! The admin API: configuration, history, status, drain and metrics.
//!
//! It has its own listen address. Each call but that for metrics needs an operator's key.

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

/// Path of the metrics; it needs no key, since the page holds only numbers.
const METRICS_PATH: &str = "/metrics";

/// State shared by the admin handlers.
#[derive(Clone)]
pub struct Admin {
    /// Queue of the control thread.
    pub inbox: Inbox,
    /// Actor that calls the key-value service.
    pub platform: Addr<Platform>,
    /// Digests of the operators' keys.
    pub keys: Arc<Vec<KeyDigest>>,
    /// Metrics of the daemon.
    pub metrics: Metrics,
    /// Token of the next apply call.
    pub next_token: Arc<AtomicU64>,
}

/// Registers the admin routes.
pub fn routes(cfg: &mut web::ServiceConfig) {
    cfg.route(CONFIGURATION_PATH, web::post().to(configuration::apply))
        .route(CONFIGURATION_PATH, web::get().to(configuration::show))
        .route(HISTORY_PATH, web::get().to(configuration::history))
        .route(STATUS_PATH, web::get().to(status::status))
        .route(METRICS_PATH, web::get().to(metrics::show))
        .route(DRAIN_PATH, web::post().to(status::drain));
}
