//! Links between endpoints over real sockets on loopback.

mod at_most_once;
mod bad_frames;
mod close_flush;
mod exchange;
mod frame_fuzz;
mod node;
mod pinned_certificates;
mod process_gone;
mod relay;
mod silent_link;
