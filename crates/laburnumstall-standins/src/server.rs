//! A server on loopback that can crash and start again at the same address.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, mpsc};
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

/// Longest time that a crash waits for the server's threads.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// The part of a stand-in that differs from the others.
pub trait StandIn: Send + Sync + 'static {
    /// Registers the paths.
    fn routes(cfg: &mut web::ServiceConfig);

    /// Starts work beside the calls, on the server's thread.
    fn spawn(self: Arc<Self>) {}

    /// Forgets what a new process would not know.
    fn restart(&self) {}
}

/// A running stand-in.
pub struct Server<S> {
    address: SocketAddr,
    state: Arc<S>,
    gate: Arc<Gate>,
    thread: Mutex<Option<JoinHandle<io::Result<()>>>>,
}

impl<S: StandIn> Server<S> {
    /// Starts at a port of the system's choice.
    ///
    /// # Errors
    ///
    /// Returns the error of binding or of starting a thread.
    pub fn start(state: Arc<S>, gate: Arc<Gate>) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let server = Self {
            address: listener.local_addr()?,
            state,
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

    /// Returns the state.
    pub fn state(&self) -> &Arc<S> {
        &self.state
    }

    /// Returns the faults of the connections.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Breaks all connections and refuses new ones until [`Self::restart`].
    pub fn crash(&self) {
        self.gate.crash();
        self.join();
    }

    /// Starts again at the same address, as a new process.
    ///
    /// # Errors
    ///
    /// Returns the error of binding or of starting a thread.
    pub fn restart(&self) -> io::Result<()> {
        self.crash();
        self.state.restart();
        self.run(TcpListener::bind(self.address)?)
    }

    /// Starts again at the same address with all that it knew.
    ///
    /// # Errors
    ///
    /// Returns the error of binding or of starting a thread.
    pub fn resume(&self) -> io::Result<()> {
        self.crash();
        self.run(TcpListener::bind(self.address)?)
    }

    /// Stops the server.
    pub fn close(self) {
        self.crash();
    }

    fn join(&self) {
        let mut thread = self.thread.lock().expect("no holder of the lock panics");
        if let Some(Err(panic)) = thread.take().map(JoinHandle::join) {
            std::panic::resume_unwind(panic);
        }
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
        let handle = rx.recv_timeout(STOP_TIMEOUT).map_err(io::Error::other)?;
        self.gate.set_handle(handle);
        let mut held = self.thread.lock().expect("no holder of the lock panics");
        *held = Some(thread);
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
            .app_data(web::Data::from(gate.clone()))
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
