//! Received bytes of an event stream, cut into whole events.
//!
//! Follows the event stream format of the HTML standard (section 9.2): an empty line ends a block
//! of lines, and lines that begin with a colon are comments. Each byte is searched once, whatever
//! the parts in which it arrives.

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;

/// Begin of the status line of a response.
const STATUS_LINE: &[u8] = b"HTTP/1.";

/// Bytes of a stream that were received and not yet taken.
#[derive(Debug, Default)]
pub struct EventBuffer {
    data: BytesMut,
    /// Start of the line that is not complete.
    line_start: usize,
    /// Length of the part that was searched for line ends.
    searched: usize,
    /// End of the last complete block.
    blocks_end: usize,
    /// Whether a complete block is an event.
    has_event: bool,
    /// Whether the block that is not complete is an event.
    is_event: bool,
}

impl EventBuffer {
    /// Appends received bytes.
    pub fn push(&mut self, data: &[u8]) {
        self.data.extend_from_slice(data);
        while let Some(len) = self.data[self.searched..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let end = self.searched + len;
            self.end_line(end);
            self.searched = end + 1;
            self.line_start = end + 1;
        }
        self.searched = self.data.len();
    }

    /// Appends received bytes up to a line that begins a response; returns whether there is one.
    pub fn push_until_response(&mut self, data: &[u8]) -> bool {
        for line in data.split_inclusive(|byte| *byte == b'\n') {
            let start = self.line_start;
            self.push(line);
            if self.data[start..].starts_with(STATUS_LINE) {
                self.data.truncate(start);
                (self.searched, self.line_start) = (start, start);
                return true;
            }
        }
        false
    }

    fn end_line(&mut self, end: usize) {
        match &self.data[self.line_start..end] {
            [] | [b'\r'] => {
                self.has_event |= std::mem::take(&mut self.is_event);
                self.blocks_end = end + 1;
            }
            [b':', ..] => {}
            _ => self.is_event = true,
        }
    }

    /// Returns whether there is a whole event. Comments alone are none.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// Returns whether there is a whole event or comment.
    pub fn has_block(&self) -> bool {
        self.blocks_end > 0
    }

    /// Returns whether nothing is buffered.
    pub fn is_empty(&self) -> bool {
        self.data.is_empty()
    }

    /// Returns the number of bytes that are buffered.
    pub fn len(&self) -> usize {
        self.data.len()
    }

    /// Takes all whole events and comments.
    pub fn take_blocks(&mut self) -> Bytes {
        let blocks = self.data.split_to(self.blocks_end).freeze();
        self.line_start -= self.blocks_end;
        self.searched -= self.blocks_end;
        self.blocks_end = 0;
        self.has_event = false;
        blocks
    }

    /// Returns the id of the first event, if it has one.
    pub fn first_id(&self) -> Option<CompactString> {
        let mut lines = self.data[..].split(|byte| *byte == b'\n');
        let is_comment = |line: &&[u8]| line.is_empty() || *line == b"\r" || line.starts_with(b":");
        let mut event = lines.by_ref().skip_while(is_comment);
        let first = event.next()?;
        let rest = event.take_while(|line| !line.is_empty() && *line != b"\r");
        std::iter::once(first).chain(rest).find_map(id_in)
    }
}

/// Returns the id of the last event that has one.
pub fn last_id(events: &[u8]) -> Option<CompactString> {
    events.split(|byte| *byte == b'\n').rev().find_map(id_in)
}

/// Returns the id that a line sets.
fn id_in(line: &[u8]) -> Option<CompactString> {
    let id = line.strip_prefix(b"id:")?;
    CompactString::from_utf8(id.trim_ascii()).ok()
}
