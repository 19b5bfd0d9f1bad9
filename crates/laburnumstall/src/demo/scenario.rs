//! The faults that can be demonstrated.

use std::fmt;
use std::str::FromStr;

use laburnumstall_core::domain_value;

domain_value! {
    /// A fault that is provoked while load runs.
    #[serde(rename_all = "kebab-case")]
    pub enum Scenario {
        /// A zone is taken with 5 s of notice.
        ZoneLoss,
        /// Two operators apply different texts at the same time.
        ConfigRace,
        /// A request crashes each endpoint that runs it, and its caller sends it again.
        Poison,
        /// The key-value service is down for some seconds.
        StoreOutage,
        /// Open connections carry nothing any more, while new ones work.
        SilentConnection,
        /// An entry's process ends without notice.
        EntryLoss,
        /// An entry is asked to stop.
        PlannedStop,
        /// The entry that places machines ends without notice, and a zone's bought VMs are
        /// taken with 5 s of notice.
        Replacement,
    }
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 8] = [
        Self::ZoneLoss,
        Self::ConfigRace,
        Self::Poison,
        Self::StoreOutage,
        Self::SilentConnection,
        Self::EntryLoss,
        Self::PlannedStop,
        Self::Replacement,
    ];

    /// Returns the name by which it is asked for.
    pub const fn name(self) -> &'static str {
        match self {
            Self::ZoneLoss => "zone-loss",
            Self::ConfigRace => "config-race",
            Self::Poison => "poison",
            Self::StoreOutage => "store-outage",
            Self::SilentConnection => "silent-connection",
            Self::EntryLoss => "entry-loss",
            Self::PlannedStop => "planned-stop",
            Self::Replacement => "replacement",
        }
    }

    /// Tells whether the fault comes without any announcement, so that the outcome of a
    /// non-idempotent request may stay unknown.
    pub const fn is_unannounced(self) -> bool {
        matches!(
            self,
            Self::EntryLoss | Self::SilentConnection | Self::Replacement
        )
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The text names no scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownScenario;

impl fmt::Display for UnknownScenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = Scenario::ALL.map(Scenario::name).join(", ");
        write!(f, "the scenarios are {names}")
    }
}

impl std::error::Error for UnknownScenario {}

impl FromStr for Scenario {
    type Err = UnknownScenario;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let mut all = Self::ALL.into_iter();
        all.find(|scenario| scenario.name() == s)
            .ok_or(UnknownScenario)
    }
}
