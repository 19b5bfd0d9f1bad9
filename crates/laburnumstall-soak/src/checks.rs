//! What was promised, compared with what callers were told and what endpoints ran.

mod crashing;
mod resumptions;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use laburnumstall_platform_standins::ExecutedRequest;
use laburnumstall_platform_standins::caller::{CallKind, Outcome};

pub(crate) use resumptions::RestartCounts;

use crate::world::{
    Disturbance, KeyState, REVOCATION, ROUTE_TIMEOUT, Record, SHORTEST_TIMEOUT, Target, World,
};

/// Time after a disturbance in which it may still show.
const AFTERMATH: Duration = Duration::from_secs(3);
/// Time after the route's timeout in which the answer has to be there, beside load on the
/// machine that the soak runs on.
const ANSWER_SLACK: Duration = Duration::from_millis(1_500);
/// Time in which all daemons have to act on a configuration.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Time in which a leaving endpoint may still be sent requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time in which all daemons have to know of a limit.
const LIMIT_SPREAD_TIME: Duration = Duration::from_secs(3);
/// Time over which requests at an endpoint with a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Part of the requests that has to be served once all faults are over, in hundredths.
const SERVED_PERCENT: usize = 90;
/// Violations of one kind that are told; the rest is counted.
const TOLD: usize = 5;

/// Returns everything that broke a promise.
pub(crate) fn all(world: &World, calm_from: Duration, calm_until: Duration) -> Vec<String> {
    let records = world.ledger.borrow();
    let runs = world.runs.borrow();
    let view = View::new(world, &records, &runs);
    let groups = [
        view.answers(),
        view.executions(),
        view.denials(),
        view.withdrawals(),
        view.requests_of_callers(&runs),
        view.deadlines(),
        view.planned_work(),
        view.resumed_streams(),
        view.restarted_streams(),
        view.crashing_requests(),
        view.sound_requests(),
        view.drains(&runs),
        view.told_drains(&runs),
        view.limits(&runs),
        view.reports(),
        view.recovery(calm_from, calm_until),
        world.own_ends.borrow().clone(),
    ];
    groups.into_iter().flat_map(shortened).collect()
}

/// Counts the streams that were taken up after restarts of all daemons.
pub(crate) fn restart_counts(world: &World) -> RestartCounts {
    let records = world.ledger.borrow();
    let runs = world.runs.borrow();
    View::new(world, &records, &runs).restart_counts()
}

fn shortened(mut group: Vec<String>) -> Vec<String> {
    let more = group.len().saturating_sub(TOLD);
    group.truncate(TOLD);
    if more > 0 {
        group.push(format!("and {more} more like it"));
    }
    group
}

fn by_request(runs: &[ExecutedRequest]) -> HashMap<&str, Vec<&ExecutedRequest>> {
    let mut by_id: HashMap<&str, Vec<&ExecutedRequest>> = HashMap::new();
    for run in runs {
        by_id.entry(&run.id).or_default().push(run);
    }
    by_id
}

struct View<'a> {
    world: &'a World,
    records: &'a [Record],
    by_id: HashMap<&'a str, &'a Record>,
    runs: HashMap<&'a str, Vec<&'a ExecutedRequest>>,
    disturbances: Vec<Disturbance>,
    keys: Vec<KeyState>,
}

impl<'a> View<'a> {
    fn new(world: &'a World, records: &'a [Record], runs: &'a [ExecutedRequest]) -> Self {
        Self {
            world,
            records,
            by_id: records.iter().map(|one| (one.id.as_str(), one)).collect(),
            runs: by_request(runs),
            disturbances: world.disturbances(),
            keys: world.keys.borrow().clone(),
        }
    }

    fn run_count(&self, id: &str) -> usize {
        self.runs.get(id).map_or(0, Vec::len)
    }

    fn key(&self, record: &Record) -> Option<&KeyState> {
        self.keys.iter().find(|state| state.key == record.key)
    }

    /// Tells whether something other than `is_allowed` touched the time from `from`, less
    /// the aftermath, to `until`.
    fn is_disturbed(
        &self,
        from: Duration,
        until: Duration,
        is_allowed: impl Fn(&Disturbance) -> bool,
    ) -> bool {
        self.disturbances
            .iter()
            .filter(|one| !is_allowed(one))
            .any(|one| one.from <= until && one.until.saturating_add(AFTERMATH) >= from)
    }

    /// Callers get their own whole answer, or one that is no success.
    fn answers(&self) -> Vec<String> {
        let wrong = self
            .records
            .iter()
            .filter_map(|record| match &record.outcome {
                Outcome::Wrong(_) => {
                    let runs = self.tell_runs(&record.name);
                    Some(format!("request {} ran at {runs}", tell(record)))
                }
                _ => None,
            });
        wrong.collect()
    }

    /// A call that may not repeat runs once at most, and not at all if it was refused.
    fn executions(&self) -> Vec<String> {
        let orders = self
            .records
            .iter()
            .filter(|record| record.kind == CallKind::Order);
        let broken =
            orders.filter_map(
                |record| match (self.run_count(&record.id), &record.outcome) {
                    (2.., _) => Some(format!(
                        "request {} ran {} times",
                        tell(record),
                        self.run_count(&record.id)
                    )),
                    (1, Outcome::Refused | Outcome::Quarantined) => {
                        Some(format!("request {} was refused and ran", tell(record)))
                    }
                    _ => None,
                },
            );
        broken.collect()
    }

    /// What the configuration allows is not denied.
    fn denials(&self) -> Vec<String> {
        let denied = self.records.iter().filter_map(|record| {
            let Outcome::Denied(status) = record.outcome else {
                return None;
            };
            let key = self.key(record)?;
            let is_withdrawn = key
                .withdrawn
                .is_some_and(|(sent, _)| sent <= record.ended_at);
            let is_new = key
                .added_at
                .is_none_or(|at| record.sent_at < at + APPLY_TIME);
            let is_due = status != 401 || !(is_withdrawn || is_new);
            // A daemon without the service may not know a new key for longer.
            let is_excused = status == 401
                && self.is_disturbed(record.sent_at, record.ended_at, |one| {
                    matches!(one.on, Target::Endpoint(_) | Target::Service(_))
                })
                && key.added_at != Some(Duration::ZERO);
            (is_due && !is_excused)
                .then(|| format!("request {} was denied with {status}", tell(record)))
        });
        denied.collect()
    }

    /// Nothing runs with a key that was withdrawn long enough ago.
    fn withdrawals(&self) -> Vec<String> {
        let late = self.records.iter().filter(|record| {
            let acknowledged = self.key(record).and_then(|key| key.withdrawn?.1);
            acknowledged.is_some_and(|at| record.sent_at > at + REVOCATION)
        });
        late.filter(|record| self.run_count(&record.id) > 0)
            .map(|record| format!("request {} ran with a withdrawn key", tell(record)))
            .collect()
    }

    /// Endpoints run what callers sent, for the customer of the key.
    fn requests_of_callers(&self, runs: &[ExecutedRequest]) -> Vec<String> {
        let is_over = |run: &&ExecutedRequest| self.world.time_of(run.at) < self.last_end();
        let strange = runs.iter().filter(is_over).filter_map(|run| {
            let record = self.by_id.get(run.id.as_str());
            match record {
                None if !self.is_under_way(&run.id) => Some(format!(
                    "{} ran {}, which nobody sent",
                    run.endpoint, run.id
                )),
                Some(record) if record.customer != run.customer => Some(format!(
                    "request {} ran for customer {}",
                    tell(record),
                    run.customer
                )),
                Some(record) if !run.target.ends_with(&record.name) => {
                    Some(format!("request {} ran as {}", tell(record), run.target))
                }
                _ => None,
            }
        });
        strange.collect()
    }

    fn last_end(&self) -> Duration {
        let ends = self.records.iter().map(|record| record.ended_at);
        ends.max().unwrap_or_default()
    }

    /// Tells whether a request may have been cut off by the end of the soak: its caller has
    /// sent nothing later.
    fn is_under_way(&self, id: &str) -> bool {
        let caller = &id[..id.len().min(4)];
        let of_caller = self
            .records
            .iter()
            .filter(|record| record.id.starts_with(caller));
        of_caller
            .map(|record| record.id.as_str())
            .max()
            .is_none_or(|last| last < id)
    }

    /// An answer comes by the route's timeout, from a daemon that nothing disturbs.
    fn deadlines(&self) -> Vec<String> {
        let late = self.records.iter().filter(|record| {
            record.ended_at - record.sent_at > ROUTE_TIMEOUT + ANSWER_SLACK
                && !self.is_disturbed(record.sent_at, record.ended_at, |one| {
                    one.on != Target::Daemon(record.daemon)
                })
        });
        late.map(|record| {
            let took = record.ended_at - record.sent_at;
            format!("request {} took {} ms", tell(record), took.as_millis())
        })
        .collect()
    }

    /// Tells whether a sound endpoint's silence may have held a request until the route's timeout.
    fn is_held_to_timeout(&self, record: &Record) -> bool {
        let mut silences = self.disturbances.iter().filter(|one| one.is_silence);
        record.ended_at - record.sent_at >= SHORTEST_TIMEOUT
            && silences.any(|one| one.from <= record.ended_at && one.until >= record.sent_at)
    }

    /// Planned work and silences of sound endpoints lose nothing that was passed on to an
    /// endpoint. A silence may only hold a request until its route's timeout.
    fn planned_work(&self) -> Vec<String> {
        let lost = self.records.iter().filter(|record| {
            record.outcome == Outcome::Cut
                && self.run_count(&record.id) > 0
                && !self.is_disturbed(record.sent_at, record.ended_at, |one| !one.excuses_loss)
                && !self.is_held_to_timeout(record)
        });
        lost.map(|record| format!("request {} was lost without a fault", tell(record)))
            .collect()
    }

    /// Returns where the attempts of a request ran, with the event after which each resumed.
    fn tell_runs(&self, name: &str) -> String {
        let attempts = self.records.iter().filter(|record| record.name == name);
        let runs = attempts.filter_map(|record| self.runs.get(record.id.as_str()));
        let told = runs.flatten().map(|run| {
            let after = run.resume_after.unwrap_or(0);
            format!("{} ({}, after event {after})", run.endpoint, run.version)
        });
        told.collect::<Vec<_>>().join(", ")
    }

    /// A leaving endpoint gets no new work, as long as everybody can know that it leaves.
    fn drains(&self, runs: &[ExecutedRequest]) -> Vec<String> {
        let late = runs.iter().filter(|run| {
            let at = self.world.time_of(run.at);
            let drained_for = run.drained_for.unwrap_or_default();
            drained_for > DRAIN_TIME + ANSWER_SLACK
                && !self.is_disturbed(at.saturating_sub(drained_for), at, |one| {
                    matches!(
                        one.on,
                        Target::Endpoint(_) | Target::Service(_) | Target::Operators
                    )
                })
        });
        late.map(|run| {
            let after = run.drained_for.unwrap_or_default();
            let endpoint = &run.endpoint;
            format!(
                "{endpoint} got {} {} ms after it was leaving",
                run.id,
                after.as_millis()
            )
        })
        .collect()
    }

    /// A daemon that passed on that an endpoint leaves sends it no new request, whatever the store
    /// says.
    fn told_drains(&self, runs: &[ExecutedRequest]) -> Vec<String> {
        let mut told: BTreeMap<(usize, &str), Duration> = BTreeMap::new();
        for record in self.records {
            if let Some(endpoint) = &record.leaving {
                let at = told
                    .entry((record.daemon, endpoint))
                    .or_insert(record.ended_at);
                *at = record.ended_at.min(*at);
            }
        }
        let late = runs.iter().filter_map(|run| {
            let record = self.by_id.get(run.id.as_str())?;
            let told_at = *told.get(&(record.daemon, run.endpoint.as_str()))?;
            let is_interrupted = self.is_disturbed(told_at, record.sent_at, |one| {
                one.on != Target::Daemon(record.daemon) || !one.interrupts_process
            });
            (record.sent_at > told_at + DRAIN_TIME && !is_interrupted).then(|| {
                let after = record.sent_at - told_at;
                let endpoint = &run.endpoint;
                format!(
                    "{endpoint} got {}, sent {} ms after entry-{} had passed on that it leaves",
                    run.id,
                    after.as_millis(),
                    record.daemon
                )
            })
        });
        late.collect()
    }

    /// All daemons together keep the limit that an endpoint names, except those that were
    /// disturbed meanwhile.
    fn limits(&self, runs: &[ExecutedRequest]) -> Vec<String> {
        let limits = self.world.limits.borrow();
        let exceeded = limits.iter().filter_map(|limit| {
            let is_counted = |run: &&ExecutedRequest| {
                let record = self.by_id.get(run.id.as_str());
                let is_calm = record.is_some_and(|record| {
                    !self.is_disturbed(limit.from, record.sent_at, |one| {
                        one.on != Target::Daemon(record.daemon)
                    })
                });
                run.endpoint == limit.endpoint && is_calm
            };
            let times = runs.iter().filter(is_counted);
            let mut times: Vec<Duration> = times
                .map(|run| self.world.time_of(run.at))
                .filter(|at| *at > limit.from + LIMIT_SPREAD_TIME && *at < limit.until)
                .collect();
            times.sort_unstable();
            let in_window = |(index, from): (usize, &Duration)| {
                let later = times[index..].iter();
                later.take_while(|at| **at < *from + LIMIT_WINDOW).count()
            };
            let most = times.iter().enumerate().map(in_window).max().unwrap_or(0);
            let allowed = limit.per_second * LIMIT_WINDOW.as_secs_f64() * 1.5 + 5.0;
            (most as f64 > allowed).then(|| {
                let (endpoint, per_second) = (&limit.endpoint, limit.per_second);
                format!(
                    "{endpoint} got {most} requests in {} s, though it takes {per_second} a second",
                    LIMIT_WINDOW.as_secs()
                )
            })
        });
        exceeded.collect()
    }

    /// One report for each window, and one holder for each token.
    fn reports(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let mut windows = BTreeMap::new();
        let mut holders: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
        for report in self.world.duties.reports() {
            let known = windows
                .entry(report.window)
                .or_insert(report.counts.clone());
            if *known != report.counts {
                violations.push(format!("window {} was reported twice", report.window));
            }
            holders
                .entry(report.token)
                .or_default()
                .insert(report.holder);
        }
        let shared = holders.iter().filter(|(_, holders)| holders.len() > 1);
        violations.extend(shared.map(|(token, holders)| format!("token {token}: {holders:?}")));
        violations
    }

    /// Once all is calm, callers are served again.
    fn recovery(&self, from: Duration, until: Duration) -> Vec<String> {
        let mut violations = Vec::new();
        for kind in CallKind::ALL {
            let asked = self.records.iter().filter(|record| {
                let is_withdrawn = self.key(record).is_some_and(|key| key.withdrawn.is_some());
                let is_sound = record.episode.is_none();
                is_sound
                    && record.kind == kind
                    && (from..until).contains(&record.sent_at)
                    && !is_withdrawn
            });
            let asked: Vec<&Record> = asked.collect();
            let served = asked
                .iter()
                .filter(|record| record.outcome == Outcome::Served);
            let served = served.count();
            if served * 100 < asked.len() * SERVED_PERCENT || asked.is_empty() {
                violations.push(format!(
                    "after all faults {served} of {} requests of kind {} were served",
                    asked.len(),
                    kind.name()
                ));
            }
        }
        violations
    }
}

fn tell(record: &Record) -> String {
    format!(
        "{} ({} of {}, entry-{}, sent at {:.3} s, {:?})",
        record.id,
        record.kind.name(),
        record.customer,
        record.daemon,
        record.sent_at.as_secs_f64(),
        record.outcome
    )
}
