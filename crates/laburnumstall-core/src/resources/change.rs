//! What differs between two systems, section by section.
//!
//! A configuration is stored and sent as the difference from the one before it: one section
//! holds zones, links and classes, and each service and each customer is one of its own. A
//! change of one customer has the size of that customer, whatever the size of the whole.

use std::collections::BTreeMap;

use crate::domain;
use crate::ids::{CustomerId, ServiceName};
use crate::resources::{Customer, Link, Service, System, VmClassSpec, Zone};

domain! {
    /// The section of zones, links and classes.
    pub struct PlatformSection {
        /// Availability zones.
        pub zones: Vec<Zone>,
        /// Links between zones.
        pub links: Vec<Link>,
        /// Machine classes.
        pub classes: Vec<VmClassSpec>,
    }

    /// The sections that differ between an earlier and a later system.
    pub struct SystemChange {
        /// The later zones, links and classes; `None` if they are the same.
        pub platform: Option<Box<PlatformSection>>,
        /// Services that are new or differ, as they are later.
        pub services: Vec<Service>,
        /// Services that are gone.
        pub removed_services: Vec<ServiceName>,
        /// Customers that are new or differ, as they are later.
        pub customers: Vec<Customer>,
        /// Customers that are gone.
        pub removed_customers: Vec<CustomerId>,
    }
}

impl SystemChange {
    /// Compares two systems; `None` if the difference cannot rebuild the later one, which
    /// happens when services or customers are not in the order of their names.
    pub fn between(old: &System, new: &System) -> Option<Self> {
        let change = Self {
            platform: platform_change(old, new),
            services: changed(&old.services, &new.services),
            removed_services: removed(&old.services, &new.services),
            customers: changed(&old.customers, &new.customers),
            removed_customers: removed(&old.customers, &new.customers),
        };
        (change.apply(old) == *new).then_some(change)
    }

    /// Returns the later system, given the earlier one.
    pub fn apply(&self, old: &System) -> System {
        let mut new = old.clone();
        if let Some(platform) = &self.platform {
            let PlatformSection {
                zones,
                links,
                classes,
            } = PlatformSection::clone(platform);
            new.zones = zones;
            new.links = links;
            new.classes = classes;
        }
        replace(&mut new.services, &self.services, &self.removed_services);
        replace(&mut new.customers, &self.customers, &self.removed_customers);
        new
    }
}

/// A part of a system that has a name of its own.
trait Named: Clone + PartialEq {
    type Name: Clone + Ord;

    fn name(&self) -> &Self::Name;
}

impl Named for Service {
    type Name = ServiceName;

    fn name(&self) -> &ServiceName {
        &self.name
    }
}

impl Named for Customer {
    type Name = CustomerId;

    fn name(&self) -> &CustomerId {
        &self.name
    }
}

fn platform_change(old: &System, new: &System) -> Option<Box<PlatformSection>> {
    let is_same = old.zones == new.zones && old.links == new.links && old.classes == new.classes;
    if is_same {
        return None;
    }
    Some(Box::new(PlatformSection {
        zones: new.zones.clone(),
        links: new.links.clone(),
        classes: new.classes.clone(),
    }))
}

fn changed<T: Named>(old: &[T], new: &[T]) -> Vec<T> {
    let old = by_name(old);
    let is_new = |part: &&T| old.get(part.name()) != Some(part);
    new.iter().filter(is_new).cloned().collect()
}

fn removed<T: Named>(old: &[T], new: &[T]) -> Vec<T::Name> {
    let new = by_name(new);
    let gone = old.iter().filter(|part| !new.contains_key(part.name()));
    gone.map(|part| part.name().clone()).collect()
}

fn by_name<T: Named>(parts: &[T]) -> BTreeMap<&T::Name, &T> {
    parts.iter().map(|part| (part.name(), part)).collect()
}

/// Leaves `parts` in the order of their names if anything was added.
fn replace<T: Named>(parts: &mut Vec<T>, changed: &[T], removed: &[T::Name]) {
    parts.retain(|part| !removed.contains(part.name()));
    for part in changed {
        match parts.iter_mut().find(|known| known.name() == part.name()) {
            Some(known) => *known = part.clone(),
            None => {
                let at = parts.partition_point(|known| known.name() < part.name());
                parts.insert(at, part.clone());
            }
        }
    }
}
