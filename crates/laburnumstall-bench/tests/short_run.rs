//! A short seeded measurement: the table's shape, and the promises under each fault.

use std::time::Duration;

use laburnumstall_bench::{
    BenchSpec, CoreRouter, DEFAULT_CONTRACTS, FaultKind, PolicyName, RunSpec, WorkloadName,
    measure, run,
};

const SEED: u64 = 7;

/// Replaces every run of digits by `#` and every run of blanks by one.
fn shape(text: &str) -> String {
    let is_figure = |word: &str| {
        word.chars()
            .all(|c| c.is_ascii_digit() || ".%-".contains(c))
    };
    let line_shape = |line: &str| {
        let words = line.split_whitespace();
        let words = words.map(|word| if is_figure(word) { "#" } else { word });
        words.collect::<Vec<&str>>().join(" ")
    };
    text.lines().map(line_shape).collect::<Vec<_>>().join("\n")
}

/// Fails if a column, a row or a goal is left out.
#[test]
fn shape_of_the_table() {
    let spec = BenchSpec {
        workloads: vec![WorkloadName::Kuusiviulu],
        policies: PolicyName::ALL.to_vec(),
        faults: vec![FaultKind::None],
        seed: SEED,
        contracts: DEFAULT_CONTRACTS,
        warm_up: Duration::from_secs(1),
        time: Duration::from_secs(3),
        searches_cost: false,
    };
    let rows = measure(&spec).to_string();
    let titles = rows.lines().take(4);
    let policies = rows.lines().skip(4).take(PolicyName::ALL.len());
    let policies = policies.filter_map(|line| line.split_whitespace().next());
    let goals = rows.lines().skip(5 + PolicyName::ALL.len());
    let goals = goals.filter_map(|line| line.split_once("met ").or(line.split_once("MISSED ")));
    let goals = goals.filter_map(|(_, goal)| goal.split(':').next());
    let lines: Vec<&str> = titles.chain(policies).chain(goals).collect();
    insta::assert_snapshot!(shape(&lines.join("\n")));
}

/// Fails if the same seed gives other figures.
#[test]
fn same_seed_same_figures() {
    let figures = || run::<CoreRouter>(&short_spec(WorkloadName::Caroni, FaultKind::ZoneLoss));
    assert_eq!(figures(), figures());
}

/// Nothing is lost or damaged and nothing runs twice, whatever is announced to be taken.
///
/// Fails without `generated_tokens: tokens_of(&before)` in the core's `start`: moved
/// streams then begin anew in the middle of an answer.
#[test]
fn promises_under_faults() {
    for workload in WorkloadName::ALL {
        for faults in FaultKind::ALL {
            let figures = run::<CoreRouter>(&short_spec(workload, faults));
            assert!(figures.requests > 100, "{workload} {faults}");
            assert_eq!(figures.lost, 0, "lost: {workload} {faults}");
            assert_eq!(figures.damaged, 0, "damaged: {workload} {faults}");
            assert_eq!(figures.twice, 0, "twice: {workload} {faults}");
        }
    }
}

fn short_spec(workload: WorkloadName, faults: FaultKind) -> RunSpec {
    RunSpec {
        workload,
        faults,
        seed: SEED,
        replicas: workload.replicas(),
        contracts: DEFAULT_CONTRACTS,
        warm_up: Duration::from_secs(2),
        time: Duration::from_secs(14),
    }
}
