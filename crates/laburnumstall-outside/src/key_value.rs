//! The platform's key-value service: compare-and-swap, leases, watches and listing.
//!
//! [`KeyValue`] carries a [`StoreCall`] to the service and its reply back. The adapter
//! decides what a failure means: only a call that certainly had no effect is reported
//! as [`StoreFailure::Unavailable`](laburnumstall_core::store::StoreFailure::Unavailable).

mod http;
pub mod wire;

pub use http::HttpKeyValue;

use laburnumstall_core::store::{StoreCall, StoreOutcome};

/// The key-value service.
pub trait KeyValue {
    /// Makes one call. A watch is answered when something changed or its wait is over.
    fn call(&self, call: StoreCall) -> impl Future<Output = StoreOutcome>;
}
