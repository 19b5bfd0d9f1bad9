//! The objects that the operators' text describes and the platform reports.
//!
//! `laburnumstall-config` builds a [`System`] from the text; every decision reads it.
//! [`Vm`] and [`Endpoint`] are what the platform and the endpoints say is there now.

mod change;
mod customer;
mod endpoint;
mod service;
mod system;
mod vm;
mod zone;

pub use change::{PlatformSection, SystemChange};
pub use customer::{Contract, Customer};
pub use endpoint::{Endpoint, LoadReport};
pub use service::{CallRule, ModelSpec, Service, ServiceKind, StaticEndpoint, TargetLoad};
pub use system::{Configuration, System};
pub use vm::{Market, Vm, VmClassSpec, VmRole, VmState};
pub use zone::{Link, Zone};
