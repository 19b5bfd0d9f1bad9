//! Virtual machines as the cloud API and the VM list report them.

use std::net::SocketAddr;

use crate::ids::{AvailabilityZone, VmClass, VmId};
use crate::units::{HourlyPrice, Timestamp, TokenRate, Tokens};
use crate::{domain, domain_value};

domain_value! {
    /// How a VM is paid for.
    #[serde(rename_all = "kebab-case")]
    pub enum Market {
        /// Cheaper; the platform can take it back at short notice.
        Reclaimable,
        /// Dearer; kept until it is given back.
        OnDemand,
    }

    /// What a VM is used for.
    #[serde(rename_all = "kebab-case")]
    pub enum VmRole {
        /// Runs an entry daemon.
        Entry,
        /// Runs an endpoint.
        Endpoint,
    }

    /// What the platform says of a VM's life.
    #[serde(rename_all = "kebab-case")]
    pub enum VmState {
        /// Usable.
        Live,
        /// Going away at the given time.
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
        /// List price on demand.
        pub on_demand: HourlyPrice,
        /// List price when reclaimable.
        pub reclaimable: HourlyPrice,
        /// Number of accelerators.
        pub accelerators: u32,
        /// Tokens generated a second at the latency target.
        pub decode: TokenRate,
        /// Prompt tokens processed a second.
        pub prefill: TokenRate,
        /// Prompt tokens that the prefix cache holds.
        pub cache: Tokens,
    }

    /// A virtual machine.
    pub struct Vm {
        /// Name in the cloud API.
        pub id: VmId,
        /// Zone that the VM runs in.
        pub zone: AvailabilityZone,
        /// Machine class.
        pub class: VmClass,
        /// How it is paid for.
        pub market: Market,
        /// What it is used for.
        pub role: VmRole,
        /// Address of the process that it runs.
        pub address: SocketAddr,
        /// Whether it is leaving.
        pub state: VmState,
    }
}
