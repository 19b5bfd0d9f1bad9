//! `history`: lists who changed what, when and why.

use std::fmt;

use laburnumstall_config::Change;
use laburnumstall_config::admin::{HISTORY_PATH, HistoryEntry};
use serde::Serialize;

use super::date_text;
use crate::admin_client::AdminCall;
use crate::cli::HistoryOptions;
use crate::context::Context;
use crate::error::CommandError;

/// The history as it is shown, newest first.
#[derive(Serialize)]
#[serde(transparent)]
struct HistoryResult(Vec<HistoryEntry>);

impl fmt::Display for HistoryResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("no configuration has been applied yet");
        }
        let entries: Vec<String> = self.0.iter().map(entry_text).collect();
        f.write_str(&entries.join("\n"))
    }
}

fn entry_text(entry: &HistoryEntry) -> String {
    let date = date_text(entry.at);
    let mut lines = vec![format!(
        "revision {} by {} at {date}",
        entry.revision, entry.operator
    )];
    if !entry.reason.is_empty() {
        lines.push(format!("  reason: {}", entry.reason));
    }
    let changes = entry.changes.iter().map(Change::to_string);
    lines.extend(changes.map(|change| format!("  {}", change.replace('\n', "\n  "))));
    lines.join("\n")
}

/// Runs the command.
///
/// # Errors
///
/// Returns [`CommandError`] if no daemon answers.
pub async fn run(cx: &Context<'_>, _options: HistoryOptions) -> Result<(), CommandError> {
    let call = AdminCall::get("read the history", HISTORY_PATH);
    let answer = cx.admin()?.send(&call).await?;
    let mut entries: Vec<HistoryEntry> = answer.read_success()?;
    entries.sort_by_key(|entry| std::cmp::Reverse(entry.revision));
    cx.present(&HistoryResult(entries))
}
