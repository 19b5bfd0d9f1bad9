//! What will happen in a measurement.

use laburnumstall_core::entry::Event;
use laburnumstall_core::ids::{CallId, DaemonId};
use laburnumstall_core::store::StoreCall;
use laburnumstall_core::units::Timestamp;

use crate::caller::ToCaller;
use crate::faults::Fault;

/// Something that will happen.
#[derive(Debug)]
pub(crate) enum Item {
    /// An entry is told something.
    Tell { to: DaemonId, event: Box<Event> },
    /// A call reaches the key-value service.
    Store {
        from: DaemonId,
        id: CallId,
        call: StoreCall,
        until: Timestamp,
    },
    /// An engine's step ends.
    StepEnds { engine: usize },
    /// The engines take figures and report what changed in their caches.
    Reports,
    /// The VM list is read.
    VmList,
    /// A caller sends, comes back or looks whether it should.
    Caller { index: usize },
    /// Something reaches a caller.
    ToCaller { index: usize, delivery: ToCaller },
    /// A plain call ends.
    PlainEnds { number: u64 },
    /// A fault happens.
    Fault(Fault),
}
