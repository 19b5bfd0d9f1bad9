//! `replay SESSION`: the decision lines of a recorded session, taken again.

use std::fmt;
use std::path::Path;

use laburnumstall_core::domain;
use laburnumstall_core::session::{Session, SessionRecord};
use snafu::{OptionExt, ResultExt};

use crate::cli::ReplayOptions;
use crate::context::Context;
use crate::error::{CommandError, NoSessionSnafu, ReadRecordSnafu, ReadSessionSnafu};

domain! {
    /// Decision lines, as the daemon wrote them.
    pub struct ReplayResult {
        /// The lines, in order.
        pub lines: Vec<String>,
    }
}

impl fmt::Display for ReplayResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.lines.join("\n"))
    }
}

/// Runs the command.
///
/// # Errors
///
/// Returns [`CommandError`] if the session cannot be read.
pub async fn run(cx: &Context<'_>, options: ReplayOptions) -> Result<(), CommandError> {
    cx.status("Replaying", options.session.display());
    let session = read(&options.session)?;
    let vm = session.settings.member.id.vm.clone();
    let decisions = session.replay().into_iter();
    let lines = decisions.map(|decision| format!("daemon={vm} {decision}"));
    cx.present(&ReplayResult {
        lines: lines.collect(),
    })
}

fn read(path: &Path) -> Result<Session, CommandError> {
    let text = std::fs::read_to_string(path).context(ReadSessionSnafu { path })?;
    let mut records: Vec<SessionRecord> = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let record = serde_json::from_str(line);
        records.push(record.context(ReadRecordSnafu {
            path,
            line: index + 1,
        })?);
    }
    Session::from_records(records).context(NoSessionSnafu { path })
}
