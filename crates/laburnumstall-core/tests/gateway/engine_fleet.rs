//! Engines that prefill prompts one after the other, behind daemons that each balance their own
//! calls, or behind one queue that knows everything.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::ops::Range;
use std::time::Duration;

use crate::stream_origins::gossip;
use crate::support::{at, daemon, endpoint, member, prompt, rules};
use laburnumstall_core::decision::Journal;
use laburnumstall_core::gateway::{
    BackendRule, CallAttempt, CallOutcome, EndpointQuery, EndpointRecord, EndpointTable,
    LoadBalancer, PeerTable, ProcessTimes, Prompt, ServiceRule, VersionGate,
};
use laburnumstall_core::prelude::*;

/// Prompt tokens per millisecond, milliseconds per million pairs, and per call.
const ENGINE: (f64, f64, f64) = (64.2, 0.647, 16.0);
/// Time for which an engine keeps a part, in milliseconds.
const CACHE_MS: u64 = 40_000;
/// Time of a decode step and of the network, in milliseconds.
const FIRST_STEP_MS: f64 = 7.0;
/// Shared parts of long and of short prompts each.
const PARTS: u64 = 120;

/// Load: 73.8 long and 368 short prompts per second of deployment B, with waves of 30 %.
#[derive(Clone)]
pub(crate) struct Scenario {
    pub(crate) daemons: u32,
    /// Time that each engine takes relative to the model.
    pub(crate) times: Vec<f64>,
    /// Whether daemons learn speeds; `None` for one queue that knows the engines' true state.
    pub(crate) learns: Option<bool>,
    /// Whether the configuration names the engine.
    pub(crate) has_engine: bool,
    /// Engine whose time changes within these milliseconds, and by what factor.
    pub(crate) disturbed: Option<(usize, Range<u64>, f64)>,
    /// When the first daemon starts again.
    pub(crate) restart_ms: u64,
    /// When daemons no longer hear from each other.
    pub(crate) cut_ms: u64,
    pub(crate) end_ms: u64,
    /// From when calls are counted.
    pub(crate) count_from_ms: u64,
    pub(crate) load: f64,
    pub(crate) seed: u64,
}

impl Scenario {
    pub(crate) fn new(times: Vec<f64>) -> Self {
        Self {
            daemons: 86,
            times,
            learns: Some(true),
            has_engine: true,
            disturbed: None,
            restart_ms: u64::MAX,
            cut_ms: u64::MAX,
            end_ms: 60_000,
            count_from_ms: 25_000,
            load: 1.0,
            seed: 1,
        }
    }
}

struct Engine {
    free_at: f64,
    parts: HashMap<u64, f64>,
    work_ms: f64,
}

impl Engine {
    /// Returns the time of a prompt without a queue, by the model.
    fn work(&self, now: f64, prompt: &Prompt) -> f64 {
        let is_kept = |id| {
            self.parts
                .get(id)
                .is_some_and(|at| now - at < CACHE_MS as f64)
        };
        let leading = prompt.parts.iter().take_while(|part| is_kept(&part.id));
        let cached = leading.map(|part| f64::from(part.tokens)).sum::<f64>();
        let tokens = f64::from(prompt.tokens);
        let pairs = (tokens * tokens - cached * cached) / 2e6;
        (tokens - cached) / ENGINE.0 + pairs * ENGINE.1 + ENGINE.2
    }
}

pub(crate) struct Outcome {
    /// Work of each engine from when calls are counted, by the model.
    pub(crate) work_ms: Vec<f64>,
    /// Sorted times to the first token in milliseconds.
    first_ms: Vec<f64>,
    /// Times of the first daemon's first 100 calls after its restart in milliseconds.
    pub(crate) restarted_ms: Vec<f64>,
    /// First tokens by engine and second.
    pub(crate) calls: BTreeMap<(usize, u64), u32>,
    pub(crate) balancers: Vec<LoadBalancer>,
    pub(crate) journals: Vec<Journal>,
    pub(crate) sent_bytes: usize,
}

impl Outcome {
    pub(crate) fn quantile(&self, part: f64) -> f64 {
        self.first_ms[(self.first_ms.len() as f64 * part) as usize]
    }

    /// Returns the mean work of the engines with this time relative to the mean of all.
    pub(crate) fn share(&self, times: &[f64], time: f64) -> f64 {
        let mean = self.work_ms.iter().sum::<f64>() / times.len() as f64;
        let engines = self.work_ms.iter().zip(times).filter(|(_, t)| **t == time);
        let (count, work) = engines.fold((0.0, 0.0), |(n, sum), (work, _)| (n + 1.0, sum + work));
        work / count / mean
    }
}

pub(crate) fn engine_id(number: usize) -> EndpointId {
    format!("engine-{number}").parse().unwrap()
}

pub(crate) fn record(number: usize) -> EndpointRecord {
    let zones = ["north-a", "north-b", "north-c"];
    let mut record = endpoint(&engine_id(number).to_string(), "model", zones[number % 3]);
    record.slots = 48;
    record
}

pub(crate) fn table(engines: usize) -> EndpointTable {
    let mut table = EndpointTable::default();
    for number in 0..engines {
        table.on_entry(at(0), record(number), &mut Journal::default());
    }
    table
}

/// Returns the services of a deployment with an engine.
pub(crate) fn services() -> BTreeMap<ServiceName, ServiceRule> {
    let mut services = rules(1).services;
    let model: ServiceName = "model".parse().unwrap();
    services.get_mut(&model).unwrap().backend = Some(BackendRule {
        batch: 48,
        kv_tokens: 636_076,
        token_size: Bytes(163_840),
        link_rate: 0,
        can_move: false,
        move_ttl: Duration::ZERO,
    });
    services
}

pub(crate) fn balancer(zone: &str, engines: usize, learns: bool) -> LoadBalancer {
    let mut balancer = LoadBalancer::new(zone.parse().unwrap());
    if learns {
        balancer.set_services(&services());
    }
    balancer.set_endpoints(at(0), &table(engines));
    balancer
}

enum Step {
    Arrive(Prompt),
    First(usize, usize, CallAttempt),
    End(usize, CallAttempt),
    Gossip(usize),
    Restart,
    Refresh(usize),
    Tick(usize),
    Speeds(usize),
}

struct Steps {
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    steps: Vec<Option<Step>>,
}

impl Steps {
    fn add(&mut self, us: u64, step: Step) {
        self.queue.push(Reverse((us, self.steps.len())));
        self.steps.push(Some(step));
    }
}

fn arrivals(steps: &mut Steps, scenario: &Scenario) {
    let mut rng = fastrand::Rng::with_seed(scenario.seed);
    for (rate, shared, own, kind) in [(73.8, 5_382, 6_610, 0_u64), (368.0, 568, 1_800, 1)] {
        let mut ms = 0.0;
        while ms < scenario.end_ms as f64 {
            let wave = 1.0 + 0.3 * (ms / 40_000.0 * std::f64::consts::TAU).sin();
            ms += -rng.f64().max(1e-9).ln() * 3_000.0 / (rate * wave * scenario.load);
            for _ in 0..3 {
                let part = (rng.f64().powi(2) * PARTS as f64) as u64;
                let mut prompt = prompt(kind << 32 | part, shared, own);
                prompt.parts[1].id = rng.u64(..);
                prompt.max_answer_tokens = if kind == 0 { 355 } else { 25 };
                steps.add((ms * 1_000.0) as u64, Step::Arrive(prompt));
            }
        }
    }
}

/// Plays a scenario.
pub(crate) fn play(scenario: &Scenario) -> Outcome {
    let engines = scenario.times.len();
    let zones = ["north-a", "north-b", "north-c"];
    let learns = scenario.learns.unwrap_or(false);
    let service: ServiceName = "model".parse().unwrap();
    let count = scenario.daemons as usize;
    let mut outcome = Outcome {
        work_ms: vec![0.0; engines],
        first_ms: Vec::new(),
        restarted_ms: Vec::new(),
        calls: BTreeMap::new(),
        balancers: (0..count)
            .map(|n| balancer(zones[n % 3], engines, scenario.has_engine))
            .collect(),
        journals: vec![Journal::default(); count],
        sent_bytes: 0,
    };
    let mut peers = PeerTable::default();
    let mut steps = Steps {
        queue: BinaryHeap::new(),
        steps: Vec::new(),
    };
    arrivals(&mut steps, scenario);
    let scale = (f64::from(scenario.daemons) / 32.0).max(1.0);
    for n in 0..count {
        peers.on_registered(at(0), member(n as u32));
        let offset = n as u64 * 7_919;
        steps.add(offset % 670_000, Step::Gossip(n));
        steps.add(offset % 50_000, Step::Refresh(n));
        steps.add(offset % 250_000, Step::Tick(n));
        steps.add(2_000_000 + offset * 11 % 5_000_000, Step::Speeds(n));
    }
    steps.add(scenario.restart_ms.saturating_mul(1_000), Step::Restart);
    let mut state: Vec<Engine> = (0..engines)
        .map(|_| Engine {
            free_at: 0.0,
            parts: HashMap::new(),
            work_ms: 0.0,
        })
        .collect();
    let mut rng = fastrand::Rng::with_seed(scenario.seed + 1);
    let mut sequence = 0;
    while let Some(Reverse((us, index))) = steps.queue.pop() {
        let (ms, now) = (us as f64 / 1_000.0, at(0).after(Duration::from_micros(us)));
        if us / 1_000 > scenario.end_ms {
            break;
        }
        let is_connected = us / 1_000 < scenario.cut_ms;
        match steps.steps[index].take().unwrap() {
            Step::Arrive(prompt) => {
                let n = rng.usize(..count);
                let time = |engine: usize| match &scenario.disturbed {
                    Some((number, range, factor))
                        if *number == engine && range.contains(&(us / 1_000)) =>
                    {
                        scenario.times[engine] * factor
                    }
                    _ => scenario.times[engine],
                };
                let finish = |engine: usize| {
                    state[engine].free_at.max(ms) + state[engine].work(ms, &prompt) * time(engine)
                };
                let (engine, attempt) = match scenario.learns {
                    None => {
                        let order = |a: &usize, b: &usize| finish(*a).total_cmp(&finish(*b));
                        ((0..engines).min_by(order).unwrap(), None)
                    }
                    Some(_) => {
                        let query = EndpointQuery {
                            service: &service,
                            prompt: Some(&prompt),
                            seed: rng.u64(..),
                            version: None,
                            admitted: None,
                            gate: VersionGate::Open,
                            excluded: &[],
                        };
                        let attempt = outcome.balancers[n].select(now, &query).unwrap();
                        let number = attempt.endpoint.as_str().rsplit('-').next().unwrap();
                        (number.parse().unwrap(), Some(attempt))
                    }
                };
                let done = finish(engine);
                let work = state[engine].work(ms, &prompt);
                let known = &mut state[engine];
                known.free_at = done;
                known
                    .parts
                    .extend(prompt.parts.iter().map(|part| (part.id, ms)));
                let first = done + FIRST_STEP_MS;
                if us / 1_000 >= scenario.count_from_ms {
                    known.work_ms += work;
                    outcome.first_ms.push(first - ms);
                }
                let is_restarted = n == 0 && us / 1_000 >= scenario.restart_ms;
                if is_restarted && outcome.restarted_ms.len() < 100 {
                    outcome.restarted_ms.push(first - ms);
                }
                if let Some(attempt) = attempt {
                    steps.add((first * 1_000.0) as u64, Step::First(n, engine, attempt));
                }
            }
            Step::First(n, engine, mut attempt) => {
                outcome.balancers[n].on_first_output(now, &mut attempt);
                *outcome.calls.entry((engine, us / 1_000_000)).or_default() += 1;
                let stream_us = 400_000.0 * scenario.times[engine];
                steps.add(us + stream_us as u64, Step::End(n, attempt));
            }
            Step::End(n, attempt) => {
                outcome.balancers[n].end(now, attempt, Some(CallOutcome::Good));
            }
            Step::Gossip(n) => {
                sequence += 1;
                let mut message = gossip(sequence);
                message.loads = outcome.balancers[n].own_work();
                let own = daemon(n as u32);
                if is_connected {
                    peers.on_gossip(now, &own, message);
                }
                let others = peers
                    .peers()
                    .filter(|peer| is_connected && peer.member.id != own);
                outcome.balancers[n].set_peer_work(others);
                steps.add(us + (250_000.0 * scale) as u64, Step::Gossip(n));
            }
            Step::Restart => outcome.balancers[0] = balancer(zones[0], engines, learns),
            Step::Refresh(n) => {
                let own = daemon(n as u32);
                let others = peers
                    .peers()
                    .filter(|peer| is_connected && peer.member.id != own);
                outcome.balancers[n].set_peer_work(others);
                steps.add(us + 50_000, Step::Refresh(n));
            }
            Step::Tick(n) => {
                if learns {
                    outcome.balancers[n].update_speeds(now, &mut outcome.journals[n]);
                }
                steps.add(us + 250_000, Step::Tick(n));
            }
            Step::Speeds(n) => {
                let times: Vec<ProcessTimes> = outcome.balancers[n].take_times(now, 64);
                let bytes = postcard::to_allocvec(&times).unwrap().len();
                if is_connected && !times.is_empty() {
                    outcome.sent_bytes += bytes * (count - 1);
                    for (other, balancer) in outcome.balancers.iter_mut().enumerate() {
                        if other != n {
                            balancer.on_peer_times(now, &times);
                        }
                    }
                }
                steps.add(us + (2_000_000.0 * scale) as u64, Step::Speeds(n));
            }
        }
    }
    outcome.work_ms = state.iter().map(|engine| engine.work_ms).collect();
    outcome.first_ms.sort_by(f64::total_cmp);
    outcome
}
