//! What admission control learns from the attempts of calls.

use super::work;
use crate::gateway::Gateway;
use crate::gateway::call::AdmittedCall;
use crate::gateway::load_balancer::CallAttempt;
use crate::units::Timestamp;

impl Gateway {
    /// Learns from the time to the first event of an attempt.
    pub(in crate::gateway) fn measure_start(
        &mut self,
        now: Timestamp,
        call: &AdmittedCall,
        attempt: &CallAttempt,
    ) {
        if attempt.first_output_at.is_some() {
            return;
        }
        let measured = now.since(attempt.started_at);
        let queue = self.admission.queue(&call.service);
        if let Some(ranked) = attempt.ranked {
            let (rank, prefill) = (ranked.rank, attempt.prefill());
            if call.prompt.is_none() {
                queue.window.on_response();
            }
            queue
                .model
                .on_measured(now, rank, ranked.modelled, measured);
            queue.model.on_worked(now, rank, prefill, measured);
        }
        let is_late = now > call.received_at.after(call.route.target_latency);
        if call.has_waited && !call.has_started && is_late {
            queue.errors.queued_and_late += 1;
        }
    }

    /// Learns from an attempt that is given up without an event for longer than was expected.
    pub fn measure_abandoned(
        &mut self,
        now: Timestamp,
        call: &AdmittedCall,
        attempt: &CallAttempt,
    ) {
        let measured = now.since(attempt.started_at);
        if let (Some(ranked), None) = (attempt.ranked, attempt.first_output_at)
            && measured > ranked.modelled
        {
            let queue = self.admission.queue(&call.service);
            queue
                .model
                .on_measured(now, ranked.rank, ranked.modelled, measured);
        }
    }

    /// Records that an endpoint refused a call as not run.
    pub(in crate::gateway) fn on_not_run(
        &mut self,
        now: Timestamp,
        call: &AdmittedCall,
        attempt: &CallAttempt,
    ) {
        if attempt.ranked.is_some() {
            self.admission.ledger.on_unused(now, call, work(call));
        }
        if attempt.prefill().is_zero() && self.load_balancer.is_busy(attempt) {
            let queue = self.admission.queue(&attempt.service);
            queue.window.on_refused(now);
        }
    }

    /// Records that an attempt has ended, and that its endpoint may have room.
    pub(in crate::gateway) fn on_attempt_ended(&mut self, now: Timestamp, attempt: &CallAttempt) {
        self.on_endpoint_room();
        let queue = self.admission.queue(&attempt.service);
        if attempt.ranked.is_some() && attempt.prefill().is_zero() {
            queue.window.on_ended();
        }
        if let (Some(ranked), None) = (attempt.ranked, attempt.first_output_at) {
            let elapsed = now.since(attempt.started_at);
            queue
                .model
                .on_worked(now, ranked.rank, attempt.prefill(), elapsed);
        }
    }
}
