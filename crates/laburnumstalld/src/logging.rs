//! Logs: one line of key=value pairs for each event and each decision.
//!
//! [`EventLog::start`] makes an `spdlog` logger whose lines go through a bounded queue to
//! one output, so that no thread ever waits for a slow reader. Decisions are written as
//! they describe themselves; other events by the macros of `spdlog`, whose message is the
//! event's name and whose `kv` are its pairs. Bodies and keys are never logged.

mod format;
mod queue;

use std::io::Write;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use laburnumstall_core::decision::Decision;
use laburnumstall_core::ids::DaemonId;
use snafu::{ResultExt, Snafu};
use spdlog::sink::WriteSink;
use spdlog::{Level, LevelFilter, Logger};

use queue::LineQueue;

pub use format::LineFormatter;

/// Longest wait for queued lines to be written when the log is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// A log that could not be started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(self)))]
pub enum LogError {
    /// The writing thread could not be started.
    #[snafu(display("cannot start the thread that writes the log"))]
    Thread {
        /// What the system said.
        source: std::io::Error,
    },
    /// The logger could not be made.
    #[snafu(display("cannot make the logger"))]
    Logger {
        /// What the library said.
        source: spdlog::Error,
    },
}

/// The log of one daemon.
#[derive(Debug)]
pub struct EventLog {
    logger: Arc<Logger>,
    queue: LineQueue,
}

impl EventLog {
    /// Starts a log of lines at `level` and more severe ones, written to `out`.
    ///
    /// # Errors
    ///
    /// [`LogError`] if the writing thread or the logger cannot be made.
    pub fn start<W>(daemon: &DaemonId, level: Level, out: W) -> Result<Self, LogError>
    where
        W: Write + Send + 'static,
    {
        let own = daemon.clone();
        let queue = LineQueue::start(out, move |lines| dropped_line(&own, lines))?;
        let sink = WriteSink::builder()
            .formatter(LineFormatter::new(daemon.clone()))
            .target(queue.sender())
            .build_arc()
            .context(LoggerSnafu)?;
        let logger = Logger::builder()
            .level_filter(LevelFilter::MoreSevereEqual(level))
            .sink(sink)
            .build_arc()
            .context(LoggerSnafu)?;
        Ok(Self { logger, queue })
    }

    /// Returns the logger, for the macros of `spdlog`.
    pub fn logger(&self) -> &Arc<Logger> {
        &self.logger
    }

    /// Makes this the logger of all macro calls that name none.
    pub fn install(&self) {
        spdlog::set_default_logger(Arc::clone(&self.logger));
    }

    /// Writes a decision.
    pub fn decision(&self, decision: &Decision) {
        spdlog::info!(logger: self.logger, "{decision}");
    }

    /// Returns the number of lines dropped so far because the output was too slow.
    pub fn dropped(&self) -> u64 {
        self.queue.counts().dropped()
    }

    /// Writes what is queued and stops; returns whether all of it was written.
    pub fn close(self) -> bool {
        self.queue.close(CLOSE_TIMEOUT)
    }
}

/// Formats the line that tells how many lines were dropped.
fn dropped_line(daemon: &DaemonId, lines: u64) -> String {
    let time = humantime::format_rfc3339_micros(SystemTime::now());
    format!("time={time} level=warn daemon={daemon} event=log-lines-dropped lines={lines}\n")
}
