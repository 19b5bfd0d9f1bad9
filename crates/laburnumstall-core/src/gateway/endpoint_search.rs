//! Search for the endpoint of a call, among the versions at which it may run.

use super::Gateway;
use super::call::AdmittedCall;
use super::load_balancer::{CallAttempt, EndpointQuery};
use super::recovery::RETRY_AFTER;
use super::requests::MAX_CERTAIN_AGE;
use super::stored_versions::admitted_versions;
use crate::error::{ErrorKind, Refusal};
use crate::hash::digest64;
use crate::ids::ServiceName;
use crate::limits::bucket::MICRO;
use crate::units::Timestamp;

impl Gateway {
    /// Finds an endpoint that the call has not tried, or else any one if it `may_repeat`.
    pub(super) fn find_endpoint(
        &mut self,
        now: Timestamp,
        call: &AdmittedCall,
        may_repeat: bool,
    ) -> Option<CallAttempt> {
        let begins_at = self.begin_version(call);
        // Only a stored table binds: daemons that start later compute origins from it.
        let is_bound = self.versions.shares(&call.service).is_some();
        let admitted = admitted_versions(&self.versions, call);
        let bounds = self.bounds.rollout.as_ref();
        let is_fresh = self.freshness.is_within(now, MAX_CERTAIN_AGE);
        let gate = self.rollouts.gate(now, bounds, call, admitted, is_fresh);
        let origin = call.origin.as_ref().map(|origin| &origin.version);
        let query = EndpointQuery {
            service: &call.service,
            prompt: call.prompt.as_ref(),
            seed: digest64(&[call.id.as_bytes()]),
            version: origin.or(begins_at.as_ref()),
            admitted,
            gate,
            excluded: &call.tried,
        };
        let mut selected = self.load_balancer.select_gated(now, &query);
        if selected.is_none() && origin.is_none() && !is_bound {
            let at_any = EndpointQuery {
                version: None,
                ..query
            };
            selected = self.load_balancer.select_gated(now, &at_any);
        }
        // With few endpoints, one that failed before is better than none.
        if selected.is_none() && may_repeat {
            let any_endpoint = EndpointQuery {
                excluded: &[],
                ..query
            };
            selected = self.load_balancer.select_gated(now, &any_endpoint);
        }
        if let Some(attempt) = &mut selected {
            self.rollouts.on_selected(call, admitted, attempt);
        }
        selected
    }

    /// Returns the refusal of a call that did not run, with the time at which there is room if all
    /// endpoints of the service asked for a pause, or their limits are used up. A daemon without a
    /// share of the limits sends callers to another one.
    pub(super) fn no_endpoint(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        detail: &str,
    ) -> Refusal {
        if let Some((ends_in, slots)) = self.load_balancer.pause_end(now, service) {
            let schedule = self.return_schedules.entry(service.clone()).or_default();
            let retry_after = schedule.next(now, ends_in, i64::from(slots) * MICRO);
            let detail = "all endpoints asked for a pause";
            return Refusal::new(ErrorKind::NoEndpoint, detail).with_retry_after(retry_after);
        }
        let Some((room_in, rate)) = self.load_balancer.limited_room(now, service) else {
            return Refusal::new(ErrorKind::NoEndpoint, detail).with_retry_after(RETRY_AFTER);
        };
        let detail = "the limits that endpoints name are used up";
        let retry_after = match room_in {
            Some(room_in) => {
                let schedule = self.return_schedules.entry(service.clone()).or_default();
                schedule.next(now, room_in, rate)
            }
            None => RETRY_AFTER,
        };
        Refusal::new(ErrorKind::NoEndpoint, detail).with_retry_after(retry_after)
    }
}
