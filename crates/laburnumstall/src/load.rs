//! Callers that drive a live system and check what they are given.
//!
//! A [`LoadPlan`] says who calls what, how often and for how long. [`drive`] sends the
//! requests of a seeded workload at their times; each is carried to its end by a caller that
//! re-sends with the same idempotency key until it is accepted, and comes back by the
//! request's id when a connection breaks or goes silent. An [`AnswerCheck`] tells whether an
//! answer is whole and the caller's own. What happened is counted in a [`LoadReport`].

mod caller;
mod check;
mod directory;
mod driver;
mod plan;
mod report;
mod workload;

pub use check::{AnswerCheck, AnswerVerdict, PresenceCheck, ReceivedAnswer};
pub use driver::drive;
pub(crate) use driver::unix_now;
pub use plan::{CallerKey, LoadPlan, MixPart};
pub use report::{Ending, LoadReport, Quantiles, RequestEnd};
pub(crate) use workload::new_key;
pub use workload::{SentRequest, Workload};
