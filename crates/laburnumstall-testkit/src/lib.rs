//! Entry cores joined in virtual time, with small fakes at their interfaces.
//!
//! A [`World`] holds entry daemons' cores, a key-value service, endpoints and callers. It
//! carries each action of a core to its receiver after a delay, lets faults happen, and
//! records what callers were given and what endpoints ran. [`checks`] compares that with
//! what was promised. The same seed gives the same session, line by line.

mod caller;
mod callers;
pub mod checks;
mod counts;
mod endpoint;
mod machines;
mod network;
mod node;
mod operators;
mod outside;
mod schedule;
mod store;
mod system;
pub mod walk;
mod world;

pub use caller::{CallerState, FakeCaller, Outcome};
pub use counts::Counts;
pub use endpoint::{Condition, FakeEndpoint, expected_events, expected_text};
pub use network::Network;
pub use node::Node;
pub use operators::SettledApply;
pub use schedule::{Item, Schedule};
pub use store::FakeStore;
pub use system::{
    CUSTOMER, MODEL, ORDERS, OTHER_CUSTOMER, STOCK, key_at, model_request, plain_request, system,
};
pub use world::{World, WorldSpec};
