//! Values with the time they were taken, for figures that are shown late.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Values that are kept.
const MAX_VALUES: usize = 4_096;

/// The last values, oldest first.
pub(crate) struct History<T>(VecDeque<(Instant, T)>);

impl<T> Default for History<T> {
    fn default() -> Self {
        Self(VecDeque::new())
    }
}

impl<T: Clone> History<T> {
    pub(crate) fn push(&mut self, now: Instant, value: T) {
        self.0.push_back((now, value));
        if self.0.len() > MAX_VALUES {
            self.0.pop_front();
        }
    }

    /// Returns the values that are at least as old as `lag`, oldest first.
    pub(crate) fn shown(&self, now: Instant, lag: Duration) -> impl DoubleEndedIterator<Item = &T> {
        let is_shown = move |at: &Instant| now.duration_since(*at) >= lag;
        let values = self.0.iter().filter(move |(at, _)| is_shown(at));
        values.map(|(_, value)| value)
    }

    pub(crate) fn oldest(&self) -> Option<&T> {
        self.0.front().map(|(_, value)| value)
    }
}
