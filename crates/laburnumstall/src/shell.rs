//! Where a command writes: results to standard output, everything else to standard error.

use std::cell::RefCell;
use std::fmt::Display;
use std::io::{self, IsTerminal, Write};

/// Columns that a status verb is aligned to.
const VERB_COLUMNS: usize = 12;

/// The two outputs of a process, or buffers in their place.
pub struct Shell {
    out: Output,
    err: Output,
    has_terminal: bool,
}

enum Output {
    Stdout,
    Stderr,
    Buffer(RefCell<Vec<u8>>),
}

impl Output {
    fn write(&self, text: &str) -> io::Result<()> {
        match self {
            Self::Stdout => io::stdout().write_all(text.as_bytes()),
            Self::Stderr => io::stderr().write_all(text.as_bytes()),
            Self::Buffer(buf) => buf.borrow_mut().write_all(text.as_bytes()),
        }
    }

    fn buffered(&self) -> String {
        match self {
            Self::Buffer(buf) => String::from_utf8_lossy(&buf.borrow()).into_owned(),
            Self::Stdout | Self::Stderr => String::new(),
        }
    }
}

impl Shell {
    /// Writes to the process's own outputs.
    pub fn process() -> Self {
        Self {
            out: Output::Stdout,
            err: Output::Stderr,
            has_terminal: io::stderr().is_terminal(),
        }
    }

    /// Writes to buffers, which [`Shell::results`] and [`Shell::messages`] return.
    pub fn buffered() -> Self {
        Self {
            out: Output::Buffer(RefCell::default()),
            err: Output::Buffer(RefCell::default()),
            has_terminal: false,
        }
    }

    /// Returns what was written to buffered standard output.
    pub fn results(&self) -> String {
        self.out.buffered()
    }

    /// Returns what was written to buffered standard error.
    pub fn messages(&self) -> String {
        self.err.buffered()
    }

    /// Writes a line of the result.
    ///
    /// # Errors
    ///
    /// Returns the error of standard output, such as a full disk or a closed pipe.
    pub fn result(&self, text: &impl Display) -> io::Result<()> {
        self.out.write(&format!("{text}\n"))
    }

    /// Says what is being done, as a verb and its object.
    pub fn status(&self, verb: &str, text: impl Display) {
        self.say(&format!("{verb:>VERB_COLUMNS$} {text}\n"));
    }

    /// Writes an error.
    pub fn error(&self, text: impl Display) {
        self.say(&format!("error: {text}\n"));
    }

    /// Writes what the operator can do.
    pub fn hint(&self, text: impl Display) {
        self.say(&format!("hint: {text}\n"));
    }

    /// Writes a line to standard error as it is.
    pub fn message(&self, text: impl Display) {
        self.say(&format!("{text}\n"));
    }

    /// Shows progress in place, on a terminal alone.
    pub fn progress(&self, text: impl Display) {
        if self.has_terminal {
            self.say(&format!("\r\x1b[K{text}"));
        }
    }

    /// Removes the progress shown.
    pub fn end_progress(&self) {
        if self.has_terminal {
            self.say("\r\x1b[K");
        }
    }

    fn say(&self, text: &str) {
        // Standard error may be closed; the result and the exit code still hold.
        let _ = self.err.write(text);
    }
}
