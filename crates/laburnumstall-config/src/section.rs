//! Names of the parts of a configuration by which it is stored, sent and compared.
//!
//! One section holds zones, links and classes; each service and each customer has its own.
//! [`SystemChange`](laburnumstall_core::resources::SystemChange) carries the sections that differ.

use laburnumstall_core::ids::{CustomerId, SectionName, ServiceName};

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
