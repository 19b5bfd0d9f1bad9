//! Recorded sessions of one entry: its settings, then each event with its time.
//!
//! An [`Entry`] is a function of both, so that a replay gives the same decisions. The
//! recorder is the control thread, through its sink; records hold the bodies of requests
//! and are kept apart from logs.

use crate::decision::Decision;
use crate::domain;
use crate::entry::{Entry, EntrySettings, Event};
use crate::units::Timestamp;

domain! {
    /// One record of a session, in the order in which they are written.
    #[serde(rename_all = "kebab-case")]
    pub enum SessionRecord {
        /// The entry started.
        Started(EntrySettings),
        /// The entry was told something.
        #[serde(rename = "told")]
        Received {
            /// When.
            at: Timestamp,
            /// What.
            event: Event,
        },
    }

    /// What one entry was told from its start.
    pub struct Session {
        /// Settings of the entry.
        pub settings: EntrySettings,
        /// What it was told, in order.
        pub events: Vec<TimedEvent>,
    }

    /// An event with its time.
    pub struct TimedEvent {
        /// When the entry was told.
        pub at: Timestamp,
        /// What it was told.
        pub event: Event,
    }
}

impl Session {
    /// Puts records together; `None` if the first is not the start of the entry.
    ///
    /// A further start begins the session anew: the records before it belong to an
    /// earlier process.
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

    /// Tells a new entry the events, and returns its decisions in order.
    pub fn replay(self) -> Vec<Decision> {
        let mut entry = Entry::new(self.settings);
        let events = self.events.into_iter();
        events
            .flat_map(|timed| entry.handle(timed.at, timed.event).decisions)
            .collect()
    }
}
