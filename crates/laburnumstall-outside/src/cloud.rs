//! The cloud API: VMs that are asked for and given back, and reclaim notices.

mod http;

pub use http::HttpCloud;

use std::time::Duration;

use laburnumstall_core::cloud::{CallFailure, CloudCall, CloudReply, OwnedVm, ReclaimNotice};
use laburnumstall_core::domain;

use crate::http::HttpFailure;

/// Path of the VMs: GET lists, POST asks for one, DELETE with a name gives one back.
pub const VMS_PATH: &str = "/v1/vms";

/// Path of the reclaim notices, with method GET.
pub const NOTICES_PATH: &str = "/v1/notices";

domain! {
    /// Answer to a request for a VM.
    #[serde(tag = "reply", rename_all = "kebab-case")]
    pub enum VmAnswer {
        /// The VM, new or recognised by its token.
        Granted {
            /// The VM with its token.
            owned: Box<OwnedVm>,
        },
        /// No such VM now.
        Refused,
    }

    /// Reclaim notices with the number to ask after next.
    pub struct NoticePage {
        /// Number that the next call gives as `after`.
        pub next: u64,
        /// Notices in order.
        pub notices: Vec<ReclaimNotice>,
    }
}

/// The cloud API.
pub trait Cloud {
    /// Makes one call.
    fn call(&self, call: CloudCall) -> impl Future<Output = Result<CloudReply, CallFailure>>;

    /// Waits up to `wait` for notices that follow number `after`.
    fn notices(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<NoticePage, CallFailure>>;
}

/// Tells whether a failed call can have had an effect.
pub fn call_failure(failure: &HttpFailure) -> CallFailure {
    if failure.is_without_effect() {
        CallFailure::NotSent
    } else {
        CallFailure::Unknown
    }
}
