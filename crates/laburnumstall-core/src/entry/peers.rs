//! Messages from peers, and changes of the membership.

use crate::entry::Entry;
use crate::entry::action::Action;
use crate::entry::copies::AppendBatch;
use crate::entry::event::LinkEvent;
use crate::ids::{DaemonId, RequestId, Revision};
use crate::membership::{Evidence, Member, MemberDigest, MemberEvent, MemberState};
use crate::message::{CallerRef, Message};
use crate::routing::Peer;
use crate::units::Timestamp;

impl Entry {
    pub(super) fn heartbeat(&self) -> Message {
        Message::Heartbeat {
            member: self.membership.own().clone(),
            revision: self.adoption.revision(),
            digest: self.membership.digest(),
        }
    }

    pub(super) fn on_message(&mut self, now: Timestamp, from: DaemonId, message: Message) {
        match message {
            Message::Heartbeat {
                member,
                revision,
                digest,
            } => self.on_heartbeat(now, &from, &member, revision, &digest),
            Message::Goodbye => self.on_evidence(now, &from, Evidence::Goodbye),
            Message::Copy(record) => self.on_copy(now, &from, *record),
            Message::Append {
                id,
                epoch,
                from: index,
                events,
                attempts,
                location,
            } => {
                let appended = AppendBatch {
                    id,
                    epoch,
                    from: index,
                    events,
                    attempts,
                    location,
                };
                self.on_append(now, &from, appended);
            }
            Message::CopyAck { id, epoch, through } => {
                self.on_copy_ack(now, &from, &id, epoch, through);
            }
            Message::CopyRefused { id, epoch, refusal } => {
                self.on_copy_refused(now, &from, &id, epoch, refusal);
            }
            Message::Drop { id, epoch } => self.on_drop(&from, &id, epoch),
            Message::DropAck { id, epoch } => self.on_drop_ack(now, &from, &id, epoch),
            Message::HandOver { id, epoch, callers } => {
                self.on_hand_over(now, &from, &id, epoch, callers);
            }
            Message::TakenOver { id, epoch } => self.on_taken_over(now, &from, &id, epoch),
            Message::Locate { token, target } => self.on_locate(&from, token, &target),
            Message::LocateAnswer { token, found } => {
                self.on_locate_answer(now, &from, token, found);
            }
            other => self.on_other_message(now, from, other),
        }
    }

    fn on_other_message(&mut self, now: Timestamp, from: DaemonId, message: Message) {
        match message {
            Message::Attach {
                caller,
                id,
                customer,
                position,
            } => {
                let caller = CallerRef {
                    daemon: from,
                    caller,
                };
                self.attach_caller(now, caller, id, customer, position);
            }
            Message::Detach { caller, id } => {
                let caller = CallerRef {
                    daemon: from,
                    caller,
                };
                self.unsubscribe(&caller, id.as_ref());
            }
            Message::Forward { caller, request } => {
                let caller = CallerRef {
                    daemon: from,
                    caller,
                };
                self.handle_request(now, caller, request);
            }
            Message::Deliver { caller, delivery } => {
                self.on_deliver(now, &from, caller, delivery);
            }
            Message::Suspect(suspicion) => self.on_suspect(now, &from, &suspicion),
            Message::Limits(share) => self.limits.on_share(now, &from, &share),
            Message::Loads(reports) => self.on_loads(now, reports),
            Message::LoadDigest(digest) => self.on_load_digest(now, &digest),
            Message::Subscribe(endpoints) => self.on_subscribe(now, &from, &endpoints),
            Message::EndpointRefused { endpoint } => self.on_endpoint_refused(now, endpoint),
            Message::EndpointLeaving { endpoint, deadline } => {
                self.on_endpoint_leaving(now, &endpoint, deadline);
            }
            Message::Drain => self.on_stop(now, None),
            Message::PullConfiguration { known } => self.push_configuration(&from, known.as_ref()),
            Message::PushChanges(changes) => self.on_pushed_changes(now, &from, &changes),
            Message::PushConfiguration(record) => self.adopt(now, *record, from.vm.as_str()),
            _ => {}
        }
    }

    fn on_heartbeat(
        &mut self,
        now: Timestamp,
        from: &DaemonId,
        member: &Member,
        revision: Revision,
        digest: &MemberDigest,
    ) {
        if member.id != *from {
            return;
        }
        if self.membership.member(from).is_none() {
            self.membership
                .on_introduction(now, member, &mut self.journal);
        }
        let evidence = match member.leaving {
            true => Evidence::HeartbeatLeaving,
            false => Evidence::Heartbeat,
        };
        self.on_evidence(now, from, evidence);
        self.membership
            .on_digest(now, from, digest, &mut self.journal);
        self.configuration_sync.record_peer_revision(from, revision);
        if revision > self.adoption.revision() {
            let known = self.adoption.current_id();
            self.send(from, Message::PullConfiguration { known });
        }
    }

    pub(super) fn on_evidence(&mut self, now: Timestamp, daemon: &DaemonId, evidence: Evidence) {
        self.membership
            .on_evidence(now, daemon, evidence, &mut self.journal);
    }

    pub(super) fn on_link(&mut self, now: Timestamp, daemon: &DaemonId, event: &LinkEvent) {
        match event {
            LinkEvent::Refused => {
                self.on_evidence(now, daemon, Evidence::Refused);
                self.probe_peer(daemon);
            }
            LinkEvent::Silent => self.probe_peer(daemon),
            LinkEvent::ProbeAnswered => {
                self.on_evidence(now, daemon, Evidence::Heartbeat);
                self.actions.push(Action::ReplaceLink {
                    daemon: daemon.clone(),
                });
                self.resend_copies(now, daemon);
                self.send_suspicions(daemon);
            }
            LinkEvent::ProbeSilent => self.on_evidence(now, daemon, Evidence::Silent),
        }
    }

    /// Probes a peer on a new connection.
    pub(super) fn probe_peer(&mut self, daemon: &DaemonId) {
        let is_gone = self.membership.state(daemon) == Some(MemberState::Gone);
        let Some(member) = self.membership.member(daemon) else {
            return;
        };
        if is_gone {
            return;
        }
        self.actions.push(Action::ProbePeer {
            daemon: daemon.clone(),
            address: member.peer_address,
        });
    }

    /// Resends full records to a standby whose link was replaced: messages may have been lost.
    fn resend_copies(&mut self, now: Timestamp, standby: &DaemonId) {
        let affected: Vec<RequestId> = self
            .owned
            .iter()
            .filter(|(_, owned)| {
                let daemon = owned.standby.as_ref();
                daemon.is_some_and(|current| {
                    current.daemon == *standby && current.acked != Some(owned.record.events.len())
                })
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in affected {
            self.send_copy(now, &id, standby.clone());
        }
    }

    /// Handles the membership changes since the last event.
    pub(super) fn apply_membership_changes(&mut self, now: Timestamp) {
        for event in self.membership.tick(now, &mut self.journal) {
            self.watching.check_soon();
            match event {
                MemberEvent::Joined(member) => self.on_joined(&member),
                MemberEvent::Leaving(daemon) => self.replace_standbys_at(now, &daemon, "leaving"),
                MemberEvent::Gone(daemon, _) => self.on_gone(now, &daemon),
                MemberEvent::Returned(_) => {}
            }
        }
    }

    fn on_joined(&mut self, member: &Member) {
        if member.id != self.own {
            let heartbeat = self.heartbeat();
            self.send(&member.id, heartbeat);
            self.send_suspicions(&member.id);
            self.refresh_router_peers();
        }
    }

    fn on_gone(&mut self, now: Timestamp, daemon: &DaemonId) {
        self.configuration_sync.remove_peer(daemon);
        self.watching.on_gone(daemon);
        self.quarantine.remove_peer(daemon);
        self.refresh_router_peers();
        // Requests that lost their copy come first, in case another daemon is lost next.
        self.replace_standbys_at(now, daemon, "gone");
        self.tick_copies(now);
        self.drop_subscribers_at(daemon);
        self.reattach_callers_of(now, daemon);
    }

    /// Updates the peers with which the router shares the endpoints.
    fn refresh_router_peers(&mut self) {
        let peers: Vec<Peer> = self
            .membership
            .reachable()
            .map(|member| Peer {
                daemon: member.id.clone(),
                zone: member.zone.clone(),
            })
            .collect();
        self.router.set_peers(&peers);
    }

    fn replace_standbys_at(&mut self, now: Timestamp, daemon: &DaemonId, reason: &str) {
        let affected: Vec<RequestId> = self
            .owned
            .iter()
            .filter(|(_, owned)| {
                let standby = owned.standby.as_ref();
                standby.is_some_and(|standby| standby.daemon == *daemon)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in affected {
            self.replace_standby(now, &id, reason);
        }
    }

    fn drop_subscribers_at(&mut self, daemon: &DaemonId) {
        for owned in self.owned.values_mut() {
            owned
                .subscribers
                .retain(|subscriber| subscriber.caller.daemon != *daemon);
        }
    }
}
