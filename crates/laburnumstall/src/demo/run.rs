//! Load and fault together.

use std::time::Duration;

use futures_util::future::join;
use laburnumstall_core::request::Dialect;
use laburnumstall_core::session::SessionRecord;
use laburnumstall_core::units::{Bytes, RequestRate, Tokens};
use laburnumstall_site::{
    CUSTOMER_KEY, MODEL_SERVICE, ORDER_SERVICE, OTHER_CUSTOMER_KEY, STOCK_SERVICE, Site, SiteError,
    SiteSpec,
};
use snafu::{ResultExt, Snafu};

use super::account::Account;
use super::faults::{self, Fault};
use super::replacement;
use super::report::{self, ScenarioReport};
use super::scenario::Scenario;
use crate::load::{CallerKey, LoadPlan, LoadReport, MixPart, drive};

/// Time between the start of the load and the fault.
const CALM: Duration = Duration::from_millis(1_000);

/// Time without a byte after which a caller takes a connection for dead. Entries send a
/// comment every 2 s.
const SILENCE: Duration = Duration::from_secs(8);

/// Time that a caller waits beyond a request's deadline.
const GRACE: Duration = Duration::from_secs(5);

/// Most requests at once.
const CONCURRENCY: u32 = 128;

/// Why a scenario could not be run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DemoError {
    /// The system did not start.
    #[snafu(display("start the system"))]
    Start {
        /// Cause.
        source: SiteError,
    },
    /// The fault could not be provoked.
    #[snafu(display("provoke the fault"))]
    Provoke {
        /// Cause.
        source: SiteError,
    },
}

/// How much load a scenario runs.
#[derive(Debug, Clone, Copy)]
pub struct DemoLoad {
    /// Requests a second.
    pub rate: RequestRate,
    /// Time during which requests are sent.
    pub duration: Duration,
    /// Tokens of a short model answer.
    pub answer: Tokens,
    /// Tokens of a long model answer, which outlasts the notice of a zone's loss.
    pub long_answer: Tokens,
    /// Seed of the workload.
    pub seed: u64,
}

impl Default for DemoLoad {
    fn default() -> Self {
        Self {
            rate: RequestRate(30),
            duration: Duration::from_secs(12),
            answer: Tokens(80),
            long_answer: Tokens(700),
            seed: 1,
        }
    }
}

/// What a scenario leaves behind.
#[derive(Debug, Clone)]
pub struct ScenarioOutcome {
    /// What the scenario led to.
    pub report: ScenarioReport,
    /// Decision lines of all daemons.
    pub lines: Vec<String>,
    /// Session of the first entry.
    pub session: Vec<SessionRecord>,
}

/// Runs a scenario and returns what it led to.
///
/// # Errors
///
/// Returns [`DemoError`] if the system does not start or a part of it cannot be told to fail.
pub async fn run_scenario(
    scenario: Scenario,
    load: DemoLoad,
    progress: impl FnMut(&LoadReport),
) -> Result<ScenarioOutcome, DemoError> {
    let mut site = Site::start(spec_of(scenario)).await.context(StartSnafu)?;
    if scenario == Scenario::Replacement {
        site.wait_serving().await.context(StartSnafu)?;
    }
    let generated_before = report::generated(&site);
    let account = Account::default();
    let plan = plan_of(&site, load);
    let driving = drive(&plan, account.clone(), progress);
    let provoking = provoke(scenario, &mut site);
    let (report, fault) = join(driving, provoking).await;
    let fault = fault.context(ProvokeSnafu)?;
    let report = ScenarioReport::of(scenario, &report, &account, &site, fault);
    let report = report.without_tokens(generated_before);
    let log = site.lines.clone();
    site.close().await;
    Ok(ScenarioOutcome {
        report,
        lines: log.read(),
        session: log.records(),
    })
}

fn spec_of(scenario: Scenario) -> SiteSpec {
    let spec = SiteSpec {
        recorded_entry: Some(0),
        ..SiteSpec::default()
    };
    match scenario {
        Scenario::Replacement => replacement::bought(spec),
        _ => spec,
    }
}

async fn provoke(scenario: Scenario, site: &mut Site) -> Result<Fault, SiteError> {
    tokio::time::sleep(CALM).await;
    faults::provoke(scenario, site).await
}

fn plan_of(site: &Site, load: DemoLoad) -> LoadPlan {
    LoadPlan {
        entries: site.addresses(),
        callers: vec![
            caller("chambers", CUSTOMER_KEY),
            caller("registry", OTHER_CUSTOMER_KEY),
        ],
        mix: vec![
            chat(load.answer, 6),
            chat(load.long_answer, 1),
            plain(ORDER_SERVICE, false, 3),
            plain(STOCK_SERVICE, true, 1),
        ],
        rate: load.rate,
        duration: load.duration,
        concurrency: CONCURRENCY,
        seed: load.seed,
        silence: SILENCE,
        grace: GRACE,
    }
}

fn caller(customer: &str, key: &str) -> CallerKey {
    CallerKey {
        customer: customer.parse().expect("a customer's name is valid"),
        key: key.to_owned(),
    }
}

fn chat(answer: Tokens, weight: u32) -> MixPart {
    MixPart {
        service: MODEL_SERVICE.parse().expect("a service's name is valid"),
        dialect: Dialect::Chat,
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        idempotent: true,
        weight,
        prompt: Bytes(2_000),
        answer,
        deadline: Duration::from_secs(60),
    }
}

fn plain(service: &str, idempotent: bool, weight: u32) -> MixPart {
    MixPart {
        service: service.parse().expect("a service's name is valid"),
        dialect: Dialect::Plain,
        method: "POST".into(),
        path: "/calls".into(),
        idempotent,
        weight,
        prompt: Bytes(0),
        answer: Tokens(0),
        deadline: Duration::from_secs(10),
    }
}
