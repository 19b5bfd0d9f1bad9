//! Bytes of requests and responses that a daemon keeps in memory.
//!
//! Each body and each event has a limit of its own, but many that never end are kept at the same time.
//! Beyond the limit of all together, what keeps much is given up, and what keeps little is served
//! on: a sound request or event is mostly small.

use std::cell::Cell;
use std::rc::Rc;

use crate::units::Bytes;

/// Bytes that a request or a response may keep whatever the others keep.
const FREE_BYTES: u64 = 32 << 10;
/// Part of a daemon's memory for kept bytes, as a divisor. The rest holds the copies that are being
/// written, the receive buffers of the kernel and all else.
const MEMORY_DIVISOR: u64 = 8;

/// Limit of the kept bytes of all requests and responses; clones share it.
#[derive(Debug, Clone)]
pub struct BufferBudget {
    limit: u64,
    used: Rc<Cell<u64>>,
}

/// What one request or response keeps; dropping it frees that.
#[derive(Debug)]
pub struct BufferShare {
    budget: BufferBudget,
    bytes: u64,
}

impl BufferBudget {
    /// Creates the budget of a daemon with this memory.
    pub fn of_memory(memory: Bytes) -> Self {
        Self {
            limit: memory.get() / MEMORY_DIVISOR,
            used: Rc::default(),
        }
    }

    /// Returns the share of a request or response that keeps nothing yet.
    pub fn share(&self) -> BufferShare {
        BufferShare {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Returns the bytes that are kept.
    pub fn used(&self) -> Bytes {
        Bytes(self.used.get())
    }
}

impl BufferShare {
    /// Sets the bytes that are kept; returns whether they may be.
    pub fn keep(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        let used = self.budget.used.get() - self.bytes + bytes;
        self.budget.used.set(used);
        self.bytes = bytes;
        bytes <= FREE_BYTES || used <= self.budget.limit
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        let used = &self.budget.used;
        used.set(used.get() - self.bytes);
    }
}
