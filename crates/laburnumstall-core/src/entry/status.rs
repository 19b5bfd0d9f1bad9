//! Status of an entry: directory, members, endpoints and counts.

use std::sync::Arc;

use crate::domain;
use crate::entry::Entry;
use crate::ids::{AvailabilityZone, DaemonId, EndpointId, Revision};
use crate::membership::{Member, MemberState};
use crate::message::ConfigurationRecord;
use crate::resources::System;

domain! {
    /// An entry daemon as seen by this one.
    pub struct MemberStatus {
        /// The daemon.
        pub member: Member,
        /// Membership state of the daemon.
        pub state: MemberState,
        /// Active configuration revision of the daemon, if known.
        pub revision: Option<Revision>,
    }

    /// An endpoint as seen by this daemon.
    pub struct EndpointStatus {
        /// The endpoint.
        pub id: EndpointId,
        /// Its zone.
        pub zone: AvailabilityZone,
        /// Whether it receives no new work.
        pub is_leaving: bool,
        /// Whether it failed and has not answered since.
        pub is_failed: bool,
        /// Number of this daemon's in-flight attempts on the endpoint.
        pub in_flight: u32,
    }

    /// Status of an entry.
    pub struct EntryStatus {
        /// This daemon.
        pub own: Member,
        /// Active configuration revision; zero if there is none.
        pub revision: Revision,
        /// This daemon, then its reachable peers.
        pub members: Vec<MemberStatus>,
        /// Known endpoints.
        pub endpoints: Vec<EndpointStatus>,
        /// Number of unfinished requests that this daemon owns.
        pub owned: u32,
        /// Number of finished requests whose answers are retained.
        pub kept: u32,
        /// Number of copies held for other daemons.
        pub copies: u32,
        /// Number of connected callers.
        pub callers: u32,
        /// Whether this daemon is leaving.
        pub is_leaving: bool,
        /// Whether the last call to the key-value service was answered.
        pub is_store_reachable: bool,
    }
}

impl Entry {
    /// Returns the identity of this daemon.
    pub fn own(&self) -> &DaemonId {
        &self.own
    }

    /// Returns the active configuration revision; zero if there is none.
    pub fn revision(&self) -> Revision {
        self.adoption.revision()
    }

    /// Returns whether this daemon is leaving.
    pub fn is_leaving(&self) -> bool {
        self.stopping.is_some()
    }

    /// Returns the active configuration's system; empty if there is none.
    pub fn system(&self) -> &Arc<System> {
        &self.system
    }

    /// Returns the active configuration.
    pub fn configuration(&self) -> Option<&Arc<ConfigurationRecord>> {
        self.adoption.current()
    }

    /// Returns the daemons that callers should use, in order of preference.
    pub fn directory(&self) -> Vec<&Member> {
        self.membership.directory()
    }

    /// Returns the reachable peers; their certificates are pinned.
    pub fn peers(&self) -> Vec<&Member> {
        self.membership.reachable().collect()
    }

    /// Returns the status of the entry.
    pub fn status(&self) -> EntryStatus {
        let unfinished = self.owned.values().filter(|owned| !owned.is_done()).count();
        EntryStatus {
            own: self.membership.own().clone(),
            revision: self.adoption.revision(),
            members: self.member_statuses(),
            endpoints: self.endpoint_statuses(),
            owned: unfinished as u32,
            kept: (self.owned.len() - unfinished) as u32,
            copies: self.copies.len() as u32,
            callers: self.callers.len() as u32,
            is_leaving: self.stopping.is_some(),
            is_store_reachable: self.is_store_reachable,
        }
    }

    fn member_statuses(&self) -> Vec<MemberStatus> {
        let own = self.membership.own();
        let members = std::iter::once(own).chain(self.membership.reachable());
        let statuses = members.map(|member| MemberStatus {
            state: self
                .membership
                .state(&member.id)
                .unwrap_or(MemberState::Gone),
            revision: if member.id == self.own {
                Some(self.adoption.revision())
            } else {
                self.configuration_sync.peer_revision(&member.id)
            },
            member: member.clone(),
        });
        statuses.collect()
    }

    fn endpoint_statuses(&self) -> Vec<EndpointStatus> {
        let endpoints = self.endpoint_table.endpoints(&self.system);
        let statuses = endpoints.into_iter().map(|endpoint| EndpointStatus {
            is_leaving: self.router.is_leaving(&endpoint.id),
            is_failed: self.router.is_failed(&endpoint.id),
            in_flight: self.router.in_flight(&endpoint.id).count() as u32,
            id: endpoint.id,
            zone: endpoint.zone,
        });
        statuses.collect()
    }
}
