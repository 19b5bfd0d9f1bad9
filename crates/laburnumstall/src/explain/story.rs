//! The events of several daemons in one order, told as sentences.

use std::fmt;

use laburnumstall_core::domain;
use laburnumstall_core::ids::RequestId;
use laburnumstall_core::units::Timestamp;

use super::event::LogEvent;
use super::sentence::sentence;

domain! {
    /// An event with its place in the logs.
    pub struct StoryEvent {
        /// Log that holds it.
        pub log: String,
        /// Line in the log, from one.
        pub line: u64,
        /// Whether it names the subject; else it happened meanwhile to what is involved.
        pub is_direct: bool,
        /// The event.
        pub event: LogEvent,
    }

    /// What the logs tell of one request, VM, endpoint or order.
    pub struct Story {
        /// What was asked for.
        pub id: String,
        /// Events in the order of their times.
        pub events: Vec<StoryEvent>,
        /// Lines that were read.
        pub lines_read: u64,
        /// Lines that are no decisions.
        pub lines_skipped: u64,
    }
}

impl Story {
    /// Starts a story without events.
    pub(crate) fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            events: Vec::new(),
            lines_read: 0,
            lines_skipped: 0,
        }
    }

    /// Puts the events in the order of their times; within a log, lines keep their order.
    pub(crate) fn sort(&mut self) {
        self.events.sort_by(|a, b| {
            let a_key = (a.event.at, &a.log, a.line);
            a_key.cmp(&(b.event.at, &b.log, b.line))
        });
    }

    /// Tells how a request ended; nothing else has an end.
    fn ending(&self) -> Option<String> {
        let is_end = |event: &&StoryEvent| event.is_direct && event.event.event == "finish";
        if let Some(end) = self.events.iter().rev().find(is_end) {
            let LogEvent { choice, reason, .. } = &end.event;
            return Some(format!("It ended: {choice} ({reason})."));
        }
        let is_request = self.id.parse::<RequestId>().is_ok();
        is_request.then(|| "The logs do not show how it ended.".to_owned())
    }
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let start = self
            .events
            .first()
            .map_or(Timestamp::ZERO, |event| event.event.at);
        writeln!(f, "Story of {}, from t={start}:\n", self.id)?;
        for story_event in &self.events {
            let event = &story_event.event;
            let meanwhile = if story_event.is_direct {
                ""
            } else {
                "meanwhile "
            };
            let offset = event.at.since(start).as_secs_f64();
            let sentence = sentence(event);
            writeln!(f, "+{offset:.6} s  {meanwhile}{} {sentence}", event.daemon)?;
        }
        if let Some(ending) = self.ending() {
            writeln!(f, "\n{ending}")?;
        }
        let (skipped, read) = (self.lines_skipped, self.lines_read);
        write!(f, "\n{read} lines read, {skipped} of them no decisions.")
    }
}
