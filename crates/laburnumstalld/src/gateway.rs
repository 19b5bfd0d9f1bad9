//! The daemon as a gateway on a host platform: each request lives as long as its caller's
//! connection.
//!
//! All tasks run on one thread. `listener` reads requests, `call` serves each one as the
//! core decides, `admission` lets it wait for capacity, `stream` forwards event streams and
//! `upstream` calls endpoints.
//! `store_sync` follows the key-value store, `registration` registers the daemon there, `gossip` exchanges messages with peers,
//! `origins` finds out at which software version a stream goes on that a caller takes up,
//! `marks` marks services with several versions in the key-value store, `stored_versions` writes
//! there at which versions streams begin, `stored_origins` the origins of streams,
//! `leader` performs the duties of the lease holder, and `directory` answers address lookups,
//! readiness probes and metrics scrapes.

mod admission;
mod call;
mod context;
mod crash_checks;
mod directory;
mod gossip;
mod leader;
mod listener;
mod log;
mod marks;
pub mod metrics;
mod origins;
mod registration;
mod replacement;
mod response;
mod rules_floor;
mod store_sync;
mod stored_origins;
mod stored_versions;
mod stream;
mod upstream;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use laburnumstall_core::gateway::{Gateway, PlannedStop};
use laburnumstall_core::hash::digest64;
use laburnumstall_core::ids::{DaemonId, Incarnation, ParseIdError};
use laburnumstall_core::membership::Member;
use laburnumstall_outside::http::HttpSettings;
use laburnumstall_peer::{Identity, PeerEndpoint, PeerError, PeerTimeouts, Pins};
use laburnumstall_platform::duties::DutyClient;
use laburnumstall_platform::settings::{HostSettings, HostSettingsError};
use laburnumstall_platform::store::Store;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};

use crate::clock::Clock;
use crate::logging::{EventLog, LogError};
use context::Context;
use leader::LeaderDuties;
use log::{DecisionLog, Event};
use metrics::GatewayMetrics;

/// Port of the metrics endpoint, on the VM's own address.
pub const METRICS_PORT: u16 = 9464;
/// Length of the queue of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;
/// Timeout of a call to the key-value store, excluding the wait of a long poll: many round
/// trips, but short compared with the time after which keys are no longer trusted.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout of a connection attempt to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a call to the platform's duty interface.
const DUTY_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after the stop request during which callers are still accepted: more than twice the
/// time for which they cache a directory response.
const STOP_ACCEPT_DELAY: Duration = Duration::from_millis(2_500);
/// Time after the stop request at which idle connections are closed.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(1_000);
/// Time by which the process exits before the platform would kill it.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// Time before the exit in which calls in flight are answered that cannot end in time.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(100);
/// Interval of the check whether callers can be accepted.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of the check whether all callers have disconnected.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of the check whether the machine was suspended.
const SUSPEND_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Length of a suspension above which open connections are no longer trusted.
const SUSPEND_THRESHOLD: Duration = Duration::from_millis(800);

/// Reason why a gateway cannot start.
#[derive(Debug, Snafu)]
pub enum GatewayError {
    /// A listening socket cannot be opened.
    #[snafu(display("cannot listen on {address} for {purpose}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What listens there.
        purpose: &'static str,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A signal handler cannot be installed.
    #[snafu(display("cannot install the signal handlers"))]
    Signals {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The log cannot be started.
    #[snafu(display("cannot start the log"))]
    Log {
        /// Why it failed.
        source: LogError,
    },
    /// The endpoint for links to peers cannot be opened.
    #[snafu(display("cannot open the endpoint for links to peers"))]
    Links {
        /// Why it failed.
        source: PeerError,
    },
    /// The metrics cannot be registered.
    #[snafu(display("cannot register the metrics"))]
    Metrics {
        /// Error of the metrics library.
        source: prometheus::Error,
    },
    /// A name is not valid in a key of the key-value store.
    #[snafu(display("a name is not valid in a store key"))]
    Key {
        /// Why the key is rejected.
        source: ParseIdError,
    },
}

/// Runs a gateway until a signal stops it and its callers are served.
///
/// # Errors
///
/// [`GatewayError`] if the gateway cannot start.
pub async fn run(settings: HostSettings) -> Result<(), GatewayError> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalsSnafu)?;
    let stop_request = async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    run_until(settings, stop_request).await
}

/// Runs a gateway until `stop_request` is ready and its callers are served.
///
/// # Errors
///
/// [`GatewayError`] if the gateway cannot start.
pub async fn run_until(
    settings: HostSettings,
    stop_request: impl Future<Output = ()>,
) -> Result<(), GatewayError> {
    let hangup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let clock = Clock::start();
    let own = DaemonId {
        vm: settings.vm.clone(),
        incarnation: Incarnation(clock.now().0),
    };
    let log = EventLog::start(&own, spdlog::Level::Info, std::io::stdout()).context(LogSnafu)?;
    let readiness = listen(settings.readiness, "readiness")?;
    let metrics_address = SocketAddr::new(settings.front.ip(), METRICS_PORT);
    let metrics = listen(metrics_address, "metrics")?;
    let directory = settings
        .directory
        .map(|at| listen(at, "the directory"))
        .transpose()?;

    let pins = Pins::default();
    let identity = Identity::generate(&own).context(LinksSnafu)?;
    let (tx, rx) = mpsc::channel(gossip::EVENT_QUEUE_LEN);
    let timeouts = PeerTimeouts::default();
    let links = PeerEndpoint::bind(identity, settings.peer, pins.clone(), timeouts, tx);
    let links = links.context(LinksSnafu)?;
    let member = Member {
        id: own.clone(),
        zone: settings.zone.clone(),
        peer_address: links.local_address(),
        caller_address: settings.front,
        certificate: links.fingerprint(),
        leaving: false,
    };

    let mut gateway = Gateway::new(
        own.clone(),
        settings.zone.clone(),
        settings.front,
        settings.bounds.clone(),
    );
    gateway.on_daemon_started(clock.now());
    let metrics_registry = GatewayMetrics::register().context(MetricsSnafu)?;
    let cx = Context::new(
        settings,
        links,
        gateway,
        clock,
        DecisionLog::new(log),
        metrics_registry,
    );
    cx.event(
        Event::new("start")
            .with("version", env!("CARGO_PKG_VERSION"))
            .with("zone", &cx.settings.zone)
            .with("front", cx.settings.front)
            .with("store", cx.settings.store),
    );

    let store = Rc::new(Store::new(client_settings(
        cx.settings.store,
        STORE_TIMEOUT,
    )));
    actix_rt::spawn(store_sync::run(
        Rc::clone(&cx),
        Rc::clone(&store),
        backoff_seed(&own),
    ));
    actix_rt::spawn(gossip::tick(Rc::clone(&cx)));
    actix_rt::spawn(admission::run(Rc::clone(&cx)));
    actix_rt::spawn(gossip::send(Rc::clone(&cx), pins));
    actix_rt::spawn(gossip::receive(Rc::clone(&cx), rx));
    actix_rt::spawn(origins::replicate(Rc::clone(&cx)));
    actix_rt::spawn(marks::write(Rc::clone(&cx), Rc::clone(&store)));
    actix_rt::spawn(stored_versions::write(Rc::clone(&cx), Rc::clone(&store)));
    let daemon = own.clone();
    actix_rt::spawn(stored_origins::write(
        Rc::clone(&cx),
        Rc::clone(&store),
        daemon,
    ));
    actix_rt::spawn(rules_floor::write(Rc::clone(&cx), Rc::clone(&store)));
    actix_rt::spawn(crash_checks::run(Rc::clone(&cx)));
    actix_rt::spawn(crash_checks::write(Rc::clone(&cx), Rc::clone(&store)));
    for listener in [Some(readiness), Some(metrics), directory]
        .into_iter()
        .flatten()
    {
        actix_rt::spawn(directory::serve(Rc::clone(&cx), listener));
    }
    if let Some(address) = cx.settings.duties {
        let client = DutyClient::new(client_settings(address, DUTY_CALL_TIMEOUT), own.vm);
        let duties = LeaderDuties::new(Rc::clone(&cx), Rc::clone(&store), client, member.clone())
            .context(KeySnafu)?;
        actix_rt::spawn(duties.run());
    }
    actix_rt::spawn(watch_suspension(Rc::clone(&cx)));
    actix_rt::spawn(reload(Rc::clone(&cx), hangup));
    let mut serving = actix_rt::spawn(serve_callers(Rc::clone(&cx), store, member));

    tokio::select! {
        () = stop_request => {}
        ended = &mut serving => {
            cx.event(Event::new("serving-ended"));
            return ended.unwrap_or(Ok(()));
        }
    }
    stop(&cx, serving).await;
    Ok(())
}

/// Starts to listen for callers only once the gateway is ready: a caller that cannot connect
/// tries another daemon at once, while a refused request uses up one of its attempts.
async fn serve_callers(
    cx: Rc<Context>,
    store: Rc<Store>,
    member: Member,
) -> Result<(), GatewayError> {
    while !cx.with_gateway(|gateway, now| gateway.is_ready(now)) {
        sleep(READY_POLL_INTERVAL).await;
    }
    let listener = listen(cx.settings.front, "callers")?;
    cx.event(Event::new("ready").with("front", cx.settings.front));
    let seed = backoff_seed(&member.id);
    actix_rt::spawn(registration::register(Rc::clone(&cx), store, member, seed));
    listener::accept(cx, listener).await;
    Ok(())
}

/// Leaves the directory, waits for callers to finish, and returns before the platform would
/// kill the process.
async fn stop(cx: &Context, serving: JoinHandle<Result<(), GatewayError>>) {
    let stop_requested = Instant::now();
    let grace = cx.settings.stop_grace.saturating_sub(KILL_MARGIN);
    let answer_time = grace.saturating_sub(LAST_ANSWER_TIME);
    cx.with_gateway(|gateway, now| {
        let stop = PlannedStop {
            admits_until: now.after(STOP_ACCEPT_DELAY),
            answers_until: now.after(answer_time),
        };
        gateway.begin_stop(now, stop);
    });
    cx.stop_signal.notify_waiters();
    let (last_answers, end) = (stop_requested + answer_time, stop_requested + grace);
    sleep_until(last_answers.min(stop_requested + IDLE_CLOSE_DELAY)).await;
    cx.close_idle();
    sleep_until(last_answers.min(stop_requested + STOP_ACCEPT_DELAY)).await;
    serving.abort();
    while cx.callers() > 0 && Instant::now() < last_answers {
        sleep(STOP_POLL_INTERVAL).await;
    }
    cx.cut_off_calls();
    while cx.callers() > 0 && Instant::now() < end {
        sleep(STOP_POLL_INTERVAL).await;
    }
    // Leaves time to send the last gossip messages and to revoke the registration.
    cx.end();
    sleep(STOP_POLL_INTERVAL).await;
    cx.event(
        Event::new("stop")
            .with("callers_left", cx.callers())
            .with("took_ms", stop_requested.elapsed().as_millis()),
    );
    cx.close_log();
}

/// Drops idle connections after a suspension, since the endpoints may have closed them.
async fn watch_suspension(cx: Rc<Context>) {
    loop {
        let (monotonic_start, clock_start) = (Instant::now(), cx.now());
        sleep(SUSPEND_POLL_INTERVAL).await;
        let suspended = cx
            .now()
            .since(clock_start)
            .saturating_sub(monotonic_start.elapsed());
        if suspended > SUSPEND_THRESHOLD {
            cx.event(Event::new("suspended").with("for_ms", suspended.as_millis()));
            cx.pool.clear();
        }
    }
}

/// Reloads the settings file on SIGHUP; only the bounds take effect before a restart.
async fn reload(cx: Rc<Context>, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        match HostSettings::load() {
            Ok(settings) => {
                let is_changed = settings != cx.settings;
                cx.event(Event::new("reload").with("changed", is_changed));
                cx.with_gateway(|gateway, _| gateway.set_bounds(settings.bounds));
            }
            Err(error) => cx.event(Event::new("reload-failed").with("cause", full_message(&error))),
        }
    }
}

/// Formats an error and its chain of causes on one line.
fn full_message(error: &HostSettingsError) -> String {
    let mut message = error.to_string();
    let mut cause = std::error::Error::source(error);
    while let Some(next) = cause {
        message.push_str(": ");
        message.push_str(&next.to_string());
        cause = next.source();
    }
    message
}

/// Returns a number that spreads the retries of daemons that fail together.
fn backoff_seed(own: &DaemonId) -> u64 {
    digest64(&[own.to_string().as_bytes()])
}

fn client_settings(address: SocketAddr, timeout: Duration) -> HttpSettings {
    HttpSettings {
        connect_timeout: CONNECT_TIMEOUT,
        timeout,
        ..HttpSettings::new(address)
    }
}

fn listen(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, GatewayError> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    open().context(ListenSnafu { address, purpose })
}
