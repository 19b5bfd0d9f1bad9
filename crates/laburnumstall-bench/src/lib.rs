//! Measures what the users weigh: cost at the latency target, and recomputed tokens.
//!
//! A [`BenchSpec`] names workloads, policies and faults. For each of them [`measure`]
//! joins several entry cores with small fakes in virtual time (see `world`), lets the
//! workload's requests come, and gathers a [`Row`]. The same seed gives the same
//! [`Table`].

mod caller;
mod engine;
mod faults;
mod figures;
mod ledger;
mod policy;
mod schedule;
mod search;
mod spec;
mod table;
mod workload;
mod world;

pub use faults::FaultKind;
pub use figures::{BETWEEN_TOKENS_TARGET, FIRST_TOKEN_TARGET, Figures, RefusalCount, RunSpec};
pub use policy::{Bound, CoreRouter, EngineView, LeastLoaded, Policy, PowerOfTwo, RoundRobin};
pub use search::{TargetCost, run};
pub use spec::{BenchSpec, DEFAULT_CONTRACTS, PolicyName, measure};
pub use table::{Row, Table, Verdict};
pub use workload::WorkloadName;
