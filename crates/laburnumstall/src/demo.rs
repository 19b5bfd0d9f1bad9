//! The demonstration: live load against a whole system on loopback while a fault happens.
//!
//! [`run_scenario`] starts a site, drives callers at it with the same driver as `load`,
//! provokes the fault of a [`Scenario`] and compares what callers and endpoints saw with
//! what the system promises. The result is a [`ScenarioReport`].

mod account;
mod faults;
mod operators;
mod poison;
mod replacement;
mod report;
mod run;
mod scenario;

pub use report::{BrokenPromise, ScenarioReport};
pub(crate) use run::StartSnafu;
pub use run::{DemoError, DemoLoad, ScenarioOutcome, run_scenario};
pub use scenario::{Scenario, UnknownScenario};
