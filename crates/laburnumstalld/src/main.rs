//! The entry daemon's process: settings, signals and exit codes.

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

/// Exit code of a process that failed while running.
const FAILED: u8 = 1;

/// Time before the end of the notice at which whatever is unfinished is handed over.
const HAND_OVER_TIME: Duration = Duration::from_secs(3);

/// Writes each decision as one line of the log.
struct LogSink {
    log: EventLog,
}

impl DecisionSink for LogSink {
    fn write(&mut self, decision: &Decision) {
        self.log.decision(decision);
    }
}

/// Word that starts the daemon by the settings file of a platform.
const GATEWAY: &str = "gateway";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|arg| arg == GATEWAY) {
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
        Ok(ExitReason::Halted) => ExitCode::from(FAILED),
        Err(error) => report(&error),
    }
}

/// Waits for the daemon's end; SIGTERM and SIGINT ask for a planned stop, which turns into
/// a hand-over shortly before the notice is over.
async fn supervise(mut daemon: Daemon, notice: Duration) -> std::io::Result<ExitReason> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        end = daemon.wait() => return Ok(end),
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.stop(None);
    let patience = notice.saturating_sub(HAND_OVER_TIME);
    tokio::select! {
        end = daemon.wait() => return Ok(end),
        () = tokio::time::sleep(patience) => {}
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let deadline = daemon.now().after(HAND_OVER_TIME.min(notice));
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
    ExitCode::from(FAILED)
}
