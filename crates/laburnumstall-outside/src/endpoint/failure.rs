//! How an attempt can fail, sorted by what the failure says about the attempt.

use std::fmt;

use compact_str::CompactString;
use laburnumstall_core::domain;

domain! {
    /// Why an attempt has no whole answer.
    #[serde(rename_all = "kebab-case")]
    pub enum AttemptFailure {
        /// No connection was made: nothing was sent and nothing ran.
        NotSent {
            /// What the connection failed with.
            detail: CompactString,
        },
        /// The connection broke after bytes may have been written.
        Reset {
            /// What the connection failed with.
            detail: CompactString,
        },
        /// The deadline passed after bytes may have been written.
        TimedOut,
        /// The endpoint answered with an error status.
        Status {
            /// HTTP status code.
            status: u16,
            /// Beginning of the endpoint's message.
            message: CompactString,
        },
        /// The answer was malformed or ended before its end mark.
        Protocol {
            /// What was wrong.
            detail: CompactString,
        },
    }
}

impl AttemptFailure {
    /// Builds a failure of the connection before anything was written.
    pub fn not_sent(cause: impl fmt::Display) -> Self {
        let detail = compact_str::format_compact!("{cause}");
        Self::NotSent { detail }
    }

    /// Builds a failure of the connection after bytes may have been written.
    pub fn reset(cause: impl fmt::Display) -> Self {
        let detail = compact_str::format_compact!("{cause}");
        Self::Reset { detail }
    }

    /// Builds a failure of an answer that breaks the interface's rules.
    pub fn protocol(cause: impl fmt::Display) -> Self {
        let detail = compact_str::format_compact!("{cause}");
        Self::Protocol { detail }
    }

    /// Tells whether the attempt certainly did not run.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent { .. })
    }
}

impl fmt::Display for AttemptFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent { detail } => write!(f, "not sent: {detail}"),
            Self::Reset { detail } => write!(f, "connection lost: {detail}"),
            Self::TimedOut => f.write_str("the deadline passed"),
            Self::Status { status, message } => write!(f, "status {status}: {message}"),
            Self::Protocol { detail } => write!(f, "malformed answer: {detail}"),
        }
    }
}

impl std::error::Error for AttemptFailure {}
