//! The operators' command line as a library, so that every command can run under a test.
//!
//! [`run`] reads the arguments, builds a [`Context`] of settings and shell, and hands it to
//! the command's module. A command writes its result to standard output through the
//! [`Shell`], and what it is doing to standard error. A [`CommandError`] becomes a message
//! with its causes and a hint, and an [`Exit`] code.

mod admin_client;
pub mod cli;
pub mod commands;
mod context;
pub mod demo;
mod error;
mod exit;
pub mod explain;
mod grid;
pub mod load;
mod settings;
mod shell;

use gumdrop::Options;

pub use context::Context;
pub use error::{CommandError, ErrorReport, FailedAttempt};
pub use exit::Exit;
pub use settings::{OperatorKey, Settings, SettingsError};
pub use shell::Shell;

use cli::{Arguments, Command};

/// Runs the command that the arguments name and returns the exit code.
///
/// `arguments` does not hold the program's name; `environment` looks a variable up.
pub async fn run(
    arguments: &[String],
    environment: impl Fn(&str) -> Option<String>,
    shell: &Shell,
) -> Exit {
    let arguments = match Arguments::read(arguments) {
        Ok(arguments) => arguments,
        Err(error) => return refuse_usage(shell, &error.to_string()),
    };
    if let Some(text) = arguments.information() {
        return shell.result(&text).map_or(Exit::Failed, |()| Exit::Success);
    }
    let settings = match Settings::read(&arguments, environment) {
        Ok(settings) => settings,
        Err(error) => return refuse_usage(shell, &error.to_string()),
    };
    let Some(command) = arguments.command else {
        return refuse_usage(shell, "no command is given");
    };
    let cx = Context::new(settings, shell);
    match dispatch(&cx, command).await {
        Ok(()) => Exit::Success,
        Err(error) => {
            ErrorReport::of(&error).print(&cx);
            error.exit()
        }
    }
}

async fn dispatch(cx: &Context<'_>, command: Command) -> Result<(), CommandError> {
    match command {
        Command::Check(options) => commands::check::run(cx, options).await,
        Command::Diff(options) => commands::diff::run(cx, options).await,
        Command::Apply(options) => commands::apply::run(cx, options).await,
        Command::Show(options) => commands::show::run(cx, options).await,
        Command::History(options) => commands::history::run(cx, options).await,
        Command::Status(options) => commands::status::run(cx, options).await,
        Command::Drain(options) => commands::drain::run(cx, options).await,
        Command::Explain(options) => commands::explain::run(cx, options).await,
        Command::Load(options) => commands::load::run(cx, options).await,
        Command::Bench(options) => commands::bench::run(cx, options).await,
        Command::Plan(options) => commands::plan::run(cx, options).await,
        Command::Replay(options) => commands::replay::run(cx, options).await,
        Command::Demo(options) => commands::demo::run(cx, options).await,
    }
}

fn refuse_usage(shell: &Shell, message: &str) -> Exit {
    shell.error(message);
    shell.hint("`laburnumstall --help` lists commands and options");
    Exit::Usage
}

/// Returns the usage text of the whole program.
pub(crate) fn program_usage() -> String {
    let commands = Arguments::command_list().unwrap_or_default();
    format!(
        "Usage: laburnumstall [OPTIONS] COMMAND [ARGUMENTS]\n\n{}\n\nCommands:\n{commands}\n\n{}",
        Arguments::usage(),
        settings::ENVIRONMENT_HELP,
    )
}
