//! Decides which VMs to provision, what they load, and which daemon issues the orders.
//!
//! One daemon of a region holds a lease ([`LeaseClient`]). It computes a [`Plan`] from the
//! configuration, the current fleet and the cloud's refusals. [`Placement`] reconciles the
//! observed state with the plan: it requests VMs, sends orders to endpoints and releases
//! VMs.

mod candidates;
mod capacity;
mod controller;
mod endpoint_orders;
mod handover;
mod lease;
mod local_search;
mod observations;
mod plan;
mod plan_store;
mod planner;
mod records;
mod refusals;
mod scope;
mod solver;
mod vm_requests;

pub use candidates::{MAX_CANDIDATES, is_candidate};
pub use capacity::FIRST_TOKEN_TARGET;
pub use controller::{PLAN_PERIOD, Placement, PlacementInput, PlacementOutput};
pub use endpoint_orders::{LOAD_TIMEOUT, MAX_SEND_DELAY, REFUSED_RETRY_DELAY};
pub use handover::{CLAIM_BYTES, HandoverPlan, HandoverWork, SHUTDOWN_MARGIN, plan_handover};
pub use lease::{
    CALL_TIMEOUT, LEASE_MARGIN, LEASE_TTL, LeaseClient, LeaseTiming, MAX_ORDER_LIFETIME,
    POLL_PERIOD, RENEW_PERIOD,
};
pub use observations::ObservedEndpoint;
pub use plan::{
    Alternative, MarketFilter, Offer, Plan, PlanInput, PlanRevision, PlanSlot, Shortfall,
};
pub use planner::{KEEP_DISCOUNT_PERMILLE, RECLAIM_COST_HOURS, plan};
pub use records::{HolderRecord, StoreRequest, TokenRecord};
pub use refusals::{INITIAL_BACKOFF, MAX_BACKOFF, Refusals};
pub use scope::has_targets;
pub use vm_requests::{
    CLOUD_TIMEOUT, CloudRequest, DRAIN_TIME, Drain, LIST_PERIOD, MAX_CLOUD_CALLS, SURPLUS_TIME,
};
