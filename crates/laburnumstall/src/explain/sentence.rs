//! Turns an event into a sentence.

use super::event::LogEvent;

/// Tells one event in a sentence, without its time and daemon.
pub(crate) fn sentence(event: &LogEvent) -> String {
    let reason = plain(&event.reason);
    let because = if reason.is_empty() {
        String::new()
    } else {
        format!(", because of: {reason}")
    };
    let inputs = inputs(event);
    format!("{}{because}.{inputs}", deed(event))
}

fn deed(event: &LogEvent) -> String {
    let choice = &shown(&event.choice);
    let subject = subject(event);
    match (event.event.as_str(), choice.as_str()) {
        ("route", "refuse") => format!("found no endpoint for {subject}"),
        ("route", _) => format!("sent {subject} to endpoint {choice}"),
        ("admit", _) => format!("decided whether to accept {subject}: {}", plain(choice)),
        ("claim", _) => format!("decided who may dispatch {subject}: {}", plain(choice)),
        ("standby", _) => format!("decided where the copy of {subject} is kept: {choice}"),
        ("take-over", _) => format!("decided who goes on with {subject}: {choice}"),
        ("retry", _) => format!(
            "decided what follows the failure of {subject}: {}",
            plain(choice)
        ),
        ("quarantine", _) => format!(
            "judged whether {subject} crashes endpoints: {}",
            plain(choice)
        ),
        ("membership", _) => format!("judged whether {subject} can be used: {}", plain(choice)),
        ("connection", _) => format!(
            "judged whether the connection of {subject} is alive: {}",
            plain(choice)
        ),
        ("configuration", _) => format!("decided whether to adopt {subject}: {}", plain(choice)),
        ("lease", _) => format!("decided who holds the lease of {subject}: {choice}"),
        ("placement", _) => format!("decided what to buy, load or give back: {}", plain(choice)),
        ("budget", _) => format!("decided which store call waits: {}", plain(choice)),
        ("finish", _) => format!("ended {subject}: {}", plain(choice)),
        ("stop", _) => format!("took the next step of its stop: {}", plain(choice)),
        (other, _) => format!("decided on {other} of {subject}: {}", plain(choice)),
    }
}

/// Inputs that can name what an event is about, the most telling first.
const NAMING_FIELDS: [(&str, &str); 10] = [
    ("attempt", "attempt"),
    ("request", "request"),
    ("fingerprint", "fingerprint"),
    ("endpoint", "endpoint"),
    ("member", "daemon"),
    ("daemon", "daemon"),
    ("vm", "VM"),
    ("order", "order"),
    ("revision", "revision"),
    ("service", "service"),
];

/// Returns the input that names what an event is about, and the word for it.
fn naming_field(event: &LogEvent) -> Option<(&'static str, &'static str)> {
    let mut fields = NAMING_FIELDS.into_iter();
    fields.find(|(field, _)| event.field(field).is_some())
}

fn subject(event: &LogEvent) -> String {
    match naming_field(event) {
        Some((field, word)) => format!("{word} {}", shown(event.field(field).unwrap_or_default())),
        None => "it".to_owned(),
    }
}

fn inputs(event: &LogEvent) -> String {
    let naming = naming_field(event).map(|(field, _)| field);
    let pairs: Vec<String> = event
        .fields
        .iter()
        .filter(|field| Some(field.name.as_str()) != naming)
        .map(|field| format!("{} {}", plain(&field.name), shown(&field.value)))
        .collect();
    match pairs.is_empty() {
        true => String::new(),
        false => format!(" Known: {}.", pairs.join("; ")),
    }
}

/// Writes a value; one with control characters is escaped, since it goes to a terminal.
fn shown(value: &str) -> String {
    match value.chars().any(char::is_control) {
        true => value.escape_debug().to_string(),
        false => value.to_owned(),
    }
}

/// Writes a word of the log as words of a sentence.
fn plain(word: &str) -> String {
    shown(word).replace(['-', '_'], " ")
}
