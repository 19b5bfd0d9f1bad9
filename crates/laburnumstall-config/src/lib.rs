//! The operators' text: what it may say, and what it says.
//!
//! Data flows one way. [`parse()`] reads TOML with the place of every key and value, reports
//! all [`Faults`] at once, and builds a [`System`]. [`canonical()`] writes a system as the
//! one text that stands for it, [`digest()`] names that text, and [`diff()`] tells two
//! systems apart.
//! [`admin`] holds the messages between operators and daemons.
//!
//! [`System`]: laburnumstall_core::resources::System

pub mod admin;
mod canonical;
mod diff;
mod fault;
mod parse;
mod reader;
mod scalar;
mod section;
mod source;

pub use canonical::{canonical, digest, normalize};
pub use diff::{Change, ItemChange, ItemKind, KeyChange, diff};
pub use fault::{Fault, FaultKind, Faults};
pub use parse::parse;
pub use section::{customer_section, platform_section, service_section};
