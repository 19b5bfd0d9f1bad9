//! What daemons tell each other of rollouts.

use std::net::SocketAddr;
use std::time::Duration;

use super::evidence::RolloutEvidence;
use super::{FROM_PEER, Rollout, RolloutPhase, millis};
use crate::gateway::Gateway;
use crate::gateway::gossip::{Peer, rank_peers};
use crate::gateway::peer_message::PeerProtocol;
use crate::gateway::send_budget::FULL_RATE_DAEMONS;
use crate::hash::digest64;
use crate::ids::{DaemonId, ServiceName};
use crate::units::Timestamp;

/// Longest time between two messages of a daemon that has something new to tell.
const MAX_PERIOD: Duration = Duration::from_secs(1);
/// Messages within the time after which a bad version may get no call.
const MESSAGES_IN_ROLLBACK: u32 = 5;
/// The same in the largest fleets.
const MIN_MESSAGES_IN_ROLLBACK: u32 = 2;
/// Peers that are told in fleets in which not all are.
const COLLECTORS: usize = 8;
/// Times that a stop is told to all peers: a message may be lost with its link.
const STOP_MESSAGES: u32 = 3;
/// Periods after which what a peer reported is too old.
const MAX_REPORT_PERIODS: u32 = 3;

/// Message to several peers.
#[derive(Debug, Clone, PartialEq)]
pub struct EvidenceBroadcast {
    /// Peers, with their addresses.
    pub peers: Vec<(DaemonId, SocketAddr)>,
    /// What to send to each of them.
    pub evidence: RolloutEvidence,
}

/// What is to be sent.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SendState {
    /// Whether counts have changed since the last message.
    pub(super) is_changed: bool,
    /// Whether those of the new version have.
    pub(super) is_new_changed: bool,
    /// Whether a message is due, whenever the last one was sent.
    pub(super) is_due: bool,
    sent_at: Option<Timestamp>,
    /// Messages to all peers about a stop that are left.
    stop_messages: u32,
}

impl SendState {
    pub(super) fn on_stop(&mut self) {
        self.is_due = true;
        self.stop_messages = STOP_MESSAGES;
    }
}

impl Gateway {
    /// Judges the versions whose counts have changed, and returns the messages about rollouts that are
    /// due. Called several times a second.
    pub fn take_rollout_evidence(&mut self, now: Timestamp) -> Vec<EvidenceBroadcast> {
        let period = self.evidence_period();
        let daemons = 1 + self.peer_table.len();
        let is_small = daemons <= FULL_RATE_DAEMONS;
        let mut broadcasts = Vec::new();
        for (service, rollout) in &mut self.rollouts.services {
            rollout.judge(now, service, &mut self.journal);
            let sending = &mut rollout.sending;
            let is_moving = rollout.phase == Some(RolloutPhase::Moving) && is_small;
            // In a large fleet few daemons have calls at the new version, and tell of both sides.
            let has_news = match is_small {
                true => sending.is_changed,
                false => sending.is_new_changed,
            };
            let is_changed = has_news || sending.stop_messages > 0 || is_moving;
            let is_time = sending.sent_at.is_none_or(|at| now.since(at) >= period);
            // A new state is no news for a large fleet: each daemon reads it from the store.
            let is_due = sending.is_due && (is_small || sending.stop_messages > 0);
            let may_send = is_due || is_changed && is_time;
            if !may_send {
                continue;
            }
            let peers = self.peer_table.reachable(now).filter(decodes);
            let is_to_all = is_small || sending.stop_messages > 0;
            let count = if is_to_all { daemons } else { COLLECTORS };
            let key = digest64(&[service.as_str().as_bytes()]);
            let peers = rank_peers(peers, key, count);
            *sending = SendState {
                sent_at: Some(now),
                stop_messages: sending.stop_messages.saturating_sub(1),
                ..SendState::default()
            };
            if !peers.is_empty() {
                let evidence = rollout.evidence(now, service);
                broadcasts.push(EvidenceBroadcast { peers, evidence });
            }
        }
        broadcasts
    }

    /// Applies what a peer says of a rollout.
    pub fn on_rollout_evidence(
        &mut self,
        now: Timestamp,
        from: &DaemonId,
        mut update: RolloutEvidence,
    ) {
        let service = update.service.clone();
        let Some(rollout) = self.rollouts.services.get_mut(&service) else {
            return;
        };
        if rollout.order.id != update.order {
            return;
        }
        let journal = &mut self.journal;
        rollout.on_elapsed(now, update.elapsed_ms);
        if let Some(phase) = update.phase {
            rollout.on_phase(now, &service, phase, FROM_PEER, journal);
        }
        let finding = update.finding.take();
        rollout.fleet.on_peer(now, from, update);
        rollout.needs_judgement = true;
        if let Some(finding) = finding
            && rollout.finding.is_none()
            && rollout.is_open()
        {
            rollout.stop(now, &service, finding, FROM_PEER, journal);
            // The peer that found it tells all.
            rollout.sending = SendState::default();
        }
    }

    /// Returns whether all daemons have reported lately that they have no call at an old version.
    pub(super) fn is_old_idle(&self, now: Timestamp, rollout: &Rollout) -> bool {
        let max_age = self.evidence_period() * MAX_REPORT_PERIODS;
        let is_idle = |peer: &Peer| {
            let report = rollout.fleet.peer(&peer.member.id);
            report.is_some_and(|report| {
                now.since(report.heard_at) <= max_age
                    && report.last.phase == Some(RolloutPhase::Moving)
                    && report.last.old_in_flight == 0
            })
        };
        rollout.old_in_flight == 0 && self.peer_table.peers().all(is_idle)
    }

    /// Returns the shortest time between two messages about a rollout.
    fn evidence_period(&self) -> Duration {
        let rollback = self.bounds.rollout.map(|bounds| bounds.rollback);
        let rollback = rollback.unwrap_or(MAX_PERIOD * MESSAGES_IN_ROLLBACK);
        let period = MAX_PERIOD.min(rollback / MESSAGES_IN_ROLLBACK);
        let longest = rollback / MIN_MESSAGES_IN_ROLLBACK;
        self.peer_table
            .gossip_period()
            .clamp(period, longest.max(period))
    }
}

impl Rollout {
    fn evidence(&self, now: Timestamp, service: &ServiceName) -> RolloutEvidence {
        RolloutEvidence {
            service: service.clone(),
            order: self.order.id,
            elapsed_ms: millis(self.elapsed(now)),
            phase: self.phase,
            finding: self.finding.clone(),
            old_in_flight: self.old_in_flight,
            routes: self.own.clone(),
        }
    }
}

fn decodes(peer: &&Peer) -> bool {
    peer.protocol >= PeerProtocol::SHARED_LOAD
}
