//! The entry daemon's executable: settings, signals and exit codes.

use std::process::ExitCode;
use std::time::Duration;

use laburnumstall_core::decision::Decision;
use laburnumstall_platform::settings::HostSettings;
use laburnumstalld::control::{DecisionSink, ExitReason};
use laburnumstalld::gateway;
use laburnumstalld::logging::EventLog;
use laburnumstalld::settings::{Invocation, ProcessEnvironment, SettingsError};
use laburnumstalld::{Daemon, Settings};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for a failure at run time.
const EXIT_FAILED: u8 = 1;

/// Time before the end of the notice at which unfinished requests are handed over.
const HANDOVER_TIME: Duration = Duration::from_secs(3);

/// Writes each decision as one log line.
struct LogSink {
    log: EventLog,
}

impl DecisionSink for LogSink {
    fn write(&mut self, decision: &Decision) {
        self.log.decision(decision);
    }
}

/// Subcommand that starts the gateway, configured by a platform's settings file.
const GATEWAY_COMMAND: &str = "gateway";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|arg| arg == GATEWAY_COMMAND) {
        return run_gateway();
    }
    match Settings::from_args(&args, &ProcessEnvironment) {
        Ok(Invocation::Print(text)) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Invocation::Run(settings)) => actix::System::new().block_on(run(*settings)),
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(SettingsError::EXIT_CODE)
        }
    }
}

fn run_gateway() -> ExitCode {
    let settings = match HostSettings::load() {
        Ok(settings) => settings,
        Err(error) => {
            report(&error);
            return ExitCode::from(SettingsError::EXIT_CODE);
        }
    };
    match actix::System::new().block_on(gateway::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report(&error),
    }
}

async fn run(settings: Settings) -> ExitCode {
    let notice = settings.notice;
    let id = Daemon::identity(&settings.vm);
    let log = match EventLog::start(&id, settings.log_level, std::io::stdout()) {
        Ok(log) => log,
        Err(error) => return report(&error),
    };
    let sink = LogSink { log };
    let daemon = match Daemon::start(settings, id, sink).await {
        Ok(daemon) => daemon,
        Err(error) => return report(&error),
    };
    match supervise(daemon, notice).await {
        Ok(ExitReason::Finished) => ExitCode::SUCCESS,
        Ok(ExitReason::Halted) => ExitCode::from(EXIT_FAILED),
        Err(error) => report(&error),
    }
}

/// Waits until the daemon ends. SIGTERM and SIGINT request a planned stop, which becomes a
/// handover shortly before the notice expires.
async fn supervise(mut daemon: Daemon, notice: Duration) -> std::io::Result<ExitReason> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        end = daemon.wait() => return Ok(end),
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.stop(None);
    let drain_time = notice.saturating_sub(HANDOVER_TIME);
    tokio::select! {
        end = daemon.wait() => return Ok(end),
        () = tokio::time::sleep(drain_time) => {}
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let deadline = daemon.now().after(HANDOVER_TIME.min(notice));
    daemon.stop(Some(deadline));
    Ok(daemon.wait().await)
}

fn report(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("error: {error}");
    let mut cause = error.source();
    while let Some(next) = cause {
        eprintln!("  caused by: {next}");
        cause = next.source();
    }
    ExitCode::from(EXIT_FAILED)
}
