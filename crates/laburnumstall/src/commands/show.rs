//! `show`: prints the text in force, or that of an earlier revision.

use std::fmt;

use laburnumstall_config::admin::StoredConfiguration;
use serde::Serialize;

use super::{REVISION_LINE, date_text, fetch};
use crate::cli::ShowOptions;
use crate::context::Context;
use crate::error::CommandError;

/// A configuration as it is shown: its text after a line that names it.
#[derive(Serialize)]
#[serde(transparent)]
struct ShowResult(StoredConfiguration);

impl fmt::Display for ShowResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StoredConfiguration {
            revision,
            digest,
            text,
            operator,
            at,
            reason,
        } = &self.0;
        let date = date_text(*at);
        writeln!(
            f,
            "{REVISION_LINE}{revision}, applied by {operator} at {date}"
        )?;
        // A reason of several lines must stay a comment.
        for line in reason.lines() {
            writeln!(f, "# reason: {line}")?;
        }
        writeln!(f, "# digest: {digest}\n")?;
        f.write_str(text.trim_end())
    }
}

/// Runs the command.
///
/// # Errors
///
/// Returns [`CommandError`] if no daemon answers or there is no such revision.
pub async fn run(cx: &Context<'_>, options: ShowOptions) -> Result<(), CommandError> {
    let stored = fetch(cx, options.revision).await?;
    cx.present(&ShowResult(stored))
}
