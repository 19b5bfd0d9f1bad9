//! The requests of a plan, in order, from a seed.

use std::time::Duration;

use laburnumstall_core::request::Dialect;
use laburnumstall_core::units::Timestamp;
use serde_json::json;
use uuid::Builder;

use super::plan::{CallerKey, LoadPlan, MixPart};

/// Prompts of one customer and service share this part of their length, in percent.
const SHARED_PROMPT_PERCENT: u64 = 75;

/// A request of the workload.
#[derive(Debug, Clone, PartialEq)]
pub struct SentRequest {
    /// Number of the request, from zero.
    pub number: u64,
    /// When it is sent, counted from the start.
    pub at: Duration,
    /// Kind of the request.
    pub part: MixPart,
    /// Who sends it.
    pub caller: CallerKey,
    /// Text in the body that no other request has.
    pub nonce: String,
    /// Idempotency key, the same for each repetition: a UUID of version 7 (RFC 9562).
    pub key: String,
    /// Path of the call, with the service for a plain one.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
}

/// Makes the requests of a plan; the same plan gives the same requests.
#[derive(Debug)]
pub struct Workload {
    plan: LoadPlan,
    started_at: Timestamp,
    rng: fastrand::Rng,
    next_number: u64,
    next_at: Duration,
}

impl Workload {
    /// Starts the workload of a plan, with keys that carry the Unix epoch as their time.
    pub fn new(plan: &LoadPlan) -> Self {
        Self::starting_at(plan, Timestamp(0))
    }

    /// Starts the workload of a plan at a time, which its idempotency keys carry.
    pub fn starting_at(plan: &LoadPlan, started_at: Timestamp) -> Self {
        Self {
            plan: plan.clone(),
            started_at,
            rng: fastrand::Rng::with_seed(plan.seed),
            next_number: 0,
            next_at: Duration::ZERO,
        }
    }

    fn pick_part(&mut self) -> Option<MixPart> {
        let total: u64 = self
            .plan
            .mix
            .iter()
            .map(|part| u64::from(part.weight))
            .sum();
        let mut ticket = self.rng.u64(..total.max(1));
        for part in &self.plan.mix {
            let weight = u64::from(part.weight);
            if ticket < weight {
                return Some(part.clone());
            }
            ticket -= weight;
        }
        None
    }

    /// Draws the idempotency key of a request that is sent `at` after the start.
    fn key(&mut self, at: Duration) -> String {
        new_key(self.started_at.after(at), &mut self.rng)
    }

    /// Draws the gap to the next request: exponential, so that arrivals are a Poisson process.
    fn gap(&mut self) -> Duration {
        let rate = self.plan.rate.get().max(1) as f64;
        let uniform = 1.0 - self.rng.f64();
        Duration::from_secs_f64(-uniform.ln() / rate)
    }
}

/// Draws an idempotency key that carries a time: a UUID of version 7 (RFC 9562).
pub(crate) fn new_key(at: Timestamp, rng: &mut fastrand::Rng) -> String {
    let mut random = [0; 10];
    rng.fill(&mut random);
    let key = Builder::from_unix_timestamp_millis(at.0 / 1_000, &random);
    key.into_uuid().to_string()
}

impl Iterator for Workload {
    type Item = SentRequest;

    fn next(&mut self) -> Option<SentRequest> {
        let at = self.next_at + self.gap();
        if at > self.plan.duration || self.plan.callers.is_empty() {
            return None;
        }
        let part = self.pick_part()?;
        let caller = self.rng.usize(..self.plan.callers.len());
        let caller = self.plan.callers[caller].clone();
        let nonce = format!("{:016x}", self.rng.u64(..));
        let number = self.next_number;
        self.next_number += 1;
        self.next_at = at;
        let key = self.key(at);
        Some(SentRequest {
            number,
            at,
            path: path_of(&part),
            body: body_of(&part, &caller, &nonce),
            key,
            part,
            caller,
            nonce,
        })
    }
}

fn path_of(part: &MixPart) -> String {
    match part.dialect {
        Dialect::Plain => format!("/services/{}{}", part.service, part.path),
        _ => part.path.clone(),
    }
}

fn body_of(part: &MixPart, caller: &CallerKey, nonce: &str) -> Vec<u8> {
    let body = match part.dialect {
        Dialect::Plain => json!({ "order": nonce }),
        Dialect::Chat => json!({
            "model": part.service,
            "messages": [{ "role": "user", "content": prompt(part, caller, nonce) }],
            "max_tokens": part.answer,
            "stream": true,
        }),
        Dialect::Completion => json!({
            "model": part.service,
            "prompt": prompt(part, caller, nonce),
            "max_tokens": part.answer,
            "stream": true,
        }),
    };
    body.to_string().into_bytes()
}

/// Writes a prompt that begins alike for all requests of a customer to a service.
fn prompt(part: &MixPart, caller: &CallerKey, nonce: &str) -> String {
    let size = part.prompt.get() as usize;
    let shared = size * SHARED_PROMPT_PERCENT as usize / 100;
    let common = format!("history of {} at {}; ", caller.customer, part.service);
    let own = format!("request {nonce}; ");
    let mut text = common.repeat(shared.div_ceil(common.len()));
    text.truncate(shared);
    text.push_str(&own);
    while text.len() < size {
        text.push_str(&own);
    }
    text
}
