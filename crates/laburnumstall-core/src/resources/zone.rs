//! Availability zones and the links between them.

use std::time::Duration;

use crate::domain;
use crate::ids::{AvailabilityZone, Region};

domain! {
    /// An availability zone: machines that can be lost together.
    #[serde(deny_unknown_fields)]
    pub struct Zone {
        /// Name of the zone.
        pub name: AvailabilityZone,
        /// Region that the zone belongs to.
        pub region: Region,
        /// Price of a machine here, in thousandths of its class's list price.
        pub price_permille: u32,
        /// Chance that the zone's reclaimable machines are taken in a day, in thousandths.
        pub reclaim_permille_day: u32,
    }

    /// The network between two zones, the same in both directions.
    #[serde(deny_unknown_fields)]
    pub struct Link {
        /// One end.
        pub from: AvailabilityZone,
        /// The other end.
        pub to: AvailabilityZone,
        /// One-way latency.
        pub latency: Duration,
    }
}
