//! Virtual machines and their classes, as in the cloud API and the VM list.

use std::net::SocketAddr;

use crate::ids::{AvailabilityZone, VmClass, VmId};
use crate::units::{HourlyPrice, Timestamp, TokenRate, Tokens};
use crate::{domain, domain_value};

domain_value! {
    /// Purchase type of a VM.
    #[serde(rename_all = "kebab-case")]
    pub enum Market {
        /// Cheaper; the platform may reclaim it at short notice.
        Reclaimable,
        /// More expensive; kept until it is released.
        OnDemand,
    }

    /// Role of a VM.
    #[serde(rename_all = "kebab-case")]
    pub enum VmRole {
        /// Runs an entry daemon.
        Entry,
        /// Runs an endpoint.
        Endpoint,
    }

    /// Lifecycle state of a VM, reported by the platform.
    #[serde(rename_all = "kebab-case")]
    pub enum VmState {
        /// The VM is usable.
        Live,
        /// The VM is about to stop.
        Leaving {
            /// When the VM stops.
            deadline: Timestamp,
        },
    }
}

domain! {
    /// A machine class that the cloud offers.
    #[serde(deny_unknown_fields)]
    pub struct VmClassSpec {
        /// Name of the class in the cloud API.
        pub name: VmClass,
        /// On-demand list price.
        pub on_demand: HourlyPrice,
        /// Reclaimable list price.
        pub reclaimable: HourlyPrice,
        /// Number of accelerators.
        pub accelerators: u32,
        /// Tokens generated per second at the latency target.
        pub decode: TokenRate,
        /// Prefill rate in prompt tokens per second.
        pub prefill: TokenRate,
        /// Capacity of the prefix cache in prompt tokens.
        pub cache: Tokens,
    }

    /// A virtual machine.
    pub struct Vm {
        /// Name of the VM in the cloud API.
        pub id: VmId,
        /// Availability zone of the VM.
        pub zone: AvailabilityZone,
        /// Machine class.
        pub class: VmClass,
        /// Purchase type.
        pub market: Market,
        /// Role of the VM.
        pub role: VmRole,
        /// Address of the process on the VM.
        pub address: SocketAddr,
        /// Lifecycle state.
        pub state: VmState,
    }
}
