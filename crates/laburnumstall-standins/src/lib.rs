//! Small stand-ins for the platform and the endpoints, with fault switches.
//!
//! Each stand-in is a server on a loopback port of the system's choice, on threads of its
//! own; `start` returns a handle whose methods read counters and set faults at any time,
//! from any thread, and whose `close` stops it. They follow `docs/INTERFACES.md`.

pub mod cloud;
pub mod engine;
pub mod gate;
mod history;
pub mod key_value;
pub mod network;
pub mod plain;
pub mod sample;
pub mod server;
pub mod weights;
