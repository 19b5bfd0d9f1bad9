//! Why a site could not do what was asked.

use std::io;

use laburnumstalld::daemon::StartError;
use snafu::Snafu;

use crate::caller::CallError;

/// Why a site could not do what was asked.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SiteError {
    /// A stand-in could not be started.
    #[snafu(display("cannot start the stand-in for {what}"))]
    StandIn {
        /// What it stands for.
        what: &'static str,
        /// Cause.
        source: io::Error,
    },
    /// A daemon could not be started.
    #[snafu(display("cannot start the daemon on VM {vm}"))]
    Daemon {
        /// Its VM.
        vm: String,
        /// Cause.
        source: StartError,
    },
    /// A call to an operators' address failed.
    #[snafu(display("cannot reach a daemon's operators' address"))]
    Admin {
        /// Cause.
        source: CallError,
    },
    /// The system did not become ready in time.
    #[snafu(display("the system was not ready after {seconds} s: {what}"))]
    NotReady {
        /// Time that was waited, in seconds.
        seconds: u64,
        /// What was missing.
        what: &'static str,
    },
}
