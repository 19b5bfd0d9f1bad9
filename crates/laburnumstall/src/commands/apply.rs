//! `apply FILE`: puts a text in force everywhere.
//!
//! The base is the revision that the text was made from: given by `--base`, or by the first
//! line of a text that `show` printed, or else the revision in force now. A daemon refuses
//! the text if another revision is in force. The nonce lets daemons recognise the call when
//! it is repeated at another address after a lost reply.

use std::fmt;

use awc::http::StatusCode;
use laburnumstall_config::Faults;
use laburnumstall_config::admin::{
    Applied, ApplyConflict, ApplyNonce, ApplyRequest, ApplyUnavailable, CONFIGURATION_PATH,
};
use laburnumstall_core::domain;
use laburnumstall_core::ids::{DaemonId, Revision};
use snafu::{ResultExt, ensure};

use super::{Found, REVISION_LINE, find, read_text};
use crate::admin_client::{AdminAnswer, AdminCall};
use crate::cli::ApplyOptions;
use crate::context::Context;
use crate::error::{
    CommandError, ConflictSnafu, InvalidTextSnafu, StoreUnavailableSnafu, UnconfirmedSnafu,
};

const PURPOSE: &str = "apply the text";

domain! {
    /// A text that is in force.
    pub struct ApplyResult {
        /// Revision that it was made from.
        pub base: Revision,
        /// Revision under which it was accepted.
        pub revision: Revision,
        /// Live daemons that have it in force.
        pub confirmed: Vec<DaemonId>,
        /// Live daemons that did not confirm in time.
        pub missing: Vec<DaemonId>,
    }
}

impl fmt::Display for ApplyResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let daemons: Vec<String> = self.confirmed.iter().map(DaemonId::to_string).collect();
        write!(
            f,
            "revision {} is in force on {} of {} daemons: {}",
            self.revision,
            self.confirmed.len(),
            self.confirmed.len() + self.missing.len(),
            daemons.join(", ")
        )
    }
}

/// Runs the command.
///
/// # Errors
///
/// Returns [`CommandError`] if the text has faults, others changed the configuration, no
/// daemon or store answers, or a live daemon did not confirm.
pub async fn run(cx: &Context<'_>, options: ApplyOptions) -> Result<(), CommandError> {
    let text = read_text(&options.file)?.text;
    let base = match options.base.or_else(|| base_of(&text)) {
        Some(base) => base,
        None => revision_in_force(cx).await?,
    };
    let file = options.file.display();
    cx.status(
        "Applying",
        format_args!("{file}, made from revision {base}"),
    );
    let request = ApplyRequest {
        base,
        text,
        reason: options.reason.unwrap_or_default().into(),
        operator: cx.settings().operator.clone(),
        nonce: new_nonce(),
    };
    let call = AdminCall::post(PURPOSE, CONFIGURATION_PATH, &request)?;
    let answer = cx.admin()?.send(&call).await?;
    let applied = read_answer(&answer, base, &file.to_string())?;
    cx.present(&ApplyResult {
        base,
        revision: applied.revision,
        confirmed: applied.confirmed,
        missing: applied.missing.clone(),
    })?;
    ensure!(
        applied.missing.is_empty(),
        UnconfirmedSnafu {
            revision: applied.revision,
            missing: applied.missing,
        }
    );
    Ok(())
}

fn read_answer(answer: &AdminAnswer, base: Revision, file: &str) -> Result<Applied, CommandError> {
    match answer.status {
        StatusCode::CONFLICT => {
            let conflict: ApplyConflict = answer.read()?;
            ConflictSnafu { base, conflict }.fail()
        }
        StatusCode::UNPROCESSABLE_ENTITY => {
            let faults: Faults = answer.read()?;
            Err(faults.with_file(file)).context(InvalidTextSnafu)
        }
        StatusCode::SERVICE_UNAVAILABLE => {
            let answer: ApplyUnavailable = answer.read()?;
            StoreUnavailableSnafu { answer }.fail()
        }
        _ => answer.read_success(),
    }
}

/// Returns the revision that the first line of a shown text names.
fn base_of(text: &str) -> Option<Revision> {
    let rest = text.lines().next()?.strip_prefix(REVISION_LINE)?;
    let number = rest.split([',', ' ']).next()?;
    number.parse().ok()
}

/// Returns the revision in force, or zero if there is none yet.
async fn revision_in_force(cx: &Context<'_>) -> Result<Revision, CommandError> {
    match find(cx, None).await? {
        Found::Configuration(stored) => Ok(stored.revision),
        Found::Nothing { .. } => Ok(Revision(0)),
    }
}

fn new_nonce() -> ApplyNonce {
    format!("{:032x}", fastrand::u128(..))
        .parse()
        .expect("hexadecimal digits are visible ASCII")
}
