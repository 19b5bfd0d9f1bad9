//! The weight store over HTTP.

use std::time::Duration;

use laburnumstall_core::cloud::CallFailure;

use super::{RATE_PATH, RESERVATIONS_PATH, Reservation, ReservedLoad, WeightRate, WeightStore};
use crate::cloud::call_failure;
use crate::http::{HttpSettings, JsonClient, Method};

/// The weight store at one address.
pub struct HttpWeightStore {
    client: JsonClient,
}

impl HttpWeightStore {
    /// Builds the adapter; connects when first used.
    pub fn new(settings: HttpSettings) -> Self {
        Self {
            client: JsonClient::new(settings),
        }
    }
}

impl WeightStore for HttpWeightStore {
    async fn rate(&self) -> Result<WeightRate, CallFailure> {
        self.client
            .call(Method::Get, RATE_PATH, None::<&()>, Duration::ZERO)
            .await
            .map_err(|failure| call_failure(&failure))
    }

    async fn reserve(&self, reservation: &Reservation) -> Result<ReservedLoad, CallFailure> {
        self.client
            .call(
                Method::Post,
                RESERVATIONS_PATH,
                Some(reservation),
                Duration::ZERO,
            )
            .await
            .map_err(|failure| call_failure(&failure))
    }
}
