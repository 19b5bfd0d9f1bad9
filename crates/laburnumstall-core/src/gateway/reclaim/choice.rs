//! What becomes of one run on an endpoint that ends soon.

use std::time::Duration;

use crate::units::{Bytes, Timestamp};

/// Time left after the expected end of a run that counts on finishing, besides a tenth of the
/// expected time: several events of a typical stream.
const FINISH_MARGIN: Duration = Duration::from_millis(100);
/// Time for the requests and responses of a move, besides the transfer.
const EXCHANGE_TIME: Duration = Duration::from_millis(40);
/// Length of the window in which copies begin, relative to the time that the link takes for them:
/// at half of its rate, copies rarely wait for each other.
const WINDOW_FACTOR: f64 = 2.0;
/// Factor on the time of transfers between zones.
const CROSS_ZONE_FACTOR: u32 = 2;

/// What is expected of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunOutlook {
    /// Highest size of its KV cache.
    pub size: Bytes,
    /// Time until its stream ends.
    pub remaining: Duration,
    /// Part of its events that have come, from 0 to 1.
    pub done: f64,
    /// When its copy was to begin, if that was chosen before.
    pub begins_at: Option<Timestamp>,
    /// Time to prefill its tokens at another endpoint.
    pub recompute: Duration,
}

/// Endpoint that ends soon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SourceOutlook {
    /// When this daemon learned that it leaves.
    pub since: Timestamp,
    /// When it ends.
    pub ends_at: Timestamp,
    /// Runs there, of all daemons.
    pub runs: u32,
}

/// Link between the source and the destination of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MoveLink {
    /// Bytes per second.
    pub rate: u64,
    /// Whether the destination is in another zone.
    pub is_cross_zone: bool,
}

/// What to do with a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReclaimChoice {
    /// It ends in time where it is.
    Finish,
    /// Its KV cache is copied, from this time on.
    Move(Timestamp),
    /// It stays where it is, for this reason, and is resumed elsewhere once it is cut.
    Stay(&'static str),
}

impl ReclaimChoice {
    /// Returns the choice and its reason for the log.
    pub fn names(self) -> (&'static str, &'static str) {
        match self {
            Self::Finish => ("finish", "ends-in-time"),
            Self::Move(_) => ("move", "cheapest"),
            Self::Stay(reason) => ("stay", reason),
        }
    }
}

impl MoveLink {
    /// Returns the time that `size` takes on an idle link.
    pub fn transfer_time(self, size: Bytes) -> Duration {
        let time = size.get() as f64 / self.rate.max(1) as f64;
        let time = Duration::try_from_secs_f64(time).unwrap_or(Duration::MAX);
        match self.is_cross_zone {
            true => time.saturating_mul(CROSS_ZONE_FACTOR),
            false => time,
        }
    }
}

/// Chooses what to do with a run; `link` leads to the destination that it would move to.
pub fn choose(
    now: Timestamp,
    run: &RunOutlook,
    source: &SourceOutlook,
    link: Option<MoveLink>,
) -> ReclaimChoice {
    let left = source.ends_at.since(now);
    if run.remaining.saturating_add(run.remaining / 10) + FINISH_MARGIN <= left {
        return ReclaimChoice::Finish;
    }
    let Some(link) = link else {
        return ReclaimChoice::Stay("no-destination");
    };
    let transfer = link.transfer_time(run.size);
    if transfer > run.recompute {
        return ReclaimChoice::Stay("slow-link");
    }
    let latest = left.checked_sub(transfer + EXCHANGE_TIME);
    let Some(latest) = latest.map(|spare| now.after(spare)) else {
        return ReclaimChoice::Stay("no-time");
    };
    // The order among runs would be lost if each began later the more it has done meanwhile.
    let begin = run.begins_at.unwrap_or_else(|| {
        let window = window(run, source, transfer).min(latest.since(source.since));
        source.since.after(window.mul_f64(run.done.clamp(0.0, 1.0)))
    });
    ReclaimChoice::Move(begin.min(latest).max(now))
}

/// Returns the time in which the copies of all runs of an endpoint begin. Those that have too few
/// events left to outlast the notice are not copied.
fn window(run: &RunOutlook, source: &SourceOutlook, transfer: Duration) -> Duration {
    let notice = source.ends_at.since(source.since).as_secs_f64();
    let whole_run = run.remaining.as_secs_f64() / (1.0 - run.done).max(0.01);
    let outlasting = (1.0 - notice / whole_run.max(0.001)).max(0.0);
    let copies = f64::from(source.runs) * outlasting;
    let window = transfer.as_secs_f64() * copies * WINDOW_FACTOR;
    Duration::try_from_secs_f64(window).unwrap_or(Duration::MAX)
}

/// Returns how many transfers of a source this daemon may have in progress, of those that its link
/// takes within half of the longest `pause`.
pub fn transfer_share(pause: Duration, transfer: Duration, own_runs: u32, runs: u32) -> u32 {
    let at_once = pause.as_secs_f64() / 2.0 / transfer.as_secs_f64().max(1e-6);
    let share = at_once * f64::from(own_runs) / f64::from(runs.max(1));
    // The conversion saturates.
    (share as u32).max(1)
}
