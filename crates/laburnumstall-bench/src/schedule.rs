//! What will happen, ordered by time and then by insertion.

use std::collections::BTreeMap;

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

/// Items ordered by time.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    items: BTreeMap<(Timestamp, u64), Item>,
    inserted: u64,
}

impl Schedule {
    pub(crate) fn add(&mut self, at: Timestamp, item: Item) {
        self.inserted += 1;
        self.items.insert((at, self.inserted), item);
    }

    /// Takes the next item if it is due by `until`.
    pub(crate) fn next(&mut self, until: Timestamp) -> Option<(Timestamp, Item)> {
        let (at, _) = self.items.first_key_value()?.0;
        if *at > until {
            return None;
        }
        let ((at, _), item) = self.items.pop_first()?;
        Some((at, item))
    }
}
