//! Placeholder of the crate.
