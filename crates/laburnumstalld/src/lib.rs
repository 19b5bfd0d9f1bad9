//! The entry daemon: settings, logs and metrics around the core's decisions.

pub mod logging;
pub mod metrics;
pub mod settings;
