//! Stand-in for a plain service: counts what ran, and how often.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, web};
use compact_str::CompactString;
use laburnumstall_outside::endpoint::{headers, paths};

use crate::engine::{header, healthy};
use crate::server::{Server, StandIn, broken_response, count_down, lock};

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

/// A running plain service. `crash` and `resume` make an outage; the counters stay.
pub type PlainStandIn = Server<Plain>;

impl PlainStandIn {
    /// Starts a service; with `checks_keys` it runs a repeated idempotency key once and
    /// repeats its answer.
    pub fn start(checks_keys: bool) -> io::Result<Self> {
        let inner = Mutex::default();
        Self::serve(Plain { checks_keys, inner }, Arc::default())
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: PlainFaults) {
        lock(&self.state.inner).faults = faults;
    }

    /// Returns the runs so far.
    pub fn runs(&self) -> PlainRuns {
        lock(&self.state.inner).runs.clone()
    }
}

/// Returns the answer to a call.
pub fn expected_plain_answer(method: &str, path: &str, body: &str) -> String {
    format!("ran {method} {path} {body}")
}

impl Plain {
    /// Runs a call, or repeats the answer of its key.
    fn run(&self, key: Option<CompactString>, body: &str, answer: String) -> String {
        let mut inner = lock(&self.inner);
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
        cfg.route(paths::HEALTH, web::get().to(healthy));
        cfg.default_service(web::to(answer));
    }
}

async fn answer(plain: web::Data<Plain>, req: HttpRequest, body: String) -> HttpResponse {
    if count_down(&mut lock(&plain.inner).faults.resets_before_run) {
        return broken_response();
    }
    let faults = lock(&plain.inner).faults.clone();
    let path = req.uri().to_string();
    let answer = expected_plain_answer(req.method().as_str(), &path, &body);
    let key = header(req.headers(), headers::IDEMPOTENCY_KEY);
    let answer = plain.run(key.map(CompactString::from), &body, answer);
    tokio::time::sleep(faults.delay).await;
    if count_down(&mut lock(&plain.inner).faults.resets_after_run) {
        return broken_response();
    }
    let status = faults.status.and_then(|s| StatusCode::from_u16(s).ok());
    let mut response = HttpResponse::build(status.unwrap_or(StatusCode::OK));
    if let Some(name) = header(req.headers(), headers::REQUEST_ID) {
        response.insert_header((headers::REQUEST_ID, name));
    }
    response
        .content_type("text/plain; charset=utf-8")
        .body(answer)
}
