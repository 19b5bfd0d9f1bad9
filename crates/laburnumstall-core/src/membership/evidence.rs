//! Evidence about members, and the states and events derived from it.

use std::fmt;

use crate::ids::{DaemonId, Incarnation};
use crate::membership::Member;
use crate::units::Timestamp;
use crate::{domain, domain_value};

domain_value! {
    /// An observation about a member from one source.
    #[serde(rename_all = "kebab-case")]
    pub enum Evidence {
        /// The member responded or sent a heartbeat.
        Heartbeat,
        /// Same as [`Heartbeat`](Self::Heartbeat), and the member announced that it is leaving.
        HeartbeatLeaving,
        /// A connection to the member was refused or reset: its process has ended.
        Refused,
        /// A probe on a new connection timed out.
        Silent,
        /// The platform announced that it reclaims the member's VM.
        Notice {
            /// Time at which the VM stops.
            deadline: Timestamp,
        },
        /// The VM list no longer contains the member's VM, which was listed before.
        VmAbsent,
        /// A successful listing of the registry does not contain the member.
        RegistryAbsent,
        /// A process with this higher incarnation runs on the member's VM.
        Replaced(Incarnation),
        /// The member completed a planned shutdown.
        Goodbye,
    }

    /// Reason why a member is marked as gone.
    #[serde(rename_all = "kebab-case")]
    pub enum GoneReason {
        /// Two consecutive connections were refused or reset.
        Refused,
        /// The member was silent, and another source confirmed the failure.
        Silent,
        /// Its registration expired and no daemon can reach it.
        Expired,
        /// Its VM was reclaimed.
        Reclaimed,
        /// A later process runs on its VM.
        Replaced,
        /// The member completed a planned shutdown.
        Stopped,
    }

    /// Lifecycle state of a member.
    #[serde(rename_all = "kebab-case")]
    pub enum MemberState {
        /// Accepts new work.
        Live,
        /// Finishes its current work and accepts no new work.
        Leaving,
        /// Its process is considered terminated.
        Gone,
    }
}

domain! {
    /// A change of the view, returned by [`Membership::tick`](super::Membership::tick).
    pub enum MemberEvent {
        /// A member was added.
        Joined(Member),
        /// A member stopped accepting new work.
        Leaving(DaemonId),
        /// A member was marked as gone.
        Gone(DaemonId, GoneReason),
        /// A member that was marked as gone is reachable or registered again.
        Returned(DaemonId),
    }
}

impl GoneReason {
    /// Returns the name used in logs and decision records.
    pub fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Silent => "silent",
            Self::Expired => "expired",
            Self::Reclaimed => "reclaimed",
            Self::Replaced => "replaced",
            Self::Stopped => "stopped",
        }
    }

    /// Returns whether the process cannot return, whatever evidence arrives later.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Replaced | Self::Stopped)
    }
}

impl fmt::Display for GoneReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
