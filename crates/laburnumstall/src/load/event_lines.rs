//! Reads the events of a daemon's stream out of pieces of bytes.

/// One event of a stream; comments, which keep a connection busy, are none.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct StreamEvent {
    /// Id by which a caller comes back behind this event.
    pub(crate) id: Option<String>,
    /// Whether the event tells an error.
    pub(crate) is_error: bool,
    /// Data: a chunk in JSON, or the end mark.
    pub(crate) data: String,
}

/// Collects pieces of bytes into events.
#[derive(Debug, Default)]
pub(crate) struct EventLines {
    pending: Vec<u8>,
    event: StreamEvent,
}

impl EventLines {
    /// Adds a piece and returns the events that it completes.
    pub(crate) fn add(&mut self, piece: &[u8]) -> Vec<StreamEvent> {
        self.pending.extend_from_slice(piece);
        let mut events = Vec::new();
        while let Some(end) = self.pending.iter().position(|&b| b == b'\n') {
            let line: Vec<u8> = self.pending.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            self.take_line(line.trim_end(), &mut events);
        }
        events
    }

    fn take_line(&mut self, line: &str, events: &mut Vec<StreamEvent>) {
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            if !event.data.is_empty() {
                events.push(event);
            }
            return;
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => self.event.id = Some(value.to_owned()),
            "event" => self.event.is_error = value == "error",
            "data" => self.event.data.push_str(value),
            _ => {}
        }
    }
}
