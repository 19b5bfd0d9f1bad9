//! Compares failure detectors for daemons, in virtual time.
//!
//! `cargo run --release --example detection -p laburnumstall-core`
//!
//! Processes pause for up to two seconds, and 1% of the datagrams are lost. The table shows
//! the time until all survivors consider a daemon failed, after its process exits and after
//! its machine stops, and the rate of false alarms.

mod detector;
mod fleet;

use std::time::Duration;

use detector::{Detector, SeparateThresholds, SingleTimeout};
use fleet::{Failure, Fleet};
use laburnumstall_core::membership::Member;

/// Trials per kind of failure.
const TRIALS: u64 = 400;

/// Virtual time without failures in which false alarms are counted, in hours.
const FALSE_ALARM_HOURS: u64 = 10;

/// Virtual time before the failure in each trial.
const WARM_UP: Duration = Duration::from_secs(10);

/// Time after which a failure counts as missed.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(60);

fn main() {
    println!("daemons 4, zones 3, loss 1%, pauses up to 2 s, seed 7");
    println!(
        "{:<22} {:>26} {:>26} {:>14}",
        "detector", "exit p50/p99/max ms", "machine p50/p99/max ms", "false alarms/h"
    );
    row("separate thresholds", SeparateThresholds::new);
    for millis in [1_000, 2_500, 4_000, 10_000] {
        let timeout = Duration::from_millis(millis);
        let name = format!("one timeout {millis} ms");
        row(&name, |own, members| {
            SingleTimeout::new(own, members, timeout)
        });
    }
}

fn row<D: Detector>(name: &str, make: impl Fn(&Member, &[Member]) -> D) {
    let exit = detection(Failure::ProcessExit, &make);
    let machine = detection(Failure::MachineStop, &make);
    let alarms = false_alarms(&make);
    let per_hour = alarms as f64 / FALSE_ALARM_HOURS as f64;
    println!("{name:<22} {exit:>26} {machine:>26} {per_hour:>14.1}");
}

fn detection<D: Detector>(failure: Failure, make: impl Fn(&Member, &[Member]) -> D) -> String {
    let mut times: Vec<u64> = Vec::new();
    let mut missed = 0;
    for trial in 0..TRIALS {
        let mut fleet = Fleet::new(7 + trial, &make);
        fleet.run_for(WARM_UP + Duration::from_millis(trial % 500));
        match fleet.time_to_detect(failure, DETECTION_TIMEOUT) {
            Some(time) => times.push(time.as_millis() as u64),
            None => missed += 1,
        }
    }
    times.sort_unstable();
    let at = |permille: usize| {
        let last = times.len().saturating_sub(1);
        times.get(last * permille / 1_000).copied().unwrap_or(0)
    };
    let figures = format!("{}/{}/{}", at(500), at(990), at(1_000));
    match missed {
        0 => figures,
        _ => format!("{figures} missed {missed}"),
    }
}

fn false_alarms<D: Detector>(make: impl Fn(&Member, &[Member]) -> D) -> u64 {
    let mut fleet = Fleet::new(7, &make);
    fleet.run_for(Duration::from_secs(3_600 * FALSE_ALARM_HOURS));
    fleet.alarms()
}
