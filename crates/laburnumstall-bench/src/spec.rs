//! What is measured, and the measurement itself.

use std::fmt;
use std::num::NonZeroUsize;
use std::str::FromStr;
use std::sync::Mutex;
use std::time::Duration;

use laburnumstall_core::domain_value;
use laburnumstall_core::ids::ParseIdError;

use crate::faults::FaultKind;
use crate::figures::RunSpec;
use crate::policy::{Bound, CoreRouter, LeastLoaded, Policy, PowerOfTwo, RoundRobin};
use crate::search::{run, search};
use crate::table::{Row, Table};
use crate::workload::WorkloadName;

/// Factor on contracts: the users' own.
pub const DEFAULT_CONTRACTS: u64 = 1;

/// Most runs at once.
const MOST_THREADS: usize = 4;

domain_value! {
    /// A way to choose engines.
    #[serde(rename_all = "kebab-case")]
    pub enum PolicyName {
        /// The core's router.
        Laburnumstall,
        /// Each entry takes the engines in turn.
        RoundRobin,
        /// The engine with the fewest sequences by its last report.
        LeastLoaded,
        /// The less loaded one of two engines taken by chance.
        PowerOfTwo,
        /// Present loads are known, and every computed prefix is cached everywhere.
        Bound,
    }
}

impl PolicyName {
    /// All policies, in the order of tables.
    pub const ALL: [Self; 5] = [
        Self::Laburnumstall,
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::PowerOfTwo,
        Self::Bound,
    ];

    /// Returns the name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Laburnumstall => CoreRouter::NAME,
            Self::RoundRobin => RoundRobin::NAME,
            Self::LeastLoaded => LeastLoaded::NAME,
            Self::PowerOfTwo => PowerOfTwo::NAME,
            Self::Bound => Bound::NAME,
        }
    }
}

impl fmt::Display for PolicyName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

impl FromStr for PolicyName {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let name = Self::ALL.into_iter().find(|name| name.name() == s);
        let expected = "laburnumstall, round-robin, least-loaded, power-of-two or bound";
        name.ok_or_else(|| ParseIdError::new("PolicyName", s, expected))
    }
}

/// What is measured.
#[derive(Debug, Clone)]
pub struct BenchSpec {
    /// Workloads.
    pub workloads: Vec<WorkloadName>,
    /// Policies.
    pub policies: Vec<PolicyName>,
    /// Kinds of faults.
    pub faults: Vec<FaultKind>,
    /// Seed of all chance.
    pub seed: u64,
    /// Factor on the rates of the text's contracts.
    pub contracts: u64,
    /// Time with requests before measurement.
    pub warm_up: Duration,
    /// Time with requests that are measured.
    pub time: Duration,
    /// Whether the fewest replicas are searched for.
    pub searches_cost: bool,
}

impl Default for BenchSpec {
    fn default() -> Self {
        Self {
            workloads: WorkloadName::ALL.to_vec(),
            policies: PolicyName::ALL.to_vec(),
            faults: FaultKind::ALL.to_vec(),
            seed: 1,
            contracts: DEFAULT_CONTRACTS,
            warm_up: Duration::from_secs(20),
            time: Duration::from_secs(30),
            searches_cost: true,
        }
    }
}

impl BenchSpec {
    /// Returns the rows to measure; the bound has no faults.
    fn rows(&self) -> Vec<(RunSpec, PolicyName)> {
        let mut rows = Vec::new();
        for workload in &self.workloads {
            for faults in &self.faults {
                for policy in &self.policies {
                    let is_bound = *policy == PolicyName::Bound;
                    if is_bound && *faults != FaultKind::None {
                        continue;
                    }
                    rows.push((self.run_spec(*workload, *faults), *policy));
                }
            }
        }
        rows
    }

    fn run_spec(&self, workload: WorkloadName, faults: FaultKind) -> RunSpec {
        RunSpec {
            workload,
            faults,
            seed: self.seed,
            contracts: self.contracts,
            replicas: workload.replicas(),
            warm_up: self.warm_up,
            time: self.time,
        }
    }
}

/// Measures every row, several at once; their order does not depend on which ends first.
pub fn measure(spec: &BenchSpec) -> Table {
    let wanted = spec.rows();
    let next = Mutex::new(0..wanted.len());
    let done = Mutex::new(Vec::new());
    let cores = std::thread::available_parallelism().map_or(1, NonZeroUsize::get);
    std::thread::scope(|scope| {
        for _ in 0..cores.min(MOST_THREADS) {
            scope.spawn(|| {
                while let Some(index) = take_next(&next) {
                    let (run_spec, policy) = &wanted[index];
                    let row = measure_row(run_spec, *policy, spec.searches_cost);
                    if let Ok(mut done) = done.lock() {
                        done.push((index, row));
                    }
                }
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_default();
    done.sort_by_key(|(index, _)| *index);
    let rows = done.into_iter().map(|(_, row)| row).collect();
    Table::new(spec.seed, rows)
}

fn take_next(next: &Mutex<std::ops::Range<usize>>) -> Option<usize> {
    next.lock().ok()?.next()
}

fn measure_row(spec: &RunSpec, policy: PolicyName, searches_cost: bool) -> Row {
    match policy {
        PolicyName::Laburnumstall => row::<CoreRouter>(spec, searches_cost),
        PolicyName::RoundRobin => row::<RoundRobin>(spec, searches_cost),
        PolicyName::LeastLoaded => row::<LeastLoaded>(spec, searches_cost),
        PolicyName::PowerOfTwo => row::<PowerOfTwo>(spec, searches_cost),
        PolicyName::Bound => row::<Bound>(spec, searches_cost),
    }
}

fn row<P: Policy>(spec: &RunSpec, searches_cost: bool) -> Row {
    let figures = run::<P>(spec);
    let target_cost = match searches_cost {
        true => search::<P>(spec, &figures),
        false => None,
    };
    Row {
        workload: spec.workload,
        faults: spec.faults,
        policy: P::NAME.to_owned(),
        replicas: spec.replicas,
        figures,
        target_cost,
    }
}
