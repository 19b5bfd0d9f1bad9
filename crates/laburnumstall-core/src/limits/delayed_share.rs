//! A share of an amount that all daemons use together within a window of time.

use std::time::Duration;

use crate::units::Timestamp;

/// Part of a share that a started process may use at once; the part of the limit that daemons leave
/// unused covers it.
const START_FRACTION: f64 = 0.1;

/// A daemon's share of an amount that all daemons use together within a window of time.
///
/// What a share gains may have been used already in the current window: by the daemon whose share
/// it was, or by the process that ran before on the same VM. So a share falls at once and rises a
/// whole window later, and a started process has a small part of it at first.
#[derive(Debug, Clone)]
pub struct DelayedShare {
    window: Duration,
    value: f64,
    /// Since when the share would be higher, and the lowest one since then.
    rising: Option<(Timestamp, f64)>,
}

impl DelayedShare {
    /// Creates the share of a process that has run for longer than a window; the first one that is
    /// set holds at once.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            value: f64::INFINITY,
            rising: None,
        }
    }

    /// Records when the process started.
    pub fn on_started(&mut self, now: Timestamp) {
        self.value = 0.0;
        self.rising = Some((now, f64::INFINITY));
    }

    /// Sets the length of the window.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    /// Sets the share by the number of daemons known now; returns the one that holds.
    pub fn update(&mut self, now: Timestamp, share: f64) -> f64 {
        if share <= self.value {
            self.value = share;
            self.rising = None;
            return share;
        }
        let (since, lowest) = self.rising.unwrap_or((now, share));
        let lowest = lowest.min(share);
        self.rising = Some((since, lowest));
        if now.since(since) >= self.window {
            self.value = lowest;
            self.rising = (share > lowest).then_some((now, share));
        }
        self.value.max(lowest * START_FRACTION)
    }
}
