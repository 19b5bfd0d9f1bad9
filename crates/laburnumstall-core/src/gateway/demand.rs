//! Work that callers request from each service.

use std::collections::BTreeMap;

use super::call::{AdmittedCall, sum_tokens};
use super::gossip::ServiceDemand;
use super::prefill::prefill_time;
use crate::ids::ServiceName;

/// Work requested from this daemon since its process started.
#[derive(Debug, Clone, Default)]
pub struct DemandCounter {
    services: BTreeMap<ServiceName, ServiceDemand>,
}

impl DemandCounter {
    /// Counts an admitted call.
    pub fn on_call(&mut self, call: &AdmittedCall) {
        let demand = self.service_demand(&call.service);
        if let Some(prompt) = &call.prompt {
            let shared = sum_tokens(prompt.shared().iter());
            demand.prefill_ms += prefill_time(prompt.tokens, shared).as_millis() as u64;
        }
    }

    /// Returns the counts of all services.
    pub fn all(&self) -> Vec<ServiceDemand> {
        self.services.values().cloned().collect()
    }

    fn service_demand(&mut self, service: &ServiceName) -> &mut ServiceDemand {
        self.services
            .entry(service.clone())
            .or_insert_with(|| ServiceDemand {
                service: service.clone(),
                prefill_ms: 0,
            })
    }
}
