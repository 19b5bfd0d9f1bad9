//! Decision lines of all daemons of a site, in the order in which they were written.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use laburnumstall_core::decision::Decision;
use laburnumstall_core::ids::VmId;
use laburnumstalld::control::DecisionSink;

/// Decision lines; clones share them.
#[derive(Debug, Clone, Default)]
pub struct LogLines {
    lines: Arc<Mutex<Vec<String>>>,
}

impl LogLines {
    /// Returns a sink for the daemon on a VM.
    pub fn sink(&self, vm: &VmId) -> LineSink {
        LineSink {
            vm: vm.clone(),
            lines: self.clone(),
        }
    }

    /// Returns the lines so far.
    pub fn read(&self) -> Vec<String> {
        self.lock().clone()
    }

    /// Returns the lines from the one with a number on; the first has number zero.
    pub fn read_from(&self, number: usize) -> Vec<String> {
        self.lock().get(number..).unwrap_or_default().to_vec()
    }

    /// Counts the lines that hold a text.
    pub fn count(&self, text: &str) -> usize {
        self.lock()
            .iter()
            .filter(|line| line.contains(text))
            .count()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes one daemon's decisions.
#[derive(Debug, Clone)]
pub struct LineSink {
    vm: VmId,
    lines: LogLines,
}

impl DecisionSink for LineSink {
    fn write(&mut self, decision: &Decision) {
        let line = format!("daemon={} {decision}", self.vm);
        self.lines.lock().push(line);
    }
}
