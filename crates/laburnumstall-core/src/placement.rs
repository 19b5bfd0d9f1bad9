//! What to buy, what to load where, and who may give the orders.
//!
//! One daemon of a region holds a lease ([`LeaseHolder`]). It computes a plan from the
//! operators' text, the present fleet and the cloud's refusals, and an executor derives
//! the difference between plan and observation: requests for VMs, orders to endpoints and
//! releases.

mod capacity;
mod lease;
mod plan;
mod planner;
mod solver;

pub use capacity::FIRST_TOKEN_TARGET;
pub use lease::{
    CALL_TIMEOUT, HolderRecord, LEASE_MARGIN, LEASE_TTL, LONGEST_ORDER, LeaseHolder, POLL_PERIOD,
    RENEW_PERIOD, StoreRequest, TokenRecord,
};
pub use plan::{Alternative, Choice, Offer, Plan, PlanInput, PlanRevision, PlanSlot, Shortfall};
pub use planner::{KEEP_DISCOUNT_PERMILLE, RECLAIM_COST_HOURS, plan};
