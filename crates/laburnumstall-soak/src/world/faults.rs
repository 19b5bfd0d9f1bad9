//! What faults do to the processes, the stand-ins and the relays.

use std::rc::Rc;
use std::time::Duration;

use laburnumstall_platform_standins::{EndpointFaults, EndpointStandIn, StoreFault};
use laburnumstall_standins::network::Relay;
use rustix::process::Signal;
use tokio::time::{Instant, sleep};

use super::{POLL, STOP_GRACE, Target, World};
use crate::plan::{Fault, Planned};

/// Time from the store's return until the operators write again, in milliseconds.
const REWRITE_MS: std::ops::Range<u64> = 100..1_500;

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
        match fault {
            // A daemon that another fault restarts now is left alone, and nothing is noted.
            Fault::KillDaemon(index) => self.kill(index, &fault).await,
            Fault::KillAll => {
                let all = (0..self.daemons.len()).map(|index| {
                    let (world, fault) = (Rc::clone(&self), fault.clone());
                    actix_rt::spawn(async move { world.kill(index, &fault).await })
                });
                for kill in all.collect::<Vec<_>>() {
                    // The task does not panic.
                    let _ = kill.await;
                }
            }
            Fault::StopDaemon(index) => self.stop(index, &fault).await,
            Fault::SendCrashing(service, cause, time) => {
                let noted = self.note(&fault);
                Rc::clone(&self).send_crashing(service, cause, time).await;
                self.ended(noted);
            }
            _ => {
                let noted = self.note(&fault);
                self.carry_out(&fault).await;
                self.ended(noted);
            }
        }
    }

    async fn carry_out(&self, fault: &Fault) {
        match *fault {
            Fault::PauseDaemon(index, time) => {
                self.signal(index, Signal::STOP);
                sleep(time).await;
                self.signal(index, Signal::CONT);
            }
            Fault::Hangup(index) => self.signal(index, Signal::HUP),
            Fault::Store(fault, time) => {
                self.store.set_fault(fault);
                sleep(time).await;
                self.store.set_fault(StoreFault::None);
            }
            Fault::Compact => self.store.compact(),
            Fault::RestoreStore(away, age) => {
                self.store.set_fault(StoreFault::Busy);
                sleep(away).await;
                self.store.restore(age);
                self.store.set_fault(StoreFault::None);
                sleep(Duration::from_millis(fastrand::u64(REWRITE_MS))).await;
                self.write_rules().await;
            }
            Fault::CutStore(index, time) => cut(&self.daemons[index].store, time).await,
            Fault::SilenceStore(index) => self.daemons[index].store.silence_existing(),
            Fault::CutCallers(index, time) => cut(&self.daemons[index].callers, time).await,
            Fault::SilenceCallers(index) => self.daemons[index].callers.silence_existing(),
            Fault::DelayCallers(index, time) => {
                self.daemons[index].callers.set_delay(time / 20);
                sleep(time).await;
                self.daemons[index].callers.set_delay(Duration::ZERO);
            }
            Fault::DutiesDown(time) => {
                self.duties.set_down(true);
                sleep(time).await;
                self.duties.set_down(false);
            }
            Fault::ChangeTimeout | Fault::AddKey | Fault::RevokeKey => {
                self.change_rules(fault).await;
            }
            Fault::CrashEndpoint(index) => self.replace_endpoint(index).await,
            Fault::DrainEndpoint(index) => {
                self.drain_endpoint(index, EndpointStandIn::drain).await;
            }
            Fault::DrainUnlisted(index) => {
                self.drain_endpoint(index, EndpointStandIn::drain_unlisted)
                    .await;
            }
            Fault::LimitEndpoint(index, per_second, time) => {
                self.limit_endpoint(index, per_second, time).await;
            }
            Fault::Release(service) => self.release(service).await,
            Fault::SpoilEndpoint(index, faults, time) => {
                self.at_endpoint(index, |slot| slot.stand_in.set_faults(faults));
                sleep(time).await;
                let none = EndpointFaults::default();
                self.at_endpoint(index, |slot| slot.stand_in.set_faults(none));
            }
            Fault::SilenceEndpoint(index) => {
                self.at_endpoint(index, |slot| slot.relay.silence_existing());
            }
            Fault::SilenceForOne(index, time) => {
                self.at_endpoint(index, |slot| slot.stand_in.silence(time));
                sleep(time).await;
            }
            Fault::SilenceForService(service, time, lag) => {
                for index in self.of_service(service) {
                    self.at_endpoint(index, |slot| slot.stand_in.silence(time));
                    sleep(lag).await;
                }
                sleep(time).await;
            }
            Fault::CutEndpoint(index, time) => {
                self.at_endpoint(index, |slot| slot.relay.cut());
                sleep(time).await;
                self.at_endpoint(index, |slot| slot.relay.mend());
            }
            Fault::KillDaemon(_)
            | Fault::KillAll
            | Fault::StopDaemon(_)
            | Fault::SendCrashing(..) => {}
        }
    }

    async fn kill(&self, index: usize, fault: &Fault) {
        let slot = &self.daemons[index];
        if slot.is_restarting.replace(true) {
            return;
        }
        let noted = self.note_on(Target::Daemon(index), fault);
        if let Some(process) = slot.process.borrow_mut().take() {
            process.close();
        }
        self.restart(index).await;
        self.ended(noted);
    }

    async fn stop(&self, index: usize, fault: &Fault) {
        let slot = &self.daemons[index];
        if slot.is_restarting.replace(true) {
            return;
        }
        let noted = self.note_on(Target::Daemon(index), fault);
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

/// Cuts a relay for a time.
async fn cut(relay: &Relay, time: Duration) {
    relay.cut();
    sleep(time).await;
    relay.mend();
}
