//! What a soak saw.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use laburnumstall_platform_standins::caller::Outcome;

use crate::checks;
use crate::timeline::Slice;
use crate::world::{Disturbance, World};

/// Figures of one soak.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Figures {
    /// Requests by what came of them.
    pub outcomes: BTreeMap<&'static str, usize>,
    /// Streams that callers resumed.
    pub resumed: usize,
    /// Streams taken up after restarts of all daemons, and those of them that went on.
    pub restarted: (usize, usize),
    /// Runs at endpoints.
    pub runs: usize,
    /// Reports of usage.
    pub reports: usize,
    /// Calls to the key-value service that read, and that wrote or renewed.
    pub store_calls: (u64, u64),
}

/// The outcome of one soak.
#[derive(Debug, Clone)]
pub struct Report {
    /// Seed.
    pub seed: u64,
    /// The faults as they happened.
    pub faults: Vec<Disturbance>,
    /// Promises that were broken.
    pub violations: Vec<String>,
    /// Figures.
    pub figures: Figures,
    /// Answers over time.
    pub answers: Vec<Slice>,
}

impl Figures {
    /// Adds up what callers and endpoints saw.
    pub(crate) fn of(world: &World) -> Self {
        let mut outcomes = BTreeMap::new();
        let mut resumed = BTreeSet::new();
        for record in world.ledger.borrow().iter() {
            if record.received_before.is_some() {
                resumed.insert(record.name.clone());
            }
            *outcomes.entry(name(&record.outcome)).or_default() += 1;
        }
        let restarted = checks::restart_counts(world);
        Self {
            outcomes,
            resumed: resumed.len(),
            restarted: (restarted.taken_up, restarted.went_on),
            runs: world.runs.borrow().len(),
            reports: world.duties.reports().len(),
            store_calls: world.store_calls(),
        }
    }
}

/// Returns the name of what came of a request.
pub(crate) fn name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::Refused => "refused",
        Outcome::Quarantined => "quarantined",
        Outcome::Denied(_) => "denied",
        Outcome::Failed(_) => "failed",
        Outcome::Cut => "cut",
        Outcome::Silent => "silent",
        Outcome::Wrong(_) => "wrong",
    }
}

impl Report {
    /// Tells whether all promises were kept.
    pub fn is_kept(&self) -> bool {
        self.violations.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let promises = match self.is_kept() {
            true => "kept",
            false => "broken",
        };
        write!(f, "seed {}: promises {promises};", self.seed)?;
        for (outcome, count) in &self.figures.outcomes {
            write!(f, " {outcome} {count},")?;
        }
        let (runs, reports) = (self.figures.runs, self.figures.reports);
        write!(f, " streams resumed {},", self.figures.resumed)?;
        let (taken_up, went_on) = self.figures.restarted;
        write!(f, " after restarts {went_on} of {taken_up},")?;
        write!(
            f,
            " runs {runs}, reports {reports}, faults {}",
            self.faults.len()
        )?;
        let (reads, writes) = self.figures.store_calls;
        write!(f, ", store reads {reads}, writes and renewals {writes}")?;
        for violation in &self.violations {
            write!(f, "\n  {violation}")?;
        }
        if !self.is_kept() {
            for fault in &self.faults {
                let until = fault.until.as_secs_f64();
                write!(
                    f,
                    "\n  {:7.3} to {until:7.3} s  {}",
                    fault.from.as_secs_f64(),
                    fault.name
                )?;
            }
        }
        Ok(())
    }
}
