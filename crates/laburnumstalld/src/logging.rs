//! Structured logging: one line of key=value pairs for each event and each decision.
//!
//! [`EventLog::start`] creates an `spdlog` logger whose lines pass through a bounded queue
//! to one output, so that no thread waits for a slow reader. Decisions are written in their
//! own text form. Other events use the `spdlog` macros, with the event's name as the message
//! and its pairs as `kv`. Bodies and keys are never logged.

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

/// Timeout for flushing the queue when the log is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Error of [`EventLog::start`].
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(self)))]
pub enum LogError {
    /// The writer thread could not be spawned.
    #[snafu(display("cannot start the thread that writes the log"))]
    Thread {
        /// Underlying error.
        source: std::io::Error,
    },
    /// The logger could not be created.
    #[snafu(display("cannot create the logger"))]
    Logger {
        /// Underlying error.
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
    /// Starts a log that writes lines of `level` and more severe ones to `out`.
    ///
    /// # Errors
    ///
    /// [`LogError`] if the writer thread or the logger cannot be created.
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

    /// Returns the logger, for use with the `spdlog` macros.
    pub fn logger(&self) -> &Arc<Logger> {
        &self.logger
    }

    /// Installs this as the default logger of the `spdlog` macros.
    pub fn install(&self) {
        spdlog::set_default_logger(Arc::clone(&self.logger));
    }

    /// Logs a decision.
    pub fn decision(&self, decision: &Decision) {
        spdlog::info!(logger: self.logger, "{decision}");
    }

    /// Returns the number of lines dropped so far because the queue was full.
    pub fn dropped(&self) -> u64 {
        self.queue.counts().dropped()
    }

    /// Flushes the queue and stops; returns whether all lines were written in time.
    pub fn close(self) -> bool {
        self.queue.close(CLOSE_TIMEOUT)
    }
}

/// Formats the line that reports the number of dropped lines.
fn dropped_line(daemon: &DaemonId, lines: u64) -> String {
    let time = humantime::format_rfc3339_micros(SystemTime::now());
    format!("time={time} level=warn daemon={daemon} event=log-lines-dropped lines={lines}\n")
}
