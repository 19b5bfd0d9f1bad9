//! Faults of a text, shown in the manner of a compiler.

use std::fmt;

use compact_str::CompactString;
use laburnumstall_core::{domain, domain_value};

domain_value! {
    /// What kind of fault a text has.
    #[serde(rename_all = "kebab-case")]
    pub enum FaultKind {
        /// The text is not TOML.
        Syntax,
        /// A key that means nothing here.
        UnknownKey,
        /// A key that must be given and is not.
        MissingKey,
        /// A value of the wrong type or out of its range.
        BadValue,
        /// A name that is declared twice.
        Duplicate,
        /// A name that is declared nowhere.
        UnknownName,
        /// Services that depend on each other in a circle.
        Cycle,
        /// Settings that exclude each other.
        Contradiction,
    }
}

domain! {
    /// One fault of a text.
    pub struct Fault {
        /// Kind of the fault.
        pub kind: FaultKind,
        /// Line, from one.
        pub line: u32,
        /// Column in characters, from one.
        pub column: u32,
        /// Number of characters that the fault covers on its line; at least one.
        pub width: u32,
        /// The source line, cut to a readable length.
        pub excerpt: String,
        /// What is wrong.
        pub message: String,
        /// What was expected here.
        pub expected: String,
        /// What the operator can do.
        pub hint: Option<String>,
    }

    /// All faults of a text, in the order of their places.
    pub struct Faults {
        /// Name of the text: a file, or what stands for one.
        pub file: CompactString,
        /// The faults; never empty.
        pub faults: Vec<Fault>,
    }
}

impl Faults {
    /// Names the file that the text came from.
    pub fn with_file(mut self, file: &str) -> Self {
        self.file = file.into();
        self
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.faults {
            fault.write(f, &self.file)?;
            writeln!(f)?;
        }
        match self.faults.len() {
            1 => write!(f, "1 fault in {}", self.file),
            count => write!(f, "{count} faults in {}", self.file),
        }
    }
}

impl std::error::Error for Faults {}

impl Fault {
    fn write(&self, f: &mut fmt::Formatter<'_>, file: &str) -> fmt::Result {
        let number = self.line.to_string();
        let margin = " ".repeat(number.len());
        let indent = " ".repeat(self.column.saturating_sub(1) as usize);
        let shown = self.excerpt.chars().count() as u32;
        let room = shown.saturating_sub(self.column.saturating_sub(1)).max(1);
        let carets = "^".repeat(self.width.min(room) as usize);
        writeln!(f, "error: {}", self.message)?;
        writeln!(f, "{margin}--> {file}:{}:{}", self.line, self.column)?;
        writeln!(f, "{margin} |")?;
        writeln!(f, "{number} | {}", self.excerpt.replace('\t', " "))?;
        if self.column <= shown + 1 {
            writeln!(f, "{margin} | {indent}{carets} expected {}", self.expected)?;
        } else {
            writeln!(f, "{margin} | expected {}", self.expected)?;
        }
        match &self.hint {
            Some(hint) => writeln!(f, "{margin} = help: {hint}"),
            None => Ok(()),
        }
    }
}
