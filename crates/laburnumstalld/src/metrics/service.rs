//! Metrics of one service, looked up once per request.

use std::time::Duration;

use laburnumstall_core::units::Tokens;
use prometheus::{Histogram, HistogramVec, IntCounter, IntCounterVec, Registry, Result};

use super::label::{LabelLimiter, RequestOutcome};
use super::{register, spec};

/// Most services with their own series.
const MAX_SERVICES: usize = 200;

/// Metric families labelled by service.
#[derive(Debug)]
pub(super) struct ServiceFamilies {
    limiter: LabelLimiter,
    requests: IntCounterVec,
    first_token: HistogramVec,
    between_tokens: HistogramVec,
    answer_events: IntCounterVec,
    tokens: IntCounterVec,
}

impl ServiceFamilies {
    pub(super) fn register(registry: &Registry) -> Result<Self> {
        Ok(Self {
            limiter: LabelLimiter::new(MAX_SERVICES),
            requests: register::counters(registry, &spec::REQUESTS)?,
            first_token: register::histograms(registry, &spec::FIRST_TOKEN)?,
            between_tokens: register::histograms(registry, &spec::BETWEEN_TOKENS)?,
            answer_events: register::counters(registry, &spec::ANSWER_EVENTS)?,
            tokens: register::counters(registry, &spec::TOKENS)?,
        })
    }

    pub(super) fn service(&self, name: &str) -> ServiceMetrics {
        let name = self.limiter.admit(name);
        ServiceMetrics {
            name: name.to_owned(),
            requests: self.requests.clone(),
            first_token: self.first_token.with_label_values(&[name]),
            between_tokens: self.between_tokens.with_label_values(&[name]),
            answer_events: self.answer_events.with_label_values(&[name]),
            tokens: self.tokens.with_label_values(&[name]),
        }
    }
}

/// Metrics of one service; clones count into the same series.
#[derive(Debug, Clone)]
pub struct ServiceMetrics {
    name: String,
    requests: IntCounterVec,
    first_token: Histogram,
    between_tokens: Histogram,
    answer_events: IntCounter,
    tokens: IntCounter,
}

impl ServiceMetrics {
    /// Counts a request that ended.
    pub fn finished(&self, outcome: RequestOutcome) {
        let labels = [self.name.as_str(), outcome.name()];
        self.requests.with_label_values(&labels).inc();
    }

    /// Records the time from a request's arrival to the first token of its answer.
    pub fn first_token(&self, latency: Duration) {
        self.first_token.observe(latency.as_secs_f64());
    }

    /// Records the time between two token events of an answer.
    pub fn between_tokens(&self, latency: Duration) {
        self.between_tokens.observe(latency.as_secs_f64());
    }

    /// Counts an answer event and its tokens.
    pub fn answer_event(&self, tokens: Tokens) {
        self.answer_events.inc();
        self.tokens.inc_by(tokens.get());
    }
}
