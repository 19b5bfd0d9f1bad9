//! Rows of the measurement, the verdicts on its goals, and how both are printed.

use std::fmt;

use laburnumstall_core::domain;

use crate::faults::FaultKind;
use crate::figures::Figures;
use crate::policy::{Bound, CoreRouter, Policy};
use crate::search::TargetCost;
use crate::workload::WorkloadName;

domain! {
    /// One policy with one workload and one kind of fault.
    pub struct Row {
        /// Workload.
        pub workload: WorkloadName,
        /// Faults.
        pub faults: FaultKind,
        /// Policy.
        pub policy: String,
        /// Replicas with which the figures were measured.
        pub replicas: usize,
        /// Figures.
        pub figures: Figures,
        /// Cost at the latency target; `None` if no number of replicas met it.
        pub target_cost: Option<TargetCost>,
    }

    /// Whether a goal is met.
    pub struct Verdict {
        /// Workload.
        pub workload: WorkloadName,
        /// Faults.
        pub faults: FaultKind,
        /// The goal.
        pub goal: String,
        /// Whether it is met.
        pub is_met: bool,
        /// What was measured.
        pub measured: String,
    }

    /// The whole measurement.
    pub struct Table {
        /// Seed.
        pub seed: u64,
        /// Rows.
        pub rows: Vec<Row>,
        /// Verdicts on the goals.
        pub verdicts: Vec<Verdict>,
    }
}

impl Table {
    /// Builds a table and judges its rows.
    pub fn new(seed: u64, rows: Vec<Row>) -> Self {
        let mut verdicts = Vec::new();
        for own in rows.iter().filter(|row| row.policy == CoreRouter::NAME) {
            let is_other = |row: &&Row| {
                row.workload == own.workload && row.faults == own.faults && !row.is_own()
            };
            let others: Vec<&Row> = rows.iter().filter(is_other).collect();
            judge(own, &others, &mut verdicts);
        }
        Self {
            seed,
            rows,
            verdicts,
        }
    }
}

impl Row {
    fn is_own(&self) -> bool {
        self.policy == CoreRouter::NAME
    }

    fn is_bound(&self) -> bool {
        self.policy == Bound::NAME
    }
}

fn judge(own: &Row, others: &[&Row], verdicts: &mut Vec<Verdict>) {
    let mut add = |goal: &str, is_met: bool, measured: String| {
        verdicts.push(Verdict {
            workload: own.workload,
            faults: own.faults,
            goal: goal.to_owned(),
            is_met,
            measured,
        });
    };
    let figures = &own.figures;
    let broken = figures.lost + figures.damaged;
    add("nothing lost", broken == 0, format!("{broken}"));
    add(
        "nothing twice",
        figures.twice == 0,
        format!("{}", figures.twice),
    );
    let between = figures.between_tokens.as_secs_f64() * 1e3;
    let first = figures.first_token.as_secs_f64() * 1e3;
    let is_fast = figures.first_token <= crate::FIRST_TOKEN_TARGET
        && figures.between_tokens <= crate::BETWEEN_TOKENS_TARGET;
    add(
        "p95 at most 1 s and 51 ms",
        is_fast,
        format!("{first:.0} ms, {between:.1} ms"),
    );
    let baselines: Vec<&&Row> = others.iter().filter(|row| !row.is_bound()).collect();
    let best = baselines
        .iter()
        .map(|row| row.figures.recomputed.get())
        .min();
    if let Some(best) = best {
        let ours = figures.recomputed.get();
        let goal = "recomputed at most half of the best baseline";
        add(goal, ours * 2 <= best, format!("{ours} against {best} tok"));
        add_cost(own, &baselines, &mut add);
    }
    let bound = others.iter().find(|row| row.is_bound());
    if let Some(bound) = bound.filter(|_| own.faults == FaultKind::None) {
        let ours = figures.prefilled.get();
        let least = bound.figures.prefilled.get();
        let goal = "processed prompt tokens within 1.3 of the bound";
        add(
            goal,
            ours * 10 <= least * 13,
            format!("{ours} against {least} tok"),
        );
    }
}

fn add_cost(own: &Row, baselines: &[&&Row], add: &mut impl FnMut(&str, bool, String)) {
    let cost = |row: &Row| row.target_cost.as_ref().map(|cost| cost.hourly);
    let best = baselines
        .iter()
        .filter_map(|row| cost(row))
        .min_by(f64::total_cmp);
    let ours = cost(own);
    let is_met = match (ours, best) {
        (Some(ours), Some(best)) => ours < best,
        (Some(_), None) => true,
        (None, _) => false,
    };
    let text = |cost: Option<f64>| cost.map_or("none".to_owned(), |cost| format!("{cost:.2}"));
    let measured = format!("{} against {} u/h", text(ours), text(best));
    add(
        "cost at the latency target below every baseline",
        is_met,
        measured,
    );
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}", self.seed)?;
        let mut title = None;
        for row in &self.rows {
            if title != Some((row.workload, row.faults)) {
                title = Some((row.workload, row.faults));
                write_title(f, row)?;
            }
            writeln!(f, "{row}")?;
        }
        writeln!(f)?;
        for verdict in &self.verdicts {
            writeln!(f, "{verdict}")?;
        }
        Ok(())
    }
}

fn write_title(f: &mut fmt::Formatter<'_>, row: &Row) -> fmt::Result {
    writeln!(
        f,
        "\n{}, faults: {}, {} replicas, {} requests to models in {} s",
        row.workload,
        row.faults,
        row.replicas,
        row.figures.requests,
        row.figures.time.as_secs()
    )?;
    writeln!(
        f,
        "{:<14} {:>8} {:>9} {:>10} {:>6} {:>6} {:>9} {:>10} {:>5} {:>6} {:>8} {:>6}  refused",
        "policy",
        "needed",
        "u/1000",
        "recomp.",
        "share",
        "hits",
        "first p95",
        "between",
        "lost",
        "twice",
        "unknown",
        "kv/s"
    )
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let figures = &self.figures;
        let cost = self.target_cost.as_ref();
        let needed = cost.map_or("-".to_owned(), |cost| cost.replicas.to_string());
        let price = cost.map_or("-".to_owned(), |cost| format!("{:.4}", cost.per_thousand));
        write!(
            f,
            "{:<14} {:>8} {:>9} {:>10} {:>5.1}% {:>5.1}% {:>6.0} ms {:>7.1} ms {:>5} {:>6} {:>8} {:>6.1}  {}",
            self.policy,
            needed,
            price,
            figures.recomputed.get(),
            figures.recomputed_permille() as f64 / 10.0,
            figures.hit_permille() as f64 / 10.0,
            figures.first_token.as_secs_f64() * 1e3,
            figures.between_tokens.as_secs_f64() * 1e3,
            figures.lost + figures.damaged,
            figures.twice,
            figures.unknown,
            figures.store_calls_milli as f64 / 1e3,
            refused_text(figures),
        )
    }
}

fn refused_text(figures: &Figures) -> String {
    let counts = figures.refused.iter();
    let mut texts: Vec<String> = counts
        .map(|refused| format!("{}:{}", refused.kind.name(), refused.count))
        .collect();
    if figures.unserved > 0 {
        texts.push(format!("never-accepted:{}", figures.unserved));
    }
    if texts.is_empty() {
        "-".to_owned()
    } else {
        texts.join(" ")
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.is_met { "met" } else { "MISSED" };
        write!(
            f,
            "{:<10} {:<9} {:<6} {}: {}",
            self.workload, self.faults, verdict, self.goal, self.measured
        )
    }
}
