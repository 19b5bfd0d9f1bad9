//! Gossip about members, sent with each heartbeat.
//!
//! A digest contains only disputed or recent state: members suspected as silent, members
//! that are reachable although the registry does not list them, and changes of the last few
//! seconds, which every receiver forwards. Its size is therefore independent of the number
//! of members.

use std::time::Duration;

use crate::ids::DaemonId;
use crate::membership::evidence::GoneReason;
use crate::{domain, domain_value};

/// Maximum number of updates in one digest.
pub const MAX_UPDATES: usize = 32;

/// Time for which a change is forwarded: enough gossip rounds to reach 1,000 members.
pub const UPDATE_TTL: Duration = Duration::from_secs(5);

domain_value! {
    /// State of a member as reported by a peer.
    #[serde(rename_all = "kebab-case")]
    pub enum ReportedStatus {
        /// The sender suspects that the member has failed.
        Suspected,
        /// Some daemon received a message from the member this long ago.
        #[serde(rename = "heard")]
        Alive {
            /// Milliseconds since the last message from the member.
            age_millis: u32,
        },
        /// The member is leaving.
        Leaving,
        /// The member is marked as gone.
        Gone(GoneReason),
    }
}

domain! {
    /// A gossip update about one member.
    pub struct MemberUpdate {
        /// Member that the update describes.
        pub about: DaemonId,
        /// Reported state of the member.
        #[serde(rename = "word")]
        pub status: ReportedStatus,
    }

    /// All membership updates in one heartbeat.
    #[derive(Default)]
    pub struct MemberDigest {
        /// Updates, sorted by member id.
        #[serde(rename = "rumours")]
        pub updates: Vec<MemberUpdate>,
    }
}
