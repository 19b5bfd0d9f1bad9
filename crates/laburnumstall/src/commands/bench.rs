//! `bench`: measures cost at the latency target and recomputed tokens in virtual time.

use std::str::FromStr;

use laburnumstall_bench::{BenchSpec, FaultKind, PolicyName, WorkloadName, measure};

use crate::cli::BenchOptions;
use crate::context::Context;
use crate::error::{BadArgumentSnafu, CommandError};

/// Name that stands for every one.
const ALL: &str = "all";

/// Runs the command.
///
/// # Errors
///
/// Returns [`CommandError`] if an argument is wrong or the result cannot be written.
pub async fn run(cx: &Context<'_>, options: BenchOptions) -> Result<(), CommandError> {
    let spec = BenchSpec {
        workloads: choose(
            &options.workload,
            &WorkloadName::ALL,
            "caroni, kuusiviulu or all",
        )?,
        policies: choose(
            &options.policy,
            &PolicyName::ALL,
            "laburnumstall, round-robin, least-loaded, power-of-two, bound or all",
        )?,
        faults: choose(
            &options.faults,
            &FaultKind::ALL,
            "none, waves, zone-loss or all",
        )?,
        seed: options.seed,
        contracts: options.contracts.max(1),
        searches_cost: !options.no_cost,
        ..BenchSpec::default()
    };
    cx.status("Measuring", format_args!("with seed {}", spec.seed));
    cx.present(&measure(&spec))
}

/// Returns the one that is named, or all.
fn choose<T: FromStr + Copy>(
    text: &str,
    all: &[T],
    expected: &'static str,
) -> Result<Vec<T>, CommandError> {
    if text == ALL {
        return Ok(all.to_vec());
    }
    match text.parse() {
        Ok(one) => Ok(vec![one]),
        Err(_) => BadArgumentSnafu {
            argument: text,
            expected,
        }
        .fail(),
    }
}
