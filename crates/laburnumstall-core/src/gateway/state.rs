//! Updates of the gateway's state: configuration, store view, endpoints and peers.

use std::time::Duration;

use super::Gateway;
use super::endpoint_table::EndpointRecord;
use super::gossip::{GossipMessage, MemberRecord, daemon_hash};
use super::peer_message::PeerProtocol;
use super::rules::{RoutingRules, RoutingTable};
use super::view::ViewUpdate;
use crate::decision::{Decision, DecisionKind};
use crate::ids::{DaemonId, EndpointId, VmId};
use crate::membership::Member;
use crate::units::Timestamp;

/// Time after an outage in which a removed entry may have expired because of it.
const EXPIRY_DELAY: Duration = Duration::from_secs(1);
/// Interval, in gossip messages, at which the counts of all windows are sent: several times
/// before a report is due.
const FULL_COUNTS_INTERVAL: u64 = 4;

impl Gateway {
    /// Adopts a configuration if it is newer than the one in force; returns whether it was
    /// adopted.
    pub fn on_rules(&mut self, now: Timestamp, rules: RoutingRules) -> bool {
        let version = rules.version;
        self.rules_floor.on_stored(version);
        let is_newer = self
            .routing_table
            .as_ref()
            .is_none_or(|table| table.rules().version < version);
        let reason = if is_newer { "later" } else { "not-later" };
        let choice = if is_newer { "adopt" } else { "ignore" };
        self.journal.record(
            Decision::new(now, DecisionKind::Configuration, choice, reason)
                .with("version", version)
                .with("in_force", self.version())
                .with("routes", rules.routes.len())
                .with("customers", rules.customers().len())
                .with("needs_keys", rules.customers.is_some()),
        );
        if is_newer {
            self.quotas.set_customers(now, rules.customers());
            let resumable = rules.routes.iter().filter(|route| route.is_resumable);
            let longest_stream = resumable.map(|route| route.timeout).max();
            self.versions
                .set_longest_stream(longest_stream.unwrap_or_default());
            self.load_balancer.set_services(&rules.services);
            self.routing_table = Some(RoutingTable::new(rules));
        }
        is_newer
    }

    /// Records that a call sent at `sent` returned the current state of the key-value store.
    pub fn on_store_confirmed(&mut self, now: Timestamp, sent: Timestamp) {
        self.freshness.on_confirmed(now, sent);
        if self.store_ok_since.is_none() {
            self.store_ok_since = Some(now);
            self.journal.record(
                Decision::new(now, DecisionKind::Connection, "store", "answers")
                    .with("sent_ms_ago", now.since(sent).as_millis()),
            );
        }
    }

    /// Records a failed call to the key-value store.
    pub fn on_store_failure(&mut self, now: Timestamp, reason: &str) {
        self.freshness.on_failure(now);
        if self.store_ok_since.take().is_some() {
            let age = self.freshness.age(now).unwrap_or(Duration::MAX);
            self.journal.record(
                Decision::new(now, DecisionKind::Connection, "store", "fails")
                    .with("cause", reason)
                    .with("view_age_ms", age.as_millis()),
            );
        }
    }

    /// Applies an endpoint's entry.
    pub fn on_endpoint(&mut self, now: Timestamp, record: EndpointRecord) {
        self.note_end(now, &record);
        if self.endpoints.on_entry(now, record, &mut self.journal) {
            self.refresh_endpoints(now);
            self.observe_versions(now);
        }
    }

    /// Applies the removal of an endpoint's entry.
    pub fn on_endpoint_removed(&mut self, now: Timestamp, id: &EndpointId) {
        let is_after_outage = self.freshness.had_outage(now, EXPIRY_DELAY);
        if self
            .endpoints
            .on_removed(now, id, is_after_outage, &mut self.journal)
        {
            self.refresh_endpoints(now);
            self.observe_versions(now);
        }
    }

    /// Replaces the endpoints with a complete list.
    pub fn on_endpoints(&mut self, now: Timestamp, records: Vec<EndpointRecord>) {
        for record in &records {
            self.note_end(now, record);
        }
        let is_after_outage = self.freshness.had_outage(now, EXPIRY_DELAY);
        if self
            .endpoints
            .on_list(now, records, is_after_outage, &mut self.journal)
        {
            self.refresh_endpoints(now);
            self.observe_versions(now);
        }
        self.first_listed_at.get_or_insert(now);
        let are_marks_complete = self.are_marks_complete();
        self.versions.on_snapshot(now, are_marks_complete);
    }

    /// Applies the registration of a daemon.
    pub fn on_member(&mut self, now: Timestamp, member: Member) {
        if member.id == self.own {
            return;
        }
        for replaced in self.peer_table.on_registered(now, member) {
            self.quotas.remove_peer(&replaced);
        }
        self.update_member_count(now);
    }

    /// Applies the registration of a daemon, with what it decodes.
    pub fn on_member_record(&mut self, now: Timestamp, record: MemberRecord) {
        let id = record.member.id.clone();
        self.on_member(now, record.member);
        self.set_extension_support(&id, record.supports_extensions);
        self.set_quarantine_support(&id, record.supports_quarantine);
        self.set_peer_protocol(&id, record.protocol);
    }

    /// Applies the end of the registration of the daemon on a VM.
    pub fn on_vm_unregistered(&mut self, vm: &VmId) {
        let ids = self.peer_table.peers().map(|peer| &peer.member.id);
        let ids: Vec<DaemonId> = ids.filter(|id| id.vm == *vm).cloned().collect();
        for id in &ids {
            self.on_member_removed(id);
        }
    }

    /// Records the newest protocol that a daemon decodes.
    pub fn set_peer_protocol(&mut self, id: &DaemonId, protocol: PeerProtocol) {
        self.peer_table.set_protocol(id, protocol);
    }

    /// Applies the end of a daemon's registration.
    pub fn on_member_removed(&mut self, id: &DaemonId) {
        self.peer_table.on_unregistered(id);
    }

    /// Applies a gossip message from a peer.
    pub fn on_gossip(&mut self, now: Timestamp, from: &DaemonId, message: GossipMessage) {
        self.quotas.on_peer_usage(now, from, &message.quota_usage);
        self.usage.on_peer_counts(from, &message.started_requests);
        self.on_view_update(now, &message.view);
        if self.peer_table.on_gossip(now, from, message) {
            self.load_balancer
                .set_peer_work(self.peer_table.reachable(now));
        }
        self.update_member_count(now);
    }

    /// Returns the next gossip message; [`Gateway::gossip_for`] completes it for each peer.
    pub fn next_gossip(&mut self, now: Timestamp) -> GossipMessage {
        self.gossip_sequence += 1;
        self.view.on_gossip_sent(now, self.gossip_sequence);
        GossipMessage {
            sequence: self.gossip_sequence,
            is_ready: self.is_ready(now),
            loads: self.load_balancer.own_work(),
            quota_usage: self.quotas.own_usage(),
            started_requests: self.usage.own_counts(
                now,
                self.gossip_sequence.is_multiple_of(FULL_COUNTS_INTERVAL),
            ),
            demand: self.demand.all(),
            view: ViewUpdate::default(),
        }
    }

    /// Completes a gossip message for one peer.
    pub fn gossip_for(&self, to: &DaemonId, message: &GossipMessage) -> GossipMessage {
        let view = self.view.update_for(self.peer_table.echo(to));
        let decodes_members = self.peer_table.protocol(to) >= PeerProtocol::STORED_VERSIONS;
        GossipMessage {
            view: match decodes_members {
                true => view,
                false => view.without_members(),
            },
            ..message.clone()
        }
    }

    /// Removes expired counts, peers and endpoints, and updates the state that depends on the
    /// time.
    pub fn tick(&mut self, now: Timestamp) {
        self.usage.remove_expired(now);
        self.endpoints.forget_absent(now);
        self.load_balancer.forget_absent(now);
        self.origins.remove_expired(now);
        self.tick_quarantine(now);
        self.observe_new_processes(now);
        for expired in self.peer_table.remove_expired(now) {
            self.quotas.remove_peer(&expired);
            self.journal.record(
                Decision::new(
                    now,
                    DecisionKind::Membership,
                    "forgotten",
                    "silent-and-unregistered",
                )
                .with("daemon", expired),
            );
        }
        self.load_balancer
            .set_peer_work(self.peer_table.reachable(now));
        self.update_member_count(now);
        self.load_balancer.update_speeds(now, &mut self.journal);
        self.share_limits(now);
        let mut is_changed = self.endpoints.end_doubt(now, &mut self.journal);
        is_changed |= self.end_silent_limits(now);
        if let Some(outage_ended_at) = self.freshness.outage_ended_at(now) {
            let journal = &mut self.journal;
            is_changed |= self.endpoints.remove_expired(now, outage_ended_at, journal);
        }
        if is_changed {
            self.refresh_endpoints(now);
            self.observe_versions(now);
        }
    }

    /// Adapts the load balancer to changed endpoints.
    pub(super) fn refresh_endpoints(&mut self, now: Timestamp) {
        self.load_balancer.set_endpoints(now, &self.endpoints);
        self.reclaims.on_endpoints_changed();
        self.share_limits(now);
    }

    fn share_limits(&mut self, now: Timestamp) {
        let limits = self.endpoints.limits();
        if limits.is_empty() && !self.load_balancer.has_limits() {
            return;
        }
        let peers = self.peer_table.peers().map(|peer| &peer.member);
        let peers: Vec<u64> = peers
            .filter(|member| !member.leaving)
            .map(|member| daemon_hash(&member.id))
            .collect();
        let own = daemon_hash(&self.own);
        self.load_balancer.set_limits(now, &limits, own, &peers);
    }

    fn update_member_count(&mut self, now: Timestamp) {
        let reachable = 1 + self.peer_table.reachable(now).count() as u32;
        let all = 1 + self.peer_table.len() as u32;
        self.quotas.set_members(now, reachable, all);
        let allowance = self.update_retry_share(now);
        for window in self.retry_windows.values_mut() {
            window.set_allowance(allowance);
        }
    }
}
