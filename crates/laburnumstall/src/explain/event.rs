//! Reads one line of a log: key=value pairs, values in quotes where they need them.

use compact_str::CompactString;
use laburnumstall_core::decision::Field;
use laburnumstall_core::domain;
use laburnumstall_core::units::Timestamp;

domain! {
    /// One event of a log.
    pub struct LogEvent {
        /// When it happened, by the clock of its daemon.
        pub at: Timestamp,
        /// Daemon that wrote it; empty if the line does not say.
        pub daemon: CompactString,
        /// What it is about.
        pub event: CompactString,
        /// What was chosen.
        pub choice: CompactString,
        /// Why.
        pub reason: CompactString,
        /// Inputs and alternatives, in the order of the line.
        pub fields: Vec<Field>,
    }
}

impl LogEvent {
    /// Returns the value of an input.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|field| field.name == name)
            .map(|field| field.value.as_str())
    }
}

/// Reads a line; `None` if it is no decision.
pub fn parse_line(line: &str) -> Option<LogEvent> {
    let mut event = LogEvent {
        at: Timestamp::ZERO,
        daemon: CompactString::default(),
        event: CompactString::default(),
        choice: CompactString::default(),
        reason: CompactString::default(),
        fields: Vec::new(),
    };
    let mut at = None;
    let mut rest = line.trim();
    while !rest.is_empty() {
        let (field, after) = next_field(rest)?;
        rest = after.trim_start();
        match field.name.as_str() {
            "t" => at = Some(parse_timestamp(&field.value)?),
            "daemon" if event.event.is_empty() => event.daemon = field.value,
            "event" => event.event = field.value,
            "choice" => event.choice = field.value,
            "reason" => event.reason = field.value,
            "time" | "level" => {}
            _ => event.fields.push(field),
        }
    }
    event.at = at?;
    let is_decision = !event.event.is_empty() && !event.choice.is_empty();
    is_decision.then_some(event)
}

fn next_field(text: &str) -> Option<(Field, &str)> {
    let (name, rest) = text.split_once('=')?;
    let is_name_byte = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'-' | b'.');
    if name.is_empty() || !name.bytes().all(is_name_byte) {
        return None;
    }
    let (value, rest) = match rest.strip_prefix('"') {
        Some(quoted) => unquote(quoted)?,
        None => {
            let end = rest.find(char::is_whitespace).unwrap_or(rest.len());
            (rest[..end].into(), &rest[end..])
        }
    };
    let name = name.into();
    Some((Field { name, value }, rest))
}

/// Reads a value after its opening quote, and returns it with the text after the closing one.
fn unquote(text: &str) -> Option<(CompactString, &str)> {
    let mut value = CompactString::default();
    let mut chars = text.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return Some((value, &text[at + 1..])),
            '\\' => value.push(unescape(&mut chars)?),
            other => value.push(other),
        }
    }
    None
}

/// Reads the part of an escape after its backslash, as Rust's debug format writes it.
fn unescape(chars: &mut std::str::CharIndices<'_>) -> Option<char> {
    let (_, c) = chars.next()?;
    match c {
        'n' => Some('\n'),
        'r' => Some('\r'),
        't' => Some('\t'),
        '0' => Some('\0'),
        'u' => {
            let digits: String = chars
                .map(|(_, c)| c)
                .skip_while(|c| *c == '{')
                .take_while(|c| *c != '}')
                .collect();
            char::from_u32(u32::from_str_radix(&digits, 16).ok()?)
        }
        other => Some(other),
    }
}

fn parse_timestamp(text: &str) -> Option<Timestamp> {
    let (seconds, micros) = text.split_once('.')?;
    if micros.len() != 6 {
        return None;
    }
    let seconds: u64 = seconds.parse().ok()?;
    let micros: u64 = micros.parse().ok()?;
    seconds
        .checked_mul(1_000_000)?
        .checked_add(micros)
        .map(Timestamp)
}
