//! The VM list over HTTP.

use laburnumstall_core::cloud::CallFailure;
use laburnumstall_core::resources::Vm;

use super::{VM_LIST_PATH, VmList};
use crate::cloud::call_failure;
use crate::http::{HttpSettings, JsonClient};

/// The VM list at one address.
pub struct HttpVmList {
    client: JsonClient,
}

impl HttpVmList {
    /// Builds the adapter; connects when first used.
    pub fn new(settings: HttpSettings) -> Self {
        Self {
            client: JsonClient::new(settings),
        }
    }
}

impl VmList for HttpVmList {
    async fn list(&self) -> Result<Vec<Vm>, CallFailure> {
        self.client
            .list(VM_LIST_PATH)
            .await
            .map_err(|failure| call_failure(&failure))
    }
}
