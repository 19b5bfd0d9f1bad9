//! The whole of what the operators' text says.

use std::time::Duration;

use compact_str::CompactString;

use crate::domain;
use crate::ids::{AvailabilityZone, CustomerId, Region, Revision, ServiceName, VmClass};
use crate::resources::{Customer, Link, Service, VmClassSpec, Zone};

domain! {
    /// Everything that the operators' text says.
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

    /// A system with the revision under which it was accepted.
    pub struct Configuration {
        /// Revision; only grows.
        pub revision: Revision,
        /// BLAKE3 digest of the canonical text, in hexadecimal.
        pub digest: CompactString,
        /// What the text says.
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

    /// Finds the customer that a bearer key's digest names.
    pub fn customer_by_key(&self, digest: &str) -> Option<&Customer> {
        self.customers
            .iter()
            .find(|customer| customer.key_digests.iter().any(|known| known == digest))
    }

    /// Finds a zone by name.
    pub fn zone(&self, name: &AvailabilityZone) -> Option<&Zone> {
        self.zones.iter().find(|zone| zone.name == *name)
    }

    /// Returns the region of a zone; `None` if the text has no such zone.
    pub fn region_of(&self, zone: &AvailabilityZone) -> Option<&Region> {
        self.zone(zone).map(|zone| &zone.region)
    }

    /// Finds a machine class by name.
    pub fn class(&self, name: &VmClass) -> Option<&VmClassSpec> {
        self.classes.iter().find(|class| class.name == *name)
    }

    /// Returns the one-way latency between two zones; zero within a zone or without a link.
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
