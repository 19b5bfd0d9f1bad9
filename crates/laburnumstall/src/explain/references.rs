//! What an event names, and which other names belong to a story.

use std::collections::BTreeSet;

use super::event::LogEvent;

/// Inputs by which the events of one request refer to each other.
const LINK_FIELDS: [&str; 3] = ["fingerprint", "key", "order"];

/// Inputs that name an endpoint or a daemon.
const PLACE_FIELDS: [&str; 9] = [
    "endpoint",
    "endpoints",
    "owner",
    "standby",
    "previous",
    "successor",
    "from",
    "to",
    "vm",
];

/// Events that can matter to a request although they do not name it.
const CONTEXT_EVENTS: [&str; 3] = ["membership", "connection", "quarantine"];

/// Events that are about the daemon that writes them.
const OWN_EVENTS: [&str; 6] = [
    "stop",
    "lease",
    "take-over",
    "configuration",
    "placement",
    "budget",
];

/// Events about a daemon that matter to the requests that it holds.
const OWN_CONTEXT_EVENTS: [&str; 1] = ["stop"];

/// Names that belong to one story.
pub(crate) struct References {
    /// The id that was asked for, and what is another name of the same thing.
    subjects: BTreeSet<String>,
    /// Endpoints and daemons that the story's events name.
    places: BTreeSet<String>,
}

impl References {
    /// Starts with the id that was asked for.
    pub(crate) fn new(id: &str) -> Self {
        Self {
            subjects: BTreeSet::from([id.to_owned()]),
            places: BTreeSet::new(),
        }
    }

    /// Tells whether an event names a subject, or is about the daemon that is the subject.
    pub(crate) fn is_direct(&self, event: &LogEvent) -> bool {
        let is_own = is_among(event, &OWN_EVENTS) && self.is_subject(&event.daemon);
        is_own || names(event).any(|name| self.is_subject(name))
    }

    /// Tells whether an event is about an endpoint or a daemon of the story.
    pub(crate) fn is_context(&self, event: &LogEvent) -> bool {
        let is_own = is_among(event, &OWN_CONTEXT_EVENTS);
        if is_own && self.places.contains(place_of(&event.daemon)) {
            return true;
        }
        let is_context = is_among(event, &CONTEXT_EVENTS);
        is_context && names(event).any(|name| self.places.contains(place_of(name)))
    }

    /// Notes what a direct event refers to; tells whether there is a new subject.
    pub(crate) fn follow(&mut self, event: &LogEvent) -> bool {
        let known = self.subjects.len();
        for name in LINK_FIELDS.iter().filter_map(|name| event.field(name)) {
            self.subjects.insert(name.to_owned());
        }
        for value in PLACE_FIELDS.iter().filter_map(|name| event.field(name)) {
            self.add_places(value);
        }
        if matches!(event.event.as_str(), "route" | "take-over" | "standby") {
            self.add_places(&event.choice);
        }
        self.add_places(&event.daemon);
        self.subjects.len() > known
    }

    fn add_places(&mut self, value: &str) {
        let places = words(value).map(|word| place_of(word).to_owned());
        self.places.extend(places);
    }

    /// A name is a subject, an attempt of it (`REQUEST/2`) or a life of it (`VM@3`).
    fn is_subject(&self, name: &str) -> bool {
        let is_part =
            |base: Option<(&str, &str)>| base.is_some_and(|(base, _)| self.subjects.contains(base));
        self.subjects.contains(name)
            || is_part(name.rsplit_once('/'))
            || is_part(name.rsplit_once('@'))
    }
}

/// Returns the VM of a daemon's life (`VM@3`), and any other name as it is.
fn place_of(name: &str) -> &str {
    name.split_once('@').map_or(name, |(vm, _)| vm)
}

fn is_among(event: &LogEvent, kinds: &[&str]) -> bool {
    kinds.contains(&event.event.as_str())
}

/// All names in an event: its choice and the words of its inputs.
fn names(event: &LogEvent) -> impl Iterator<Item = &str> {
    let values = event.fields.iter().map(|field| field.value.as_str());
    values
        .chain(std::iter::once(event.choice.as_str()))
        .flat_map(words)
}

/// Splits a value into the names that it lists; a score after `:` is left out.
fn words(value: &str) -> impl Iterator<Item = &str> {
    let is_separator = |c: char| c.is_whitespace() || matches!(c, ',' | ';' | '|' | '[' | ']');
    value
        .split(is_separator)
        .filter(|word| !word.is_empty())
        .flat_map(|word| {
            let before_score = word.split_once(':').map(|(name, _)| name);
            std::iter::once(word).chain(before_score)
        })
}
