//! What is heard about a member, and what follows from it.

use std::fmt;

use crate::ids::{DaemonId, Incarnation};
use crate::membership::Member;
use crate::units::Timestamp;
use crate::{domain, domain_value};

domain_value! {
    /// What one source says about a member.
    #[serde(rename_all = "kebab-case")]
    pub enum Evidence {
        /// The member answered or sent a heartbeat.
        Heartbeat,
        /// The same, and the member says that it is leaving.
        HeartbeatLeaving,
        /// A connection to it was refused or reset: the process is gone.
        Refused,
        /// A probe on a new connection got no answer.
        Silent,
        /// The platform announced that its VM is taken.
        Notice {
            /// When the VM stops.
            deadline: Timestamp,
        },
        /// A VM list that held its VM before no longer does.
        VmAbsent,
        /// A successful listing of the registry does not hold it.
        RegistryAbsent,
        /// A process with this higher incarnation runs on its VM.
        Replaced(Incarnation),
        /// It finished a planned stop.
        Goodbye,
    }

    /// Why a member counts as gone.
    #[serde(rename_all = "kebab-case")]
    pub enum GoneReason {
        /// Two connections in a row were refused or reset.
        Refused,
        /// It was silent, and another source confirmed it.
        Silent,
        /// Its registration expired and nobody hears it.
        Expired,
        /// Its VM was taken.
        Reclaimed,
        /// A later process runs on its VM.
        Replaced,
        /// It finished a planned stop.
        Stopped,
    }

    /// Whether a member can be used.
    #[serde(rename_all = "kebab-case")]
    pub enum MemberState {
        /// It takes new work.
        Live,
        /// It finishes what it has and takes no new work.
        Leaving,
        /// Its process counts as gone.
        Gone,
    }
}

domain! {
    /// A change of the view, given out by [`Membership::tick`](super::Membership::tick).
    pub enum MemberEvent {
        /// A member became known.
        Joined(Member),
        /// A member takes no new work from now on.
        Leaving(DaemonId),
        /// A member counts as gone.
        Gone(DaemonId, GoneReason),
        /// A member that counted as gone was heard again.
        Returned(DaemonId),
    }
}

impl GoneReason {
    /// Returns the name written in logs.
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

    /// Tells whether the process cannot come back, whatever is heard later.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Replaced | Self::Stopped)
    }
}

impl fmt::Display for GoneReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
