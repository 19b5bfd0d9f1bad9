//! The soak's command line.

use std::process::ExitCode;

use laburnumstall_soak::{SoakSettings, options, run};

/// Exit code if a promise was broken.
const BROKEN: u8 = 1;
/// Exit code if a soak could not run.
const FAILED: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let options = match options::parse(&args) {
        Ok(options) => options,
        Err(text) => {
            println!("{text}");
            return ExitCode::from(FAILED);
        }
    };
    let mut exit = ExitCode::SUCCESS;
    for seed in options.seed..options.seed + options.seeds {
        let settings = SoakSettings::new(&options, seed);
        let plot = settings.folder.join("timeline.svg");
        match actix_rt::System::new().block_on(run(&settings)) {
            Ok(report) => {
                println!("{report}");
                if let Err(error) = report.plot(&plot) {
                    println!("  no plot: {error}");
                }
                if !report.is_kept() {
                    println!("  logs and plot: {}", settings.folder.display());
                    exit = ExitCode::from(BROKEN);
                }
            }
            Err(error) => {
                println!("seed {seed}: {error}");
                exit = ExitCode::from(FAILED);
            }
        }
    }
    exit
}
