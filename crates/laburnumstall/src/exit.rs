//! Exit codes.

use laburnumstall_core::domain_value;

domain_value! {
    /// How a command ended, for scripts.
    #[serde(rename_all = "kebab-case")]
    pub enum Exit {
        /// It did what was asked.
        Success,
        /// It failed, the text has faults, or a promise was broken.
        Failed,
        /// The arguments or settings are wrong; nothing was tried.
        Usage,
        /// Somebody else changed the configuration since the base.
        Conflict,
        /// No daemon, or not the key-value service, could be reached.
        Unreachable,
        /// The configuration is accepted, but not every live daemon confirmed it.
        Unconfirmed,
    }
}

impl Exit {
    /// Returns the process's exit code.
    pub const fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::Unreachable => 4,
            Self::Unconfirmed => 5,
        }
    }
}
