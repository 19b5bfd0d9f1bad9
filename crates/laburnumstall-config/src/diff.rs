//! What changed from one system to another, by item and key.
//!
//! Both systems are compared as their canonical texts read, so that a change shows the
//! values that an operator would write.

use std::collections::BTreeMap;
use std::fmt;

use compact_str::{CompactString, format_compact};
use laburnumstall_core::ids::SectionName;
use laburnumstall_core::resources::System;
use laburnumstall_core::{domain, domain_value};

use crate::canonical::{class_text, customer_text, link_text, normalize, service_text, zone_text};
use crate::section::{customer_section, platform_section, service_section};

domain_value! {
    /// What kind of item changed.
    #[serde(rename_all = "kebab-case")]
    pub enum ItemKind {
        /// An availability zone.
        Zone,
        /// A link between zones.
        Link,
        /// A machine class.
        Class,
        /// A service.
        Service,
        /// A customer.
        Customer,
    }
}

domain! {
    /// One key of an item with its values before and after.
    pub struct KeyChange {
        /// Path of the key within the item, such as `contract.weight`.
        pub key: CompactString,
        /// Value before, as written in the text; `None` if it was absent.
        pub before: Option<String>,
        /// Value after, as written in the text; `None` if it is absent.
        pub after: Option<String>,
    }

    /// How an item changed.
    #[serde(rename_all = "kebab-case")]
    pub enum ItemChange {
        /// It is new.
        Added,
        /// It is gone.
        Removed,
        /// Some of its keys differ.
        Changed(Vec<KeyChange>),
    }

    /// One item that differs between two systems.
    pub struct Change {
        /// Section that holds the item.
        pub section: SectionName,
        /// Kind of the item.
        pub item: ItemKind,
        /// Name of the item; for a link, its two zones with `..` between.
        pub name: CompactString,
        /// How it changed.
        pub change: ItemChange,
    }
}

/// Names an item within a system.
type ItemKey = (ItemKind, CompactString);

/// An item as its text: the section that holds it, and its canonical text.
struct ItemText {
    section: SectionName,
    text: String,
}

/// Lists what changed from `old` to `new`, by kind and name.
pub fn diff(old: &System, new: &System) -> Vec<Change> {
    let before = items(old);
    let after = items(new);
    let mut changes: BTreeMap<&ItemKey, Change> = BTreeMap::new();
    for (key, item) in &before {
        let change = match after.get(key) {
            None => ItemChange::Removed,
            Some(other) if other.text == item.text => continue,
            Some(other) => ItemChange::Changed(key_changes(&item.text, &other.text)),
        };
        changes.insert(key, build(key, item, change));
    }
    for (key, item) in &after {
        if !before.contains_key(key) {
            changes.insert(key, build(key, item, ItemChange::Added));
        }
    }
    changes.into_values().collect()
}

fn build(key: &ItemKey, item: &ItemText, change: ItemChange) -> Change {
    Change {
        section: item.section.clone(),
        item: key.0,
        name: key.1.clone(),
        change,
    }
}

fn items(system: &System) -> BTreeMap<ItemKey, ItemText> {
    let mut system = system.clone();
    normalize(&mut system);
    let mut items = BTreeMap::new();
    let mut add = |kind: ItemKind, name: CompactString, section: SectionName, text: String| {
        items.insert((kind, name), ItemText { section, text });
    };
    for zone in &system.zones {
        let name = zone.name.as_str().into();
        add(ItemKind::Zone, name, platform_section(), zone_text(zone));
    }
    for link in &system.links {
        let name = format_compact!("{}..{}", link.from, link.to);
        add(ItemKind::Link, name, platform_section(), link_text(link));
    }
    for class in &system.classes {
        let name = class.name.as_str().into();
        add(ItemKind::Class, name, platform_section(), class_text(class));
    }
    for service in &system.services {
        let section = service_section(&service.name);
        let name = service.name.as_str().into();
        add(ItemKind::Service, name, section, service_text(service));
    }
    for customer in &system.customers {
        let section = customer_section(&customer.name);
        let name = customer.name.as_str().into();
        add(ItemKind::Customer, name, section, customer_text(customer));
    }
    items
}

fn key_changes(old: &str, new: &str) -> Vec<KeyChange> {
    let before = flatten(old);
    let after = flatten(new);
    let mut keys: Vec<&CompactString> = before.keys().chain(after.keys()).collect();
    keys.sort();
    keys.dedup();
    keys.into_iter()
        .filter(|key| before.get(*key) != after.get(*key))
        .map(|key| KeyChange {
            key: key.clone(),
            before: before.get(key).cloned(),
            after: after.get(key).cloned(),
        })
        .collect()
}

/// Reads a canonical text into paths and values.
fn flatten(text: &str) -> BTreeMap<CompactString, String> {
    let mut values = BTreeMap::new();
    let Ok(document) = text.parse::<toml::Table>() else {
        return values;
    };
    for item in document
        .values()
        .filter_map(toml::Value::as_array)
        .flatten()
    {
        flatten_value("", item, &mut values);
    }
    values
}

fn flatten_value(path: &str, value: &toml::Value, values: &mut BTreeMap<CompactString, String>) {
    match value {
        toml::Value::Table(table) => {
            for (key, inner) in table {
                let separator = if path.is_empty() { "" } else { "." };
                flatten_value(&format!("{path}{separator}{key}"), inner, values);
            }
        }
        toml::Value::Array(items) if items.iter().any(toml::Value::is_table) => {
            for (index, inner) in items.iter().enumerate() {
                let name = element_name(inner).unwrap_or_else(|| index.to_string());
                flatten_value(&format!("{path}[{name}]"), inner, values);
            }
        }
        plain => {
            values.insert(path.into(), plain.to_string());
        }
    }
}

/// Names an element of a list by its own keys, so that it keeps its name when others go.
fn element_name(element: &toml::Value) -> Option<String> {
    let text = |key: &str| element.get(key).and_then(toml::Value::as_str);
    match (text("id"), text("method"), text("path")) {
        (Some(id), _, _) => Some(id.to_owned()),
        (None, Some(method), Some(path)) => Some(format!("{method} {path}")),
        _ => None,
    }
}

impl fmt::Display for ItemKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Zone => "zone",
            Self::Link => "link",
            Self::Class => "class",
            Self::Service => "service",
            Self::Customer => "customer",
        })
    }
}

impl fmt::Display for KeyChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "{}: {before} -> {after}", self.key),
            (None, Some(after)) => write!(f, "{}: added {after}", self.key),
            (Some(before), None) => write!(f, "{}: removed {before}", self.key),
            (None, None) => write!(f, "{}", self.key),
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.change {
            ItemChange::Added => write!(f, "+ {} `{}`", self.item, self.name),
            ItemChange::Removed => write!(f, "- {} `{}`", self.item, self.name),
            ItemChange::Changed(keys) => {
                write!(f, "~ {} `{}`", self.item, self.name)?;
                for key in keys {
                    write!(f, "\n    {key}")?;
                }
                Ok(())
            }
        }
    }
}
