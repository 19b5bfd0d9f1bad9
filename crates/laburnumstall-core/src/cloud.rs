//! Calls to the cloud API, orders to endpoints, and their replies.

use crate::ids::{
    AdapterName, AvailabilityZone, EndpointId, FencingToken, ModelName, ServiceName, VersionName,
    VmClass, VmId,
};
use crate::resources::{Market, Vm, VmRole};
use crate::units::Timestamp;
use crate::{domain, domain_value, text_id};

text_id! {
    /// Idempotency token of a VM request to the cloud API.
    ClientToken;
    /// Identifier of an order; the same when the order is repeated.
    OrderId;
}

domain! {
    /// A request for a new VM.
    pub struct VmRequest {
        /// Idempotency token.
        pub token: ClientToken,
        /// Machine class.
        pub class: VmClass,
        /// Purchase type.
        pub market: Market,
        /// Availability zone.
        pub zone: AvailabilityZone,
        /// Role of the VM.
        pub role: VmRole,
    }

    /// A call to the cloud API.
    pub enum CloudCall {
        /// Lists the VMs with the tokens of their requests.
        List,
        /// Requests a VM.
        Request(VmRequest),
        /// Releases a VM.
        Release {
            /// VM to release.
            vm: VmId,
        },
    }

    /// A VM with the token of its request.
    pub struct OwnedVm {
        /// The VM.
        pub vm: Vm,
        /// Token of the request, if the cloud API reports one.
        pub token: Option<ClientToken>,
    }

    /// A reply of the cloud API.
    pub enum CloudReply {
        /// The existing VMs.
        Vms(Vec<OwnedVm>),
        /// The requested VM: newly created, or created before with the same token.
        Granted(OwnedVm),
        /// No VM of that class, market and zone is available now.
        Refused,
        /// The VM was released or did not exist.
        Released,
    }

    /// Notice that the platform will reclaim a VM.
    pub struct ReclaimNotice {
        /// VM to be reclaimed.
        pub vm: VmId,
        /// When the VM stops.
        pub deadline: Timestamp,
    }

    /// A model that an endpoint is ordered to load for a service.
    pub struct LoadOrder {
        /// Service that the load is for.
        pub service: ServiceName,
        /// Model.
        pub model: ModelName,
        /// Adapter on top of the model.
        pub adapter: Option<AdapterName>,
        /// Version to load.
        pub version: VersionName,
    }

    /// An idempotent order to an endpoint.
    pub struct EndpointOrder {
        /// Identifier of the order.
        pub id: OrderId,
        /// Endpoint that receives the order.
        pub endpoint: EndpointId,
        /// Fencing token of the lease holder that issued the order.
        pub fencing: FencingToken,
        /// Complete set of models that the endpoint should have loaded.
        pub loads: Vec<LoadOrder>,
    }
}

domain_value! {
    /// An endpoint's reply to an order.
    #[serde(rename_all = "kebab-case")]
    pub enum OrderReply {
        /// The order is in effect, or will be once loading completes.
        Accepted,
        /// The fencing token is lower than one that the endpoint has seen.
        Fenced,
        /// The endpoint cannot carry out the order.
        Refused,
    }

    /// Why a call to an external service failed.
    #[serde(rename_all = "kebab-case")]
    pub enum CallFailure {
        /// The connection was refused, so nothing was sent.
        NotSent,
        /// The call may have taken effect.
        Unknown,
    }
}
