//! Interfaces to the platform and the endpoints, each with an adapter that speaks HTTP.
//!
//! A trait states what the daemon needs; the adapter beside it turns a typed call into
//! JSON over HTTP and sorts each failure by whether the call can have taken effect. The
//! dialects are written down in `docs/INTERFACES.md`; another dialect changes one adapter.
//! Adapters are for one thread: each traffic thread and the control thread has its own.

pub mod cloud;
pub mod endpoint;
pub mod http;
pub mod http1;
pub mod key_value;
pub mod turn;
pub mod vm_list;
pub mod weight_store;
