//! The loss of the entry that places machines, and of bought VMs.

use std::time::Duration;

use compact_str::format_compact;
use laburnumstall_core::ids::VmId;
use laburnumstall_core::units::RequestRate;
use laburnumstall_site::{BoughtVm, Site, SiteSpec};

use super::faults::Fault;
use super::report::field;

/// Requests a second that engines are bought for.
const TARGET: RequestRate = RequestRate(60);

/// Notice before the VMs are taken.
const NOTICE: Duration = Duration::from_secs(5);

/// Longest wait for the replacements.
const PATIENCE: Duration = Duration::from_secs(90);

/// Time between two looks at the replacements.
const LOOK: Duration = Duration::from_millis(100);

/// Turns a site into one whose engines are all bought.
pub(super) fn bought(spec: SiteSpec) -> SiteSpec {
    SiteSpec {
        engines: 0,
        target: Some(TARGET),
        ..spec
    }
}

/// Ends the lease holder at once, takes a zone's bought VMs and waits for others.
pub(super) async fn lose_holder_and_vms(site: &mut Site) -> Fault {
    wait_settled(site).await;
    let mut fault = Fault::begin();
    let before = loaded(site).len();
    if let Some(index) = site.placement_holder() {
        let vm = site.entries[index].vm.clone();
        site.kill_entry(index).await;
        fault.note(format_compact!(
            "{vm}, which placed machines, ended without notice"
        ));
    }
    let lost = vms_of_one_zone(site);
    site.announce(&lost, NOTICE);
    tokio::time::sleep(NOTICE).await;
    site.take_vms(&lost).await;
    let names: Vec<&str> = lost.iter().map(|vm| vm.as_str()).collect();
    fault.note(format_compact!("taken: {}", names.join(", ")));
    wait_settled(site).await;
    judge(site, &mut fault, before);
    fault
}

/// Returns the engines that are there and have loaded something.
fn loaded(site: &Site) -> Vec<BoughtVm> {
    let mut there = site.bought.there();
    there.retain(|known| !known.orders.is_empty());
    there
}

/// Returns the number of VMs of the last plan.
fn planned(site: &Site) -> Option<usize> {
    let lines = site.lines.read();
    let mut plans = lines.iter().rev();
    let plan = plans.find(|line| line.contains("event=placement choice=plan"))?;
    field(plan, "vms")?.parse().ok()
}

fn vms_of_one_zone(site: &Site) -> Vec<VmId> {
    let bought = loaded(site);
    let zone = bought.first().map(|known| known.zone.clone());
    let of_zone = bought
        .into_iter()
        .filter(|known| Some(&known.zone) == zone.as_ref());
    of_zone.map(|known| known.vm).collect()
}

/// Waits until an entry places machines and every planned VM has loaded something.
async fn wait_settled(site: &Site) {
    let mut waited = Duration::ZERO;
    while !is_settled(site) && waited < PATIENCE {
        tokio::time::sleep(LOOK).await;
        waited += LOOK;
    }
}

fn is_settled(site: &Site) -> bool {
    let is_whole = planned(site).is_some_and(|planned| loaded(site).len() >= planned);
    site.placement_holder().is_some() && is_whole
}

fn judge(site: &Site, fault: &mut Fault, before: usize) {
    let after = loaded(site).len();
    let planned = planned(site).unwrap_or(0);
    let seconds = fault.at.elapsed().as_secs_f64();
    fault.note(format_compact!(
        "{before} engines before, {after} of {planned} planned {seconds:.1} s after the fault"
    ));
    if after < planned.max(before) {
        fault.break_promise(
            "a taken VM is replaced",
            format_compact!("{after} are there"),
        );
    }
    let there = site.bought.there().len();
    if there > planned {
        let surplus = there - planned;
        fault.break_promise("no VM is paid twice", format_compact!("{surplus} too many"));
    }
}
