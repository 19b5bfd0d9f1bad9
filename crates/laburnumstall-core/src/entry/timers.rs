//! Periodic work.

use std::time::Duration;

use crate::entry::Entry;
use crate::entry::finish::retention_of;
use crate::entry::owned::Phase;
use crate::ids::RequestId;
use crate::limits::SHARE_PERIOD;
use crate::message::Message;
use crate::units::Timestamp;

/// Interval between ticks.
pub const TICK_PERIOD: Duration = Duration::from_millis(20);

/// Interval between heartbeats to a peer.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

/// Interval between checks of the copies held for other daemons.
const COPY_CHECK_PERIOD: Duration = Duration::from_millis(500);

impl Entry {
    pub(super) fn on_tick(&mut self, now: Timestamp) {
        self.send_due_calls(now);
        self.tick_peers(now);
        self.tick_platform(now);
        self.quarantine.tick(now);
        let ids: Vec<RequestId> = self.active.iter().cloned().collect();
        for id in ids {
            self.tick_request(now, &id);
            self.deactivate_if_settled(&id);
        }
        self.expire_settled(now);
        if self.copies_check_at <= now {
            self.copies_check_at = now.after(COPY_CHECK_PERIOD);
            self.tick_copies(now);
            self.dispatched.retain(|_, deadline| *deadline > now);
        }
        self.tick_deferred_attaches(now);
        self.tick_lookups(now);
        self.tick_callers(now);
        self.tick_stop(now);
    }

    /// Stops ticking a finished request whose standby holds all of it.
    fn deactivate_if_settled(&mut self, id: &RequestId) {
        let Some(owned) = self.owned.get(id) else {
            self.active.remove(id);
            return;
        };
        let events = owned.record.events.len();
        let is_copied = owned
            .standby
            .as_ref()
            .is_none_or(|standby| standby.acked == Some(events));
        if let Phase::Done { at } = owned.phase
            && is_copied
        {
            let until = at.after(retention_of(owned));
            self.active.remove(id);
            self.settled.insert((until, id.clone()));
        }
    }

    /// Removes settled requests whose retention has ended.
    fn expire_settled(&mut self, now: Timestamp) {
        while let Some((until, _)) = self.settled.first()
            && *until <= now
            && let Some((_, id)) = self.settled.pop_first()
        {
            self.expire_done(now, &id);
        }
    }

    fn tick_request(&mut self, now: Timestamp, id: &RequestId) {
        self.check_deadline(now, id);
        self.check_standby(now, id);
        let Some(owned) = self.owned.get(id) else {
            return;
        };
        match &owned.phase {
            Phase::Accepting { until, .. } if *until <= now => self.on_accept_timeout(now, id),
            Phase::Withdrawing { .. } => self.finish_withdrawal(now, id),
            Phase::Replicating { until } if *until <= now => self.start_or_resume(now, id),
            Phase::Queued => self.check_queued(now, id),
            Phase::Waiting { retry_at } if *retry_at <= now => self.start_or_resume(now, id),
            Phase::Probing { until, .. } if *until <= now => self.start_or_resume(now, id),
            Phase::Running(_) => self.check_progress(now, id),
            _ => {}
        }
    }

    fn tick_peers(&mut self, now: Timestamp) {
        if self.heartbeat_at <= now {
            self.heartbeat_at = now.after(HEARTBEAT_PERIOD);
            let message = self.heartbeat();
            for to in self.membership.heartbeat_targets() {
                self.send(&to, message.clone());
            }
            self.assign_missing_standbys(now);
        }
        if self.limits_share_at <= now {
            self.limits_share_at = now.after(SHARE_PERIOD);
            let live = self.membership.live().count() as u32;
            self.limits.set_entries(now, live.max(1));
            let share = self.limits.share(now);
            self.send_to_all(&Message::Limits(share));
            for to in self.membership.heartbeat_targets() {
                self.send_suspicions(&to);
            }
        }
    }
}
