//! The entry daemon: network I/O around the core's control state.
//!
//! One thread, [`control`], owns the core's [`Entry`](laburnumstall_core::entry::Entry)
//! and is the only writer of control state. Traffic threads turn network I/O into events:
//! [`front`] serves callers, [`traffic`] runs attempts on endpoints, [`links`] carries
//! messages between daemons, [`platform`] calls the key-value service and the cloud API.
//! They push events to the [`inbox`], which the control thread drains in batches, and
//! read the [`snapshot`] that it publishes. [`daemon`] starts and stops all threads.

pub mod admin;
pub mod cache_cursors;
pub mod clock;
pub mod control;
pub mod daemon;
pub mod event_buffer;
pub mod front;
pub mod gateway;
pub mod inbox;
pub mod links;
pub mod logging;
pub mod metrics;
pub mod placement;
pub mod platform;
pub mod settings;
pub mod snapshot;
mod telemetry;
pub mod traffic;

pub use daemon::Daemon;
pub use laburnumstall_outside::http1;
pub use settings::Settings;
