//! The parts of a running site, and the faults that can be provoked in it.

use std::net::SocketAddr;
use std::time::Duration;

use laburnumstall_config::admin::{ApplyNonce, ApplyRequest};
use laburnumstall_core::ids::{AvailabilityZone, EndpointId, Revision, VmId};
use laburnumstall_core::resources::{Market, Vm, VmRole, VmState};
use laburnumstall_core::units::Bytes;
use laburnumstall_standins::cloud::CloudStandIn;
use laburnumstall_standins::engine::{EngineSpec, EngineStandIn};
use laburnumstall_standins::key_value::KeyValueStandIn;
use laburnumstall_standins::plain::PlainStandIn;
use laburnumstalld::settings::KeyDigest;
use laburnumstalld::{Daemon, Settings};
use serde_json::Value;
use snafu::{ResultExt, ensure};
use spdlog::Level;

use crate::bought::{BoughtEngines, EngineHook};
use crate::caller::{Answer, Caller};
use crate::error::{AdminSnafu, DaemonSnafu, NotReadySnafu, SiteError, StandInSnafu};
use crate::lines::LogLines;
use crate::spec::SiteSpec;
use crate::text::{self, CUSTOMER_KEY, MODEL_SERVICE, OPERATOR_KEY};

/// Longest wait for the system to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest wait for the entries to answer.
const SERVING_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two looks at whether it is ready.
const READY_POLL: Duration = Duration::from_millis(50);

/// Largest request body of a site.
const MAX_BODY: Bytes = Bytes(4 << 20);

/// Notice that a daemon assumes when it is asked to stop.
const NOTICE: Duration = Duration::from_secs(30);

/// Most calls a second of one daemon to the key-value service.
const STORE_CALLS_PER_SECOND: u32 = 100;

/// Class of all VMs of a site.
const CLASS: &str = "accel-24";

/// An engine of a site.
pub struct EngineSlot {
    /// VM and endpoint, which have the same name.
    pub vm: VmId,
    /// Zone of the VM.
    pub zone: AvailabilityZone,
    /// The engine.
    pub engine: EngineStandIn,
}

/// An entry of a site.
pub struct EntrySlot {
    /// VM.
    pub vm: VmId,
    /// Zone of the VM.
    pub zone: AvailabilityZone,
    /// The daemon, while it runs.
    pub daemon: Option<Daemon>,
}

/// A whole system on loopback.
pub struct Site {
    spec: SiteSpec,
    /// The key-value service.
    pub store: KeyValueStandIn,
    /// The cloud API and the VM list.
    pub cloud: CloudStandIn<EngineHook>,
    /// The engines on VMs that the system bought.
    pub bought: BoughtEngines,
    /// The model engines that were there before.
    pub engines: Vec<EngineSlot>,
    /// The service whose POST calls are not idempotent.
    pub orders: PlainStandIn,
    /// The service whose calls are idempotent.
    pub stock: PlainStandIn,
    /// The entries.
    pub entries: Vec<EntrySlot>,
    /// Decision lines of all daemons.
    pub lines: LogLines,
    started_entries: usize,
}

impl Site {
    /// Starts everything, applies the text and waits until each entry is ready.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError`] if a part does not start or the system is not ready in time.
    pub async fn start(spec: SiteSpec) -> Result<Self, SiteError> {
        let mut site = Self::start_outside(spec)?;
        for _ in 0..site.spec.entries {
            site.add_entry().await?;
        }
        site.apply_first().await?;
        site.wait_ready().await?;
        Ok(site)
    }

    fn start_outside(spec: SiteSpec) -> Result<Self, SiteError> {
        let store = KeyValueStandIn::start().context(StandInSnafu { what: "the store" })?;
        let bought = BoughtEngines::default();
        let hook = bought.hook(spec.token_period);
        let cloud = CloudStandIn::start(hook).context(StandInSnafu { what: "the cloud" })?;
        let orders = PlainStandIn::start(false).context(StandInSnafu { what: "orders" })?;
        let stock = PlainStandIn::start(false).context(StandInSnafu { what: "stock" })?;
        let mut site = Self {
            spec,
            store,
            cloud,
            bought,
            engines: Vec::new(),
            orders,
            stock,
            entries: Vec::new(),
            lines: LogLines::default(),
            started_entries: 0,
        };
        for number in 0..site.spec.engines {
            site.add_engine(number)?;
        }
        Ok(site)
    }

    fn add_engine(&mut self, number: usize) -> Result<(), SiteError> {
        let vm: VmId = named(&format!("engine-{number}"));
        let id: EndpointId = named(vm.as_str());
        let mut spec = EngineSpec::new(id);
        spec.services = vec![named(MODEL_SERVICE)];
        spec.token_period = self.spec.token_period;
        let engine = EngineStandIn::start(spec).context(StandInSnafu { what: "an engine" })?;
        let zone = self.spec.zone_of(number);
        self.list_vm(&vm, &zone, VmRole::Endpoint, engine.address());
        self.engines.push(EngineSlot { vm, zone, engine });
        Ok(())
    }

    fn list_vm(&self, vm: &VmId, zone: &AvailabilityZone, role: VmRole, address: SocketAddr) {
        self.cloud.add(Vm {
            id: vm.clone(),
            zone: zone.clone(),
            class: named(CLASS),
            market: Market::Reclaimable,
            role,
            address,
            state: VmState::Live,
        });
    }

    /// Starts one more entry, in the next zone.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Daemon`] if the daemon does not start.
    pub async fn add_entry(&mut self) -> Result<usize, SiteError> {
        let number = self.started_entries;
        self.started_entries += 1;
        let vm: VmId = named(&format!("entry-{number}"));
        let zone = self.spec.zone_of(number);
        let settings = self.settings_of(&vm, &zone);
        let is_recorded = self.spec.recorded_entry == Some(number);
        let sink = self.lines.sink(&vm, is_recorded);
        let daemon = Daemon::start(settings, Daemon::identity(&vm), sink).await;
        let daemon = daemon.context(DaemonSnafu { vm: vm.to_string() })?;
        self.list_vm(&vm, &zone, VmRole::Entry, daemon.callers());
        let daemon = Some(daemon);
        self.entries.push(EntrySlot { vm, zone, daemon });
        Ok(self.entries.len() - 1)
    }

    fn settings_of(&self, vm: &VmId, zone: &AvailabilityZone) -> Settings {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            vm: vm.clone(),
            zone: zone.clone(),
            region: named(text::REGION),
            listen: any_port,
            advertise: None,
            peer_listen: any_port,
            peer_advertise: None,
            admin_listen: any_port,
            store: self.store.address(),
            cloud: Some(self.cloud.address()),
            vm_list: Some(self.cloud.address()),
            operator_keys: vec![KeyDigest::of(OPERATOR_KEY)],
            workers: self.spec.workers,
            log_level: Level::Info,
            max_body: MAX_BODY,
            directory_max_age: self.spec.directory_max_age,
            notice: NOTICE,
            store_calls_per_second: STORE_CALLS_PER_SECOND,
        }
    }

    /// Returns the operators' text of the site.
    pub fn text(&self) -> String {
        text::write(&self.spec, self.orders.address(), self.stock.address())
    }

    /// Applies a text as an operator who changed the revision `base`, through the running
    /// entry with a number.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Admin`] if the daemon does not answer.
    pub async fn apply(
        &self,
        entry: usize,
        base: Revision,
        text: String,
        operator: &str,
    ) -> Result<Answer, SiteError> {
        let request = ApplyRequest {
            base,
            text,
            reason: "demonstration".into(),
            operator: named(operator),
            nonce: new_nonce(),
        };
        let body = serde_json::to_value(&request).unwrap_or(Value::Null);
        let operators = self.operators();
        let caller = Caller::new(OPERATOR_KEY);
        let path = laburnumstall_config::admin::CONFIGURATION_PATH;
        let answer = caller.post(operators[entry], path, None, &body).await;
        answer.context(AdminSnafu)
    }

    async fn apply_first(&self) -> Result<(), SiteError> {
        let answer = self.apply(0, Revision(0), self.text(), "demo").await?;
        if answer.status != 200 {
            return NotReadySnafu {
                seconds: 0_u64,
                what: "the first configuration was not accepted",
            }
            .fail();
        }
        Ok(())
    }

    async fn wait_ready(&self) -> Result<(), SiteError> {
        let mut waited = Duration::ZERO;
        while waited < READY_TIMEOUT {
            if self.is_ready().await {
                return Ok(());
            }
            actix_rt::time::sleep(READY_POLL).await;
            waited += READY_POLL;
        }
        NotReadySnafu {
            seconds: READY_TIMEOUT.as_secs(),
            what: "an entry does not know all others and an engine",
        }
        .fail()
    }

    /// Waits until each entry answers a chat.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::NotReady`] if one does not in time.
    pub async fn wait_serving(&self) -> Result<(), SiteError> {
        let caller = Caller::new(CUSTOMER_KEY);
        let body = Caller::chat_body("ready", 1, false);
        let mut waited = Duration::ZERO;
        for address in self.addresses() {
            while !caller
                .chat(address, &body)
                .await
                .is_ok_and(|a| a.status == 200)
            {
                ensure!(
                    waited < SERVING_TIMEOUT,
                    NotReadySnafu {
                        seconds: SERVING_TIMEOUT.as_secs(),
                        what: "an entry answers no chat",
                    }
                );
                actix_rt::time::sleep(READY_POLL).await;
                waited += READY_POLL;
            }
        }
        Ok(())
    }

    /// Returns the running entry that last came to hold the placement lease.
    pub fn placement_holder(&self) -> Option<usize> {
        let lines = self.lines.read();
        let mut held = lines.iter().rev();
        let line = held.find(|line| line.contains("event=lease choice=held"))?;
        let name = line.strip_prefix("daemon=")?.split(' ').next()?;
        let is_holder = |slot: &EntrySlot| slot.vm.as_str() == name && slot.daemon.is_some();
        self.entries.iter().position(is_holder)
    }

    /// Tells whether each entry has the configuration, all members and all engines.
    pub async fn is_ready(&self) -> bool {
        let caller = Caller::new(OPERATOR_KEY);
        let live = self.operators();
        for address in &live {
            let path = laburnumstall_config::admin::STATUS_PATH;
            let Ok(answer) = caller.get(*address, path).await else {
                return false;
            };
            if !knows_all(&answer.body, live.len(), self.engines.len()) {
                return false;
            }
        }
        true
    }

    /// Returns the callers' addresses of the entries that run.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let daemons = self.entries.iter().filter_map(|slot| slot.daemon.as_ref());
        daemons.map(Daemon::callers).collect()
    }

    /// Returns the operators' addresses of the entries that run.
    pub fn operators(&self) -> Vec<SocketAddr> {
        let daemons = self.entries.iter().filter_map(|slot| slot.daemon.as_ref());
        daemons.map(Daemon::operators).collect()
    }

    /// Ends an entry at once, as a crash would.
    pub async fn kill_entry(&mut self, index: usize) {
        if let Some(daemon) = self.entries[index].daemon.take() {
            daemon.halt();
            daemon.close().await;
        }
    }

    /// Ends an outage of the key-value service.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::StandIn`] if its port was taken meanwhile.
    pub fn resume_store(&self) -> Result<(), SiteError> {
        let resumed = self.store.resume();
        resumed.context(StandInSnafu { what: "the store" })
    }

    /// Announces that a VM is taken after `notice`.
    pub fn announce(&self, vms: &[VmId], notice: Duration) {
        self.cloud.announce(vms, notice);
    }

    /// Ends the entries and engines on VMs whose time is over.
    pub async fn take_vms(&mut self, vms: &[VmId]) {
        self.cloud.take(vms);
        for slot in &self.engines {
            if vms.contains(&slot.vm) {
                slot.engine.crash();
            }
        }
        for index in 0..self.entries.len() {
            if vms.contains(&self.entries[index].vm) {
                self.kill_entry(index).await;
            }
        }
    }

    /// Returns the VMs of a zone.
    pub fn vms_in(&self, zone: &AvailabilityZone) -> Vec<VmId> {
        let entries = self.entries.iter().filter(|slot| slot.zone == *zone);
        let engines = self.engines.iter().filter(|slot| slot.zone == *zone);
        let entries = entries.map(|slot| slot.vm.clone());
        let bought = self.bought.read().into_iter();
        let bought = bought.filter(|known| known.zone == *zone && known.is_there);
        entries
            .chain(engines.map(|slot| slot.vm.clone()))
            .chain(bought.map(|known| known.vm))
            .collect()
    }

    /// Ends everything at once.
    pub async fn close(mut self) {
        for index in 0..self.entries.len() {
            self.kill_entry(index).await;
        }
        for slot in self.engines {
            slot.engine.close();
        }
        self.bought.close();
        self.orders.close();
        self.stock.close();
        self.cloud.close();
        self.store.close();
    }
}

/// Returns a nonce that no other apply has.
pub(crate) fn new_nonce() -> ApplyNonce {
    named(&format!(
        "{:016x}{:016x}",
        fastrand::u64(..),
        fastrand::u64(..)
    ))
}

fn named<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a site's names are valid")
}

fn knows_all(status: &str, entries: usize, engines: usize) -> bool {
    let status: Value = serde_json::from_str(status).unwrap_or_default();
    let has_revision = status["revision"].as_u64().is_some();
    let members = status["members"].as_array().map_or(0, Vec::len);
    let is_engine = |endpoint: &&Value| {
        let id = endpoint["id"].as_str().unwrap_or_default();
        id.starts_with("engine-") && endpoint["state"] == "live"
    };
    let endpoints = status["endpoints"].as_array();
    let live = endpoints.map_or(0, |all| all.iter().filter(is_engine).count());
    has_revision && members >= entries && live >= engines
}
