//! Lowest configuration that daemons serve after the store came back from a copy.
//!
//! A daemon keeps the configuration in force when the copy's is older. A daemon that starts then,
//! or that had not read the newest configuration, cannot know of it. So those that do write its
//! version to the store, and a daemon below this floor refuses callers until the operators have
//! written again: the copy may allow keys that were withdrawn.

use super::Gateway;
use crate::decision::{Decision, DecisionKind};
use crate::ids::Revision;
use crate::units::Timestamp;

/// Versions of the configuration in the store.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RulesFloor {
    /// Lowest version that may be served.
    floor: Option<Revision>,
    /// Version that was read last, in force or not.
    stored: Option<Revision>,
}

impl RulesFloor {
    pub(super) fn on_stored(&mut self, version: Revision) {
        self.stored = Some(version);
    }

    /// Forgets what the store held before it came back from a copy.
    pub(super) fn on_store_restored(&mut self) {
        *self = Self::default();
    }
}

impl Gateway {
    /// Records the floor in the store; `None` if there is none.
    pub fn on_rules_floor(&mut self, now: Timestamp, floor: Option<Revision>) {
        if std::mem::replace(&mut self.rules_floor.floor, floor) == floor {
            return;
        }
        let choice = if self.is_below_floor() {
            "refuse"
        } else {
            "serve"
        };
        self.journal.record(
            Decision::new(now, DecisionKind::Configuration, choice, "floor")
                .with("floor", floor.unwrap_or_default())
                .with("in_force", self.version()),
        );
    }

    /// Returns the floor that this daemon has to write: the version in force, if the store's is
    /// older and this daemon is among those that read the store for the fleet.
    pub fn rules_floor_to_write(&self, now: Timestamp) -> Option<Revision> {
        let in_force = self.routing_table.as_ref()?.rules().version;
        let RulesFloor { floor, stored } = self.rules_floor;
        let is_needed = self.view.has_read()
            && stored.is_none_or(|stored| stored < in_force)
            && floor.is_none_or(|floor| floor < in_force);
        (is_needed && self.is_reader(now)).then_some(in_force)
    }

    /// Returns whether a later configuration was in force elsewhere.
    pub(super) fn is_below_floor(&self) -> bool {
        let floor = self.rules_floor.floor;
        floor.is_some_and(|floor| self.version() < floor.get())
    }
}
