//! Places in a text: from byte offsets to lines and columns.

use std::ops::Range;

/// Longest part of a source line that a fault quotes, in characters.
const MAX_EXCERPT_CHARS: usize = 160;

/// A place in a text with the line that it is on.
pub(crate) struct Place {
    /// Line, from one.
    pub(crate) line: u32,
    /// Column in characters, from one.
    pub(crate) column: u32,
    /// Number of characters on the line that the place covers; at least one.
    pub(crate) width: u32,
    /// The line, cut to a readable length.
    pub(crate) excerpt: String,
}

/// A text with the offsets of its lines.
pub(crate) struct Source<'a> {
    text: &'a str,
    line_starts: Vec<usize>,
}

impl<'a> Source<'a> {
    /// Indexes the lines of `text`.
    pub(crate) fn new(text: &'a str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(at, _)| at + 1);
        let line_starts = std::iter::once(0).chain(after_breaks).collect();
        Self { text, line_starts }
    }

    /// Finds the place of a range of bytes; a range outside of the text is moved into it.
    pub(crate) fn place(&self, span: &Range<usize>) -> Place {
        let start = self.boundary(span.start);
        let end = self.boundary(span.end.max(start));
        let index = self.line_starts.partition_point(|&at| at <= start) - 1;
        let line_start = self.line_starts[index];
        let line = self.text[line_start..].lines().next().unwrap_or("");
        let line_end = line_start + line.len();
        let covered = &self.text[start.min(line_end)..end.clamp(start.min(line_end), line_end)];
        Place {
            line: index as u32 + 1,
            column: self.text[line_start..start].chars().count() as u32 + 1,
            width: (covered.chars().count() as u32).max(1),
            excerpt: line.chars().take(MAX_EXCERPT_CHARS).collect(),
        }
    }

    fn boundary(&self, offset: usize) -> usize {
        let mut offset = offset.min(self.text.len());
        while !self.text.is_char_boundary(offset) {
            offset -= 1;
        }
        offset
    }
}
