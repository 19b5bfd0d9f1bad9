//! `demo`: a whole system on loopback, to look at or to see a fault in.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use laburnumstall_core::domain;
use laburnumstall_core::session::SessionRecord;
use laburnumstall_site::{
    CUSTOMER_KEY, LogLines, MODEL_SERVICE, OPERATOR_KEY, ORDER_SERVICE, OTHER_CUSTOMER_KEY, Site,
    SiteSpec,
};
use snafu::{OptionExt, ResultExt, ensure};
use tokio::time::{sleep, timeout};

use crate::cli::DemoOptions;
use crate::context::Context;
use crate::demo::{DemoLoad, Scenario, StartSnafu, run_scenario};
use crate::error::{
    BadArgumentSnafu, CommandError, DemoSnafu, ScenarioBrokenSnafu, WriteJsonSnafu,
    WriteSessionSnafu,
};
use crate::load::{LoadReport, new_key, unix_now};
use crate::shell::Shell;

/// Time between two looks at new decision lines.
const LINE_PERIOD: Duration = Duration::from_millis(100);

domain! {
    /// Where a demonstration can be reached.
    pub struct DemoAddresses {
        /// Entries, for callers.
        pub entries: Vec<SocketAddr>,
        /// Entries, for operators.
        pub admin: Vec<SocketAddr>,
        /// Bearer keys of the customers.
        pub customer_keys: Vec<String>,
        /// Key of the operators.
        pub operator_key: String,
        /// The key-value service.
        pub store: SocketAddr,
        /// The cloud API, which gives the VM list too.
        pub cloud: SocketAddr,
        /// Idempotency key for a first order.
        pub idempotency_key: String,
    }
}

impl DemoAddresses {
    fn of(site: &Site) -> Self {
        Self {
            entries: site.addresses(),
            admin: site.operators(),
            customer_keys: vec![CUSTOMER_KEY.to_owned(), OTHER_CUSTOMER_KEY.to_owned()],
            operator_key: OPERATOR_KEY.to_owned(),
            store: site.store.address(),
            cloud: site.cloud.address(),
            idempotency_key: new_key(unix_now(), &mut fastrand::Rng::new()),
        }
    }
}

impl fmt::Display for DemoAddresses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "entries        {}", list(&self.entries))?;
        writeln!(f, "operators      {}", list(&self.admin))?;
        writeln!(f, "customer keys  {}", self.customer_keys.join(" "))?;
        writeln!(f, "operator key   {}", self.operator_key)?;
        writeln!(f, "store, cloud   {} {}", self.store, self.cloud)?;
        let (Some(first), Some(last)) = (self.entries.first(), self.entries.last()) else {
            return Ok(());
        };
        let key = CUSTOMER_KEY;
        writeln!(
            f,
            "\nA chat, streamed:\n  curl -N http://{first}/v1/chat/completions -H 'Authorization: Bearer {key}' \
             -H 'Content-Type: application/json' -d '{{\"model\":\"{MODEL_SERVICE}\",\"stream\":true,\
             \"max_tokens\":12,\"messages\":[{{\"role\":\"user\",\"content\":\"How long are tax files held?\"}}]}}'"
        )?;
        writeln!(
            f,
            "\nAn order, which runs once however often this is sent, to whichever entry:\n  \
             curl http://{last}/services/{ORDER_SERVICE}/disposals -H 'Authorization: Bearer {key}' \
             -H 'Idempotency-Key: {}' -d 'box 17'",
            self.idempotency_key
        )?;
        write!(
            f,
            "\nThe state of the system:\n  cargo run --release --bin laburnumstall -- --admin {} \
             --operator-key {} status",
            self.admin
                .first()
                .map(ToString::to_string)
                .unwrap_or_default(),
            self.operator_key
        )
    }
}

fn list(addresses: &[SocketAddr]) -> String {
    let texts: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    texts.join(" ")
}

/// Runs the command.
///
/// # Errors
///
/// Returns [`CommandError`] if the system does not start or a promise was broken.
pub async fn run(cx: &Context<'_>, options: DemoOptions) -> Result<(), CommandError> {
    match options.scenario {
        Some(scenario) => show_fault(cx, scenario, &options).await,
        None => stay(cx, &options).await,
    }
}

async fn show_fault(
    cx: &Context<'_>,
    scenario: Scenario,
    options: &DemoOptions,
) -> Result<(), CommandError> {
    cx.status("Running", format_args!("load through {scenario}"));
    let progress = |report: &LoadReport| {
        let LoadReport { sent, whole, .. } = report;
        cx.shell()
            .progress(format_args!("{sent} sent, {whole} answered whole"));
    };
    let outcome = run_scenario(scenario, DemoLoad::default(), progress).await;
    cx.shell().end_progress();
    let outcome = outcome.context(DemoSnafu)?;
    if options.verbose {
        for line in &outcome.lines {
            cx.shell().message(line);
        }
    }
    if let Some(path) = &options.record {
        write_session(path, &outcome.session)?;
    }
    let report = outcome.report;
    cx.present(&report)?;
    ensure!(
        report.is_kept(),
        ScenarioBrokenSnafu {
            promises: report.broken.len(),
        }
    );
    Ok(())
}

async fn stay(cx: &Context<'_>, options: &DemoOptions) -> Result<(), CommandError> {
    let limit = match &options.limit {
        Some(text) => Some(seconds(text)?),
        None => None,
    };
    cx.status("Starting", "a whole system on loopback");
    let spec = SiteSpec {
        recorded_entry: options.record.is_some().then_some(0),
        ..SiteSpec::default()
    };
    let site = Site::start(spec).await;
    let site = site.context(StartSnafu).context(DemoSnafu)?;
    cx.present(&DemoAddresses::of(&site))?;
    cx.status("Running", "until Ctrl-C");
    let waiting = wait(limit);
    if options.verbose {
        tokio::select! {
            () = waiting => {}
            () = write_lines(cx.shell(), &site.lines) => {}
        }
    } else {
        waiting.await;
    }
    cx.status("Stopping", "all daemons and stand-ins");
    let log = site.lines.clone();
    site.close().await;
    match &options.record {
        Some(path) => write_session(path, &log.records()),
        None => Ok(()),
    }
}

/// Writes a session as one record a line.
fn write_session(path: &Path, records: &[SessionRecord]) -> Result<(), CommandError> {
    let mut text = String::new();
    for record in records {
        text.push_str(&serde_json::to_string(record).context(WriteJsonSnafu)?);
        text.push('\n');
    }
    std::fs::write(path, text).context(WriteSessionSnafu { path })
}

fn seconds(text: &str) -> Result<Duration, CommandError> {
    let whole = text.parse().ok().map(Duration::from_secs);
    let time = whole.or_else(|| humantime::parse_duration(text).ok());
    time.context(BadArgumentSnafu {
        argument: text,
        expected: "seconds, or a time such as 5m",
    })
}

/// Waits for Ctrl-C, or for the limit.
async fn wait(limit: Option<Duration>) {
    let interrupt = tokio::signal::ctrl_c();
    match limit {
        // The end of the time is an end like any other.
        Some(limit) => drop(timeout(limit, interrupt).await),
        // Without a signal handler the process ends by the signal itself.
        None => drop(interrupt.await),
    }
}

async fn write_lines(shell: &Shell, lines: &LogLines) {
    let mut written = 0;
    loop {
        for line in lines.read_from(written) {
            written += 1;
            shell.message(line);
        }
        sleep(LINE_PERIOD).await;
    }
}
