//! Processor time of a process, by thread.

use std::collections::BTreeMap;
use std::time::Duration;

/// Clock ticks of the kernel's accounts: 100 a second on Linux.
const TICK: Duration = Duration::from_millis(10);

/// Threads that are shown.
const SHOWN: usize = 7;

/// Processor time used so far by each thread of a process.
#[derive(Debug, Clone, Default)]
pub(crate) struct Times(BTreeMap<String, Duration>);

impl Times {
    /// Reads the times of a process; a thread that ended is not in them.
    pub(crate) fn read(process: u32) -> Self {
        let threads = std::fs::read_dir(format!("/proc/{process}/task"));
        let threads = threads.into_iter().flatten().flatten();
        Self(threads.filter_map(|t| thread(&t.path())).collect())
    }

    /// Returns what was used after `earlier`.
    pub(crate) fn since(&self, earlier: &Self) -> Self {
        let before = |name: &String| earlier.0.get(name).copied().unwrap_or_default();
        let used = self.0.iter();
        Self(
            used.map(|(name, time)| (name.clone(), *time - before(name)))
                .collect(),
        )
    }

    /// Returns the time of all threads.
    pub(crate) fn total(&self) -> Duration {
        self.0.values().sum()
    }

    /// Returns the threads that used the most time.
    pub(crate) fn busiest(&self) -> Vec<(&str, Duration)> {
        let mut all: Vec<_> = self
            .0
            .iter()
            .map(|(name, time)| (name.as_str(), *time))
            .collect();
        all.sort_by_key(|(_, time)| std::cmp::Reverse(*time));
        all.truncate(SHOWN);
        all
    }
}

/// Reads a thread's name with its number, and its user and system time.
fn thread(path: &std::path::Path) -> Option<(String, Duration)> {
    let stat = std::fs::read_to_string(path.join("stat")).ok()?;
    let (head, rest) = stat.rsplit_once(") ")?;
    let fields: Vec<&str> = rest.split(' ').collect();
    let ticks: u32 = fields.get(11)?.parse::<u32>().ok()? + fields.get(12)?.parse::<u32>().ok()?;
    Some((format!("{head})"), TICK * ticks))
}
