//! An incremental parser of server-sent events.
//!
//! Follows the event stream format of the HTML standard (section 9.2): lines end with LF,
//! CR or CRLF; comments are skipped; several `data` lines are joined by LF. An event, with what is
//! skipped before it, is bounded by [`MAX_EVENT_BYTES`], and bytes may be split anywhere.

use std::fmt;

use compact_str::CompactString;

/// Most bytes of one event with the comments and unknown fields before it.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// Value of the `id` field.
    pub id: Option<CompactString>,
    /// Value of the `event` field; empty if there was none.
    pub name: CompactString,
    /// Values of the `data` fields, joined by LF.
    pub data: String,
}

/// Why a stream cannot be read on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SseError {
    /// An event, with what is skipped before it, is longer than [`MAX_EVENT_BYTES`].
    TooLong,
    /// A line is not UTF-8.
    NotUtf8,
}

impl fmt::Display for SseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong => write!(f, "an event is longer than {MAX_EVENT_BYTES} bytes"),
            Self::NotUtf8 => f.write_str("a line of the event stream is not UTF-8"),
        }
    }
}

impl std::error::Error for SseError {}

/// Parser of one event stream.
#[derive(Debug, Default)]
pub struct SseParser {
    line: Vec<u8>,
    /// Bytes since the last event.
    pending: usize,
    is_after_cr: bool,
    is_past_first_line: bool,
    event: SseEvent,
    has_data: bool,
}

impl SseParser {
    /// Reads a piece of the stream and appends the events that it completes.
    ///
    /// # Errors
    ///
    /// Returns [`SseError`] for an oversized event or text that is not UTF-8; the stream
    /// cannot be read further.
    pub fn push(&mut self, mut bytes: &[u8], events: &mut Vec<SseEvent>) -> Result<(), SseError> {
        while !bytes.is_empty() {
            if std::mem::take(&mut self.is_after_cr) && bytes[0] == b'\n' {
                bytes = &bytes[1..];
                continue;
            }
            let end = bytes.iter().position(|&b| b == b'\n' || b == b'\r');
            let (part, rest) = bytes.split_at(end.unwrap_or(bytes.len()));
            self.pending += part.len();
            if self.pending > MAX_EVENT_BYTES {
                return Err(SseError::TooLong);
            }
            self.line.extend_from_slice(part);
            bytes = rest;
            if let [terminator, rest @ ..] = rest {
                self.pending += 1;
                self.is_after_cr = *terminator == b'\r';
                bytes = rest;
                self.end_line(events)?;
            }
        }
        Ok(())
    }

    /// Tells whether the stream ended between two events.
    pub fn is_between_events(&self) -> bool {
        self.line.is_empty() && !self.has_data
    }

    fn end_line(&mut self, events: &mut Vec<SseEvent>) -> Result<(), SseError> {
        let line = std::mem::take(&mut self.line);
        let text = std::str::from_utf8(&line).map_err(|_| SseError::NotUtf8)?;
        let is_first = !std::mem::replace(&mut self.is_past_first_line, true);
        let text = match text.strip_prefix('\u{feff}') {
            Some(rest) if is_first => rest,
            _ => text,
        };
        if text.is_empty() {
            self.end_event(events);
        } else {
            self.read_field(text)?;
        }
        self.line = line;
        self.line.clear();
        Ok(())
    }

    fn end_event(&mut self, events: &mut Vec<SseEvent>) {
        let event = std::mem::take(&mut self.event);
        if std::mem::take(&mut self.has_data) {
            events.push(event);
            self.pending = 0;
        }
    }

    fn read_field(&mut self, line: &str) -> Result<(), SseError> {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "data" => self.add_data(value)?,
            "event" => self.event.name = value.into(),
            "id" if !value.contains('\0') => self.event.id = Some(value.into()),
            _ => {}
        }
        Ok(())
    }

    fn add_data(&mut self, value: &str) -> Result<(), SseError> {
        let data = &mut self.event.data;
        if data.len() + value.len() + 1 > MAX_EVENT_BYTES {
            return Err(SseError::TooLong);
        }
        if self.has_data {
            data.push('\n');
        }
        data.push_str(value);
        self.has_data = true;
        Ok(())
    }
}
