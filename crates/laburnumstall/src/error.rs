//! Why a command failed: what was tried, the causes, and what the operator can do.

use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use laburnumstall_config::admin::{ApplyConflict, ApplyUnavailable};
use laburnumstall_config::{Change, Faults};
use laburnumstall_core::domain;
use laburnumstall_core::ids::{DaemonId, Revision};
use serde::Serialize;
use snafu::Snafu;

use crate::context::Context;
use crate::demo::DemoError;
use crate::exit::Exit;

domain! {
    /// One address that did not answer.
    pub struct FailedAttempt {
        /// Address that was tried.
        pub address: SocketAddr,
        /// What happened.
        pub reason: String,
    }
}

impl fmt::Display for FailedAttempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.address, self.reason)
    }
}

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum CommandError {
    /// The text could not be read.
    #[snafu(display("read the text {}", path.display()))]
    ReadText {
        /// File of the text.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The text has faults.
    #[snafu(display("read the text: it is not valid"))]
    InvalidText {
        /// The faults.
        #[snafu(source)]
        source: Faults,
    },
    /// A log could not be read.
    #[snafu(display("read the log {}", path.display()))]
    ReadLog {
        /// File of the log.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// No line of the logs is about what was asked.
    #[snafu(display("explain `{id}`: none of the {lines} lines read is about it"))]
    NothingKnown {
        /// What was asked.
        id: String,
        /// Lines that were read.
        lines: u64,
    },
    /// The result could not be written.
    #[snafu(display("write the result"))]
    WriteResult {
        /// Cause.
        source: io::Error,
    },
    /// The result could not be put in JSON.
    #[snafu(display("write the result in JSON"))]
    WriteJson {
        /// Cause.
        source: serde_json::Error,
    },
    /// A setting or an argument that the command needs is not given.
    #[snafu(display("{what} is not given"))]
    NotGiven {
        /// What is missing.
        what: &'static str,
        /// How to give it.
        hint: &'static str,
    },
    /// An argument is wrong.
    #[snafu(display("read the arguments: `{argument}` is not {expected}"))]
    BadArgument {
        /// The argument.
        argument: String,
        /// What was expected.
        expected: &'static str,
    },
    /// A promise to callers was broken under load.
    #[snafu(display(
        "drive load: {lost} accepted requests were lost, {damaged} answers were damaged and {foreign} foreign"
    ))]
    PromiseBroken {
        /// Accepted requests without an answer.
        lost: u64,
        /// Answers with a missing, repeated or changed part.
        damaged: u64,
        /// Answers that belong to another request.
        foreign: u64,
    },
    /// A session could not be read.
    #[snafu(display("read the session {}", path.display()))]
    ReadSession {
        /// File of the session.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A session could not be written.
    #[snafu(display("write the session {}", path.display()))]
    WriteSession {
        /// File of the session.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A line of a session is not a record.
    #[snafu(display("read line {line} of the session {}", path.display()))]
    ReadRecord {
        /// File of the session.
        path: PathBuf,
        /// Number of the line, from one.
        line: usize,
        /// Cause.
        source: serde_json::Error,
    },
    /// A session does not begin with the start of an entry.
    #[snafu(display("read the session {}: it does not begin with a start", path.display()))]
    NoSession {
        /// File of the session.
        path: PathBuf,
    },
    /// The demonstration could not be run.
    #[snafu(display("run the demonstration"))]
    Demo {
        /// Cause.
        source: DemoError,
    },
    /// A promise was broken in a scenario.
    #[snafu(display("run the scenario: {promises} promises were broken"))]
    ScenarioBroken {
        /// Number of broken promises.
        promises: usize,
    },
    /// No daemon answered.
    #[snafu(display("{call}: no daemon answered ({})", list(tried)))]
    Unreachable {
        /// Call that was tried.
        call: String,
        /// Whether a daemon may have received the call and acted on it.
        may_have_acted: bool,
        /// Addresses with what happened at each.
        tried: Vec<FailedAttempt>,
    },
    /// The operator key was refused.
    #[snafu(display("{call}: {address} refused the operator key"))]
    Unauthorized {
        /// Call that was tried.
        call: String,
        /// Daemon that refused.
        address: SocketAddr,
    },
    /// A daemon refused the call.
    #[snafu(display("{call}: {address} answered {status}: {message}"))]
    Refused {
        /// Call that was tried.
        call: String,
        /// Daemon that refused.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
        /// What the daemon said.
        message: String,
    },
    /// A daemon's answer could not be read.
    #[snafu(display("{call}: the answer of {address} could not be read"))]
    UnreadableAnswer {
        /// Call that was tried.
        call: String,
        /// Daemon that answered.
        address: SocketAddr,
        /// Cause.
        source: serde_json::Error,
    },
    /// There is no configuration of that revision.
    #[snafu(display("read the configuration: {message}"))]
    NoConfiguration {
        /// What the daemon said.
        message: String,
    },
    /// Others changed the configuration since the base.
    #[snafu(display(
        "apply the text: it was made from revision {base}, but {} is in force",
        conflict.current
    ))]
    Conflict {
        /// Revision that the text was made from.
        base: Revision,
        /// What is in force, and what the others changed.
        conflict: ApplyConflict,
    },
    /// The key-value service did not answer.
    #[snafu(display("apply the text: {}; revision {} stays in force", answer.message, answer.known))]
    StoreUnavailable {
        /// What the daemon knows.
        answer: ApplyUnavailable,
    },
    /// Not every live daemon confirmed.
    #[snafu(display(
        "apply the text: revision {revision} is accepted, but {} did not confirm it",
        list(missing)
    ))]
    Unconfirmed {
        /// Revision that was accepted.
        revision: Revision,
        /// Live daemons that did not confirm.
        missing: Vec<DaemonId>,
    },
}

impl CommandError {
    /// Returns the exit code that goes with the error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::NotGiven { .. } | Self::BadArgument { .. } | Self::Unauthorized { .. } => {
                Exit::Usage
            }
            Self::Conflict { .. } => Exit::Conflict,
            Self::Unreachable { .. } | Self::StoreUnavailable { .. } => Exit::Unreachable,
            Self::Unconfirmed { .. } => Exit::Unconfirmed,
            _ => Exit::Failed,
        }
    }

    /// Returns what the operator can do.
    pub fn hint(&self) -> &'static str {
        match self {
            Self::ReadText { .. } | Self::ReadLog { .. } => "check the path",
            Self::InvalidText { .. } => "correct the text and run `laburnumstall check` again",
            Self::NothingKnown { .. } => {
                "give the logs of every daemon, and the id as callers see it"
            }
            Self::WriteResult { .. } | Self::WriteJson { .. } => "check where the output goes",
            Self::NotGiven { hint, .. } => hint,
            Self::BadArgument { .. } => "see the command's --help",
            Self::ReadSession { .. } | Self::ReadRecord { .. } | Self::NoSession { .. } => {
                "`laburnumstall demo --record FILE` writes a session"
            }
            Self::WriteSession { .. } => "check that the file can be written",
            Self::Demo { .. } => "the demonstration needs free ports on loopback",
            Self::PromiseBroken { .. } | Self::ScenarioBroken { .. } => {
                "`laburnumstall explain` tells a request's story"
            }
            Self::Unreachable {
                may_have_acted: true,
                ..
            } => {
                "it may have taken effect: see `laburnumstall history` or `status` before repeating it"
            }
            Self::Unreachable { .. } => "nothing changed; check --admin and that the daemons run",
            Self::Unauthorized { .. } => "set LABURNUMSTALL_OPERATOR_KEY to the operator key",
            Self::Refused { .. } | Self::UnreadableAnswer { .. } => {
                "see the daemon's log; daemon and command line may differ in version"
            }
            Self::NoConfiguration { .. } => "`laburnumstall history` lists the revisions",
            Self::Conflict { .. } => {
                "take the changes into your text, then apply it with --base of the revision in force"
            }
            Self::StoreUnavailable { answer } if answer.may_be_accepted => {
                "it may have been accepted: see `laburnumstall history` before applying again"
            }
            Self::StoreUnavailable { .. } => "nothing changed; apply again when the store is back",
            Self::Unconfirmed { .. } => {
                "they adopt it when they are reached; see `laburnumstall status`"
            }
        }
    }
}

/// An error as it is printed.
#[derive(Debug, Serialize)]
pub struct ErrorReport<'e> {
    error: String,
    causes: Vec<String>,
    hint: &'e str,
    /// What a person is shown after the error.
    #[serde(skip)]
    detail: Option<String>,
    exit: Exit,
    exit_code: u8,
    #[serde(skip_serializing_if = "Option::is_none")]
    faults: Option<&'e Faults>,
    #[serde(skip_serializing_if = "Option::is_none")]
    conflict: Option<&'e ApplyConflict>,
    #[serde(skip_serializing_if = "Option::is_none")]
    missing: Option<&'e [DaemonId]>,
}

impl<'e> ErrorReport<'e> {
    /// Builds the report of an error.
    pub fn of(error: &'e CommandError) -> Self {
        let mut report = Self {
            error: error.to_string(),
            causes: Vec::new(),
            hint: error.hint(),
            detail: None,
            exit: error.exit(),
            exit_code: error.exit().code(),
            faults: None,
            conflict: None,
            missing: None,
        };
        match error {
            CommandError::InvalidText { source } => {
                report.detail = Some(format!("\n{source}"));
                report.faults = Some(source);
            }
            CommandError::Conflict { conflict, .. } => {
                report.detail = Some(list_changes(&conflict.changes));
                report.conflict = Some(conflict);
            }
            CommandError::Unconfirmed { missing, .. } => report.missing = Some(missing),
            other => report.causes = causes(other),
        }
        report
    }

    /// Writes the report to standard error, in JSON if that is set.
    pub fn print(&self, cx: &Context<'_>) {
        let shell = cx.shell();
        if cx.settings().json {
            match serde_json::to_string_pretty(self) {
                Ok(json) => shell.message(json),
                Err(error) => shell.error(error),
            }
            return;
        }
        shell.error(&self.error);
        for cause in &self.causes {
            shell.message(format_args!("  caused by: {cause}"));
        }
        if let Some(detail) = &self.detail {
            shell.message(detail);
        }
        shell.hint(self.hint);
    }
}

fn causes(error: &CommandError) -> Vec<String> {
    let mut causes = Vec::new();
    let mut next = error.source();
    while let Some(cause) = next {
        causes.push(cause.to_string());
        next = cause.source();
    }
    causes
}

fn list<T: fmt::Display>(items: &[T]) -> String {
    let items: Vec<String> = items.iter().map(T::to_string).collect();
    items.join(", ")
}

fn list_changes(changes: &[Change]) -> String {
    let indented = |change: &Change| format!("  {}", change.to_string().replace('\n', "\n  "));
    let lines: Vec<String> = changes.iter().map(indented).collect();
    format!("changed by others since then:\n{}", lines.join("\n"))
}
