//! Questions to the view: who is usable, who keeps what, who watches whom; and the words
//! exchanged with peers.

use crate::decision::Journal;
use crate::hash::rendezvous_weight;
use crate::ids::{AvailabilityZone, DaemonId, LookupHash};
use crate::membership::digest::{MAX_RUMOURS, MemberDigest, RUMOUR_LIFE, Rumour, Word};
use crate::membership::evidence::MemberState;
use crate::membership::ring::{self, Seat};
use crate::membership::standing::{PROBE_AFTER, SILENT_AFTER, Standing};
use crate::membership::{HEARTBEAT_PERIOD, Member, Membership};
use crate::units::Timestamp;

/// A member's place in a ranking; the name breaks ties.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Weight<'a> {
    weight: u64,
    id: &'a DaemonId,
}

impl Membership {
    /// Returns a member's state; `None` if it was never known or was forgotten.
    pub fn state(&self, daemon: &DaemonId) -> Option<MemberState> {
        if *daemon == self.own.id {
            return Some(match self.own.leaving {
                true => MemberState::Leaving,
                false => MemberState::Live,
            });
        }
        self.others.get(daemon).map(|standing| standing.state)
    }

    /// Returns a member, also one that is gone.
    pub fn member(&self, daemon: &DaemonId) -> Option<&Member> {
        if *daemon == self.own.id {
            return Some(&self.own);
        }
        self.others.get(daemon).map(|standing| &standing.member)
    }

    /// Returns the members that take new work, this daemon included unless it is leaving.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        let own = Some(&self.own).filter(|own| !own.leaving);
        let others = self
            .others
            .values()
            .filter(|standing| standing.state == MemberState::Live)
            .map(|standing| &standing.member);
        own.into_iter().chain(others)
    }

    /// Returns the other members that do not count as gone.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        self.present().map(|standing| &standing.member)
    }

    /// Returns the members that this daemon sends heartbeats to, at most four.
    pub fn heartbeat_targets(&self) -> Vec<DaemonId> {
        let mut seats = vec![Seat {
            member: &self.own,
            seed: self.own_seed,
        }];
        seats.extend(self.present().map(|standing| Seat {
            member: &standing.member,
            seed: standing.seed,
        }));
        ring::targets(&self.own.id, &seats)
    }

    /// Returns the members to probe on a new connection: heartbeat targets not heard lately.
    pub fn probes_due(&self, now: Timestamp) -> Vec<DaemonId> {
        let is_due = |id: &DaemonId| {
            self.others
                .get(id)
                .is_some_and(|standing| now.since(standing.heard) >= PROBE_AFTER)
        };
        self.heartbeat_targets()
            .into_iter()
            .filter(is_due)
            .collect()
    }

    /// Returns the live members by rendezvous weight for a home, the first keeper first.
    pub fn rank(&self, lookup_hash: LookupHash) -> Vec<&Member> {
        let mut ranked: Vec<(Weight<'_>, &Member)> = self.weighted(lookup_hash).collect();
        ranked.sort_by(|a, b| b.0.cmp(&a.0));
        ranked.into_iter().map(|(_, member)| member).collect()
    }

    /// Returns the daemons that know of a request with this home: the first of the
    /// ranking, and the first in another zone than that one.
    pub fn locate(&self, lookup_hash: LookupHash) -> Vec<DaemonId> {
        let Some(first) = self.first(lookup_hash, |_| true) else {
            return Vec::new();
        };
        let second = self.first(lookup_hash, |member| member.zone != first.zone);
        std::iter::once(first)
            .chain(second)
            .map(|member| member.id.clone())
            .collect()
    }

    /// Returns the daemon that keeps a request's copy: the first of the ranking outside
    /// the owner's zone and not excluded.
    ///
    /// With nothing excluded it is one of [`Membership::locate`], whatever the zone.
    pub fn standby(
        &self,
        lookup_hash: LookupHash,
        owner_zone: &AvailabilityZone,
        excluded: &[DaemonId],
    ) -> Option<&Member> {
        self.first(lookup_hash, |member| {
            member.zone != *owner_zone && !excluded.contains(&member.id)
        })
    }

    /// Returns the first member of the ranking that `is_suitable`.
    fn first(
        &self,
        lookup_hash: LookupHash,
        is_suitable: impl Fn(&Member) -> bool,
    ) -> Option<&Member> {
        self.weighted(lookup_hash)
            .filter(|(_, member)| is_suitable(member))
            .max_by(|a, b| a.0.cmp(&b.0))
            .map(|(_, member)| member)
    }

    /// Returns the live members with their weights for a home.
    fn weighted(&self, lookup_hash: LookupHash) -> impl Iterator<Item = (Weight<'_>, &Member)> {
        let own = Some((self.own_seed, &self.own)).filter(|(_, own)| !own.leaving);
        let others = self
            .others
            .values()
            .filter(|standing| standing.state == MemberState::Live)
            .map(|standing| (standing.seed, &standing.member));
        own.into_iter().chain(others).map(move |(seed, member)| {
            let weight = Weight {
                weight: rendezvous_weight(u64::from(lookup_hash.0), seed),
                id: &member.id,
            };
            (weight, member)
        })
    }

    /// Returns what callers are told of: the live members, in an order that differs from
    /// daemon to daemon so that callers spread over all of them.
    pub fn directory(&self) -> Vec<&Member> {
        self.rank(LookupHash(self.own_seed as u32))
    }

    /// Returns what this daemon tells its heartbeat partners about others.
    pub fn digest(&self) -> MemberDigest {
        let rumours = self
            .others
            .values()
            .filter_map(|standing| rumour(self.now, standing))
            .take(MAX_RUMOURS)
            .collect();
        MemberDigest { rumours }
    }

    /// Takes in what a peer says about others.
    pub fn on_digest(
        &mut self,
        now: Timestamp,
        from: &DaemonId,
        digest: &MemberDigest,
        journal: &mut Journal,
    ) {
        self.now = self.now.max(now);
        for rumour in digest.rumours.iter().take(MAX_RUMOURS) {
            self.on_rumour(now, from, rumour, journal);
        }
    }

    fn on_rumour(
        &mut self,
        now: Timestamp,
        from: &DaemonId,
        rumour: &Rumour,
        journal: &mut Journal,
    ) {
        let id = &rumour.about;
        let Some(standing) = self.others.get_mut(id) else {
            return;
        };
        match rumour.word {
            Word::Suspected => {
                standing.suspected_by.insert(from.clone(), now);
            }
            Word::Heard { age_millis } => {
                let age = u64::from(age_millis).saturating_mul(1_000);
                let at = Timestamp(now.0.saturating_sub(age));
                standing.heard_anywhere = standing.heard_anywhere.max(at);
                if at > standing.changed {
                    self.return_if_gone(now, id, "heard-by-peer", journal);
                }
            }
            Word::Leaving => self.mark_leaving(now, id, "peer", journal),
            Word::Gone(reason) => {
                let is_contradicted = now.since(standing.heard) < SILENT_AFTER;
                if reason.is_final() || !is_contradicted {
                    self.mark_gone(now, id, reason, journal);
                }
            }
        }
    }

    /// Returns the others that do not count as gone.
    fn present(&self) -> impl Iterator<Item = &Standing> {
        self.others
            .values()
            .filter(|standing| standing.state != MemberState::Gone)
    }
}

fn rumour(now: Timestamp, standing: &Standing) -> Option<Rumour> {
    let is_recent = now.since(standing.changed) < RUMOUR_LIFE;
    let heard_age = match standing.heard >= standing.heard_anywhere {
        true => now.since(standing.heard),
        // Without this the time on the way would make a word younger at each daemon that
        // passes it on, and two daemons could keep a third one alive for good.
        false => now.since(standing.heard_anywhere) + HEARTBEAT_PERIOD,
    };
    let in_question = standing.registry_absent.is_some()
        || !standing.suspected_by.is_empty()
        || (standing.returned && is_recent);
    let word = match standing.state {
        MemberState::Gone => standing.reason.filter(|_| is_recent).map(Word::Gone),
        _ if standing.is_suspected_here(now) => Some(Word::Suspected),
        MemberState::Leaving if is_recent => Some(Word::Leaving),
        _ if in_question && heard_age < SILENT_AFTER => Some(Word::Heard {
            age_millis: heard_age.as_millis() as u32,
        }),
        _ => None,
    };
    word.map(|word| Rumour {
        about: standing.member.id.clone(),
        word,
    })
}
