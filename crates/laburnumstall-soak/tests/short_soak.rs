//! A short soak with a fixed seed, and seeds that once broke a promise.
//!
//! The daemon's program is built with the workspace's tests.

use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::time::Duration;

use laburnumstall_soak::{Options, SoakSettings, run};

/// Time with faults of each soak.
const LENGTH: Duration = Duration::from_secs(8);

fn soak(seed: u64, length: Duration, args: &[&str]) {
    let callers = ["--callers", "8"];
    let args: Vec<String> = callers.iter().chain(args).map(|&arg| arg.into()).collect();
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
    soak(1, LENGTH, &["--processes", "4"]);
}

/// Streams of two versions were refused when all daemons had been killed.
#[test]
fn killed_fleet_keeps_streams() {
    soak(4, LENGTH, &["--restarts", "--callers", "24"]);
}

/// In a fleet of this size four daemons read the key-value service for the others.
#[test]
fn larger_fleet_holds() {
    soak(2, LENGTH, &["--processes", "8"]);
}

/// A soak whose daemons never get ready ends them all the same. Fails if `World::start`
/// returns its error without `World::close`.
#[test]
fn failed_start_ends_processes() {
    let folder = std::env::temp_dir().join(format!("soak-start-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let program = folder.join("idle");
    let text = format!(
        "#!/bin/sh\necho $$ >> {}/ids\nexec sleep 60\n",
        folder.display()
    );
    std::fs::write(&program, text).expect("a program");
    std::fs::set_permissions(&program, std::fs::Permissions::from_mode(0o755)).expect("a mode");

    let args: Vec<String> = Vec::new();
    let options = laburnumstall_soak::options::parse(&args).expect("the options are right");
    let mut settings = SoakSettings::new(&options, 3);
    settings.program = program;
    settings.folder = folder.join("soak");
    let ended = actix_rt::System::new().block_on(run(&settings));
    assert!(ended.is_err());
    let ids = std::fs::read_to_string(folder.join("ids")).expect("the daemons were started");
    assert_eq!(ids.lines().count(), usize::from(settings.daemons));
    for id in ids.lines() {
        assert!(
            !Path::new("/proc").join(id).exists(),
            "process {id} is left"
        );
    }
}
