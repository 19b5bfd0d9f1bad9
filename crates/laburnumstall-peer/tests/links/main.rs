//! Links between endpoints over real sockets on loopback.

mod close_flush;
mod exchange;
mod node;
mod pinned_certificates;
mod process_gone;
