//! A server on loopback that can crash and start again at the same address.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, mpsc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix_web::body::SizedStream;
use actix_web::middleware::from_fn;
use actix_web::{App, HttpResponse, HttpServer, web};
use bytes::Bytes;
use futures_util::stream;
use laburnumstall_core::units::Timestamp;

use crate::gate::{Gate, pass};

/// Largest body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Longest time that a start waits for the server.
const START_TIMEOUT: Duration = Duration::from_secs(5);

/// The part of a stand-in that differs from the others.
pub trait StandIn: Send + Sync + 'static {
    /// Registers the paths.
    fn routes(cfg: &mut web::ServiceConfig);

    /// Starts work beside the calls, on the server's thread.
    fn spawn(self: Arc<Self>) {}

    /// Forgets what a new process would not know.
    fn forget(&self) {}
}

/// A running stand-in. Starting fails only if no port or thread can be had.
pub struct Server<S> {
    address: SocketAddr,
    pub(crate) state: Arc<S>,
    gate: Arc<Gate>,
    thread: Mutex<Option<JoinHandle<io::Result<()>>>>,
}

impl<S: StandIn> Server<S> {
    /// Starts at a port of the system's choice.
    pub(crate) fn serve(state: S, gate: Arc<Gate>) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let server = Self {
            address: listener.local_addr()?,
            state: Arc::new(state),
            gate,
            thread: Mutex::default(),
        };
        server.run(listener)?;
        Ok(server)
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the faults of the connections: delay, silence and crash.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Breaks all connections and refuses new ones.
    pub fn crash(&self) {
        self.gate.crash();
        let thread = lock(&self.thread).take();
        if let Some(Err(panic)) = thread.map(JoinHandle::join) {
            std::panic::resume_unwind(panic);
        }
    }

    /// Starts again at the same address, as a new process.
    pub fn restart(&self) -> io::Result<()> {
        self.crash();
        self.state.forget();
        self.resume()
    }

    /// Starts again at the same address with all that it knew.
    pub fn resume(&self) -> io::Result<()> {
        self.crash();
        self.run(TcpListener::bind(self.address)?)
    }

    /// Stops the stand-in.
    pub fn close(self) {
        self.crash();
    }

    fn run(&self, listener: TcpListener) -> io::Result<()> {
        let (tx, rx) = mpsc::channel();
        let state = self.state.clone();
        let gate = self.gate.clone();
        let serve = move || {
            actix_rt::System::new().block_on(async move {
                let server = build(state, gate, listener)?;
                // The starter waits for the handle.
                let _ = tx.send(server.handle());
                server.await
            })
        };
        let thread = thread::Builder::new()
            .name("stand-in".into())
            .spawn(serve)?;
        let handle = rx.recv_timeout(START_TIMEOUT).map_err(io::Error::other)?;
        *lock(&self.gate.handle) = Some(handle);
        *lock(&self.thread) = Some(thread);
        Ok(())
    }
}

fn build<S: StandIn>(
    state: Arc<S>,
    gate: Arc<Gate>,
    listener: TcpListener,
) -> io::Result<actix_web::dev::Server> {
    let connections = gate.clone();
    let app = move || {
        let gate = gate.clone();
        state.clone().spawn();
        App::new()
            .app_data(web::Data::from(state.clone()))
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
            .wrap(from_fn(move |req, next| pass(gate.clone(), req, next)))
            .configure(S::routes)
    };
    let server = HttpServer::new(app)
        .workers(1)
        .disable_signals()
        .h1_allow_half_closed(false)
        .on_connect(move |_, data| {
            data.insert(connections.next_connection());
        })
        .listen(listener)?;
    Ok(server.run())
}

/// Locks a mutex whose holders never panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}

/// Counts a fault down; true if it still applies.
pub(crate) fn count_down(left: &mut u32) -> bool {
    let applies = *left > 0;
    *left = left.saturating_sub(1);
    applies
}

/// Returns an answer whose connection breaks before the body.
pub(crate) fn broken_response() -> HttpResponse {
    let error = io::Error::from(io::ErrorKind::ConnectionReset);
    let body = stream::once(async move { Err::<Bytes, _>(error) });
    HttpResponse::Ok().body(SizedStream::new(1, body))
}

/// Returns the time since the Unix epoch.
pub fn unix_now() -> Timestamp {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Timestamp(since.unwrap_or_default().as_micros() as u64)
}
