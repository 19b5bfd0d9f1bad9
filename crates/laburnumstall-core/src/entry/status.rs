//! What an entry shows of itself: the directory, its members and its counts.

use std::sync::Arc;

use crate::domain;
use crate::entry::Entry;
use crate::ids::{AvailabilityZone, DaemonId, EndpointId, Revision};
use crate::membership::{Member, MemberState};
use crate::message::ConfigurationRecord;
use crate::resources::System;

domain! {
    /// An entry daemon as this one sees it.
    pub struct MemberStatus {
        /// The daemon.
        pub member: Member,
        /// Whether it takes work.
        pub state: MemberState,
        /// Revision that it has in force, as far as known.
        pub revision: Option<Revision>,
    }

    /// An endpoint as this daemon sees it.
    pub struct EndpointStatus {
        /// The endpoint.
        pub id: EndpointId,
        /// Its zone.
        pub zone: AvailabilityZone,
        /// Whether it gets no new work.
        pub is_leaving: bool,
        /// Whether it failed and has not shown life since.
        pub is_failed: bool,
        /// Attempts of this daemon there.
        pub in_flight: u32,
    }

    /// What an entry shows of itself.
    pub struct EntryStatus {
        /// This daemon.
        pub own: Member,
        /// Revision in force; zero if there is none.
        pub revision: Revision,
        /// Members that are not gone, this one first.
        pub members: Vec<MemberStatus>,
        /// Endpoints.
        pub endpoints: Vec<EndpointStatus>,
        /// Requests owned and not finished.
        pub owned: u32,
        /// Finished requests whose answers are kept.
        pub kept: u32,
        /// Copies kept for other daemons.
        pub copies: u32,
        /// Callers connected here.
        pub callers: u32,
        /// Whether this daemon leaves.
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

    /// Returns the revision in force; zero if there is none.
    pub fn revision(&self) -> Revision {
        self.adoption.revision()
    }

    /// Tells whether this daemon leaves.
    pub fn is_leaving(&self) -> bool {
        self.stopping.is_some()
    }

    /// Returns the system in force; empty if there is none.
    pub fn system(&self) -> &Arc<System> {
        &self.system
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&Arc<ConfigurationRecord>> {
        self.adoption.current()
    }

    /// Returns the daemons that callers should use, the best first.
    pub fn directory(&self) -> Vec<&Member> {
        self.membership.directory()
    }

    /// Returns every other daemon that is not gone; their certificates are pinned.
    pub fn peers(&self) -> Vec<&Member> {
        self.membership.reachable().collect()
    }

    /// Returns what the entry shows of itself.
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
        let endpoints = self.fleet.endpoints(&self.system);
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
