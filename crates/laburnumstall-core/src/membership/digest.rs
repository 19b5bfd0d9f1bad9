//! What daemons tell each other about members with each heartbeat.
//!
//! A digest holds only what is in question: members found silent, members heard although
//! the registry does not hold them, and changes of the last seconds, which every receiver
//! passes on. So it stays small at any number of members.

use std::time::Duration;

use crate::ids::DaemonId;
use crate::membership::evidence::GoneReason;
use crate::{domain, domain_value};

/// Most updates in one digest.
pub const MAX_UPDATES: usize = 32;

/// Time for which a change is passed on: enough rounds to reach 1,000 members.
pub const UPDATE_TTL: Duration = Duration::from_secs(5);

domain_value! {
    /// What a daemon says about a member.
    #[serde(rename_all = "kebab-case")]
    pub enum ReportedStatus {
        /// The sender finds it silent.
        Suspected,
        /// Somebody heard it this long ago.
        #[serde(rename = "heard")]
        Alive {
            /// Milliseconds since it was heard.
            age_millis: u32,
        },
        /// It is leaving.
        Leaving,
        /// It counts as gone.
        Gone(GoneReason),
    }
}

domain! {
    /// One statement about a member.
    pub struct MemberUpdate {
        /// Member that it is about.
        pub about: DaemonId,
        /// What is said.
        #[serde(rename = "word")]
        pub status: ReportedStatus,
    }

    /// Everything that a daemon says about others in one heartbeat.
    #[derive(Default)]
    pub struct MemberDigest {
        /// Statements, in the order of the members' names.
        #[serde(rename = "rumours")]
        pub updates: Vec<MemberUpdate>,
    }
}
