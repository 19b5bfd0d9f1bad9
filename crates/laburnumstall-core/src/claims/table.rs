//! All claims of one daemon.

use std::collections::BTreeMap;

use crate::claims::shard::Shard;
use crate::claims::{Claim, ClaimIntent, ShardId};
use crate::decision::{Decision, DecisionKind, Journal};
use crate::domain;
use crate::ids::{DaemonId, RequestId};
use crate::store::{StoreCall, StoreOutcome};
use crate::units::Timestamp;

domain! {
    /// What became of a wish.
    pub enum ClaimOutcome {
        /// This daemon may dispatch.
        Granted {
            /// Whether the claim was taken from a daemon that may have dispatched.
            is_seized: bool,
        },
        /// The claim is held for another request or by another daemon.
        Taken(Claim),
        /// The key was used with another body.
        OtherBody,
        /// The shard's log has no room.
        LogFull,
        /// The deadline passed; this daemon will not dispatch.
        TimedOut {
            /// Whether the log was read after the wish and nobody held the claim.
            was_free: bool,
        },
        /// The claim no longer bars others on account of this daemon.
        Released,
    }

    /// The outcome of one wish.
    pub struct ClaimEvent {
        /// Request that the wish was for.
        pub request: RequestId,
        /// What became of it.
        pub outcome: ClaimOutcome,
    }

    /// A call to make for a shard; its outcome goes to [`Claims::on_store`].
    pub struct ClaimRequest {
        /// Shard that the call is for.
        pub shard: ShardId,
        /// The call.
        pub call: StoreCall,
    }
}

/// The claims that one daemon wants or holds.
#[derive(Debug, Clone)]
pub struct Claims {
    own: DaemonId,
    shards: BTreeMap<ShardId, Shard>,
    events: Vec<ClaimEvent>,
}

impl Claims {
    /// Starts without any wish.
    pub fn new(own: DaemonId) -> Self {
        Self {
            own,
            shards: BTreeMap::new(),
            events: Vec::new(),
        }
    }

    /// Adds a wish. Its outcome is told by [`Claims::take_events`].
    pub fn submit(&mut self, intent: ClaimIntent) {
        let id = intent.key.shard();
        let shard = self.shards.entry(id).or_insert_with(|| Shard::new(id));
        // Another daemon may have written since the log was seen.
        shard.forget_unless_calling();
        shard.add(intent);
    }

    /// Gives up wishes past their deadline and returns the calls to make now.
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

    /// Takes in the outcome of a shard's call. [`Claims::step`] follows.
    pub fn on_store(&mut self, now: Timestamp, shard: ShardId, outcome: StoreOutcome) {
        if let Some(shard) = self.shards.get_mut(&shard) {
            shard.on_store(now, outcome);
        }
    }

    /// Takes the outcomes since the last call.
    pub fn take_events(&mut self) -> Vec<ClaimEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns when [`Claims::step`] has to be called next.
    pub fn wake_at(&self) -> Timestamp {
        let times = self.shards.values().map(Shard::wake_at);
        times.min().unwrap_or(Timestamp::NEVER)
    }

    /// Returns the requests whose wishes are not settled.
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
        journal.record(describe(now, &intent, &outcome));
        self.events.push(ClaimEvent {
            request: intent.request,
            outcome,
        });
    }
}

fn describe(now: Timestamp, intent: &ClaimIntent, outcome: &ClaimOutcome) -> Decision {
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
