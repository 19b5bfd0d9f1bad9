//! Options and commands, as they are written on the command line.
//!
//! General options may stand before or after the command; [`Arguments::read`] moves them
//! to the front, where the parser expects them.

use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::{Options, ParsingStyle};
use laburnumstall_core::ids::{Revision, VmId};
use laburnumstall_core::units::RequestRate;

use crate::demo::Scenario;
use crate::program_usage;

/// General options that take a value.
const GENERAL_WITH_VALUE: [&str; 4] = ["--admin", "--operator-key", "--operator", "--timeout"];

/// General options without a value.
const GENERAL_FLAGS: [&str; 3] = ["--json", "--quiet", "--version"];

/// Operates laburnumstall: reads, compares and applies the text, and explains what happened.
#[derive(Debug, Default, Options)]
pub struct Arguments {
    /// Whether help is asked for.
    #[options(help = "print this help, or that of the command before it")]
    pub help: bool,
    /// Whether the version is asked for.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    /// Whether results are written in JSON.
    #[options(no_short, help = "write the result, and errors, in JSON")]
    pub json: bool,
    /// Whether messages about what is being done are left out.
    #[options(help = "do not say what is being done")]
    pub quiet: bool,
    /// Addresses of the daemons' admin interface.
    #[options(
        no_short,
        meta = "ADDR[,ADDR...]",
        help = "daemons' admin addresses, tried in turn"
    )]
    pub admin: Option<String>,
    /// Key of the operator.
    #[options(
        no_short,
        meta = "KEY",
        help = "operator key; better given by the environment"
    )]
    pub operator_key: Option<String>,
    /// Name of the operator.
    #[options(no_short, meta = "NAME", help = "who applies, for the history")]
    pub operator: Option<String>,
    /// Longest time that one call takes.
    #[options(
        no_short,
        meta = "TIME",
        help = "longest time of one call, such as 15s"
    )]
    pub timeout: Option<String>,
    /// What to do.
    #[options(command)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(Debug, Options)]
pub enum Command {
    /// Reads a text and reports its faults.
    #[options(help = "read a text and report all of its faults")]
    Check(CheckOptions),
    /// Shows what a text would change.
    #[options(help = "show what a text changes against the live one or another text")]
    Diff(DiffOptions),
    /// Puts a text in force.
    #[options(help = "put a text in force everywhere")]
    Apply(ApplyOptions),
    /// Prints the text in force.
    #[options(help = "print the text in force, or an earlier one")]
    Show(ShowOptions),
    /// Lists the revisions.
    #[options(help = "list who changed what, when and why")]
    History(HistoryOptions),
    /// Shows daemons and endpoints.
    #[options(help = "show daemons, endpoints and requests")]
    Status(StatusOptions),
    /// Takes work off a VM.
    #[options(help = "let a VM finish or move its work and take no more")]
    Drain(DrainOptions),
    /// Tells what happened to a request, a VM or an endpoint.
    #[options(help = "tell the story of a request, VM, endpoint or order from logs")]
    Explain(ExplainOptions),
    /// Drives callers at a live system.
    #[options(help = "drive callers at a live system and check their answers")]
    Load(LoadOptions),
    /// Measures cost at the latency target and recomputed tokens.
    #[options(help = "measure cost, latency and recomputed tokens in virtual time")]
    Bench(BenchOptions),
    /// Shows what placement would buy for a text.
    #[options(help = "show what placement would buy for a text, and why")]
    Plan(PlanOptions),
    /// Takes the decisions of a recorded session again.
    #[options(help = "take the decisions of a recorded session again")]
    Replay(ReplayOptions),
    /// Runs a whole system on loopback.
    #[options(help = "run a whole system on loopback, and faults in it")]
    Demo(DemoOptions),
}

/// Reads a text and reports all of its faults.
#[derive(Debug, Default, Options)]
pub struct CheckOptions {
    /// Whether help is asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Text to read.
    #[options(free, required, help = "text to read")]
    pub file: PathBuf,
}

/// Shows what a text changes against the live one, or against another text.
#[derive(Debug, Default, Options)]
pub struct DiffOptions {
    /// Whether help is asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Text that it is compared with.
    #[options(
        no_short,
        meta = "FILE",
        help = "compare with this text, not the live one"
    )]
    pub against: Option<PathBuf>,
    /// Text to compare.
    #[options(free, required, help = "text to compare")]
    pub file: PathBuf,
}

/// Puts a text in force everywhere, and names the live daemons that do not confirm it.
#[derive(Debug, Default, Options)]
pub struct ApplyOptions {
    /// Whether help is asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Revision that was changed.
    #[options(no_short, meta = "REV", help = "revision that the text was made from")]
    pub base: Option<Revision>,
    /// Why it changes.
    #[options(no_short, meta = "TEXT", help = "why, for the history")]
    pub reason: Option<String>,
    /// Text to put in force.
    #[options(free, required, help = "text to put in force")]
    pub file: PathBuf,
}

/// Prints the text in force, or that of an earlier revision.
#[derive(Debug, Default, Options)]
pub struct ShowOptions {
    /// Whether help is asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Revision to print.
    #[options(no_short, meta = "REV", help = "print this revision")]
    pub revision: Option<Revision>,
}

/// Lists who changed what, when and why, newest first.
#[derive(Debug, Default, Options)]
pub struct HistoryOptions {
    /// Whether help is asked for.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Shows daemons, endpoints and requests as one daemon sees them.
#[derive(Debug, Default, Options)]
pub struct StatusOptions {
    /// Whether help is asked for.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Lets a VM finish or move its work and take no more.
#[derive(Debug, Options)]
pub struct DrainOptions {
    /// Whether help is asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// VM to drain.
    #[options(free, required, help = "VM to drain")]
    pub vm: Option<VmId>,
}

/// Tells the story of a request, VM, endpoint or order from the logs of all daemons.
#[derive(Debug, Default, Options)]
pub struct ExplainOptions {
    /// Whether help is asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// What to explain, then the log files.
    #[options(
        free,
        required,
        help = "request, VM, endpoint or order, then log files"
    )]
    pub id_and_logs: Vec<String>,
}

/// Drives callers at a live system, and checks that each answer is whole and the caller's own.
#[derive(Debug, Options)]
pub struct LoadOptions {
    /// Whether help is asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Addresses of entries.
    #[options(
        no_short,
        required,
        meta = "ADDR",
        help = "an entry's address; can be given again"
    )]
    pub entry: Vec<SocketAddr>,
    /// Bearer key of a customer.
    #[options(
        no_short,
        meta = "NAME=KEY",
        help = "a customer's key; can be given again"
    )]
    pub caller: Vec<String>,
    /// Requests a second.
    #[options(no_short, meta = "RATE", help = "requests a second", default = "10")]
    pub rate: RequestRate,
    /// Time during which requests are sent.
    #[options(
        no_short,
        meta = "TIME",
        help = "time to send requests for",
        default = "10s"
    )]
    pub duration: String,
    /// Most requests at once.
    #[options(no_short, meta = "N", help = "most requests at once", default = "64")]
    pub concurrency: u32,
    /// Seed of the workload.
    #[options(no_short, meta = "N", help = "seed of the workload", default = "1")]
    pub seed: u64,
    /// Share of a service.
    #[options(
        no_short,
        meta = "SERVICE=N",
        help = "a service's share; can be given again"
    )]
    pub mix: Vec<String>,
    /// Text that lists services and customers.
    #[options(free, required, help = "text that lists the services and customers")]
    pub file: PathBuf,
}

/// Measures cost at the latency target, latency and recomputed tokens in virtual time.
#[derive(Debug, Default, Options)]
pub struct BenchOptions {
    /// Whether help is asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Workload, or `all`.
    #[options(
        no_short,
        meta = "NAME",
        help = "caroni, kuusiviulu or all",
        default = "all"
    )]
    pub workload: String,
    /// Policy, or `all`.
    #[options(
        no_short,
        meta = "NAME",
        help = "laburnumstall, round-robin, least-loaded, power-of-two, bound or all",
        default = "all"
    )]
    pub policy: String,
    /// Kind of faults, or `all`.
    #[options(
        no_short,
        meta = "KIND",
        help = "none, waves, zone-loss or all",
        default = "all"
    )]
    pub faults: String,
    /// Seed of all chance.
    #[options(no_short, meta = "N", help = "seed of all chance", default = "1")]
    pub seed: u64,
    /// Factor on the rates of the contracts.
    #[options(
        no_short,
        meta = "N",
        help = "factor on the rates of the contracts",
        default = "1"
    )]
    pub contracts: u64,
    /// Whether the search for the fewest replicas is left out.
    #[options(no_short, help = "do not search for the cost at the latency target")]
    pub no_cost: bool,
}

/// Shows what placement would buy for a text and an empty fleet, and why.
#[derive(Debug, Default, Options)]
pub struct PlanOptions {
    /// Whether help is asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Text to plan for.
    #[options(free, required, help = "text to plan for")]
    pub file: PathBuf,
}

/// Takes the decisions of a recorded session again: the same events give the same lines.
#[derive(Debug, Default, Options)]
pub struct ReplayOptions {
    /// Whether help is asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Session to replay.
    #[options(free, required, help = "session, as `demo --record` writes it")]
    pub session: PathBuf,
}

/// Runs a whole system on loopback until Ctrl-C, or shows what a fault does to live load.
#[derive(Debug, Default, Options)]
pub struct DemoOptions {
    /// Whether help is asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Fault to show.
    #[options(
        no_short,
        meta = "NAME",
        help = "run load through zone-loss, config-race, poison, store-outage, silent-connection, entry-loss, planned-stop or replacement"
    )]
    pub scenario: Option<Scenario>,
    /// Time after which the system stops by itself.
    #[options(
        no_short,
        long = "for",
        meta = "SECONDS",
        help = "stop after this time"
    )]
    pub limit: Option<String>,
    /// File for the session of the first entry.
    #[options(
        no_short,
        meta = "FILE",
        help = "record what the first entry is told, with bodies"
    )]
    pub record: Option<PathBuf>,
    /// Whether decision lines are written.
    #[options(no_short, help = "write decision lines to standard error")]
    pub verbose: bool,
}

impl Arguments {
    /// Reads the arguments after the program's name.
    ///
    /// # Errors
    ///
    /// Returns the parser's error, which names the argument that is wrong.
    pub fn read(arguments: &[String]) -> Result<Self, gumdrop::Error> {
        Self::parse_args(&general_first(arguments), ParsingStyle::AllOptions)
    }

    /// Returns the text that is printed instead of running a command, if one is asked for.
    pub(crate) fn information(&self) -> Option<String> {
        if self.version {
            return Some(format!("laburnumstall {}", env!("CARGO_PKG_VERSION")));
        }
        if !self.help_requested() {
            return None;
        }
        let Some(name) = self.command_name() else {
            return Some(program_usage());
        };
        let usage = Self::command_usage(name).unwrap_or_default();
        Some(format!("Usage: laburnumstall {name} [OPTIONS]\n\n{usage}"))
    }
}

fn general_first(arguments: &[String]) -> Vec<String> {
    let mut general = Vec::new();
    let mut others = Vec::new();
    let mut rest = arguments.iter();
    while let Some(argument) = rest.next() {
        let name = argument.split('=').next().unwrap_or_default();
        if argument == "--" {
            others.push(argument.clone());
            others.extend(rest.by_ref().cloned());
        } else if GENERAL_FLAGS.contains(&argument.as_str()) {
            general.push(argument.clone());
        } else if GENERAL_WITH_VALUE.contains(&name) {
            general.push(argument.clone());
            let value = if argument == name { rest.next() } else { None };
            general.extend(value.cloned());
        } else {
            others.push(argument.clone());
        }
    }
    general.extend(others);
    general
}
