//! Recorded sessions of an entry: its settings, then each event with its time.
//!
//! An [`Entry`] is a deterministic function of both, so that a replay yields the same
//! decisions. The control thread writes the records through its sink. Records contain
//! request bodies and are stored separately from logs.

use crate::decision::Decision;
use crate::domain;
use crate::entry::{Entry, EntrySettings, Event};
use crate::units::Timestamp;

domain! {
    /// One record of a session.
    #[serde(rename_all = "kebab-case")]
    pub enum SessionRecord {
        /// The entry started.
        Started(EntrySettings),
        /// The entry received an event.
        #[serde(rename = "told")]
        Received {
            /// When it was received.
            at: Timestamp,
            /// The event.
            event: Event,
        },
    }

    /// The settings of an entry and all events that it received since its start.
    pub struct Session {
        /// Settings of the entry.
        pub settings: EntrySettings,
        /// Events in the order of receipt.
        pub events: Vec<TimedEvent>,
    }

    /// An event with its time.
    pub struct TimedEvent {
        /// When the entry received it.
        pub at: Timestamp,
        /// The event.
        pub event: Event,
    }
}

impl Session {
    /// Builds a session from its records; `None` if the first is not a start of the entry.
    ///
    /// A later start discards the records before it: they belong to an earlier process.
    pub fn from_records(records: impl IntoIterator<Item = SessionRecord>) -> Option<Self> {
        let mut session: Option<Self> = None;
        for record in records {
            match record {
                SessionRecord::Started(settings) => {
                    let events = Vec::new();
                    session = Some(Self { settings, events });
                }
                SessionRecord::Received { at, event } => {
                    session.as_mut()?.events.push(TimedEvent { at, event });
                }
            }
        }
        session
    }

    /// Replays the events to a new entry and returns its decisions in order.
    pub fn replay(self) -> Vec<Decision> {
        let mut entry = Entry::new(self.settings);
        let events = self.events.into_iter();
        events
            .flat_map(|timed| entry.handle(timed.at, timed.event).decisions)
            .collect()
    }
}
