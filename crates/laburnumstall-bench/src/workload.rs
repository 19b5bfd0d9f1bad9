//! The two users' workloads: what they run on, and who asks for what when.
//!
//! Arrivals form an open loop: a Poisson process whose rate rises in bursts. Long requests
//! belong to conversations whose prompts share their beginning and grow from one request
//! to the next.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use laburnumstall_core::domain_value;
use laburnumstall_core::hash::rendezvous_weight;
use laburnumstall_core::ids::{ParseIdError, ServiceName};
use laburnumstall_core::request::{AnswerForm, BlockHash, Dialect, MAX_PREFIX_BLOCKS, Request};
use laburnumstall_core::resources::{Customer, Service, ServiceKind, System};
use laburnumstall_core::units::{RequestRate, Timestamp, TokenRate, Tokens};
use laburnumstall_testkit::key_at;

use crate::engine::BLOCK_TOKENS;

/// Time from the beginning of one burst to that of the next.
const BURST_PERIOD: f64 = 12.0;

/// Length of a burst, in seconds.
const BURST_TIME: f64 = 3.0;

/// Rate outside bursts relative to the peak that the text's target states.
const OUTSIDE_BURSTS: f64 = 0.625;

/// Requests a second of each plain service.
const PLAIN_RATE: f64 = 1.0;

/// Prompt tokens from which a service's requests belong to conversations.
const CONVERSATION_TOKENS: u64 = 3_000;

/// Prompt tokens that all requests of a service begin with.
const SHARED_TOKENS: u64 = 384;

domain_value! {
    /// Whose workload is run.
    #[serde(rename_all = "kebab-case")]
    pub enum WorkloadName {
        /// Records retention: summaries and schedules of aged case files, clerks' questions.
        Caroni,
        /// Tonewood: quotations from long wood histories, questions on stock.
        Kuusiviulu,
    }
}

impl WorkloadName {
    /// All workloads.
    pub const ALL: [Self; 2] = [Self::Caroni, Self::Kuusiviulu];

    /// Returns the name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Caroni => "caroni",
            Self::Kuusiviulu => "kuusiviulu",
        }
    }

    /// Returns the model replicas that the user has today.
    pub fn replicas(self) -> usize {
        match self {
            Self::Caroni => 12,
            Self::Kuusiviulu => 9,
        }
    }

    /// Returns the user's system, as its text describes it.
    pub fn system(self) -> System {
        let text = match self {
            Self::Caroni => include_str!("../../../examples/caroni.toml"),
            Self::Kuusiviulu => include_str!("../../../examples/kuusiviulu.toml"),
        };
        laburnumstall_config::parse(text).expect("the example is valid")
    }

    /// Returns the user's system with a factor on the rates of all contracts.
    pub(crate) fn system_with(self, contracts: u64) -> System {
        let mut system = self.system();
        for customer in &mut system.customers {
            let contract = &mut customer.contract;
            contract.requests = RequestRate(contract.requests.get() * contracts);
            contract.tokens = TokenRate(contract.tokens.get() * contracts);
        }
        system
    }

    fn conversations(self) -> Conversations {
        match self {
            Self::Caroni => Conversations {
                open: 36,
                percent_new: 30,
                growth: 500,
            },
            Self::Kuusiviulu => Conversations {
                open: 24,
                percent_new: 12,
                growth: 900,
            },
        }
    }
}

impl std::fmt::Display for WorkloadName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(self.name())
    }
}

impl std::str::FromStr for WorkloadName {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let name = Self::ALL.into_iter().find(|name| name.name() == s);
        name.ok_or_else(|| ParseIdError::new("WorkloadName", s, "caroni or kuusiviulu"))
    }
}

/// How conversations come and grow.
#[derive(Debug, Clone, Copy)]
struct Conversations {
    /// Most conversations of one service that go on at once.
    open: usize,
    /// Share of requests that begin a conversation.
    percent_new: u32,
    /// Most prompt tokens that a request adds.
    growth: u64,
}

/// A request with the time at which its caller sends it.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub(crate) at: Timestamp,
    pub(crate) request: Arc<Request>,
}

/// The requests of a run, in order.
#[derive(Debug, Clone, Default)]
pub(crate) struct Arrivals {
    pub(crate) arrivals: Vec<Arrival>,
    /// Blocks that requests of different conversations share.
    pub(crate) shared: BTreeSet<BlockHash>,
}

#[derive(Debug, Clone, Copy)]
struct Conversation {
    seed: u64,
    tokens: u64,
    customer: usize,
}

struct Source<'a> {
    rng: Rng,
    system: &'a System,
    begin: Timestamp,
    rules: Conversations,
    number: u32,
    out: Arrivals,
}

/// Draws the requests that are sent within `time` of `begin`.
pub(crate) fn draw(
    name: WorkloadName,
    system: &System,
    seed: u64,
    begin: Timestamp,
    time: Duration,
) -> Arrivals {
    let mut source = Source {
        rng: Rng::with_seed(seed),
        system,
        begin,
        rules: name.conversations(),
        number: 0,
        out: Arrivals::default(),
    };
    for service in &system.services {
        source.draw_service(service, time);
    }
    source.out.arrivals.sort_by_key(|arrival| arrival.at);
    source.out
}

impl Source<'_> {
    fn draw_service(&mut self, service: &Service, time: Duration) {
        let target = service.target.as_ref();
        let rate = target.map_or(PLAIN_RATE, |target| target.requests.get() as f64);
        let mut open: Vec<Conversation> = Vec::new();
        let mut at = 0.0;
        loop {
            let is_burst = at % BURST_PERIOD < BURST_TIME;
            let factor = if is_burst { 1.0 } else { OUTSIDE_BURSTS };
            at += -(1.0 - self.rng.f64()).ln() / (rate * factor);
            if at >= time.as_secs_f64() {
                return;
            }
            let now = self.begin.after(Duration::from_secs_f64(at));
            let request = match service.kind {
                ServiceKind::Model => self.model_request(now, service, &mut open),
                ServiceKind::Plain => self.plain_request(now, service),
            };
            let request = Arc::new(request);
            self.out.arrivals.push(Arrival { at: now, request });
        }
    }

    fn model_request(
        &mut self,
        now: Timestamp,
        service: &Service,
        open: &mut Vec<Conversation>,
    ) -> Request {
        let target = service.target.as_ref();
        let typical = target.map_or(1_000, |target| target.prompt.get());
        let conversation = self.conversation(service, typical, open);
        let tokens = conversation.tokens;
        let shared = SHARED_TOKENS / BLOCK_TOKENS;
        let blocks = (tokens / BLOCK_TOKENS).min(MAX_PREFIX_BLOCKS as u64);
        let seed_of_service = self.salt(&service.name);
        let prefix: Vec<BlockHash> = (0..blocks)
            .map(|block| match block < shared {
                true => BlockHash(rendezvous_weight(seed_of_service, block)),
                false => BlockHash(rendezvous_weight(conversation.seed, block)),
            })
            .collect();
        self.out.shared.extend(prefix.iter().take(shared as usize));
        let answer = target.map_or(100, |target| target.answer.get());
        let answer = self.rng.u64(answer / 2..=answer * 3 / 2);
        let customer = &self.system.customers[conversation.customer];
        Request {
            dialect: Dialect::Chat,
            path: "/v1/chat/completions".into(),
            form: AnswerForm::Stream,
            prompt: Tokens(tokens),
            answer: Tokens(answer),
            prefix,
            ..self.request(now, service, customer)
        }
    }

    /// Goes on with a conversation or begins one.
    fn conversation(
        &mut self,
        service: &Service,
        typical: u64,
        open: &mut Vec<Conversation>,
    ) -> Conversation {
        let has_conversations = typical >= CONVERSATION_TOKENS;
        let is_new =
            !has_conversations || open.is_empty() || self.rng.u32(..100) < self.rules.percent_new;
        if !is_new {
            let index = self.rng.usize(..open.len());
            let growth = self.rng.u64(100..=self.rules.growth);
            let known = &mut open[index];
            let most = MAX_PREFIX_BLOCKS as u64 * BLOCK_TOKENS - 1;
            known.tokens = (known.tokens + growth).min(most);
            return *known;
        }
        let conversation = Conversation {
            seed: self.rng.u64(..),
            tokens: self.rng.u64(typical * 7 / 10..=typical * 13 / 10),
            customer: self.customer(service),
        };
        if has_conversations {
            if open.len() >= self.rules.open {
                open.swap_remove(self.rng.usize(..self.rules.open));
            }
            open.push(conversation);
        }
        conversation
    }

    /// Draws a customer that may call the service, in proportion to contracts.
    fn customer(&mut self, service: &Service) -> usize {
        let may_call = |customer: &Customer| {
            let services = &customer.contract.services;
            services.is_empty() || services.contains(&service.name)
        };
        let weight = |customer: &Customer| match may_call(customer) {
            true => customer.contract.requests.get(),
            false => 0,
        };
        let total: u64 = self.system.customers.iter().map(weight).sum();
        let mut left = self.rng.u64(..total.max(1));
        for (index, customer) in self.system.customers.iter().enumerate() {
            if left < weight(customer) {
                return index;
            }
            left -= weight(customer);
        }
        0
    }

    fn plain_request(&mut self, now: Timestamp, service: &Service) -> Request {
        let customer = self.customer(service);
        let customer = &self.system.customers[customer];
        let mut request = self.request(now, service, customer);
        if !request.idempotent {
            request.key = Some(key_at(now, u64::from(self.number)));
        }
        request
    }

    fn request(&mut self, now: Timestamp, service: &Service, customer: &Customer) -> Request {
        self.number += 1;
        let is_order = !service.calls.is_empty();
        let method = if is_order || service.kind == ServiceKind::Model {
            "POST"
        } else {
            "GET"
        };
        let path = service.calls.first().map_or("/", |call| call.path.as_str());
        let is_plain = service.kind == ServiceKind::Plain;
        Request {
            customer: customer.name.clone(),
            service: service.name.clone(),
            dialect: Dialect::Plain,
            method: method.into(),
            path: path.into(),
            content_type: "application/json".into(),
            body: Arc::from(self.number.to_le_bytes().as_slice()),
            key: None,
            idempotent: !is_plain || service.is_idempotent(method, path),
            form: AnswerForm::Whole,
            deadline: now.after(service.deadline),
            priority: customer.contract.priority,
            prompt: Tokens(0),
            answer: Tokens(0),
            prefix: Vec::new(),
        }
    }

    fn salt(&self, service: &ServiceName) -> u64 {
        laburnumstall_core::hash::digest64(&[service.as_str().as_bytes()])
    }
}
