//! The plan of a region: its VMs and what each of them loads.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use compact_str::{CompactString, format_compact};

use crate::cloud::{ClientToken, LoadOrder, OwnedVm};
use crate::decision::{Decision, DecisionKind, Journal};
use crate::ids::{AvailabilityZone, Region, Revision, ServiceName, VmClass, VmId};
use crate::resources::{Market, System};
use crate::units::{HourlyPrice, Timestamp};
use crate::{domain, domain_value, quantity};

quantity! {
    /// Revision of a region's plan; increases with every new plan.
    PlanRevision, "";
}

domain! {
    /// A VM class in one market and zone: the unit by which the cloud refuses capacity.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Offer {
        /// Class of the VM.
        pub class: VmClass,
        /// Market in which the VM is purchased.
        pub market: Market,
        /// Zone of the VM.
        pub zone: AvailabilityZone,
    }

    /// One VM of a plan.
    pub struct PlanSlot {
        /// Idempotency token of the cloud request for this VM.
        pub token: ClientToken,
        /// Offer to request from the cloud.
        pub offer: Offer,
        /// Pool that the VM serves, named after the first service of the pool.
        pub pool: ServiceName,
        /// Everything that the endpoint on the VM should load.
        pub loads: Vec<LoadOrder>,
        /// VM that fills the slot; `None` while the slot is open.
        pub vm: Option<VmId>,
    }

    /// A pool whose target the plan cannot serve in full.
    pub struct Shortfall {
        /// First service of the pool.
        pub pool: ServiceName,
        /// Share of the target that all zones together serve, in thousandths.
        pub carried_permille: u32,
        /// Share of the target that is served after the loss of any one zone, in
        /// thousandths.
        pub carried_after_loss_permille: u32,
    }

    /// An alternative that the planner considered, with its price.
    pub struct Alternative {
        /// Short name, such as `on-demand-only`.
        pub name: CompactString,
        /// List price of all VMs; `None` if the alternative cannot serve the target.
        pub hourly: Option<HourlyPrice>,
    }

    /// The target state of a region.
    pub struct Plan {
        /// Revision of the plan.
        pub revision: PlanRevision,
        /// Revision of the configuration that the plan is based on.
        pub configuration: Revision,
        /// Region that the plan is for.
        pub region: Region,
        /// One slot for each VM.
        pub slots: Vec<PlanSlot>,
        /// List price of all VMs.
        pub hourly: HourlyPrice,
        /// Pools whose target is not served in full.
        pub shortfalls: Vec<Shortfall>,
        /// Alternatives that were considered.
        pub alternatives: Vec<Alternative>,
    }
}

domain_value! {
    /// Markets whose offers the solver may use, to price alternatives.
    #[serde(rename_all = "kebab-case")]
    pub enum MarketFilter {
        /// Both markets.
        All,
        /// The on-demand market only.
        OnDemandOnly,
        /// The reclaimable market only.
        ReclaimableOnly,
    }
}

/// Inputs of the planner.
#[derive(Debug, Clone)]
pub struct PlanInput<'a> {
    /// The configured system.
    pub system: &'a System,
    /// Revision of the configuration.
    pub configuration: Revision,
    /// Region to plan for.
    pub region: &'a Region,
    /// Share of the services' targets that this region serves, in thousandths.
    pub share_permille: u32,
    /// VMs that currently exist.
    pub fleet: &'a [OwnedVm],
    /// One service that the endpoint on each VM has loaded, where known.
    pub serving: &'a BTreeMap<VmId, ServiceName>,
    /// Plan in force.
    pub previous: Option<&'a Plan>,
    /// Offers that the cloud refused recently.
    pub refused: &'a BTreeSet<Offer>,
    /// Tokens for which the cloud has already granted a VM.
    pub used_tokens: &'a BTreeSet<ClientToken>,
}

impl Plan {
    /// Returns a plan without VMs, for use before the first plan.
    pub(super) fn empty(region: Region) -> Self {
        Self {
            revision: PlanRevision(0),
            configuration: Revision(0),
            region,
            slots: Vec::new(),
            hourly: HourlyPrice(0),
            shortfalls: Vec::new(),
            alternatives: Vec::new(),
        }
    }

    /// Returns whether another plan has different slots or shortfalls.
    pub fn differs_from(&self, other: &Self) -> bool {
        self.slots != other.slots || self.shortfalls != other.shortfalls
    }

    /// Records the plan with its price, alternatives and shortfalls.
    pub fn record(&self, now: Timestamp, journal: &mut Journal) {
        let open = self.slots.iter().filter(|slot| slot.vm.is_none()).count();
        let reason = match self.shortfalls.is_empty() {
            true => "least-cost-after-zone-loss",
            false => "not-enough-offered",
        };
        let mut decision = Decision::new(now, DecisionKind::Placement, "plan", reason)
            .with("region", &self.region)
            .with("revision", self.revision)
            .with("configuration", self.configuration)
            .with("vms", self.slots.len())
            .with("open", open)
            .with("hourly", self.hourly);
        for alternative in &self.alternatives {
            let price = match alternative.hourly {
                Some(hourly) => format_compact!("{}:{hourly}", alternative.name),
                None => format_compact!("{}:impossible", alternative.name),
            };
            decision = decision.with("alternative", price);
        }
        for shortfall in &self.shortfalls {
            decision = decision
                .with("short_pool", &shortfall.pool)
                .with("carried_permille", shortfall.carried_permille)
                .with("after_loss_permille", shortfall.carried_after_loss_permille);
        }
        journal.record(decision);
    }
}

impl fmt::Display for Offer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let market = match self.market {
            Market::Reclaimable => "reclaimable",
            Market::OnDemand => "on-demand",
        };
        write!(f, "{}/{}/{}", self.class, market, self.zone)
    }
}
