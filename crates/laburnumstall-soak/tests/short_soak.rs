//! A short soak with a fixed seed, and seeds that once broke a promise.
//!
//! The daemon's program is built with the workspace's tests.

use std::time::Duration;

use laburnumstall_soak::{Options, SoakSettings, run};

/// Time with faults of each soak.
const LENGTH: Duration = Duration::from_secs(8);

fn soak(seed: u64, length: Duration, processes: &str) {
    let args = ["--callers", "8", "--processes", processes].map(str::to_owned);
    let options: Options =
        laburnumstall_soak::options::parse(&args).expect("the options are right");
    let mut settings = SoakSettings::new(&options, seed);
    settings.length = length;
    let report = actix_rt::System::new().block_on(run(&settings));
    let report = report.unwrap_or_else(|error| panic!("{error}"));
    assert!(
        report.is_kept(),
        "{report}\nlogs: {}",
        settings.folder.display()
    );
}

#[test]
fn short_soak_holds() {
    soak(1, LENGTH, "4");
}

/// In a fleet of this size four daemons read the key-value service for the others.
#[test]
fn larger_fleet_holds() {
    soak(2, LENGTH, "8");
}
