//! Rate-limited log of the gateway; lines over the limit are counted.

use std::fmt;

use laburnumstall_core::decision::{Decision, write_value};
use laburnumstall_core::units::Timestamp;

use crate::logging::EventLog;

/// Rate limit of the log: ten lines for each of thirty requests per second, doubled.
const MAX_LINES_PER_SECOND: u32 = 600;

/// A log event that is not a decision.
#[derive(Debug)]
pub(crate) struct Event {
    text: String,
}

impl Event {
    /// Creates an event called `name`.
    pub(crate) fn new(name: &str) -> Self {
        Self {
            text: format!("event={name}"),
        }
    }

    /// Appends a field to the line.
    pub(crate) fn with(mut self, field: &str, value: impl fmt::Display) -> Self {
        self.text.push(' ');
        self.text.push_str(field);
        self.text.push('=');
        // Writing to a string does not fail.
        let _ = write_value(&mut self.text, &value.to_string());
        self
    }
}

/// Writes decisions and events up to the rate limit.
pub(super) struct DecisionLog {
    log: Option<EventLog>,
    current_second: u64,
    written: u32,
    dropped: u64,
}

impl DecisionLog {
    /// Creates a rate-limited writer to `log`.
    pub(super) fn new(log: EventLog) -> Self {
        Self {
            log: Some(log),
            current_second: 0,
            written: 0,
            dropped: 0,
        }
    }

    /// Writes a decision, unless the rate limit is reached.
    pub(super) fn decision(&mut self, now: Timestamp, decision: &Decision) {
        if !self.reserve_line(now) {
            return;
        }
        if let Some(log) = &self.log {
            log.decision(decision);
        }
    }

    /// Writes an event, unless the rate limit is reached.
    pub(super) fn event(&mut self, now: Timestamp, event: &Event) {
        if !self.reserve_line(now) {
            return;
        }
        if let Some(log) = &self.log {
            spdlog::info!(logger: log.logger(), "t={now} {}", event.text);
        }
    }

    /// Flushes the queue and closes the log.
    pub(super) fn close(&mut self) {
        if let Some(log) = self.log.take() {
            log.close();
        }
    }

    /// Counts a line against this second's limit; returns whether it may be written.
    fn reserve_line(&mut self, now: Timestamp) -> bool {
        let current_second = now.0 / 1_000_000;
        if current_second != self.current_second {
            self.current_second = current_second;
            self.written = 0;
            let dropped = std::mem::take(&mut self.dropped);
            if dropped > 0 {
                self.event(
                    now,
                    &Event::new("log-lines-left-out").with("lines", dropped),
                );
            }
        }
        let has_room = self.written < MAX_LINES_PER_SECOND;
        match has_room {
            true => self.written += 1,
            false => self.dropped += 1,
        }
        has_room
    }
}
