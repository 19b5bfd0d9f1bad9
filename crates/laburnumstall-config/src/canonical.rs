//! The one text that stands for a system.
//!
//! Two texts that say the same have the same canonical text, so its digest names what is in
//! force. Order is by name; durations, rates and sizes carry their units; keys with their
//! default value are written out, so that a later default changes nothing.

use std::fmt::{Display, Write};

use compact_str::CompactString;
use laburnumstall_core::resources::{
    Customer, Link, Service, ServiceKind, System, VmClassSpec, Zone,
};

use crate::scalar::duration_text;

/// Writes a system as its canonical text.
pub fn canonical(system: &System) -> String {
    let mut system = system.clone();
    normalize(&mut system);
    let mut text = platform_text(&system);
    for service in &system.services {
        text += &service_text(service);
    }
    for customer in &system.customers {
        text += &customer_text(customer);
    }
    text
}

/// Returns the BLAKE3 digest of a system's canonical text, in hexadecimal.
pub fn digest(system: &System) -> CompactString {
    text_digest(&canonical(system))
}

/// Returns the BLAKE3 digest of a text, in hexadecimal.
pub(crate) fn text_digest(text: &str) -> CompactString {
    blake3::hash(text.as_bytes()).to_hex().as_str().into()
}

/// Puts everything whose order has no meaning in the order of names.
pub fn normalize(system: &mut System) {
    for link in &mut system.links {
        if link.from > link.to {
            std::mem::swap(&mut link.from, &mut link.to);
        }
    }
    system.zones.sort_by(|a, b| a.name.cmp(&b.name));
    system
        .links
        .sort_by(|a, b| (&a.from, &a.to).cmp(&(&b.from, &b.to)));
    system.classes.sort_by(|a, b| a.name.cmp(&b.name));
    system.services.sort_by(|a, b| a.name.cmp(&b.name));
    system.customers.sort_by(|a, b| a.name.cmp(&b.name));
    for service in &mut system.services {
        service.depends_on.sort();
        service.depends_on.dedup();
        service
            .calls
            .sort_by(|a, b| (&a.path, &a.method).cmp(&(&b.path, &b.method)));
        service.endpoints.sort_by(|a, b| a.id.cmp(&b.id));
    }
    for customer in &mut system.customers {
        customer.key_digests.sort();
        customer.contract.services.sort();
        customer.contract.services.dedup();
    }
}

/// Writes zones, links and classes.
pub(crate) fn platform_text(system: &System) -> String {
    let mut text = String::new();
    for zone in &system.zones {
        text += &zone_text(zone);
    }
    for link in &system.links {
        text += &link_text(link);
    }
    for class in &system.classes {
        text += &class_text(class);
    }
    text
}

/// Writes one zone.
pub(crate) fn zone_text(zone: &Zone) -> String {
    let mut table = Table::open("[[zone]]");
    table.quoted("name", &zone.name);
    table.quoted("region", &zone.region);
    table.plain("price_permille", zone.price_permille);
    table.plain("reclaim_permille_day", zone.reclaim_permille_day);
    table.close()
}

/// Writes one link.
pub(crate) fn link_text(link: &Link) -> String {
    let mut table = Table::open("[[link]]");
    table.quoted("from", &link.from);
    table.quoted("to", &link.to);
    table.quoted("latency", duration_text(link.latency));
    table.close()
}

/// Writes one machine class.
pub(crate) fn class_text(class: &VmClassSpec) -> String {
    let mut table = Table::open("[[class]]");
    table.quoted("name", &class.name);
    table.quoted("on_demand", class.on_demand);
    table.quoted("reclaimable", class.reclaimable);
    table.plain("accelerators", class.accelerators);
    table.quoted("decode", class.decode);
    table.quoted("prefill", class.prefill);
    table.quoted("cache", class.cache);
    table.close()
}

/// Writes one service.
pub(crate) fn service_text(service: &Service) -> String {
    let mut table = Table::open("[[service]]");
    table.quoted("name", &service.name);
    table.quoted("kind", kind_name(service.kind));
    table.list("depends_on", &service.depends_on);
    table.plain("idempotent", service.idempotent);
    table.plain("checks_keys", service.checks_keys);
    table.plain("checks_fencing", service.checks_fencing);
    table.quoted("key_window", duration_text(service.key_window));
    table.quoted("deadline", duration_text(service.deadline));
    if let Some(model) = &service.model {
        table.next("[service.model]");
        table.quoted("model", &model.model);
        if let Some(adapter) = &model.adapter {
            table.quoted("adapter", adapter);
        }
        table.quoted("version", &model.version);
        table.list("classes", &model.classes);
    }
    for call in &service.calls {
        table.next("[[service.call]]");
        table.quoted("method", &call.method);
        table.quoted("path", &call.path);
        table.plain("idempotent", call.idempotent);
    }
    for endpoint in &service.endpoints {
        table.next("[[service.endpoint]]");
        table.quoted("id", &endpoint.id);
        table.quoted("zone", &endpoint.zone);
        table.quoted("address", endpoint.address);
    }
    if let Some(target) = &service.target {
        table.next("[service.target]");
        table.quoted("requests", target.requests);
        table.quoted("prompt", target.prompt);
        table.quoted("answer", target.answer);
    }
    table.close()
}

/// Writes one customer.
pub(crate) fn customer_text(customer: &Customer) -> String {
    let contract = &customer.contract;
    let mut table = Table::open("[[customer]]");
    table.quoted("name", &customer.name);
    table.list("key_digests", &customer.key_digests);
    table.next("[customer.contract]");
    table.quoted("requests", contract.requests);
    table.quoted("tokens", contract.tokens);
    table.plain("weight", contract.weight);
    table.plain("priority", contract.priority);
    table.quoted("first_token", duration_text(contract.first_token));
    table.quoted("between_tokens", duration_text(contract.between_tokens));
    table.list("services", &contract.services);
    table.close()
}

fn kind_name(kind: ServiceKind) -> &'static str {
    match kind {
        ServiceKind::Model => "model",
        ServiceKind::Plain => "plain",
    }
}

/// Writes one table with the tables that belong to it.
struct Table {
    text: String,
}

impl Table {
    fn open(header: &str) -> Self {
        Self {
            text: format!("{header}\n"),
        }
    }

    fn next(&mut self, header: &str) {
        self.text += "\n";
        self.text += header;
        self.text += "\n";
    }

    fn plain(&mut self, key: &str, value: impl Display) {
        writeln!(self.text, "{key} = {value}").expect("writing to a string does not fail");
    }

    fn quoted(&mut self, key: &str, value: impl Display) {
        self.plain(key, quote(&value.to_string()));
    }

    fn list<T: Display>(&mut self, key: &str, values: &[T]) {
        let quoted: Vec<String> = values
            .iter()
            .map(|value| quote(&value.to_string()))
            .collect();
        self.plain(key, format_args!("[{}]", quoted.join(", ")));
    }

    fn close(mut self) -> String {
        self.text += "\n";
        self.text
    }
}

fn quote(text: &str) -> String {
    toml::Value::String(text.to_owned()).to_string()
}
