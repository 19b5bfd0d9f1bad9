//! Rebuilds from daemons' logs what happened to one request, VM, endpoint or order.
//!
//! [`event`] reads one line. [`search()`] goes over the logs twice: first for the events that
//! name the id and what those refer to, then for what happened meanwhile to the endpoints and
//! daemons involved. [`Story`] puts the events of all daemons in one order and tells them.

pub mod event;
mod references;
mod search;
mod sentence;
mod story;

pub use search::search;
pub use story::{Story, StoryEvent};
