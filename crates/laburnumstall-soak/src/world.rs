//! The processes, the stand-ins and the relays of one soak, and what happens to them.

mod crashing;
mod endpoints;
mod faults;
mod keys;

use std::cell::{Cell, RefCell};
use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use laburnumstall_platform_standins::caller::{self, CallKind, Outcome, StreamPart};
use laburnumstall_platform_standins::host::Host;
use laburnumstall_platform_standins::{DutyStandIn, ExecutionLog, RuleSet, StoreStandIn};
use laburnumstall_standins::network::Relay;
use rustix::process::Signal;
use snafu::{ResultExt, Snafu};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use crate::options::SoakSettings;
use crate::plan::{CrashCause, Fault};
use crate::process::Process;
use endpoints::EndpointSlot;
pub(crate) use endpoints::{EndpointLimit, EndpointStart};
pub(crate) use keys::KeyState;
use keys::{first_keys, first_rules};

/// Services; each has as many endpoints as the settings say.
pub(crate) const SERVICES: [&str; 2] = ["model", "app"];
/// Zones, over which daemons and endpoints are dealt.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Longest time that a caller is kept waiting by the first configuration.
pub(crate) const ROUTE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Shortest time-out that a configuration sets.
pub(crate) const SHORTEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time within which a withdrawn key must be refused.
pub(crate) const REVOCATION: Duration = Duration::from_secs(5);
/// Time from the request to stop until the kill.
const STOP_GRACE: Duration = Duration::from_secs(8);
/// Length of a window of usage.
const USAGE_WINDOW: Duration = Duration::from_secs(5);
/// Time from a process's end to its next start.
const RESTART_TIME: Duration = Duration::from_millis(300);
/// Time between two looks at a process or the service.
const POLL: Duration = Duration::from_millis(50);
/// Port that guards a net.
const GUARD_PORT: u16 = 8_360;
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
    Endpoint(usize),
    /// All endpoints of a service.
    Service(usize),
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
    /// Whether it excuses a lost request; planned work and silences of sound endpoints do not.
    pub excuses_loss: bool,
    /// Whether sound endpoints fall silent for a time.
    pub is_silence: bool,
    /// Whether the process of a daemon restarts or freezes.
    pub interrupts_process: bool,
    /// The fault.
    pub name: String,
}

/// A request as its caller saw it.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    pub(crate) id: String,
    /// What all attempts of a stream have in common.
    pub(crate) name: String,
    pub(crate) service: String,
    pub(crate) kind: CallKind,
    pub(crate) customer: String,
    pub(crate) key: String,
    pub(crate) daemon: usize,
    pub(crate) sent_at: Duration,
    pub(crate) ended_at: Duration,
    pub(crate) outcome: Outcome,
    /// What earlier attempts received of the stream.
    pub(crate) received_before: Option<StreamPart>,
    /// What this attempt and earlier ones received of it.
    pub(crate) received: Option<StreamPart>,
    /// Endpoint that said in the response that it leaves.
    pub(crate) leaving: Option<String>,
    /// Episode whose requests crash endpoints, if it is one of them.
    pub(crate) episode: Option<Episode>,
}

/// Time in which callers send requests that crash endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Episode {
    pub(crate) number: u32,
    pub(crate) cause: CrashCause,
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

/// All that takes part in one soak.
pub(crate) struct World {
    program: PathBuf,
    started: Instant,
    pub(crate) runs: ExecutionLog,
    store: Rc<StoreStandIn>,
    pub(crate) duties: DutyStandIn,
    daemons: Vec<DaemonSlot>,
    endpoints: RefCell<Vec<Option<EndpointSlot>>>,
    next_endpoint: Cell<u32>,
    /// Receives the endpoints that requests have crashed.
    crashed: mpsc::UnboundedSender<(usize, u32)>,
    next_episode: Cell<u32>,
    pub(crate) limits: RefCell<Vec<EndpointLimit>>,
    pub(crate) endpoint_starts: RefCell<Vec<EndpointStart>>,
    pub(crate) ledger: RefCell<Vec<Record>>,
    pub(crate) keys: RefCell<Vec<KeyState>>,
    rules: RefCell<RuleSet>,
    disturbances: RefCell<Vec<Disturbance>>,
    pub(crate) own_ends: RefCell<Vec<String>>,
    is_over: Cell<bool>,
    _net: OwnNet,
}

/// Loopback addresses that no other soak uses while this one lives.
struct OwnNet {
    number: u8,
    /// Holds an address in the net that no daemon has.
    _guard: TcpListener,
}

impl OwnNet {
    /// Takes a net that is free.
    fn take() -> io::Result<Self> {
        let mut failed = io::ErrorKind::AddrInUse.into();
        for number in 1..u8::MAX {
            match TcpListener::bind((Ipv4Addr::new(127, 9, number, u8::MAX - 1), GUARD_PORT)) {
                Ok(guard) => {
                    return Ok(Self {
                        number,
                        _guard: guard,
                    });
                }
                Err(error) => failed = error,
            }
        }
        Err(failed)
    }
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
        let net = OwnNet::take().context(StandInSnafu {
            what: "the network",
        })?;
        let mut daemons = Vec::new();
        for number in 0..settings.daemons {
            daemons.push(DaemonSlot::new(
                settings, net.number, number, &store, &duties,
            )?);
        }
        let (tx, rx) = mpsc::unbounded_channel();
        let world = Rc::new(Self {
            program: settings.program.clone(),
            started: Instant::now(),
            runs: ExecutionLog::default(),
            store,
            duties,
            daemons,
            endpoints: RefCell::new((0..settings.shape().endpoints).map(|_| None).collect()),
            next_endpoint: Cell::new(0),
            crashed: tx,
            next_episode: Cell::new(0),
            limits: RefCell::default(),
            endpoint_starts: RefCell::default(),
            ledger: RefCell::default(),
            keys: RefCell::new(first_keys()),
            rules: RefCell::new(first_rules()),
            disturbances: RefCell::default(),
            own_ends: RefCell::default(),
            is_over: Cell::new(false),
            _net: net,
        });
        if let Err(error) = world.launch(folder).await {
            world.close().await;
            return Err(error);
        }
        actix_rt::spawn(watch_ends(Rc::clone(&world)));
        actix_rt::spawn(crashing::replace_crashed(Rc::clone(&world), rx));
        Ok(world)
    }

    /// Starts the endpoints and the daemons, and waits until those are ready.
    async fn launch(&self, folder: &Path) -> Result<(), SoakError> {
        let (key, value) = self.rules.borrow().stored();
        self.store.write(key, value);
        let endpoints = self.endpoints.borrow().len();
        for index in 0..endpoints {
            self.start_endpoint(index, endpoints::first_version(index))
                .await?;
        }
        for index in 0..self.daemons.len() {
            self.start_daemon(index)?;
        }
        self.wait_ready(folder).await
    }

    async fn wait_ready(&self, folder: &Path) -> Result<(), SoakError> {
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

    fn note(&self, fault: &Fault) -> usize {
        self.note_on(fault.target(), fault)
    }

    /// Notes a fault, with what it touches where that is not for itself to say.
    fn note_on(&self, on: Target, fault: &Fault) -> usize {
        let mut disturbances = self.disturbances.borrow_mut();
        disturbances.push(Disturbance {
            from: self.elapsed(),
            until: Duration::MAX,
            on,
            excuses_loss: fault.excuses_loss(),
            is_silence: fault.is_silence(),
            interrupts_process: fault.interrupts_process(),
            name: fault.to_string(),
        });
        disturbances.len() - 1
    }

    fn ended(&self, noted: usize) {
        self.disturbances.borrow_mut()[noted].until = self.elapsed();
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
            slot.crash();
        }
    }
}

impl DaemonSlot {
    fn new(
        settings: &SoakSettings,
        net: u8,
        number: u8,
        store: &StoreStandIn,
        duties: &DutyStandIn,
    ) -> Result<Self, SoakError> {
        let zone = ZONES[usize::from(number) % ZONES.len()];
        let what = "the network";
        let relay = Relay::tcp(store.address()).context(StandInSnafu { what })?;
        let host = Host {
            vm: format!("entry-{number}"),
            ip: [127, 9, net, number + 1].into(),
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
