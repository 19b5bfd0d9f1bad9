//! Resources that the configuration file declares and the platform reports.
//!
//! `laburnumstall-config` parses the file into a [`System`], the input of every decision.
//! [`Vm`] and [`Endpoint`] describe the current state that the platform and the endpoints
//! report.

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
