//! Prints what links cost: latency, processor time, bytes on the wire, memory.
//!
//! `cargo run --release --example link_cost -p laburnumstall-peer`
//!
//! Each daemon runs on a thread of its own with a current-thread runtime, on loopback.

mod cost;
mod daemon;
mod latency;
mod memory;
mod throughput;
mod wire;

fn main() {
    println!("{:<58} {:>14}", "what", "figure");
    latency::measure();
    throughput::measure();
    wire::measure();
    memory::measure();
}
