//! The weight store, from which endpoints load models and adapters at a limited rate.

mod http;

pub use http::HttpWeightStore;

use std::time::Duration;

use laburnumstall_core::cloud::{CallFailure, OrderId};
use laburnumstall_core::domain;
use laburnumstall_core::ids::{AdapterName, ModelName, VersionName};
use laburnumstall_core::units::Bytes;

/// Path of the rate, with method GET.
pub const RATE_PATH: &str = "/v1/weights/rate";

/// Path of the reservations, with method POST.
pub const RESERVATIONS_PATH: &str = "/v1/weights/reservations";

domain! {
    /// What the weight store allows.
    pub struct WeightRate {
        /// Bytes that it serves a second, over all endpoints.
        pub per_second: Bytes,
        /// Bytes that can be taken at once now.
        pub available: Bytes,
    }

    /// A request for the weights of one load. Repeating it has no further effect.
    pub struct Reservation {
        /// Order that the load belongs to.
        pub order: OrderId,
        /// Model.
        pub model: ModelName,
        /// Adapter over the model.
        pub adapter: Option<AdapterName>,
        /// Version.
        pub version: VersionName,
    }

    /// When the weights of a load can be there.
    pub struct ReservedLoad {
        /// Size of the weights.
        pub size: Bytes,
        /// Time from now until the store begins to serve them, in milliseconds.
        pub starts_in_ms: u64,
        /// Time from now until all are served, in milliseconds.
        pub ends_in_ms: u64,
    }
}

impl ReservedLoad {
    /// Returns the time from now until all weights are served.
    pub fn ends_in(&self) -> Duration {
        Duration::from_millis(self.ends_in_ms)
    }
}

/// The weight store.
pub trait WeightStore {
    /// Reads the rate and what is available now.
    fn rate(&self) -> impl Future<Output = Result<WeightRate, CallFailure>>;

    /// Reserves the bytes of one load.
    fn reserve(
        &self,
        reservation: &Reservation,
    ) -> impl Future<Output = Result<ReservedLoad, CallFailure>>;
}
