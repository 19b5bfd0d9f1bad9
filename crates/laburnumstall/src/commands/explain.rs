//! `explain ID LOG...`: tells what happened to a request, VM, endpoint or order.

use std::path::PathBuf;

use snafu::ensure;

use crate::cli::ExplainOptions;
use crate::context::Context;
use crate::error::{CommandError, NotGivenSnafu, NothingKnownSnafu};
use crate::explain::search;

/// Runs the command.
///
/// # Errors
///
/// Returns [`CommandError`] if a log cannot be read or no line is about the id.
pub async fn run(cx: &Context<'_>, options: ExplainOptions) -> Result<(), CommandError> {
    let mut words = options.id_and_logs.into_iter();
    let id = words.next().unwrap_or_default();
    let logs: Vec<PathBuf> = words.map(PathBuf::from).collect();
    ensure!(
        !id.is_empty() && !logs.is_empty(),
        NotGivenSnafu {
            what: "a log",
            hint: "write `laburnumstall explain ID LOG...`, with the logs of every daemon",
        }
    );
    for log in &logs {
        cx.status("Reading", log.display());
    }
    let story = search(&id, &logs)?;
    ensure!(
        !story.events.is_empty(),
        NothingKnownSnafu {
            id,
            lines: story.lines_read,
        }
    );
    cx.present(&story)
}
