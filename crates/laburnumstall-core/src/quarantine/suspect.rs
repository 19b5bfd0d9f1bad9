//! What crashes of endpoints may be attributed to.

use std::fmt;
use std::str::FromStr;

use crate::domain_value;
use crate::ids::{Fingerprint, ParseIdError};
use crate::units::Timestamp;

/// Names of the kinds in the text form.
const REQUEST: &str = "request-";
const PART: &str = "part-";

/// Maximum number of requests that a crash names for a suspect: as many as the crashes that
/// quarantine a part that is not known, so that each of these can name another one.
const MAX_NAMED: usize = 3;

domain_value! {
    /// What a crash may be attributed to.
    pub enum Suspect {
        /// A request, in all its repeats.
        Request(Fingerprint),
        /// A shared part of prompts, by the hash of its service and identifier.
        Part(Fingerprint),
    }

    /// Some of the requests with a suspect that were in flight at a crash.
    #[derive(Default)]
    pub struct NamedRequests(pub [Option<Fingerprint>; MAX_NAMED]);

    /// Suspect that was in flight at a crash.
    pub struct SuspectNote {
        /// The suspect.
        pub suspect: Suspect,
        /// The requests that were in flight: the suspect itself, or some with the part.
        pub requests: NamedRequests,
        /// Time from the start of their latest attempt to the crash, in milliseconds.
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

impl NamedRequests {
    /// Names a request, unless there are enough; returns whether that is new.
    pub fn insert(&mut self, request: Fingerprint) -> bool {
        if self.iter().any(|known| known == request) {
            return false;
        }
        let free = self.0.iter_mut().find(|slot| slot.is_none());
        free.map(|slot| *slot = Some(request)).is_some()
    }

    /// Returns the requests.
    pub fn iter(&self) -> impl Iterator<Item = Fingerprint> {
        self.0.iter().copied().flatten()
    }
}

impl From<Fingerprint> for NamedRequests {
    fn from(request: Fingerprint) -> Self {
        let mut requests = Self::default();
        requests.insert(request);
        requests
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
