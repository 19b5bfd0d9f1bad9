//! What the calls of placement lead to.

use std::net::SocketAddr;

use laburnumstall_core::cloud::{CallFailure, CloudReply, OrderId, OrderReply};
use laburnumstall_core::ids::{CallId, VmId};
use laburnumstall_core::resources::LoadReport;
use laburnumstall_core::store::StoreOutcome;
use laburnumstall_core::units::Timestamp;

/// What an endpoint reported, with when it was asked.
#[derive(Debug)]
pub struct LoadReading {
    /// VM that was asked.
    pub vm: VmId,
    /// Address that was asked.
    pub address: SocketAddr,
    /// When the call began.
    pub began: Timestamp,
    /// The report.
    pub report: LoadReport,
}

/// What a call of placement led to.
#[derive(Debug)]
pub enum PlacementEvent {
    /// A call to the key-value service ended.
    Store {
        /// The call.
        id: CallId,
        /// How it ended.
        outcome: StoreOutcome,
    },
    /// A call to the cloud API ended.
    Cloud {
        /// The call.
        id: CallId,
        /// How it ended.
        outcome: Result<CloudReply, CallFailure>,
    },
    /// An order was answered, or its connection is closed.
    Ordered {
        /// The order.
        id: OrderId,
        /// How it ended.
        outcome: Result<OrderReply, CallFailure>,
    },
    /// An endpoint told what it has loaded.
    Loaded(Box<LoadReading>),
    /// An endpoint did not answer.
    ReadFailed {
        /// VM that was asked.
        vm: VmId,
    },
}
