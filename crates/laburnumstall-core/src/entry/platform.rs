//! Platform events and key-value replies: VM lists, reclaim notices and drains.

use std::time::Duration;

use crate::cloud::ReclaimNotice;
use crate::decision::DecisionKind;
use crate::entry::Entry;
use crate::entry::owned::{OwnedRequest, Phase};
use crate::entry::state::CallPurpose;
use crate::ids::{CallId, EndpointId, RequestId, VmId};
use crate::message::Message;
use crate::resources::Vm;
use crate::store::StoreOutcome;
use crate::units::Timestamp;

/// Time before an endpoint's VM is reclaimed at which its streams are moved.
const MOVE_MARGIN: Duration = Duration::from_millis(1_500);

impl Entry {
    pub(super) fn on_store(&mut self, now: Timestamp, call: CallId, outcome: StoreOutcome) {
        let Some(purpose) = self.store_calls.remove(&call) else {
            return;
        };
        self.is_store_reachable = outcome.is_ok();
        match purpose {
            CallPurpose::Claims(shard) => self.claims.on_store(now, shard, outcome),
            CallPurpose::Registry => self.on_registered(now, &outcome),
            CallPurpose::Members => self.on_members(now, outcome),
            CallPurpose::ConfigurationHeadRead => self.on_configuration_head_read(now, outcome),
            CallPurpose::ConfigurationHeadWatch => self.on_configuration_head_changes(now, outcome),
            CallPurpose::ConfigurationHeadSwap => self.on_configuration_head_swap(now, outcome),
            CallPurpose::ConfigurationRecordRead => self.on_configuration_record_read(now, outcome),
            CallPurpose::ConfigurationRecordWrite => {
                self.on_configuration_record_written(now, &outcome)
            }
            CallPurpose::Deregister => {}
        }
    }

    pub(super) fn on_vms(&mut self, now: Timestamp, vms: &[Vm]) {
        self.membership.on_vms(now, vms, &mut self.journal);
        self.endpoint_table.set_vms(vms);
        self.refresh_endpoints(now);
        for leaving in self.endpoint_table.leaving() {
            self.on_endpoint_leaving(now, &leaving.endpoint, Some(leaving.deadline));
        }
    }

    pub(super) fn refresh_endpoints(&mut self, now: Timestamp) {
        let endpoints = self.endpoint_table.endpoints(&self.system);
        self.router.set_endpoints(now, endpoints);
    }

    pub(super) fn on_notice(&mut self, now: Timestamp, notice: &ReclaimNotice) {
        if notice.vm == self.own.vm {
            self.on_stop(now, Some(notice.deadline));
            return;
        }
        self.membership.on_notice(now, notice, &mut self.journal);
        if let Some(endpoint) = self.endpoint_table.endpoint_on(&notice.vm) {
            let deadline = Some(notice.deadline);
            let is_new = !self.router.is_leaving(&endpoint);
            self.on_endpoint_leaving(now, &endpoint, deadline);
            if is_new {
                self.send_to_all(&Message::EndpointLeaving { endpoint, deadline });
            }
        }
    }

    /// Drains a VM: an entry begins a planned stop, an endpoint receives no new work.
    pub(super) fn on_drain(&mut self, now: Timestamp, vm: &VmId) {
        if *vm == self.own.vm {
            self.on_stop(now, None);
            return;
        }
        let daemon = self
            .membership
            .reachable()
            .find(|member| member.id.vm == *vm)
            .map(|member| member.id.clone());
        if let Some(daemon) = daemon {
            self.send(&daemon, Message::Drain);
        }
        if let Some(endpoint) = self.endpoint_table.endpoint_on(vm) {
            self.on_endpoint_leaving(now, &endpoint, None);
            let deadline = None;
            self.send_to_all(&Message::EndpointLeaving { endpoint, deadline });
        }
    }

    /// Stops sending new work to an endpoint; its streams finish or move before the deadline.
    pub(super) fn on_endpoint_leaving(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        deadline: Option<Timestamp>,
    ) {
        if !self.router.is_leaving(endpoint) {
            self.quarantine.on_reclaim(now, endpoint, &mut self.journal);
        }
        self.router
            .mark_leaving(now, endpoint, deadline, &mut self.journal);
        if let Some(deadline) = deadline {
            self.leaving_endpoints.insert(endpoint.clone(), deadline);
        }
    }

    pub(super) fn tick_platform(&mut self, now: Timestamp) {
        self.tick_registry(now);
        self.tick_configuration(now);
        self.move_streams(now);
        self.tick_watching(now);
    }

    /// Moves the streams of endpoints whose VMs are about to be reclaimed.
    ///
    /// A stream stays as long as possible: the tokens generated meanwhile cost nothing extra,
    /// and it may end before the deadline.
    fn move_streams(&mut self, now: Timestamp) {
        let is_due = |deadline: &Timestamp| now.after(MOVE_MARGIN) >= *deadline;
        let due: Vec<EndpointId> = self
            .leaving_endpoints
            .iter()
            .filter(|(_, deadline)| is_due(deadline))
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        for endpoint in due {
            self.leaving_endpoints.remove(&endpoint);
            for id in self.movable_streams(&endpoint) {
                self.move_stream(now, &id);
            }
        }
    }

    fn movable_streams(&self, endpoint: &EndpointId) -> Vec<RequestId> {
        let is_movable = |owned: &OwnedRequest| match &owned.phase {
            Phase::Running(running) => {
                running.location.endpoint == *endpoint && owned.record.request.idempotent
            }
            _ => false,
        };
        self.owned
            .iter()
            .filter(|(_, owned)| is_movable(owned))
            .map(|(id, _)| id.clone())
            .collect()
    }

    fn move_stream(&mut self, now: Timestamp, id: &RequestId) {
        let Some(owned) = self.owned.get(id) else {
            return;
        };
        let recomputed = owned.record.request.prompt.plus(owned.record.generated());
        let attempt = owned.attempt_id();
        let location = owned.record.location.clone();
        let decision = self
            .decision(now, DecisionKind::Retry, "move", "endpoint-leaving")
            .with("request", id)
            .with("attempt", attempt.number)
            .with("recomputed", recomputed);
        self.journal.record(decision);
        self.cancel_attempt(id);
        if let Some(location) = location {
            self.attempt_ended(now, id, &location);
        }
        self.dispatch(now, id);
    }
}
