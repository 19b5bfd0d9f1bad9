//! Types that most modules use.

pub use crate::decision::{Decision, DecisionKind, Journal};
pub use crate::error::{ErrorKind, Execution, Refusal};
pub use crate::ids::{
    AttemptId, AvailabilityZone, CallId, CallerId, CustomerId, DaemonId, EndpointId, EventIndex,
    FencingToken, Fingerprint, IdempotencyKey, Incarnation, LookupHash, RequestId, Revision,
    ServiceName, SoftwareVersion, VmId,
};
pub use crate::request::{AnswerEvent, AnswerForm, BlockHash, Request};
pub use crate::resources::{
    Configuration, Contract, Customer, Endpoint, LoadReport, Service, ServiceKind, System, Vm,
    VmState, Zone,
};
pub use crate::store::{
    LeaseId, StoreCall, StoreFailure, StoreKey, StoreOutcome, StoreReply, StoreVersion,
};
pub use crate::units::{Bytes, Priority, RequestRate, Timestamp, TokenRate, Tokens};
