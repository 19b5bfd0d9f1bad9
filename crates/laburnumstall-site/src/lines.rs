//! Decision lines of all daemons of a site, in the order in which they were written.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use laburnumstall_core::decision::Decision;
use laburnumstall_core::entry::{EntrySettings, Event};
use laburnumstall_core::ids::VmId;
use laburnumstall_core::session::SessionRecord;
use laburnumstall_core::units::Timestamp;
use laburnumstalld::control::DecisionSink;

/// Decision lines; clones share them.
#[derive(Debug, Clone, Default)]
pub struct LogLines {
    lines: Arc<Mutex<Vec<String>>>,
    records: Arc<Mutex<Vec<SessionRecord>>>,
}

impl LogLines {
    /// Returns a sink for the daemon on a VM.
    ///
    /// With `is_recorded` it also keeps what the daemon is told.
    pub fn sink(&self, vm: &VmId, is_recorded: bool) -> LineSink {
        LineSink {
            vm: vm.clone(),
            is_recorded,
            lines: self.clone(),
        }
    }

    /// Returns the lines so far.
    pub fn read(&self) -> Vec<String> {
        lock(&self.lines).clone()
    }

    /// Returns the lines from the one with a number on; the first has number zero.
    pub fn read_from(&self, number: usize) -> Vec<String> {
        lock(&self.lines).get(number..).unwrap_or_default().to_vec()
    }

    /// Returns the records of the daemon that is recorded.
    pub fn records(&self) -> Vec<SessionRecord> {
        lock(&self.records).clone()
    }

    /// Counts the lines that hold a text.
    pub fn count(&self, text: &str) -> usize {
        lock(&self.lines)
            .iter()
            .filter(|line| line.contains(text))
            .count()
    }
}

/// Locks a list; one that a panic left is still a list.
fn lock<T>(list: &Mutex<Vec<T>>) -> MutexGuard<'_, Vec<T>> {
    list.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Writes one daemon's decisions.
#[derive(Debug, Clone)]
pub struct LineSink {
    vm: VmId,
    is_recorded: bool,
    lines: LogLines,
}

impl DecisionSink for LineSink {
    fn write(&mut self, decision: &Decision) {
        let line = format!("daemon={} {decision}", self.vm);
        lock(&self.lines.lines).push(line);
    }
    fn record_start(&mut self, settings: &EntrySettings) {
        if self.is_recorded {
            let record = SessionRecord::Started(settings.clone());
            lock(&self.lines.records).push(record);
        }
    }

    fn record_event(&mut self, at: Timestamp, event: &Event) {
        if self.is_recorded {
            let event = event.clone();
            let record = SessionRecord::Received { at, event };
            lock(&self.lines.records).push(record);
        }
    }
}
