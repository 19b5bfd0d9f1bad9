//! The control state of one entry daemon.
//!
//! [`Entry`] is the only writer of control state. It is given an [`Event`] and the time
//! and returns [`Action`]s to carry out and decision records to write. Events come from
//! callers, endpoints, peers, the platform and the clock; the daemon turns sockets into
//! events and actions into I/O.
//!
//! A request passes these stations, each with a file of its own:
//! `accept` (checks, limits, copy to a standby in another zone), `claiming`
//! (non-idempotent requests), `dispatch` (choice of endpoint), `progress` (events of the
//! answer), `failure` (what follows a failed attempt), `replicate` (standby and output
//! commit), `deliver` (callers), `attach` and `locate` (callers that come back),
//! `copies` and `takeover` (standby side), `stop` (planned stop and reclaim).

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
mod event;
mod failure;
mod finish;
mod fleet;
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
