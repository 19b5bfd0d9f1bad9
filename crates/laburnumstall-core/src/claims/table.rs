//! The claims of one daemon, over all shards.

use std::collections::BTreeMap;

use crate::claims::shard::Shard;
use crate::claims::{Claim, ClaimIntent, ShardId};
use crate::decision::{Decision, DecisionKind, Journal};
use crate::domain;
use crate::ids::{DaemonId, RequestId};
use crate::store::{StoreCall, StoreOutcome};
use crate::units::Timestamp;

domain! {
    /// Outcome of an intent.
    pub enum ClaimOutcome {
        /// This daemon may dispatch the request.
        Granted {
            /// Whether the claim was seized from a daemon that may have dispatched the request.
            is_seized: bool,
        },
        /// The claim is held by another daemon or for another request.
        Taken(Claim),
        /// The idempotency key was used with a different body.
        OtherBody,
        /// The shard's log is full.
        LogFull,
        /// The deadline passed; this daemon will not dispatch the request.
        TimedOut {
            /// Whether a read of the log since submission found no holder.
            was_free: bool,
        },
        /// This daemon no longer holds the claim.
        Released,
    }

    /// A settled intent and its outcome.
    pub struct ClaimEvent {
        /// Request that the intent was for.
        pub request: RequestId,
        /// Outcome of the intent.
        pub outcome: ClaimOutcome,
    }

    /// A call to make for a shard; its outcome is passed to [`Claims::on_store`].
    pub struct ClaimRequest {
        /// Shard that the call is for.
        pub shard: ShardId,
        /// The call.
        pub call: StoreCall,
    }
}

/// Claim intents of a daemon, by shard.
#[derive(Debug, Clone)]
pub struct Claims {
    own: DaemonId,
    shards: BTreeMap<ShardId, Shard>,
    events: Vec<ClaimEvent>,
}

impl Claims {
    /// Creates a table without intents.
    pub fn new(own: DaemonId) -> Self {
        Self {
            own,
            shards: BTreeMap::new(),
            events: Vec::new(),
        }
    }

    /// Submits an intent; [`Claims::take_events`] returns its outcome.
    pub fn submit(&mut self, intent: ClaimIntent) {
        let id = intent.key.shard();
        let shard = self.shards.entry(id).or_insert_with(|| Shard::new(id));
        // Another daemon may have written to the log since it was cached.
        shard.invalidate_unless_calling();
        shard.add(intent);
    }

    /// Times out intents past their deadline, and returns the calls to make now.
    pub fn step(&mut self, now: Timestamp, journal: &mut Journal) -> Vec<ClaimRequest> {
        let mut calls = Vec::new();
        let mut settled = Vec::new();
        for (id, shard) in &mut self.shards {
            settled.extend(shard.expire(now));
            let (more, call) = shard.step(now, &self.own);
            settled.extend(more);
            calls.extend(call.map(|call| ClaimRequest { shard: *id, call }));
        }
        for (intent, outcome) in settled {
            self.settle(now, intent, outcome, journal);
        }
        calls
    }

    /// Handles the outcome of a shard's call; [`Claims::step`] must be called next.
    pub fn on_store(&mut self, now: Timestamp, shard: ShardId, outcome: StoreOutcome) {
        if let Some(shard) = self.shards.get_mut(&shard) {
            shard.on_store(now, outcome);
        }
    }

    /// Removes and returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<ClaimEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns when [`Claims::step`] must be called next.
    pub fn wake_at(&self) -> Timestamp {
        let times = self.shards.values().map(Shard::wake_at);
        times.min().unwrap_or(Timestamp::NEVER)
    }

    /// Returns the requests with unsettled intents.
    pub fn pending(&self) -> impl Iterator<Item = &RequestId> {
        let intents = self.shards.values().flat_map(Shard::intents);
        intents.map(|intent| &intent.request)
    }

    fn settle(
        &mut self,
        now: Timestamp,
        intent: ClaimIntent,
        outcome: ClaimOutcome,
        journal: &mut Journal,
    ) {
        journal.record(decision(now, &intent, &outcome));
        self.events.push(ClaimEvent {
            request: intent.request,
            outcome,
        });
    }
}

fn decision(now: Timestamp, intent: &ClaimIntent, outcome: &ClaimOutcome) -> Decision {
    let (choice, reason) = match outcome {
        ClaimOutcome::Granted { .. } => ("granted", "own-claim-in-log"),
        ClaimOutcome::Taken(_) => ("denied", "held-by-other"),
        ClaimOutcome::OtherBody => ("denied", "other-body"),
        ClaimOutcome::LogFull => ("denied", "log-full"),
        ClaimOutcome::TimedOut { .. } => ("given-up", "deadline"),
        ClaimOutcome::Released => ("released", "not-dispatched"),
    };
    let decision = Decision::new(now, DecisionKind::Claim, choice, reason)
        .with("request", &intent.request)
        .with("claim", intent.key)
        .with("shard", intent.key.shard());
    match outcome {
        ClaimOutcome::Taken(claim) => decision
            .with("holder", &claim.holder)
            .with("held_for", &claim.request),
        _ => decision,
    }
}
