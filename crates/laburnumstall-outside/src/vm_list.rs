//! The list of live and leaving VMs, which lags behind the cloud.

mod http;

pub use http::HttpVmList;

use laburnumstall_core::cloud::CallFailure;
use laburnumstall_core::resources::Vm;

/// Path of the VM list, with method GET.
pub const VM_LIST_PATH: &str = "/v1/vm-list";

/// The VM list.
pub trait VmList {
    /// Reads the list.
    fn list(&self) -> impl Future<Output = Result<Vec<Vm>, CallFailure>>;
}
