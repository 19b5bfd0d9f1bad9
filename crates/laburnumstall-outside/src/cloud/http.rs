//! The cloud API over HTTP.

use std::time::Duration;

use laburnumstall_core::cloud::{CallFailure, CloudCall, CloudReply, VmRequest};
use laburnumstall_core::ids::VmId;

use super::{Cloud, NOTICES_PATH, NoticePage, VMS_PATH, VmAnswer, call_failure};
use crate::http::{HttpFailure, HttpSettings, JsonClient, Method, encode_segment};

/// The cloud API at one address.
pub struct HttpCloud {
    client: JsonClient,
}

impl HttpCloud {
    /// Builds the adapter; connects when first used.
    pub fn new(settings: HttpSettings) -> Self {
        Self {
            client: JsonClient::new(settings),
        }
    }

    async fn list(&self) -> Result<CloudReply, HttpFailure> {
        let vms = self
            .client
            .call(Method::Get, VMS_PATH, None::<&()>, Duration::ZERO)
            .await?;
        Ok(CloudReply::Vms(vms))
    }

    async fn request(&self, request: VmRequest) -> Result<CloudReply, HttpFailure> {
        let answer = self
            .client
            .call(Method::Post, VMS_PATH, Some(&request), Duration::ZERO)
            .await?;
        Ok(match answer {
            VmAnswer::Granted { owned } => CloudReply::Granted(*owned),
            VmAnswer::Refused => CloudReply::Refused,
        })
    }

    async fn release(&self, vm: VmId) -> Result<CloudReply, HttpFailure> {
        let path = format!("{VMS_PATH}/{}", encode_segment(vm.as_str()));
        self.client
            .call::<(), ()>(Method::Delete, &path, None, Duration::ZERO)
            .await?;
        Ok(CloudReply::Released)
    }
}

impl Cloud for HttpCloud {
    async fn call(&self, call: CloudCall) -> Result<CloudReply, CallFailure> {
        let reply = match call {
            CloudCall::List => self.list().await,
            CloudCall::Request(request) => self.request(request).await,
            CloudCall::Release { vm } => self.release(vm).await,
        };
        reply.map_err(|failure| call_failure(&failure))
    }

    async fn notices(&self, after: u64, wait: Duration) -> Result<NoticePage, CallFailure> {
        let path = format!("{NOTICES_PATH}?after={after}&wait_ms={}", wait.as_millis());
        self.client
            .call(Method::Get, &path, None::<&()>, wait)
            .await
            .map_err(|failure| call_failure(&failure))
    }
}
