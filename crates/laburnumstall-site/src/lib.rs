//! A whole system on loopback, in one process: daemons, and stand-ins for everything
//! outside them.
//!
//! The demonstration, the experiments and the end-to-end tests all start a [`Site`], send
//! requests to its entries over HTTP and provoke faults through its methods.

mod bought;
mod caller;
mod error;
mod lines;
mod site;
mod spec;
mod text;

pub use bought::{BoughtEngines, BoughtVm, EngineHook};
pub use caller::{Answer, CallError, Caller};
pub use error::SiteError;
pub use lines::{LineSink, LogLines};
pub use site::{EngineSlot, EntrySlot, Site};
pub use spec::SiteSpec;
pub use text::{
    CUSTOMER_KEY, MODEL_SERVICE, OPERATOR_KEY, ORDER_SERVICE, OTHER_CUSTOMER_KEY, STOCK_SERVICE,
};
