//! Stand-in for a model engine: continuous batching, a bounded prefix cache and answers
//! that follow from the conversation alone.
//!
//! A loop takes one step each token period: waiting streams enter the batch by priority,
//! and each running stream gets one token. Readers follow a stream's tokens by index, so a
//! stream outlives its connection and can be read again until it is cancelled.

mod batch;
mod cache;
mod http;
mod text;

pub use batch::EngineCounts;
pub use text::{expected_answer, expected_tokens};

pub(crate) use http::{header, healthy};

use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use actix_web::web;
use laburnumstall_core::cloud::EndpointOrder;
use laburnumstall_core::ids::{EndpointId, ServiceName};
use laburnumstall_core::units::TokenRate;
use tokio::sync::watch;

use crate::gate::Gate;
use crate::server::{Server, StandIn, lock};
use batch::Batch;

/// Properties of an engine.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    /// Name in load reports.
    pub id: EndpointId,
    /// Services that are loaded at the start.
    pub services: Vec<ServiceName>,
    /// Time between two tokens of one stream.
    pub token_period: Duration,
    /// Prompt tokens processed a second.
    pub prefill: TokenRate,
    /// Most streams that run at once.
    pub batch: u32,
    /// Prefix blocks that the cache holds.
    pub cache_blocks: usize,
    /// Age of the figures in load reports.
    pub load_lag: Duration,
    /// Time after which a cache event is published.
    pub cache_lag: Duration,
    /// Loses each n-th cache event; zero loses none.
    pub lost_cache_event: u64,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// Time that an order takes to come into effect.
    pub load_time: Duration,
}

impl EngineSpec {
    /// Returns an engine with 2 ms between tokens, 8 places and 512 cache blocks.
    pub fn new(id: EndpointId) -> Self {
        Self {
            id,
            services: Vec::new(),
            token_period: Duration::from_millis(2),
            prefill: TokenRate(100_000),
            batch: 8,
            cache_blocks: 512,
            load_lag: Duration::ZERO,
            cache_lag: Duration::ZERO,
            lost_cache_event: 0,
            checks_fencing: true,
            load_time: Duration::ZERO,
        }
    }
}

/// State shared by the calls and the loop.
pub struct Engine {
    spec: EngineSpec,
    gate: Arc<Gate>,
    batch: Mutex<Batch>,
    faults: Mutex<EngineFaults>,
    stepped: watch::Sender<()>,
}

/// Faults of an engine beside those of its connections.
#[derive(Debug, Clone, Default)]
pub struct EngineFaults {
    /// The engine crashes when it begins to run a body that contains this text.
    pub crash_marker: Option<String>,
    /// Additional token periods between two tokens.
    pub slowdown: u32,
    /// New streams are refused with status 503.
    pub is_leaving: bool,
    /// Streams end without their end mark after this many tokens.
    pub truncate_after: Option<usize>,
}

/// A running model engine. `restart` starts it with nothing cached and no streams.
pub type EngineStandIn = Server<Engine>;

impl EngineStandIn {
    /// Starts an engine.
    pub fn start(spec: EngineSpec) -> io::Result<Self> {
        let gate = Arc::<Gate>::default();
        let engine = Engine {
            batch: Mutex::new(Batch::new(&spec)),
            spec,
            gate: gate.clone(),
            faults: Mutex::default(),
            stepped: watch::Sender::new(()),
        };
        Self::serve(engine, gate)
    }

    /// Sets the faults of the engine.
    pub fn set_faults(&self, faults: EngineFaults) {
        *self.state.faults() = faults;
    }

    /// Tells whether the engine has crashed and was not started again.
    pub fn is_crashed(&self) -> bool {
        !self.gate().is_serving()
    }

    /// Returns the counters, which outlive crashes.
    pub fn counts(&self) -> EngineCounts {
        self.state.batch().counts
    }

    /// Returns the orders that took effect, in order.
    pub fn orders(&self) -> Vec<EndpointOrder> {
        self.state.batch().orders.clone()
    }
}

impl Engine {
    fn batch(&self) -> MutexGuard<'_, Batch> {
        lock(&self.batch)
    }

    fn faults(&self) -> MutexGuard<'_, EngineFaults> {
        lock(&self.faults)
    }

    /// Steps the batch until the server's thread ends.
    async fn run(self: Arc<Self>) {
        loop {
            let slowdown = self.faults().slowdown;
            tokio::time::sleep(self.spec.token_period * (1 + slowdown)).await;
            if self.gate.is_frozen() {
                continue;
            }
            let marker = self.faults().crash_marker.clone();
            let has_crashed = self.batch().step(Instant::now(), marker.as_deref());
            if has_crashed {
                self.gate.crash();
                return;
            }
            self.stepped.send_replace(());
        }
    }
}

impl StandIn for Engine {
    fn routes(cfg: &mut web::ServiceConfig) {
        http::routes(cfg);
    }

    fn spawn(self: Arc<Self>) {
        actix_rt::spawn(self.run());
    }

    fn forget(&self) {
        self.batch().forget();
    }
}
