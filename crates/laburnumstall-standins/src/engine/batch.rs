//! The batch of an engine: which streams wait, run and are done.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use laburnumstall_core::cloud::{EndpointOrder, LoadOrder, OrderReply};
use laburnumstall_core::domain_value;
use laburnumstall_core::ids::{FencingToken, ServiceName};
use laburnumstall_core::request::{BlockHash, PREFIX_BLOCK_BYTES, prefix_blocks};
use laburnumstall_core::resources::LoadReport;
use laburnumstall_core::units::{Priority, TokenRate, Tokens};

use super::EngineSpec;
use super::cache::PrefixCache;
use super::text::Conversation;
use crate::history::History;
use crate::server::unix_now;

/// Bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Ended streams that are kept for readers.
const MAX_ENDED: usize = 1_024;

domain_value! {
    /// What an engine has done since its start, over all crashes.
    #[derive(Default)]
    pub struct EngineCounts {
        /// Streams begun.
        pub streams: u64,
        /// Prompt tokens processed, because they were not cached.
        pub prefilled: Tokens,
        /// Prompt tokens that the cache spared.
        pub spared: Tokens,
        /// Tokens generated.
        pub generated: Tokens,
        /// Streams that continued a generated part.
        pub continued: u64,
        /// Streams read again by their name.
        pub attached: u64,
        /// Streams cancelled.
        pub cancelled: u64,
        /// Crashes by a marked body.
        pub crashes: u64,
    }
}

pub(super) struct Stream {
    pub(super) conversation: Conversation,
    blocks: Vec<BlockHash>,
    priority: Priority,
    order: u64,
    /// When the prompt is processed; `None` while waiting.
    ready_at: Option<Instant>,
    pub(super) generated: usize,
}

impl Stream {
    fn is_done(&self) -> bool {
        self.generated >= self.conversation.limit
    }

    fn is_running(&self) -> bool {
        self.ready_at.is_some() && !self.is_done()
    }

    fn prompt_tokens(&self) -> usize {
        self.conversation.prompt.len() / BYTES_PER_TOKEN
    }
}

pub(super) struct Batch {
    spec: EngineSpec,
    streams: BTreeMap<String, Stream>,
    ended: VecDeque<String>,
    prefill_free_at: Option<Instant>,
    pub(super) cache: PrefixCache,
    pub(super) counts: EngineCounts,
    reports: History<LoadReport>,
    next_report: u64,
    highest_fencing: FencingToken,
    pub(super) orders: Vec<EndpointOrder>,
    loading: Option<(Instant, Vec<LoadOrder>)>,
    services: Vec<ServiceName>,
    /// What was loaded by order; `None` while the services of the start are loaded, whose
    /// versions nobody told.
    loads: Option<Vec<LoadOrder>>,
}

impl Batch {
    pub(super) fn new(spec: &EngineSpec) -> Self {
        Self {
            streams: BTreeMap::new(),
            ended: VecDeque::new(),
            prefill_free_at: None,
            cache: PrefixCache::new(spec.cache_blocks, spec.cache_lag, spec.lost_cache_event),
            counts: EngineCounts::default(),
            reports: History::default(),
            next_report: 1,
            highest_fencing: FencingToken::default(),
            orders: Vec::new(),
            loading: None,
            services: spec.services.clone(),
            loads: spec.services.is_empty().then(Vec::new),
            spec: spec.clone(),
        }
    }

    /// Forgets all but the counters and the orders.
    pub(super) fn forget(&mut self) {
        let mut fresh = Self::new(&self.spec);
        fresh.counts = self.counts;
        fresh.orders = std::mem::take(&mut self.orders);
        *self = fresh;
    }

    pub(super) fn stream(&self, name: &str) -> Option<&Stream> {
        self.streams.get(name)
    }

    /// Puts a stream into the queue, unless it is there already.
    pub(super) fn begin(&mut self, name: &str, priority: Priority, conversation: Conversation) {
        if self.streams.contains_key(name) {
            return;
        }
        self.counts.streams += 1;
        self.counts.continued += u64::from(conversation.generated > 0);
        let stream = Stream {
            blocks: prefix_blocks(&conversation.model, conversation.prompt.as_bytes()),
            conversation,
            priority,
            order: self.counts.streams,
            ready_at: None,
            generated: 0,
        };
        self.streams.insert(name.to_owned(), stream);
    }

    pub(super) fn cancel(&mut self, name: &str) {
        if let Some(stream) = self.streams.remove(name) {
            self.counts.cancelled += u64::from(!stream.is_done());
        }
    }

    /// Generates one token a running stream. True if a body with `marker` began to run.
    pub(super) fn step(&mut self, now: Instant, marker: Option<&str>) -> bool {
        if self.admit(now, marker) {
            self.counts.crashes += 1;
            return true;
        }
        let mut ended = Vec::new();
        for (name, stream) in &mut self.streams {
            let is_ready = stream.ready_at.is_some_and(|at| at <= now);
            if !is_ready || stream.is_done() {
                continue;
            }
            stream.generated += 1;
            self.counts.generated = self.counts.generated.plus(Tokens(1));
            if stream.is_done() {
                ended.push(name.clone());
            }
        }
        self.ended.extend(ended);
        while self.ended.len() > MAX_ENDED {
            let oldest = self.ended.pop_front();
            oldest.map(|name| self.streams.remove(&name));
        }
        self.finish_loading(now);
        self.reports.push(now, self.load());
        self.next_report += 1;
        false
    }

    fn admit(&mut self, now: Instant, marker: Option<&str>) -> bool {
        while self.running() < self.spec.batch as usize {
            let streams = self.streams.values_mut();
            let waiting = streams.filter(|stream| stream.ready_at.is_none());
            let Some(stream) = waiting.max_by_key(|s| (s.priority, Reverse(s.order))) else {
                return false;
            };
            if marker.is_some_and(|marker| stream.conversation.prompt.contains(marker)) {
                return true;
            }
            let prompt = stream.prompt_tokens();
            let cached = self.cache.cached(&stream.blocks) * PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN;
            let prefill = prompt.saturating_sub(cached) as u64;
            let starts = self.prefill_free_at.map_or(now, |at| at.max(now));
            let ready = starts + prefill_time(prefill, self.spec.prefill);
            stream.ready_at = Some(ready);
            self.prefill_free_at = Some(ready);
            self.cache.store(&stream.blocks, now);
            self.counts.prefilled = self.counts.prefilled.plus(Tokens(prefill));
            self.counts.spared = self.counts.spared.plus(Tokens(prompt as u64 - prefill));
        }
        false
    }

    fn running(&self) -> usize {
        self.streams.values().filter(|s| s.is_running()).count()
    }

    /// Carries out an order.
    pub(super) fn order(&mut self, order: EndpointOrder, now: Instant) -> OrderReply {
        if self.spec.checks_fencing && order.fencing < self.highest_fencing {
            return OrderReply::Fenced;
        }
        self.highest_fencing = self.highest_fencing.max(order.fencing);
        if self.orders.iter().any(|known| known.id == order.id) {
            return OrderReply::Accepted;
        }
        self.loading = Some((now + self.spec.load_time, order.loads.clone()));
        self.orders.push(order);
        OrderReply::Accepted
    }

    fn finish_loading(&mut self, now: Instant) {
        if let Some((_, loads)) = self.loading.take_if(|(at, _)| *at <= now) {
            self.services = services_of(&loads);
            self.loads = Some(loads);
        }
    }

    /// Returns the newest report that is as old as the lag, or else the first one.
    pub(super) fn lagging_load(&self, now: Instant) -> LoadReport {
        let newest = self.reports.shown(now, self.spec.load_lag).next_back();
        let shown = newest.or(self.reports.oldest());
        shown.cloned().unwrap_or_else(|| self.load())
    }

    fn load(&self) -> LoadReport {
        let waiting = self.streams.values().filter(|s| s.ready_at.is_none());
        let backlog = waiting.clone().map(Stream::prompt_tokens).sum::<usize>();
        let period = self.spec.token_period.as_secs_f64();
        LoadReport {
            endpoint: self.spec.id.clone(),
            sequence: self.next_report,
            taken_at: unix_now(),
            running: self.running() as u32,
            waiting: waiting.count() as u32,
            batch: self.spec.batch,
            prefill_backlog: Tokens(backlog as u64),
            prefill: self.spec.prefill,
            decode_per_request: TokenRate((1.0 / period) as u64),
            services: self.services.clone(),
            loads: self.loads.clone(),
        }
    }
}

/// Returns the services that loads are for, each once although it may have two versions.
fn services_of(loads: &[LoadOrder]) -> Vec<ServiceName> {
    let mut services: Vec<ServiceName> = Vec::new();
    for load in loads {
        if !services.contains(&load.service) {
            services.push(load.service.clone());
        }
    }
    services
}

fn prefill_time(tokens: u64, rate: TokenRate) -> Duration {
    Duration::from_micros(tokens.saturating_mul(1_000_000) / rate.get().max(1))
}
