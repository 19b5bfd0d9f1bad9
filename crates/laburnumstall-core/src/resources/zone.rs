//! Availability zones and the links between them.

use std::time::Duration;

use crate::domain;
use crate::ids::{AvailabilityZone, Region};

domain! {
    /// An availability zone: a failure domain of machines.
    #[serde(deny_unknown_fields)]
    pub struct Zone {
        /// Name of the zone.
        pub name: AvailabilityZone,
        /// Region of the zone.
        pub region: Region,
        /// Price of machines in the zone, in thousandths of the list price of their class.
        pub price_permille: u32,
        /// Probability per day that the zone's reclaimable machines are reclaimed, in thousandths.
        pub reclaim_permille_day: u32,
    }

    /// A symmetric network link between two zones.
    #[serde(deny_unknown_fields)]
    pub struct Link {
        /// One of the zones.
        pub from: AvailabilityZone,
        /// The other zone.
        pub to: AvailabilityZone,
        /// One-way latency.
        pub latency: Duration,
    }
}
