//! What faults do to the processes, the stand-ins and the relays.

use std::rc::Rc;
use std::time::Duration;

use laburnumstall_platform_standins::{EndpointFaults, StoreFault};
use laburnumstall_standins::network::Relay;
use rustix::process::Signal;
use tokio::time::{Instant, sleep};

use super::{POLL, STOP_GRACE, Target, World};
use crate::plan::{Fault, Planned};

/// Time that an endpoint serves on after it has said that it is leaving.
const DRAIN_TIME: Duration = Duration::from_secs(4);

impl World {
    /// Lets the faults happen.
    pub(crate) async fn play(self: &Rc<Self>, plan: &[Planned]) {
        let from = Instant::now();
        for planned in plan {
            tokio::time::sleep_until(from + planned.at).await;
            let (world, fault) = (Rc::clone(self), planned.fault.clone());
            actix_rt::spawn(async move { world.apply(fault).await });
        }
    }

    async fn apply(self: Rc<Self>, fault: Fault) {
        let name = fault.to_string();
        match fault {
            Fault::KillDaemon(index) => self.kill(index, name).await,
            Fault::KillAll => {
                let all = (0..self.daemons.len()).map(|index| {
                    let (world, name) = (Rc::clone(&self), name.clone());
                    actix_rt::spawn(async move { world.kill(index, name).await })
                });
                for kill in all.collect::<Vec<_>>() {
                    // The task does not panic.
                    let _ = kill.await;
                }
            }
            Fault::StopDaemon(index) => self.stop(index, name).await,
            Fault::PauseDaemon(index, time) => {
                let noted = self.note(Target::Daemon(index), false, name);
                self.signal(index, Signal::STOP);
                sleep(time).await;
                self.signal(index, Signal::CONT);
                self.ended(noted);
            }
            Fault::Hangup(index) => {
                let noted = self.note(Target::Daemon(index), true, name);
                self.signal(index, Signal::HUP);
                self.ended(noted);
            }
            Fault::Store(fault, time) => {
                let noted = self.note(Target::Store, false, name);
                self.store.set_fault(fault);
                sleep(time).await;
                self.store.set_fault(StoreFault::None);
                self.ended(noted);
            }
            Fault::Compact => {
                let noted = self.note(Target::Store, false, name);
                self.store.compact();
                self.ended(noted);
            }
            Fault::CutStore(index, time) => {
                self.cut(
                    Target::Daemon(index),
                    name,
                    &self.daemons[index].store,
                    time,
                )
                .await;
            }
            Fault::SilenceStore(index) => {
                let noted = self.note(Target::Daemon(index), false, name);
                self.daemons[index].store.silence_existing();
                self.ended(noted);
            }
            Fault::CutCallers(index, time) => {
                self.cut(
                    Target::Daemon(index),
                    name,
                    &self.daemons[index].callers,
                    time,
                )
                .await;
            }
            Fault::SilenceCallers(index) => {
                let noted = self.note(Target::Daemon(index), false, name);
                self.daemons[index].callers.silence_existing();
                self.ended(noted);
            }
            Fault::DelayCallers(index, time) => {
                let noted = self.note(Target::Daemon(index), false, name);
                self.daemons[index].callers.set_delay(time / 20);
                sleep(time).await;
                self.daemons[index].callers.set_delay(Duration::ZERO);
                self.ended(noted);
            }
            Fault::DutiesDown(time) => {
                let noted = self.note(Target::Operators, false, name);
                self.duties.set_down(true);
                sleep(time).await;
                self.duties.set_down(false);
                self.ended(noted);
            }
            Fault::ChangeTimeout | Fault::AddKey | Fault::RevokeKey => {
                self.change_rules(&fault, name).await;
            }
            fault => self.apply_to_endpoint(fault, name).await,
        }
    }

    async fn apply_to_endpoint(self: &Rc<Self>, fault: Fault, name: String) {
        let noted = self.note(Target::Endpoint, false, name);
        match fault {
            Fault::CrashEndpoint(index) => self.replace_endpoint(index).await,
            Fault::DrainEndpoint(index) => {
                if let Some(Some(slot)) = self.endpoints.borrow().get(index) {
                    slot.stand_in.drain();
                }
                sleep(DRAIN_TIME).await;
                self.replace_endpoint(index).await;
            }
            Fault::SpoilEndpoint(index, faults, time) => {
                self.spoil(index, faults);
                sleep(time).await;
                self.spoil(index, EndpointFaults::default());
            }
            Fault::SilenceEndpoint(index) => {
                if let Some(Some(slot)) = self.endpoints.borrow().get(index) {
                    slot.relay.silence_existing();
                }
            }
            Fault::CutEndpoint(index, time) => {
                if let Some(Some(slot)) = self.endpoints.borrow().get(index) {
                    slot.relay.cut();
                }
                sleep(time).await;
                if let Some(Some(slot)) = self.endpoints.borrow().get(index) {
                    slot.relay.mend();
                }
            }
            _ => {}
        }
        self.ended(noted);
    }

    fn spoil(&self, index: usize, faults: EndpointFaults) {
        if let Some(Some(slot)) = self.endpoints.borrow().get(index) {
            slot.stand_in.set_faults(faults);
        }
    }

    async fn cut(&self, on: Target, name: String, relay: &Relay, time: Duration) {
        let noted = self.note(on, false, name);
        relay.cut();
        sleep(time).await;
        relay.mend();
        self.ended(noted);
    }

    async fn kill(&self, index: usize, name: String) {
        let slot = &self.daemons[index];
        if slot.is_restarting.replace(true) {
            return;
        }
        let noted = self.note(Target::Daemon(index), false, name);
        if let Some(process) = slot.process.borrow_mut().take() {
            process.close();
        }
        self.restart(index).await;
        self.ended(noted);
    }

    async fn stop(&self, index: usize, name: String) {
        let slot = &self.daemons[index];
        if slot.is_restarting.replace(true) {
            return;
        }
        let noted = self.note(Target::Daemon(index), true, name);
        self.signal(index, Signal::TERM);
        let until = Instant::now() + STOP_GRACE;
        while Instant::now() < until && !self.has_ended(index) {
            sleep(POLL).await;
        }
        if let Some(process) = slot.process.borrow_mut().take() {
            process.close();
        }
        self.restart(index).await;
        self.ended(noted);
    }

    /// Ends all faults and starts what is missing.
    pub(crate) async fn heal(&self) {
        while self.daemons.iter().any(|slot| slot.is_restarting.get()) {
            sleep(POLL).await;
        }
        self.store.set_fault(StoreFault::None);
        self.duties.set_down(false);
        for (index, slot) in self.daemons.iter().enumerate() {
            self.signal(index, Signal::CONT);
            slot.store.mend();
            slot.callers.mend();
            slot.callers.set_delay(Duration::ZERO);
        }
        while self
            .disturbances
            .borrow()
            .iter()
            .any(|one| one.until == Duration::MAX)
        {
            sleep(POLL).await;
        }
    }
}
