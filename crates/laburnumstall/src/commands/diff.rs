//! `diff FILE`: shows what a text changes against the live one or another text.

use std::fmt;

use laburnumstall_config::{Change, diff, parse};
use laburnumstall_core::domain;
use laburnumstall_core::ids::Revision;
use laburnumstall_core::resources::System;
use snafu::ResultExt;

use super::{fetch, read_text};
use crate::cli::DiffOptions;
use crate::context::Context;
use crate::error::{CommandError, InvalidTextSnafu};

domain! {
    /// What a text changes.
    pub struct DiffResult {
        /// Revision that it is compared with; `None` if that is a file.
        pub revision: Option<Revision>,
        /// What changes, by kind and name.
        pub changes: Vec<Change>,
    }
}

impl fmt::Display for DiffResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.changes.is_empty() {
            return f.write_str("no changes");
        }
        let lines: Vec<String> = self.changes.iter().map(Change::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// Runs the command.
///
/// # Errors
///
/// Returns [`CommandError`] if a text cannot be read or has faults, or no daemon answers.
pub async fn run(cx: &Context<'_>, options: DiffOptions) -> Result<(), CommandError> {
    let new = read_text(&options.file)?.system;
    let (old, revision) = match &options.against {
        Some(path) => (read_text(path)?.system, None),
        None => live(cx).await?,
    };
    cx.present(&DiffResult {
        revision,
        changes: diff(&old, &new),
    })
}

async fn live(cx: &Context<'_>) -> Result<(System, Option<Revision>), CommandError> {
    cx.status("Reading", "the configuration in force");
    let stored = fetch(cx, None).await?;
    let system = parse(&stored.text)
        .map_err(|faults| faults.with_file("the configuration in force"))
        .context(InvalidTextSnafu)?;
    Ok((system, Some(stored.revision)))
}
