//! The control state machine of one entry daemon.
//!
//! [`Entry`] is the only writer of control state and performs no I/O. It takes an [`Event`]
//! and the current time, and returns [`Action`]s to execute and decision records to log.
//! Events come from callers, endpoints, peers, the platform and the clock; the daemon turns
//! socket input into events and actions into I/O.
//!
//! A request passes through these stages, one file each:
//! `accept` (validation, limits, copy to a standby in another zone), `claiming`
//! (claims of non-idempotent requests), `dispatch` (endpoint selection), `progress` (answer
//! events), `failure` (retry after a failed attempt), `replicate` (standby and output
//! commit), `deliver` (callers), `attach` and `locate` (reconnecting callers),
//! `copies` and `takeover` (standby side), `stop` (planned stop and VM reclaim).

mod accept;
mod action;
mod attach;
mod calls;
mod claiming;
mod configuration;
mod copies;
mod deferred_attach;
mod deliver;
mod dispatch;
mod endpoint_table;
mod event;
mod failure;
mod finish;
mod forward;
mod locate;
mod owned;
mod peers;
mod platform;
mod progress;
mod queue;
mod registry;
mod relay;
mod replicate;
mod silence;
mod state;
mod status;
mod stop;
mod suspects;
mod takeover;
mod timers;
mod watchdog;
mod watching;
mod withdraw;

pub use action::{Action, DispatchOrder, Output, StreamResume};
pub use configuration::{ApplyOutcome, configuration_head_key, configuration_record_prefix};
pub use event::{
    ApplyRequest, AttemptEvent, AttemptFailure, Event, LinkEvent, PROBE_TIMEOUT, PollOutcome,
    ProbeOutcome,
};
pub use state::{Entry, EntrySettings};
pub use status::{EndpointStatus, EntryStatus, MemberStatus};
pub use timers::TICK_PERIOD;
