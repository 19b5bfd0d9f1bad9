//! The processes, the stand-ins and the relays of one soak, and what happens to them.

use std::cell::{Cell, RefCell};
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use laburnumstall_platform_standins::caller::{self, CallKind, Outcome};
use laburnumstall_platform_standins::host::Host;
use laburnumstall_platform_standins::{
    DutyStandIn, EndpointFaults, EndpointSpec, EndpointStandIn, RuleSet, ServiceRoutes, SharedRuns,
    StoreFault, StoreStandIn,
};
use laburnumstall_standins::network::Relay;
use rustix::process::Signal;
use snafu::{ResultExt, Snafu};
use tokio::time::{Instant, sleep};

use crate::options::SoakSettings;
use crate::plan::{Fault, Planned};
use crate::process::Process;

/// Services; each has as many endpoints as the settings say.
pub(crate) const SERVICES: [&str; 2] = ["model", "app"];
/// Zones, over which daemons and endpoints are dealt.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Customers, each with one key at first.
const CUSTOMERS: [&str; 3] = ["chambers", "registry", "shipping"];
/// Calls that an endpoint runs at once.
const SLOTS: u32 = 16;
/// Longest time that a caller is kept waiting by the first configuration.
pub(crate) const ROUTE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time within which a withdrawn key must be refused.
pub(crate) const REVOCATION: Duration = Duration::from_secs(5);
/// Time from the request to stop until the kill.
const STOP_GRACE: Duration = Duration::from_secs(8);
/// Length of a window of usage.
const USAGE_WINDOW: Duration = Duration::from_secs(5);
/// Time from a process's end to its next start.
const RESTART_TIME: Duration = Duration::from_millis(300);
/// Time from an endpoint's end to the start of its successor.
const ENDPOINT_BACK: Duration = Duration::from_millis(1_500);
/// Time that an endpoint serves on after it has said that it is leaving.
const DRAIN_TIME: Duration = Duration::from_secs(4);
/// Time between two looks at a process or the service.
const POLL: Duration = Duration::from_millis(50);
/// Longest time for the daemons to start.
const START_TIME: Duration = Duration::from_secs(20);

/// A soak that cannot run.
#[derive(Debug, Snafu)]
pub enum SoakError {
    /// A file of a daemon cannot be written.
    #[snafu(display("cannot write {}", path.display()))]
    Write {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A stand-in cannot be started.
    #[snafu(display("cannot start a stand-in for {what}"))]
    StandIn {
        /// What it stands for.
        what: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// A daemon cannot be started.
    #[snafu(display("cannot start the daemon {}", program.display()))]
    Daemon {
        /// The program.
        program: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The daemons are not ready in time.
    #[snafu(display("the daemons are not ready after {} s; their logs: {}", after.as_secs(), folder.display()))]
    NotReady {
        /// Time that was waited.
        after: Duration,
        /// Folder of the logs.
        folder: PathBuf,
    },
}

/// What a disturbance touches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// A daemon's process or its links.
    Daemon(usize),
    /// The key-value service, for all daemons.
    Store,
    /// An endpoint.
    Endpoint,
    /// The configuration or the duties.
    Operators,
}

/// A fault as it happened, in time since the start.
#[derive(Debug, Clone)]
pub struct Disturbance {
    /// Beginning.
    pub from: Duration,
    /// End; later than the soak's if it has not ended.
    pub until: Duration,
    /// What it touches.
    pub on: Target,
    /// Whether it is planned work, which excuses less.
    pub is_planned: bool,
    /// The fault.
    pub name: String,
}

/// A request as its caller saw it.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    pub(crate) id: String,
    pub(crate) kind: CallKind,
    pub(crate) customer: String,
    pub(crate) key: String,
    pub(crate) daemon: usize,
    pub(crate) sent_at: Duration,
    pub(crate) ended_at: Duration,
    pub(crate) outcome: Outcome,
}

/// A customer's key, in time since the start.
#[derive(Debug, Clone)]
pub(crate) struct KeyState {
    pub(crate) customer: String,
    pub(crate) key: String,
    /// When the service took the configuration that has it.
    pub(crate) added_at: Option<Duration>,
    /// When the configuration without it was sent, and when the service took it.
    pub(crate) withdrawn: Option<(Duration, Option<Duration>)>,
}

struct DaemonSlot {
    host: Host,
    settings: PathBuf,
    log: PathBuf,
    process: RefCell<Option<Process>>,
    store: Relay,
    callers: Relay,
    /// Whether a fault ends and restarts the process now.
    is_restarting: Cell<bool>,
}

struct EndpointSlot {
    stand_in: EndpointStandIn,
    relay: Relay,
}

/// All that takes part in one soak.
pub(crate) struct World {
    program: PathBuf,
    started: Instant,
    pub(crate) runs: SharedRuns,
    store: Rc<StoreStandIn>,
    pub(crate) duties: DutyStandIn,
    daemons: Vec<DaemonSlot>,
    endpoints: RefCell<Vec<Option<EndpointSlot>>>,
    next_endpoint: Cell<u32>,
    pub(crate) ledger: RefCell<Vec<Record>>,
    pub(crate) keys: RefCell<Vec<KeyState>>,
    rules: RefCell<RuleSet>,
    disturbances: RefCell<Vec<Disturbance>>,
    pub(crate) own_ends: RefCell<Vec<String>>,
    is_over: Cell<bool>,
}

impl World {
    /// Starts everything and waits until a daemon takes callers.
    pub(crate) async fn start(settings: &SoakSettings) -> Result<Rc<Self>, SoakError> {
        let folder = &settings.folder;
        fs::create_dir_all(folder).context(WriteSnafu { path: folder })?;
        let store = StoreStandIn::start().await;
        let store = Rc::new(store.context(StandInSnafu { what: "the store" })?);
        let duties = DutyStandIn::start().await;
        let duties = duties.context(StandInSnafu { what: "duties" })?;
        // Each soak has a net of its own, so that several can run side by side.
        let net = 1 + (std::process::id() as u64 + settings.seed) % 250;
        let mut daemons = Vec::new();
        for number in 0..settings.daemons {
            daemons.push(DaemonSlot::new(settings, net, number, &store, &duties)?);
        }
        let world = Rc::new(Self {
            program: settings.program.clone(),
            started: Instant::now(),
            runs: SharedRuns::default(),
            store,
            duties,
            daemons,
            endpoints: RefCell::default(),
            next_endpoint: Cell::new(0),
            ledger: RefCell::default(),
            keys: RefCell::default(),
            rules: RefCell::new(first_rules()),
            disturbances: RefCell::default(),
            own_ends: RefCell::default(),
            is_over: Cell::new(false),
        });
        world.keys.replace(first_keys());
        let (key, value) = world.rules.borrow().stored();
        world.store.write(key, value);
        for _ in 0..settings.shape().endpoints {
            world.endpoints.borrow_mut().push(None);
        }
        for index in 0..settings.shape().endpoints {
            world.start_endpoint(index).await?;
        }
        for index in 0..world.daemons.len() {
            world.start_daemon(index)?;
        }
        world.wait_ready(folder).await?;
        actix_rt::spawn(watch_ends(Rc::clone(&world)));
        Ok(world)
    }

    async fn wait_ready(&self, folder: &std::path::Path) -> Result<(), SoakError> {
        let until = Instant::now() + START_TIME;
        for slot in &self.daemons {
            while !caller::is_ready(slot.host.readiness()).await {
                if Instant::now() > until {
                    let after = START_TIME;
                    return NotReadySnafu { after, folder }.fail();
                }
                sleep(POLL).await;
            }
        }
        Ok(())
    }

    /// Returns the time since the start.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the time since the start of a moment.
    pub(crate) fn time_of(&self, at: Instant) -> Duration {
        at.duration_since(self.started)
    }

    /// Tells whether callers send nothing more.
    pub(crate) fn is_over(&self) -> bool {
        self.is_over.get()
    }

    /// Lets callers send nothing more.
    pub(crate) fn end_calls(&self) {
        self.is_over.set(true);
    }

    /// Returns all faults so far.
    pub(crate) fn disturbances(&self) -> Vec<Disturbance> {
        self.disturbances.borrow().clone()
    }

    /// Returns the calls to the key-value service so far, those that read and the others.
    pub(crate) fn store_calls(&self) -> (u64, u64) {
        self.store.calls()
    }

    /// Returns the number of daemons.
    pub(crate) fn daemon_count(&self) -> usize {
        self.daemons.len()
    }

    /// Returns the address that tells where to connect.
    pub(crate) fn directory(&self, daemon: usize) -> SocketAddr {
        self.daemons[daemon].host.directory()
    }

    /// Returns the daemon that a directory's address names, and the relay before it.
    pub(crate) fn way_to(&self, front: SocketAddr) -> Option<(usize, SocketAddr)> {
        let index = self
            .daemons
            .iter()
            .position(|slot| slot.host.front() == front)?;
        Some((index, self.daemons[index].callers.address()))
    }

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

    async fn replace_endpoint(&self, index: usize) {
        let slot = self
            .endpoints
            .borrow_mut()
            .get_mut(index)
            .and_then(Option::take);
        let Some(slot) = slot else {
            return;
        };
        slot.stand_in.crash();
        // A relay that failed has no connections left to end.
        let _ = slot.relay.close();
        sleep(ENDPOINT_BACK).await;
        if let Err(error) = self.start_endpoint(index).await {
            self.own_ends.borrow_mut().push(error.to_string());
        }
    }

    async fn start_endpoint(&self, index: usize) -> Result<(), SoakError> {
        let number = self.next_endpoint.replace(self.next_endpoint.get() + 1);
        let spec = EndpointSpec {
            id: format!("i-{number}"),
            service: SERVICES[index % SERVICES.len()].to_owned(),
            zone: ZONES[index % ZONES.len()].to_owned(),
            slots: SLOTS,
        };
        let (store, runs) = (Rc::clone(&self.store), Rc::clone(&self.runs));
        let what = "an endpoint";
        let stand_in = EndpointStandIn::start(spec, store, runs).await;
        let stand_in = stand_in.context(StandInSnafu { what })?;
        let relay = Relay::tcp(stand_in.address()).context(StandInSnafu { what })?;
        stand_in.register(relay.address());
        self.endpoints.borrow_mut()[index] = Some(EndpointSlot { stand_in, relay });
        Ok(())
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

    async fn restart(&self, index: usize) {
        sleep(RESTART_TIME).await;
        if let Err(error) = self.start_daemon(index) {
            self.own_ends.borrow_mut().push(error.to_string());
        }
        self.daemons[index].is_restarting.set(false);
    }

    fn start_daemon(&self, index: usize) -> Result<(), SoakError> {
        let slot = &self.daemons[index];
        let process = Process::start(&self.program, &slot.settings, &slot.log);
        let program = &self.program;
        let process = process.context(DaemonSnafu { program })?;
        slot.process.replace(Some(process));
        Ok(())
    }

    fn signal(&self, index: usize, signal: Signal) {
        if let Some(process) = &*self.daemons[index].process.borrow() {
            process.signal(signal);
        }
    }

    fn has_ended(&self, index: usize) -> bool {
        let mut process = self.daemons[index].process.borrow_mut();
        process.as_mut().is_none_or(Process::has_ended)
    }

    async fn change_rules(&self, fault: &Fault, name: String) {
        let noted = self.note(Target::Operators, true, name);
        let index = match fault {
            Fault::ChangeTimeout => {
                let mut rules = self.rules.borrow_mut();
                for service in &mut rules.services {
                    // Never above the first one, which the checks go by.
                    service.timeout_ms = fastrand::u64(1_500..=ROUTE_TIMEOUT.as_millis() as u64);
                }
                None
            }
            Fault::AddKey => Some(self.add_key()),
            _ => self.withdraw_key(),
        };
        let (key, value) = {
            let mut rules = self.rules.borrow_mut();
            rules.version += fastrand::u64(1..4);
            rules.customers = self.customers();
            rules.stored()
        };
        while !self.store.write(key, value.clone()) {
            sleep(POLL).await;
        }
        let acknowledged = Some(self.elapsed());
        if let Some(index) = index {
            let state = &mut self.keys.borrow_mut()[index];
            match &mut state.withdrawn {
                Some((_, at)) => *at = acknowledged,
                None => state.added_at = acknowledged,
            }
        }
        self.ended(noted);
    }

    fn add_key(&self) -> usize {
        let mut keys = self.keys.borrow_mut();
        let customer = CUSTOMERS[keys.len() % CUSTOMERS.len()];
        let number = keys.len();
        keys.push(KeyState {
            customer: customer.to_owned(),
            key: format!("key-{number}-of-{customer}"),
            added_at: None,
            withdrawn: None,
        });
        number
    }

    /// Withdraws a key of a customer that has another one.
    fn withdraw_key(&self) -> Option<usize> {
        let customers = self.customers();
        let mut keys = self.keys.borrow_mut();
        let index = keys.iter().position(|state| {
            let of_customer = customers.iter().find(|(name, _)| *name == state.customer);
            let has_more = of_customer.is_some_and(|(_, keys)| keys.len() > 1);
            state.withdrawn.is_none() && state.added_at.is_some() && has_more
        })?;
        keys[index].withdrawn = Some((self.elapsed(), None));
        Some(index)
    }

    fn customers(&self) -> Vec<(String, Vec<String>)> {
        let keys = self.keys.borrow();
        let of = |customer: &&str| {
            let in_force = keys
                .iter()
                .filter(|state| state.customer == *customer && state.withdrawn.is_none());
            let keys = in_force.map(|state| state.key.clone()).collect();
            ((*customer).to_owned(), keys)
        };
        CUSTOMERS.iter().map(of).collect()
    }

    fn note(&self, on: Target, is_planned: bool, name: String) -> usize {
        let mut disturbances = self.disturbances.borrow_mut();
        disturbances.push(Disturbance {
            from: self.elapsed(),
            until: Duration::MAX,
            on,
            is_planned,
            name,
        });
        disturbances.len() - 1
    }

    fn ended(&self, noted: usize) {
        self.disturbances.borrow_mut()[noted].until = self.elapsed();
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

    /// Ends everything that the soak has started.
    pub(crate) async fn close(&self) {
        for slot in &self.daemons {
            slot.is_restarting.set(true);
            if let Some(process) = slot.process.borrow_mut().take() {
                process.close();
            }
        }
        for slot in self.endpoints.take().into_iter().flatten() {
            slot.stand_in.crash();
            // Nothing is left to relay.
            let _ = slot.relay.close();
        }
    }
}

impl DaemonSlot {
    fn new(
        settings: &SoakSettings,
        net: u64,
        number: u8,
        store: &StoreStandIn,
        duties: &DutyStandIn,
    ) -> Result<Self, SoakError> {
        let zone = ZONES[usize::from(number) % ZONES.len()];
        let what = "the network";
        let relay = Relay::tcp(store.address()).context(StandInSnafu { what })?;
        let host = Host {
            vm: format!("entry-{number}"),
            ip: [127, 9, net as u8, number + 1].into(),
            zone: zone.to_owned(),
            store: relay.address(),
            duties: duties.address(),
            revocation: REVOCATION,
            stop_grace: STOP_GRACE,
            usage_window: USAGE_WINDOW,
        };
        let path = settings.folder.join(format!("entry-{number}.yaml"));
        fs::write(&path, host.settings()).context(WriteSnafu { path: &path })?;
        Ok(Self {
            callers: Relay::tcp(host.front()).context(StandInSnafu { what })?,
            host,
            settings: path,
            log: settings.folder.join(format!("entry-{number}.log")),
            process: RefCell::default(),
            store: relay,
            is_restarting: Cell::new(false),
        })
    }
}

/// Notes processes that end by themselves, and starts them again.
async fn watch_ends(world: Rc<World>) {
    while !world.is_over() {
        sleep(POLL).await;
        for (index, slot) in world.daemons.iter().enumerate() {
            if !slot.is_restarting.get() && world.has_ended(index) {
                let end = format!("{} ended by itself", slot.host.vm);
                world.own_ends.borrow_mut().push(end);
                slot.is_restarting.set(true);
                world.restart(index).await;
            }
        }
    }
}

fn first_rules() -> RuleSet {
    let routes = |service: &&str| ServiceRoutes {
        service: (*service).to_owned(),
        timeout_ms: ROUTE_TIMEOUT.as_millis() as u64,
    };
    RuleSet {
        version: 1,
        services: SERVICES.iter().map(routes).collect(),
        customers: first_keys()
            .into_iter()
            .map(|state| (state.customer, vec![state.key]))
            .collect(),
    }
}

fn first_keys() -> Vec<KeyState> {
    let key = |customer: &&str| KeyState {
        customer: (*customer).to_owned(),
        key: format!("key-of-{customer}"),
        added_at: Some(Duration::ZERO),
        withdrawn: None,
    };
    CUSTOMERS.iter().map(key).collect()
}
