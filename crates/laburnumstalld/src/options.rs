//! What a daemon needs to know to start.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use laburnumstall_core::ids::{AvailabilityZone, VmId};
use laburnumstall_core::units::Bytes;

/// What a daemon needs to know to start.
#[derive(Debug, Clone)]
pub struct DaemonOptions {
    /// VM that the daemon runs on.
    pub vm: VmId,
    /// Zone of that VM.
    pub zone: AvailabilityZone,
    /// Address for callers to listen on.
    pub listen: SocketAddr,
    /// Address that callers are told; the one listened on if absent.
    pub advertise: Option<SocketAddr>,
    /// Address for other daemons to listen on, over UDP.
    pub peer_listen: SocketAddr,
    /// Address that other daemons are told; the one listened on if absent.
    pub peer_advertise: Option<SocketAddr>,
    /// Address for operators to listen on.
    pub admin_listen: SocketAddr,
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Address of the cloud API.
    pub cloud: SocketAddr,
    /// Address of the VM list.
    pub vm_list: SocketAddr,
    /// BLAKE3 digests, in hexadecimal, of the operators' keys.
    pub operator_key_digests: Vec<CompactString>,
    /// Traffic threads for callers, and as many for endpoints.
    pub workers: usize,
    /// Largest request body.
    pub max_body: Bytes,
    /// Time that callers keep the directory's answer.
    pub directory_max_age: Duration,
}
