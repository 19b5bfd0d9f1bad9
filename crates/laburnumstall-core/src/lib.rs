//! Decision logic of laburnumstall: request ownership, routing, claims and placement.
//!
//! Every component is deterministic. It receives the time and an event, and returns
//! actions and decision records; it reads no clock, opens no socket, starts no thread and
//! uses no global random source. The daemon supplies events and performs the actions;
//! tests run the same code in virtual time; a recorded session replays to the same
//! decision records.

pub mod adoption;
pub mod budget;
pub mod claims;
pub mod cloud;
pub mod decision;
pub mod entry;
pub mod error;
pub mod gateway;
pub mod hash;
pub mod ids;
pub mod limits;
pub mod macros;
pub mod membership;
pub mod message;
pub mod placement;
pub mod prelude;
pub mod quarantine;
pub mod request;
pub mod resources;
pub mod routing;
pub mod session;
pub mod store;
pub mod units;
pub mod watch;
