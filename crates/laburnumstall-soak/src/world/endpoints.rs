//! Endpoints of two software versions of each service, and how they are replaced.

use std::rc::Rc;
use std::time::Duration;

use laburnumstall_platform_standins::{EndpointSpec, EndpointStandIn};
use laburnumstall_standins::network::Relay;
use snafu::ResultExt;
use tokio::time::sleep;

use super::{SERVICES, SoakError, StandInSnafu, World, ZONES};

/// Calls that an endpoint runs at once.
const SLOTS: u32 = 16;
/// Software versions of each service at first.
const FIRST_VERSIONS: usize = 2;
/// Time from an endpoint's end to the start of its successor.
const ENDPOINT_BACK: Duration = Duration::from_millis(1_500);
/// Time that an endpoint serves on after it has said that it is leaving.
const DRAIN_TIME: Duration = Duration::from_secs(4);
/// Time from the start of an endpoint of a new version until the old one leaves.
const RELEASE_STEP: Duration = Duration::from_millis(400);

pub(super) struct EndpointSlot {
    pub(super) stand_in: EndpointStandIn,
    pub(super) relay: Rc<Relay>,
    pub(super) number: u32,
    version: usize,
}

/// Start of an endpoint, in time since the start of the soak.
#[derive(Debug, Clone)]
pub(crate) struct EndpointStart {
    pub(crate) index: usize,
    pub(crate) version: String,
    pub(crate) at: Duration,
}

/// Limit that an endpoint names, in time since the start of the soak.
#[derive(Debug, Clone)]
pub(crate) struct EndpointLimit {
    pub(crate) endpoint: String,
    pub(crate) per_second: f64,
    pub(crate) from: Duration,
    pub(crate) until: Duration,
}

/// Returns the software version that an endpoint has at first.
pub(super) fn first_version(index: usize) -> usize {
    1 + index / SERVICES.len() % FIRST_VERSIONS
}

impl EndpointSlot {
    pub(super) fn crash(self) {
        self.stand_in.crash();
        if let Some(relay) = Rc::into_inner(self.relay) {
            // A relay that failed has no connections left to end.
            let _ = relay.close();
        }
    }
}

impl World {
    /// Does something to an endpoint, unless it is being replaced.
    pub(super) fn at_endpoint(&self, index: usize, act: impl FnOnce(&EndpointSlot)) {
        if let Some(Some(slot)) = self.endpoints.borrow().get(index) {
            act(slot);
        }
    }

    /// Returns the numbers of a service's endpoints.
    pub(super) fn of_service(&self, service: usize) -> impl Iterator<Item = usize> + use<> {
        (service..self.endpoints.borrow().len()).step_by(SERVICES.len())
    }

    fn take_endpoint(&self, index: usize) -> Option<EndpointSlot> {
        self.endpoints.borrow_mut().get_mut(index)?.take()
    }

    /// Crashes an endpoint; its successor has a software version that is in service.
    pub(super) async fn replace_endpoint(&self, index: usize) {
        let versions = self.versions(index % SERVICES.len());
        let Some(slot) = self.take_endpoint(index) else {
            return;
        };
        slot.crash();
        sleep(ENDPOINT_BACK).await;
        let (version, _) = versions[fastrand::usize(0..versions.len())];
        self.start_successor(index, version).await;
    }

    /// Lets an endpoint name a limit for a time.
    pub(super) async fn limit_endpoint(&self, index: usize, per_second: f64, time: Duration) {
        let mut number = None;
        self.at_endpoint(index, |slot| {
            slot.stand_in.set_limit(Some(per_second));
            number = Some(slot.number);
        });
        let from = self.elapsed();
        sleep(time).await;
        self.at_endpoint(index, |slot| slot.stand_in.set_limit(None));
        if let Some(number) = number {
            self.limits.borrow_mut().push(EndpointLimit {
                endpoint: format!("i-{number}"),
                per_second,
                from,
                until: self.elapsed(),
            });
        }
    }

    /// Lets an endpoint leave, and replaces it.
    pub(super) async fn drain_endpoint(&self, index: usize, drain: fn(&EndpointStandIn)) {
        self.at_endpoint(index, |slot| drain(&slot.stand_in));
        sleep(DRAIN_TIME).await;
        self.replace_endpoint(index).await;
    }

    /// Replaces half of a service's endpoints, the oldest versions first, by the next version.
    pub(super) async fn release(&self, service: usize) {
        let mut versions = self.versions(service);
        versions.sort_unstable();
        let next = versions.last().map_or(1, |(version, _)| version + 1);
        for &(_, index) in &versions[..versions.len().div_ceil(2)] {
            let Some(old) = self.take_endpoint(index) else {
                continue;
            };
            self.start_successor(index, next).await;
            sleep(RELEASE_STEP).await;
            old.stand_in.drain();
            actix_rt::spawn(async move {
                sleep(DRAIN_TIME).await;
                old.crash();
            });
        }
        sleep(DRAIN_TIME).await;
    }

    /// Returns versions and numbers of a service's endpoints.
    fn versions(&self, service: usize) -> Vec<(usize, usize)> {
        let endpoints = self.endpoints.borrow();
        let indexes = self.of_service(service);
        indexes
            .filter_map(|index| Some((endpoints[index].as_ref()?.version, index)))
            .collect()
    }

    async fn start_successor(&self, index: usize, version: usize) {
        if let Err(error) = self.start_endpoint(index, version).await {
            self.own_ends.borrow_mut().push(error.to_string());
        }
    }

    pub(super) async fn start_endpoint(
        &self,
        index: usize,
        version: usize,
    ) -> Result<(), SoakError> {
        let number = self.next_endpoint.replace(self.next_endpoint.get() + 1);
        let spec = EndpointSpec {
            id: format!("i-{number}"),
            service: SERVICES[index % SERVICES.len()].to_owned(),
            zone: ZONES[index % ZONES.len()].to_owned(),
            version: format!("v{version}"),
            slots: SLOTS,
        };
        self.endpoint_starts.borrow_mut().push(EndpointStart {
            index,
            version: spec.version.clone(),
            at: self.elapsed(),
        });
        let (store, runs) = (Rc::clone(&self.store), Rc::clone(&self.runs));
        let what = "an endpoint";
        let stand_in = EndpointStandIn::start(spec, store, runs).await;
        let stand_in = stand_in.context(StandInSnafu { what })?;
        let relay = Relay::tcp(stand_in.address()).context(StandInSnafu { what })?;
        let relay = Rc::new(relay);
        stand_in.register(relay.address());
        let (crashed, relay_of_crashed) = (stand_in.crashed(), Rc::downgrade(&relay));
        let tx = self.crashed.clone();
        actix_rt::spawn(async move {
            crashed.await;
            if let Some(relay) = relay_of_crashed.upgrade() {
                relay.cut();
            }
            // The soak may be over.
            let _ = tx.send((index, number));
        });
        self.endpoints.borrow_mut()[index] = Some(EndpointSlot {
            stand_in,
            relay,
            number,
            version,
        });
        Ok(())
    }
}
