//! Which entries to call, as the system says it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Deserialize;

/// Time that a directory is kept when it could not be read.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Path of the directory.
pub(crate) const DIRECTORY_PATH: &str = "/v1/entries";

/// An entry of the directory.
#[derive(Debug, Deserialize)]
struct DirectoryEntry {
    address: SocketAddr,
}

/// The directory as a daemon gives it.
#[derive(Debug, Deserialize)]
pub(crate) struct DirectoryAnswer {
    entries: Vec<DirectoryEntry>,
    max_age_seconds: u64,
}

/// The entries that are known, and until when they can be used.
#[derive(Debug)]
pub(crate) struct Directory {
    seeds: Vec<SocketAddr>,
    entries: Vec<SocketAddr>,
    valid_until: Option<Instant>,
}

impl Directory {
    /// Starts with the addresses that were given.
    pub(crate) fn new(seeds: &[SocketAddr]) -> Self {
        Self {
            seeds: seeds.to_vec(),
            entries: seeds.to_vec(),
            valid_until: None,
        }
    }

    /// Tells whether the directory must be read again.
    pub(crate) fn is_stale(&self, now: Instant) -> bool {
        self.valid_until.is_none_or(|until| now >= until)
    }

    /// Takes over an answer.
    pub(crate) fn update(&mut self, now: Instant, answer: &DirectoryAnswer) {
        let entries: Vec<SocketAddr> = answer.entries.iter().map(|entry| entry.address).collect();
        if !entries.is_empty() {
            self.entries = entries;
        }
        self.valid_until = Some(now + Duration::from_secs(answer.max_age_seconds));
    }

    /// Keeps what is known for a short time after a failure to read.
    pub(crate) fn keep(&mut self, now: Instant) {
        self.valid_until = Some(now + RETRY_AFTER);
    }

    /// Marks the directory as stale, because an entry of it failed.
    pub(crate) fn distrust(&mut self) {
        self.valid_until = None;
    }

    /// Returns the addresses at which the directory can be read.
    pub(crate) fn sources(&self) -> Vec<SocketAddr> {
        let mut sources = self.entries.clone();
        let others = self
            .seeds
            .iter()
            .filter(|seed| !self.entries.contains(seed));
        sources.extend(others);
        sources
    }

    /// Returns the entry for a turn; consecutive turns go to different entries.
    pub(crate) fn pick(&self, turn: u64) -> Option<SocketAddr> {
        let count = self.entries.len() as u64;
        let index = turn.checked_rem(count)?;
        self.entries.get(index as usize).copied()
    }
}
