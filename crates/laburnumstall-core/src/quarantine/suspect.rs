//! What crashes of endpoints may be attributed to.

use std::fmt;
use std::str::FromStr;

use crate::domain_value;
use crate::ids::{Fingerprint, ParseIdError};
use crate::units::Timestamp;

/// Names of the kinds in the text form.
const REQUEST: &str = "request-";
const PART: &str = "part-";

domain_value! {
    /// What a crash may be attributed to.
    pub enum Suspect {
        /// A request, in all its repeats.
        Request(Fingerprint),
        /// A shared part of prompts, by the hash of its service and identifier.
        Part(Fingerprint),
    }

    /// Suspect that was in flight at a crash.
    pub struct SuspectNote {
        /// The suspect.
        pub suspect: Suspect,
        /// The request that was in flight: the suspect itself, or one with the part.
        pub request: Fingerprint,
        /// Time from the start of the request's attempt to the crash, in milliseconds.
        pub ran_ms: u32,
        /// 0 for a request; for a part of its prompt, its number from the end, from 1 on.
        pub depth: u8,
        /// Whether a request with the part has recently run to completion.
        pub has_completed: bool,
    }

    /// Hash of an endpoint's identifier and the start of its process.
    pub struct ProcessKey(pub u64);

    /// Crash of an endpoint process while a suspect was in flight.
    pub struct CountedCrash {
        /// The process.
        pub process: ProcessKey,
        /// When the crash was noticed.
        pub at: Timestamp,
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => write!(f, "{REQUEST}{fingerprint}"),
            Self::Part(fingerprint) => write!(f, "{PART}{fingerprint}"),
        }
    }
}

impl FromStr for Suspect {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match (s.strip_prefix(REQUEST), s.strip_prefix(PART)) {
            (Some(fingerprint), _) => fingerprint.parse().map(Self::Request),
            (_, Some(fingerprint)) => fingerprint.parse().map(Self::Part),
            _ => Err(ParseIdError::new(
                "Suspect",
                s,
                "`request-` or `part-` and up to 16 hexadecimal digits",
            )),
        }
    }
}
