//! The parts of a configuration by which it is stored and pulled.
//!
//! One section holds zones, links and classes; each service and each customer has its own.
//! A change of one customer is one section, whatever the size of the whole.

use compact_str::CompactString;
use laburnumstall_core::domain;
use laburnumstall_core::ids::{CustomerId, SectionName, ServiceName};
use laburnumstall_core::world::System;
use snafu::{ResultExt, Snafu, ensure};

use crate::canonical::{customer_text, normalize, platform_text, service_text, text_digest};
use crate::fault::Faults;
use crate::parse::parse;

domain! {
    /// One part of a configuration.
    pub struct Section {
        /// Name: `platform`, `service/NAME` or `customer/NAME`.
        pub name: SectionName,
        /// BLAKE3 digest of the body, in hexadecimal.
        pub digest: CompactString,
        /// Canonical text of the part.
        pub body: String,
    }
}

/// Why sections could not be put together.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum AssembleError {
    /// A body is not the one that its digest names.
    #[snafu(display("put sections together: the body of `{name}` differs from its digest"))]
    Damaged {
        /// Section that is damaged.
        name: SectionName,
    },
    /// A section of the manifest is not there.
    #[snafu(display("put sections together: `{name}` is missing"))]
    Missing {
        /// Section that is missing.
        name: SectionName,
    },
    /// The whole is not the text that the manifest names.
    #[snafu(display("put sections together: the whole differs from the manifest's digest"))]
    Different,
    /// The sections together are not a valid text.
    #[snafu(display("put sections together: they are not a valid text"))]
    Invalid {
        /// What is wrong with it.
        source: Faults,
    },
}

/// Cuts a system into its sections, in the order of the canonical text.
pub fn sections(system: &System) -> Vec<Section> {
    let mut system = system.clone();
    normalize(&mut system);
    let mut sections = vec![build(platform_section(), platform_text(&system))];
    for service in &system.services {
        sections.push(build(service_section(&service.name), service_text(service)));
    }
    for customer in &system.customers {
        sections.push(build(
            customer_section(&customer.name),
            customer_text(customer),
        ));
    }
    sections
}

/// Puts a system together from all of its sections, in any order.
///
/// Nothing tells here whether a section is missing that no other refers to; see
/// [`Manifest::assemble`](crate::Manifest::assemble).
///
/// # Errors
///
/// Returns [`AssembleError`] if a body is damaged or the whole is not valid, as it is when a
/// section is missing that another refers to.
pub fn assemble(sections: &[Section]) -> Result<System, AssembleError> {
    let mut text = String::new();
    for section in sections {
        let Section { name, digest, body } = section;
        ensure!(
            text_digest(body) == *digest,
            DamagedSnafu { name: name.clone() }
        );
        text += body;
    }
    parse(&text).context(InvalidSnafu)
}

/// Returns the name of the section of zones, links and classes.
pub fn platform_section() -> SectionName {
    section_name("platform".into())
}

/// Returns the name of a service's section.
pub fn service_section(service: &ServiceName) -> SectionName {
    section_name(format!("service/{service}"))
}

/// Returns the name of a customer's section.
pub fn customer_section(customer: &CustomerId) -> SectionName {
    section_name(format!("customer/{customer}"))
}

fn section_name(name: String) -> SectionName {
    // A name longer than an identifier can only come from a system that was not parsed.
    let end = name.len().min(laburnumstall_core::ids::MAX_ID_BYTES);
    name[..end]
        .parse()
        .expect("names of services and customers are visible ASCII")
}

fn build(name: SectionName, body: String) -> Section {
    Section {
        name,
        digest: text_digest(&body),
        body,
    }
}
