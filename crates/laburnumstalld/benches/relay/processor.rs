//! CPU time of a process, by thread.

use std::collections::BTreeMap;
use std::time::Duration;

/// Duration of a kernel clock tick; Linux reports 100 a second.
const TICK: Duration = Duration::from_millis(10);

/// Number of busiest threads printed.
const MAX_THREADS: usize = 7;

/// CPU time used so far by each thread of a process.
#[derive(Debug, Clone, Default)]
pub(crate) struct CpuTimes(BTreeMap<String, Duration>);

impl CpuTimes {
    /// Reads the times of a process; threads that have ended are not included.
    pub(crate) fn read(process: u32) -> Self {
        let threads = std::fs::read_dir(format!("/proc/{process}/task"));
        let threads = threads.into_iter().flatten().flatten();
        Self(threads.filter_map(|t| read_thread(&t.path())).collect())
    }

    /// Returns the CPU time used since `earlier`.
    pub(crate) fn since(&self, earlier: &Self) -> Self {
        let before = |name: &String| earlier.0.get(name).copied().unwrap_or_default();
        let used = self.0.iter();
        Self(
            used.map(|(name, time)| (name.clone(), *time - before(name)))
                .collect(),
        )
    }

    /// Returns the total of all threads.
    pub(crate) fn total(&self) -> Duration {
        self.0.values().sum()
    }

    /// Returns the threads with the most CPU time, the busiest first.
    pub(crate) fn busiest(&self) -> Vec<(&str, Duration)> {
        let mut all: Vec<_> = self
            .0
            .iter()
            .map(|(name, time)| (name.as_str(), *time))
            .collect();
        all.sort_by_key(|(_, time)| std::cmp::Reverse(*time));
        all.truncate(MAX_THREADS);
        all
    }
}

/// Reads a thread's name with its id, and the sum of its user and system time.
fn read_thread(path: &std::path::Path) -> Option<(String, Duration)> {
    let stat = std::fs::read_to_string(path.join("stat")).ok()?;
    let (head, rest) = stat.rsplit_once(") ")?;
    let fields: Vec<&str> = rest.split(' ').collect();
    let ticks: u32 = fields.get(11)?.parse::<u32>().ok()? + fields.get(12)?.parse::<u32>().ok()?;
    Some((format!("{head})"), TICK * ticks))
}
