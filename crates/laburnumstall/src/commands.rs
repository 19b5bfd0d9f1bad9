//! One module for each command.

pub mod apply;
pub mod bench;
pub mod check;
pub mod demo;
pub mod diff;
pub mod drain;
pub mod explain;
pub mod history;
pub mod load;
pub mod plan;
pub mod replay;
pub mod show;
pub mod status;

use std::path::Path;

use awc::http::StatusCode;
use laburnumstall_config::admin::{CONFIGURATION_PATH, StoredConfiguration};
use laburnumstall_config::parse;
use laburnumstall_core::ids::Revision;
use laburnumstall_core::resources::System;
use laburnumstall_core::units::Timestamp;
use snafu::ResultExt;

use crate::admin_client::AdminCall;
use crate::context::Context;
use crate::error::{CommandError, InvalidTextSnafu, NoConfigurationSnafu, ReadTextSnafu};

/// Beginning of the line by which a text tells the revision that it was made from.
const REVISION_LINE: &str = "# laburnumstall revision ";

/// A text with what it says.
struct ReadText {
    text: String,
    system: System,
}

/// Reads and checks a text.
fn read_text(path: &Path) -> Result<ReadText, CommandError> {
    let text = std::fs::read_to_string(path).context(ReadTextSnafu { path })?;
    let file = path.display().to_string();
    let system = parse(&text)
        .map_err(|faults| faults.with_file(&file))
        .context(InvalidTextSnafu)?;
    Ok(ReadText { text, system })
}

/// Reads a revision of the configuration from a daemon, or the one in force.
async fn fetch(
    cx: &Context<'_>,
    revision: Option<Revision>,
) -> Result<StoredConfiguration, CommandError> {
    match find(cx, revision).await? {
        Found::Configuration(stored) => Ok(*stored),
        Found::Nothing { message } => NoConfigurationSnafu { message }.fail(),
    }
}

/// What a daemon knows of a revision.
enum Found {
    Configuration(Box<StoredConfiguration>),
    Nothing { message: String },
}

async fn find(cx: &Context<'_>, revision: Option<Revision>) -> Result<Found, CommandError> {
    let path = match revision {
        Some(revision) => format!("{CONFIGURATION_PATH}?revision={revision}"),
        None => CONFIGURATION_PATH.to_owned(),
    };
    let call = AdminCall::get("read the configuration", path);
    let answer = cx.admin()?.send(&call).await?;
    if answer.status == StatusCode::NOT_FOUND {
        let message = answer.message();
        return Ok(Found::Nothing { message });
    }
    Ok(Found::Configuration(Box::new(answer.read_success()?)))
}

/// Writes a point in time as date and time in UTC.
fn date_text(at: Timestamp) -> String {
    let since_epoch = std::time::Duration::from_micros(at.0);
    match std::time::SystemTime::UNIX_EPOCH.checked_add(since_epoch) {
        Some(time) => humantime::format_rfc3339_seconds(time).to_string(),
        None => at.to_string(),
    }
}
