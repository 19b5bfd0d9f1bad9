//! The plan: which VMs there should be, and what each should have loaded.

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
    /// Revision of a region's plan; only grows.
    PlanRevision, "";
}

domain! {
    /// What the cloud can refuse apart from the rest.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Offer {
        /// Machine class.
        pub class: VmClass,
        /// How it is paid for.
        pub market: Market,
        /// Zone.
        pub zone: AvailabilityZone,
    }

    /// One VM that there should be.
    pub struct PlanSlot {
        /// Token by which the cloud recognises a repeated request for this VM.
        pub token: ClientToken,
        /// What is bought.
        pub offer: Offer,
        /// Pool that it serves: the first service of the pool.
        pub pool: ServiceName,
        /// Everything that its endpoint should have loaded.
        pub loads: Vec<LoadOrder>,
        /// VM that fills the slot, if one does.
        pub vm: Option<VmId>,
    }

    /// A pool for which the plan cannot provide everything.
    pub struct Shortfall {
        /// First service of the pool.
        pub pool: ServiceName,
        /// Share of the target that is provided with all zones, in thousandths.
        pub carried_permille: u32,
        /// Share of the target that is still provided after the loss of any one zone.
        pub carried_after_loss_permille: u32,
    }

    /// A way that was weighed, with its price.
    pub struct Alternative {
        /// Short name.
        pub name: CompactString,
        /// List price of all its VMs; `None` if it cannot provide the target.
        pub hourly: Option<HourlyPrice>,
    }

    /// What a region should consist of.
    pub struct Plan {
        /// Revision of the plan.
        pub revision: PlanRevision,
        /// Revision of the configuration that it follows.
        pub configuration: Revision,
        /// Region that it is for.
        pub region: Region,
        /// The VMs.
        pub slots: Vec<PlanSlot>,
        /// List price of all VMs.
        pub hourly: HourlyPrice,
        /// What cannot be provided.
        pub shortfalls: Vec<Shortfall>,
        /// What else was weighed.
        pub alternatives: Vec<Alternative>,
    }
}

domain_value! {
    /// Which offers the solver may use, for comparison.
    #[serde(rename_all = "kebab-case")]
    pub enum MarketFilter {
        /// All that there are.
        All,
        /// On demand alone.
        OnDemandOnly,
        /// Reclaimable alone.
        ReclaimableOnly,
    }
}

/// Everything that a plan depends on.
#[derive(Debug, Clone)]
pub struct PlanInput<'a> {
    /// What the operators' text says.
    pub system: &'a System,
    /// Revision of that text.
    pub configuration: Revision,
    /// Region to plan for.
    pub region: &'a Region,
    /// Share of the services' targets that falls to the region, in thousandths.
    pub share_permille: u32,
    /// VMs that there are now.
    pub fleet: &'a [OwnedVm],
    /// One service that the endpoint on a VM has loaded, where one is known.
    pub serving: &'a BTreeMap<VmId, ServiceName>,
    /// Plan in force.
    pub previous: Option<&'a Plan>,
    /// Offers that the cloud refused lately.
    pub refused: &'a BTreeSet<Offer>,
    /// Tokens under which the cloud already granted a VM.
    pub used_tokens: &'a BTreeSet<ClientToken>,
}

impl Plan {
    /// Returns a plan without VMs, before the first one.
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

    /// Tells whether another plan wants anything else than this one.
    pub fn differs(&self, other: &Self) -> bool {
        self.slots != other.slots || self.shortfalls != other.shortfalls
    }

    /// Records the plan with its price, the alternatives weighed and what falls short.
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
