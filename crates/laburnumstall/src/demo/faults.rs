//! How each fault is provoked.

use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use laburnumstall_site::{Site, SiteError};
use laburnumstalld::control::ExitReason;

use super::report::BrokenPromise;
use super::scenario::Scenario;
use super::{operators, poison, replacement};

/// Notice before a zone is taken.
const ZONE_NOTICE: Duration = Duration::from_secs(5);

/// Time that the key-value service is down.
const OUTAGE: Duration = Duration::from_secs(3);

/// Entry that is lost or stopped.
const VICTIM: usize = 1;

/// What was done to the site.
pub(super) struct Fault {
    /// When it began.
    pub(super) at: Instant,
    /// Whether no request in progress may be cut.
    pub(super) cuts_nothing: bool,
    /// What was seen.
    pub(super) notes: Vec<CompactString>,
    /// Promises that were not kept, beside those to the callers of the load.
    pub(super) broken: Vec<BrokenPromise>,
}

impl Fault {
    pub(super) fn begin() -> Self {
        Self {
            at: Instant::now(),
            cuts_nothing: false,
            notes: Vec::new(),
            broken: Vec::new(),
        }
    }

    pub(super) fn note(&mut self, text: impl Into<CompactString>) {
        self.notes.push(text.into());
    }

    pub(super) fn break_promise(&mut self, promise: &str, seen: impl Into<CompactString>) {
        self.broken.push(BrokenPromise {
            promise: promise.into(),
            seen: seen.into(),
        });
    }
}

/// Provokes a fault and returns when it is over.
pub(super) async fn provoke(scenario: Scenario, site: &mut Site) -> Result<Fault, SiteError> {
    match scenario {
        Scenario::ZoneLoss => Ok(take_zone(site).await),
        Scenario::ConfigRace => operators::race(site).await,
        Scenario::Poison => Ok(poison::send_again(site).await),
        Scenario::StoreOutage => stop_store(site).await,
        Scenario::SilentConnection => Ok(silence_connections(site)),
        Scenario::EntryLoss => Ok(lose_entry(site).await),
        Scenario::PlannedStop => Ok(stop_entry(site).await),
        Scenario::Replacement => Ok(replacement::lose_holder_and_vms(site).await),
    }
}

async fn take_zone(site: &mut Site) -> Fault {
    let mut fault = Fault::begin();
    let zone = site.entries[VICTIM].zone.clone();
    let vms = site.vms_in(&zone);
    site.announce(&vms, ZONE_NOTICE);
    tokio::time::sleep(ZONE_NOTICE).await;
    site.take_vms(&vms).await;
    let names: Vec<&str> = vms.iter().map(|vm| vm.as_str()).collect();
    fault.note(format_compact!("{zone} was taken: {}", names.join(", ")));
    fault
}

async fn stop_store(site: &mut Site) -> Result<Fault, SiteError> {
    let mut fault = Fault::begin();
    site.store.crash();
    tokio::time::sleep(OUTAGE).await;
    site.resume_store()?;
    fault.note(format_compact!(
        "the key-value service was down for {} s",
        OUTAGE.as_secs()
    ));
    Ok(fault)
}

fn silence_connections(site: &mut Site) -> Fault {
    let mut fault = Fault::begin();
    for slot in &site.engines {
        slot.engine.gate().silence_existing();
    }
    site.orders.gate().silence_existing();
    site.stock.gate().silence_existing();
    site.store.gate().silence_existing();
    fault.note("all open connections to endpoints and the key-value service went silent");
    fault
}

async fn lose_entry(site: &mut Site) -> Fault {
    let mut fault = Fault::begin();
    let vm = site.entries[VICTIM].vm.clone();
    site.kill_entry(VICTIM).await;
    fault.note(format_compact!("{vm} ended without notice"));
    fault
}

async fn stop_entry(site: &mut Site) -> Fault {
    let mut fault = Fault::begin();
    fault.cuts_nothing = true;
    let vm = site.entries[VICTIM].vm.clone();
    let Some(daemon) = site.entries[VICTIM].daemon.take() else {
        return fault;
    };
    daemon.stop(None);
    let end = daemon.close().await;
    let seconds = fault.at.elapsed().as_secs_f64();
    fault.note(format_compact!(
        "{vm} ended {seconds:.1} s after it was asked to"
    ));
    if end != ExitReason::Finished {
        fault.break_promise("a planned stop finishes its work", "the entry was halted");
    }
    fault
}
