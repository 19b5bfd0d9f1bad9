//! The table at the end of a scenario.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use compact_str::CompactString;
use laburnumstall_core::domain;
use laburnumstall_core::request::Dialect;
use laburnumstall_core::units::Tokens;
use laburnumstall_site::Site;

use super::account::Account;
use super::faults::Fault;
use super::scenario::Scenario;
use crate::load::LoadReport;

domain! {
    /// A promise that was not kept.
    pub struct BrokenPromise {
        /// What was promised.
        pub promise: CompactString,
        /// What was seen instead.
        pub seen: CompactString,
    }

    /// What a scenario led to.
    pub struct ScenarioReport {
        /// The fault.
        pub scenario: Scenario,
        /// Requests that were sent.
        pub sent: u64,
        /// Requests that the system accepted.
        pub accepted: u64,
        /// Requests answered whole, with the caller's own answer.
        pub answered_whole: u64,
        /// Accepted requests without an answer.
        pub lost: u64,
        /// Answers with a missing, repeated or changed part.
        pub damaged: u64,
        /// Answers that belong to another request.
        pub foreign: u64,
        /// Non-idempotent requests that ran more than once.
        pub run_twice: u64,
        /// Requests refused as not run.
        pub refused: u64,
        /// Of these, the requests that ran all the same.
        pub refused_but_ran: u64,
        /// Non-idempotent requests that may have run.
        pub outcome_unknown: u64,
        /// Requests that were neither accepted nor refused.
        pub unreached: u64,
        /// Times that a caller had to come back to an accepted request.
        pub cut_off: u64,
        /// Requests that went on at another entry or endpoint.
        pub moved: u64,
        /// Tokens that further attempts processed or generated again.
        pub recomputed: Tokens,
        /// Engines that crashed.
        pub engines_lost: u64,
        /// Time from the fault until the last caller was cut off; `None` if none was.
        pub recovery: Option<Duration>,
        /// What else was seen.
        pub notes: Vec<CompactString>,
        /// Promises that were not kept.
        pub broken: Vec<BrokenPromise>,
    }
}

impl ScenarioReport {
    /// Compares what callers saw with what the site did.
    pub(super) fn of(
        scenario: Scenario,
        load: &LoadReport,
        account: &Account,
        site: &Site,
        fault: Fault,
    ) -> Self {
        let runs = site.orders.runs().by_body;
        let entered = account.read();
        let refused_but_ran = entered.iter().filter(|entered| {
            entered.dialect == Dialect::Plain
                && entered.is_refused()
                && runs.contains_key(&entered.body)
        });
        let mut report = Self {
            scenario,
            sent: load.sent,
            accepted: entered.iter().filter(|e| e.is_accepted()).count() as u64,
            answered_whole: load.whole,
            lost: load.lost,
            damaged: load.damaged,
            foreign: load.foreign,
            run_twice: runs.values().filter(|count| **count > 1).count() as u64,
            refused: load.not_run,
            refused_but_ran: refused_but_ran.count() as u64,
            outcome_unknown: load.outcome_unknown,
            unreached: load.unreached,
            cut_off: load.attached,
            moved: moved(&site.lines.read()),
            recomputed: recomputed(account, site),
            engines_lost: site
                .engines
                .iter()
                .map(|slot| slot.engine.counts().crashes)
                .sum(),
            recovery: account.last_return(fault.at).map(|last| last - fault.at),
            notes: fault.notes,
            broken: fault.broken,
        };
        report.check_promises(load, fault.cuts_nothing);
        report
    }

    /// Leaves out tokens that were generated before the load began.
    pub(super) fn without_tokens(mut self, before: Tokens) -> Self {
        self.recomputed = Tokens(self.recomputed.get().saturating_sub(before.get()));
        self
    }

    /// Tells whether each promise was kept.
    pub fn is_kept(&self) -> bool {
        self.broken.is_empty()
    }

    fn check_promises(&mut self, load: &LoadReport, cuts_nothing: bool) {
        let unknown = match self.scenario.is_unannounced() {
            true => 0,
            false => self.outcome_unknown,
        };
        let refused = match self.scenario {
            Scenario::Poison => self.refused,
            _ => 0,
        };
        let cut_off = if cuts_nothing { self.cut_off } else { 0 };
        let ended = load.whole + load.damaged + load.foreign + load.lost + load.not_run;
        let ended = ended + load.outcome_unknown + load.ran_failed + load.unreached;
        let counts = [
            ("an accepted request is answered", self.lost),
            ("an answer is whole", self.damaged),
            ("an answer belongs to its caller", self.foreign),
            ("a non-idempotent request runs at most once", self.run_twice),
            (
                "what is refused as not run did not run",
                self.refused_but_ran,
            ),
            ("an announced loss leaves no outcome unknown", unknown),
            ("no other request is refused", refused),
            ("a request gets a word", self.unreached),
            ("a request does not fail", load.ran_failed),
            ("a planned stop cuts nothing", cut_off),
            ("each request ends", self.sent.abs_diff(ended)),
        ];
        for (promise, count) in counts {
            if count > 0 {
                self.broken.push(BrokenPromise {
                    promise: promise.into(),
                    seen: format!("{count} times not").into(),
                });
            }
        }
    }
}

/// Counts the requests that went on at another entry or endpoint.
fn moved(lines: &[String]) -> u64 {
    let mut requests = BTreeSet::new();
    for line in lines {
        let is_move = line.contains(" choice=take-over ")
            || line.contains(" choice=move ")
            || line.contains(" choice=elsewhere ");
        if let (true, Some(request)) = (is_move, field(line, "request")) {
            requests.insert(request);
        }
    }
    requests.len() as u64
}

/// Returns what further attempts had to process, as they were routed, and what the engines
/// generated beyond what callers were given.
fn recomputed(account: &Account, site: &Site) -> Tokens {
    let lines = site.lines.read();
    let processed: u64 = lines.iter().filter_map(|line| processed_again(line)).sum();
    let generated = generated(site).get();
    let given: u64 = account
        .read()
        .iter()
        .map(|entered| entered.end.chunks)
        .sum();
    Tokens(processed + generated.saturating_sub(given))
}

/// Returns what all engines generated so far.
pub(super) fn generated(site: &Site) -> Tokens {
    let own = site.engines.iter().map(|slot| slot.engine.counts());
    let bought = site.bought.read().into_iter().map(|known| known.counts);
    let generated = own.chain(bought).map(|counts| counts.generated.get());
    Tokens(generated.sum())
}

/// Returns the uncached tokens of an attempt after a request's first.
fn processed_again(line: &str) -> Option<u64> {
    let (_, number) = field(line, "attempt")?.rsplit_once('/')?;
    let is_route = line.contains(" event=route ") && number != "1";
    let tokens = |name: &str| -> Option<u64> {
        let text = field(line, name)?;
        text.strip_suffix("tok")?.parse().ok()
    };
    let all = tokens("prompt")? + tokens("generated")?;
    is_route.then(|| all.saturating_sub(tokens("cached").unwrap_or(0)))
}

/// Returns the value of a field of a decision line.
pub(super) fn field<'l>(line: &'l str, name: &str) -> Option<&'l str> {
    let mut pairs = line.split(' ').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

impl fmt::Display for ScenarioReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<28}{:>10}", "scenario", self.scenario.name())?;
        let rows = [
            ("sent", self.sent),
            ("accepted", self.accepted),
            ("answered whole", self.answered_whole),
            ("lost", self.lost),
            ("damaged answers", self.damaged),
            ("foreign answers", self.foreign),
            ("run twice", self.run_twice),
            ("refused, not run", self.refused),
            ("refused, but ran", self.refused_but_ran),
            ("outcome unknown", self.outcome_unknown),
            ("unreached", self.unreached),
            ("cut off and came back", self.cut_off),
            ("moved", self.moved),
            ("recomputed tokens", self.recomputed.get()),
            ("engines lost to a crash", self.engines_lost),
        ];
        for (name, count) in rows {
            writeln!(f, "{name:<28}{count:>10}")?;
        }
        let recovery = match self.recovery {
            Some(time) => format!("{:.3} s", time.as_secs_f64()),
            None => "none cut".to_owned(),
        };
        writeln!(f, "{:<28}{recovery:>10}", "time to recover")?;
        for note in &self.notes {
            writeln!(f, "{note}")?;
        }
        if self.is_kept() {
            return write!(f, "promises: kept");
        }
        write!(f, "promises: BROKEN")?;
        for broken in &self.broken {
            write!(f, "\n  {}: {}", broken.promise, broken.seen)?;
        }
        Ok(())
    }
}
