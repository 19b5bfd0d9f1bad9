//! Calls to the cloud API and the weight store, orders to endpoints, and their replies.

use crate::ids::{
    AdapterName, AvailabilityZone, EndpointId, FencingToken, ModelName, ServiceName, VersionName,
    VmClass, VmId,
};
use crate::resources::{Market, Vm, VmRole};
use crate::units::Timestamp;
use crate::{domain, domain_value, text_id};

text_id! {
    /// Token by which the cloud API recognises a repeated request for a VM.
    ClientToken;
    /// Name of an order; a repeated order has the same name.
    OrderId;
}

domain! {
    /// What a new VM should be.
    pub struct VmRequest {
        /// Token by which a repetition is recognised.
        pub token: ClientToken,
        /// Machine class.
        pub class: VmClass,
        /// How it is paid for.
        pub market: Market,
        /// Zone to run in.
        pub zone: AvailabilityZone,
        /// What it is for.
        pub role: VmRole,
    }

    /// A call to the cloud API.
    pub enum CloudCall {
        /// Lists the VMs with the tokens that they were asked for with.
        List,
        /// Asks for a VM.
        Request(VmRequest),
        /// Gives a VM back.
        Release {
            /// VM to give back.
            vm: VmId,
        },
    }

    /// A VM with the token that it was asked for with.
    pub struct OwnedVm {
        /// The VM.
        pub vm: Vm,
        /// Token of the request, if the cloud knows one.
        pub token: Option<ClientToken>,
    }

    /// What the cloud API answered.
    pub enum CloudReply {
        /// The VMs that there are.
        Vms(Vec<OwnedVm>),
        /// The VM asked for, new or recognised by its token.
        Granted(OwnedVm),
        /// No VM of that class, market and zone now.
        Refused,
        /// The VM is given back or was not there.
        Released,
    }

    /// Notice that a VM is about to be taken.
    pub struct ReclaimNotice {
        /// VM that is taken.
        pub vm: VmId,
        /// When it stops.
        pub deadline: Timestamp,
    }

    /// What an endpoint is ordered to have loaded.
    pub struct LoadOrder {
        /// Service that the load is for.
        pub service: ServiceName,
        /// Model.
        pub model: ModelName,
        /// Adapter over the model.
        pub adapter: Option<AdapterName>,
        /// Version.
        pub version: VersionName,
    }

    /// An order to an endpoint. Repeating it has no further effect.
    pub struct EndpointOrder {
        /// Name of the order.
        pub id: OrderId,
        /// Endpoint that is ordered.
        pub endpoint: EndpointId,
        /// Number of the lease holder that orders.
        pub fencing: FencingToken,
        /// Everything that the endpoint should have loaded afterwards.
        pub loads: Vec<LoadOrder>,
    }
}

domain_value! {
    /// What became of an order to an endpoint.
    #[serde(rename_all = "kebab-case")]
    pub enum OrderReply {
        /// It is in effect, or will be when loading ends.
        Accepted,
        /// The fencing number is lower than one seen before.
        Fenced,
        /// The endpoint cannot do it.
        Refused,
    }

    /// Why an outside call has no reply.
    #[serde(rename_all = "kebab-case")]
    pub enum CallFailure {
        /// The connection was refused, so that nothing was sent.
        NotSent,
        /// The call may have taken effect.
        Unknown,
    }
}
