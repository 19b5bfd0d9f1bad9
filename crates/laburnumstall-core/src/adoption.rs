//! Placeholder of the module.
