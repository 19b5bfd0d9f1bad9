//! The key-value service over HTTP.

use laburnumstall_core::store::{StoreCall, StoreFailure, StoreOutcome};

use super::KeyValue;
use super::wire::{STORE_PATH, WireCall, WireReply};
use crate::http::{HttpSettings, JsonClient, Method};

/// The key-value service at one address.
pub struct HttpKeyValue {
    client: JsonClient,
}

impl HttpKeyValue {
    /// Builds the adapter; connects when first used.
    pub fn new(settings: HttpSettings) -> Self {
        Self {
            client: JsonClient::new(settings),
        }
    }

    /// Drops the idle connections, so that the next call opens a new one.
    pub fn replace_pool(&self) {
        self.client.replace_pool();
    }
}

impl KeyValue for HttpKeyValue {
    async fn call(&self, call: StoreCall) -> StoreOutcome {
        let call = WireCall::from(call);
        let reply = self
            .client
            .call::<_, WireReply>(Method::Post, STORE_PATH, Some(&call), call.wait())
            .await;
        let without_reply = match &reply {
            Err(failure) if failure.is_without_effect() => StoreFailure::Unavailable,
            _ if call.is_write() => StoreFailure::Unknown,
            _ => StoreFailure::Unavailable,
        };
        let leave_out = |key: &str| {
            let fault = format!("malformed key or value: {key:?}");
            self.client.leave_out(Method::Post, STORE_PATH, &fault);
        };
        reply
            .ok()
            .and_then(|reply| reply.into_reply(leave_out))
            .ok_or(without_reply)
    }
}
