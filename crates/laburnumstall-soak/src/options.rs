//! What one soak runs.

use std::path::PathBuf;
use std::time::Duration;

use gumdrop::Options as _;

use crate::plan::Shape;

/// Command line of the soak.
#[derive(Debug, Clone, gumdrop::Options)]
pub struct Options {
    /// Prints the options.
    #[options(help = "print this help")]
    pub help: bool,
    /// Seed of the first soak.
    #[options(help = "seed of the first soak", meta = "N", default = "1")]
    pub seed: u64,
    /// Soaks, with seeds that count up.
    #[options(help = "soaks, with seeds that count up", meta = "N", default = "1")]
    pub seeds: u64,
    /// Seconds with faults in each.
    #[options(help = "seconds with faults in each", meta = "S", default = "20")]
    pub seconds: u64,
    /// Daemons.
    #[options(help = "daemons", meta = "N", default = "4")]
    pub processes: u8,
    /// Endpoints of each service.
    #[options(help = "endpoints of each service", meta = "N", default = "4")]
    pub endpoints: u8,
    /// Callers.
    #[options(help = "callers", meta = "N", default = "16")]
    pub callers: u16,
    /// Releases and kills of all daemons only.
    #[options(help = "only releases, and kills of all daemons at once", no_short)]
    pub restarts: bool,
    /// The daemon's program.
    #[options(help = "the daemon's program; default: beside this one", meta = "PATH")]
    pub daemon: Option<PathBuf>,
    /// Folder for logs and plots.
    #[options(
        help = "folder for logs and plots; default: a new one in the temporary folder",
        meta = "DIR"
    )]
    pub out: Option<PathBuf>,
}

/// One soak.
#[derive(Debug, Clone)]
pub struct SoakSettings {
    /// Seed of the faults.
    pub seed: u64,
    /// Time with faults.
    pub length: Duration,
    /// Daemons.
    pub daemons: u8,
    /// Endpoints of each service.
    pub endpoints: u8,
    /// Callers.
    pub callers: u16,
    /// Whether only releases and kills of all daemons are played.
    pub restarts: bool,
    /// The daemon's program.
    pub program: PathBuf,
    /// Folder for settings files and logs.
    pub folder: PathBuf,
}

impl SoakSettings {
    /// Takes over the options for one seed.
    pub fn new(options: &Options, seed: u64) -> Self {
        let folder = options.out.clone().unwrap_or_else(|| {
            std::env::temp_dir().join(format!("laburnumstall-soak-{}", std::process::id()))
        });
        Self {
            seed,
            length: Duration::from_secs(options.seconds),
            daemons: options.processes.max(1),
            endpoints: options.endpoints.max(2),
            callers: options.callers,
            restarts: options.restarts,
            program: options.daemon.clone().unwrap_or_else(beside),
            folder: folder.join(format!("seed-{seed}")),
        }
    }

    /// Returns what faults can hit.
    pub(crate) fn shape(&self) -> Shape {
        Shape {
            daemons: usize::from(self.daemons),
            endpoints: usize::from(self.endpoints) * crate::world::SERVICES.len(),
            services: crate::world::SERVICES.len(),
        }
    }
}

/// Reads the options of the process; `Err` holds the text to print.
///
/// # Errors
///
/// The usage, or what is wrong with the arguments.
pub fn parse(args: &[String]) -> Result<Options, String> {
    match Options::parse_args_default(args) {
        Ok(options) if options.help => Err(format!(
            "Usage: laburnumstall-soak [OPTIONS]\n\n{}",
            Options::usage()
        )),
        Ok(options) => Ok(options),
        Err(error) => Err(format!("error: {error}\n\n{}", Options::usage())),
    }
}

/// Returns the daemon's program in this program's folder, or the one above for tests.
fn beside() -> PathBuf {
    const NAME: &str = "laburnumstalld";
    let own = std::env::current_exe().unwrap_or_default();
    let folders = own.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join(NAME)).find(|p| p.exists());
    found.unwrap_or_else(|| PathBuf::from(NAME))
}
