//! How large a site is.

use std::time::Duration;

use laburnumstall_core::ids::AvailabilityZone;
use laburnumstall_core::units::RequestRate;

/// How large a site is.
#[derive(Debug, Clone)]
pub struct SiteSpec {
    /// Zones, in the order in which VMs are spread over them.
    pub zones: Vec<AvailabilityZone>,
    /// Entry daemons.
    pub entries: usize,
    /// Model engines.
    pub engines: usize,
    /// Time between two tokens of one stream.
    pub token_period: Duration,
    /// Time that callers keep the directory.
    pub directory_max_age: Duration,
    /// Traffic threads of each daemon, for callers and as many for endpoints.
    pub workers: usize,
    /// Requests a second that placement buys engines for; `None` leaves the text without a
    /// target, and placement does nothing.
    pub target: Option<RequestRate>,
    /// Number of the entry whose session is recorded, if one is.
    pub recorded_entry: Option<usize>,
}

impl Default for SiteSpec {
    fn default() -> Self {
        let zones = ["zone-a", "zone-b", "zone-c"];
        let zones = zones.map(|zone| zone.parse().expect("a zone's name is valid"));
        Self {
            zones: zones.to_vec(),
            entries: 4,
            engines: 6,
            token_period: Duration::from_millis(10),
            directory_max_age: Duration::from_secs(2),
            workers: 1,
            target: None,
            recorded_entry: None,
        }
    }
}

impl SiteSpec {
    /// Returns the zone of the VM with a number.
    pub fn zone_of(&self, number: usize) -> AvailabilityZone {
        self.zones[number % self.zones.len()].clone()
    }
}
