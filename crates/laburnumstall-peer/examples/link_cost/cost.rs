//! Readings of the processor time and memory of this process, and the table's rows.

use std::fmt::Display;
use std::fs;
use std::time::Duration;

/// Prints one row of the table.
pub(crate) fn row(what: &str, figure: impl Display) {
    println!("{what:<58} {figure:>14}");
}

/// Processor time that the calling thread has used.
pub(crate) fn thread_time() -> Duration {
    let text = fs::read_to_string("/proc/thread-self/schedstat").expect("schedstat");
    let nanos = text.split(' ').next().expect("a first field");
    Duration::from_nanos(nanos.parse().expect("nanoseconds"))
}

/// Resident memory of the process in bytes.
pub(crate) fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/status").expect("status");
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes.expect("VmRSS").parse::<u64>().expect("a number") * 1024
}
