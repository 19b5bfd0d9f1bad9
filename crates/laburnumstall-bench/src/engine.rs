//! A small model engine: continuous batching, a bounded prefix cache, late reports.
//!
//! Time passes in steps. In each step every running sequence whose prompt is processed
//! gives one token, and what is left of the step's time goes to prompts that wait (chunked
//! prefill: Agrawal et al., Sarathi-Serve, 2024). A waiting sequence enters the batch by
//! priority, then by arrival.

mod prefix_cache;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::format_compact;
use laburnumstall_core::ids::{AttemptId, AvailabilityZone, DaemonId, EndpointId, ServiceName};
use laburnumstall_core::request::{AnswerEvent, BlockHash, Request};
use laburnumstall_core::resources::{LoadReport, VmClassSpec};
use laburnumstall_core::routing::CacheReport;
use laburnumstall_core::units::{Timestamp, TokenRate, Tokens};

use crate::ledger::Ledger;
use prefix_cache::PrefixCache;

/// Tokens of one prefix block.
pub(crate) const BLOCK_TOKENS: u64 = 64;

/// Most sequences in the batch.
const BATCH: usize = 64;

/// Time of a step without any work.
const STEP_BASE: Duration = Duration::from_millis(16);

/// Time that each token generated adds to a step.
const STEP_SEQUENCE: Duration = Duration::from_micros(375);

/// Length of a step up to which prompts are processed beside generation.
const STEP_TARGET: Duration = Duration::from_millis(46);

/// Fewest prompt tokens in a step while prompts wait.
const MIN_CHUNK: u64 = 64;

/// Most prompt tokens in a step when nothing is generated.
const MAX_CHUNK: u64 = 2_048;

/// A sequence in the engine.
#[derive(Debug, Clone)]
pub(crate) struct Sequence {
    pub(crate) attempt: AttemptId,
    pub(crate) request: Arc<Request>,
    /// Answer tokens that came with the attempt.
    generated: u64,
    /// Prompt tokens left to process; `None` until the sequence enters the batch.
    left: Option<u64>,
    /// Events given by this attempt.
    events: Vec<AnswerEvent>,
    pub(crate) reader: Option<DaemonId>,
}

/// Events for a reader.
#[derive(Debug)]
pub(crate) struct Given {
    pub(crate) reader: DaemonId,
    pub(crate) attempt: AttemptId,
    pub(crate) from: u64,
    pub(crate) events: Vec<AnswerEvent>,
}

/// A model engine.
#[derive(Debug, Clone)]
pub(crate) struct Engine {
    pub(crate) id: EndpointId,
    pub(crate) zone: AvailabilityZone,
    pub(crate) address: SocketAddr,
    pub(crate) services: Vec<ServiceName>,
    /// When the platform takes the VM, once it has announced that.
    pub(crate) leaves_at: Option<Timestamp>,
    /// Whether the VM is gone.
    pub(crate) is_gone: bool,
    /// Whether a step is under way.
    pub(crate) is_stepping: bool,
    prefill: u64,
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
    chunks: Vec<(AttemptId, u64)>,
    cache: PrefixCache,
    stored: Vec<BlockHash>,
    evicted: Vec<BlockHash>,
    events_reported: u64,
    reports: u64,
    report: Option<LoadReport>,
}

impl Engine {
    pub(crate) fn new(
        number: u16,
        zone: AvailabilityZone,
        class: &VmClassSpec,
        services: Vec<ServiceName>,
    ) -> Self {
        let id = format!("engine-{number:03}");
        Self {
            id: id.parse().expect("the engine's name is valid"),
            zone,
            address: SocketAddr::from(([192, 0, 2, 1], number)),
            services,
            leaves_at: None,
            is_gone: false,
            is_stepping: false,
            prefill: class.prefill.get(),
            waiting: Vec::new(),
            running: Vec::new(),
            chunks: Vec::new(),
            cache: PrefixCache::new((class.cache.get() / BLOCK_TOKENS) as usize),
            stored: Vec::new(),
            evicted: Vec::new(),
            events_reported: 0,
            reports: 0,
            report: None,
        }
    }

    /// Returns the sequences in the engine.
    pub(crate) fn load(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Takes in an attempt.
    pub(crate) fn begin(
        &mut self,
        reader: &DaemonId,
        attempt: AttemptId,
        request: Arc<Request>,
        generated: u64,
    ) {
        let sequence = Sequence {
            attempt,
            request,
            generated,
            left: None,
            events: Vec::new(),
            reader: Some(reader.clone()),
        };
        let priority = sequence.request.priority;
        let at = self
            .waiting
            .partition_point(|waiting| waiting.request.priority >= priority);
        self.waiting.insert(at, sequence);
    }

    /// Attaches a reader to a stream; returns the events that it lacks, or `None` if there
    /// is no such stream.
    pub(crate) fn resume(
        &mut self,
        reader: &DaemonId,
        attempt: &AttemptId,
        have: u64,
    ) -> Option<Given> {
        let mut sequences = self.waiting.iter_mut().chain(&mut self.running);
        let sequence = sequences.find(|sequence| sequence.attempt == *attempt)?;
        sequence.reader = Some(reader.clone());
        let have = (have as usize).min(sequence.events.len());
        Some(Given {
            reader: reader.clone(),
            attempt: attempt.clone(),
            from: have as u64,
            events: sequence.events[have..].to_vec(),
        })
    }

    /// Ends a stream.
    pub(crate) fn cancel(&mut self, attempt: &AttemptId) {
        self.waiting.retain(|sequence| sequence.attempt != *attempt);
        self.running.retain(|sequence| sequence.attempt != *attempt);
    }

    /// Takes the reader from a stream.
    pub(crate) fn abandon(&mut self, reader: &DaemonId, attempt: Option<&AttemptId>) {
        for sequence in self.waiting.iter_mut().chain(&mut self.running) {
            let is_it = attempt.is_none_or(|attempt| sequence.attempt == *attempt);
            if is_it && sequence.reader.as_ref() == Some(reader) {
                sequence.reader = None;
            }
        }
    }

    /// Ends the process; returns the sequences that were in it.
    pub(crate) fn end(&mut self) -> Vec<Sequence> {
        self.is_gone = true;
        self.chunks.clear();
        let mut lost = std::mem::take(&mut self.waiting);
        lost.append(&mut self.running);
        lost
    }

    /// Begins a step; returns its length, or `None` if there is nothing to do.
    pub(crate) fn begin_step(&mut self, ledger: &mut Ledger) -> Option<Duration> {
        self.fill_batch(ledger);
        if self.running.is_empty() {
            return None;
        }
        let is_generating = |sequence: &&Sequence| sequence.left == Some(0);
        let generating = self.running.iter().filter(is_generating).count() as u32;
        let busy = STEP_BASE + STEP_SEQUENCE * generating;
        let mut budget = MAX_CHUNK;
        if generating > 0 {
            let free = STEP_TARGET.saturating_sub(busy).as_micros() as u64;
            budget = (free * self.prefill / 1_000_000).clamp(MIN_CHUNK, MAX_CHUNK);
        }
        let mut processed = 0;
        self.chunks.clear();
        for sequence in &self.running {
            let left = sequence.left.unwrap_or(0);
            let chunk = left.min(budget - processed);
            if chunk > 0 {
                self.chunks.push((sequence.attempt.clone(), chunk));
                processed += chunk;
            }
        }
        let prefill = Duration::from_micros(processed * 1_000_000 / self.prefill);
        Some(busy + prefill)
    }

    fn fill_batch(&mut self, ledger: &mut Ledger) {
        while self.running.len() < BATCH && !self.waiting.is_empty() {
            let mut sequence = self.waiting.remove(0);
            let prefix = &sequence.request.prefix;
            let cached = match ledger.caches_all() {
                true => ledger.known_blocks(prefix),
                false => self.cache.use_prefix(prefix),
            };
            let left = ledger.count_prefill(
                &sequence.attempt,
                &sequence.request,
                sequence.generated,
                cached,
            );
            sequence.left = Some(left);
            self.running.push(sequence);
        }
    }

    /// Ends a step; returns the tokens that it gave.
    pub(crate) fn end_step(&mut self, ledger: &mut Ledger) -> Vec<Given> {
        for (attempt, chunk) in std::mem::take(&mut self.chunks) {
            let sequence = self.running.iter_mut().find(|s| s.attempt == attempt);
            let Some(sequence) = sequence else {
                continue;
            };
            let left = sequence.left.unwrap_or(0).saturating_sub(chunk);
            sequence.left = Some(left);
            if left == 0 {
                let change = self.cache.insert(&sequence.request.prefix);
                self.stored.extend(change.stored);
                self.evicted.extend(change.evicted);
                ledger.computed(&sequence.attempt.request, &sequence.request);
            }
        }
        let ready = self.running.iter_mut().filter(|s| s.left == Some(0));
        let given = ready.filter_map(Sequence::generate).collect();
        self.running.retain(|sequence| !sequence.is_over());
        given
    }

    /// Takes the figures that polls answer with until the next time.
    pub(crate) fn take_figures(&mut self, now: Timestamp) {
        self.reports += 1;
        let left = |sequence: &Sequence| match sequence.left {
            Some(left) => left,
            None => sequence.request.prompt.get() + sequence.generated,
        };
        let backlog: u64 = self.waiting.iter().chain(&self.running).map(left).sum();
        let generating = self.running.len() as u32;
        let step = STEP_BASE + STEP_SEQUENCE * generating;
        self.report = Some(LoadReport {
            endpoint: self.id.clone(),
            sequence: self.reports,
            taken_at: now,
            running: generating,
            waiting: self.waiting.len() as u32,
            batch: BATCH as u32,
            prefill_backlog: Tokens(backlog),
            prefill: TokenRate(self.prefill),
            decode_per_request: TokenRate(1_000_000 / step.as_micros().max(1) as u64),
            services: self.services.clone(),
            loads: None,
        });
    }

    /// Returns the last figures taken.
    pub(crate) fn report(&self) -> Option<&LoadReport> {
        self.report.as_ref()
    }

    /// Returns what changed in the cache since the last call.
    pub(crate) fn cache_report(&mut self) -> Option<CacheReport> {
        let stored = std::mem::take(&mut self.stored);
        let evicted = std::mem::take(&mut self.evicted);
        let count = (stored.len() + evicted.len()) as u64;
        if count == 0 {
            return None;
        }
        let first = self.events_reported + 1;
        self.events_reported += count;
        Some(CacheReport {
            endpoint: self.id.clone(),
            first,
            last: self.events_reported,
            stored,
            evicted,
        })
    }
}

impl Sequence {
    fn is_over(&self) -> bool {
        self.events.last().is_some_and(AnswerEvent::is_last)
    }

    fn generate(&mut self) -> Option<Given> {
        let from = self.events.len();
        let index = self.generated + from as u64;
        let answer = self.request.answer.get();
        if index < answer {
            self.events.push(token(&self.request, index));
        }
        if index + 1 >= answer {
            self.events.push(AnswerEvent::End {
                finish: "stop".into(),
            });
        }
        Some(Given {
            reader: self.reader.clone()?,
            attempt: self.attempt.clone(),
            from: from as u64,
            events: self.events[from..].to_vec(),
        })
    }
}

/// Returns the token of a request's answer at an index: the same on every engine.
pub(crate) fn token(request: &Request, index: u64) -> AnswerEvent {
    let number = u32::from_le_bytes(request.body[..4].try_into().unwrap_or_default());
    AnswerEvent::Chunk {
        text: format_compact!("{number:x}.{index} "),
        tokens: 1,
    }
}
