//! What a daemon knows of one process of an endpoint from the calls that it sent there.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::idle_connections::IdleConnections;
use super::{INITIAL_DURATION, MAX_RECORDED_PARTS, PART_TTL};
use crate::gateway::call::{Prompt, sum_tokens};
use crate::gateway::endpoint_limiter::EndpointLimiter;
use crate::gateway::endpoint_model::{ProcessKey, ProcessSpeed};
use crate::gateway::endpoint_table::{ABSENCE_RETENTION, EndpointEntry, EndpointProcess};
use crate::gateway::gossip::EndpointKey;
use crate::gateway::health::Health;
use crate::hash::digest64;
use crate::ids::{AvailabilityZone, SoftwareVersion};
use crate::units::Timestamp;

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Work {
    pub(super) prefill: Duration,
    pub(super) calls: u32,
    /// Tokens that the calls need in the KV cache.
    pub(super) tokens: u64,
}

#[derive(Debug, Clone)]
pub(super) struct EndpointState {
    pub(super) process: EndpointProcess,
    pub(super) address: SocketAddr,
    pub(super) zone: AvailabilityZone,
    pub(super) slots: u32,
    pub(super) is_leaving: bool,
    pub(super) limiter: Option<EndpointLimiter>,
    /// Until when it wants no call from this daemon.
    pub(super) paused_until: Timestamp,
    pub(super) version: Option<SoftwareVersion>,
    pub(super) key: EndpointKey,
    pub(super) process_key: ProcessKey,
    pub(super) hash: u64,
    pub(super) own_work: Work,
    pub(super) peer_work: Work,
    /// Moving average of the measured time to the first token relative to the expected one.
    pub(super) latency_factor: f64,
    /// Moving average of the duration of calls without a prompt.
    pub(super) mean_duration: Duration,
    pub(super) connections: IdleConnections,
    /// Speed of the process, from the calls of all daemons.
    pub(super) speed: ProcessSpeed,
    pub(super) health: Health,
    recorded_parts: HashMap<u64, Timestamp>,
}

/// Processes that are not listed now. Their entries may come back.
#[derive(Debug, Clone, Default)]
pub(super) struct AbsentProcesses {
    processes: HashMap<EndpointProcess, (EndpointState, Timestamp)>,
}

impl EndpointState {
    pub(super) fn new(entry: &EndpointEntry) -> Self {
        let record = &entry.record;
        let hash = digest64(&[record.id.as_str().as_bytes()]);
        Self {
            process: record.process(),
            address: record.address,
            zone: record.zone.clone(),
            slots: record.slots.max(1),
            is_leaving: entry.is_leaving(),
            limiter: None,
            paused_until: Timestamp::ZERO,
            version: record.version.clone(),
            key: EndpointKey(hash as u32),
            process_key: ProcessKey::of(&record.process()),
            hash,
            own_work: Work::default(),
            peer_work: Work::default(),
            latency_factor: 1.0,
            mean_duration: INITIAL_DURATION,
            connections: IdleConnections::default(),
            speed: ProcessSpeed::default(),
            health: Health::default(),
            recorded_parts: HashMap::new(),
        }
    }

    /// Takes over what the entry of the process says now.
    pub(super) fn update(&mut self, entry: &EndpointEntry) {
        let record = &entry.record;
        self.address = record.address;
        self.zone.clone_from(&record.zone);
        self.slots = record.slots.max(1);
        self.is_leaving = entry.is_leaving();
        self.version.clone_from(&record.version);
    }

    /// Returns the calls in flight, of this daemon and of its peers.
    pub(super) fn calls(&self) -> u32 {
        self.own_work.calls.saturating_add(self.peer_work.calls)
    }

    /// Returns the prompt tokens expected in the prefix cache: the leading parts that this
    /// daemon recently sent to this endpoint and, at the first owner, all parts that can be
    /// shared, since the other daemons send them to it as well.
    pub(super) fn cached(&self, now: Timestamp, prompt: &Prompt, is_owner: bool) -> u32 {
        let is_recent = |at: &Timestamp| now.since(*at) < PART_TTL;
        let is_recorded = |id: &u64| self.recorded_parts.get(id).is_some_and(is_recent);
        let shared = prompt.shared().len();
        let leading = prompt
            .parts
            .iter()
            .enumerate()
            .take_while(|(index, part)| (is_owner && *index < shared) || is_recorded(&part.id));
        let tokens = sum_tokens(leading.map(|(_, part)| part));
        tokens.min(prompt.tokens.saturating_sub(1))
    }

    pub(super) fn record_parts(&mut self, now: Timestamp, prompt: &Prompt) {
        for part in &prompt.parts {
            self.recorded_parts.insert(part.id, now);
        }
        if self.recorded_parts.len() > MAX_RECORDED_PARTS {
            self.recorded_parts
                .retain(|_, at| now.since(*at) < PART_TTL / 2);
        }
    }
}

impl AbsentProcesses {
    pub(super) fn insert(&mut self, now: Timestamp, state: EndpointState) {
        self.processes.insert(state.process.clone(), (state, now));
    }

    pub(super) fn remove(&mut self, process: &EndpointProcess) -> Option<EndpointState> {
        self.processes.remove(process).map(|(state, _)| state)
    }

    pub(super) fn get_mut(&mut self, process: &EndpointProcess) -> Option<&mut EndpointState> {
        self.processes.get_mut(process).map(|(state, _)| state)
    }

    /// Forgets processes that have not been listed for a long time, except those that are paused.
    pub(super) fn forget(&mut self, now: Timestamp) {
        self.processes.retain(|_, (state, since)| {
            now.since(*since) < ABSENCE_RETENTION || now < state.paused_until
        });
    }
}
