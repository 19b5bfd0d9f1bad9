//! `plan FILE`: what placement would buy for a text, and why, without doing it.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use laburnumstall_core::domain;
use laburnumstall_core::ids::{Region, Revision};
use laburnumstall_core::placement::{Plan, PlanInput, PlanSlot, plan};
use laburnumstall_core::resources::System;

use super::read_text;
use crate::cli::PlanOptions;
use crate::context::Context;
use crate::error::CommandError;
use crate::grid::Grid;

/// The whole of a target, in thousandths.
const WHOLE: u32 = 1_000;

domain! {
    /// The plans of all regions of a text, for an empty fleet.
    pub struct PlanResult {
        /// One plan for each region.
        pub plans: Vec<Plan>,
    }
}

impl fmt::Display for PlanResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, plan) in self.plans.iter().enumerate() {
            if number > 0 {
                f.write_str("\n\n")?;
            }
            write_plan(f, plan)?;
        }
        Ok(())
    }
}

fn write_plan(f: &mut fmt::Formatter<'_>, plan: &Plan) -> fmt::Result {
    let count = plan.slots.len();
    writeln!(
        f,
        "region {}: {count} VMs at {}\n",
        plan.region, plan.hourly
    )?;
    let mut grid = Grid::new(&["VMS", "OFFER", "POOL", "LOADS"]);
    for (what, count) in counted(&plan.slots) {
        let [offer, pool, loads] = what;
        grid.row(vec![count.to_string(), offer, pool, loads]);
    }
    write!(f, "{grid}\n\nweighed:")?;
    for way in &plan.alternatives {
        match &way.hourly {
            Some(hourly) => write!(f, "\n  {} at {hourly}", way.name)?,
            None => write!(f, "\n  {} does not reach the targets", way.name)?,
        }
    }
    match plan.shortfalls.is_empty() {
        true => write!(
            f,
            "\nreason: least cost that holds after the loss of any one zone"
        ),
        false => write_shortfalls(f, plan),
    }
}

fn write_shortfalls(f: &mut fmt::Formatter<'_>, plan: &Plan) -> fmt::Result {
    for short in &plan.shortfalls {
        write!(
            f,
            "\n{} falls short: {} thousandths of its target, {} after the loss of a zone",
            short.pool, short.carried_permille, short.carried_after_loss_permille
        )?;
    }
    Ok(())
}

/// Counts the slots that differ in nothing but their token.
fn counted(slots: &[PlanSlot]) -> BTreeMap<[String; 3], usize> {
    let mut counts = BTreeMap::new();
    for slot in slots {
        let loads: Vec<&str> = slot
            .loads
            .iter()
            .map(|load| load.service.as_str())
            .collect();
        let offer = slot.offer.to_string();
        let what = [offer, slot.pool.to_string(), loads.join(",")];
        *counts.entry(what).or_default() += 1;
    }
    counts
}

/// Runs the command.
///
/// # Errors
///
/// Returns [`CommandError`] if the text cannot be read or has faults.
pub async fn run(cx: &Context<'_>, options: PlanOptions) -> Result<(), CommandError> {
    cx.status("Planning", options.file.display());
    let system = read_text(&options.file)?.system;
    let regions: BTreeSet<&Region> = system.zones.iter().map(|zone| &zone.region).collect();
    let share = WHOLE / u32::try_from(regions.len().max(1)).unwrap_or(WHOLE);
    let plans = regions.into_iter();
    let plans = plans.map(|region| plan_region(&system, region, share));
    cx.present(&PlanResult {
        plans: plans.collect(),
    })
}

fn plan_region(system: &System, region: &Region, share_permille: u32) -> Plan {
    plan(&PlanInput {
        system,
        configuration: Revision(0),
        region,
        share_permille,
        fleet: &[],
        serving: &BTreeMap::new(),
        previous: None,
        refused: &BTreeSet::new(),
        used_tokens: &BTreeSet::new(),
    })
}
