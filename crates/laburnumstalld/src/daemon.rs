//! Start and stop of a daemon.
//!
//! A daemon runs one thread for control state, one for links to other daemons, one for the
//! platform, and traffic threads for callers and endpoints. All are stopped once the control
//! thread has ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use actix::{Actor, Arbiter};
use actix_web::dev::ServerHandle;
use actix_web::{App, HttpServer, web};
use laburnumstall_core::budget::CallRates;
use laburnumstall_core::entry::{Entry, EntrySettings, Event};
use laburnumstall_core::ids::{DaemonId, Incarnation, ParseIdError, VmId};
use laburnumstall_core::membership::Member;
use laburnumstall_core::units::{RequestRate, Timestamp};
use laburnumstall_peer::{Identity, PeerEndpoint, PeerError, PeerTimeouts, Pins};
use snafu::{ResultExt, Snafu};
use tokio::sync::{mpsc, oneshot};

use crate::admin::{self, Admin};
use crate::clock::Clock;
use crate::control::{Control, ControlParts, DecisionSink, ExitReason};
use crate::front::{self, Front};
use crate::inbox::{Inbox, Input};
use crate::links::{self, Links};
use crate::metrics::{Metrics, MetricsError};
use crate::placement::{EndpointCalls, PlacementDriver, PlacementParts};
use crate::platform::Platform;
use crate::settings::Settings;
use crate::snapshot::Published;
use crate::traffic::TrafficPool;

/// Seconds that a stopping server waits for open connections.
const SERVER_STOP_SECS: u64 = 2;

/// Placement gets one in this many calls to the key-value service.
const PLACEMENT_SHARE_DIVISOR: u64 = 8;

/// Why a daemon could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// Binding a listen address failed.
    #[snafu(display("cannot listen on {address} for {purpose}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Who connects there.
        purpose: &'static str,
        /// Underlying error.
        source: std::io::Error,
    },
    /// Setting up the links to other daemons failed.
    #[snafu(display("cannot set up the links to other daemons"))]
    Peer {
        /// Underlying error.
        source: PeerError,
    },
    /// Registering the metrics failed.
    #[snafu(display("cannot register the metrics"))]
    Metrics {
        /// Underlying error.
        source: MetricsError,
    },
    /// The region's name is not valid in a key.
    #[snafu(display("cannot use the region's name as a key"))]
    Region {
        /// Underlying error.
        source: ParseIdError,
    },
    /// The link thread ended before the links were set up.
    #[snafu(display("the link thread ended before the links were set up"))]
    LinkThread,
}

/// A running daemon.
pub struct Daemon {
    id: DaemonId,
    callers: SocketAddr,
    operators: SocketAddr,
    inbox: Inbox,
    clock: Clock,
    ended: oneshot::Receiver<ExitReason>,
}

/// Listening sockets of a daemon.
struct Listeners {
    callers: std::net::TcpListener,
    operators: std::net::TcpListener,
}

impl Daemon {
    /// Returns the identity of a daemon that starts now on `vm`; its incarnation is the
    /// current time.
    pub fn identity(vm: &VmId) -> DaemonId {
        DaemonId {
            vm: vm.clone(),
            incarnation: Incarnation(Clock::start().now().0),
        }
    }

    /// Starts a daemon whose decisions go to `sink`.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if a listen address cannot be bound, the links or metrics cannot
    /// be set up, or the region's name is not valid in a key.
    pub async fn start<S>(settings: Settings, id: DaemonId, mut sink: S) -> Result<Self, StartError>
    where
        S: DecisionSink + Send + 'static,
    {
        let clock = Clock::start();
        let metrics = Metrics::new().context(MetricsSnafu)?;
        let listeners = listen(&settings)?;
        let callers = local_address(&listeners.callers, "callers")?;
        let operators = local_address(&listeners.operators, "operators")?;
        let inbox = Inbox::default();
        let link_arbiter = Arbiter::new();
        let (links, member) = start_links(&settings, &id, callers, &link_arbiter, &inbox).await?;
        let published = Published::default();
        let platform_arbiter = Arbiter::new();
        let platform = {
            let settings = settings.clone();
            let inbox = inbox.clone();
            let metrics = metrics.clone();
            Platform::start_in_arbiter(&platform_arbiter.handle(), move |_| {
                Platform::new(&settings, inbox, metrics)
            })
        };
        let [entry_rates, placement_rates] = call_rates(settings.store_calls_per_second);
        let placement = match settings.cloud {
            Some(_) => {
                let inbox = inbox.clone();
                let start = move |_: &mut _| EndpointCalls::new(clock, inbox);
                let handle = platform_arbiter.handle();
                let parts = PlacementParts {
                    own: id.clone(),
                    region: settings.region.clone(),
                    clock,
                    platform: platform.clone(),
                    endpoints: EndpointCalls::start_in_arbiter(&handle, start),
                    rates: placement_rates,
                };
                Some(PlacementDriver::new(parts).context(RegionSnafu)?)
            }
            None => None,
        };
        let endpoint_arbiters: Vec<Arbiter> = (0..settings.workers.max(1))
            .map(|_| Arbiter::new())
            .collect();
        let traffic = TrafficPool::start(&endpoint_arbiters, &inbox);
        let front = Front {
            inbox: inbox.clone(),
            published: published.clone(),
            clock,
            max_body: settings.max_body.get() as usize,
            next_caller: Arc::new(AtomicU64::new(1)),
        };
        let admin = Admin {
            inbox: inbox.clone(),
            platform: platform.clone(),
            keys: Arc::new(settings.operator_keys.clone()),
            metrics: metrics.clone(),
            next_token: Arc::new(AtomicU64::new(1)),
        };
        let servers = serve(&settings, listeners, front, admin)?;
        let entry_settings = EntrySettings {
            member,
            directory_max_age: settings.directory_max_age,
        };
        sink.record_start(&entry_settings);
        let parts = ControlParts {
            entry: Entry::new(entry_settings).with_call_rates(entry_rates),
            clock,
            inbox: inbox.clone(),
            published,
            max_age: settings.directory_max_age,
            links,
            traffic,
            platform,
            sink,
            metrics,
            placement,
        };
        let (tx, ended) = oneshot::channel();
        let threads = Threads {
            links: link_arbiter,
            platform: platform_arbiter,
            endpoints: endpoint_arbiters,
            servers,
        };
        run_control(parts, threads, tx);
        Ok(Self {
            id,
            callers,
            operators,
            inbox,
            clock,
            ended,
        })
    }

    /// Returns the daemon's identity.
    pub fn id(&self) -> &DaemonId {
        &self.id
    }

    /// Returns the local address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the local address for operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Returns the current time of the daemon's clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Starts a planned stop, or with a deadline a handover that ends by then.
    pub fn stop(&self, deadline: Option<Timestamp>) {
        self.inbox.event(Event::Stop { deadline });
    }

    /// Ends the daemon at once, as in a crash.
    pub fn halt(&self) {
        self.inbox.push(Input::Halt);
    }

    /// Waits until the daemon has ended.
    pub async fn wait(&mut self) -> ExitReason {
        let ended = &mut self.ended;
        ended.await.unwrap_or(ExitReason::Halted)
    }

    /// Waits until the daemon has ended and drops it.
    pub async fn close(mut self) -> ExitReason {
        self.wait().await
    }
}

/// Threads and servers stopped after the control thread.
struct Threads {
    links: Arbiter,
    platform: Arbiter,
    endpoints: Vec<Arbiter>,
    servers: Vec<ServerHandle>,
}

impl Threads {
    async fn close(self, end: ExitReason) {
        let is_graceful = end == ExitReason::Finished;
        for server in self.servers {
            server.stop(is_graceful).await;
        }
        self.platform.stop();
        self.links.stop();
        for arbiter in self.endpoints {
            arbiter.stop();
        }
    }
}

fn run_control<S>(parts: ControlParts<S>, threads: Threads, tx: oneshot::Sender<ExitReason>)
where
    S: DecisionSink + Send + 'static,
{
    let arbiter = Arbiter::new();
    let handle = arbiter.handle();
    arbiter.spawn(async move {
        let control = Control::new(parts);
        let (end, links) = control.run().await;
        if end == ExitReason::Finished {
            links.close().await;
        }
        threads.close(end).await;
        // The receiver is dropped if the `Daemon` was.
        let _ = tx.send(end);
        handle.stop();
    });
}

fn listen(settings: &Settings) -> Result<Listeners, StartError> {
    let bind = |address: SocketAddr, purpose: &'static str| {
        std::net::TcpListener::bind(address).context(ListenSnafu { address, purpose })
    };
    Ok(Listeners {
        callers: bind(settings.listen, "callers")?,
        operators: bind(settings.admin_listen, "operators")?,
    })
}

fn local_address(
    listener: &std::net::TcpListener,
    purpose: &'static str,
) -> Result<SocketAddr, StartError> {
    let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
    listener.local_addr().context(ListenSnafu {
        address: unknown,
        purpose,
    })
}

/// Sets up the links on the arbiter's thread.
async fn start_links(
    settings: &Settings,
    id: &DaemonId,
    callers: SocketAddr,
    arbiter: &Arbiter,
    inbox: &Inbox,
) -> Result<(Links, Member), StartError> {
    let identity = Identity::generate(id).context(PeerSnafu)?;
    let certificate = identity.fingerprint();
    let pins = Pins::default();
    let local = settings.peer_listen;
    let (tx, rx) = oneshot::channel();
    let inbox = inbox.clone();
    let link_pins = pins.clone();
    arbiter.spawn(async move {
        let (events, queue) = mpsc::channel(links::EVENT_QUEUE);
        let timeouts = PeerTimeouts::default();
        let bound = PeerEndpoint::bind(identity, local, link_pins, timeouts, events);
        // The receiver is awaited below.
        let _ = tx.send(bound);
        links::forward(queue, inbox).await;
    });
    let endpoint = match rx.await {
        Ok(bound) => bound.context(PeerSnafu)?,
        Err(_) => return LinkThreadSnafu.fail(),
    };
    let member = Member {
        id: id.clone(),
        zone: settings.zone.clone(),
        peer_address: settings.peer_advertise.unwrap_or(endpoint.local_address()),
        caller_address: settings.advertise.unwrap_or(callers),
        certificate,
        leaving: false,
    };
    Ok((Links::new(endpoint, pins), member))
}

fn serve(
    settings: &Settings,
    listeners: Listeners,
    front: Front,
    admin: Admin,
) -> Result<Vec<ServerHandle>, StartError> {
    let callers = local_address(&listeners.callers, "callers")?;
    let operators = local_address(&listeners.operators, "operators")?;
    let front_server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(front.clone()))
            .configure(front::routes)
    })
    .workers(settings.workers.max(1))
    .disable_signals()
    .shutdown_timeout(SERVER_STOP_SECS)
    .listen(listeners.callers)
    .context(ListenSnafu {
        address: callers,
        purpose: "callers",
    })?
    .run();
    let admin_server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(admin.clone()))
            .configure(admin::routes)
    })
    .workers(1)
    .disable_signals()
    .shutdown_timeout(SERVER_STOP_SECS)
    .listen(listeners.operators)
    .context(ListenSnafu {
        address: operators,
        purpose: "operators",
    })?
    .run();
    let handles = vec![front_server.handle(), admin_server.handle()];
    actix::spawn(front_server);
    actix::spawn(admin_server);
    Ok(handles)
}

/// Splits the call rate between the entry and placement. Placement gets an eighth; a quarter
/// of each share is for writes.
fn call_rates(calls_per_second: u32) -> [CallRates; 2] {
    let calls = u64::from(calls_per_second);
    let placement = (calls / PLACEMENT_SHARE_DIVISOR).max(1);
    let split = |calls: u64| {
        let writes = (calls / 4).max(1);
        CallRates {
            reads: RequestRate((calls - writes.min(calls)).max(1)),
            writes: RequestRate(writes),
        }
    };
    [split(calls - placement.min(calls)), split(placement)]
}
