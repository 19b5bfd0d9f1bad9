//! Difference between two systems, by section.
//!
//! A configuration is stored and sent as the difference from its predecessor. Zones, links
//! and classes form one section; each service and each customer is a section of its own. The
//! size of a change depends on the changed sections, not on the size of the system.

use std::collections::BTreeMap;

use crate::domain;
use crate::ids::{CustomerId, ServiceName};
use crate::resources::{Customer, Link, Service, System, VmClassSpec, Zone};

domain! {
    /// The section with zones, links and classes.
    pub struct PlatformSection {
        /// Availability zones.
        pub zones: Vec<Zone>,
        /// Links between zones.
        pub links: Vec<Link>,
        /// Machine classes.
        pub classes: Vec<VmClassSpec>,
    }

    /// The sections that differ between an old and a new system.
    pub struct SystemChange {
        /// The new zones, links and classes; `None` if they are unchanged.
        pub platform: Option<Box<PlatformSection>>,
        /// Added and changed services.
        pub services: Vec<Service>,
        /// Names of removed services.
        pub removed_services: Vec<ServiceName>,
        /// Added and changed customers.
        pub customers: Vec<Customer>,
        /// Names of removed customers.
        pub removed_customers: Vec<CustomerId>,
    }
}

impl SystemChange {
    /// Returns the change between two systems; `None` if applying it does not yield `new`,
    /// which happens if services or customers are not sorted by name.
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

    /// Returns the new system, given the old one.
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
        update(&mut new.services, &self.services, &self.removed_services);
        update(&mut new.customers, &self.customers, &self.removed_customers);
        new
    }
}

/// A section with a name.
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
    let is_new = |section: &&T| old.get(section.name()) != Some(section);
    new.iter().filter(is_new).cloned().collect()
}

fn removed<T: Named>(old: &[T], new: &[T]) -> Vec<T::Name> {
    let new = by_name(new);
    let removed = old
        .iter()
        .filter(|section| !new.contains_key(section.name()));
    removed.map(|section| section.name().clone()).collect()
}

fn by_name<T: Named>(sections: &[T]) -> BTreeMap<&T::Name, &T> {
    sections
        .iter()
        .map(|section| (section.name(), section))
        .collect()
}

/// Applies changed and removed sections; inserts additions in the order of names.
fn update<T: Named>(sections: &mut Vec<T>, changed: &[T], removed: &[T::Name]) {
    sections.retain(|section| !removed.contains(section.name()));
    for section in changed {
        match sections
            .iter_mut()
            .find(|existing| existing.name() == section.name())
        {
            Some(existing) => *existing = section.clone(),
            None => {
                let index = sections.partition_point(|existing| existing.name() < section.name());
                sections.insert(index, section.clone());
            }
        }
    }
}
