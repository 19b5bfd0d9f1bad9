//! What a gateway believes of the configuration, the endpoints and the other daemons.

use std::time::Duration;

use super::Gateway;
use super::endpoint_table::EndpointRecord;
use super::gossip::GossipMessage;
use super::rules::{RoutingRules, RoutingTable};
use super::view::ViewUpdate;
use crate::decision::{Decision, DecisionKind};
use crate::ids::{DaemonId, EndpointId};
use crate::membership::Member;
use crate::units::Timestamp;

/// Time after an outage in which an entry that is gone may have lapsed in it.
const LAPSE_SEEN: Duration = Duration::from_secs(1);
/// One message of news in so many tells the counts of all windows: several times before a
/// report is due.
const FULL_NEWS: u64 = 4;

impl Gateway {
    /// Takes over a configuration unless a later one is in force; returns whether it was.
    pub fn on_rules(&mut self, now: Timestamp, rules: RoutingRules) -> bool {
        let version = rules.version;
        let is_later = self
            .table
            .as_ref()
            .is_none_or(|table| table.rules().version < version);
        let reason = if is_later { "later" } else { "not-later" };
        let choice = if is_later { "adopt" } else { "ignore" };
        self.journal.record(
            Decision::new(now, DecisionKind::Configuration, choice, reason)
                .with("version", version)
                .with("in_force", self.version())
                .with("routes", rules.routes.len())
                .with("customers", rules.customers.len()),
        );
        if is_later {
            self.quotas.set_customers(now, &rules.customers);
            self.table = Some(RoutingTable::new(rules));
        }
        is_later
    }

    /// Takes in that a call sent at `sent` showed the key-value service's present state.
    pub fn on_store_confirmed(&mut self, now: Timestamp, sent: Timestamp) {
        self.freshness.on_confirmed(now, sent);
        if self.steady_since.is_none() {
            self.steady_since = Some(now);
            self.journal.record(
                Decision::new(now, DecisionKind::Connection, "store", "answers")
                    .with("sent_ms_ago", now.since(sent).as_millis()),
            );
        }
    }

    /// Takes in that a call to the key-value service failed.
    pub fn on_store_failure(&mut self, now: Timestamp, reason: &str) {
        self.freshness.on_failure(now);
        if self.steady_since.take().is_some() {
            let age = self.freshness.age(now).unwrap_or(Duration::MAX);
            self.journal.record(
                Decision::new(now, DecisionKind::Connection, "store", "fails")
                    .with("cause", reason)
                    .with("view_age_ms", age.as_millis()),
            );
        }
    }

    /// Takes in an endpoint's entry.
    pub fn on_endpoint(&mut self, now: Timestamp, record: EndpointRecord) {
        if self.endpoints.on_entry(now, record, &mut self.journal) {
            self.load_balancer.set_endpoints(&self.endpoints);
        }
    }

    /// Takes in that an endpoint's entry is gone.
    pub fn on_endpoint_removed(&mut self, now: Timestamp, id: &EndpointId) {
        let is_unsteady = self.freshness.had_outage(now, LAPSE_SEEN);
        if self
            .endpoints
            .on_removed(now, id, is_unsteady, &mut self.journal)
        {
            self.load_balancer.set_endpoints(&self.endpoints);
        }
    }

    /// Takes over the list of all endpoints.
    pub fn on_endpoints(&mut self, now: Timestamp, records: Vec<EndpointRecord>) {
        let is_unsteady = self.freshness.had_outage(now, LAPSE_SEEN);
        if self
            .endpoints
            .on_list(now, records, is_unsteady, &mut self.journal)
        {
            self.load_balancer.set_endpoints(&self.endpoints);
        }
    }

    /// Takes in that a daemon is registered.
    pub fn on_member(&mut self, now: Timestamp, member: Member) {
        if member.id == self.own {
            return;
        }
        for replaced in self.peer_table.on_registered(now, member) {
            self.quotas.forget(&replaced);
        }
        self.count_members(now);
    }

    /// Takes in that a daemon's registration has ended.
    pub fn on_member_removed(&mut self, id: &DaemonId) {
        self.peer_table.on_unregistered(id);
    }

    /// Takes in what another daemon tells.
    pub fn on_gossip(&mut self, now: Timestamp, from: &DaemonId, message: GossipMessage) {
        self.quotas.on_spent(now, from, &message.quota_usage);
        self.usage.on_counts(from, &message.started_requests);
        self.on_view(now, &message.view);
        if self.peer_table.on_gossip(now, from, message) {
            self.load_balancer
                .set_peer_work(self.peer_table.reachable(now));
        }
        self.count_members(now);
    }

    /// Returns the news for the others; [`Gateway::gossip_for`] completes them for each.
    pub fn next_gossip(&mut self, now: Timestamp) -> GossipMessage {
        self.sequence += 1;
        self.view.on_news_sent(now, self.sequence);
        GossipMessage {
            sequence: self.sequence,
            is_ready: self.is_ready(now),
            loads: self.load_balancer.own_work(),
            quota_usage: self.quotas.spent(),
            started_requests: self
                .usage
                .own_counts(now, self.sequence.is_multiple_of(FULL_NEWS)),
            demand: self.demand.all(),
            view: ViewUpdate::default(),
        }
    }

    /// Completes news for the daemon that they are sent to.
    pub fn gossip_for(&self, to: &DaemonId, message: &GossipMessage) -> GossipMessage {
        GossipMessage {
            view: self.view.update_for(self.peer_table.echo(to)),
            ..message.clone()
        }
    }

    /// Carries out what is due by time.
    pub fn tick(&mut self, now: Timestamp) {
        self.usage.forget_old(now);
        for gone in self.peer_table.remove_expired(now) {
            self.quotas.forget(&gone);
            self.journal.record(
                Decision::new(
                    now,
                    DecisionKind::Membership,
                    "forgotten",
                    "silent-and-unregistered",
                )
                .with("daemon", gone),
            );
        }
        self.load_balancer
            .set_peer_work(self.peer_table.reachable(now));
        self.count_members(now);
        if let Some(steady_since) = self.steady_since
            && self
                .endpoints
                .drop_lapsed(now, steady_since, &mut self.journal)
        {
            self.load_balancer.set_endpoints(&self.endpoints);
        }
    }

    fn count_members(&mut self, now: Timestamp) {
        let heard = 1 + self.peer_table.reachable(now).count() as u32;
        let all = 1 + self.peer_table.len() as u32;
        self.quotas.set_members(now, heard, all);
        let allowance = self.bounds.retry_allowance / f64::from(all);
        for window in self.retries.values_mut() {
            window.set_allowance(allowance);
        }
    }
}
