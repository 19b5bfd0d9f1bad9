//! Stand-in for a plain service: counts what ran, and how often.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, web};
use compact_str::CompactString;
use laburnumstall_platform::endpoint::{headers, paths};

use crate::gate::Gate;
use crate::server::{Server, StandIn, broken_response};

/// Faults of a plain service.
#[derive(Debug, Clone, Default)]
pub struct PlainFaults {
    /// Time that each run takes.
    pub delay: Duration,
    /// Status of each answer instead of 200.
    pub status: Option<u16>,
    /// Calls whose connection breaks after they ran.
    pub resets_after_run: u32,
    /// Calls whose connection breaks before they run.
    pub resets_before_run: u32,
}

/// Runs so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlainRuns {
    /// Runs in all.
    pub total: u64,
    /// Runs by idempotency key.
    pub by_key: BTreeMap<CompactString, u64>,
    /// Runs by body.
    pub by_body: BTreeMap<String, u64>,
}

/// State shared by the calls.
pub struct Plain {
    checks_keys: bool,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    faults: PlainFaults,
    runs: PlainRuns,
    answers: BTreeMap<CompactString, String>,
}

/// A running plain service.
pub struct PlainStandIn {
    server: Server<Plain>,
}

impl PlainStandIn {
    /// Starts a service; with `checks_keys` it runs a repeated idempotency key once and
    /// repeats its answer.
    ///
    /// # Errors
    ///
    /// Returns the error of binding or of starting a thread.
    pub fn start(checks_keys: bool) -> io::Result<Self> {
        let plain = Plain {
            checks_keys,
            inner: Mutex::default(),
        };
        let server = Server::start(Arc::new(plain), Arc::default())?;
        Ok(Self { server })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the faults of the connections: delay and silence.
    pub fn gate(&self) -> &Gate {
        self.server.gate()
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: PlainFaults) {
        self.server.state().inner().faults = faults;
    }

    /// Returns the runs so far.
    pub fn runs(&self) -> PlainRuns {
        self.server.state().inner().runs.clone()
    }

    /// Breaks all connections and refuses new ones until [`Self::restart`].
    pub fn crash(&self) {
        self.server.crash();
    }

    /// Starts again at the same address; the counters stay.
    ///
    /// # Errors
    ///
    /// Returns the error of binding or of starting a thread.
    pub fn restart(&self) -> io::Result<()> {
        self.server.resume()
    }

    /// Stops the stand-in.
    pub fn close(self) {
        self.server.close();
    }
}

/// Returns the answer to a call.
pub fn expected_plain_answer(method: &str, path: &str, body: &str) -> String {
    format!("ran {method} {path} {body}")
}

impl Plain {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }

    /// Runs a call, or repeats the answer of its key.
    fn run(&self, key: Option<CompactString>, body: &str, answer: String) -> String {
        let mut inner = self.inner();
        let known = key.as_ref().and_then(|key| inner.answers.get(key));
        if let (true, Some(known)) = (self.checks_keys, known) {
            return known.clone();
        }
        inner.runs.total += 1;
        *inner.runs.by_body.entry(body.to_owned()).or_default() += 1;
        if let Some(key) = key {
            *inner.runs.by_key.entry(key.clone()).or_default() += 1;
            inner.answers.insert(key, answer.clone());
        }
        answer
    }
}

impl StandIn for Plain {
    fn routes(cfg: &mut web::ServiceConfig) {
        cfg.route(paths::HEALTH, web::get().to(crate::engine::healthy));
        cfg.default_service(web::to(answer));
    }
}

fn takes_one(count: &mut u32) -> bool {
    let is_taken = *count > 0;
    *count = count.saturating_sub(1);
    is_taken
}

async fn answer(plain: web::Data<Plain>, req: HttpRequest, body: String) -> HttpResponse {
    if takes_one(&mut plain.inner().faults.resets_before_run) {
        return broken_response();
    }
    let faults = plain.inner().faults.clone();
    let path = req
        .uri()
        .path_and_query()
        .map_or(req.path(), |path| path.as_str());
    let answer = expected_plain_answer(req.method().as_str(), path, &body);
    let key = req
        .headers()
        .get(headers::IDEMPOTENCY_KEY)
        .and_then(|value| value.to_str().ok())
        .map(CompactString::from);
    let answer = plain.run(key, &body, answer);
    tokio::time::sleep(faults.delay).await;
    if takes_one(&mut plain.inner().faults.resets_after_run) {
        return broken_response();
    }
    let status = faults.status.and_then(|s| StatusCode::from_u16(s).ok());
    HttpResponse::build(status.unwrap_or(StatusCode::OK))
        .content_type("text/plain; charset=utf-8")
        .body(answer)
}
