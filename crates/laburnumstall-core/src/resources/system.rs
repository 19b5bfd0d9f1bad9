//! The system that the configuration file describes.

use std::time::Duration;

use compact_str::CompactString;

use crate::domain;
use crate::ids::{AvailabilityZone, CustomerId, Region, Revision, ServiceName, VmClass};
use crate::resources::{Customer, Link, Service, VmClassSpec, Zone};

domain! {
    /// Contents of the configuration file.
    #[derive(Default)]
    #[serde(deny_unknown_fields, default)]
    pub struct System {
        /// Availability zones.
        pub zones: Vec<Zone>,
        /// Links between zones.
        pub links: Vec<Link>,
        /// Machine classes.
        pub classes: Vec<VmClassSpec>,
        /// Services.
        pub services: Vec<Service>,
        /// Customers.
        pub customers: Vec<Customer>,
    }

    /// A system with its accepted revision.
    pub struct Configuration {
        /// Revision number; never decreases.
        pub revision: Revision,
        /// BLAKE3 digest of the canonical configuration text, in hexadecimal.
        pub digest: CompactString,
        /// The system.
        pub system: System,
    }
}

impl System {
    /// Finds a service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// Finds a customer by name.
    pub fn customer(&self, name: &CustomerId) -> Option<&Customer> {
        self.customers
            .iter()
            .find(|customer| customer.name == *name)
    }

    /// Finds a customer by the digest of a bearer key.
    pub fn customer_by_key(&self, digest: &str) -> Option<&Customer> {
        self.customers
            .iter()
            .find(|customer| customer.key_digests.iter().any(|known| known == digest))
    }

    /// Finds a zone by name.
    pub fn zone(&self, name: &AvailabilityZone) -> Option<&Zone> {
        self.zones.iter().find(|zone| zone.name == *name)
    }

    /// Returns the region of a zone; `None` if the zone is not configured.
    pub fn region_of(&self, zone: &AvailabilityZone) -> Option<&Region> {
        self.zone(zone).map(|zone| &zone.region)
    }

    /// Finds a machine class by name.
    pub fn class(&self, name: &VmClass) -> Option<&VmClassSpec> {
        self.classes.iter().find(|class| class.name == *name)
    }

    /// Returns the one-way latency between two zones; zero within a zone or if there is no link.
    pub fn latency(&self, from: &AvailabilityZone, to: &AvailabilityZone) -> Duration {
        let joins = |link: &&Link| {
            (link.from == *from && link.to == *to) || (link.from == *to && link.to == *from)
        };
        if from == to {
            return Duration::ZERO;
        }
        self.links
            .iter()
            .find(joins)
            .map_or(Duration::ZERO, |link| link.latency)
    }
}
